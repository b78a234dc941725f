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
    pub life: u64,
}

#[derive(Debug)]
struct Kept {
    connection: Connection,
    since: Duration,
}

/// The idle connections of one copy, the most recently used last.
#[derive(Debug, Default)]
pub(super) struct IdleConnections {
    kept: FxHashMap<UpstreamId, Vec<Kept>>,
}

impl IdleConnections {
    /// Keeps a connection for the next attempt.
    pub fn keep(&mut self, upstream: UpstreamId, connection: Connection, now: Duration) {
        self.kept.entry(upstream).or_default().push(Kept { connection, since: now });
    }

    /// The connection to an upstream that was used last, if one is kept.
    pub fn take(&mut self, upstream: UpstreamId) -> Option<Connection> {
        Some(self.kept.get_mut(&upstream)?.pop()?.connection)
    }

    /// Takes out all connections to an upstream.
    pub fn drain(&mut self, upstream: UpstreamId) -> Vec<Connection> {
        let kept = self.kept.remove(&upstream).unwrap_or_default();
        kept.into_iter().map(|kept| kept.connection).collect()
    }

    /// Takes out all connections to upstreams that `stays` does not name.
    pub fn drain_others(&mut self, stays: impl Fn(UpstreamId) -> bool) -> Vec<Connection> {
        let leaving: Vec<UpstreamId> =
            self.kept.keys().copied().filter(|&upstream| !stays(upstream)).collect();
        leaving.into_iter().flat_map(|upstream| self.drain(upstream)).collect()
    }

    /// Takes out all connections that have been idle since `oldest` or longer.
    pub fn drain_older(&mut self, oldest: Duration) -> Vec<Connection> {
        let mut old = Vec::new();
        for kept in self.kept.values_mut() {
            let count = kept.partition_point(|kept| kept.since <= oldest);
            old.extend(kept.drain(..count).map(|kept| kept.connection));
        }
        old
    }
}
