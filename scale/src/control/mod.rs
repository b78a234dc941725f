//! A simulated control plane: up to three replicas that serve the discovery protocol to the balancers.

mod call_queue;
pub mod catalog;
mod http;
mod regional_lists;
mod replica;
mod state;
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
use crate::topology::{BalancerId, RegionId, ServiceId, Topology};
use call_queue::CallQueue;
use regional_lists::RegionalLists;
use replica::{Counters, ReplicaListener};
use state::{ControlState, Link};

/// Maximum number of control replicas.
const MAX_REPLICAS: u32 = 3;
/// Shortest interval between the heartbeat lines of a watch.
const MIN_HEARTBEAT: Duration = Duration::from_millis(1);

/// Why the control plane cannot start.
#[derive(Debug, Error)]
pub enum ControlError {
    /// The system has no port or descriptor left.
    #[error("cannot open a control port for balancer {balancer}: {cause}")]
    Port {
        /// Name of the balancer whose control port cannot be opened.
        balancer: String,
        /// The operating system's error.
        cause: io::Error,
    },
}

/// The simulated control plane. Dropping the last handle stops it.
#[derive(Debug)]
pub struct ControlPlane {
    lists: Arc<RegionalLists>,
    listeners: Vec<Arc<ReplicaListener>>,
    call_queues: Vec<Arc<Mutex<CallQueue>>>,
    states: tokio::sync::watch::Sender<ControlState>,
    tasks: tokio::task::JoinSet<()>,
}

impl ControlPlane {
    /// Starts all replicas with empty lists, and one listener for each balancer.
    ///
    /// # Errors
    /// The system has no port or descriptor left.
    pub async fn start(
        scenario: &Scenario,
        topology: &Topology,
        record: Arc<Record>,
    ) -> Result<Arc<Self>, ControlError> {
        let settings = &scenario.control;
        let replicas = settings.replicas.clamp(1, MAX_REPLICAS) as usize;
        let states = tokio::sync::watch::Sender::new(ControlState::new(replicas));
        let new_call_queue = |_| Arc::new(Mutex::new(CallQueue::new(settings.calls_per_s, settings.queue)));
        let mut control = Self {
            lists: Arc::new(RegionalLists::new(topology.services.len(), settings.history)),
            listeners: Vec::new(),
            call_queues: (0..replicas).map(new_call_queue).collect(),
            states,
            tasks: tokio::task::JoinSet::new(),
        };
        let heartbeat = Duration::try_from_secs_f64(settings.heartbeat_s).unwrap_or(MIN_HEARTBEAT);
        for (number, balancer) in topology.balancers.iter().enumerate() {
            let replica = number % replicas;
            let port = Port::open()
                .map_err(|cause| ControlError::Port { balancer: balancer.name.clone(), cause })?;
            let link = Link {
                replica,
                replica_region: RegionId(replica as u32 % topology.regions.max(1)),
                balancer_region: topology.region(balancer.zone),
            };
            let listener = Arc::new(ReplicaListener {
                port,
                link,
                service: balancer.target,
                balancer_kind: balancer.kind,
                counters: Counters::default(),
                delivered_version: AtomicU64::default(),
                call_queue: control.call_queues[replica].clone(),
                lists: control.lists.clone(),
                states: control.states.clone(),
                heartbeat: heartbeat.max(MIN_HEARTBEAT),
                record: record.clone(),
            });
            control.tasks.spawn(replica::listen(listener.clone()));
            control.listeners.push(listener);
        }
        Ok(Arc::new(control))
    }

    /// The address at which a balancer reaches its control replica.
    #[must_use]
    pub fn address(&self, balancer: BalancerId) -> SocketAddr {
        self.listeners[balancer.0].port.address()
    }

    /// Replaces the list of a service, publishes the differences and returns the version.
    pub fn set_list(&self, service: ServiceId, endpoints: Vec<Endpoint>) -> u64 {
        self.lists.update(service, |catalog, now| catalog.set_list(endpoints, now))
    }

    /// Adds, updates or removes one entry and returns the version.
    pub fn update_entry(&self, service: ServiceId, endpoint: Endpoint) -> u64 {
        self.lists.update(service, |catalog, now| catalog.update_entry(endpoint, now))
    }

    /// The current list of a service.
    #[must_use]
    pub fn list(&self, service: ServiceId) -> Update {
        self.lists.read(service, |catalog| catalog.list())
    }

    /// When a version was published; `None` if the history does not hold it any more.
    #[must_use]
    pub fn published_at(&self, service: ServiceId, version: u64) -> Option<Instant> {
        self.lists.read(service, |catalog| catalog.published_at(version))
    }

    /// Stops a replica: its connections are reset and its ports refuse new ones. Does nothing if the replica
    /// does not exist or is already stopped.
    pub fn stop_replica(&self, replica: u32) {
        if !self.set_running(replica, false) {
            return;
        }
        for listener in self.listeners_of(replica) {
            if let Err(error) = listener.port.close() {
                tracing::error!(%error, replica, "cannot close a port of a control replica");
            }
        }
    }

    /// Restarts a replica on the same ports, with everything published meanwhile and no waiting calls.
    pub async fn start_replica(&self, replica: u32) {
        let Some(call_queue) = self.call_queues.get(replica as usize) else { return };
        if self.states.borrow().replicas[replica as usize].runs {
            return;
        }
        call_queue.lock().unwrap_or_else(PoisonError::into_inner).clear();
        for listener in self.listeners_of(replica) {
            if let Err(error) = listener.port.reopen() {
                tracing::error!(%error, replica, "cannot reopen a port of a control replica");
            }
        }
        self.set_running(replica, true);
    }

    /// Cuts a region off from all others: no bytes pass between balancers and replicas on different sides,
    /// connections stay open and silent, and the replicas of the region receive no list changes.
    pub fn cut_region(&self, region: RegionId) {
        self.lists.cut_off(region);
        self.states.send_if_modified(|state| state.cut_off.insert(region));
    }

    /// Ends the cut of a region: its replicas receive the changes they missed, and silent watches resume.
    pub fn rejoin_region(&self, region: RegionId) {
        self.lists.rejoin(region);
        self.states.send_if_modified(|state| state.cut_off.remove(&region));
    }

    /// Resets all open watches at once; a watch across a cut is reset when the cut ends.
    pub fn break_watches(&self) {
        self.states.send_modify(|state| state.watch_resets += 1);
    }

    /// The latest version of its list that a balancer has: written to it, or the one from which its watch
    /// resumed.
    #[must_use]
    pub fn delivered_version(&self, balancer: BalancerId) -> u64 {
        self.listeners[balancer.0].delivered_version.load(Ordering::Relaxed)
    }

    /// The control traffic of a balancer so far.
    #[must_use]
    pub fn usage(&self, balancer: BalancerId) -> ControlUsage {
        self.listeners[balancer.0].counters.usage()
    }

    /// Marks a replica as running or stopped; `false` if it does not exist or is already in that state.
    fn set_running(&self, replica: u32, runs: bool) -> bool {
        self.states.send_if_modified(|state| match state.replicas.get_mut(replica as usize) {
            Some(replica_state) if replica_state.runs != runs => {
                replica_state.runs = runs;
                replica_state.stops += u64::from(!runs);
                true
            }
            _ => false,
        })
    }

    fn listeners_of(&self, replica: u32) -> impl Iterator<Item = &Arc<ReplicaListener>> {
        self.listeners.iter().filter(move |listener| listener.link.replica == replica as usize)
    }
}
