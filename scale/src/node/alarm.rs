//! Waits that end within some tens of microseconds of their time.
//!
//! The runtime's own timer counts whole milliseconds, which is more than what a balancer adds to a call. One thread
//! waits for all instead.

#[cfg(test)]
mod tests;

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::io;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use tokio::sync::oneshot;

/// The thread that ends waits. Dropping it ends the thread; waits that are open then never end.
#[derive(Debug)]
pub(super) struct Alarm {
    shared: Arc<Shared>,
    thread: Option<JoinHandle<()>>,
}

#[derive(Debug, Default)]
struct Shared {
    waits: Mutex<Waits>,
    /// There is an earlier wait, or the thread is to end.
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Waits {
    open: BinaryHeap<Wait>,
    ended: bool,
}

#[derive(Debug)]
struct Wait {
    at: Instant,
    over: oneshot::Sender<()>,
}

impl Alarm {
    /// Starts the thread.
    ///
    /// # Errors
    /// The system has no thread left.
    pub(super) fn start() -> io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let thread = thread::Builder::new().name("alarm".to_owned()).spawn({
            let shared = shared.clone();
            move || shared.run()
        })?;
        Ok(Self { shared, thread: Some(thread) })
    }

    /// Waits until this time; not at all if it has come.
    pub(super) async fn until(&self, at: Instant) {
        if at <= Instant::now() {
            return;
        }
        let (over, waiting) = oneshot::channel();
        self.shared.add(Wait { at, over });
        if waiting.await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for Alarm {
    fn drop(&mut self) {
        self.shared.waits().ended = true;
        self.shared.changed.notify_one();
        if let Some(thread) = self.thread.take() {
            // It ends without a result, and a panic in it has been printed.
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
        let first = waits.open.peek().is_none_or(|earliest| at < earliest.at);
        waits.open.push(wait);
        drop(waits);
        if first {
            self.changed.notify_one();
        }
    }

    fn run(&self) {
        let mut waits = self.waits();
        while !waits.ended {
            let now = Instant::now();
            let due = waits.take_due(now);
            if !due.is_empty() {
                drop(waits);
                for wait in due {
                    // Who waited may have gone.
                    let _ = wait.over.send(());
                }
                waits = self.waits();
                continue;
            }
            waits = match waits.open.peek().map(|earliest| earliest.at - now) {
                None => self.changed.wait(waits).unwrap_or_else(PoisonError::into_inner),
                Some(left) => {
                    self.changed.wait_timeout(waits, left).unwrap_or_else(PoisonError::into_inner).0
                }
            };
        }
        waits.open.clear();
    }
}

impl Waits {
    fn take_due(&mut self, now: Instant) -> Vec<Wait> {
        let mut due = Vec::new();
        while self.open.peek().is_some_and(|earliest| earliest.at <= now) {
            due.extend(self.open.pop());
        }
        due
    }
}

/// The earliest wait is the greatest.
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
