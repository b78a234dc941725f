//! Starts calls at their scheduled times without waiting for earlier ones: an open loop.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use tokio::runtime::Handle;
use tokio::task::{JoinSet, spawn_blocking};

use super::arrivals::{Arrival, Arrivals};
use super::caller::Caller;

/// Maximum calls of one route in flight. Beyond it, the run would measure the machine and not the balancer.
pub(super) const MAX_IN_FLIGHT_CALLS: usize = 4096;
/// Longest sleep between two checks whether the run has been stopped.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// Minimum time between two log events about overload.
const MIN_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Stops starting new calls when dropped.
struct StopOnDrop(Arc<AtomicBool>);

impl Drop for StopOnDrop {
    fn drop(&mut self) {
        self.0.store(true, Ordering::Relaxed);
    }
}

/// Makes all calls of a route and returns when the last one has ended. Dropping the future earlier starts no
/// further calls and aborts those in flight.
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
    // A dedicated thread, because the runtime's timers have a resolution of only a millisecond.
    let dispatch_result = spawn_blocking(move || dispatch.run(arrivals)).await;
    let Ok(mut calls) = dispatch_result.inspect_err(
        |error| tracing::error!(%error, "the dispatch of calls failed; no further calls are made"),
    ) else {
        return;
    };
    while let Some(joined) = calls.join_next().await {
        log_failed_call(joined);
    }
}

struct Dispatch {
    caller: Arc<Caller>,
    load_start: Instant,
    /// Maximum calls in flight; calls beyond it are recorded as failed and not sent.
    max_in_flight: usize,
    stop_requested: Arc<AtomicBool>,
    runtime: Handle,
    calls: JoinSet<()>,
    /// When overload was last logged.
    overload_logged_at: Option<Instant>,
}

impl Dispatch {
    /// Starts each call at its time and returns the calls that are still in flight.
    fn run(mut self, arrivals: Arrivals) -> JoinSet<()> {
        for arrival in arrivals {
            let due = self.load_start + arrival.offset;
            if !self.sleep_until(due) {
                break;
            }
            while let Some(joined) = self.calls.try_join_next() {
                log_failed_call(joined);
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

    /// Sleeps until `due`; `false` if the run was stopped before.
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
                "client overloaded: new calls are not sent and count as failed"
            );
            self.overload_logged_at = Some(Instant::now());
        }
    }
}

fn log_failed_call(joined: Result<(), tokio::task::JoinError>) {
    if let Err(error) = joined {
        tracing::error!(%error, "the task of a client call failed; the outcome is not recorded");
    }
}
