//! One client's call from its drawn arrival to its end, its repeats included.

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
use super::request::Requests;
use crate::process::settings::RETRY_AFTER_MOST_S;
use crate::record::{Call, CallEnd, Record};
use crate::scenario::Load;
use crate::topology::Carrier;

/// Wait before a refused call is repeated where the answer names none.
const RETRY_WAIT: Duration = Duration::from_millis(50);

/// Where calls go, and so what is recorded of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Route {
    /// To balancers: all is recorded.
    Balancers,
    /// Straight to nodes: only the times of served calls are recorded.
    Nodes,
}

impl Route {
    /// Number of the hop that a request arrives at: only those behind a balancer count as one.
    fn hop(self) -> u32 {
        match self {
            Self::Balancers => 1,
            Self::Nodes => 0,
        }
    }
}

/// Time limits of calls.
#[derive(Debug, Clone, Copy)]
pub(super) struct Limits {
    /// How long a client waits for its answer, repeats included.
    pub(super) deadline: Duration,
    /// A request without an answer so long after that is lost.
    pub(super) grace: Duration,
    /// A close that arrives so long after the request was written may have crossed it; after that the request was
    /// read, as a balancer gives one that may be on its way just this time.
    pub(super) crossing: Duration,
}

impl Limits {
    pub(super) fn of(load: &Load) -> Self {
        Self {
            deadline: Duration::try_from_secs_f64(load.deadline_s).unwrap_or(Duration::MAX),
            grace: Duration::from_millis(500),
            crossing: Duration::from_millis(100),
        }
    }
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TryEnd {
    Served,
    Refused { retry_after: Option<Duration> },
    Failed,
    Lost,
}

/// What became of a request on one connection.
#[derive(Debug)]
enum Sent {
    /// The try is over.
    Ended(TryEnd),
    /// The connection was closed before the request was written: another one may do.
    Unsent,
    /// The connection was closed while the request was on its way: it goes out once more on a new one.
    Crossed,
}

/// Makes the calls of one route.
#[derive(Debug)]
pub(super) struct Caller {
    route: Route,
    limits: Limits,
    retries: u32,
    pools: Vec<Pool>,
    requests: Requests,
    record: Arc<Record>,
    /// A fault of the client itself has been logged.
    logged: AtomicBool,
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
            retries: load.client_retries,
            pools: targets.iter().map(|&address| Pool::new(address)).collect(),
            requests: Requests::new(route.hop(), depths, targets),
            record,
            logged: AtomicBool::new(false),
        }
    }

    /// Makes a call that was due at `due`, and records how it ended.
    pub(super) async fn call(&self, arrival: Arrival, due: Instant) {
        let lag = due.elapsed();
        self.record.measured().client_lag_us.add(lag);
        let end = match arrival.leaves_after {
            None => self.tries(&arrival, due).await,
            Some(after) => tokio::select! {
                biased;
                end = self.tries(&arrival, due) => end,
                () = sleep_until((due + after).into()) => CallEnd::Left,
            },
        };
        self.ended(&arrival, due, end);
    }

    /// Records a call that could not be made.
    pub(super) fn unsent(&self, arrival: &Arrival, due: Instant) {
        self.record.measured().client_unsent += 1;
        self.ended(arrival, due, CallEnd::Failed);
    }

    fn ended(&self, arrival: &Arrival, due: Instant, end: CallEnd) {
        let at = Instant::now();
        let took = at.saturating_duration_since(due);
        match self.route {
            Route::Balancers => {
                self.record.call(Call { carrier: Carrier::Real, hops: arrival.hops, end, took, at });
            }
            Route::Nodes if end == CallEnd::Served => self.record.measured().direct_us.add(took),
            Route::Nodes => {}
        }
    }

    async fn tries(&self, arrival: &Arrival, due: Instant) -> CallEnd {
        let mut number = 0;
        loop {
            let wait = match self.attempt(arrival, number, due).await {
                TryEnd::Served => return CallEnd::Served,
                TryEnd::Failed => return CallEnd::Failed,
                TryEnd::Lost => return CallEnd::Lost,
                TryEnd::Refused { retry_after } => wait(retry_after),
            };
            // A repeat whose time would be up before it began is none.
            if number >= self.retries || wait >= self.left(due) {
                return CallEnd::Refused;
            }
            sleep(wait).await;
            number += 1;
        }
    }

    /// What is left of the client's time.
    fn left(&self, due: Instant) -> Duration {
        self.limits.deadline.saturating_sub(due.elapsed())
    }

    /// One request with an id of its own.
    async fn attempt(&self, arrival: &Arrival, number: u32, due: Instant) -> TryEnd {
        if self.route == Route::Balancers {
            self.record.hop_call(Carrier::Real, self.route.hop());
        }
        let pool = &self.pools[arrival.target];
        let mut idle = pool.idle();
        loop {
            let Some(connection) = self.or_new(idle, pool, due).await else {
                return TryEnd::Failed;
            };
            match self.send(connection, arrival, number, due).await {
                Sent::Ended(end) => return end,
                Sent::Unsent => idle = pool.idle(),
                Sent::Crossed => {
                    self.record.measured().client_resent += 1;
                    idle = None;
                }
            }
        }
    }

    /// Sends the request on a connection and waits for its answer.
    async fn send(&self, mut connection: Connection, arrival: &Arrival, number: u32, due: Instant) -> Sent {
        let pool = &self.pools[arrival.target];
        let left = self.left(due);
        if left.is_zero() {
            pool.keep(connection);
            return Sent::Ended(TryEnd::Failed);
        }
        let request = self.requests.request(arrival, number, left);
        let (carried, sent_at) = (connection.carried(), Instant::now());
        let give_up = due + self.limits.deadline + self.limits.grace;
        let Ok(exchanged) = timeout_at(give_up.into(), connection.exchange(request)).await else {
            return Sent::Ended(TryEnd::Lost);
        };
        match exchanged {
            Ok(answer) => {
                pool.keep(connection);
                Sent::Ended(self.answered(answer, due))
            }
            Err(ExchangeError::NotSent) if carried => Sent::Unsent,
            Err(ExchangeError::Closed(_)) if carried && sent_at.elapsed() <= self.limits.crossing => {
                Sent::Crossed
            }
            Err(ExchangeError::Closed(_)) if carried => Sent::Ended(self.after_close(pool, due).await),
            // The first request on a connection that is closed has failed, whatever became of it.
            Err(_) => Sent::Ended(TryEnd::Failed),
        }
    }

    /// This connection or else a new one, if one comes up in time.
    async fn or_new(&self, idle: Option<Connection>, pool: &Pool, due: Instant) -> Option<Connection> {
        if idle.is_some() {
            return idle;
        }
        let opened = timeout_at((due + self.limits.deadline).into(), pool.open()).await.ok()?;
        opened.inspect_err(|error| self.log_own_fault(error)).ok()
    }

    /// Logs the first connection that failed for another reason than the other side's: calls then fail for the
    /// client's own limits.
    fn log_own_fault(&self, error: &io::Error) {
        let others =
            matches!(error.kind(), io::ErrorKind::ConnectionRefused | io::ErrorKind::ConnectionReset);
        if !others && !self.logged.swap(true, Ordering::Relaxed) {
            tracing::warn!(%error, "a client cannot open a connection");
        }
    }

    /// What a close under a request that had been read means: a balancer that lives has lost it, one that is gone
    /// has not.
    async fn after_close(&self, pool: &Pool, due: Instant) -> TryEnd {
        match self.or_new(None, pool, due).await {
            Some(connection) => {
                pool.keep(connection);
                TryEnd::Lost
            }
            None => TryEnd::Failed,
        }
    }

    fn answered(&self, answer: Answer, due: Instant) -> TryEnd {
        match answer.status {
            _ if due.elapsed() > self.limits.deadline => TryEnd::Failed,
            StatusCode::OK => TryEnd::Served,
            StatusCode::TOO_MANY_REQUESTS | StatusCode::SERVICE_UNAVAILABLE => {
                TryEnd::Refused { retry_after: answer.retry_after }
            }
            _ => TryEnd::Failed,
        }
    }
}

/// How long a client waits before it repeats a refused call.
fn wait(retry_after: Option<Duration>) -> Duration {
    retry_after.map_or(RETRY_WAIT, |advice| advice.min(Duration::from_secs_f64(RETRY_AFTER_MOST_S)))
}
