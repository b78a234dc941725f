//! Runs a scenario: starts the fleet, plays load, faults and changes, and ends everything whatever happens.

use std::future::Future;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::sync::Arc;
use std::time::{Duration, Instant};

use thiserror::Error;
use tokio::task::JoinSet;
use tokio::time::{sleep_until, timeout};
use tracing::{info, warn};

use crate::client;
use crate::control::ControlError;
use crate::hollow::{HollowEnd, HollowError};
use crate::node::server::NodeError;
use crate::plan::{Plan, seconds};
use crate::process::{ProcessError, Sampler};
use crate::record::{ControlUsage, ProcessUsage, Record};
use crate::report::{Report, Run};
use crate::scenario::Scenario;
use crate::topology::Topology;

mod fleet;
mod lists;
mod perform;
mod settings;
mod watch;

use fleet::Fleet;
use perform::Performer;

/// Time after the last deadline in which answers and lists still arrive.
const SETTLE: Duration = Duration::from_millis(1500);
/// Time after that which the load may take to end.
const LOAD_ENDS_WITHIN: Duration = Duration::from_secs(10);

/// What a run needs beside its scenario.
#[derive(Debug, Clone)]
pub struct Options {
    /// The balancer program.
    pub program: PathBuf,
    /// Shows a progress bar on standard error if that is a terminal.
    pub progress: bool,
}

/// Why a run did not come to its end.
#[derive(Debug, Error)]
pub enum RunError {
    /// A stand-in node could not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// Control could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A real balancer could not start, or gave up.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The hollow copies could not start.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// There is no folder for the balancers' files.
    #[error("no folder for the balancers' files: {0}")]
    Directory(#[source] io::Error),
    /// Copies did not become ready and hear from control in time.
    #[error("{ready} of {of} copies were ready and watched their list within {within_s} s")]
    NotReady {
        /// Copies that were ready.
        ready: usize,
        /// Copies in all.
        of: usize,
        /// The time that they had, in seconds.
        within_s: f64,
    },
    /// A real balancer ended that no fault of the scenario had ended.
    #[error("{name} ended: {status}; its last lines: {log}")]
    Ended {
        /// Its copy's name.
        name: String,
        /// How.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// The load did not end some time after its last deadline.
    #[error("the load did not end")]
    LoadStuck,
    /// A part of the tool panicked.
    #[error("a part of the tool failed: {0}")]
    Part(#[from] tokio::task::JoinError),
    /// The user ended the run.
    #[error("ended by {0}")]
    Interrupted(&'static str),
}

/// Runs a scenario until its end, an error, or `interrupt`, which tells what interrupted it. All processes that were
/// started have ended when it returns; the report says whether it is partial.
pub async fn run(
    scenario: &Scenario,
    options: &Options,
    interrupt: impl Future<Output = &'static str>,
) -> Report {
    let mut session = Session::new(scenario);
    let played = tokio::select! {
        signal = interrupt => Err(RunError::Interrupted(signal)),
        played = session.play(options) => played,
    };
    let ended = session.end().await;
    let error = played.err().or(ended.err());
    if let Some(error) = &error {
        warn!("{error}");
    }
    session.report(error)
}

/// A run in the making.
struct Session {
    scenario: Arc<Scenario>,
    topology: Arc<Topology>,
    record: Arc<Record>,
    plan: Plan,
    fleet: Option<Fleet>,
    load: Option<Load>,
    hollow_end: Option<HollowEnd>,
}

/// The load, once it has begun.
struct Load {
    start: Instant,
    played_s: Option<f64>,
    control_before: Vec<ControlUsage>,
    control_used: Vec<ControlUsage>,
    tool: Sampler,
    tool_used: Option<ProcessUsage>,
    hollow_core_s: f64,
    lists_behind: Option<usize>,
}

impl Session {
    fn new(scenario: &Scenario) -> Self {
        let topology = Topology::of(&scenario.fleet);
        Self {
            plan: Plan::draw(scenario, &topology),
            scenario: Arc::new(scenario.clone()),
            topology: Arc::new(topology),
            record: Arc::default(),
            fleet: None,
            load: None,
            hollow_end: None,
        }
    }

    async fn play(&mut self, options: &Options) -> Result<(), RunError> {
        let started = Fleet::start(&self.scenario, &self.topology, &self.record, &options.program).await?;
        let fleet = self.fleet.insert(started);
        fleet.ready(seconds(self.scenario.ready_within_s)).await?;
        info!(real = self.scenario.fleet.real, hollow = self.scenario.fleet.hollow, "ready");
        let start = Instant::now();
        let load = self.load.insert(Load {
            start,
            played_s: None,
            control_before: fleet.control_usage(),
            control_used: Vec::new(),
            tool: Sampler::new(std::process::id()),
            tool_used: None,
            hollow_core_s: 0.0,
            lists_behind: None,
        });
        let fleet = &*fleet;
        let ends = start + seconds(self.scenario.duration_s);
        let bar = watch::progress_bar(options.progress, self.scenario.duration_s);
        let ended = tokio::select! {
            ended = watch::watch(fleet, &self.record, &bar, ends) => Err(ended),
            played = play_load(fleet, &self.scenario, &self.topology, &self.record, &self.plan, load) => played,
        };
        bar.finish_and_clear();
        ended
    }

    async fn end(&mut self) -> Result<(), RunError> {
        let Some(fleet) = self.fleet.take() else { return Ok(()) };
        if let Some(load) = &mut self.load {
            load.finish(&fleet, &self.record);
            load.lists_behind = Some(fleet.lists_behind());
        }
        self.hollow_end = fleet.end().await?;
        Ok(())
    }

    fn report(self, error: Option<RunError>) -> Report {
        let load = self.load.as_ref();
        let run = Run {
            scenario: &self.scenario,
            start: load.map(|load| load.start),
            played_s: load.and_then(|load| load.played_s).unwrap_or_default(),
            faults: self.plan.faults,
            control: load.map(|load| load.control_used.clone()).unwrap_or_default(),
            hollow_core_s: load.map(|load| load.hollow_core_s).unwrap_or_default(),
            lists_behind: load.and_then(|load| load.lists_behind),
            hollow_end: self.hollow_end,
            tool: load.and_then(|load| load.tool_used),
            ended_early: error.map(|error| error.to_string()),
        };
        Report::of(&run, &self.record.measured())
    }
}

impl Load {
    /// Takes the figures at the end of the load, once.
    fn finish(&mut self, fleet: &Fleet, record: &Record) {
        if self.played_s.is_some() {
            return;
        }
        self.played_s = Some(self.start.elapsed().as_secs_f64());
        self.tool_used = self.tool.sample();
        self.hollow_core_s = record.measured().hollow_core_s;
        let after = fleet.control_usage();
        self.control_used =
            self.control_before.iter().zip(after).map(|(before, after)| used(before, &after)).collect();
    }
}

fn used(before: &ControlUsage, after: &ControlUsage) -> ControlUsage {
    ControlUsage {
        bytes: after.bytes - before.bytes,
        calls: after.calls - before.calls,
        rejected_calls: after.rejected_calls - before.rejected_calls,
    }
}

async fn play_load(
    fleet: &Fleet,
    scenario: &Arc<Scenario>,
    topology: &Arc<Topology>,
    record: &Arc<Record>,
    plan: &Plan,
    load: &mut Load,
) -> Result<(), RunError> {
    let ends = load.start + seconds(scenario.duration_s);
    let settled = ends + seconds(scenario.load.deadline_s) + SETTLE;
    if let Some(hollow) = &fleet.hollow {
        hollow.begin_load(load.start);
    }
    let mut clients = JoinSet::new();
    clients.spawn(real_load(fleet, scenario, topology, record, load.start));
    let mut performer = Performer::new(fleet, scenario, topology, record, settled);
    for step in &plan.steps {
        sleep_until((load.start + step.at).into()).await;
        performer.perform(step.action);
    }
    sleep_until(ends.into()).await;
    load.finish(fleet, record);
    sleep_until(settled.into()).await;
    performer.finish().await?;
    let ended = timeout(LOAD_ENDS_WITHIN, clients.join_next()).await.map_err(|_| RunError::LoadStuck)?;
    ended.transpose()?;
    Ok(())
}

/// The calls of clients to real balancers, and those sent straight.
fn real_load(
    fleet: &Fleet,
    scenario: &Arc<Scenario>,
    topology: &Arc<Topology>,
    record: &Arc<Record>,
    start: Instant,
) -> impl Future<Output = ()> + Send + 'static {
    let (scenario, topology, record) = (scenario.clone(), topology.clone(), record.clone());
    let balancers = fleet.balancer_addresses();
    let direct = fleet.direct_addresses();
    async move {
        if !balancers.is_empty() {
            client::run_load(&scenario, &topology, balancers, direct, start, record).await;
        }
    }
}
