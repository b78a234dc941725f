//! Starts calls at their drawn times, whatever becomes of those before: an open loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::task::{JoinSet, spawn_blocking};

use super::arrivals::{Arrival, Arrivals};
use super::caller::Caller;

/// Calls of one route that are out at a time at most: beyond it the machine is what is measured.
pub(super) const OUTSTANDING_MOST: usize = 4096;
/// Longest sleep between two looks at whether the run goes on.
const LOOK: Duration = Duration::from_millis(50);
/// Overload is logged once in so long at most.
const LOG_EVERY: Duration = Duration::from_secs(1);

/// Ends the dispatch when dropped.
struct Stop(Arc<AtomicBool>);

impl Drop for Stop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Makes all calls of a route and returns when the last has ended. Dropped before, it makes no further ones and
/// gives up those that are out.
pub(super) async fn make_calls(arrivals: Arrivals, caller: Arc<Caller>, start: Instant, most: usize) {
    let stop = Stop(Arc::default());
    let dispatch = Dispatch {
        caller,
        start,
        most,
        stopped: Arc::clone(&stop.0),
        runtime: Handle::current(),
        calls: JoinSet::new(),
        logged: None,
    };
    // A thread of its own: the runtime's timers are a millisecond coarse.
    let dispatched = spawn_blocking(move || dispatch.run(arrivals)).await;
    let Ok(mut calls) = dispatched.inspect_err(|error| tracing::error!(%error, "no calls are made any more"))
    else {
        return;
    };
    while let Some(ended) = calls.join_next().await {
        log_panic(ended);
    }
}

struct Dispatch {
    caller: Arc<Caller>,
    start: Instant,
    /// Calls that may be out at a time.
    most: usize,
    stopped: Arc<AtomicBool>,
    runtime: Handle,
    calls: JoinSet<()>,
    /// When overload was logged last.
    logged: Option<Instant>,
}

impl Dispatch {
    /// Starts each call at its time; gives those that are still out.
    fn run(mut self, arrivals: Arrivals) -> JoinSet<()> {
        for arrival in arrivals {
            let due = self.start + arrival.at;
            if !self.sleep_until(due) {
                break;
            }
            while let Some(ended) = self.calls.try_join_next() {
                log_panic(ended);
            }
            self.begin(arrival, due);
        }
        self.calls
    }

    fn begin(&mut self, arrival: Arrival, due: Instant) {
        if self.calls.len() >= self.most {
            self.caller.unsent(&arrival, due);
            self.log_overload();
            return;
        }
        let caller = Arc::clone(&self.caller);
        self.calls.spawn_on(async move { caller.call(arrival, due).await }, &self.runtime);
    }

    /// Whether the run still goes on at that time.
    fn sleep_until(&self, due: Instant) -> bool {
        loop {
            if self.stopped.load(Ordering::Relaxed) {
                return false;
            }
            let left = due.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return true;
            }
            thread::sleep(left.min(LOOK));
        }
    }

    fn log_overload(&mut self) {
        if self.logged.is_none_or(|at| at.elapsed() >= LOG_EVERY) {
            tracing::warn!(outstanding = self.most, "the client is overloaded: calls are not sent and fail");
            self.logged = Some(Instant::now());
        }
    }
}

fn log_panic(ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        tracing::error!(%error, "a client's call has no end");
    }
}
