//! The operator's metrics, in the OpenMetrics text format. All metric names are defined here.

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

/// How a client's request was answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AnswerKind {
    /// The client got an upstream's answer.
    Served,
    /// The request was refused without being executed; the client may safely retry.
    Refused,
    /// The request failed; it may have been executed.
    Failed,
    /// The request was rejected as malformed.
    Malformed,
}

/// Why a request was ended unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum UnservedCause {
    /// The rate limits did not admit the request.
    Suppressed,
    /// There was no upstream that the request could be sent to.
    NoUpstream,
    /// The last attempt failed, and no further attempt was made.
    AttemptFailed,
    /// No file descriptor was left for an attempt.
    Descriptors,
    /// No memory was left for the request.
    Memory,
    /// The process is shutting down and keeps its last free client connections free.
    ShuttingDown,
}

impl From<UnservedReason> for UnservedCause {
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
#[expect(missing_docs, reason = "the variants of `Outcome`")]
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
pub enum CloseReason {
    /// The client closed the connection, or an answer announced the close.
    Served,
    /// No complete request head arrived in time.
    Idle,
    /// The connection's descriptor was needed for another connection.
    Evicted,
    /// The connection's memory was needed for other requests.
    Memory,
    /// The client did not read its answer.
    Stalled,
    /// The process is shutting down.
    ShuttingDown,
}

/// How a watch on discovery ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum WatchEnd {
    /// Discovery refused the connection.
    Unreachable,
    /// The connection could not be established for another reason.
    Connect,
    /// No complete update arrived for too long.
    Silent,
    /// Discovery answered with a status other than 200.
    Status,
    /// The connection broke, or discovery closed it.
    Broken,
    /// An update could not be parsed, or was too long.
    Malformed,
}

/// To what extent the list of upstreams is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
#[expect(missing_docs, reason = "the variants of `TrustLevel`")]
pub enum ListTrust {
    Confirmed,
    Held,
    Proved,
    Expired,
}

impl From<TrustLevel> for ListTrust {
    fn from(level: TrustLevel) -> Self {
        match level {
            TrustLevel::Confirmed => Self::Confirmed,
            TrustLevel::Held => Self::Held,
            TrustLevel::Proved => Self::Proved,
            TrustLevel::Expired => Self::Expired,
        }
    }
}

/// Defines label sets that have one label each.
macro_rules! labels {
    ($($set:ident { $label:ident: $value:ty })*) => {$(
        #[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
        struct $set {
            $label: $value,
        }
    )*};
}

labels! {
    AnswerLabel { answer: AnswerKind }
    UnservedLabel { reason: UnservedCause }
    OutcomeLabel { outcome: AttemptOutcome }
    CloseLabel { reason: CloseReason }
    WatchEndLabel { reason: WatchEnd }
    TrustLabel { level: ListTrust }
}

/// The metrics of one process.
#[derive(Debug, Default)]
pub struct Metrics {
    /// All metrics under their names, for the text output.
    registry: Registry,
    /// Client requests by answer.
    requests: Family<AnswerLabel, Counter>,
    /// Requests refused or failed, by reason.
    unserved: Family<UnservedLabel, Counter>,
    /// Requests whose client disconnected, or whose deadline passed, before they were ended.
    abandoned: Counter,
    /// Ended attempts by outcome.
    attempts: Family<OutcomeLabel, Counter>,
    /// Attempts beyond the first of their request.
    further_attempts: Counter,
    /// Ejections of upstreams.
    ejections: Counter,
    /// Closed client connections by reason.
    closed: Family<CloseLabel, Counter>,
    /// Failures to accept a client connection.
    accept_failures: Counter,
    /// Watches requested from discovery.
    watches: Counter,
    /// Ended watches on discovery by reason.
    watch_ends: Family<WatchEndLabel, Counter>,
    /// Version of the current list of upstreams.
    list_version: Gauge,
    /// 1 while a watch confirms the list of upstreams, otherwise 0.
    list_confirmed: Gauge,
    /// Changes of the trust in the list of upstreams, by the new level.
    list_trust_changes: Family<TrustLabel, Counter>,
    /// Listed upstreams that accept requests.
    members_ready: Gauge,
    /// Listed upstreams that are draining.
    members_draining: Gauge,
    /// Requests without a final answer or with attempts in flight.
    requests_open: Gauge,
    /// File descriptors counted as in use.
    descriptors: Gauge,
    /// Bytes reserved for large heads and bodies of requests.
    request_memory: Gauge,
    /// Bytes reserved for large answers.
    answer_memory: Gauge,
}

impl Metrics {
    /// Registers all metrics, with their initial value 0.
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
        registry.register(
            "request_memory_bytes",
            "Memory reserved for large requests",
            metrics.request_memory.clone(),
        );
        registry.register(
            "answer_memory_bytes",
            "Memory reserved for large answers",
            metrics.answer_memory.clone(),
        );
        Self { registry, ..metrics }
    }

    /// Counts a request that was answered.
    pub fn request_answered(&self, answer: AnswerKind) {
        self.requests.get_or_create(&AnswerLabel { answer }).inc();
    }

    /// Counts a request that was ended unserved.
    pub fn request_unserved(&self, reason: UnservedCause) {
        self.unserved.get_or_create(&UnservedLabel { reason }).inc();
    }

    /// Counts a request whose client disconnected, or whose deadline passed, before it was ended.
    pub fn request_abandoned(&self) {
        self.abandoned.inc();
    }

    /// Counts an attempt beyond the first of its request; `is_further` tells whether it is one.
    pub fn attempt_started(&self, is_further: bool) {
        if is_further {
            self.further_attempts.inc();
        }
    }

    /// Counts an attempt that ended with this outcome.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.attempts.get_or_create(&OutcomeLabel { outcome: outcome.into() }).inc();
    }

    /// Counts the ejection of an upstream.
    pub fn ejected(&self) {
        self.ejections.inc();
    }

    /// Counts a client connection that was closed.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.closed.get_or_create(&CloseLabel { reason }).inc();
    }

    /// Counts a failed accept.
    pub fn accept_failed(&self) {
        self.accept_failures.inc();
    }

    /// Counts a watch that is requested from discovery.
    pub fn watch_requested(&self) {
        self.watches.inc();
    }

    /// Counts a watch that has ended.
    pub fn watch_ended(&self, reason: WatchEnd) {
        self.watch_ends.get_or_create(&WatchEndLabel { reason }).inc();
    }

    /// Sets the version of the current list, and how many of its upstreams are ready and draining.
    pub fn list_changed(&self, version: u64, ready: usize, draining: usize) {
        self.list_version.set(version as i64);
        self.members_ready.set(ready as i64);
        self.members_draining.set(draining as i64);
    }

    /// Counts a change of the trust in the list of upstreams.
    pub fn list_trust_changed(&self, level: TrustLevel) {
        self.list_confirmed.set(i64::from(level == TrustLevel::Confirmed));
        self.list_trust_changes.get_or_create(&TrustLabel { level: level.into() }).inc();
    }

    /// Sets the numbers of pending requests and of open descriptors.
    pub fn set_usage(&self, requests_open: usize, descriptors: usize) {
        self.requests_open.set(requests_open as i64);
        self.descriptors.set(descriptors as i64);
    }

    /// Sets the memory that is reserved for large requests and answers, in bytes.
    pub fn set_reserved_memory(&self, request_bytes: usize, answer_bytes: usize) {
        self.request_memory.set(request_bytes as i64);
        self.answer_memory.set(answer_bytes as i64);
    }

    /// All metrics as text.
    #[must_use]
    pub fn text(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
