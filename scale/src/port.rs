//! A port on loopback that can refuse connections for a while and take them again.

use std::io;
use std::net::{Ipv4Addr, Shutdown, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};
use tokio::net::{TcpListener, TcpStream};

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 4096;

/// A port of this process. While it is shut, nothing else can take it.
#[derive(Debug)]
pub struct Port {
    listener: Mutex<Arc<TcpListener>>,
    address: SocketAddr,
}

impl Port {
    /// Takes a free port on 127.0.0.1 and listens on it.
    ///
    /// # Errors
    /// The system has no socket or no port left.
    pub fn open() -> io::Result<Self> {
        // The system gives up a port that it chose itself as soon as nothing listens. So it is asked for a free
        // one first, and that one is then bound by its number, before the first socket lets go of it.
        let chosen = bound((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = local_address(&chosen)?;
        let socket = bound(address)?;
        drop(chosen);
        Ok(Self { listener: Mutex::new(listening(socket)?), address })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Refuses connections from now on; those that were not accepted yet are reset.
    ///
    /// # Errors
    /// The port is shut already.
    pub fn shut(&self) -> io::Result<()> {
        SockRef::from(&*self.listener()).shutdown(Shutdown::Both)
    }

    /// Takes connections again, through a new listener.
    ///
    /// # Errors
    /// The system does not let it listen, or has no descriptor left.
    pub fn reopen(&self) -> io::Result<()> {
        // The runtime holds a listener that was shut for ready ever after, so the socket gets a new one.
        let socket = SockRef::from(&*self.listener()).try_clone()?;
        *self.lock() = listening(socket)?;
        Ok(())
    }

    /// What takes its connections up to the next time that it is shut.
    #[must_use]
    pub fn listener(&self) -> Arc<TcpListener> {
        self.lock().clone()
    }

    fn lock(&self) -> MutexGuard<'_, Arc<TcpListener>> {
        self.listener.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The next connection, with no delay of small writes.
///
/// # Errors
/// The port is shut, or the process has no descriptor left.
pub async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
    let (stream, _) = listener.accept().await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Closes a connection with a reset.
pub fn reset(stream: TcpStream) {
    // Where this fails, the connection is gone already.
    let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_port(true)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    Ok(socket)
}

fn listening(socket: Socket) -> io::Result<Arc<TcpListener>> {
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(Arc::new(TcpListener::from_std(socket.into())?))
}

fn local_address(socket: &Socket) -> io::Result<SocketAddr> {
    let address = socket.local_addr()?.as_socket();
    address.ok_or_else(|| io::Error::from(io::ErrorKind::AddrNotAvailable))
}
