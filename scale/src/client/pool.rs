//! Connections to one balancer or node. They are kept alive, and more are opened when all are busy.

use std::io;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use super::connection::Connection;

/// Keep-alive connections of the clients to one balancer or node.
#[derive(Debug)]
pub(super) struct Pool {
    address: SocketAddr,
    /// Connections without a request in flight; the most recently used one is last.
    idle: Mutex<Vec<Connection>>,
}

impl Pool {
    pub(super) fn new(address: SocketAddr) -> Self {
        Self { address, idle: Mutex::default() }
    }

    /// Takes the most recently used idle connection, if there is one.
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

    /// Returns a connection to the pool for further requests.
    pub(super) fn put_back(&self, connection: Connection) {
        if !connection.is_closed() {
            self.lock().push(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
