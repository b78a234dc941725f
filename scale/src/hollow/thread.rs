//! The thread that carries the hollow part, at the pace of the clock.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::Sender;
use std::time::{Duration, Instant};

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::{LocalSet, yield_now};
use tokio::time::sleep;

use super::host::Host;
use super::plan::Plan;
use super::processor::thread_time;
use super::progress::Progress;
use super::{Command, HollowError};
use crate::control::ControlPlane;
use crate::record::Record;

/// Things handled at one go, before watches get their turn.
const BATCH: usize = 256;
/// The longest sleep: watches may add something that falls due sooner than all that was planned.
const LONGEST_SLEEP: Duration = Duration::from_millis(5);
/// Time between two looks at the thread's processor time.
const PROCESSOR_LOOK: Duration = Duration::from_millis(50);

/// What the thread is started with.
pub(super) struct Start {
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
pub(super) fn run(start: Start) {
    let Start { plan, control, record, progress, commands, started } = start;
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return drop(started.send(Err(HollowError::Thread(error)))),
    };
    LocalSet::new().block_on(&runtime, async {
        match Host::start(plan, control, Arc::clone(&record), progress) {
            Ok(host) => {
                // Whoever started the thread may have given up.
                let _ = started.send(Ok(()));
                keep_pace(&host, commands, &record).await;
            }
            Err(error) => drop(started.send(Err(error))),
        }
    });
}

async fn keep_pace(host: &Rc<RefCell<Host>>, mut commands: UnboundedReceiver<Command>, record: &Arc<Record>) {
    let mut processor = ProcessorTime::default();
    loop {
        let more = host.borrow_mut().advance(BATCH);
        processor.look(record);
        let next = host.borrow().next_due_in().unwrap_or(LONGEST_SLEEP);
        tokio::select! {
            biased;
            command = commands.recv() => match command {
                None | Some(Command::Stop) => break,
                Some(Command::BeginLoad(start)) => {
                    processor = ProcessorTime::from_now();
                    host.borrow_mut().begin_load(start);
                }
                Some(command) => obey(&mut host.borrow_mut(), command),
            },
            () = yield_now(), if more => {}
            () = sleep(next.min(LONGEST_SLEEP)), if !more => {}
        }
    }
    processor.add_to(record);
}

fn obey(host: &mut Host, command: Command) {
    match command {
        Command::Silence { node, silent } => host.silence(node, silent),
        Command::Restart { node } => host.restart(node),
        Command::CutRegions(cut) => host.cut_regions(cut),
        Command::Reload { copy, configuration, at } => host.reload(copy, &configuration, at),
        // Both were seen to by the loop.
        Command::BeginLoad(_) | Command::Stop => {}
    }
}

/// Processor time of the thread since the load began.
#[derive(Default)]
struct ProcessorTime {
    counted_from: Option<Duration>,
    looked: Option<Instant>,
}

impl ProcessorTime {
    fn from_now() -> Self {
        Self { counted_from: thread_time(), looked: None }
    }

    /// Notes the time from time to time, so that a run that is cut short has it too.
    fn look(&mut self, record: &Record) {
        if self.looked.is_none_or(|at| at.elapsed() >= PROCESSOR_LOOK) {
            self.looked = Some(Instant::now());
            self.add_to(record);
        }
    }

    fn add_to(&self, record: &Record) {
        if let Some((from, now)) = self.counted_from.zip(thread_time()) {
            record.measured().hollow_core_s = now.saturating_sub(from).as_secs_f64();
        }
    }
}
