//! Connections that a hollow copy keeps to modelled nodes.

use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::interface::UpstreamId;

/// A connection to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Connection {
    /// Position of the node.
    pub node: usize,
    /// The life of the node's process that it was opened to: it ends with that.
    pub generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Duration,
}

/// The idle connections of one copy, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    by_upstream: FxHashMap<UpstreamId, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Keeps a connection for the next attempt.
    pub fn add(&mut self, upstream: UpstreamId, connection: Connection, now: Duration) {
        self.by_upstream.entry(upstream).or_default().push(IdleConnection { connection, idle_since: now });
    }

    /// The connection to an upstream that was used last, if one is kept.
    pub fn take(&mut self, upstream: UpstreamId) -> Option<Connection> {
        Some(self.by_upstream.get_mut(&upstream)?.pop()?.connection)
    }

    /// Takes out all connections to an upstream.
    pub fn drain(&mut self, upstream: UpstreamId) -> Vec<Connection> {
        let connections = self.by_upstream.remove(&upstream).unwrap_or_default();
        connections.into_iter().map(|idle| idle.connection).collect()
    }

    /// Takes out all connections to upstreams that `stays` does not name.
    pub fn drain_except(&mut self, keep: impl Fn(UpstreamId) -> bool) -> Vec<Connection> {
        let removed: Vec<UpstreamId> =
            self.by_upstream.keys().copied().filter(|&upstream| !keep(upstream)).collect();
        removed.into_iter().flat_map(|upstream| self.drain(upstream)).collect()
    }

    /// Takes out all connections that have been idle since `oldest` or longer.
    pub fn drain_idle_since(&mut self, idle_since: Duration) -> Vec<Connection> {
        let mut expired = Vec::new();
        for connections in self.by_upstream.values_mut() {
            let count = connections.partition_point(|idle| idle.idle_since <= idle_since);
            expired.extend(connections.drain(..count).map(|idle| idle.connection));
        }
        expired
    }
}
