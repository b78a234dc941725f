//! Counters for the operator, in the OpenMetrics text format. Each is named here and nowhere else.

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;
use stilelead_decision::interface::Outcome;
use stilelead_decision::report::{TrustLevel, UnservedReason};

/// The media type of [`Metrics::text`].
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// What a client's request came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Answer {
    /// An upstream's answer was passed on.
    Served,
    /// Shed: trying again is harmless.
    Refused,
    /// Nothing is said of its effect.
    Failed,
    /// No proper request.
    Malformed,
}

/// Why a request was ended unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Reason {
    /// The rate limits.
    Suppressed,
    /// No upstream may be sent to.
    NoUpstream,
    /// The last attempt failed, and there is no further one.
    AttemptFailed,
    /// No descriptor is left.
    Descriptors,
    /// The process ends and keeps its last free connections.
    ShuttingDown,
}

impl From<UnservedReason> for Reason {
    fn from(reason: UnservedReason) -> Self {
        match reason {
            UnservedReason::Suppressed => Self::Suppressed,
            UnservedReason::NoUpstream => Self::NoUpstream,
            UnservedReason::AttemptFailed(_) => Self::AttemptFailed,
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(missing_docs, reason = "named as the outcomes of the decision module")]
pub enum AttemptOutcome {
    Good,
    Error,
    Refused,
    TimedOut,
    ConnectFailed,
    Reset,
    Withdrawn,
    NotSent,
}

impl From<Outcome> for AttemptOutcome {
    fn from(outcome: Outcome) -> Self {
        match outcome {
            Outcome::Good => Self::Good,
            Outcome::Error => Self::Error,
            Outcome::Refused => Self::Refused,
            Outcome::TimedOut => Self::TimedOut,
            Outcome::ConnectFailed => Self::ConnectFailed,
            Outcome::Reset => Self::Reset,
            Outcome::Withdrawn => Self::Withdrawn,
            Outcome::NotSent => Self::NotSent,
        }
    }
}

/// Why a client's connection was closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Close {
    /// By the client, or by an answer that says so.
    Served,
    /// No request came on it for too long.
    Idle,
    /// Its descriptor was needed.
    Evicted,
    /// The process ends.
    ShuttingDown,
}

/// How a watch on discovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum WatchEnd {
    /// Nobody listens there.
    Unreachable,
    /// No connection came up.
    Connect,
    /// Nothing was heard for too long.
    Silent,
    /// The call was answered with another status than 200.
    Status,
    /// It broke, or was ended in order.
    Broken,
    /// What came made no sense.
    Malformed,
}

/// How far the list is relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(missing_docs, reason = "named as the levels of the decision module")]
pub enum Trust {
    Confirmed,
    Held,
    Proved,
    Expired,
}

impl From<TrustLevel> for Trust {
    fn from(level: TrustLevel) -> Self {
        match level {
            TrustLevel::Confirmed => Self::Confirmed,
            TrustLevel::Held => Self::Held,
            TrustLevel::Proved => Self::Proved,
            TrustLevel::Expired => Self::Expired,
        }
    }
}

macro_rules! labels {
    ($($set:ident { $label:ident: $value:ty })*) => {$(
        #[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
        struct $set {
            $label: $value,
        }
    )*};
}

labels! {
    AnswerLabel { answer: Answer }
    ReasonLabel { reason: Reason }
    OutcomeLabel { outcome: AttemptOutcome }
    CloseLabel { reason: Close }
    WatchEndLabel { reason: WatchEnd }
    TrustLabel { level: Trust }
}

/// The counters of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    registry: Registry,
    requests: Family<AnswerLabel, Counter>,
    unserved: Family<ReasonLabel, Counter>,
    abandoned: Counter,
    attempts: Family<OutcomeLabel, Counter>,
    further_attempts: Counter,
    ejections: Counter,
    closed: Family<CloseLabel, Counter>,
    accept_failures: Counter,
    watches: Counter,
    watch_ends: Family<WatchEndLabel, Counter>,
    list_version: Gauge,
    list_confirmed: Gauge,
    list_trust_changes: Family<TrustLabel, Counter>,
    members_ready: Gauge,
    members_draining: Gauge,
    requests_open: Gauge,
    descriptors: Gauge,
}

impl Metrics {
    /// All at zero.
    #[must_use]
    pub fn new() -> Self {
        let metrics = Self::default();
        let mut registry = Registry::with_prefix("stilelead");
        registry.register("requests", "Client requests by answer", metrics.requests.clone());
        registry.register(
            "requests_unserved",
            "Requests refused or failed by reason",
            metrics.unserved.clone(),
        );
        registry.register(
            "requests_abandoned",
            "Requests whose client left, or whose time was up, before they were ended",
            metrics.abandoned.clone(),
        );
        registry.register("attempts", "Ended attempts by outcome", metrics.attempts.clone());
        registry.register(
            "attempts_further",
            "Attempts beyond the first of their request",
            metrics.further_attempts.clone(),
        );
        registry.register("ejections", "Upstreams left out for failing", metrics.ejections.clone());
        registry.register(
            "client_connections_closed",
            "Client connections closed by reason",
            metrics.closed.clone(),
        );
        registry.register("accept_failures", "Failed accepts", metrics.accept_failures.clone());
        registry.register("discovery_watches", "Watches asked for", metrics.watches.clone());
        registry.register("discovery_watch_ends", "Ended watches by reason", metrics.watch_ends.clone());
        registry.register("list_version", "Version of the list in hand", metrics.list_version.clone());
        registry.register(
            "list_confirmed",
            "1 while a watch confirms the list",
            metrics.list_confirmed.clone(),
        );
        registry.register(
            "list_trust_changes",
            "Changes of the trust in the list by level",
            metrics.list_trust_changes.clone(),
        );
        registry.register(
            "members_ready",
            "Listed upstreams that take requests",
            metrics.members_ready.clone(),
        );
        registry.register(
            "members_draining",
            "Listed upstreams that drain",
            metrics.members_draining.clone(),
        );
        registry.register(
            "requests_open",
            "Requests held or with attempts out",
            metrics.requests_open.clone(),
        );
        registry.register("descriptors", "Descriptors counted as in use", metrics.descriptors.clone());
        Self { registry, ..metrics }
    }

    /// A request has its answer.
    pub fn request_answered(&self, answer: Answer) {
        self.requests.get_or_create(&AnswerLabel { answer }).inc();
    }

    /// A request was ended unserved.
    pub fn request_unserved(&self, reason: Reason) {
        self.unserved.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// A request's client has left, or its time is up, before it was ended.
    pub fn request_abandoned(&self) {
        self.abandoned.inc();
    }

    /// An attempt has begun; `further` if its request had one before.
    pub fn attempt_started(&self, is_further: bool) {
        if is_further {
            self.further_attempts.inc();
        }
    }

    /// An attempt has ended.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.attempts.get_or_create(&OutcomeLabel { outcome: outcome.into() }).inc();
    }

    /// An upstream was ejected.
    pub fn ejected(&self) {
        self.ejections.inc();
    }

    /// A client's connection was closed.
    pub fn connection_closed(&self, reason: Close) {
        self.closed.get_or_create(&CloseLabel { reason }).inc();
    }

    /// A connection could not be accepted.
    pub fn accept_failed(&self) {
        self.accept_failures.inc();
    }

    /// Discovery is asked for a watch.
    pub fn watch_requested(&self) {
        self.watches.inc();
    }

    /// A watch has ended.
    pub fn watch_ended(&self, reason: WatchEnd) {
        self.watch_ends.get_or_create(&WatchEndLabel { reason }).inc();
    }

    /// The list has changed.
    pub fn list_changed(&self, version: u64, ready: usize, draining: usize) {
        self.list_version.set(version as i64);
        self.members_ready.set(ready as i64);
        self.members_draining.set(draining as i64);
    }

    /// The list is relied on in another way.
    pub fn list_trust_changed(&self, level: TrustLevel) {
        self.list_confirmed.set(i64::from(level == TrustLevel::Confirmed));
        self.list_trust_changes.get_or_create(&TrustLabel { level: level.into() }).inc();
    }

    /// The state at this moment.
    pub fn set_usage(&self, requests_open: usize, descriptors: usize) {
        self.requests_open.set(requests_open as i64);
        self.descriptors.set(descriptors as i64);
    }

    /// All figures as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
