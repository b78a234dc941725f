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
use crate::upstream::{self, Call, Connection, Ended, Job, Progress};

/// Descriptors that are no connection: standard streams, listener, runtime.
const OTHER_DESCRIPTORS: usize = 16;
/// Descriptors that upstream connections leave to clients.
const CLIENTS_PART: usize = 4;

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
pub struct Taken {
    /// Its class.
    pub class: ClassId,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Its subject.
    pub key: Option<u64>,
    /// The work expected.
    pub expected_work: Option<Duration>,
    /// The client has marked it as a repeat.
    pub repeat: bool,
    /// When the answer must be out.
    pub deadline: Instant,
    /// What goes on to upstreams.
    pub call: Rc<Call>,
}

/// A request that is held, or has attempts out.
struct Held {
    call: Rc<Call>,
    deadline: Instant,
    /// Taken by the final answer.
    answer: Option<oneshot::Sender<Answer>>,
    /// By attempt, while it is out.
    attempts: Vec<Option<Out>>,
    out: u32,
}

/// An attempt that is out.
struct Out {
    upstream: UpstreamId,
    /// Ends it, with this outcome.
    end: oneshot::Sender<Outcome>,
    progress: Rc<Progress>,
}

struct Kept {
    connection: Connection,
    address: SocketAddr,
    since: Instant,
}

struct Core {
    balancer: Balancer,
    events: VecDeque<Event>,
    requests: FxHashMap<RequestId, Held>,
    /// The clients' ids of the requests held: upstreams count a second request with one of them as a copy.
    open: FxHashSet<Box<[u8]>>,
    next_request: u64,
    directory: Directory,
    /// Idle connections, the most recently used last.
    kept: FxHashMap<UpstreamId, Vec<Kept>>,
    subscription: Subscription,
}

/// The state of a running balancer.
pub struct Driver {
    core: RefCell<Core>,
    in_force: RefCell<Rc<InForce>>,
    reconfigured: Notify,
    clock: Clock,
    metrics: Metrics,
    sockets: Rc<Cell<usize>>,
    /// When the program ends, once that is known.
    ends: Cell<Option<Instant>>,
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
            open: FxHashSet::default(),
            next_request: 0,
            directory: Directory::new(clock),
            kept: FxHashMap::default(),
            subscription: Subscription::new(in_force.discovery()),
        };
        let driver = Rc::new(Self {
            core: RefCell::new(core),
            in_force: RefCell::new(Rc::new(in_force)),
            reconfigured: Notify::new(),
            clock,
            metrics: Metrics::new(),
            sockets: Rc::new(Cell::new(0)),
            ends: Cell::new(None),
        });
        // The subscription asks for what came after the list in hand, so that is taken in first. One that names nobody to
        // serve is asked for whole: what it lacks may not change for long.
        if let Some(known) = known {
            let index = known.index;
            driver.take_list(&known, Origin::Configuration);
            let since = if driver.can_serve() { index } else { 0 };
            driver.core.borrow_mut().subscription.resume_from(since);
        }
        driver.handle(Event::Started);
        let sweeper = Rc::clone(&driver);
        spawn_local(async move {
            loop {
                // New settings may close sooner than the old ones.
                let _ = timeout(sweeper.in_force().keep() / 8, sweeper.reconfigured.notified()).await;
                sweeper.drop_old();
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
        let open = self.core.borrow().requests.len();
        self.metrics.measured(open, self.sockets.get() + OTHER_DESCRIPTORS);
        self.metrics.text()
    }

    /// Puts a configuration in force, whole or not at all; what is in flight goes on.
    ///
    /// # Errors
    /// It cannot follow the one in force.
    pub fn reconfigure(self: &Rc<Self>, config: Config) -> Result<Changes, ReloadError> {
        let old = self.in_force();
        let (new, changes) = old.succeeded_by(config, self.sockets.get() + OTHER_DESCRIPTORS)?;
        let (discovery, settings) = (new.discovery(), new.settings());
        self.in_force.replace(Rc::new(new));
        if settings != old.settings() {
            self.handle(Event::SettingsChanged(Box::new(settings)));
        }
        self.watch_anew(discovery, changes.renames_members());
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
    pub fn reserved_permit(&self) -> Permit {
        Permit::of(&self.sockets)
    }

    /// Whether so many sockets are open that those not in use must go.
    #[must_use]
    pub fn short_of_sockets(&self) -> bool {
        let most = self.sockets_most();
        self.sockets.get() >= most - most / (2 * CLIENTS_PART)
    }

    /// Whether the last socket of the budget is taken.
    #[must_use]
    pub fn full(&self) -> bool {
        self.sockets.get() > self.sockets_most()
    }

    fn sockets_most(&self) -> usize {
        self.in_force.borrow().sockets().saturating_sub(OTHER_DESCRIPTORS)
    }

    /// A socket for a connection of our own, if the budget has one: idle ones are closed to make room.
    #[must_use]
    pub fn permit(&self) -> Option<Permit> {
        let most = self.sockets_most();
        if self.sockets.get() >= most - most / CLIENTS_PART {
            self.drop_idle_most();
        }
        (self.sockets.get() < most).then(|| self.reserved_permit())
    }

    /// Closes the idle connection to an upstream that was used least recently; tells whether there was one.
    pub fn drop_idle_most(&self) -> bool {
        let mut core = self.core.borrow_mut();
        let oldest = core
            .kept
            .values_mut()
            .filter(|kept| !kept.is_empty())
            .min_by_key(|kept| kept.first().map(|oldest| oldest.since));
        oldest.map(|kept| kept.remove(0)).is_some()
    }

    /// A free connection to an upstream, the most recently used first.
    #[must_use]
    pub fn take_idle(&self, upstream: UpstreamId) -> Option<Connection> {
        let keep = self.in_force.borrow().keep();
        let mut core = self.core.borrow_mut();
        let kept = core.kept.get_mut(&upstream)?;
        while let Some(last) = kept.pop() {
            if last.connection.is_free() && last.since.elapsed() < keep {
                return Some(last.connection);
            }
        }
        None
    }

    /// Keeps a connection for the next attempt.
    pub fn keep(&self, upstream: UpstreamId, address: SocketAddr, connection: Connection) {
        if !self.may_send(upstream, address) || !connection.is_free() {
            return;
        }
        let kept = Kept { connection, address, since: Instant::now() };
        self.core.borrow_mut().kept.entry(upstream).or_default().push(kept);
    }

    /// Whether discovery's last word allows new work for an upstream at this address.
    #[must_use]
    pub fn may_send(&self, upstream: UpstreamId, address: SocketAddr) -> bool {
        self.core.borrow().directory.ready_address(upstream) == Some(address)
    }

    fn drop_old(&self) {
        let keep = self.in_force.borrow().keep();
        let mut core = self.core.borrow_mut();
        for kept in core.kept.values_mut() {
            kept.retain(|kept| kept.connection.is_free() && kept.since.elapsed() < keep);
        }
    }

    // --- Requests ---

    /// The program ends then: no request taken from now on may last longer.
    pub fn end_by(&self, ends: Instant) {
        self.ends.set(Some(ends));
    }

    /// Takes a request; its final answer comes through the receiver. `None` if one with the client's id is
    /// open, or has attempts out.
    pub fn take(self: &Rc<Self>, taken: Taken) -> Option<(RequestId, oneshot::Receiver<Answer>)> {
        let (answer, receiver) = oneshot::channel();
        let deadline = self.ends.get().map_or(taken.deadline, |ends| taken.deadline.min(ends));
        let id = {
            let mut core = self.core.borrow_mut();
            if !core.open.insert(taken.call.id.as_bytes().into()) {
                return None;
            }
            let id = RequestId(core.next_request);
            core.next_request += 1;
            let (client_id, class) = (taken.call.id.as_bytes().escape_ascii(), taken.class.0);
            tracing::debug!(id = %client_id, class, "request taken");
            let held =
                Held { call: taken.call, deadline, answer: Some(answer), attempts: Vec::new(), out: 0 };
            core.requests.insert(id, held);
            id
        };
        self.handle(Event::Request(Request {
            id,
            class: taken.class,
            tenant: taken.tenant,
            resource_key: taken.key,
            time_left: deadline.saturating_duration_since(Instant::now()),
            expected_work: taken.expected_work,
            is_retry: taken.repeat,
        }));
        Some((id, receiver))
    }

    /// The client has left, or its time is up: nothing more is owed.
    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        {
            let mut core = self.core.borrow_mut();
            let Some(held) = core.requests.get_mut(&id) else { return };
            if held.answer.take().is_none() {
                return;
            }
            tracing::debug!(id = %held.client_id(), "client left or out of time");
            self.metrics.request_abandoned();
            // What waits for its connection, or has not gone out whole, goes to nobody's benefit. Closed before
            // its last byte it never runs, so that this needs no leave to cancel.
            for attempt in &mut held.attempts {
                if let Some(out) = attempt.take_if(|out| !out.progress.whole()) {
                    let _ = out.end.send(Outcome::Withdrawn);
                }
            }
            core.release(id);
        }
        self.handle(Event::RequestAbandoned(id));
    }

    /// An attempt is over, which took so long.
    pub fn attempt_ended(self: &Rc<Self>, job: &Job, took: Duration, ended: Ended) {
        let finished = {
            let mut core = self.core.borrow_mut();
            let Core { requests, directory, .. } = &mut *core;
            let Some(held) = requests.get_mut(&job.request) else { return };
            held.out -= 1;
            self.metrics.attempt_ended(ended.outcome);
            tracing::debug!(
                id = %held.client_id(),
                attempt = job.attempt.0,
                upstream = directory.name(job.upstream).unwrap_or("unlisted"),
                outcome = ?ended.outcome,
                took_ms = took.as_millis(),
                "attempt ended"
            );
            if let Some(attempt) = held.attempts.get_mut(job.attempt.0 as usize) {
                *attempt = None;
            }
            if let Some(body) = ended.body
                && let Some(answer) = held.answer.take()
            {
                // A client that has just left is told of on its own way.
                let _ = answer.send(Answer::Served(body));
            }
            let finished = held.answer.is_none();
            core.release(job.request);
            finished
        };
        self.handle(Event::AttemptEnded(AttemptEnded {
            request: job.request,
            attempt: job.attempt,
            outcome: ended.outcome,
            duration: took,
            request_ended: finished,
            load: ended.load,
        }));
    }

    // --- Discovery ---

    /// Discovery is to be asked at this address from now on, and for the whole list if the one in hand was read by
    /// other names. The watch that stands goes on being heard until the new one has spoken, so that no drain is
    /// missed in between.
    fn watch_anew(self: &Rc<Self>, address: SocketAddr, whole: bool) {
        let moved = {
            let mut core = self.core.borrow_mut();
            if whole {
                core.subscription.start_over();
            }
            core.subscription.move_to(address)
        };
        if moved || whole {
            self.handle(Event::DiscoveryMoved);
        }
    }

    fn take_list(self: &Rc<Self>, update: &Update, origin: Origin) {
        let list = {
            let mut core = self.core.borrow_mut();
            let Core { directory, kept, .. } = &mut *core;
            let change = directory.take(update, origin, self.in_force.borrow().names());
            for upstream in change.restarted {
                kept.remove(&upstream);
            }
            // Nothing kept goes to an upstream that drains, is gone, or has moved.
            kept.retain(|&upstream, kept| match directory.ready_address(upstream) {
                Some(address) => {
                    kept.retain(|kept| kept.address == address);
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
                let held = core.requests.get_mut(&request);
                if let Some(out) =
                    held.and_then(|held| held.attempts.get_mut(attempt.0 as usize)).and_then(Option::take)
                {
                    // It may have ended this moment, which it then says itself.
                    let _ = out.end.send(Outcome::Withdrawn);
                }
            }
            Action::Refuse { request, retry_after } => core.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => core.answer(request, Answer::Failed),
            Action::SubscribeToDiscovery => {
                self.metrics.watch_asked();
                core.subscription
                    .renew(|request| spawn_local(discovery::watch(Rc::clone(self), request)).abort_handle());
            }
            Action::AbortPendingConnects { upstream } => {
                // Until its first byte is written it waits for a connection, and can't have run.
                let connecting = |out: &mut Out| out.upstream == upstream && !out.progress.begun();
                let attempts = core.requests.values_mut().flat_map(|held| &mut held.attempts);
                for out in attempts.filter_map(|attempt| attempt.take_if(connecting)) {
                    let _ = out.end.send(Outcome::ConnectFailed);
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
                core.kept.remove(&upstream);
            }
            Action::SetTimer(span) => {
                let driver = Rc::clone(self);
                spawn_local(async move {
                    sleep(span).await;
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
                let Some(held) = core.requests.get(&request) else { return };
                let last_attempt = match reason {
                    UnservedReason::AttemptFailed(outcome) => Some(outcome),
                    UnservedReason::Suppressed | UnservedReason::NoUpstream => None,
                };
                tracing::debug!(id = %held.client_id(), ?reason, ?last_attempt, "request ended unserved");
            }
            Report::ListTrustChanged(level) => {
                self.metrics.list_trust_changed(level);
                tracing::info!(?level, "trust in the list changed");
            }
            Report::Ejected { upstream, duration: span } => {
                self.metrics.ejected();
                tracing::debug!(upstream = name(upstream), span_ms = span.as_millis(), "upstream ejected");
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
        let Some(held) = core.requests.get_mut(&request) else { return };
        let attempt = AttemptNumber(held.attempts.len() as u32);
        let address = core.directory.ready_address(upstream).filter(|_| held.answer.is_some());
        let Some(address) = address else {
            held.attempts.push(None);
            let finished = held.answer.is_none();
            return core.events.push_back(Event::AttemptEnded(AttemptEnded {
                request,
                attempt,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                request_ended: finished,
                load: None,
            }));
        };
        self.metrics.attempt_begun(attempt.0 > 0);
        tracing::debug!(
            id = %held.client_id(),
            attempt = attempt.0,
            upstream = core.directory.name(upstream).unwrap_or("unlisted"),
            "attempt begun"
        );
        let asked = Instant::now();
        let until = timeout.map_or(held.deadline, |span| held.deadline.min(asked + span));
        let (end, ended) = oneshot::channel();
        let progress = Rc::new(Progress::default());
        held.attempts.push(Some(Out { upstream, end, progress: Rc::clone(&progress) }));
        held.out += 1;
        let call = Rc::clone(&held.call);
        let start_by = until.min(asked + start_within);
        let job = Job { request, attempt, upstream, address, call, asked, until, start_by };
        spawn_local(upstream::attempt(Rc::clone(self), job, progress, ended));
    }
}

impl WatchEvents for Rc<Driver> {
    fn updated(&self, watch: WatchNumber, update: Update) {
        let current = self.core.borrow_mut().subscription.heard(watch, update.index);
        self.take_list(&update, if current { Origin::Watch } else { Origin::FormerWatch });
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
        self.reserved_permit()
    }
}

impl Held {
    /// The id that the client gave, for the log.
    fn client_id(&self) -> impl Display {
        self.call.id.as_bytes().escape_ascii()
    }
}

impl Core {
    fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if let Some(sender) = held.answer.take() {
            // A client that has just left is told of on its own way.
            let _ = sender.send(answer);
        }
        self.release(id);
    }

    /// Forgets a request that has its answer and no attempt out.
    fn release(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|held| held.answer.is_none() && held.out == 0)
            && let Some(held) = self.requests.remove(&id)
        {
            self.open.remove(held.call.id.as_bytes());
        }
    }
}

#[cfg(test)]
mod tests;
