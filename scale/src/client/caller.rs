//! One client's call from its scheduled arrival to its end, including retries.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use hyper::StatusCode;
use tokio::time::{sleep, sleep_until, timeout_at};

use super::arrivals::Arrival;
use super::connection::{Answer, Connection, ExchangeError};
use super::pool::Pool;
use super::request::RequestBuilder;
use crate::process::settings::MAX_RETRY_AFTER_S;
use crate::record::{Call, CallOutcome, Record};
use crate::scenario::Load;
use crate::topology::BalancerKind;

/// Delay before a refused call is retried if the answer has no `Retry-After`.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Where calls go, which determines what is recorded about them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    /// Calls go through balancers, and everything about them is recorded.
    Balancers,
    /// Calls go directly to nodes, and only the latency of served calls is recorded.
    Nodes,
}

impl Route {
    /// Hop number of the request when it reaches its target: 1 at a balancer, 0 at a node, as only the hops
    /// behind a balancer are counted.
    fn hop(self) -> u32 {
        match self {
            Self::Balancers => 1,
            Self::Nodes => 0,
        }
    }
}

/// Time limits of the clients' calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// How long a client waits for its answer, including retries.
    pub(super) deadline: Duration,
    /// A request that is still unanswered this long after the deadline is lost.
    pub(super) grace: Duration,
    /// A close within this time after the request was written may have raced with the request, which is then
    /// sent again. After a later close the request counts as read, because a balancer waits just this long
    /// for a request that may be on its way before it closes.
    pub(super) close_race_window: Duration,
}

impl Limits {
    pub(super) fn of(load: &Load) -> Self {
        Self {
            deadline: Duration::try_from_secs_f64(load.deadline_s).unwrap_or(Duration::MAX),
            grace: Duration::from_millis(500),
            close_race_window: Duration::from_millis(100),
        }
    }
}

/// How one attempt of a call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum AttemptOutcome {
    Served,
    Refused { retry_after: Option<Duration> },
    Failed,
    Lost,
}

/// What happened to a request on one connection.
#[derive(Debug)]
enum SendOutcome {
    /// The attempt has ended with this outcome.
    Finished(AttemptOutcome),
    /// The connection was closed before the request was written; the request can go on another one.
    NotSent,
    /// The connection was closed while the request was on its way; the request is sent once more on a new
    /// one.
    ClosedInFlight,
}

/// Makes the calls of one route: through balancers, or directly to nodes.
#[derive(Debug)]
pub(super) struct Caller {
    route: Route,
    limits: Limits,
    max_retries: u32,
    pools: Vec<Pool>,
    request_builder: RequestBuilder,
    record: Arc<Record>,
    /// Whether a failure on the client's side has been logged.
    local_error_logged: AtomicBool,
}

impl Caller {
    pub(super) fn new(
        route: Route,
        load: &Load,
        limits: Limits,
        targets: &[SocketAddr],
        record: Arc<Record>,
    ) -> Self {
        let depths = load.depths.iter().map(|depth| depth.hops);
        Self {
            route,
            limits,
            max_retries: load.client_retries,
            pools: targets.iter().map(|&address| Pool::new(address)).collect(),
            request_builder: RequestBuilder::new(route.hop(), depths, targets),
            record,
            local_error_logged: AtomicBool::new(false),
        }
    }

    /// Makes a call that was due at `due`, and records how it ended.
    pub(super) async fn run_call(&self, arrival: Arrival, due: Instant) {
        let lag = due.elapsed();
        self.record.measured().client_lag_us.add(lag);
        let outcome = match arrival.disconnect_after {
            None => self.attempt_with_retries(&arrival, due).await,
            Some(disconnect_after) => tokio::select! {
                biased;
                outcome = self.attempt_with_retries(&arrival, due) => outcome,
                () = sleep_until((due + disconnect_after).into()) => CallOutcome::ClientDisconnected,
            },
        };
        self.record_outcome(&arrival, due, outcome);
    }

    /// Records a call that was not sent because too many calls were in flight.
    pub(super) fn record_unsent(&self, arrival: &Arrival, due: Instant) {
        self.record.measured().client_unsent += 1;
        self.record_outcome(arrival, due, CallOutcome::Failed);
    }

    fn record_outcome(&self, arrival: &Arrival, due: Instant, outcome: CallOutcome) {
        let ended_at = Instant::now();
        let latency = ended_at.saturating_duration_since(due);
        match self.route {
            Route::Balancers => {
                self.record.add_call(Call {
                    balancer_kind: BalancerKind::Real,
                    hops: arrival.hops,
                    outcome,
                    latency,
                    ended_at,
                });
            }
            Route::Nodes if outcome == CallOutcome::Served => {
                self.record.measured().direct_latency_us.add(latency)
            }
            Route::Nodes => {}
        }
    }

    async fn attempt_with_retries(&self, arrival: &Arrival, due: Instant) -> CallOutcome {
        let mut attempt_number = 0;
        loop {
            let delay = match self.attempt(arrival, attempt_number, due).await {
                AttemptOutcome::Served => return CallOutcome::Served,
                AttemptOutcome::Failed => return CallOutcome::Failed,
                AttemptOutcome::Lost => return CallOutcome::Lost,
                AttemptOutcome::Refused { retry_after } => retry_delay(retry_after),
            };
            // A retry that could not start before the deadline is not made.
            if attempt_number >= self.max_retries || delay >= self.remaining(due) {
                return CallOutcome::Refused;
            }
            sleep(delay).await;
            attempt_number += 1;
        }
    }

    /// Time that is left until the client's deadline.
    fn remaining(&self, due: Instant) -> Duration {
        self.limits.deadline.saturating_sub(due.elapsed())
    }

    /// Makes one attempt, which has its own request id.
    async fn attempt(&self, arrival: &Arrival, attempt_number: u32, due: Instant) -> AttemptOutcome {
        if self.route == Route::Balancers {
            self.record.count_hop_call(BalancerKind::Real, self.route.hop());
        }
        let pool = &self.pools[arrival.target];
        let mut idle = pool.take_idle();
        loop {
            let Some(connection) = self.reuse_or_open(idle, pool, due).await else {
                return AttemptOutcome::Failed;
            };
            match self.send(connection, arrival, attempt_number, due).await {
                SendOutcome::Finished(end) => return end,
                SendOutcome::NotSent => idle = pool.take_idle(),
                SendOutcome::ClosedInFlight => {
                    self.record.measured().client_resent += 1;
                    idle = None;
                }
            }
        }
    }

    /// Sends the request on a connection and waits for its answer.
    async fn send(
        &self,
        mut connection: Connection,
        arrival: &Arrival,
        attempt_number: u32,
        due: Instant,
    ) -> SendOutcome {
        let pool = &self.pools[arrival.target];
        let remaining = self.remaining(due);
        if remaining.is_zero() {
            pool.put_back(connection);
            return SendOutcome::Finished(AttemptOutcome::Failed);
        }
        let request = self.request_builder.build(arrival, attempt_number, remaining);
        let (reused, sent_at) = (connection.has_answered(), Instant::now());
        let give_up_at = due + self.limits.deadline + self.limits.grace;
        let Ok(exchange_result) = timeout_at(give_up_at.into(), connection.exchange(request)).await else {
            return SendOutcome::Finished(AttemptOutcome::Lost);
        };
        match exchange_result {
            Ok(answer) => {
                pool.put_back(connection);
                SendOutcome::Finished(self.outcome_of_answer(answer, due))
            }
            Err(ExchangeError::NotSent) if reused => SendOutcome::NotSent,
            Err(ExchangeError::Closed(_)) if reused && sent_at.elapsed() <= self.limits.close_race_window => {
                SendOutcome::ClosedInFlight
            }
            Err(ExchangeError::Closed(_)) if reused => {
                SendOutcome::Finished(self.outcome_after_close(pool, due).await)
            }
            // If a connection is closed under its first request, the attempt fails whatever happened to the
            // request.
            Err(_) => SendOutcome::Finished(AttemptOutcome::Failed),
        }
    }

    /// Returns the given idle connection, or else opens a new one; `None` if that fails or takes past the
    /// deadline.
    async fn reuse_or_open(&self, idle: Option<Connection>, pool: &Pool, due: Instant) -> Option<Connection> {
        if idle.is_some() {
            return idle;
        }
        let opened = timeout_at((due + self.limits.deadline).into(), pool.open_new()).await.ok()?;
        opened.inspect_err(|error| self.log_local_error(error)).ok()
    }

    /// Logs the first failed connection that the server did not refuse or reset: such calls fail because of
    /// the client's own limits (ports, descriptors).
    fn log_local_error(&self, error: &io::Error) {
        let remote_error =
            matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset);
        if !remote_error && !self.local_error_logged.swap(true, Ordering::Relaxed) {
            tracing::warn!(%error, "the client cannot open a connection");
        }
    }

    /// Outcome of a request that had been read when its connection was closed: if the balancer still accepts
    /// connections it has lost the request; if the balancer is down the request has failed.
    async fn outcome_after_close(&self, pool: &Pool, due: Instant) -> AttemptOutcome {
        match self.reuse_or_open(None, pool, due).await {
            Some(connection) => {
                pool.put_back(connection);
                AttemptOutcome::Lost
            }
            None => AttemptOutcome::Failed,
        }
    }

    fn outcome_of_answer(&self, answer: Answer, due: Instant) -> AttemptOutcome {
        match answer.status {
            _ if due.elapsed() > self.limits.deadline => AttemptOutcome::Failed,
            StatusCode::OK => AttemptOutcome::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                AttemptOutcome::Refused { retry_after: answer.retry_after }
            }
            _ => AttemptOutcome::Failed,
        }
    }
}

/// How long a client waits before it retries a refused call.
fn retry_delay(retry_after: Option<Duration>) -> Duration {
    retry_after.map_or(DEFAULT_RETRY_DELAY, |advised| advised.min(Duration::from_secs_f64(MAX_RETRY_AFTER_S)))
}
