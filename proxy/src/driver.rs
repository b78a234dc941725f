//! Owns the decisions and the tables around them: turns what happens on the network into events and
//! carries out the actions that come back.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Display;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use rustc_hash::{FxHashMap, FxHashSet};
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, ClassId, DiscoveryUpdate, Outcome, Request, RequestId, SettingsError,
    TenantId, UpstreamId,
};
use stilelead_decision::report::{Report, UnservedReason};
use stilelead_decision::{Action, Balancer, Event};
use tokio::sync::{Notify, oneshot};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::clock::Clock;
use crate::config::Config;
use crate::directory::{Directory, Origin};
use crate::discovery::{self, Update, WatchError, WatchEvents, WatchNumber};
use crate::in_force::InForce;
use crate::metrics::Metrics;
use crate::permit::Permit;
use crate::reload::{Changes, ReloadError};
use crate::subscription::Subscription;
use crate::upstream::{self, AttemptResult, AttemptSpec, Connection, ForwardedRequest, Progress};

/// Descriptors that are no connection: standard streams, listener, runtime.
const RESERVED_DESCRIPTORS: usize = 16;
/// Descriptors that upstream connections leave to clients.
const CLIENT_SHARE_DIVISOR: usize = 4;

/// The final answer to a client.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// What an upstream answered.
    Served(Bytes),
    /// Trying again is harmless.
    Refused {
        /// How long to stay away.
        retry_after: Option<Duration>,
    },
    /// Nothing is said of its effect.
    Failed,
}

/// A client's request, ready for the decisions.
#[derive(Debug)]
pub struct ClientRequest {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub resource_key: Option<u64>,
    /// The work expected.
    pub expected_work: Option<Duration>,
    /// The client has marked it as a repeat.
    pub is_retry: bool,
    /// When the answer must be out.
    pub deadline: Instant,
    /// What goes on to upstreams.
    pub forwarded: Rc<ForwardedRequest>,
}

/// A request that is held, or has attempts out.
struct PendingRequest {
    forwarded: Rc<ForwardedRequest>,
    deadline: Instant,
    /// Taken by the final answer.
    answer_sender: Option<oneshot::Sender<Answer>>,
    /// By attempt, while it is out.
    attempts: Vec<Option<InFlightAttempt>>,
    attempts_in_flight: u32,
}

/// An attempt that is out.
struct InFlightAttempt {
    upstream: UpstreamId,
    /// Ends it, with this outcome.
    cancel: oneshot::Sender<Outcome>,
    progress: Rc<Progress>,
}

struct IdleConnection {
    connection: Connection,
    address: SocketAddr,
    idle_since: Instant,
}

struct Core {
    balancer: Balancer,
    events: VecDeque<Event>,
    requests: FxHashMap<RequestId, PendingRequest>,
    /// The clients' ids of the requests held: upstreams count a second request with one of them as a copy.
    client_ids: FxHashSet<Box<[u8]>>,
    next_request_id: u64,
    directory: Directory,
    /// Idle connections, the most recently used last.
    idle_connections: FxHashMap<UpstreamId, Vec<IdleConnection>>,
    subscription: Subscription,
}

/// The state of a running balancer.
pub struct Driver {
    core: RefCell<Core>,
    in_force: RefCell<Rc<InForce>>,
    reconfigured: Notify,
    clock: Clock,
    metrics: Metrics,
    open_sockets: Rc<Cell<usize>>,
    /// When the program ends, once that is known.
    shutdown_deadline: Cell<Option<Instant>>,
}

impl Driver {
    /// Starts the decisions with the list from the configuration.
    ///
    /// # Errors
    /// The settings make no sense.
    pub fn start(mut config: Config) -> Result<Rc<Self>, SettingsError> {
        let clock = Clock::start();
        let (seed, known) = (config.seed, config.known.take());
        let in_force = InForce::start(config);
        let core = Core {
            balancer: Balancer::new(in_force.settings(), seed)?,
            events: VecDeque::new(),
            requests: FxHashMap::default(),
            client_ids: FxHashSet::default(),
            next_request_id: 0,
            directory: Directory::new(clock),
            idle_connections: FxHashMap::default(),
            subscription: Subscription::new(in_force.discovery()),
        };
        let driver = Rc::new(Self {
            core: RefCell::new(core),
            in_force: RefCell::new(Rc::new(in_force)),
            reconfigured: Notify::new(),
            clock,
            metrics: Metrics::new(),
            open_sockets: Rc::new(Cell::new(0)),
            shutdown_deadline: Cell::new(None),
        });
        // The subscription asks for what came after the list in hand, so that is taken in first. One that names nobody to
        // serve is asked for whole: what it lacks may not change for long.
        if let Some(known) = known {
            let index = known.index;
            driver.apply_list(&known, Origin::Configuration);
            let resume_version = if driver.can_serve() { index } else { 0 };
            driver.core.borrow_mut().subscription.resume_from(resume_version);
        }
        driver.handle(Event::Started);
        let sweeper = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                // New settings may close sooner than the old ones.
                let _ = timeout(sweeper.in_force().keep() / 8, sweeper.reconfigured.notified()).await;
                sweeper.close_expired();
            }
        });
        Ok(driver)
    }

    /// The configuration in force.
    #[must_use]
    pub fn in_force(&self) -> Rc<InForce> {
        Rc::clone(&self.in_force.borrow())
    }

    /// The counters.
    #[must_use]
    pub fn metrics(&self) -> &Metrics {
        &self.metrics
    }

    /// All figures for the operator as text.
    #[must_use]
    pub fn metrics_text(&self) -> String {
        let requests_open = self.core.borrow().requests.len();
        self.metrics.set_usage(requests_open, self.open_sockets.get() + RESERVED_DESCRIPTORS);
        self.metrics.text()
    }

    /// Puts a configuration in force, whole or not at all; what is in flight goes on.
    ///
    /// # Errors
    /// It cannot follow the one in force.
    pub fn reconfigure(self: &Rc<Self>, config: Config) -> Result<Changes, ReloadError> {
        let old = self.in_force();
        let (new, changes) = old.succeeded_by(config, self.open_sockets.get() + RESERVED_DESCRIPTORS)?;
        let (discovery, settings) = (new.discovery(), new.settings());
        self.in_force.replace(Rc::new(new));
        if settings != old.settings() {
            self.handle(Event::SettingsChanged(Box::new(settings)));
        }
        self.restart_watch(discovery, changes.renames_members());
        self.reconfigured.notify_one();
        Ok(changes)
    }

    /// Whether the list in hand names an upstream that requests can go to.
    #[must_use]
    pub fn can_serve(&self) -> bool {
        self.core.borrow().directory.can_serve()
    }

    // --- Sockets ---

    /// Counts a connection that is had in any case: a client's, which the machine has already accepted, or
    /// discovery's, without which drains would be missed.
    #[must_use]
    pub fn unconditional_permit(&self) -> Permit {
        Permit::acquire(&self.open_sockets)
    }

    /// Whether so many sockets are open that those not in use must go.
    #[must_use]
    pub fn short_of_sockets(&self) -> bool {
        let max = self.max_connections();
        self.open_sockets.get() >= max - max / (2 * CLIENT_SHARE_DIVISOR)
    }

    /// Whether the last socket of the budget is taken.
    #[must_use]
    pub fn over_socket_budget(&self) -> bool {
        self.open_sockets.get() > self.max_connections()
    }

    fn max_connections(&self) -> usize {
        self.in_force.borrow().sockets().saturating_sub(RESERVED_DESCRIPTORS)
    }

    /// A socket for a connection of our own, if the budget has one: idle ones are closed to make room.
    #[must_use]
    pub fn try_permit(&self) -> Option<Permit> {
        let max = self.max_connections();
        if self.open_sockets.get() >= max - max / CLIENT_SHARE_DIVISOR {
            self.close_least_recently_used();
        }
        (self.open_sockets.get() < max).then(|| self.unconditional_permit())
    }

    /// Closes the idle connection to an upstream that was used least recently; tells whether there was one.
    pub fn close_least_recently_used(&self) -> bool {
        let mut core = self.core.borrow_mut();
        let least_recent = core
            .idle_connections
            .values_mut()
            .filter(|pool| !pool.is_empty())
            .min_by_key(|pool| pool.first().map(|oldest| oldest.idle_since));
        least_recent.map(|pool| pool.remove(0)).is_some()
    }

    /// A free connection to an upstream, the most recently used first.
    #[must_use]
    pub fn take_idle(&self, upstream: UpstreamId) -> Option<Connection> {
        let idle_timeout = self.in_force.borrow().keep();
        let mut core = self.core.borrow_mut();
        let pool = core.idle_connections.get_mut(&upstream)?;
        while let Some(latest) = pool.pop() {
            if latest.connection.is_free() && latest.idle_since.elapsed() < idle_timeout {
                return Some(latest.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt.
    pub fn store_idle(&self, upstream: UpstreamId, address: SocketAddr, connection: Connection) {
        if !self.accepts_new_requests(upstream, address) || !connection.is_free() {
            return;
        }
        let idle = IdleConnection { connection, address, idle_since: Instant::now() };
        self.core.borrow_mut().idle_connections.entry(upstream).or_default().push(idle);
    }

    /// Whether discovery's last word allows new work for an upstream at this address.
    #[must_use]
    pub fn accepts_new_requests(&self, upstream: UpstreamId, address: SocketAddr) -> bool {
        self.core.borrow().directory.ready_address(upstream) == Some(address)
    }

    fn close_expired(&self) {
        let idle_timeout = self.in_force.borrow().keep();
        let mut core = self.core.borrow_mut();
        for pool in core.idle_connections.values_mut() {
            pool.retain(|idle| idle.connection.is_free() && idle.idle_since.elapsed() < idle_timeout);
        }
    }

    // --- Requests ---

    /// The program ends then: no request taken from now on may last longer.
    pub fn set_shutdown_deadline(&self, shutdown_deadline: Instant) {
        self.shutdown_deadline.set(Some(shutdown_deadline));
    }

    /// Takes a request; its final answer comes through the receiver. `None` if one with the client's id is
    /// open, or has attempts out.
    pub fn submit(self: &Rc<Self>, request: ClientRequest) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (answer_sender, receiver) = oneshot::channel();
        let deadline = self
            .shutdown_deadline
            .get()
            .map_or(request.deadline, |shutdown_deadline| request.deadline.min(shutdown_deadline));
        let id = {
            let mut core = self.core.borrow_mut();
            if !core.client_ids.insert(request.forwarded.request_id.as_bytes().into()) {
                return None;
            }
            let id = RequestId(core.next_request_id);
            core.next_request_id += 1;
            let (client_id, class) =
                (request.forwarded.request_id.as_bytes().escape_ascii(), request.class.0);
            tracing::debug!(id = %client_id, class, "request taken");
            let pending = PendingRequest {
                forwarded: request.forwarded,
                deadline,
                answer_sender: Some(answer_sender),
                attempts: Vec::new(),
                attempts_in_flight: 0,
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
        Some((id, receiver))
    }

    /// The client has left, or its time is up: nothing more is owed.
    pub fn abandon(self: &Rc<Self>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(pending) = core.requests.get_mut(&id) else { return };
            if pending.answer_sender.take().is_none() {
                return;
            }
            tracing::debug!(id = %pending.client_id(), "client left or out of time");
            self.metrics.request_abandoned();
            // What waits for its connection, or has not gone out whole, goes to nobody's benefit. Closed before
            // its last byte it never runs, so that this needs no leave to cancel.
            for attempt in &mut pending.attempts {
                if let Some(in_flight) = attempt.take_if(|in_flight| !in_flight.progress.is_fully_written()) {
                    let _ = in_flight.cancel.send(Outcome::Withdrawn);
                }
            }
            core.release(id);
        }
        self.handle(Event::RequestAbandoned(id));
    }

    /// An attempt is over, which took so long.
    pub fn attempt_ended(self: &Rc<Self>, spec: &AttemptSpec, duration: Duration, result: AttemptResult) {
        let request_ended = {
            let mut core = self.core.borrow_mut();
            let Core { requests, directory, .. } = &mut *core;
            let Some(pending) = requests.get_mut(&spec.request) else { return };
            pending.attempts_in_flight -= 1;
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
                // A client that has just left is told of on its own way.
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

    /// Discovery is to be asked at this address from now on, and for the whole list if the one in hand was read by
    /// other names. The watch that stands goes on being heard until the new one has spoken, so that no drain is
    /// missed in between.
    fn restart_watch(self: &Rc<Self>, address: SocketAddr, full_list: bool) {
        let address_changed = {
            let mut core = self.core.borrow_mut();
            if full_list {
                core.subscription.start_over();
            }
            core.subscription.move_to(address)
        };
        if address_changed || full_list {
            self.handle(Event::DiscoveryMoved);
        }
    }

    fn apply_list(self: &Rc<Self>, update: &Update, origin: Origin) {
        let list = {
            let mut core = self.core.borrow_mut();
            let Core { directory, idle_connections, .. } = &mut *core;
            let change = directory.take(update, origin, self.in_force.borrow().names());
            for upstream in change.restarted {
                idle_connections.remove(&upstream);
            }
            // Nothing kept goes to an upstream that drains, is gone, or has moved.
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
                tracing::info!(?origin, version, whole, entries, ready, draining, "list changed");
            }
            change.list
        };
        self.handle(match origin {
            Origin::Configuration | Origin::Watch => Event::Discovery(list),
            Origin::FormerWatch => Event::FormerDiscovery(list),
        });
    }

    // --- Events and actions ---

    /// Hands an event to the decisions and carries out what they ask for.
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
                    // It may have ended this moment, which it then says itself.
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
                // Until its first byte is written it waits for a connection, and can't have run.
                let connecting = |in_flight: &mut InFlightAttempt| {
                    in_flight.upstream == upstream && !in_flight.progress.has_begun()
                };
                let attempts = core.requests.values_mut().flat_map(|pending| &mut pending.attempts);
                for in_flight in attempts.filter_map(|attempt| attempt.take_if(connecting)) {
                    let _ = in_flight.cancel.send(Outcome::ConnectFailed);
                }
            }
            // Health checks are not made here: where a site allowed them, they would end unsent.
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

    fn report(&self, core: &Core, report: Report) {
        let name = |upstream| core.directory.name(upstream).unwrap_or("unlisted");
        match report {
            Report::RequestUnserved { request, reason } => {
                self.metrics.request_unserved(reason.into());
                let Some(pending) = core.requests.get(&request) else { return };
                let last_attempt = match reason {
                    UnservedReason::AttemptFailed(outcome) => Some(outcome),
                    UnservedReason::Suppressed | UnservedReason::NoUpstream => None,
                };
                tracing::debug!(id = %pending.client_id(), ?reason, ?last_attempt, "request ended unserved");
            }
            Report::ListTrustChanged(level) => {
                self.metrics.list_trust_changed(level);
                tracing::info!(?level, "trust in the list changed");
            }
            Report::Ejected { upstream, duration } => {
                self.metrics.ejected();
                tracing::debug!(
                    upstream = name(upstream),
                    span_ms = duration.as_millis(),
                    "upstream ejected"
                );
            }
        }
    }

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
        let address = core.directory.ready_address(upstream).filter(|_| pending.answer_sender.is_some());
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
    fn updated(&self, watch: WatchNumber, update: Update) {
        let current = self.core.borrow_mut().subscription.heard(watch, update.index);
        self.apply_list(&update, if current { Origin::Watch } else { Origin::FormerWatch });
    }

    fn broke(&self, watch: WatchNumber, reason: &WatchError) {
        if !self.core.borrow_mut().subscription.broke(watch) {
            return;
        }
        self.metrics.watch_ended(reason.kind());
        tracing::warn!(watch = watch.0, "the watch on discovery broke: {reason}");
        self.handle(Event::Discovery(match reason {
            WatchError::Unreachable => DiscoveryUpdate::Unreachable,
            WatchError::Silent { heard: Some(silence) } => DiscoveryUpdate::TimedOut(*silence),
            _ => DiscoveryUpdate::Failed,
        }));
    }

    fn reserve_descriptor(&self) -> Permit {
        self.unconditional_permit()
    }
}

impl PendingRequest {
    /// The id that the client gave, for the log.
    fn client_id(&self) -> impl Display {
        self.forwarded.request_id.as_bytes().escape_ascii()
    }
}

impl Core {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        if let Some(sender) = pending.answer_sender.take() {
            // A client that has just left is told of on its own way.
            let _ = sender.send(answer);
        }
        self.release(id);
    }

    /// Forgets a request that has its answer and no attempt out.
    fn release(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|pending| pending.answer_sender.is_none() && pending.attempts_in_flight == 0)
            && let Some(pending) = self.requests.remove(&id)
        {
            self.client_ids.remove(pending.forwarded.request_id.as_bytes());
        }
    }
}

#[cfg(test)]
mod tests;
