//! Connections from hollow balancers to modelled nodes.

use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::interface::UpstreamId;

/// A connection to a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Connection {
    /// Index of the node at the other end.
    pub node: usize,
    /// Generation of the node's process at the other end; the connection is closed when that process ends.
    pub generation: u64,
}

#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    idle_since: Duration,
}

/// The idle connections of a balancer; for each upstream, the most recently used is last.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    by_upstream: FxHashMap<UpstreamId, Vec<IdleConnection>>,
}

impl IdleConnections {
    /// Adds a connection that later attempts can use.
    pub fn add(&mut self, upstream: UpstreamId, connection: Connection, now: Duration) {
        self.by_upstream.entry(upstream).or_default().push(IdleConnection { connection, idle_since: now });
    }

    /// Removes and returns the most recently used connection to an upstream, if there is one.
    pub fn take(&mut self, upstream: UpstreamId) -> Option<Connection> {
        Some(self.by_upstream.get_mut(&upstream)?.pop()?.connection)
    }

    /// Removes and returns all connections to an upstream.
    pub fn drain(&mut self, upstream: UpstreamId) -> Vec<Connection> {
        let connections = self.by_upstream.remove(&upstream).unwrap_or_default();
        connections.into_iter().map(|idle| idle.connection).collect()
    }

    /// Removes and returns all connections to upstreams for which `keep` is false.
    pub fn drain_except(&mut self, keep: impl Fn(UpstreamId) -> bool) -> Vec<Connection> {
        let removed: Vec<UpstreamId> =
            self.by_upstream.keys().copied().filter(|&upstream| !keep(upstream)).collect();
        removed.into_iter().flat_map(|upstream| self.drain(upstream)).collect()
    }

    /// Removes and returns all connections that became idle at `idle_since` or earlier.
    pub fn drain_idle_since(&mut self, idle_since: Duration) -> Vec<Connection> {
        let mut expired = Vec::new();
        for connections in self.by_upstream.values_mut() {
            let count = connections.partition_point(|idle| idle.idle_since <= idle_since);
            expired.extend(connections.drain(..count).map(|idle| idle.connection));
        }
        expired
    }
}
