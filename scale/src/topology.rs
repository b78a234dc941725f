//! Layout of the modelled fleet: services, nodes and balancers of a scenario and their zones and regions.

use std::fmt;

use crate::scenario::Fleet;

/// Index of a service in [`Topology::services`]: hollow services first, then one for each real balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub usize);

/// Index of a node in [`Topology::nodes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// Index of a balancer instance in [`Topology::balancers`].
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BalancerId(pub usize);

/// Log events show a balancer's index as `CopyId(0)`, not under the name of the type.
impl fmt::Debug for BalancerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_tuple("CopyId").field(&self.0).finish()
    }
}

/// Number of a zone, unique over all regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Number of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionId(pub u32);

/// Whether a balancer, and the nodes to which it sends, run on real sockets or are modelled in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BalancerKind {
    /// On sockets: a stand-in node, or a balancer process.
    Real,
    /// In memory: a modelled node, or a hollow balancer.
    Hollow,
}

/// A service: a group of interchangeable nodes.
#[derive(Debug, Clone)]
pub struct Service {
    /// Unique name.
    pub name: String,
    /// Kind of the balancers that send to it: nodes behind real ones have sockets, the others are modelled.
    pub balancer_kind: BalancerKind,
    /// Service that its nodes call for requests with more hops.
    pub next_service: ServiceId,
    /// Nodes of the service, any of which can serve its requests.
    pub nodes: Vec<NodeId>,
    /// Balancers that send requests to it.
    pub balancers: Vec<BalancerId>,
}

/// A node that serves requests.
#[derive(Debug, Clone)]
pub struct Node {
    /// Name in the control plane's list.
    pub name: String,
    /// Service that the node belongs to.
    pub service: ServiceId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Balancer through which it calls the next service; nodes behind one real balancer share one.
    pub outbound_balancer: BalancerId,
}

/// A balancer instance of the modelled fleet.
#[derive(Debug, Clone)]
pub struct BalancerSpec {
    /// Unique name.
    pub name: String,
    /// Whether it is a real process or a hollow balancer.
    pub kind: BalancerKind,
    /// Service to which it sends requests.
    pub target: ServiceId,
    /// Zone in which it runs.
    pub zone: ZoneId,
    /// Its number among the balancers that send to the same service.
    pub index: u32,
}

/// Layout of the whole fleet.
#[derive(Debug, Clone)]
pub struct Topology {
    /// All services, indexed by [`ServiceId`].
    pub services: Vec<Service>,
    /// All nodes, indexed by [`NodeId`].
    pub nodes: Vec<Node>,
    /// All balancers, indexed by [`BalancerId`].
    pub balancers: Vec<BalancerSpec>,
    /// Number of zones over all regions.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}

impl Topology {
    /// Lays out the fleet. Hollow node `i` belongs to service `i` modulo the number of services and runs
    /// hollow balancer `i`. Real balancer `k` sends to real service `k`, whose nodes call through real
    /// balancer `k + 1` (those of the last service through the first balancer). Zones are assigned in turn,
    /// so that each service is spread over them.
    #[must_use]
    pub fn of(fleet: &Fleet) -> Self {
        let mut topology = Self {
            services: Vec::new(),
            nodes: Vec::new(),
            balancers: Vec::new(),
            zones: fleet.zones.max(1),
            regions: fleet.regions.max(1),
        };
        topology.add_hollow_services(fleet.services as usize, fleet.hollow as usize);
        topology.add_real_services(fleet.real as usize, fleet.nodes_per_real as usize);
        topology
    }

    /// Name of a zone in the control plane's lists and in settings.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneId) -> String {
        format!("region-{}-zone-{}", self.region(zone).0, zone.0)
    }

    /// Region of a zone.
    #[must_use]
    pub fn region(&self, zone: ZoneId) -> RegionId {
        RegionId(zone.0 % self.regions)
    }

    fn add_hollow_services(&mut self, services: usize, hollow: usize) {
        if hollow == 0 {
            return;
        }
        for number in 0..services {
            self.services.push(Service {
                name: format!("service-{number}"),
                balancer_kind: BalancerKind::Hollow,
                next_service: ServiceId((number + 1) % services),
                nodes: Vec::new(),
                balancers: Vec::new(),
            });
        }
        for number in 0..hollow {
            let service = ServiceId(number % services);
            let target = self.services[service.0].next_service;
            let zone = ZoneId((number / services) as u32 % self.zones);
            let node = NodeId(self.nodes.len());
            let balancer = self.add_balancer(format!("hollow-{number}"), BalancerKind::Hollow, target, zone);
            self.services[service.0].nodes.push(node);
            self.nodes.push(Node {
                name: format!("n-{number:05}"),
                service,
                zone,
                outbound_balancer: balancer,
            });
        }
    }

    fn add_real_services(&mut self, real: usize, nodes_per_real: usize) {
        let first_service = self.services.len();
        let first_balancer = self.balancers.len();
        for number in 0..real {
            self.services.push(Service {
                name: format!("real-{number}"),
                balancer_kind: BalancerKind::Real,
                next_service: ServiceId(first_service + (number + 1) % real),
                nodes: Vec::new(),
                balancers: Vec::new(),
            });
        }
        for number in 0..real {
            let zone = ZoneId(number as u32 % self.zones);
            let service = ServiceId(first_service + number);
            self.add_balancer(format!("real-{number}"), BalancerKind::Real, service, zone);
            for node_number in 0..nodes_per_real {
                let node = NodeId(self.nodes.len());
                self.services[service.0].nodes.push(node);
                self.nodes.push(Node {
                    name: format!("s-{number:03}-{node_number:03}"),
                    service,
                    zone: ZoneId(node_number as u32 % self.zones),
                    outbound_balancer: BalancerId(first_balancer + (number + 1) % real),
                });
            }
        }
    }

    fn add_balancer(
        &mut self,
        name: String,
        kind: BalancerKind,
        target: ServiceId,
        zone: ZoneId,
    ) -> BalancerId {
        let id = BalancerId(self.balancers.len());
        let index = self.services[target.0].balancers.len() as u32;
        self.services[target.0].balancers.push(id);
        self.balancers.push(BalancerSpec { name, kind, target, zone, index });
        id
    }
}
