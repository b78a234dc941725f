//! Hollow copies: the real decisions, lists and watches of hundreds of balancers in one process, with calls that are
//! drawn, against modelled nodes.
//!
//! One thread carries them all, so that copies and nodes share their state without locks. Control is asked over
//! real loopback connections; calls take no time but that of the nodes' work, and use no descriptors.

mod arrivals;
mod balancer;
mod calls;
mod connections;
mod host;
mod nodes;
mod plan;
mod processor;
mod progress;
mod schedule;
mod thread;

use std::io;
use std::sync::{Arc, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use stilelead::config::ConfigError;
use thiserror::Error;
use tokio::sync::mpsc::{UnboundedSender, unbounded_channel};

use self::plan::Plan;
use self::progress::Progress;
use crate::control::ControlPlane;
use crate::record::Record;
use crate::scenario::Scenario;
use crate::topology::{CopyId, NodeId, Topology};

/// Why the hollow part does not run.
#[derive(Debug, Error)]
pub enum HollowError {
    /// A copy cannot start from its configuration.
    #[error("the configuration of {balancer} cannot be used: {cause}")]
    Configuration {
        /// The copy's name.
        balancer: String,
        /// Why.
        cause: ConfigError,
    },
    /// The system does not start the thread.
    #[error("the thread of the hollow copies does not start: {0}")]
    Thread(#[from] io::Error),
    /// The thread has ended by itself.
    #[error("the thread of the hollow copies has ended before its time")]
    Ended,
}

/// What is left to say of the hollow part when it has stopped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HollowEnd {
    /// The longest time from when something fell due during the load until it was handled: well above some
    /// milliseconds, the thread could not carry the load.
    pub max_lateness: Duration,
    /// Calls that had no end yet and are in no figure.
    pub open_calls: usize,
}

enum Command {
    BeginLoad(Instant),
    SetSilent { node: usize, silent: bool },
    Restart { node: usize },
    SetRegionsCut(bool),
    Reload { balancer: usize, configuration: String, requested_at: Instant },
    Stop,
}

/// The hollow copies of a run. Dropping it ends their thread.
#[derive(Debug)]
pub struct HollowFleet {
    commands: UnboundedSender<Command>,
    thread: JoinHandle<()>,
    progress: Arc<Progress>,
    node_count: usize,
}

impl HollowFleet {
    /// Starts all hollow copies, which watch their lists at once, and waits until all have started. `seed` is that of
    /// the calls and of the nodes' work.
    ///
    /// # Errors
    /// A configuration cannot be used, or the system has no thread.
    pub fn start(
        scenario: &Scenario,
        topology: &Topology,
        control: &Arc<ControlPlane>,
        record: Arc<Record>,
        seed: u64,
    ) -> Result<Self, HollowError> {
        let plan = Plan { scenario: scenario.clone(), topology: topology.clone(), seed };
        let node_count = plan.hollow_count();
        let progress = Arc::new(Progress::default());
        let (commands, command_receiver) = unbounded_channel();
        let (started, started_receiver) = mpsc::channel();
        let input = thread::ThreadInput {
            plan,
            control: Arc::clone(control),
            record,
            progress: Arc::clone(&progress),
            commands: command_receiver,
            started,
        };
        let thread =
            std::thread::Builder::new().name("hollow".to_owned()).spawn(move || thread::run_thread(input))?;
        started_receiver.recv().map_err(|_| HollowError::Ended)??;
        Ok(Self { commands, thread, progress, node_count })
    }

    /// Calls arrive from `start` on.
    pub fn begin_load(&self, start: Instant) {
        self.send(Command::BeginLoad(start));
    }

    /// The machine of a hollow node, with the copy on it, says nothing from now on, or is back. Other nodes are passed
    /// over.
    pub fn set_silent(&self, node: NodeId, silent: bool) {
        if node.0 < self.node_count {
            self.send(Command::SetSilent { node: node.0, silent });
        }
    }

    /// The processes of a hollow node and of the copy on it end and start anew, the node cold. Other nodes are passed
    /// over.
    pub fn restart(&self, node: NodeId) {
        if node.0 < self.node_count {
            self.send(Command::Restart { node: node.0 });
        }
    }

    /// Calls between regions are silent from now on, or no longer.
    pub fn set_regions_cut(&self, cut: bool) {
        self.send(Command::SetRegionsCut(cut));
    }

    /// Gives a hollow copy a new configuration, as SIGHUP would. Other copies are passed over.
    pub fn reload(&self, balancer: CopyId, configuration: String) {
        if balancer.0 < self.node_count {
            self.send(Command::Reload { balancer: balancer.0, configuration, requested_at: Instant::now() });
        }
    }

    /// Copies with an endpoint to send to, be it from their configuration.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.progress.ready_count()
    }

    /// Copies whose watch stands and has told them something.
    #[must_use]
    pub fn watching_count(&self) -> usize {
        self.progress.watching_count()
    }

    /// Calls that have arrived and not ended. After the load, all have ended when the clients' time and half a
    /// second more have passed.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.progress.open_calls()
    }

    /// Stops all copies and waits for their thread.
    ///
    /// # Errors
    /// The thread had ended before.
    pub fn stop(self) -> Result<HollowEnd, HollowError> {
        self.send(Command::Stop);
        self.thread.join().map_err(|_| HollowError::Ended)?;
        Ok(HollowEnd { max_lateness: self.progress.max_lateness(), open_calls: self.progress.open_calls() })
    }

    /// A thread that has ended takes no commands, which shows when it is stopped.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

#[cfg(test)]
mod tests;
