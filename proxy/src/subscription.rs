//! The current watch on discovery, and what the next one requests.

use std::net::SocketAddr;

use tokio::task::AbortHandle;

use crate::discovery::{WatchId, WatchRequest};

/// The subscription of one balancer instance to discovery: the current watch, and the previous one while it
/// is being replaced.
#[derive(Debug)]
pub struct Subscription {
    /// The address of discovery.
    address: SocketAddr,
    /// The version of the current list; 0 requests the full list.
    version: u64,
    /// The id of the newest watch.
    newest_watch_id: WatchId,
    /// Aborts the current watch; `None` if there is none.
    watch: Option<AbortHandle>,
    /// The watch that is being replaced; it stays open until the new one delivers an update.
    previous_watch: Option<AbortHandle>,
}

impl Subscription {
    /// Starts without a watch; the first one will request the full list from `address`.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, version: 0, newest_watch_id: WatchId(0), watch: None, previous_watch: None }
    }

    /// The id of the newest watch.
    #[must_use]
    pub fn newest_watch_id(&self) -> WatchId {
        self.newest_watch_id
    }

    /// Sets the version after which the next watch will request the changes.
    pub fn resume_from(&mut self, version: u64) {
        self.version = version;
    }

    /// Aborts the current watch, if there is one, and starts a new one with `start`.
    pub fn renew(&mut self, start: impl FnOnce(WatchRequest) -> AbortHandle) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        self.newest_watch_id.0 += 1;
        let request = WatchRequest { address: self.address, since: self.version, id: self.newest_watch_id };
        self.watch = Some(start(request));
    }

    /// Sets the address of discovery; returns whether it changed. After a change the current watch stays open
    /// until the next one delivers an update, so that no drain is missed in between.
    pub fn set_address(&mut self, address: SocketAddr) -> bool {
        if std::mem::replace(&mut self.address, address) == address {
            return false;
        }
        self.keep_as_previous();
        true
    }

    /// Makes the next watch request the full list; the current watch stays open until that one delivers an
    /// update.
    pub fn request_full_list(&mut self) {
        self.version = 0;
        self.keep_as_previous();
    }

    /// Keeps the current watch open as the previous one; a watch that was kept earlier is aborted.
    fn keep_as_previous(&mut self) {
        if let Some(watch) = self.watch.take()
            && let Some(older) = self.previous_watch.replace(watch)
        {
            older.abort();
        }
    }

    /// Records that a watch delivered an update to this version; returns `false` if a newer watch has been
    /// started.
    pub fn record_update(&mut self, id: WatchId, version: u64) -> bool {
        // The version of an older watch is ignored: discovery at its previous address may be ahead of the new
        // one, and the changes in between would then never be requested.
        if id == self.newest_watch_id {
            self.version = version;
            if let Some(previous) = self.previous_watch.take() {
                previous.abort();
            }
        }
        id == self.newest_watch_id
    }

    /// Records that a watch has ended; returns `false` if a newer watch has been started.
    pub fn record_end(&mut self, id: WatchId) -> bool {
        if id != self.newest_watch_id {
            return false;
        }
        self.watch = None;
        true
    }
}

/// Aborts the watches when the balancer instance is gone.
impl Drop for Subscription {
    fn drop(&mut self) {
        for watch in [self.watch.take(), self.previous_watch.take()].into_iter().flatten() {
            watch.abort();
        }
    }
}
