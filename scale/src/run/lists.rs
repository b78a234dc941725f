//! Endpoint lists that the control plane serves: an entry for each node, and padding entries.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{SystemTime, UNIX_EPOCH};

use stilelead::discovery::Endpoint;

use crate::control::ControlPlane;
use crate::plan::NodeStatus;
use crate::record::Record;
use crate::topology::{NodeId, ServiceId, Topology, ZoneId};

/// Machine kind in every list entry; all nodes are on machines of one kind.
const MACHINE_KIND: &str = "std";
const READY: &str = "ready";
const DRAINING: &str = "draining";
const GONE: &str = "gone";
/// First byte of the made-up addresses of modelled nodes, to which nothing connects.
const MODELLED_NODE_FIRST_BYTE: u8 = 10;
/// First byte of the made-up addresses of padding entries, to which nothing connects.
const PADDING_FIRST_BYTE: u8 = 11;
/// Port of the made-up addresses of modelled nodes and padding entries.
const UNUSED_PORT: u16 = 1;

/// Current list entries of all nodes, and the control plane to which changes are published.
pub struct EndpointLists {
    control: Arc<ControlPlane>,
    record: Arc<Record>,
    topology: Arc<Topology>,
    entries: Mutex<Vec<Endpoint>>,
    padding_entries: u32,
}

impl EndpointLists {
    /// Publishes all lists for the first time. `address` returns the address of a node that has sockets.
    pub fn publish(
        control: &Arc<ControlPlane>,
        record: &Arc<Record>,
        topology: &Arc<Topology>,
        padding_entries: u32,
        address: impl Fn(NodeId) -> Option<SocketAddr>,
    ) -> Self {
        let entry = |node| {
            let address = address(node).unwrap_or_else(|| unused_address(MODELLED_NODE_FIRST_BYTE, node.0));
            node_entry(topology, node, address)
        };
        let entries: Vec<Endpoint> = (0..topology.nodes.len()).map(|node| entry(NodeId(node))).collect();
        for (number, service) in topology.services.iter().enumerate() {
            let mut list: Vec<Endpoint> = service.nodes.iter().map(|node| entries[node.0].clone()).collect();
            list.extend(
                (0..padding_entries)
                    .map(|padding_number| padding_entry(topology, ServiceId(number), padding_number, 1.0)),
            );
            control.set_list(ServiceId(number), list);
        }
        Self {
            control: control.clone(),
            record: record.clone(),
            topology: topology.clone(),
            entries: Mutex::new(entries),
            padding_entries,
        }
    }

    /// Publishes a new status of a node.
    pub fn set_status(&self, node: NodeId, status: NodeStatus) {
        self.update_entry(node, |entry| match status {
            NodeStatus::Ready { restarted } => {
                READY.clone_into(&mut entry.status);
                if restarted {
                    entry.since_ms = unix_ms();
                }
            }
            NodeStatus::Draining => DRAINING.clone_into(&mut entry.status),
            NodeStatus::Gone => GONE.clone_into(&mut entry.status),
        });
    }

    /// Publishes a new weight of a node. If the node is gone, the weight is published when the node is back.
    pub fn set_weight(&self, node: NodeId, weight: f64) {
        self.update_entry(node, |entry| entry.weight = weight);
    }

    /// Publishes a new weight of a padding entry.
    pub fn set_padding(&self, service: ServiceId, padding_number: u32, weight: f64) {
        if padding_number < self.padding_entries {
            self.publish_entry(service, padding_entry(&self.topology, service, padding_number, weight));
        }
    }

    fn update_entry(&self, node: NodeId, update: impl FnOnce(&mut Endpoint)) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = &mut entries[node.0];
        let was_gone = entry.status == GONE;
        update(entry);
        if was_gone && entry.status == GONE {
            return;
        }
        let entry = entry.clone();
        drop(entries);
        self.publish_entry(self.topology.nodes[node.0].service, entry);
    }

    fn publish_entry(&self, service: ServiceId, entry: Endpoint) {
        let version_before = self.control.list(service).index;
        if self.control.update_entry(service, entry) != version_before {
            self.record.measured().list_changes += 1;
        }
    }
}

fn node_entry(topology: &Topology, node: NodeId, address: SocketAddr) -> Endpoint {
    let topology_node = &topology.nodes[node.0];
    Endpoint {
        name: topology_node.name.clone(),
        address: address.to_string(),
        zone: topology.zone_name(topology_node.zone),
        kind: MACHINE_KIND.to_owned(),
        group: 0,
        status: READY.to_owned(),
        weight: 1.0,
        since_ms: 0,
    }
}

/// A list entry that only makes the list longer. It gets no calls because its status is draining.
fn padding_entry(topology: &Topology, service: ServiceId, padding_number: u32, weight: f64) -> Endpoint {
    Endpoint {
        name: format!("p-{:03}-{padding_number:05}", service.0),
        address: unused_address(PADDING_FIRST_BYTE, padding_number as usize).to_string(),
        zone: topology.zone_name(ZoneId(padding_number % topology.zones)),
        kind: MACHINE_KIND.to_owned(),
        group: 0,
        status: DRAINING.to_owned(),
        weight,
        since_ms: 0,
    }
}

/// A made-up address on which nothing listens.
fn unused_address(first_byte: u8, number: usize) -> SocketAddr {
    let [_, high, middle, low] = (number as u32).to_be_bytes();
    (Ipv4Addr::new(first_byte, high, middle, low), UNUSED_PORT).into()
}

fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
