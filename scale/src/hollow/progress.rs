//! How far the hollow part has come, for those outside its thread.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Counts that the thread keeps and others read.
#[derive(Debug, Default)]
pub(super) struct Progress {
    ready: AtomicUsize,
    watching: AtomicUsize,
    open_calls: AtomicUsize,
    max_lateness_us: AtomicU64,
}

impl Progress {
    /// Copies with an endpoint to send to.
    pub fn ready_count(&self) -> usize {
        self.ready.load(Ordering::Relaxed)
    }

    /// Copies whose watch stands and has told them something.
    pub fn watching_count(&self) -> usize {
        self.watching.load(Ordering::Relaxed)
    }

    /// Calls without an end so far.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// The longest time from when something fell due during the load until it was handled.
    pub fn max_lateness(&self) -> Duration {
        Duration::from_micros(self.max_lateness_us.load(Ordering::Relaxed))
    }

    /// A copy that could serve, or not, now can or cannot.
    pub fn ready_changed(&self, before: bool, after: bool) {
        update_count(&self.ready, before, after);
    }

    /// A copy whose watch had told something, or not, now has or has not.
    pub fn watching_changed(&self, before: bool, after: bool) {
        update_count(&self.watching, before, after);
    }

    /// A call has arrived.
    pub fn call_opened(&self) {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// A call has ended.
    pub fn call_ended(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Something was handled so late.
    pub fn record_lateness(&self, lateness: Duration) {
        let lateness_us = u64::try_from(lateness.as_micros()).unwrap_or(u64::MAX);
        self.max_lateness_us.fetch_max(lateness_us, Ordering::Relaxed);
    }
}

fn update_count(count: &AtomicUsize, before: bool, after: bool) {
    match (before, after) {
        (false, true) => drop(count.fetch_add(1, Ordering::Relaxed)),
        (true, false) => drop(count.fetch_sub(1, Ordering::Relaxed)),
        _ => {}
    }
}
