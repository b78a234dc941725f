//! The steps of each fault, drawn from the seed.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, index};
use rand_chacha::ChaCha8Rng;

use crate::plan::{Action, NodeStatus, Step, seconds};
use crate::report::FaultSpan;
use crate::scenario::{Fault, FaultKind};
use crate::topology::{Carrier, CopyId, NodeId, RegionId, Topology, ZoneId};

/// Control learns that a node fell silent after a time between these, in seconds.
const NOTICED_S: std::ops::Range<f64> = 1.0..4.0;
/// A rack is a part of a zone.
const RACKS_OF_ZONE: usize = 10;
/// From the start of a restart: the node is gone, stops, starts, and is ready.
const GONE_AFTER: Duration = Duration::from_millis(1000);
const STOPS_AFTER: Duration = Duration::from_millis(1200);
const STARTS_AFTER: Duration = Duration::from_millis(2000);
const READY_AFTER: Duration = Duration::from_millis(2200);
/// Seconds from one restart to the next of those that follow one another.
pub const RESTART_S: f64 = 2.4;
/// From when a silent node is back to when control lists it.
const LISTED_AFTER: Duration = Duration::from_millis(200);
/// Nodes of which `count` says how many are met by a release.
const HUNDRED: usize = 100;

impl Fault {
    /// When it has ended, in seconds from the start of the load.
    #[must_use]
    pub fn ends_s(&self) -> f64 {
        match self.kind {
            FaultKind::Restart => self.at_s + f64::from(self.count) * RESTART_S,
            FaultKind::WatchesBroken | FaultKind::BalancerKilled => self.at_s,
            _ => self.at_s + self.for_s,
        }
    }
}

/// When a fault begins and ends.
#[must_use]
pub fn span(fault: &Fault) -> FaultSpan {
    FaultSpan { kind: fault.kind, at_s: fault.at_s, ends_s: fault.ends_s() }
}

/// The steps of a fault.
pub fn steps(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    match fault.kind {
        FaultKind::MachineLost => lost(fault, &some_nodes(fault, topology, random), random),
        FaultKind::RackLost => lost(fault, &rack(fault, topology, random), random),
        FaultKind::ZoneLost => lost(fault, &zone(fault, topology), random),
        FaultKind::Restart => restarts(fault, &some_nodes(fault, topology, random)),
        FaultKind::Release => release(fault, topology, random),
        FaultKind::RegionCut => cut(fault, topology),
        FaultKind::ControlLost => control_lost(fault),
        FaultKind::WatchesBroken => vec![Step { at: seconds(fault.at_s), action: Action::BreakWatches }],
        FaultKind::BalancerKilled => killed(fault, topology, random),
    }
}

fn some_nodes(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<NodeId> {
    let count = topology.nodes.len();
    index::sample(random, count, count.min(fault.count as usize)).into_iter().map(NodeId).collect()
}

fn zone(fault: &Fault, topology: &Topology) -> Vec<NodeId> {
    let in_zone = |node: &NodeId| topology.nodes[node.0].zone == ZoneId(fault.place);
    (0..topology.nodes.len()).map(NodeId).filter(in_zone).collect()
}

fn rack(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<NodeId> {
    let zone = zone(fault, topology);
    let size = zone.len().div_ceil(RACKS_OF_ZONE);
    zone.choose_multiple(random, size).copied().collect()
}

/// The nodes fall silent, control notices late, and at the end they are back as after a restart.
fn lost(fault: &Fault, nodes: &[NodeId], random: &mut ChaCha8Rng) -> Vec<Step> {
    let start = seconds(fault.at_s);
    let end = seconds(fault.ends_s());
    let mut steps = Vec::new();
    for node in nodes {
        let noticed = start + seconds(random.random_range(NOTICED_S));
        steps.push(Step { at: start, action: Action::Silence(*node, true) });
        if end == start {
            steps.push(Step { at: noticed, action: Action::Publish(*node, NodeStatus::Gone) });
            continue;
        }
        steps.push(Step { at: noticed.min(end), action: Action::Publish(*node, NodeStatus::Gone) });
        steps.push(Step { at: end, action: Action::Restart(*node) });
        steps.push(Step { at: end, action: Action::Silence(*node, false) });
        let ready = Action::Publish(*node, NodeStatus::Ready { restarted: true });
        steps.push(Step { at: end + LISTED_AFTER, action: ready });
    }
    steps
}

/// The nodes restart one after another.
fn restarts(fault: &Fault, nodes: &[NodeId]) -> Vec<Step> {
    let starts = (0..).map(|number| seconds(fault.at_s + f64::from(number) * RESTART_S));
    nodes.iter().zip(starts).flat_map(|(node, start)| restart(*node, start)).collect()
}

fn restart(node: NodeId, start: Duration) -> [Step; 5] {
    [
        (Duration::ZERO, Action::Publish(node, NodeStatus::Draining)),
        (GONE_AFTER, Action::Publish(node, NodeStatus::Gone)),
        (STOPS_AFTER, Action::Stop(node)),
        (STARTS_AFTER, Action::Restart(node)),
        (READY_AFTER, Action::Publish(node, NodeStatus::Ready { restarted: true })),
    ]
    .map(|(after, action)| Step { at: start + after, action })
}

/// Part of each service's nodes restart, spread over the time of the fault.
fn release(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    let spread_s = (fault.for_s - RESTART_S).max(0.0);
    let mut steps = Vec::new();
    for service in &topology.services {
        let count = (service.nodes.len() * fault.count as usize).div_ceil(HUNDRED);
        let nodes: Vec<NodeId> = service.nodes.choose_multiple(random, count).copied().collect();
        for (number, node) in nodes.iter().enumerate() {
            let start_s = fault.at_s + spread_s * number as f64 / count as f64;
            steps.extend(restart(*node, seconds(start_s)));
        }
    }
    steps
}

/// A region loses the others: control's side of it, the hollow copies', and the nodes that real balancers of
/// another region send to.
fn cut(fault: &Fault, topology: &Topology) -> Vec<Step> {
    let region = RegionId(fault.place);
    let beyond = beyond(region, topology);
    let side = |at_s: f64, silent: bool, action: Action| {
        let at = seconds(at_s);
        let silence = move |node: &NodeId| Step { at, action: Action::Silence(*node, silent) };
        let mut steps = vec![Step { at, action }];
        steps.extend(beyond.iter().map(silence));
        steps
    };
    let mut steps = side(fault.at_s, true, Action::CutRegion(region));
    steps.extend(side(fault.ends_s(), false, Action::RejoinRegion(region)));
    steps
}

/// Nodes with sockets that stand on the other side of a cut than the one balancer that sends to them.
fn beyond(region: RegionId, topology: &Topology) -> Vec<NodeId> {
    let inside = |zone| topology.region(zone) == region;
    let mut nodes = Vec::new();
    for service in topology.services.iter().filter(|service| service.carrier == Carrier::Real) {
        for copy in &service.copies {
            let side = inside(topology.copies[copy.0].zone);
            nodes.extend(service.nodes.iter().filter(|node| inside(topology.nodes[node.0].zone) != side));
        }
    }
    nodes
}

fn control_lost(fault: &Fault) -> Vec<Step> {
    let replicas = fault.place..fault.place.saturating_add(fault.count);
    let steps = replicas.flat_map(|replica| {
        [
            Step { at: seconds(fault.at_s), action: Action::StopReplica(replica) },
            Step { at: seconds(fault.ends_s()), action: Action::StartReplica(replica) },
        ]
    });
    steps.collect()
}

fn killed(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    let is_real = |copy: &CopyId| topology.copies[copy.0].carrier == Carrier::Real;
    let real: Vec<CopyId> = (0..topology.copies.len()).map(CopyId).filter(is_real).collect();
    let killed = real.choose_multiple(random, fault.count as usize);
    killed.map(|copy| Step { at: seconds(fault.at_s), action: Action::KillBalancer(*copy) }).collect()
}
