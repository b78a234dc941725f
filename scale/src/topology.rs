//! Layout of the modelled fleet: services, nodes and balancers of a scenario and their zones and regions.

use crate::scenario::Fleet;

/// Index of a service in [`Topology::services`]: hollow services first, then one for each real balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub usize);

/// Index of a node in [`Topology::nodes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// Index of a balancer instance in [`Topology::copies`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CopyId(pub usize);

/// Number of a zone, unique over all regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Number of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionId(pub u32);

/// Whether a node or balancer runs on real sockets or is modelled in memory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Carrier {
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
    /// Whether its nodes have sockets or are modelled.
    pub carrier: Carrier,
    /// Service that its nodes call for requests with more hops.
    pub next: ServiceId,
    /// Nodes of the service.
    pub nodes: Vec<NodeId>,
    /// Balancers that send requests to it.
    pub copies: Vec<CopyId>,
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
    pub calls_through: CopyId,
}

/// A balancer instance.
#[derive(Debug, Clone)]
pub struct Copy {
    /// Unique name.
    pub name: String,
    /// Whether it is a real process or a hollow balancer.
    pub carrier: Carrier,
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
    /// All balancers, indexed by [`CopyId`].
    pub copies: Vec<Copy>,
    /// Number of zones over all regions.
    pub zones: u32,
    /// Number of regions.
    pub regions: u32,
}

impl Topology {
    /// Lays out the fleet. Hollow node `i` belongs to service `i` modulo the number of services and runs hollow balancer
    /// `i`. Real balancer `k` sends to real service `k`, whose nodes call through real balancer `k + 1` (those of the last
    /// service through the first balancer). Zones are assigned in turn, so that each service is spread over them.
    #[must_use]
    pub fn of(fleet: &Fleet) -> Self {
        let mut topology = Self {
            services: Vec::new(),
            nodes: Vec::new(),
            copies: Vec::new(),
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
                carrier: Carrier::Hollow,
                next: ServiceId((number + 1) % services),
                nodes: Vec::new(),
                copies: Vec::new(),
            });
        }
        for number in 0..hollow {
            let service = ServiceId(number % services);
            let target = self.services[service.0].next;
            let zone = ZoneId((number / services) as u32 % self.zones);
            let node = NodeId(self.nodes.len());
            let copy = self.add_copy(format!("hollow-{number}"), Carrier::Hollow, target, zone);
            self.services[service.0].nodes.push(node);
            self.nodes.push(Node { name: format!("n-{number:05}"), service, zone, calls_through: copy });
        }
    }

    fn add_real_services(&mut self, real: usize, nodes_per_real: usize) {
        let first_service = self.services.len();
        let first_copy = self.copies.len();
        for number in 0..real {
            self.services.push(Service {
                name: format!("real-{number}"),
                carrier: Carrier::Real,
                next: ServiceId(first_service + (number + 1) % real),
                nodes: Vec::new(),
                copies: Vec::new(),
            });
        }
        for number in 0..real {
            let zone = ZoneId(number as u32 % self.zones);
            let service = ServiceId(first_service + number);
            self.add_copy(format!("real-{number}"), Carrier::Real, service, zone);
            for node_number in 0..nodes_per_real {
                let node = NodeId(self.nodes.len());
                self.services[service.0].nodes.push(node);
                self.nodes.push(Node {
                    name: format!("s-{number:03}-{node_number:03}"),
                    service,
                    zone: ZoneId(node_number as u32 % self.zones),
                    calls_through: CopyId(first_copy + (number + 1) % real),
                });
            }
        }
    }

    fn add_copy(&mut self, name: String, carrier: Carrier, target: ServiceId, zone: ZoneId) -> CopyId {
        let id = CopyId(self.copies.len());
        let index = self.services[target.0].copies.len() as u32;
        self.services[target.0].copies.push(id);
        self.copies.push(Copy { name, carrier, target, zone, index });
        id
    }
}
