//! Which watch on discovery stands and what the next one asks for.

use std::net::SocketAddr;

use tokio::task::AbortHandle;

use crate::discovery::{WatchNumber, WatchRequest};

/// The watch of one copy.
#[derive(Debug)]
pub struct Subscription {
    address: SocketAddr,
    /// The version of the list in hand.
    version: u64,
    number: WatchNumber,
    watch: Option<AbortHandle>,
    /// The watch before one that was asked for anew, until that one has spoken.
    old_watch: Option<AbortHandle>,
}

impl Subscription {
    /// No watch yet; the first one asks at `address` for the whole list.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self { address, version: 0, number: WatchNumber(0), watch: None, old_watch: None }
    }

    /// The watch that was asked for last.
    #[must_use]
    pub fn number(&self) -> WatchNumber {
        self.number
    }

    /// The next watch asks for what came after this version.
    pub fn resume_from(&mut self, version: u64) {
        self.version = version;
    }

    /// Ends the watch that stands, if one does, and starts the next with `start`.
    pub fn renew(&mut self, start: impl FnOnce(WatchRequest) -> AbortHandle) {
        if let Some(watch) = self.watch.take() {
            watch.abort();
        }
        self.number.0 += 1;
        let request = WatchRequest { address: self.address, since: self.version, number: self.number };
        self.watch = Some(start(request));
    }

    /// Discovery is at another address; `false` if it was there before. The watch that stands goes on being heard
    /// until the new one has spoken, so that no drain is missed in between.
    pub fn move_to(&mut self, address: SocketAddr) -> bool {
        if std::mem::replace(&mut self.address, address) == address {
            return false;
        }
        self.set_aside();
        true
    }

    /// The next watch asks for the whole list; until it has spoken the one that stands is heard.
    pub fn start_over(&mut self) {
        self.version = 0;
        self.set_aside();
    }

    fn set_aside(&mut self) {
        if let Some(watch) = self.watch.take()
            && let Some(older) = self.old_watch.replace(watch)
        {
            older.abort();
        }
    }

    /// A watch has told of this version; `false` if another one is to take its place.
    pub fn heard(&mut self, number: WatchNumber, version: u64) -> bool {
        // Where discovery was, versions may be ahead of those where it is, and what lies between them would
        // never be asked for.
        if number == self.number {
            self.version = version;
            if let Some(old) = self.old_watch.take() {
                old.abort();
            }
        }
        number == self.number
    }

    /// A watch has ended; `false` if another one has taken its place.
    pub fn broke(&mut self, number: WatchNumber) -> bool {
        if number != self.number {
            return false;
        }
        self.watch = None;
        true
    }
}

/// A copy that is gone hears no watch.
impl Drop for Subscription {
    fn drop(&mut self) {
        for watch in [self.watch.take(), self.old_watch.take()].into_iter().flatten() {
            watch.abort();
        }
    }
}
