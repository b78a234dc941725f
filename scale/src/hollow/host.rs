//! Carries all hollow copies and the modelled nodes behind them on one thread.
//!
//! Times are counted from the host's start. What falls due is handled at the time at which it was due, in order,
//! however late the thread comes to it; how late that was at most is measured. What control tells is handled at the
//! time at which it arrives.

mod attempts;
mod clients;
mod faults;
mod lists;
mod requests;
mod runs;
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
use super::calls::{Answer, CallId, HeldRequest, OpenCall, Origin, Run, RunId};
use super::copy::HollowCopy;
use super::nodes::ModelledNode;
use super::plan::Plan;
use super::progress::Progress;
use super::schedule::{Due, DueEntry, Schedule};
use crate::control::ControlPlane;
use crate::record::Record;
use crate::topology::{CopyId, Node, NodeId};

/// Idle connections are looked through this many times in the time for which they are kept.
const SWEEPS: u32 = 8;

/// What is left to do for something that has happened.
enum Step {
    /// A copy's decisions hear of it.
    Tell {
        /// Position of the copy.
        copy: usize,
        /// What they hear.
        event: Event,
    },
    /// Who waits for a request hears its answer.
    Answered {
        /// Who.
        origin: Origin,
        /// The answer.
        answer: Answer,
    },
}

/// All hollow copies and modelled nodes.
pub(super) struct Host {
    plan: Plan,
    control: Arc<ControlPlane>,
    record: Arc<Record>,
    progress: Arc<Progress>,
    clock: Clock,
    zero: Instant,
    /// The time that is being handled.
    now: Duration,
    schedule: Schedule,
    steps: VecDeque<Step>,
    actions: Vec<Action>,
    copies: Vec<HollowCopy>,
    nodes: Vec<ModelledNode>,
    /// Configurations that copies were given while they ran, without lists.
    replaced: FxHashMap<usize, String>,
    /// Positions of the nodes by name.
    positions: FxHashMap<String, usize>,
    arrivals: Peekable<Arrivals>,
    load_starts: Option<Duration>,
    calls: FxHashMap<CallId, OpenCall>,
    requests: FxHashMap<RequestId, HeldRequest>,
    runs: FxHashMap<RunId, Run>,
    next_number: u64,
    regions_cut: bool,
    itself: Weak<RefCell<Self>>,
}

impl Host {
    /// Lays out the nodes and starts all copies. Runs within a `LocalSet`, as the copies begin to watch.
    ///
    /// # Errors
    /// The settings of a copy make no sense.
    pub fn start(
        plan: Plan,
        control: Arc<ControlPlane>,
        record: Arc<Record>,
        progress: Arc<Progress>,
    ) -> Result<Rc<RefCell<Self>>, HollowError> {
        let topology = &plan.topology;
        let region = |node: &Node| topology.region(node.zone);
        let nodes = topology.nodes.iter().take(plan.hollow()).enumerate();
        let nodes: Vec<ModelledNode> = nodes
            .map(|(number, node)| ModelledNode::new(&plan.scenario.node, region(node), number, plan.seed))
            .collect();
        let named = topology.nodes.iter().take(plan.hollow()).enumerate();
        let positions = named.map(|(number, node)| (node.name.clone(), number)).collect();
        let load_time = Duration::try_from_secs_f64(plan.scenario.duration_s).unwrap_or_default();
        let arrivals = Arrivals::new(&plan.scenario.load, plan.hollow(), load_time, plan.seed);
        let host = Rc::new_cyclic(|itself| {
            RefCell::new(Self {
                control,
                record,
                progress,
                clock: Clock::start(),
                zero: Instant::now(),
                now: Duration::ZERO,
                schedule: Schedule::default(),
                steps: VecDeque::new(),
                actions: Vec::new(),
                copies: Vec::with_capacity(plan.hollow()),
                nodes,
                replaced: FxHashMap::default(),
                positions,
                arrivals: arrivals.peekable(),
                load_starts: None,
                calls: FxHashMap::default(),
                requests: FxHashMap::default(),
                runs: FxHashMap::default(),
                next_number: 0,
                regions_cut: false,
                itself: Weak::clone(itself),
                plan,
            })
        });
        host.borrow_mut().start_copies()?;
        Ok(host)
    }

    fn start_copies(&mut self) -> Result<(), HollowError> {
        for number in 0..self.plan.hollow() {
            let copy = self.new_copy(number, 0)?;
            let sweeps_at = self.now + copy.in_force.keep() / SWEEPS;
            self.copies.push(copy);
            self.schedule.add(sweeps_at, Due::Sweep { copy: number });
            self.begin_deciding(number);
        }
        Ok(())
    }

    fn name(&self, copy: usize) -> String {
        self.plan.topology.copies[copy].name.clone()
    }

    /// When the next thing falls due, in time from now on.
    pub fn next_due_in(&self) -> Option<Duration> {
        Some(self.schedule.next_at()?.saturating_sub(self.zero.elapsed()))
    }

    /// Handles up to `most` things that are due by now; whether there may be more.
    pub fn advance(&mut self, most: usize) -> bool {
        let wall = self.zero.elapsed();
        (0..most).all(|_| self.handle_next(wall))
    }

    /// Something comes from outside: all that was due before it is handled first.
    fn catch_up(&mut self) {
        let wall = self.zero.elapsed();
        while self.handle_next(wall) {}
        self.now = self.now.max(wall);
    }

    /// Handles the next thing that is due at `wall`; `false` if there is none.
    fn handle_next(&mut self, wall: Duration) -> bool {
        let Some(DueEntry { at, due }) = self.schedule.take_due(wall) else { return false };
        self.now = self.now.max(at);
        if self.load_starts.is_some() {
            self.progress.was_behind(wall.saturating_sub(at));
        }
        self.fall_due(due);
        self.run_steps();
        true
    }

    fn fall_due(&mut self, due: Due) {
        match due {
            Due::Arrival => self.next_arrival(),
            Due::Retry(call) => self.try_call(call),
            Due::Leave(call) => self.client_leaves(call),
            Due::TimeUp(call) => self.time_is_up(call),
            Due::Lost(call) => self.call_is_lost(call),
            Due::Overdue(request) => self.overdue(request),
            Due::AttemptTimeout(attempt) => self.attempt_timed_out(attempt),
            Due::ConnectTimeout(attempt) => self.connect_timed_out(attempt),
            Due::WorkDone(run) => self.work_done(run),
            Due::Wake { copy, life } => {
                if self.copies[copy].life == life {
                    self.tell(copy, Event::TimerFired);
                }
            }
            Due::Sweep { copy } => self.sweep(copy),
        }
    }

    fn tell(&mut self, copy: usize, event: Event) {
        self.steps.push_back(Step::Tell { copy, event });
    }

    fn run_steps(&mut self) {
        while let Some(step) = self.steps.pop_front() {
            match step {
                Step::Tell { copy, event } => self.decide(copy, event),
                Step::Answered { origin: Origin::Client(call), answer } => self.call_answered(call, answer),
                Step::Answered { origin: Origin::Node(run), answer } => self.run_answered(run, answer),
            }
        }
    }

    fn decide(&mut self, copy: usize, event: Event) {
        let time = self.clock.at((self.zero + self.now).into());
        let mut actions = std::mem::take(&mut self.actions);
        self.copies[copy].balancer.handle(time, event, &mut actions);
        for action in actions.drain(..) {
            self.carry_out(copy, action);
        }
        self.actions = actions;
    }

    fn carry_out(&mut self, copy: usize, action: Action) {
        match action {
            Action::Send { request, upstream, timeout, start_within } => {
                self.send(request, upstream, timeout, start_within);
            }
            Action::CancelAttempt { request, attempt } => self.withdraw(request, attempt),
            Action::Refuse { request, retry_after } => self.answer(request, Answer::Refused { retry_after }),
            Action::Fail { request } => self.answer(request, Answer::Failed),
            Action::SubscribeToDiscovery => self.subscribe(copy),
            Action::AbortPendingConnects { upstream } => self.abort_connects(copy, upstream),
            // Health checks are not made, as in the balancer.
            Action::Probe { upstream } => {
                let (outcome, took) = (Outcome::NotSent, Duration::ZERO);
                self.tell(copy, Event::ProbeEnded { upstream, outcome, duration: took, load: None });
            }
            Action::CloseIdleConnections { upstream } => {
                let dropped = self.copies[copy].idle.drain(upstream);
                self.close(dropped);
            }
            Action::SetTimer(span) => {
                let life = self.copies[copy].life;
                self.schedule.add(self.now + span, Due::Wake { copy, life });
            }
            Action::Report(report) => tracing::debug!(copy = self.name(copy), ?report, "decided"),
        }
    }

    /// Whether nothing passes between a copy and a node.
    fn is_unreachable(&self, copy: usize, node: usize) -> bool {
        let node = &self.nodes[node];
        node.silent || (self.regions_cut && node.region != self.copies[copy].region)
    }

    /// Position of the copy through which a node calls the next service.
    fn copy_of(&self, node: usize) -> usize {
        self.plan.topology.nodes[node].calls_through.0
    }

    /// Position of the node that holds a copy: the copies follow the nodes one by one.
    fn node_of(&self, copy: usize) -> usize {
        debug_assert_eq!(self.plan.topology.nodes[copy].calls_through, CopyId(copy));
        NodeId(copy).0
    }

    fn number(&mut self) -> u64 {
        self.next_number += 1;
        self.next_number
    }
}
