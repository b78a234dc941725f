//! The thread of the hollow balancers, which handles timed events in real time.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{LocalSet, yield_now};
use tokio::time::sleep;

use super::host::HollowHost;
use super::plan::Plan;
use super::processor::thread_cpu_time;
use super::progress::Progress;
use super::{Command, HollowError};
use crate::control::ControlPlane;
use crate::record::Record;

/// Maximum number of events handled in a row before the discovery watches on the same thread run.
const MAX_EVENTS_PER_BATCH: usize = 256;
/// Longest sleep: watches may add events that are due before all scheduled ones.
const MAX_SLEEP: Duration = Duration::from_millis(5);
/// Interval between two samples of the thread's processor time.
const CPU_TIME_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What the thread needs to run.
pub(super) struct ThreadInput {
    /// The fleet that the thread models.
    pub plan: Plan,
    /// The control plane whose lists the balancers watch.
    pub control: Arc<ControlPlane>,
    /// Where measurements are recorded.
    pub record: Arc<Record>,
    /// Counters that other threads read.
    pub progress: Arc<Progress>,
    /// Commands to start the load, inject a fault, reload settings or stop.
    pub commands: UnboundedReceiver<Command>,
    /// Receives the result once all balancers have started or one has failed to.
    pub start_result: Sender<Result<(), HollowError>>,
}

/// Runs the hollow balancers until the command to stop.
pub(super) fn run_thread(input: ThreadInput) {
    let ThreadInput { plan, control, record, progress, commands, start_result } = input;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(start_result.send(Err(HollowError::Thread(error)))),
    };
    LocalSet::new().block_on(&runtime, async {
        match HollowHost::start(plan, control, Arc::clone(&record), progress) {
            Ok(host) => {
                // The thread that started this one may no longer wait.
                let _ = start_result.send(Ok(()));
                run_event_loop(&host, commands, &record).await;
            }
            Err(error) => drop(start_result.send(Err(error))),
        }
    });
}

async fn run_event_loop(
    host: &Rc<RefCell<HollowHost>>,
    mut commands: UnboundedReceiver<Command>,
    record: &Arc<Record>,
) {
    let mut cpu_time = CpuTimeSampler::default();
    loop {
        let more_due = host.borrow_mut().advance(MAX_EVENTS_PER_BATCH);
        cpu_time.sample(record);
        let time_to_next = host.borrow().time_to_next_event().unwrap_or(MAX_SLEEP);
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                None | Some(Command::Stop) => break,
                Some(Command::BeginLoad(start)) => {
                    cpu_time = CpuTimeSampler::from_now();
                    host.borrow_mut().begin_load(start);
                }
                Some(command) => apply_command(&mut host.borrow_mut(), command),
            },
            () = yield_now(), if more_due => {}
            () = sleep(time_to_next.min(MAX_SLEEP)), if !more_due => {}
        }
    }
    cpu_time.write_to(record);
}

fn apply_command(host: &mut HollowHost, command: Command) {
    match command {
        Command::SetSilent { node, silent } => host.set_silent(node, silent),
        Command::Restart { node } => host.restart(node),
        Command::SetRegionsCut(cut) => host.set_regions_cut(cut),
        Command::Reload { balancer, configuration, requested_at } => {
            host.reload(balancer, &configuration, requested_at)
        }
        // The event loop has already handled both.
        Command::BeginLoad(_) | Command::Stop => {}
    }
}

/// Measures the thread's processor time since the load began.
#[derive(Default)]
struct CpuTimeSampler {
    baseline: Option<Duration>,
    sampled_at: Option<Instant>,
}

impl CpuTimeSampler {
    fn from_now() -> Self {
        Self { baseline: thread_cpu_time(), sampled_at: None }
    }

    /// Records the processor time at intervals, so that a run that is aborted has it too.
    fn sample(&mut self, record: &Record) {
        if self.sampled_at.is_none_or(|at| at.elapsed() >= CPU_TIME_SAMPLE_INTERVAL) {
            self.sampled_at = Some(Instant::now());
            self.write_to(record);
        }
    }

    fn write_to(&self, record: &Record) {
        if let Some((baseline, now)) = self.baseline.zip(thread_cpu_time()) {
            record.measured().hollow_cpu_s = now.saturating_sub(baseline).as_secs_f64();
        }
    }
}
