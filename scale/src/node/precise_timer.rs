//! A timer that is accurate to some tens of microseconds.
//!
//! The resolution of the runtime's timer is one millisecond, which is more than the latency that a balancer
//! adds to a call. One thread serves all waits instead.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use tokio::sync::oneshot;

/// The timer thread. Dropping this ends the thread; waits still pending then never complete.
#[derive(Debug)]
pub(super) struct PreciseTimer {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    waits: Mutex<Waits>,
    /// Notified when an earlier wait is added or the thread has to stop.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Waits {
    pending: BinaryHeap<Wait>,
    stopped: bool,
}

#[derive(Debug)]
struct Wait {
    at: Instant,
    completion: oneshot::Sender<()>,
}

impl PreciseTimer {
    /// Starts the timer thread.
    ///
    /// # Errors
    /// The system cannot create a thread.
    pub(super) fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread = thread::Builder::new().name("alarm".to_owned()).spawn({
            let shared = shared.clone();
            move || shared.run()
        })?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Waits until the time `at`; returns at once if it has passed.
    pub(super) async fn wait_until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (completion, waiting) = oneshot::channel();
        self.shared.add(Wait { at, completion });
        if waiting.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for PreciseTimer {
    fn drop(&mut self) {
        self.shared.waits().stopped = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // The thread returns no result, and a panic in it has been printed.
            let _ = thread.join();
        }
    }
}

impl Shared {
    fn waits(&self) -> MutexGuard<'_, Waits> {
        self.waits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn add(&self, wait: Wait) {
        let at = wait.at;
        let mut waits = self.waits();
        let is_earliest = waits.pending.peek().is_none_or(|earliest| at < earliest.at);
        waits.pending.push(wait);
        drop(waits);
        if is_earliest {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut waits = self.waits();
        while !waits.stopped {
            let now = Instant::now();
            let due = waits.take_due(now);
            if !due.is_empty() {
                drop(waits);
                for wait in due {
                    // Sending fails only if the waiting task has been dropped.
                    let _ = wait.completion.send(());
                }
                waits = self.waits();
                continue;
            }
            waits = match waits.pending.peek().map(|earliest| earliest.at - now) {
                None => self.changed.wait(waits).unwrap_or_else(PoisonError::into_inner),
                Some(remaining) => {
                    self.changed.wait_timeout(waits, remaining).unwrap_or_else(PoisonError::into_inner).0
                }
            };
        }
        waits.pending.clear();
    }
}

impl Waits {
    fn take_due(&mut self, now: Instant) -> Vec<Wait> {
        let mut due = Vec::new();
        while self.pending.peek().is_some_and(|earliest| earliest.at <= now) {
            due.extend(self.pending.pop());
        }
        due
    }
}

/// Reversed, so that the earliest wait is at the top of the max-heap.
impl Ord for Wait {
    fn cmp(&self, other: &Self) -> Ordering {
        other.at.cmp(&self.at)
    }
}

impl PartialOrd for Wait {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Wait {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Wait {}
