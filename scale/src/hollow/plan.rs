//! What the hollow part models.

use std::net::{Ipv4Addr, SocketAddr};

use crate::control::ControlPlane;
use crate::process::settings;
use crate::scenario::Scenario;
use crate::topology::{Carrier, CopyId, Topology};

/// Where hollow copies are told to listen; nobody does.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// The scenario of a run and who stands where in it.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    /// The scenario.
    pub scenario: Scenario,
    /// The fleet.
    pub topology: Topology,
    /// Seed of all chance in the hollow part.
    pub seed: u64,
}

impl Plan {
    /// Hollow copies, and hollow nodes: they come first in the topology, one copy on each node.
    pub fn hollow_count(&self) -> usize {
        self.topology.copies.iter().filter(|balancer| balancer.carrier == Carrier::Hollow).count()
    }

    /// The text of a copy's configuration, with the list as it is now.
    pub fn configuration(&self, balancer: CopyId, control: &ControlPlane) -> String {
        let list = control.list(self.topology.copies[balancer.0].target);
        let address = control.address(balancer);
        settings::configuration(
            &self.scenario,
            &self.topology,
            balancer,
            UNUSED_ADDRESS,
            address,
            &list,
            None,
        )
    }
}

/// The text of a configuration without the list of nodes, which is most of it and old by the next start.
pub(super) fn without_list(text: &str) -> Option<String> {
    let mut configuration: serde_json::Map<String, serde_json::Value> = serde_json::from_str(text).ok()?;
    configuration.remove("known");
    serde_json::to_string(&configuration).ok()
}
