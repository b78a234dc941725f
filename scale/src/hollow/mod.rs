//! Hollow balancers: the real decisions, endpoint lists and watches of hundreds of balancers in one process,
//! with randomly drawn calls and modelled nodes instead of client and node sockets.
//!
//! All of them run on one thread, so balancers and nodes share their state without locks. The control plane
//! is called over real loopback connections. Calls use no descriptors, and take no time except for the
//! modelled work of the nodes.

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
use crate::topology::{BalancerId, NodeId, Topology};

/// Why the hollow balancers do not run.
#[derive(Debug, Error)]
pub enum HollowError {
    /// The configuration of a balancer is invalid.
    #[error("the configuration of {balancer} is invalid: {cause}")]
    Configuration {
        /// Name of the balancer.
        balancer: String,
        /// What is wrong with the configuration.
        cause: ConfigError,
    },
    /// The operating system could not start the thread.
    #[error("cannot start the thread of the hollow balancers: {0}")]
    Thread(#[from] io::Error),
    /// The thread has ended without a request to stop.
    #[error("the thread of the hollow balancers has ended unexpectedly")]
    Ended,
}

/// Figures of the hollow balancers at the end of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HollowSummary {
    /// Maximum lateness: the longest time during the load from when an event was due until it was handled. If
    /// it is well above some milliseconds, the thread was too slow for the load.
    pub max_lateness: Duration,
    /// Number of calls that had not ended; no other figure includes them.
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

/// The hollow balancers of a run. Their thread ends when this is dropped.
#[derive(Debug)]
pub struct HollowFleet {
    commands: UnboundedSender<Command>,
    thread: JoinHandle<()>,
    progress: Arc<Progress>,
    node_count: usize,
}

impl HollowFleet {
    /// Starts all hollow balancers, which open their watches at once, and waits until all have started.
    /// `seed` is used to draw the calls and the work of the nodes.
    ///
    /// # Errors
    /// A configuration is invalid, or the thread cannot be started.
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
        let (start_result, start_result_receiver) = mpsc::channel();
        let input = thread::ThreadInput {
            plan,
            control: Arc::clone(control),
            record,
            progress: Arc::clone(&progress),
            commands: command_receiver,
            start_result,
        };
        let thread =
            std::thread::Builder::new().name("hollow".to_owned()).spawn(move || thread::run_thread(input))?;
        start_result_receiver.recv().map_err(|_| HollowError::Ended)??;
        Ok(Self { commands, thread, progress, node_count })
    }

    /// Starts the load: calls arrive from `start` on.
    pub fn begin_load(&self, start: Instant) {
        self.send(Command::BeginLoad(start));
    }

    /// Makes the machine of a hollow node, with the balancer on it, silent or reachable again. Has no effect
    /// on other nodes.
    pub fn set_silent(&self, node: NodeId, silent: bool) {
        if node.0 < self.node_count {
            self.send(Command::SetSilent { node: node.0, silent });
        }
    }

    /// Restarts the processes of a hollow node, which is then cold, and of the balancer on it. Has no effect
    /// on other nodes.
    pub fn restart(&self, node: NodeId) {
        if node.0 < self.node_count {
            self.send(Command::Restart { node: node.0 });
        }
    }

    /// Cuts the regions off from each other (calls between them get no answer), or reconnects them.
    pub fn set_regions_cut(&self, cut: bool) {
        self.send(Command::SetRegionsCut(cut));
    }

    /// Reloads a hollow balancer's configuration, as after SIGHUP. Has no effect on other balancers.
    pub fn reload(&self, balancer: BalancerId, configuration: String) {
        if balancer.0 < self.node_count {
            self.send(Command::Reload { balancer: balancer.0, configuration, requested_at: Instant::now() });
        }
    }

    /// Number of balancers with an endpoint that takes requests, even if only from their configuration.
    #[must_use]
    pub fn ready_count(&self) -> usize {
        self.progress.ready_count()
    }

    /// Number of balancers whose watch is open and has delivered a list or change.
    #[must_use]
    pub fn watching_count(&self) -> usize {
        self.progress.watching_count()
    }

    /// Number of calls that have arrived and not ended. All calls have ended half a second after the last
    /// client's deadline.
    #[must_use]
    pub fn open_calls(&self) -> usize {
        self.progress.open_calls()
    }

    /// Stops all balancers and waits for their thread.
    ///
    /// # Errors
    /// The thread had already ended.
    pub fn stop(self) -> Result<HollowSummary, HollowError> {
        self.send(Command::Stop);
        self.thread.join().map_err(|_| HollowError::Ended)?;
        Ok(HollowSummary {
            max_lateness: self.progress.max_lateness(),
            open_calls: self.progress.open_calls(),
        })
    }

    /// If the thread has ended, commands are dropped; [`Self::stop`] reports the error.
    fn send(&self, command: Command) {
        let _ = self.commands.send(command);
    }
}

#[cfg(test)]
mod tests;
