//! Runs a scenario: starts the fleet, applies load, faults and changes, and always stops everything at the end.

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
use crate::hollow::{HollowError, HollowSummary};
use crate::node::server::NodeError;
use crate::plan::{Plan, duration_from_seconds};
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
use perform::ActionExecutor;

/// Time after the last deadline for late answers and list updates to arrive.
const SETTLE_TIME: Duration = Duration::from_millis(1500);
/// Time after [`SETTLE_TIME`] within which the clients must have ended.
const LOAD_END_TIMEOUT: Duration = Duration::from_secs(10);

/// What a run needs besides its scenario.
#[derive(Debug, Clone)]
pub struct Options {
    /// Path of the balancer program.
    pub program: PathBuf,
    /// Whether to show a progress bar on standard error if that is a terminal.
    pub progress: bool,
}

/// Why a run ended early.
#[derive(Debug, Error)]
pub enum RunError {
    /// A stand-in node could not start.
    #[error(transparent)]
    Node(#[from] NodeError),
    /// The control plane could not start.
    #[error(transparent)]
    Control(#[from] ControlError),
    /// A real balancer could not start or be controlled.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// The hollow balancers could not start, or ended early.
    #[error(transparent)]
    Hollow(#[from] HollowError),
    /// The folder for the balancers' files could not be created.
    #[error("cannot create a folder for the balancers' files: {0}")]
    TempDir(#[source] io::Error),
    /// Not all balancers became ready and received their list in time.
    #[error("only {ready} of {total} balancers were ready and had received their list within {within_s} s")]
    NotReady {
        /// Number of balancers that were ready.
        ready: usize,
        /// Number of all balancers.
        total: usize,
        /// Time limit in seconds.
        within_s: f64,
    },
    /// A real balancer exited, although no fault of the scenario killed it.
    #[error("{name} ended: {status}; last lines of its log: {log}")]
    BalancerExited {
        /// Name of the balancer.
        name: String,
        /// Exit status of its process.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// Clients were still running some time after their last deadline.
    #[error("the clients did not end after the load")]
    LoadNotEnded,
    /// A task of the tool panicked.
    #[error("a task of the tool failed: {0}")]
    TaskFailed(#[from] tokio::task::JoinError),
    /// The user ended the run with a signal.
    #[error("ended by {0}")]
    Interrupted(&'static str),
}

/// Runs a scenario until its end, an error, or `interrupt`, which returns the name of the interrupting signal. All
/// processes that it started have exited when it returns; the report says whether the run is partial.
pub async fn run(
    scenario: &Scenario,
    options: &Options,
    interrupt: impl Future<Output = &'static str>,
) -> Report {
    let mut session = Session::new(scenario);
    let load_result = tokio::select! {
        signal = interrupt => Err(RunError::Interrupted(signal)),
        result = session.start_and_run_load(options) => result,
    };
    let stop_result = session.stop().await;
    let error = load_result.err().or(stop_result.err());
    if let Some(error) = &error {
        warn!("{error}");
    }
    session.report(error)
}

/// State of a run in progress.
struct Session {
    scenario: Arc<Scenario>,
    topology: Arc<Topology>,
    record: Arc<Record>,
    plan: Plan,
    fleet: Option<Fleet>,
    load: Option<Load>,
    hollow_summary: Option<HollowSummary>,
}

/// Start and measurements of the load, once it has begun.
struct Load {
    start: Instant,
    duration_s: Option<f64>,
    control_usage_at_start: Vec<ControlUsage>,
    control_usage: Vec<ControlUsage>,
    tool_sampler: Sampler,
    tool_usage: Option<ProcessUsage>,
    hollow_cpu_s: f64,
    balancers_with_stale_list: Option<usize>,
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
            hollow_summary: None,
        }
    }

    async fn start_and_run_load(&mut self, options: &Options) -> Result<(), RunError> {
        let started_fleet =
            Fleet::start(&self.scenario, &self.topology, &self.record, &options.program).await?;
        let fleet = self.fleet.insert(started_fleet);
        fleet.wait_until_ready(duration_from_seconds(self.scenario.ready_within_s)).await?;
        info!(real = self.scenario.fleet.real, hollow = self.scenario.fleet.hollow, "ready");
        let start = Instant::now();
        let load = self.load.insert(Load {
            start,
            duration_s: None,
            control_usage_at_start: fleet.control_usage(),
            control_usage: Vec::new(),
            tool_sampler: Sampler::new(std::process::id()),
            tool_usage: None,
            hollow_cpu_s: 0.0,
            balancers_with_stale_list: None,
        });
        let fleet = &*fleet;
        let load_end = start + duration_from_seconds(self.scenario.duration_s);
        let bar = watch::progress_bar(options.progress, self.scenario.duration_s);
        let result = tokio::select! {
            error = watch::monitor_balancers(fleet, &self.record, &bar, load_end) => Err(error),
            result = apply_load(fleet, &self.scenario, &self.topology, &self.record, &self.plan, load) => result,
        };
        bar.finish_and_clear();
        result
    }

    async fn stop(&mut self) -> Result<(), RunError> {
        let Some(fleet) = self.fleet.take() else { return Ok(()) };
        if let Some(load) = &mut self.load {
            load.take_measurements(&fleet, &self.record);
            load.balancers_with_stale_list = Some(fleet.balancers_with_stale_list());
        }
        self.hollow_summary = fleet.stop().await?;
        Ok(())
    }

    fn report(self, error: Option<RunError>) -> Report {
        let load = self.load.as_ref();
        let run = Run {
            scenario: &self.scenario,
            start: load.map(|load| load.start),
            load_duration_s: load.and_then(|load| load.duration_s).unwrap_or_default(),
            faults: self.plan.faults,
            control_usage: load.map(|load| load.control_usage.clone()).unwrap_or_default(),
            hollow_cpu_s: load.map(|load| load.hollow_cpu_s).unwrap_or_default(),
            balancers_with_stale_list: load.and_then(|load| load.balancers_with_stale_list),
            hollow_summary: self.hollow_summary,
            tool_usage: load.and_then(|load| load.tool_usage),
            partial_reason: error.map(|error| error.to_string()),
        };
        Report::of(&run, &self.record.measured())
    }
}

impl Load {
    /// Takes the measurements at the end of the load; later calls do nothing.
    fn take_measurements(&mut self, fleet: &Fleet, record: &Record) {
        if self.duration_s.is_some() {
            return;
        }
        self.duration_s = Some(self.start.elapsed().as_secs_f64());
        self.tool_usage = self.tool_sampler.sample();
        self.hollow_cpu_s = record.measured().hollow_cpu_s;
        let after = fleet.control_usage();
        self.control_usage = self
            .control_usage_at_start
            .iter()
            .zip(after)
            .map(|(before, after)| usage_between(before, &after))
            .collect();
    }
}

/// Traffic between a balancer and the control plane between two readings of its counters.
fn usage_between(before: &ControlUsage, after: &ControlUsage) -> ControlUsage {
    ControlUsage {
        bytes: after.bytes - before.bytes,
        calls: after.calls - before.calls,
        rejected_calls: after.rejected_calls - before.rejected_calls,
    }
}

async fn apply_load(
    fleet: &Fleet,
    scenario: &Arc<Scenario>,
    topology: &Arc<Topology>,
    record: &Arc<Record>,
    plan: &Plan,
    load: &mut Load,
) -> Result<(), RunError> {
    let load_end = load.start + duration_from_seconds(scenario.duration_s);
    let settle_end = load_end + duration_from_seconds(scenario.load.deadline_s) + SETTLE_TIME;
    if let Some(hollow) = &fleet.hollow {
        hollow.begin_load(load.start);
    }
    let mut clients = JoinSet::new();
    clients.spawn(socket_load(fleet, scenario, topology, record, load.start));
    let mut executor = ActionExecutor::new(fleet, scenario, topology, record, settle_end);
    for step in &plan.steps {
        sleep_until((load.start + step.offset).into()).await;
        executor.execute(step.action);
    }
    sleep_until(load_end.into()).await;
    load.take_measurements(fleet, record);
    sleep_until(settle_end.into()).await;
    executor.finish().await?;
    let clients_ended =
        timeout(LOAD_END_TIMEOUT, clients.join_next()).await.map_err(|_| RunError::LoadNotEnded)?;
    clients_ended.transpose()?;
    Ok(())
}

/// Makes the clients' calls to real balancers and the calls that are sent directly to nodes.
fn socket_load(
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
