//! All nodes with sockets of a run.

use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Instant;

use thiserror::Error;
use tokio::task::JoinSet;

use super::alarm::Alarm;
use super::model::NodeModel;
use super::onward::{Ids, Onward};
use super::orders::Orders;
use super::socket::{self, Shared, SocketNode};
use crate::port::Port;
use crate::record::Record;
use crate::scenario::Scenario;
use crate::topology::{Carrier, CopyId, Node, NodeId, Topology};

/// Keeps the ids that nodes draw apart from what others draw from the same seed.
const IDS_SEED: u64 = 0x6e6f_6465_2069_6473;
/// Keeps the chance of one node apart from that of the next.
const NODE_SEED: u64 = 0x9e37_79b9_7f4a_7c15;

/// Why the nodes cannot start.
#[derive(Debug, Error)]
pub enum NodeError {
    /// There is no port or descriptor left.
    #[error("node {node} has no port: {cause}")]
    Port {
        /// The node's name.
        node: String,
        /// What the system says.
        cause: io::Error,
    },
    /// There is no thread left.
    #[error("the nodes have no thread for their waits: {0}")]
    Thread(io::Error),
}

/// The nodes with sockets. Dropping the last handle ends them.
#[derive(Debug)]
pub struct NodeServers {
    /// By node; `None` for a modelled one.
    nodes: Vec<Option<Arc<SocketNode>>>,
    /// By copy: the way through it to the next service.
    onward: Vec<Arc<Onward>>,
    /// What takes the connections; dropped with this.
    _listening: JoinSet<()>,
}

impl NodeServers {
    /// Starts the nodes of all real services, warm.
    ///
    /// # Errors
    /// No port, descriptor or thread is left.
    pub async fn start(
        scenario: &Scenario,
        topology: &Topology,
        record: Arc<Record>,
    ) -> Result<Arc<Self>, NodeError> {
        let shared = Arc::new(Shared {
            start: Instant::now(),
            record,
            alarm: Alarm::start().map_err(NodeError::Thread)?,
            orders: Mutex::new(Orders::default()),
            ids: Ids::new(scenario.seed ^ IDS_SEED),
            load_reports: scenario.node.load_reports,
            connections: scenario.node.connections,
        });
        let onward: Vec<Arc<Onward>> = topology.copies.iter().map(|_| Arc::default()).collect();
        let mut listening = JoinSet::new();
        let mut nodes = Vec::new();
        for (number, node) in topology.nodes.iter().enumerate() {
            if topology.services[node.service.0].carrier == Carrier::Hollow {
                nodes.push(None);
                continue;
            }
            let port = open(node)?;
            let seed = scenario.seed.wrapping_add(NODE_SEED.wrapping_mul(number as u64 + 1));
            let model = NodeModel::new(&scenario.node, seed);
            let through = onward[node.calls_through.0].clone();
            let node = Arc::new(SocketNode::new(shared.clone(), port, through, model));
            listening.spawn(socket::listen(node.clone()));
            nodes.push(Some(node));
        }
        Ok(Arc::new(Self { nodes, onward, _listening: listening }))
    }

    /// Where a node listens; port 0, where nothing does, for a modelled one.
    #[must_use]
    pub fn address(&self, node: NodeId) -> SocketAddr {
        self.node(node).map_or((Ipv4Addr::LOCALHOST, 0).into(), |node| node.port.address())
    }

    /// Tells where a balancer listens through which nodes call.
    pub fn set_balancer(&self, copy: CopyId, address: SocketAddr) {
        if let Some(onward) = self.onward.get(copy.0) {
            onward.set_address(address);
        }
    }

    /// Lets a node hang: it takes connections and requests and answers nothing. What came meanwhile is worked on
    /// when it no longer does, unless its caller is gone.
    pub fn silence(&self, node: NodeId, silent: bool) {
        if let Some(node) = self.node(node) {
            node.silence(silent);
        }
    }

    /// The process of a node is gone: its connections are reset and its port refuses.
    pub fn stop(&self, node: NodeId) {
        if let Some(node) = self.node(node) {
            node.stop();
        }
    }

    /// A node starts anew on the same port, cold; one that runs is stopped first.
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

fn open(node: &Node) -> Result<Port, NodeError> {
    Port::open().map_err(|cause| NodeError::Port { node: node.name.clone(), cause })
}
