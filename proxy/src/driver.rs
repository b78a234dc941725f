//! Connects the decisions to the network: turns what happens into events and carries out the actions that
//! they return. Owns pending requests, idle connections and the list of upstreams.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, ClassId, DiscoveryUpdate, Idempotency, Outcome, Request, RequestId,
    SettingsError, TenantId, UpstreamId,
};
use stilelead_decision::report::{Report, UnservedReason};
use stilelead_decision::{Action, Balancer, Event};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::active_config::ActiveConfig;
use crate::arrival::ArrivalMemory;
use crate::clock::Clock;
use crate::config::Config;
use crate::directory::{Directory, UpdateSource};
use crate::discovery::{self, Update, WatchError, WatchEvents, WatchId};
use crate::memory::{MemoryPool, ReservedBytes};
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::reload::{Changes, ReloadError};
use crate::request_ids::{IdDigest, RepeatedId, RequestIds};
use crate::subscription::Subscription;
use crate::upstream::{self, AttemptResult, AttemptSpec, Connection, ForwardedRequest, Progress};

/// Descriptors that are not connections: standard streams, listener, runtime.
const RESERVED_DESCRIPTORS: usize = 16;
/// Idle upstream connections leave one in this many sockets to clients: when fewer are free, an idle
/// connection is closed before another upstream connection is opened.
const CLIENT_SHARE_DIVISOR: usize = 4;

/// The final answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// The body that an upstream answered with.
    Served(ReservedBytes),
    /// The request was not executed: the client may safely retry.
    Refused {
        /// How long the client should wait before it retries.
        retry_after: Option<Duration>,
    },
    /// The request failed, and may or may not have been executed.
    Failed,
}

/// A client's request as it is handed to the decisions.
#[derive(Debug)]
pub struct ClientRequest {
    /// The class of the request.
    pub class: ClassId,
    /// The tenant of the request; `None` where the settings have no tenants.
    pub tenant: Option<TenantId>,
    /// The resource that the request is about, if it names one.
    pub resource_key: Option<u64>,
    /// The work that the request is expected to take, if the client has estimated it.
    pub expected_work: Option<Duration>,
    /// Whether the client has marked the request as a retry.
    pub is_retry: bool,
    /// When the answer to the request has to be sent.
    pub deadline: Instant,
    /// The request to forward to upstreams.
    pub forwarded: Rc<ForwardedRequest>,
}

/// A request that has no final answer yet, or still has attempts in flight.
struct PendingRequest {
    /// Stands for the id that the client gave.
    id_digest: IdDigest,
    /// Whether the request may run more than once.
    is_idempotent: bool,
    /// Whether an attempt that has ended may have run.
    may_have_run: bool,
    /// The request to forward to upstreams.
    forwarded: Rc<ForwardedRequest>,
    /// When the final answer has to be given.
    deadline: Instant,
    /// `None` once the final answer is given, or the client has disconnected.
    answer_sender: Option<oneshot::Sender<Answer>>,
    /// The request's attempts by number; `None` once the attempt has ended or been cancelled.
    attempts: Vec<Option<InFlightAttempt>>,
    /// The number of attempts that have not reported their end, including cancelled ones.
    attempts_in_flight: u32,
    /// Whether another attempt may be sent.
    may_send: bool,
}

/// An attempt that has not ended.
struct InFlightAttempt {
    /// The upstream that the attempt is sent to.
    upstream: UpstreamId,
    /// Cancels the attempt, which then ends with the outcome sent.
    cancel: oneshot::Sender<Outcome>,
    /// How much of the attempt's request has been written.
    progress: Rc<Progress>,
}

/// An upstream connection that carries no request and is kept for the next attempt.
struct IdleConnection {
    /// The open connection.
    connection: Connection,
    /// The upstream's address that the connection leads to.
    address: SocketAddr,
    /// When the connection became idle.
    idle_since: Instant,
}

/// The mutable state of [`Driver`], borrowed while events are handled.
struct Core {
    /// Makes the decisions.
    balancer: Balancer,
    /// Events that are still to be passed to `balancer`.
    events: VecDeque<Event>,
    /// Requests without a final answer or with attempts in flight.
    requests: FxHashMap<RequestId, PendingRequest>,
    /// Client-given ids: upstreams count a second request with the same id as a duplicate.
    request_ids: RequestIds,
    /// The id that the next accepted request gets.
    next_request_id: u64,
    /// The current list of upstreams.
    directory: Directory,
    /// Idle connections by upstream, the most recently used last.
    idle_connections: FxHashMap<UpstreamId, Vec<IdleConnection>>,
    /// The watches on discovery.
    subscription: Subscription,
}

/// The state of a running balancer.
pub struct Driver {
    /// The state that events change; never borrowed across an await.
    core: RefCell<Core>,
    /// The configuration in force; a reload replaces it as a whole.
    active_config: RefCell<Rc<ActiveConfig>>,
    /// Notified when another configuration has come into force.
    reconfigured: Notify,
    /// Notified when the limit of memory may have changed.
    memory_limit_changed: Notify,
    /// Translates the runtime's time to that of the decisions.
    clock: Clock,
    /// The operator's metrics.
    metrics: Metrics,
    /// Number of connections counted by permits.
    open_sockets: Rc<Cell<usize>>,
    /// The memory for large heads and bodies of requests.
    request_memory: Arc<MemoryPool>,
    /// The part of `request_memory` that requests hold which are still arriving.
    arrival_memory: Rc<ArrivalMemory>,
    /// The memory for large answers.
    answer_memory: Arc<MemoryPool>,
    /// When the program ends, once it is shutting down.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl Driver {
    /// Starts the decisions with the list of upstreams from the configuration.
    ///
    /// # Errors
    /// The settings are invalid.
    pub fn start(mut config: Config) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let (seed, initial_list) = (config.seed, config.initial_list.take());
        let active_config = ActiveConfig::start(config);
        let memory_plan = active_config.memory_plan();
        let request_memory = MemoryPool::new(memory_plan.request_bytes);
        let core = Core {
            balancer: Balancer::new(active_config.settings(), seed)?,
            events: VecDeque::new(),
            requests: FxHashMap::default(),
            request_ids: RequestIds::default(),
            next_request_id: 0,
            directory: Directory::new(clock),
            idle_connections: FxHashMap::default(),
            subscription: Subscription::new(active_config.discovery()),
        };
        let driver = Rc::new(Self {
            core: RefCell::new(core),
            active_config: RefCell::new(Rc::new(active_config)),
            reconfigured: Notify::new(),
            memory_limit_changed: Notify::new(),
            clock,
            metrics: Metrics::new(),
            open_sockets: Rc::new(Cell::new(0)),
            arrival_memory: ArrivalMemory::new(Arc::clone(&request_memory)),
            request_memory,
            answer_memory: MemoryPool::new(memory_plan.answer_bytes),
            shutdown_deadline: Cell::new(None),
        });
        // The subscription asks for changes since the configured list, so that list is applied first. If it
        // has no upstream that can serve, the full list is requested: what it lacks may not change for a
        // long time.
        if let Some(initial_list) = initial_list {
            let version = initial_list.index;
            driver.apply_list(&initial_list, UpdateSource::Configuration);
            let resume_version = if driver.can_serve() { version } else { 0 };
            driver.core.borrow_mut().subscription.resume_from(resume_version);
        }
        driver.handle(Event::Started);
        spawn_local(Rc::clone(&driver.arrival_memory).serve_queue());
        let cleanup_driver = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                // New settings may have a shorter idle timeout.
                let _ = timeout(
                    cleanup_driver.active_config().idle_timeout() / 8,
                    cleanup_driver.reconfigured.notified(),
                )
                .await;
                cleanup_driver.close_expired();
            }
        });
        Ok(driver)
    }

    /// The configuration in force.
    #[must_use]
    pub fn active_config(&self) -> Rc<ActiveConfig> {
        Rc::clone(&self.active_config.borrow())
    }

    /// The metrics of this process.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// The memory for requests that are arriving from clients.
    #[must_use]
    pub fn arrival_memory(&self) -> &Rc<ArrivalMemory> {
        &self.arrival_memory
    }

    /// The memory for large answers of upstreams.
    #[must_use]
    pub fn answer_memory(&self) -> &Arc<MemoryPool> {
        &self.answer_memory
    }

    /// All metrics in the OpenMetrics text format.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let requests_open = self.core.borrow().requests.len();
        self.metrics.set_usage(requests_open, self.open_sockets.get() + RESERVED_DESCRIPTORS);
        self.metrics
            .set_reserved_memory(self.request_memory.reserved_bytes(), self.answer_memory.reserved_bytes());
        self.metrics.text()
    }

    /// Puts a new configuration in force, as a whole or not at all; requests in flight continue.
    ///
    /// # Errors
    /// The configuration cannot replace the one in force while the program runs.
    pub fn reconfigure(self: &Rc<Self>, config: Config) -> Result<Changes, ReloadError> {
        let old = self.active_config();
        let (new, changes) = old.replaced_by(config, self.open_sockets.get() + RESERVED_DESCRIPTORS)?;
        let (discovery, settings, memory_plan) = (new.discovery(), new.settings(), new.memory_plan());
        self.active_config.replace(Rc::new(new));
        self.request_memory.set_limit(memory_plan.request_bytes);
        self.answer_memory.set_limit(memory_plan.answer_bytes);
        self.arrival_memory.evict_excess();
        self.memory_limit_changed.notify_one();
        if settings != old.settings() {
            self.handle(Event::SettingsChanged(Box::new(settings)));
        }
        self.restart_watch(discovery, changes.needs_full_list());
        self.reconfigured.notify_one();
        Ok(changes)
    }

    /// Whether the current list has an upstream that requests can be sent to.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.core.borrow().directory.can_serve()
    }

    // --- Sockets ---

    /// Counts a connection that is not refused even if the budget is used up: a client's, which the system
    /// has already accepted, or discovery's, without which drains would be missed.
    #[must_use]
    pub fn unconditional_permit(&self) -> Permit {
        Permit::acquire(&self.open_sockets)
    }

    /// Whether so many sockets are open that unused ones have to be closed.
    #[must_use]
    pub fn short_of_sockets(&self) -> bool {
        let max = self.max_connections();
        self.open_sockets.get() >= max - max / (2 * CLIENT_SHARE_DIVISOR)
    }

    /// Whether more sockets are open than the budget allows.
    #[must_use]
    pub fn over_socket_budget(&self) -> bool {
        self.open_sockets.get() > self.max_connections()
    }

    /// Whether there is memory for another connection.
    #[must_use]
    pub fn has_memory_for_connection(&self) -> bool {
        self.open_sockets.get() < self.active_config.borrow().memory_plan().max_connections
    }

    /// Waits until the limit of memory may have changed. Only one task may wait.
    pub async fn memory_limit_changed(&self) {
        self.memory_limit_changed.notified().await;
    }

    /// How many connections the limits of descriptors and of memory allow.
    fn max_connections(&self) -> usize {
        let active_config = self.active_config.borrow();
        let descriptors = active_config.max_descriptors().saturating_sub(RESERVED_DESCRIPTORS);
        descriptors.min(active_config.memory_plan().max_connections)
    }

    /// Permits an upstream connection if the budget allows one; near the limit an idle connection is closed
    /// first.
    #[must_use]
    pub fn try_permit(&self) -> Option<Permit> {
        let max = self.max_connections();
        if self.open_sockets.get() >= max - max / CLIENT_SHARE_DIVISOR {
            self.close_lru_idle_connection();
        }
        (self.open_sockets.get() < max).then(|| self.unconditional_permit())
    }

    /// Closes the idle upstream connection that was used least recently; returns whether there was one.
    pub fn close_lru_idle_connection(&self) -> bool {
        let mut core = self.core.borrow_mut();
        let least_recent = core
            .idle_connections
            .values_mut()
            .filter(|pool| !pool.is_empty())
            .min_by_key(|pool| pool.first().map(|oldest| oldest.idle_since));
        least_recent.map(|pool| pool.remove(0)).is_some()
    }

    /// Takes the most recently used idle connection to an upstream that is still usable.
    #[must_use]
    pub fn take_idle_connection(&self, upstream: UpstreamId) -> Option<Connection> {
        let idle_timeout = self.active_config.borrow().idle_timeout();
        let mut core = self.core.borrow_mut();
        let pool = core.idle_connections.get_mut(&upstream)?;
        while let Some(latest) = pool.pop() {
            if latest.connection.is_free() && latest.idle_since.elapsed() < idle_timeout {
                return Some(latest.connection);
            }
        }
        None
    }

    /// Stores a connection for the next attempt, unless it cannot be used any more.
    pub fn store_idle_connection(&self, upstream: UpstreamId, address: SocketAddr, connection: Connection) {
        if !self.accepts_new_requests(upstream, address) || !connection.is_free() {
            return;
        }
        let idle = IdleConnection { connection, address, idle_since: Instant::now() };
        self.core.borrow_mut().idle_connections.entry(upstream).or_default().push(idle);
    }

    /// Whether the latest list allows new requests to an upstream at this address.
    #[must_use]
    pub fn accepts_new_requests(&self, upstream: UpstreamId, address: SocketAddr) -> bool {
        self.core.borrow().directory.ready_address(upstream) == Some(address)
    }

    /// Closes idle upstream connections that have timed out or cannot be used any more.
    fn close_expired(&self) {
        let idle_timeout = self.active_config.borrow().idle_timeout();
        let mut core = self.core.borrow_mut();
        for pool in core.idle_connections.values_mut() {
            pool.retain(|idle| idle.connection.is_free() && idle.idle_since.elapsed() < idle_timeout);
        }
    }

    // --- Requests ---

    /// Sets when the program ends: requests accepted from now on get no later deadline.
    pub fn set_shutdown_deadline(&self, shutdown_deadline: Instant) {
        self.shutdown_deadline.set(Some(shutdown_deadline));
    }

    /// Accepts a request; its final answer arrives through the receiver.
    ///
    /// # Errors
    /// Another request with the same client id is pending, or may have run and must not run again.
    pub fn submit(
        self: &Rc<Self>,
        request: ClientRequest,
    ) -> Result<(RequestId, oneshot::Receiver<Answer>), RepeatedId> {
        let idempotency = self.active_config().class(request.class).map(|class| class.idempotency);
        let is_idempotent = idempotency == Some(Idempotency::Idempotent);
        let (answer_sender, receiver) = oneshot::channel();
        let deadline = self
            .shutdown_deadline
            .get()
            .map_or(request.deadline, |shutdown_deadline| request.deadline.min(shutdown_deadline));
        let id = {
            let mut core = self.core.borrow_mut();
            let id_digest = core.request_ids.open(request.forwarded.request_id.as_bytes(), Instant::now())?;
            let id = RequestId(core.next_request_id);
            core.next_request_id += 1;
            let (client_id, class) =
                (request.forwarded.request_id.as_bytes().escape_ascii(), request.class.0);
            tracing::debug!(id = %client_id, class, "request accepted");
            let pending = PendingRequest {
                id_digest,
                is_idempotent,
                may_have_run: false,
                forwarded: request.forwarded,
                deadline,
                answer_sender: Some(answer_sender),
                attempts: Vec::new(),
                attempts_in_flight: 0,
                may_send: true,
            };
            core.requests.insert(id, pending);
            id
        };
        self.handle(Event::Request(Request {
            id,
            class: request.class,
            tenant: request.tenant,
            resource_key: request.resource_key,
            time_left: deadline.saturating_duration_since(Instant::now()),
            expected_work: request.expected_work,
            is_retry: request.is_retry,
        }));
        Ok((id, receiver))
    }

    /// The client has disconnected, or its deadline has passed: the request needs no answer any more.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(pending) = core.requests.get_mut(&id) else { return };
            if pending.answer_sender.take().is_none() {
                return;
            }
            tracing::debug!(id = %pending.client_id(), "client disconnected or deadline passed");
            self.metrics.request_abandoned();
            // Attempts that wait for a connection or are not fully written cannot serve anyone any more. A
            // request whose connection is closed before its last byte is never executed, so that cancelling
            // it does not depend on the `cancel` setting.
            for attempt in &mut pending.attempts {
                if let Some(in_flight) = attempt.take_if(|in_flight| !in_flight.progress.is_fully_written()) {
                    let _ = in_flight.cancel.send(Outcome::Withdrawn);
                }
            }
            core.release(id);
        }
        self.handle(Event::RequestAbandoned(id));
    }

    /// No attempt of the request begins from now on, because it would not be noticed if its client disconnected;
    /// those in flight continue.
    pub fn forbid_further_attempts(&self, id: RequestId) {
        if let Some(pending) = self.core.borrow_mut().requests.get_mut(&id) {
            tracing::debug!(id = %pending.client_id(), "no further attempts: the client sends too much");
            pending.may_send = false;
        }
    }

    /// Reports the end of an attempt to the decisions, and passes a served body on to the client.
    pub fn attempt_ended(self: &Rc<Self>, spec: &AttemptSpec, progress: &Progress, result: AttemptResult) {
        let duration = progress.time_at_upstream(spec.requested_at);
        let request_ended = {
            let mut core = self.core.borrow_mut();
            let Core { requests, directory, .. } = &mut *core;
            let Some(pending) = requests.get_mut(&spec.request) else { return };
            pending.attempts_in_flight -= 1;
            pending.may_have_run |= progress.is_fully_written() && !result.outcome.never_ran();
            self.metrics.attempt_ended(result.outcome);
            tracing::debug!(
                id = %pending.client_id(),
                attempt = spec.attempt.0,
                upstream = directory.name(spec.upstream).unwrap_or("unlisted"),
                outcome = ?result.outcome,
                took_ms = duration.as_millis(),
                "attempt ended"
            );
            if let Some(attempt) = pending.attempts.get_mut(spec.attempt.0 as usize) {
                *attempt = None;
            }
            if let Some(body) = result.body
                && let Some(sender) = pending.answer_sender.take()
            {
                // This fails if the client has just disconnected, which is reported on its own.
                let _ = sender.send(Answer::Served(body));
            }
            let request_ended = pending.answer_sender.is_none();
            core.release(spec.request);
            request_ended
        };
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: spec.request,
            attempt: spec.attempt,
            outcome: result.outcome,
            duration,
            request_ended,
            load: result.load,
        }));
    }

    // --- Discovery ---

    /// Starts a new watch if the address of discovery has changed, or if the full list is needed because the
    /// current one was read with other names. The current watch stays in use until the new one has sent its
    /// first update, so that no drain is missed.
    fn restart_watch(self: &Rc<Self>, address: SocketAddr, full_list: bool) {
        let address_changed = {
            let mut core = self.core.borrow_mut();
            if full_list {
                core.subscription.request_full_list();
            }
            core.subscription.set_address(address)
        };
        if address_changed || full_list {
            self.handle(Event::DiscoveryMoved);
        }
    }

    /// Applies an update of the list of upstreams and passes it to the decisions.
    fn apply_list(self: &Rc<Self>, update: &Update, source: UpdateSource) {
        let list = {
            let mut core = self.core.borrow_mut();
            let Core { directory, idle_connections, .. } = &mut *core;
            let active_config = self.active_config();
            directory.set_max_entries(active_config.memory_plan().max_list_entries());
            let applied = directory.apply(update, source, active_config.names());
            for upstream in applied.restarted {
                idle_connections.remove(&upstream);
            }
            // Idle connections to upstreams that are draining, gone or have moved are closed.
            idle_connections.retain(|&upstream, pool| match directory.ready_address(upstream) {
                Some(address) => {
                    pool.retain(|idle| idle.address == address);
                    true
                }
                None => false,
            });
            let (ready, draining) = directory.counts();
            self.metrics.list_changed(update.index, ready, draining);
            if !update.endpoints.is_empty() || update.snapshot {
                let (version, whole, entries) = (update.index, update.snapshot, update.endpoints.len());
                tracing::info!(origin = ?source, version, whole, entries, ready, draining, "list changed");
            }
            applied.list
        };
        self.handle(match source {
            UpdateSource::Configuration | UpdateSource::Watch => Event::Discovery(list),
            UpdateSource::FormerWatch => Event::FormerDiscovery(list),
        });
    }

    // --- Events and actions ---

    /// Passes an event to the decisions and carries out the actions that they return.
    fn handle(self: &Rc<Self>, event: Event) {
        let mut core = self.core.borrow_mut();
        core.events.push_back(event);
        let mut actions = Vec::new();
        while let Some(event) = core.events.pop_front() {
            core.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(&mut core, action);
            }
        }
    }

    /// Carries out one action that the decisions returned.
    fn carry_out(self: &Rc<Self>, core: &mut Core, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, start_within } => {
                self.send(core, request, upstream, timeout, start_within);
            }
            Action::CancelAttempt { request, attempt } => {
                let pending = core.requests.get_mut(&request);
                if let Some(in_flight) = pending
                    .and_then(|pending| pending.attempts.get_mut(attempt.0 as usize))
                    .and_then(Option::take)
                {
                    // The attempt may have ended just now, and then reports its own outcome.
                    let _ = in_flight.cancel.send(Outcome::Withdrawn);
                }
            }
            Action::Refuse { request, retry_after } => core.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => core.answer(request, Answer::Failed),
            Action::SubscribeToDiscovery => {
                self.metrics.watch_requested();
                core.subscription
                    .renew(|request| spawn_local(discovery::watch(Rc::clone(self), request)).abort_handle());
            }
            Action::AbortPendingConnects { upstream } => {
                // Before its first byte is written an attempt waits for a connection, and cannot have been
                // executed.
                let connecting = |in_flight: &mut InFlightAttempt| {
                    in_flight.upstream == upstream && !in_flight.progress.has_begun()
                };
                let attempts = core.requests.values_mut().flat_map(|pending| &mut pending.attempts);
                for in_flight in attempts.filter_map(|attempt| attempt.take_if(connecting)) {
                    let _ = in_flight.cancel.send(Outcome::ConnectFailed);
                }
            }
            // This program makes no health checks: where the settings allow one, it ends as not sent.
            Action::Probe { upstream } => core.events.push_back(Event::ProbeEnded {
                upstream,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                load: None,
            }),
            Action::CloseIdleConnections { upstream } => {
                core.idle_connections.remove(&upstream);
            }
            Action::SetTimer(delay) => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(delay).await;
                    driver.handle(Event::TimerFired);
                });
            }
            Action::Report(report) => self.report(core, report),
        }
    }

    /// Counts and logs what the decisions report to the operator.
    fn report(&self, core: &Core, report: Report) {
        let name = |upstream| core.directory.name(upstream).unwrap_or("unlisted");
        match report {
            Report::RequestEnded { request, reason } => {
                self.metrics.request_unserved(reason.into());
                let Some(pending) = core.requests.get(&request) else { return };
                let last_attempt = match reason {
                    UnservedReason::AttemptFailed(outcome) => Some(outcome),
                    UnservedReason::Suppressed | UnservedReason::NoUpstream => None,
                };
                tracing::debug!(id = %pending.client_id(), ?reason, ?last_attempt, "request ended unserved");
            }
            Report::ListTrust(level) => {
                self.metrics.list_trust_changed(level);
                tracing::info!(?level, "trust in the list of upstreams changed");
            }
            Report::Ejected { upstream, span: duration } => {
                self.metrics.ejected();
                tracing::debug!(
                    upstream = name(upstream),
                    span_ms = duration.as_millis(),
                    "upstream ejected"
                );
            }
        }
    }

    /// Starts an attempt; one that cannot be sent ends at once with `Outcome::NotSent`.
    fn send(
        self: &Rc<Self>,
        core: &mut Core,
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
        start_within: Duration,
    ) {
        let Some(pending) = core.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(pending.attempts.len() as u32);
        let is_wanted = pending.answer_sender.is_some() && pending.may_send;
        let address = core.directory.ready_address(upstream).filter(|_| is_wanted);
        let Some(address) = address else {
            pending.attempts.push(None);
            let request_ended = pending.answer_sender.is_none();
            return core.events.push_back(Event::AttemptEnded(AttemptEnded {
                request,
                attempt,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                request_ended,
                load: None,
            }));
        };
        self.metrics.attempt_started(attempt.0 > 0);
        tracing::debug!(
            id = %pending.client_id(),
            attempt = attempt.0,
            upstream = core.directory.name(upstream).unwrap_or("unlisted"),
            "attempt begun"
        );
        let requested_at = Instant::now();
        let deadline =
            timeout.map_or(pending.deadline, |timeout| pending.deadline.min(requested_at + timeout));
        let (cancel, cancelled) = oneshot::channel();
        let progress = Rc::new(Progress::default());
        pending.attempts.push(Some(InFlightAttempt { upstream, cancel, progress: Rc::clone(&progress) }));
        pending.attempts_in_flight += 1;
        let forwarded = Rc::clone(&pending.forwarded);
        let latest_start = deadline.min(requested_at + start_within);
        let spec = AttemptSpec {
            request,
            attempt,
            upstream,
            address,
            forwarded,
            requested_at,
            deadline,
            latest_start,
        };
        spawn_local(upstream::run_attempt(Rc::clone(self), spec, progress, cancelled));
    }
}

impl WatchEvents for Rc<Driver> {
    fn updated(&self, watch: WatchId, update: Update) {
        let current = self.core.borrow_mut().subscription.record_update(watch, update.index);
        self.apply_list(&update, if current { UpdateSource::Watch } else { UpdateSource::FormerWatch });
    }

    fn ended(&self, watch: WatchId, reason: &WatchError) {
        if !self.core.borrow_mut().subscription.record_end(watch) {
            return;
        }
        self.metrics.watch_ended(reason.kind());
        tracing::warn!(watch = watch.0, "watch on discovery ended: {reason}");
        self.handle(Event::Discovery(match reason {
            WatchError::Unreachable => DiscoveryUpdate::Unreachable,
            WatchError::Silent { since_last_message: Some(silence) } => DiscoveryUpdate::TimedOut(*silence),
            _ => DiscoveryUpdate::Failed,
        }));
    }

    fn max_message_bytes(&self) -> usize {
        self.active_config.borrow().memory_plan().max_message_bytes()
    }

    fn reserve_descriptor(&self) -> Permit {
        self.unconditional_permit()
    }
}

impl PendingRequest {
    /// The id that the client gave, escaped for the log.
    fn client_id(&self) -> impl Display {
        self.forwarded.request_id.as_bytes().escape_ascii()
    }
}

impl Core {
    /// Gives the final answer to a request, unless it has one.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if let Some(sender) = pending.answer_sender.take() {
            // This fails if the client has just disconnected, which is reported on its own.
            let _ = sender.send(answer);
        }
        self.release(id);
    }

    /// Removes a request that has its answer and no attempt in flight.
    fn release(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.answer_sender.is_none() && pending.attempts_in_flight == 0)
            && let Some(pending) = self.requests.remove(&id)
        {
            let must_not_run_again = pending.may_have_run && !pending.is_idempotent;
            self.request_ids.close(pending.id_digest, must_not_run_again, Instant::now());
        }
    }
}

#[cfg(test)]
mod tests;
