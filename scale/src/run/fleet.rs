//! Starts and stops the parts of a running fleet: control plane, nodes and balancers.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tempfile::TempDir;
use tokio::sync::Mutex;
use tokio::task::{JoinSet, spawn_blocking};
use tokio::time::sleep;

use super::RunError;
use super::lists::EndpointLists;
use crate::control::ControlPlane;
use crate::hollow::{HollowFleet, HollowSummary};
use crate::node::server::NodeServers;
use crate::process::{BalancerProcess, ProcessError, configuration};
use crate::record::{ControlUsage, Record};
use crate::scenario::Scenario;
use crate::topology::{BalancerId, BalancerKind, NodeId, ServiceId, Topology};

/// Time between two checks whether all balancers are ready.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// A real balancer. Its process is locked while a fault of the scenario kills and restarts it.
#[derive(Debug, Clone)]
pub struct Balancer {
    /// Index of the balancer in the topology.
    pub id: BalancerId,
    /// Address on which the balancer listens.
    pub address: SocketAddr,
    /// Process of the balancer, locked by whoever checks, kills or restarts it.
    pub process: Arc<Mutex<BalancerProcess>>,
}

/// All parts of a running fleet.
pub struct Fleet {
    /// The stand-in control plane, which sends endpoint lists to all balancers.
    pub control: Arc<ControlPlane>,
    /// Stand-in nodes with sockets.
    pub nodes: Arc<NodeServers>,
    /// Real balancers, in the order of the topology.
    pub balancers: Vec<Balancer>,
    /// Hollow balancers (simulated in this process), if there are any.
    pub hollow: Option<HollowFleet>,
    /// Endpoint lists that the control plane serves.
    pub lists: EndpointLists,
    topology: Arc<Topology>,
    /// Holds the balancers' files; deleted when dropped.
    _directory: TempDir,
}

impl Fleet {
    /// Starts all parts. If one of them fails to start, the others are stopped.
    pub async fn start(
        scenario: &Arc<Scenario>,
        topology: &Arc<Topology>,
        record: &Arc<Record>,
        program: &Path,
    ) -> Result<Self, RunError> {
        let directory = TempDir::with_prefix("stilelead-scale-").map_err(RunError::TempDir)?;
        let control = ControlPlane::start(scenario, topology, record.clone()).await?;
        let nodes = NodeServers::start(scenario, topology, record.clone()).await?;
        let padding_entries = scenario.control.padding_entries;
        let address = |node| is_real(topology, node).then(|| nodes.address(node));
        let lists = EndpointLists::publish(&control, record, topology, padding_entries, address);
        let balancers = start_balancers(scenario, topology, &control, program, directory.path()).await?;
        for balancer in &balancers {
            nodes.set_balancer_address(balancer.id, balancer.address);
        }
        let hollow = start_hollow(scenario, topology, &control, record).await?;
        Ok(Self {
            control,
            nodes,
            balancers,
            hollow,
            lists,
            topology: topology.clone(),
            _directory: directory,
        })
    }

    /// Waits until every balancer is ready and has received its list.
    pub async fn wait_until_ready(&self, timeout: Duration) -> Result<(), RunError> {
        let start = Instant::now();
        for balancer in &self.balancers {
            let remaining = timeout.saturating_sub(start.elapsed());
            balancer.process.lock().await.wait_until_ready(remaining).await?;
        }
        let total = self.topology.balancers.len();
        loop {
            let ready = self.ready_balancers();
            if ready >= total {
                return Ok(());
            }
            if start.elapsed() >= timeout {
                return Err(RunError::NotReady { ready, total, within_s: timeout.as_secs_f64() });
            }
            sleep(READY_POLL_INTERVAL).await;
        }
    }

    /// Lower bound of the number of balancers that can serve and have received their list.
    fn ready_balancers(&self) -> usize {
        let with_current_list = self.topology.balancers.len() - self.balancers_with_stale_list();
        let able_to_serve = self.hollow.as_ref().map_or(0, HollowFleet::ready_count) + self.balancers.len();
        with_current_list.min(able_to_serve)
    }

    /// Traffic between the control plane and each balancer so far.
    pub fn control_usage(&self) -> Vec<ControlUsage> {
        (0..self.topology.balancers.len()).map(|number| self.control.usage(BalancerId(number))).collect()
    }

    /// Number of balancers to which the latest version of their list was not sent yet.
    pub fn balancers_with_stale_list(&self) -> usize {
        let versions: Vec<u64> = (0..self.topology.services.len())
            .map(|service| self.control.list(ServiceId(service)).index)
            .collect();
        let balancers = self.topology.balancers.iter().enumerate();
        balancers
            .filter(|(number, balancer)| {
                self.control.delivered_version(BalancerId(*number)) < versions[balancer.target.0]
            })
            .count()
    }

    /// Addresses of the real balancers.
    pub fn balancer_addresses(&self) -> Vec<SocketAddr> {
        self.balancers.iter().map(|balancer| balancer.address).collect()
    }

    /// Addresses of the first real service's nodes, for calls that bypass the balancers.
    pub fn direct_addresses(&self) -> Vec<SocketAddr> {
        let first_real =
            self.topology.services.iter().find(|service| service.balancer_kind == BalancerKind::Real);
        let nodes = first_real.map(|service| service.nodes.as_slice()).unwrap_or_default();
        nodes.iter().map(|node| self.nodes.address(*node)).collect()
    }

    /// Whether a node is a real one with sockets, not a modelled one.
    pub fn is_real(&self, node: NodeId) -> bool {
        is_real(&self.topology, node)
    }

    /// Stops all parts and returns the state of the hollow balancers when they were stopped.
    ///
    /// # Errors
    /// The hollow balancers' threads had ended before.
    pub async fn stop(self) -> Result<Option<HollowSummary>, RunError> {
        for balancer in self.balancers {
            balancer.process.lock().await.kill().await;
        }
        let Some(hollow) = self.hollow else { return Ok(None) };
        Ok(Some(spawn_blocking(move || hollow.stop()).await??))
    }
}

fn is_real(topology: &Topology, node: NodeId) -> bool {
    topology.services[topology.nodes[node.0].service.0].balancer_kind == BalancerKind::Real
}

/// Starts the hollow balancers on a thread that may block, because it takes a while.
async fn start_hollow(
    scenario: &Arc<Scenario>,
    topology: &Arc<Topology>,
    control: &Arc<ControlPlane>,
    record: &Arc<Record>,
) -> Result<Option<HollowFleet>, RunError> {
    if scenario.fleet.hollow == 0 {
        return Ok(None);
    }
    let (scenario, topology) = (scenario.clone(), topology.clone());
    let (control, record) = (control.clone(), record.clone());
    let start = move || HollowFleet::start(&scenario, &topology, &control, record, scenario.seed);
    Ok(Some(spawn_blocking(start).await??))
}

async fn start_balancers(
    scenario: &Arc<Scenario>,
    topology: &Arc<Topology>,
    control: &Arc<ControlPlane>,
    program: &Path,
    directory: &Path,
) -> Result<Vec<Balancer>, RunError> {
    let mut starting = JoinSet::new();
    for (number, balancer) in topology.balancers.iter().enumerate() {
        if balancer.kind == BalancerKind::Real {
            let (scenario, topology, control) = (scenario.clone(), topology.clone(), control.clone());
            let (program, directory) = (program.to_owned(), directory.to_owned());
            let id = BalancerId(number);
            starting.spawn(async move {
                start_balancer(&scenario, &topology, &control, id, &program, &directory).await
            });
        }
    }
    let mut balancers = Vec::new();
    while let Some(started) = starting.join_next().await {
        balancers.push(started??);
    }
    balancers.sort_by_key(|balancer| balancer.id);
    Ok(balancers)
}

async fn start_balancer(
    scenario: &Scenario,
    topology: &Topology,
    control: &ControlPlane,
    id: BalancerId,
    program: &Path,
    directory: &Path,
) -> Result<Balancer, ProcessError> {
    let endpoints = control.list(topology.balancers[id.0].target);
    let discovery = control.address(id);
    let settings_text = |listen| configuration(scenario, topology, id, listen, discovery, &endpoints, None);
    let name = &topology.balancers[id.0].name;
    let process = BalancerProcess::start_on_any_port(program, directory, name, settings_text).await?;
    Ok(Balancer { id, address: process.address(), process: Arc::new(Mutex::new(process)) })
}
