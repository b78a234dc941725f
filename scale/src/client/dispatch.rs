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
pub(super) const MAX_IN_FLIGHT_CALLS: usize = 4096;
/// Longest sleep between two looks at whether the run goes on.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Overload is logged once in so long at most.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Ends the dispatch when dropped.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Makes all calls of a route and returns when the last has ended. Dropped before, it makes no further ones and
/// gives up those that are out.
pub(super) async fn make_calls(
    arrivals: Arrivals,
    caller: Arc<Caller>,
    load_start: Instant,
    max_in_flight: usize,
) {
    let stop = StopOnDrop(Arc::default());
    let dispatch = Dispatch {
        caller,
        load_start,
        max_in_flight,
        stop_requested: Arc::clone(&stop.0),
        runtime: Handle::current(),
        calls: JoinSet::new(),
        overload_logged_at: None,
    };
    // A thread of its own: the runtime's timers are a millisecond coarse.
    let dispatch_result = spawn_blocking(move || dispatch.run(arrivals)).await;
    let Ok(mut calls) =
        dispatch_result.inspect_err(|error| tracing::error!(%error, "no calls are made any more"))
    else {
        return;
    };
    while let Some(ended) = calls.join_next().await {
        log_panic(ended);
    }
}

struct Dispatch {
    caller: Arc<Caller>,
    load_start: Instant,
    /// Calls that may be out at a time.
    max_in_flight: usize,
    stop_requested: Arc<AtomicBool>,
    runtime: Handle,
    calls: JoinSet<()>,
    /// When overload was logged last.
    overload_logged_at: Option<Instant>,
}

impl Dispatch {
    /// Starts each call at its time; gives those that are still out.
    fn run(mut self, arrivals: Arrivals) -> JoinSet<()> {
        for arrival in arrivals {
            let due = self.load_start + arrival.offset;
            if !self.sleep_until(due) {
                break;
            }
            while let Some(ended) = self.calls.try_join_next() {
                log_panic(ended);
            }
            self.start_call(arrival, due);
        }
        self.calls
    }

    fn start_call(&mut self, arrival: Arrival, due: Instant) {
        if self.calls.len() >= self.max_in_flight {
            self.caller.record_unsent(&arrival, due);
            self.log_overload();
            return;
        }
        let caller = Arc::clone(&self.caller);
        self.calls.spawn_on(async move { caller.run_call(arrival, due).await }, &self.runtime);
    }

    /// Whether the run still goes on at that time.
    fn sleep_until(&self, due: Instant) -> bool {
        loop {
            if self.stop_requested.load(Ordering::Relaxed) {
                return false;
            }
            let remaining = due.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return true;
            }
            thread::sleep(remaining.min(STOP_CHECK_INTERVAL));
        }
    }

    fn log_overload(&mut self) {
        if self.overload_logged_at.is_none_or(|at| at.elapsed() >= MIN_LOG_INTERVAL) {
            tracing::warn!(
                outstanding = self.max_in_flight,
                "the client is overloaded: calls are not sent and fail"
            );
            self.overload_logged_at = Some(Instant::now());
        }
    }
}

fn log_panic(ended: Result<(), tokio::task::JoinError>) {
    if let Err(error) = ended {
        tracing::error!(%error, "a client's call has no end");
    }
}
