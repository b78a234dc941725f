//! Runs all hollow balancers and the modelled nodes behind them on one thread.
//!
//! Times are counted from the start of the host. Timed events are handled in order and take effect at the
//! time for which they were scheduled, even if the thread reaches them late; the maximum lateness is
//! measured. Messages from the control plane take effect when they arrive.

mod attempts;
mod clients;
mod executions;
mod faults;
mod lists;
mod requests;
mod settings;

use std::cell::RefCell;
use std::collections::VecDeque;
use std::iter::Peekable;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::{Duration, Instant};

use rustc_hash::FxHashMap;
use stilelead::clock::Clock;
use stilelead_decision::interface::{Outcome, RequestId};
use stilelead_decision::{Action, Event};

use super::HollowError;
use super::arrivals::Arrivals;
use super::balancer::HollowBalancer;
use super::calls::{Answer, CallId, Caller, Execution, ExecutionId, OpenCall, OpenRequest};
use super::nodes::ModelledNode;
use super::plan::Plan;
use super::progress::Progress;
use super::schedule::{DueEvent, Schedule, TimedEvent};
use crate::control::ControlPlane;
use crate::record::Record;
use crate::topology::{BalancerId, Node, NodeId};

/// How often idle connections are checked within the time for which they are kept.
const SWEEPS_PER_IDLE_TIMEOUT: u32 = 8;

/// A pending consequence of an event that has been handled.
enum Step {
    /// An event to be handled by a balancer's decisions.
    Decide {
        /// Index of the balancer whose decisions handle the event.
        balancer: usize,
        /// What happened, such as a request, an ended attempt or a list update.
        event: Event,
    },
    /// An answer to be delivered to the caller of a request.
    Answered {
        /// The client or node that receives the answer.
        caller: Caller,
        /// Whether the request was served, refused or failed.
        answer: Answer,
    },
}

/// All hollow (simulated) balancers and modelled nodes, with the schedule of their events.
pub(super) struct HollowHost {
    plan: Plan,
    control: Arc<ControlPlane>,
    record: Arc<Record>,
    progress: Arc<Progress>,
    clock: Clock,
    /// Creation of the host, from which modelled times are counted.
    epoch: Instant,
    /// Modelled time, which is the time of the event being handled.
    now: Duration,
    schedule: Schedule,
    steps: VecDeque<Step>,
    /// Buffer for the actions of the decisions; empty between events, kept to reuse its memory.
    actions: Vec<Action>,
    balancers: Vec<HollowBalancer>,
    nodes: Vec<ModelledNode>,
    /// Latest configurations of balancers that were reloaded, without the endpoint lists.
    reloaded_configurations: FxHashMap<usize, String>,
    /// Indices of the nodes by name.
    node_indices: FxHashMap<String, usize>,
    arrivals: Peekable<Arrivals>,
    /// When the load starts, in modelled time; `None` until that is known.
    load_start: Option<Duration>,
    calls: FxHashMap<CallId, OpenCall>,
    requests: FxHashMap<RequestId, OpenRequest>,
    executions: FxHashMap<ExecutionId, Execution>,
    /// The last number given to a call, request or execution.
    last_number: u64,
    /// Whether regions cannot reach each other.
    regions_cut: bool,
    weak_self: Weak<RefCell<Self>>,
}

impl HollowHost {
    /// Creates the nodes and starts all balancers. Must be called within a `LocalSet`, since the balancers
    /// open their watches.
    ///
    /// # Errors
    /// The settings of a balancer are invalid.
    pub fn start(
        plan: Plan,
        control: Arc<ControlPlane>,
        record: Arc<Record>,
        progress: Arc<Progress>,
    ) -> Result<Rc<RefCell<Self>>, HollowError> {
        let topology = &plan.topology;
        let region = |node: &Node| topology.region(node.zone);
        let nodes = topology.nodes.iter().take(plan.hollow_count()).enumerate();
        let nodes: Vec<ModelledNode> = nodes
            .map(|(number, node)| ModelledNode::new(&plan.scenario.node, region(node), number, plan.seed))
            .collect();
        let hollow_nodes = topology.nodes.iter().take(plan.hollow_count()).enumerate();
        let node_indices = hollow_nodes.map(|(number, node)| (node.name.clone(), number)).collect();
        let load_duration = Duration::try_from_secs_f64(plan.scenario.duration_s).unwrap_or_default();
        let arrivals = Arrivals::new(&plan.scenario.load, plan.hollow_count(), load_duration, plan.seed);
        let host = Rc::new_cyclic(|weak_self| {
            RefCell::new(Self {
                control,
                record,
                progress,
                clock: Clock::start(),
                epoch: Instant::now(),
                now: Duration::ZERO,
                schedule: Schedule::default(),
                steps: VecDeque::new(),
                actions: Vec::new(),
                balancers: Vec::with_capacity(plan.hollow_count()),
                nodes,
                reloaded_configurations: FxHashMap::default(),
                node_indices,
                arrivals: arrivals.peekable(),
                load_start: None,
                calls: FxHashMap::default(),
                requests: FxHashMap::default(),
                executions: FxHashMap::default(),
                last_number: 0,
                regions_cut: false,
                weak_self: Weak::clone(weak_self),
                plan,
            })
        });
        host.borrow_mut().start_balancers()?;
        Ok(host)
    }

    fn start_balancers(&mut self) -> Result<(), HollowError> {
        for number in 0..self.plan.hollow_count() {
            let balancer = self.new_balancer(number, 0)?;
            let first_sweep_at = self.now + balancer.in_force.idle_timeout() / SWEEPS_PER_IDLE_TIMEOUT;
            self.balancers.push(balancer);
            self.schedule.add(first_sweep_at, TimedEvent::SweepIdleConnections { balancer: number });
            self.start_decisions(number);
        }
        Ok(())
    }

    fn balancer_name(&self, balancer: usize) -> String {
        self.plan.topology.balancers[balancer].name.clone()
    }

    /// Time until the next event is due; zero if it is already due.
    pub fn time_to_next_event(&self) -> Option<Duration> {
        Some(self.schedule.next_at()?.saturating_sub(self.epoch.elapsed()))
    }

    /// Handles up to `max_events` events that are due; returns whether more may be due.
    pub fn advance(&mut self, max_events: usize) -> bool {
        let wall_time = self.epoch.elapsed();
        (0..max_events).all(|_| self.handle_next(wall_time))
    }

    /// Handles all events that are due, before a command, list update or other input from outside is handled.
    fn catch_up(&mut self) {
        let wall_time = self.epoch.elapsed();
        while self.handle_next(wall_time) {}
        self.now = self.now.max(wall_time);
    }

    /// Handles the next event that is due at `wall_time`; returns `false` if there is none.
    fn handle_next(&mut self, wall_time: Duration) -> bool {
        let Some(DueEvent { at, event }) = self.schedule.take_due(wall_time) else { return false };
        self.now = self.now.max(at);
        if self.load_start.is_some() {
            self.progress.record_lateness(wall_time.saturating_sub(at));
        }
        self.handle_event(event);
        self.process_steps();
        true
    }

    fn handle_event(&mut self, event: TimedEvent) {
        match event {
            TimedEvent::Arrival => self.next_arrival(),
            TimedEvent::Retry(call) => self.send_call(call),
            TimedEvent::ClientDisconnects(call) => self.client_disconnected(call),
            TimedEvent::ClientDeadline(call) => self.client_deadline_passed(call),
            TimedEvent::CallLost(call) => self.call_lost(call),
            TimedEvent::RequestOverdue(request) => self.request_overdue(request),
            TimedEvent::AttemptTimeout(attempt) => self.attempt_timed_out(attempt),
            TimedEvent::ConnectTimeout(attempt) => self.connect_timed_out(attempt),
            TimedEvent::WorkDone(execution) => self.work_done(execution),
            TimedEvent::Wake { balancer, generation } => {
                if self.balancers[balancer].generation == generation {
                    self.push_event(balancer, Event::TimerFired);
                }
            }
            TimedEvent::SweepIdleConnections { balancer } => self.sweep_idle_connections(balancer),
        }
    }

    fn push_event(&mut self, balancer: usize, event: Event) {
        self.steps.push_back(Step::Decide { balancer, event });
    }

    fn process_steps(&mut self) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Decide { balancer, event } => self.decide(balancer, event),
                Step::Answered { caller: Caller::Client(call), answer } => self.call_answered(call, answer),
                Step::Answered { caller: Caller::Node(execution), answer } => {
                    self.downstream_answered(execution, answer)
                }
            }
        }
    }

    fn decide(&mut self, balancer: usize, event: Event) {
        let time = self.clock.at((self.epoch + self.now).into());
        let mut actions = std::mem::take(&mut self.actions);
        self.balancers[balancer].decisions.handle(time, event, &mut actions);
        for action in actions.drain(..) {
            self.perform_action(balancer, action);
        }
        self.actions = actions;
    }

    fn perform_action(&mut self, balancer: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, start_within } => {
                self.send_attempt(request, upstream, timeout, start_within);
            }
            Action::CancelAttempt { request, attempt } => self.cancel_attempt(request, attempt),
            Action::Refuse { request, retry_after } => {
                self.answer_request(request, Answer::Refused { retry_after })
            }
            Action::Fail { request } => self.answer_request(request, Answer::Failed),
            Action::SubscribeToDiscovery => self.subscribe(balancer),
            Action::AbortPendingConnects { upstream } => self.abort_connects(balancer, upstream),
            // No health checks are sent, as in the real balancer.
            Action::Probe { upstream } => {
                let (outcome, duration) = (Outcome::NotSent, Duration::ZERO);
                self.push_event(balancer, Event::ProbeEnded { upstream, outcome, duration, load: None });
            }
            Action::CloseIdleConnections { upstream } => {
                let removed = self.balancers[balancer].idle_connections.drain(upstream);
                self.close_connections(removed);
            }
            Action::SetTimer(delay) => {
                let generation = self.balancers[balancer].generation;
                self.schedule.add(self.now + delay, TimedEvent::Wake { balancer, generation });
            }
            Action::Report(report) => {
                tracing::debug!(copy = self.balancer_name(balancer), ?report, "decided")
            }
        }
    }

    /// Whether a balancer and a node cannot reach each other.
    fn is_unreachable(&self, balancer: usize, node: usize) -> bool {
        let node = &self.nodes[node];
        node.silent || (self.regions_cut && node.region != self.balancers[balancer].region)
    }

    /// Index of the balancer through which a node calls the next service.
    fn balancer_of(&self, node: usize) -> usize {
        self.plan.topology.nodes[node].outbound_balancer.0
    }

    /// Index of the node whose machine a balancer runs on; hollow balancer `i` runs on node `i`.
    fn node_of(&self, balancer: usize) -> usize {
        debug_assert_eq!(self.plan.topology.nodes[balancer].outbound_balancer, BalancerId(balancer));
        NodeId(balancer).0
    }

    fn next_number(&mut self) -> u64 {
        self.last_number += 1;
        self.last_number
    }
}
