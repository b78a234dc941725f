//! What the hollow balancers' thread models.

use std::net::{Ipv4Addr, SocketAddr};

use crate::control::ControlPlane;
use crate::process::settings;
use crate::scenario::Scenario;
use crate::topology::{BalancerId, BalancerKind, Topology};

/// Listen address in the configurations of hollow balancers, which do not listen.
const UNUSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 9);

/// What the hollow balancers' thread models: the scenario, fleet and seed of a run.
#[derive(Debug, Clone)]
pub(super) struct Plan {
    /// Scenario that is run.
    pub scenario: Scenario,
    /// Services, balancers and nodes of the fleet.
    pub topology: Topology,
    /// Seed of all random draws for hollow balancers and their nodes.
    pub seed: u64,
}

impl Plan {
    /// Number of hollow balancers, which is also that of hollow nodes: both come first in the topology, with
    /// one balancer on each node.
    pub fn hollow_count(&self) -> usize {
        self.topology.balancers.iter().filter(|balancer| balancer.kind == BalancerKind::Hollow).count()
    }

    /// The text of a balancer's configuration, with the current endpoint list.
    pub fn configuration(&self, balancer: BalancerId, control: &ControlPlane) -> String {
        let list = control.list(self.topology.balancers[balancer.0].target);
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

/// Removes the endpoint list from the text of a configuration: the list is most of the text and out of date
/// by the next start. `None` if the text does not parse.
pub(super) fn without_list(text: &str) -> Option<String> {
    let mut configuration: serde_json::Map<String, serde_json::Value> = serde_json::from_str(text).ok()?;
    configuration.remove("known");
    serde_json::to_string(&configuration).ok()
}
