//! Who stands where: services, nodes and copies of a scenario, the same for each run of one seed.

use crate::scenario::Fleet;

/// Position of a service in [`Topology::services`]: the hollow ones first, then one for each real balancer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServiceId(pub usize);

/// Position of a node in [`Topology::nodes`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct NodeId(pub usize);

/// Position of a balancer copy in [`Topology::copies`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct CopyId(pub usize);

/// Number of a zone over all regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ZoneId(pub u32);

/// Number of a region.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RegionId(pub u32);

/// How a part of the fleet is carried.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Carrier {
    /// On sockets: a stand-in node, or a process of the release binary.
    Real,
    /// In memory: a modelled node, or a hollow copy.
    Hollow,
}

/// A service: nodes that do the same.
#[derive(Debug, Clone)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// How its nodes are carried.
    pub carrier: Carrier,
    /// The service that its nodes call.
    pub next: ServiceId,
    /// Its nodes.
    pub nodes: Vec<NodeId>,
    /// The copies that send to it.
    pub copies: Vec<CopyId>,
}

/// A node.
#[derive(Debug, Clone)]
pub struct Node {
    /// Its name, as control lists it.
    pub name: String,
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// The copy through which it calls the next service; nodes behind one real balancer share one.
    pub calls_through: CopyId,
}

/// A balancer copy.
#[derive(Debug, Clone)]
pub struct Copy {
    /// Its name.
    pub name: String,
    /// How it is carried.
    pub carrier: Carrier,
    /// The service that it sends to.
    pub target: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its number among the copies that send to the service.
    pub index: u32,
}

/// The whole fleet.
#[derive(Debug, Clone)]
pub struct Topology {
    /// The services.
    pub services: Vec<Service>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The copies.
    pub copies: Vec<Copy>,
    /// Zones in all.
    pub zones: u32,
    /// Regions.
    pub regions: u32,
}

impl Topology {
    /// Lays out the fleet. Hollow node `i` belongs to service `i` modulo the services and holds hollow copy `i`; real
    /// balancer `k` stands before real service `k`, whose nodes call through real balancer `k + 1` (the last one's
    /// through the first). Zones take turns, so that each service is spread over them.
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

    /// The name of a zone, as control and settings have it.
    #[must_use]
    pub fn zone_name(&self, zone: ZoneId) -> String {
        format!("region-{}-zone-{}", self.region(zone).0, zone.0)
    }

    /// The region of a zone.
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
