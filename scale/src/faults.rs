//! Turns each fault of a scenario into timed steps, drawn from the seed.

use std::time::Duration;

use rand::Rng;
use rand::seq::{IndexedRandom, index};
use rand_chacha::ChaCha8Rng;

use crate::plan::{Action, NodeStatus, Step, duration_from_seconds};
use crate::report::FaultPeriod;
use crate::scenario::{Fault, FaultKind};
use crate::topology::{BalancerId, BalancerKind, NodeId, RegionId, Topology, ZoneId};

/// Range of the delay after which the control plane detects a silent node, in seconds.
const DETECTION_DELAY_S: std::ops::Range<f64> = 1.0..4.0;
/// A rack holds this fraction of a zone's nodes: one in ten.
const RACKS_PER_ZONE: usize = 10;
/// Time from the start of a restart, when the node is listed as draining, until the control plane lists it as
/// gone.
const GONE_DELAY: Duration = Duration::from_millis(1000);
/// Time from the start of a restart until the process of the node stops.
const STOP_DELAY: Duration = Duration::from_millis(1200);
/// Time from the start of a restart until the process of the node runs again.
const START_DELAY: Duration = Duration::from_millis(2000);
/// Time from the start of a restart until the control plane lists the node as ready.
const READY_DELAY: Duration = Duration::from_millis(2200);
/// Interval between the restarts of nodes that restart one after another, in seconds.
pub const RESTART_INTERVAL_S: f64 = 2.4;
/// Delay from when a lost node is back until the control plane lists it again.
const RELISTED_DELAY: Duration = Duration::from_millis(200);
/// Divisor of the `count` of a release, which is a percentage of each service's nodes.
const PERCENT: usize = 100;

impl Fault {
    /// When the fault is over, in seconds from the start of the load.
    #[must_use]
    pub fn ends_s(&self) -> f64 {
        match self.kind {
            FaultKind::Restart => self.at_s + f64::from(self.count) * RESTART_INTERVAL_S,
            FaultKind::WatchesBroken | FaultKind::BalancerKilled => self.at_s,
            _ => self.at_s + self.for_s,
        }
    }
}

/// When a fault starts and ends.
#[must_use]
pub fn fault_period(fault: &Fault) -> FaultPeriod {
    FaultPeriod { kind: fault.kind, at_s: fault.at_s, ends_s: fault.ends_s() }
}

/// The timed steps that cause a fault and end it. `random` draws the affected nodes and balancers, and
/// the delay after which the control plane detects a lost node.
pub fn steps(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    match fault.kind {
        FaultKind::MachineLost => nodes_lost(fault, &random_nodes(fault, topology, random), random),
        FaultKind::RackLost => nodes_lost(fault, &rack_nodes(fault, topology, random), random),
        FaultKind::ZoneLost => nodes_lost(fault, &zone_nodes(fault, topology), random),
        FaultKind::Restart => restarts(fault, &random_nodes(fault, topology, random)),
        FaultKind::Release => release(fault, topology, random),
        FaultKind::RegionCut => region_cut(fault, topology),
        FaultKind::ControlLost => control_lost(fault),
        FaultKind::WatchesBroken => {
            vec![Step { offset: duration_from_seconds(fault.at_s), action: Action::BreakWatches }]
        }
        FaultKind::BalancerKilled => balancers_killed(fault, topology, random),
    }
}

fn random_nodes(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<NodeId> {
    let count = topology.nodes.len();
    index::sample(random, count, count.min(fault.count as usize)).into_iter().map(NodeId).collect()
}

fn zone_nodes(fault: &Fault, topology: &Topology) -> Vec<NodeId> {
    let in_zone = |node: &NodeId| topology.nodes[node.0].zone == ZoneId(fault.place);
    (0..topology.nodes.len()).map(NodeId).filter(in_zone).collect()
}

fn rack_nodes(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<NodeId> {
    let zone = zone_nodes(fault, topology);
    let size = zone.len().div_ceil(RACKS_PER_ZONE);
    zone.choose_multiple(random, size).copied().collect()
}

/// The steps of a loss of nodes: they stop answering, the control plane detects it after a delay, and at the
/// end they come back as after a restart.
fn nodes_lost(fault: &Fault, nodes: &[NodeId], random: &mut ChaCha8Rng) -> Vec<Step> {
    let start = duration_from_seconds(fault.at_s);
    let end = duration_from_seconds(fault.ends_s());
    let mut steps = Vec::new();
    for node in nodes {
        let detected_at = start + duration_from_seconds(random.random_range(DETECTION_DELAY_S));
        steps.push(Step { offset: start, action: Action::Silence(*node, true) });
        if end == start {
            steps.push(Step { offset: detected_at, action: Action::Publish(*node, NodeStatus::Gone) });
            continue;
        }
        steps.push(Step { offset: detected_at.min(end), action: Action::Publish(*node, NodeStatus::Gone) });
        steps.push(Step { offset: end, action: Action::Restart(*node) });
        steps.push(Step { offset: end, action: Action::Silence(*node, false) });
        let ready = Action::Publish(*node, NodeStatus::Ready { restarted: true });
        steps.push(Step { offset: end + RELISTED_DELAY, action: ready });
    }
    steps
}

/// The steps of a fault in which the nodes restart one after another.
fn restarts(fault: &Fault, nodes: &[NodeId]) -> Vec<Step> {
    let starts =
        (0..).map(|number| duration_from_seconds(fault.at_s + f64::from(number) * RESTART_INTERVAL_S));
    nodes.iter().zip(starts).flat_map(|(node, start)| restart(*node, start)).collect()
}

fn restart(node: NodeId, start: Duration) -> [Step; 5] {
    [
        (Duration::ZERO, Action::Publish(node, NodeStatus::Draining)),
        (GONE_DELAY, Action::Publish(node, NodeStatus::Gone)),
        (STOP_DELAY, Action::Stop(node)),
        (START_DELAY, Action::Restart(node)),
        (READY_DELAY, Action::Publish(node, NodeStatus::Ready { restarted: true })),
    ]
    .map(|(after, action)| Step { offset: start + after, action })
}

/// A share of each service's nodes restarts, spread over the duration of the fault.
fn release(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    let spread_s = (fault.for_s - RESTART_INTERVAL_S).max(0.0);
    let mut steps = Vec::new();
    for service in &topology.services {
        let count = (service.nodes.len() * fault.count as usize).div_ceil(PERCENT);
        let nodes: Vec<NodeId> = service.nodes.choose_multiple(random, count).copied().collect();
        for (number, node) in nodes.iter().enumerate() {
            let start_s = fault.at_s + spread_s * number as f64 / count as f64;
            steps.extend(restart(*node, duration_from_seconds(start_s)));
        }
    }
    steps
}

/// A region loses contact with all others. This affects the control plane, the hollow balancers, and the
/// nodes to which real balancers in another region send.
fn region_cut(fault: &Fault, topology: &Topology) -> Vec<Step> {
    let region = RegionId(fault.place);
    let across = nodes_across(region, topology);
    let steps_at = |at_s: f64, silent: bool, action: Action| {
        let offset = duration_from_seconds(at_s);
        let silence = move |node: &NodeId| Step { offset, action: Action::Silence(*node, silent) };
        let mut steps = vec![Step { offset, action }];
        steps.extend(across.iter().map(silence));
        steps
    };
    let mut steps = steps_at(fault.at_s, true, Action::CutRegion(region));
    steps.extend(steps_at(fault.ends_s(), false, Action::RejoinRegion(region)));
    steps
}

/// Nodes with sockets that are on the other side of a cut than the one balancer that sends to them.
fn nodes_across(region: RegionId, topology: &Topology) -> Vec<NodeId> {
    let in_region = |zone| topology.region(zone) == region;
    let mut nodes = Vec::new();
    for service in topology.services.iter().filter(|service| service.balancer_kind == BalancerKind::Real) {
        for balancer in &service.balancers {
            let balancer_inside = in_region(topology.balancers[balancer.0].zone);
            nodes.extend(
                service.nodes.iter().filter(|node| in_region(topology.nodes[node.0].zone) != balancer_inside),
            );
        }
    }
    nodes
}

fn control_lost(fault: &Fault) -> Vec<Step> {
    let replicas = fault.place..fault.place.saturating_add(fault.count);
    let steps = replicas.flat_map(|replica| {
        [
            Step { offset: duration_from_seconds(fault.at_s), action: Action::StopReplica(replica) },
            Step { offset: duration_from_seconds(fault.ends_s()), action: Action::StartReplica(replica) },
        ]
    });
    steps.collect()
}

fn balancers_killed(fault: &Fault, topology: &Topology, random: &mut ChaCha8Rng) -> Vec<Step> {
    let is_real = |balancer: &BalancerId| topology.balancers[balancer.0].kind == BalancerKind::Real;
    let real: Vec<BalancerId> = (0..topology.balancers.len()).map(BalancerId).filter(is_real).collect();
    let killed = real.choose_multiple(random, fault.count as usize);
    killed
        .map(|balancer| Step {
            offset: duration_from_seconds(fault.at_s),
            action: Action::KillBalancer(*balancer),
        })
        .collect()
}
