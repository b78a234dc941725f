//! The connections to one balancer or node: kept alive, and more are opened when all are busy.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::connection::Connection;

/// Keep-alive connections to one address.
#[derive(Debug)]
pub(super) struct Pool {
    address: SocketAddr,
    /// Those between requests, the latest used last.
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    /// The connection between requests that was used last, if there is one.
    pub(super) fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        while let Some(connection) = idle.pop() {
            if !connection.is_closed() {
                return Some(connection);
            }
        }
        None
    }

    /// Opens a new connection.
    pub(super) async fn open_new(&self) -> io::Result<Connection> {
        Connection::open(self.address).await
    }

    /// Takes a connection back after an answer.
    pub(super) fn put_back(&self, connection: Connection) {
        if !connection.is_closed() {
            self.lock().push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
