//! The inputs and outputs of a [`Balancer`](crate::Balancer): settings, events and actions.
//!
//! This module contains no decisions. Identifiers are small integers assigned by the embedding program; a
//! class, tenant or zone is identified by its index in the [`Settings`].

use std::time::Duration;

use thiserror::Error;

use crate::report::Report;

/// A point in time, as the time since a fixed moment of the embedding program's clock.
pub type Timestamp = Duration;

/// Identifies a request; not reused after the request and all its attempts have ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestId(pub u64);

/// Identifies an upstream; the same in every replica of the balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct UpstreamId(pub u32);

/// Index of a class in [`Settings::classes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassId(pub usize);

/// Index of a tenant in [`Settings::tenants`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TenantId(pub usize);

/// Index of a zone, below [`Settings::zone_count`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub usize);

/// Index of a machine type, below [`Settings::machine_type_count`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct MachineTypeId(pub usize);

/// Number of an attempt within its request, counted from 0 in the order of sending.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct AttemptNumber(pub u32);

/// The group of upstreams that share their record of idempotency keys and so discard duplicates of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DedupScope {
    /// All upstreams share one record.
    All,
    /// The upstreams of a zone share one record.
    Zone,
    /// The upstreams of a cell share one record.
    Cell,
}

/// Whether the requests of a class may be executed more than once.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Idempotency {
    /// Executing a request repeatedly does no harm.
    Idempotent,
    /// Requests carry an idempotency key by which a group of upstreams discards duplicates for a limited
    /// time.
    Deduplicated {
        /// The upstreams that discard duplicates.
        scope: DedupScope,
        /// How long duplicates are discarded after the first attempt that may have been executed.
        window: Duration,
    },
    /// A request must never be executed twice.
    NonIdempotent,
}

/// A class of requests with common latency targets and idempotency.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Responses within this time earn the full value (soft deadline).
    pub latency_target: Duration,
    /// How long a client waits in total (hard deadline).
    pub deadline: Duration,
    /// The fraction of the full value that a response after the latency target still earns, 0 to 1.
    pub late_value: f64,
    /// Whether requests of the class may be executed more than once.
    pub idempotency: Idempotency,
}

/// A tenant and its quota.
#[derive(Debug, Clone, PartialEq)]
pub struct Tenant {
    /// Requests per second over all replicas that are within its quota; `None` if the quota is unknown.
    pub quota: Option<f64>,
}

/// How the balancer receives the list of upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DiscoveryMode {
    /// Discovery sends changes to every replica without a subscription.
    Push,
    /// Discovery sends changes only to replicas that have subscribed.
    Subscribe,
}

/// What the site supports and permits.
#[derive(Debug, Clone, PartialEq)]
pub struct Capabilities {
    /// Maximum number of attempts per request, the first included.
    pub max_attempts: u32,
    /// Whether hedged requests are permitted: a second attempt while the first is still in flight.
    pub hedging: bool,
    /// Whether attempts in flight may be cancelled.
    pub cancellation: bool,
    /// Whether health checks may be sent.
    pub probes: bool,
    /// Whether replicas of the balancer may send each other messages.
    pub peer_messages: bool,
    /// Connections that have been idle for this long are closed.
    pub keepalive_timeout: Duration,
    /// Maximum number of concurrent attempts on one connection.
    pub max_concurrent_streams: u32,
    /// The longest retry-after time that clients honour; `None` if clients are not given any.
    pub max_retry_after: Option<Duration>,
}

/// Parameters of the rules that the site enforces on the balancer: deadlines, drains, discovery and slow
/// start.
#[derive(Debug, Clone, PartialEq)]
pub struct Rules {
    /// Time after the client's deadline within which a final answer still counts.
    pub deadline_grace: Duration,
    /// Time after an upstream is known to drain or to be gone within which sends to it must end.
    pub drain_grace: Duration,
    /// The longest time that a replica without a subscription may go without asking discovery; `None` if
    /// lists are pushed, in which case they count as delivered even while the replica has no subscription.
    pub max_poll_interval: Option<Duration>,
    /// The minimum fraction of its capacity that an upstream has right after its start, above 0 and up to 1.
    pub slow_start_min_fraction: f64,
    /// Time after its start at which an upstream has reached its full capacity at the latest.
    pub slow_start_duration: Duration,
    /// Load, as a multiple of its present capacity, above which an upstream in slow start fails from overload
    /// if it lasts for `overload_duration`.
    pub overload_factor: f64,
    /// How long an upstream in slow start must be sent more than `overload_factor` allows before it fails.
    pub overload_duration: Duration,
}

/// Costs to weigh when choosing an upstream, relative to the value of one request served in full.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Costs {
    /// Cost of an attempt that is sent to another zone.
    pub cross_zone: f64,
    /// Cost of work that an upstream does for one request without any use.
    pub wasted_work: f64,
    /// Cost of a request that ends unserved after its latency target.
    pub late_failure: f64,
    /// Cost of opening a connection.
    pub handshake: f64,
    /// Cost of a health check.
    pub probe: f64,
}

/// The settings of one replica of the balancer, given at its start and replaced by
/// [`Event::SettingsChanged`].
#[derive(Debug, Clone, PartialEq)]
pub struct Settings {
    /// This replica's index, from 0.
    pub replica_index: u32,
    /// Number of replicas that send to the same tier.
    pub replica_count: u32,
    /// The tier that requests are sent to; 0 is the tier that serves external clients.
    pub tier: usize,
    /// The zone that this replica runs in; its upstreams are preferred.
    pub zone: ZoneId,
    /// Number of zones that the site has.
    pub zone_count: usize,
    /// Number of machine types that upstreams of the site have.
    pub machine_type_count: usize,
    /// The classes of requests, at least one.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// The fraction of its value that a request beyond its tenant's quota still has, 0 to 1.
    pub over_quota_value: f64,
    /// How the list of upstreams is received.
    pub discovery: DiscoveryMode,
    /// Whether calls from tier to tier carry the time remaining until the client's deadline.
    pub propagates_deadline: bool,
    /// What the site supports and permits.
    pub capabilities: Capabilities,
    /// Parameters of the rules that the site enforces.
    pub rules: Rules,
    /// Costs to weigh when choosing an upstream.
    pub costs: Costs,
}

/// Why [`Settings`] are invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
pub enum SettingsError {
    /// The list of classes is empty.
    #[error("there is no class of requests")]
    NoClasses,
    /// The replica's own zone is not one of the zones, or there are none.
    #[error("the zone of this replica is not among the zones")]
    UnknownZone,
    /// The number of replicas is 0.
    #[error("the number of replicas is 0")]
    NoReplicas,
    /// The maximum number of attempts is 0.
    #[error("the maximum number of attempts is 0")]
    NoAttempts,
    /// A class's latency target or deadline is 0, or the target is after the deadline; holds the class's
    /// index.
    #[error("class {0}: latency target and deadline must be above 0, and the target not after the deadline")]
    InvalidClassTimes(usize),
    /// A replacement has fewer entries of a kind than the settings in force, so indices in use would be
    /// invalid.
    #[error("{0} of the settings in force are missing from the replacement")]
    MissingEntries(&'static str),
    /// The named value is outside its valid range.
    #[error("{0} is out of range")]
    OutOfRange(&'static str),
}

impl Settings {
    /// Settings of a single replica in a single zone, with default rules and no tenants; change the fields
    /// that differ.
    #[must_use]
    pub fn single_zone(classes: Vec<Class>) -> Self {
        Self {
            replica_index: 0,
            replica_count: 1,
            tier: 0,
            zone: ZoneId(0),
            zone_count: 1,
            machine_type_count: 1,
            classes,
            tenants: Vec::new(),
            over_quota_value: 1.0,
            discovery: DiscoveryMode::Push,
            propagates_deadline: true,
            capabilities: Capabilities {
                max_attempts: 3,
                hedging: false,
                cancellation: true,
                probes: false,
                peer_messages: false,
                keepalive_timeout: Duration::from_secs(15),
                max_concurrent_streams: 100,
                max_retry_after: None,
            },
            rules: Rules {
                deadline_grace: Duration::from_millis(20),
                drain_grace: Duration::from_secs(1),
                max_poll_interval: None,
                slow_start_min_fraction: 0.1,
                slow_start_duration: Duration::from_secs(30),
                overload_factor: 3.0,
                overload_duration: Duration::from_secs(2),
            },
            costs: Costs { cross_zone: 0.0, wasted_work: 0.0, late_failure: 0.0, handshake: 0.0, probe: 0.0 },
        }
    }

    /// Checks that the settings are valid.
    ///
    /// # Errors
    /// The first invalid value found.
    pub fn validate(&self) -> Result<(), SettingsError> {
        if self.classes.is_empty() {
            return Err(SettingsError::NoClasses);
        }
        if self.zone.0 >= self.zone_count {
            return Err(SettingsError::UnknownZone);
        }
        if self.replica_count == 0 {
            return Err(SettingsError::NoReplicas);
        }
        if self.capabilities.max_attempts == 0 {
            return Err(SettingsError::NoAttempts);
        }
        if self.capabilities.max_concurrent_streams == 0 {
            return Err(SettingsError::OutOfRange("max concurrent streams"));
        }
        for (index, class) in self.classes.iter().enumerate() {
            if class.latency_target.is_zero() || class.latency_target > class.deadline {
                return Err(SettingsError::InvalidClassTimes(index));
            }
            check_range(class.late_value, 0.0, 1.0, "late value")?;
        }
        for quota in self.tenants.iter().filter_map(|tenant| tenant.quota) {
            check_range(quota, 0.0, 1e12, "quota")?;
        }
        check_range(self.over_quota_value, 0.0, 1.0, "over-quota value")?;
        check_range(
            self.rules.slow_start_min_fraction,
            f64::MIN_POSITIVE,
            1.0,
            "slow start minimum fraction",
        )?;
        check_range(self.rules.overload_factor, f64::MIN_POSITIVE, 1e6, "overload factor")?;
        let Costs { cross_zone, wasted_work, late_failure, handshake, probe } = self.costs;
        for cost in [cross_zone, wasted_work, late_failure, handshake, probe] {
            check_range(cost, 0.0, 1e6, "cost")?;
        }
        Ok(())
    }
}

impl Settings {
    /// Checks that these settings can replace `current` while the replica runs: classes, tenants, zones and
    /// machine types keep their indices, and new ones are appended. An entry that is no longer used keeps its
    /// index; such a tenant then has a quota of 0.
    ///
    /// # Errors
    /// The settings are invalid, or entries of `current` are missing.
    pub fn validate_replacement_of(&self, current: &Self) -> Result<(), SettingsError> {
        self.validate()?;
        let counts = [
            ("classes", self.classes.len(), current.classes.len()),
            ("tenants", self.tenants.len(), current.tenants.len()),
            ("zones", self.zone_count, current.zone_count),
            ("machine types", self.machine_type_count, current.machine_type_count),
        ];
        let missing = counts.into_iter().find(|(_, new, current)| new < current);
        missing.map_or(Ok(()), |(name, ..)| Err(SettingsError::MissingEntries(name)))
    }
}

/// Checks that the named value is between `min` and `max`; NaN is out of range.
fn check_range(value: f64, min: f64, max: f64, name: &'static str) -> Result<(), SettingsError> {
    if (min..=max).contains(&value) { Ok(()) } else { Err(SettingsError::OutOfRange(name)) }
}

/// The state of an upstream's process as discovery reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// The upstream is running and accepts requests.
    Ready,
    /// The upstream finishes its requests in flight and accepts no new ones.
    Draining,
    /// The upstream has been removed.
    Gone,
}

/// An upstream as listed by discovery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Member {
    /// The upstream's id.
    pub id: UpstreamId,
    /// The upstream's zone; `None` if the settings do not contain it.
    pub zone: Option<ZoneId>,
    /// The upstream's machine type; `None` if the settings do not contain it.
    pub machine_type: Option<MachineTypeId>,
    /// The upstream's cell, which matters for classes that are deduplicated per cell.
    pub cell: u32,
    /// The state of the upstream's process.
    pub phase: Phase,
    /// The upstream's capacity relative to other upstreams; 1 if discovery does not report capacities.
    pub weight: f64,
    /// When the upstream's process last started; `None` if that was long ago.
    pub started_at: Option<Timestamp>,
}

/// An update of the list of upstreams, or the failure to get one.
#[derive(Debug, Clone, PartialEq)]
pub enum DiscoveryUpdate {
    /// The full list: upstreams that are absent have been removed.
    Full(Vec<Member>),
    /// A full list from a cache that may be outdated, such as the last list that the replica knew. It is
    /// applied like [`Self::Full`], but does not show that a subscription is up.
    Stale(Vec<Member>),
    /// Only the entries that have changed.
    Incremental(Vec<Member>),
    /// A call to discovery failed or the subscription broke; the current list remains.
    Failed,
    /// The subscription was given up after it had delivered nothing for this long; the current list remains.
    TimedOut(Duration),
    /// Nothing accepts connections at discovery's address: it is down. The current list remains.
    Unreachable,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream served the attempt.
    Good,
    /// The upstream answered with an error; the attempt may have been executed.
    Error,
    /// The upstream rejected the attempt without processing it; it was never executed.
    Refused,
    /// There was no answer in time; the attempt may have been executed or still be running.
    TimedOut,
    /// No connection could be opened; the attempt was never executed.
    ConnectFailed,
    /// The connection broke; the attempt may have been executed.
    Reset,
    /// The balancer cancelled the attempt; it may have been executed.
    Withdrawn,
    /// The attempt was never sent.
    NotSent,
}

impl Outcome {
    /// Whether this outcome proves that the attempt was never executed.
    #[must_use]
    pub fn never_ran(self) -> bool {
        matches!(self, Self::Refused | Self::ConnectFailed | Self::NotSent)
    }
}

/// An upstream's load, as reported with an answer; values that the site does not report are `None`.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct LoadReport {
    /// Number of requests being processed.
    pub active_requests: Option<f64>,
    /// Number of requests waiting in the upstream's queue.
    pub queued_requests: Option<f64>,
    /// Fraction of the processor in use.
    pub utilization: Option<f64>,
    /// Recent mean time to serve a request, without the time spent in the queue.
    pub service_time: Option<Duration>,
    /// Requests served per second.
    pub request_rate: Option<f64>,
    /// Errors per second.
    pub error_rate: Option<f64>,
}

/// A request that the replica has received from a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Request {
    /// The request's id.
    pub id: RequestId,
    /// The request's class.
    pub class: ClassId,
    /// The request's tenant, if it has one.
    pub tenant: Option<TenantId>,
    /// Identifies the resource that the request is about, if the site's requests carry such a key.
    pub resource_key: Option<u64>,
    /// How much longer the client waits for the answer.
    pub time_left: Duration,
    /// The work that the request is expected to take, as time on a standard core, if known.
    pub expected_work: Option<Duration>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
}

/// The end of an attempt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AttemptEnded {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: AttemptNumber,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// How long the attempt took. On real sockets the time starts when its connection is open, if it was
    /// opened.
    pub duration: Duration,
    /// Whether the request has ended, with this attempt or before.
    pub request_ended: bool,
    /// The upstream's load report, if the answer carried one.
    pub load: Option<LoadReport>,
}

/// An input to the [`Balancer`](crate::Balancer).
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// The replica has started and may subscribe to discovery.
    Started,
    /// Discovery has sent an update, or a call to it has failed.
    Discovery(DiscoveryUpdate),
    /// An update from discovery's former address, after [`Self::DiscoveryMoved`]: it is applied, but does not
    /// confirm the list.
    FormerDiscovery(DiscoveryUpdate),
    /// Discovery has a new address from now on; the subscription at the former one is about to end.
    DiscoveryMoved,
    /// New settings take effect; ignored unless [`Settings::validate_replacement_of`] accepts them. Pending
    /// requests keep the deadline that they were given, and the idempotency rules are never relaxed for them.
    SettingsChanged(Box<Settings>),
    /// A client's request has been received.
    Request(Request),
    /// An upstream has begun a streamed response, which is passed on to the client: from now on the request
    /// is bound to this attempt.
    ResponseStarted {
        /// The request that is answered.
        request: RequestId,
        /// The attempt that answers it.
        attempt: AttemptNumber,
    },
    /// An attempt has ended.
    AttemptEnded(AttemptEnded),
    /// The client has disconnected, or the final answer is overdue: the request needs no answer any more.
    RequestAbandoned(RequestId),
    /// The timer set by [`Action::SetTimer`] has expired.
    TimerFired,
    /// A health check has ended.
    ProbeEnded {
        /// The upstream that was checked.
        upstream: UpstreamId,
        /// How the health check ended.
        outcome: Outcome,
        /// How long the health check took.
        duration: Duration,
        /// The upstream's load report, if the answer carried one.
        load: Option<LoadReport>,
    },
    /// Another replica has sent a message.
    PeerMessage {
        /// The index of the replica that sent it.
        sender: u32,
        /// The bytes of the message.
        payload: Vec<u8>,
    },
}

/// An output of the [`Balancer`](crate::Balancer), which the embedding program carries out.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Send an attempt of a request to an upstream. Attempts of a request are numbered from 0 in the order
    /// sent.
    Send {
        /// The request to send.
        request: RequestId,
        /// The upstream to send it to.
        upstream: UpstreamId,
        /// Give up the attempt after this long; `None` for as long as the client waits.
        timeout: Option<Duration>,
        /// Do not send the request later than this, in case the connection takes longer to open.
        start_within: Duration,
    },
    /// Stop waiting for an attempt; its end must still be reported.
    CancelAttempt {
        /// The request that the attempt belongs to.
        request: RequestId,
        /// The attempt to cancel.
        attempt: AttemptNumber,
    },
    /// End the request unserved, with an answer that says that the client may safely retry.
    Refuse {
        /// The request to end.
        request: RequestId,
        /// How long the client should wait before it retries, if it is told.
        retry_after: Option<Duration>,
    },
    /// End the request unserved, without saying whether it was executed.
    Fail {
        /// The request to end.
        request: RequestId,
    },
    /// Open a lasting subscription to discovery's list of upstreams.
    SubscribeToDiscovery,
    /// Send a health check; report its result as [`Event::ProbeEnded`].
    Probe {
        /// The upstream to check.
        upstream: UpstreamId,
    },
    /// End all attempts whose connection to an upstream is not open yet, with [`Outcome::ConnectFailed`].
    AbortPendingConnects {
        /// The upstream that connections are being opened to.
        upstream: UpstreamId,
    },
    /// Close the idle connections to an upstream.
    CloseIdleConnections {
        /// The upstream that the connections lead to.
        upstream: UpstreamId,
    },
    /// Deliver [`Event::TimerFired`] after this long.
    SetTimer(Duration),
    /// Log or count a decision for the operator.
    Report(Report),
}
