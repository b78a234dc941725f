//! Counters of the hollow balancers' thread that other threads read.

use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Counters that the hollow balancers' thread updates and other threads read.
#[derive(Debug, Default)]
pub(super) struct Progress {
    ready: AtomicUsize,
    watching: AtomicUsize,
    open_calls: AtomicUsize,
    max_lateness_us: AtomicU64,
}

impl Progress {
    /// Number of balancers with an endpoint that takes requests.
    pub fn ready_count(&self) -> usize {
        self.ready.load(Ordering::Relaxed)
    }

    /// Number of balancers whose watch is open and has delivered a list or change.
    pub fn watching_count(&self) -> usize {
        self.watching.load(Ordering::Relaxed)
    }

    /// Number of calls that have arrived and not ended.
    pub fn open_calls(&self) -> usize {
        self.open_calls.load(Ordering::Relaxed)
    }

    /// The longest time during the load from when an event was due until it was handled.
    pub fn max_lateness(&self) -> Duration {
        Duration::from_micros(self.max_lateness_us.load(Ordering::Relaxed))
    }

    /// Updates the number of ready balancers; `before` and `after` say whether one of them was and is ready.
    pub fn ready_changed(&self, before: bool, after: bool) {
        update_count(&self.ready, before, after);
    }

    /// Updates the number of balancers with an open watch; `before` and `after` say whether one of them had
    /// and has one.
    pub fn watching_changed(&self, before: bool, after: bool) {
        update_count(&self.watching, before, after);
    }

    /// Counts a call that has arrived.
    pub fn call_opened(&self) {
        self.open_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a call that has ended.
    pub fn call_ended(&self) {
        self.open_calls.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records how late an event was handled.
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
