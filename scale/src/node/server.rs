//! All nodes of a run that have sockets.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use thiserror::Error;
use tokio::task::JoinSet;

use super::balancer_client::{BalancerClient, RequestIds};
use super::model::NodeModel;
use super::order_history::OrderHistory;
use super::precise_timer::PreciseTimer;
use super::socket::{self, Shared, SocketNode};
use crate::port::Port;
use crate::record::Record;
use crate::scenario::Scenario;
use crate::topology::{BalancerId, BalancerKind, Node, NodeId, Topology};

/// Separates the request ids of the nodes from other draws from the same seed.
const REQUEST_IDS_SEED: u64 = 0x6e6f_6465_2069_6473;
/// Separates the random draws of one node from those of the next.
const NODE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why the nodes cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// The system has no port or descriptor left.
    #[error("cannot open a port for node {node}: {cause}")]
    Port {
        /// Name of the node whose port cannot be opened.
        node: String,
        /// The operating system's error.
        cause: io::Error,
    },
    /// The system has no thread left for the timer.
    #[error("cannot start the timer thread of the nodes: {0}")]
    Thread(io::Error),
}

/// The nodes with sockets. Dropping the last handle stops them.
#[derive(Debug)]
pub struct NodeServers {
    /// Indexed by node; `None` for a node that is only modelled, without sockets.
    nodes: Vec<Option<Arc<SocketNode>>>,
    /// Indexed by balancer: the client with which nodes call the next service through it.
    balancers: Vec<Arc<BalancerClient>>,
    /// The accept loops; dropped together with this.
    _listening: JoinSet<()>,
}

impl NodeServers {
    /// Starts the nodes of all services with real balancers, warm.
    ///
    /// # Errors
    /// The system has no port, descriptor or thread left.
    pub async fn start(
        scenario: &Scenario,
        topology: &Topology,
        record: Arc<Record>,
    ) -> Result<Arc<Self>, NodeError> {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            record,
            timer: PreciseTimer::start().map_err(NodeError::Thread)?,
            order_history: Mutex::new(OrderHistory::default()),
            request_ids: RequestIds::new(scenario.seed ^ REQUEST_IDS_SEED),
            load_reports: scenario.node.load_reports,
            max_connections: scenario.node.connections,
        });
        let balancers: Vec<Arc<BalancerClient>> = topology.balancers.iter().map(|_| Arc::default()).collect();
        let mut listening = JoinSet::new();
        let mut nodes = Vec::new();
        for (number, node) in topology.nodes.iter().enumerate() {
            if topology.services[node.service.0].balancer_kind == BalancerKind::Hollow {
                nodes.push(None);
                continue;
            }
            let port = open_port(node)?;
            let seed = scenario.seed.wrapping_add(NODE_SEED.wrapping_mul(number as u64 + 1));
            let model = NodeModel::new(&scenario.node, seed);
            let next_balancer = balancers[node.outbound_balancer.0].clone();
            let node = Arc::new(SocketNode::new(shared.clone(), port, next_balancer, model));
            listening.spawn(socket::listen(node.clone()));
            nodes.push(Some(node));
        }
        Ok(Arc::new(Self { nodes, balancers, _listening: listening }))
    }

    /// The address of a node; port 0, where nothing listens, for a node without sockets.
    #[must_use]
    pub fn address(&self, node: NodeId) -> SocketAddr {
        self.node(node).map_or((Ipv4Addr::LOCALHOST, 0).into(), |node| node.port.address())
    }

    /// Sets the address of a balancer through which nodes call the next service.
    pub fn set_balancer_address(&self, balancer: BalancerId, address: SocketAddr) {
        if let Some(client) = self.balancers.get(balancer.0) {
            client.set_address(address);
        }
    }

    /// Makes a node hang or resume. A hanging node accepts connections and requests but answers nothing. It
    /// works on the requests it received meanwhile once it resumes, unless their callers are gone.
    pub fn set_silent(&self, node: NodeId, silent: bool) {
        if let Some(node) = self.node(node) {
            node.set_silent(silent);
        }
    }

    /// Stops the process of a node: its connections are reset and its port refuses new ones.
    pub fn stop(&self, node: NodeId) {
        if let Some(node) = self.node(node) {
            node.stop();
        }
    }

    /// Starts a node again on the same port, cold; a running one is stopped first.
    pub async fn restart(&self, node: NodeId) {
        if let Some(node) = self.node(node) {
            node.restart();
        }
    }

    /// The node, if it has sockets.
    fn node(&self, node: NodeId) -> Option<&SocketNode> {
        self.nodes.get(node.0)?.as_deref()
    }
}

fn open_port(node: &Node) -> Result<Port, NodeError> {
    Port::open().map_err(|cause| NodeError::Port { node: node.name.clone(), cause })
}
