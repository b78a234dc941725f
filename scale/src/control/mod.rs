//! The stand-in control plane: up to three replicas that speak discovery's side of the protocol.

pub mod catalog;
mod http;
mod replica;
mod signals;
mod turns;
mod views;
mod watch;

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use stilelead::discovery::{Endpoint, Update};
use thiserror::Error;

use crate::port::Port;
use crate::record::{ControlUsage, Record};
use crate::scenario::Scenario;
use crate::topology::{CopyId, RegionId, ServiceId, Topology};
use replica::{Counters, Desk};
use signals::{Link, Signals};
use turns::Turns;
use views::Views;

/// Replicas at most.
const REPLICAS_MOST: u32 = 3;
/// The shortest time between two lines of a watch.
const HEARTBEAT_LEAST: Duration = Duration::from_millis(1);

/// Why the control plane cannot start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// There is no port or descriptor left.
    #[error("control has no port for copy {copy}: {cause}")]
    Port {
        /// The copy's name.
        copy: String,
        /// What the system says.
        cause: io::Error,
    },
}

/// The control plane. Dropping the last handle ends it.
#[derive(Debug)]
pub struct ControlPlane {
    views: Arc<Views>,
    desks: Vec<Arc<Desk>>,
    turns: Vec<Arc<Mutex<Turns>>>,
    signals: tokio::sync::watch::Sender<Signals>,
    tasks: tokio::task::JoinSet<()>,
}

impl ControlPlane {
    /// Starts all replicas with empty lists and one listener for each copy.
    ///
    /// # Errors
    /// No port or descriptor is left.
    pub async fn start(
        scenario: &Scenario,
        topology: &Topology,
        record: Arc<Record>,
    ) -> Result<Arc<Self>, ControlError> {
        let settings = &scenario.control;
        let replicas = settings.replicas.clamp(1, REPLICAS_MOST) as usize;
        let signals = tokio::sync::watch::Sender::new(Signals::new(replicas));
        let turns = |_| Arc::new(Mutex::new(Turns::new(settings.calls_per_s, settings.queue)));
        let mut control = Self {
            views: Arc::new(Views::new(topology.services.len(), settings.history)),
            desks: Vec::new(),
            turns: (0..replicas).map(turns).collect(),
            signals,
            tasks: tokio::task::JoinSet::new(),
        };
        let heartbeat = Duration::try_from_secs_f64(settings.heartbeat_s).unwrap_or(HEARTBEAT_LEAST);
        for (number, copy) in topology.copies.iter().enumerate() {
            let replica = number % replicas;
            let port = Port::open().map_err(|cause| ControlError::Port { copy: copy.name.clone(), cause })?;
            let link = Link {
                replica,
                replica_region: RegionId(replica as u32 % topology.regions.max(1)),
                copy_region: topology.region(copy.zone),
            };
            let desk = Arc::new(Desk {
                port,
                link,
                service: copy.target,
                carrier: copy.carrier,
                counters: Counters::default(),
                told: AtomicU64::default(),
                turns: control.turns[replica].clone(),
                views: control.views.clone(),
                signals: control.signals.clone(),
                heartbeat: heartbeat.max(HEARTBEAT_LEAST),
                record: record.clone(),
            });
            control.tasks.spawn(replica::listen(desk.clone()));
            control.desks.push(desk);
        }
        Ok(Arc::new(control))
    }

    /// Where a copy finds its replica.
    #[must_use]
    pub fn address(&self, copy: CopyId) -> SocketAddr {
        self.desks[copy.0].port.address()
    }

    /// Makes the list of a service just this one, publishes what differs and returns the version.
    pub fn set_list(&self, service: ServiceId, endpoints: Vec<Endpoint>) -> u64 {
        self.views.change(service, |catalog, now| catalog.set_list(endpoints, now))
    }

    /// Takes in or removes one entry and returns the version.
    pub fn change(&self, service: ServiceId, endpoint: Endpoint) -> u64 {
        self.views.change(service, |catalog, now| catalog.change(endpoint, now))
    }

    /// The list of a service as it is.
    #[must_use]
    pub fn list(&self, service: ServiceId) -> Update {
        self.views.look(service, |catalog| catalog.list())
    }

    /// When a version was made; `None` where the history does not hold it any more.
    #[must_use]
    pub fn made_at(&self, service: ServiceId, version: u64) -> Option<Instant> {
        self.views.look(service, |catalog| catalog.made_at(version))
    }

    /// A replica goes down: its connections are reset and its ports refuse. One that does not exist, or is down
    /// already, is passed over.
    pub fn stop_replica(&self, replica: u32) {
        if !self.set_running(replica, false) {
            return;
        }
        for desk in self.desks_of(replica) {
            if let Err(error) = desk.port.shut() {
                tracing::error!(%error, replica, "a port of control cannot be shut");
            }
        }
    }

    /// A replica comes back on the same ports, with all that was published meanwhile and no calls waiting.
    pub async fn start_replica(&self, replica: u32) {
        let Some(turns) = self.turns.get(replica as usize) else { return };
        if self.signals.borrow().replicas[replica as usize].runs {
            return;
        }
        turns.lock().unwrap_or_else(PoisonError::into_inner).clear();
        for desk in self.desks_of(replica) {
            if let Err(error) = desk.port.reopen() {
                tracing::error!(%error, replica, "a port of control cannot be opened again");
            }
        }
        self.set_running(replica, true);
    }

    /// A region loses the others: nothing passes between copies and replicas on different sides, connections stay
    /// open and silent, and replicas of the region learn no changes.
    pub fn cut_region(&self, region: RegionId) {
        self.views.cut(region);
        self.signals.send_if_modified(|signals| signals.cut_off.insert(region));
    }

    /// A region finds the others again: its replicas learn what they missed, and silent watches go on.
    pub fn rejoin_region(&self, region: RegionId) {
        self.views.rejoin(region);
        self.signals.send_if_modified(|signals| signals.cut_off.remove(&region));
    }

    /// Resets all open watches at once; those across a cut break when it ends.
    pub fn break_watches(&self) {
        self.signals.send_modify(|signals| signals.breaks += 1);
    }

    /// The latest version of its list that was written to a copy, or that it came with.
    #[must_use]
    pub fn told(&self, copy: CopyId) -> u64 {
        self.desks[copy.0].told.load(Ordering::Relaxed)
    }

    /// What was carried for a copy so far.
    #[must_use]
    pub fn usage(&self, copy: CopyId) -> ControlUsage {
        self.desks[copy.0].counters.usage()
    }

    /// Notes that a replica runs or not; `false` if it does not exist or that is known.
    fn set_running(&self, replica: u32, runs: bool) -> bool {
        self.signals.send_if_modified(|signals| match signals.replicas.get_mut(replica as usize) {
            Some(state) if state.runs != runs => {
                state.runs = runs;
                state.stops += u64::from(!runs);
                true
            }
            _ => false,
        })
    }

    fn desks_of(&self, replica: u32) -> impl Iterator<Item = &Arc<Desk>> {
        self.desks.iter().filter(move |desk| desk.link.replica == replica as usize)
    }
}
