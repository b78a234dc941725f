//! The thread that carries the hollow part, at the pace of the clock.

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

/// Things handled at one go, before watches get their turn.
const MAX_EVENTS_PER_BATCH: usize = 256;
/// The longest sleep: watches may add something that falls due sooner than all that was planned.
const MAX_SLEEP: Duration = Duration::from_millis(5);
/// Time between two looks at the thread's processor time.
const CPU_TIME_SAMPLE_INTERVAL: Duration = Duration::from_millis(50);

/// What the thread is started with.
pub(super) struct ThreadInput {
    /// What it models.
    pub plan: Plan,
    /// Where copies watch their lists.
    pub control: Arc<ControlPlane>,
    /// Where figures go.
    pub record: Arc<Record>,
    /// How far it has come.
    pub progress: Arc<Progress>,
    /// What it is told.
    pub commands: UnboundedReceiver<Command>,
    /// Hears whether all copies have started.
    pub started: Sender<Result<(), HollowError>>,
}

/// Runs the hollow part until it is told to stop.
pub(super) fn run_thread(input: ThreadInput) {
    let ThreadInput { plan, control, record, progress, commands, started } = input;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(HollowError::Thread(error)))),
    };
    LocalSet::new().block_on(&runtime, async {
        match HollowHost::start(plan, control, Arc::clone(&record), progress) {
            Ok(host) => {
                // Whoever started the thread may have given up.
                let _ = started.send(Ok(()));
                run_event_loop(&host, commands, &record).await;
            }
            Err(error) => drop(started.send(Err(error))),
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
        let wait = host.borrow().time_to_next_event().unwrap_or(MAX_SLEEP);
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
            () = sleep(wait.min(MAX_SLEEP)), if !more_due => {}
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
        // Both were seen to by the loop.
        Command::BeginLoad(_) | Command::Stop => {}
    }
}

/// Processor time of the thread since the load began.
#[derive(Default)]
struct CpuTimeSampler {
    baseline: Option<Duration>,
    sampled_at: Option<Instant>,
}

impl CpuTimeSampler {
    fn from_now() -> Self {
        Self { baseline: thread_cpu_time(), sampled_at: None }
    }

    /// Notes the time from time to time, so that a run that is cut short has it too.
    fn sample(&mut self, record: &Record) {
        if self.sampled_at.is_none_or(|at| at.elapsed() >= CPU_TIME_SAMPLE_INTERVAL) {
            self.sampled_at = Some(Instant::now());
            self.write_to(record);
        }
    }

    fn write_to(&self, record: &Record) {
        if let Some((baseline, now)) = self.baseline.zip(thread_cpu_time()) {
            record.measured().hollow_core_s = now.saturating_sub(baseline).as_secs_f64();
        }
    }
}
