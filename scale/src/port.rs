//! A loopback port that can refuse connections for a while and then accept them again.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Length of the operating system's queue of connections not yet accepted.
const ACCEPT_BACKLOG: i32 = 4096;

/// A port of this process. It stays reserved while it is closed.
#[derive(Debug)]
pub struct Port {
    listener: Mutex<Arc<TcpListener>>,
    address: SocketAddr,
}

impl Port {
    /// Reserves a free port on 127.0.0.1 and listens on it.
    ///
    /// # Errors
    /// The system has no socket or port left.
    pub fn open() -> io::Result<Self> {
        // The system releases a port that it chose itself as soon as nothing listens on it. So the first
        // socket only finds a free port, and the second binds it by number before the first is dropped.
        let placeholder = bind_socket((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = local_address(&placeholder)?;
        let socket = bind_socket(address)?;
        drop(placeholder);
        Ok(Self { listener: Mutex::new(start_listening(socket)?), address })
    }

    /// The address of the port.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes the port refuse connections from now on; those not accepted yet are reset.
    ///
    /// # Errors
    /// The port is already closed.
    pub fn close(&self) -> io::Result<()> {
        SockRef::from(&*self.listener()).shutdown(Shutdown::Both)
    }

    /// Accepts connections again, through a new listener.
    ///
    /// # Errors
    /// The system does not let the socket listen, or has no descriptor left.
    pub fn reopen(&self) -> io::Result<()> {
        // The runtime considers a listener ready forever after its shutdown, so the socket needs a new one.
        let socket = SockRef::from(&*self.listener()).try_clone()?;
        *self.lock() = start_listening(socket)?;
        Ok(())
    }

    /// The listener to accept on; valid until the port is closed the next time.
    #[must_use]
    pub fn listener(&self) -> Arc<TcpListener> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Arc<TcpListener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Accepts the next connection and disables Nagle's algorithm on it.
///
/// # Errors
/// The port is closed, or the process has no descriptor left.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Closes a connection with a reset.
pub fn close_with_reset(stream: TcpStream) {
    // If this fails, the connection is already gone.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn bind_socket(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn start_listening(socket: Socket) -> io::Result<Arc<TcpListener>> {
    socket.listen(ACCEPT_BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(Arc::new(TcpListener::from_std(socket.into())?))
}

fn local_address(socket: &Socket) -> io::Result<SocketAddr> {
    let address = socket.local_addr()?.as_socket();
    address.ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
}
