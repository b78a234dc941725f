//! Loopback ports that stay reserved for the tool while the processes that listen on them are restarted.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use socket2::{Domain, Socket, Type};

/// A port that is reserved by a bound socket that never listens.
///
/// The operating system does not assign the port to programs that ask for any free port. A process that is
/// given the address can still listen there if it sets `SO_REUSEADDR`, which the balancer does.
#[derive(Debug)]
pub struct ReservedPort {
    address: SocketAddr,
    _socket: Socket,
}

impl ReservedPort {
    /// Reserves a free port of 127.0.0.1.
    ///
    /// # Errors
    /// No port or no descriptor is free.
    pub fn any() -> io::Result<Self> {
        Self::at((Ipv4Addr::LOCALHOST, 0).into())
    }

    /// Reserves this address.
    ///
    /// # Errors
    /// Another socket listens there, or no descriptor is free.
    pub fn at(address: SocketAddr) -> io::Result<Self> {
        let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
        socket.set_reuse_address(true)?;
        socket.bind(&address.into())?;
        let address = socket.local_addr()?.as_socket().ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(Self { address, _socket: socket })
    }

    /// The reserved address.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}
