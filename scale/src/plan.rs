//! What happens during the load and when: all of it drawn ahead, so that one seed gives one plan.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults;
use crate::report::FaultSpan;
use crate::scenario::Scenario;
use crate::topology::{CopyId, NodeId, RegionId, ServiceId, Topology};

/// The part of the seed's random numbers from which faults are drawn.
const FAULT_STREAM: u64 = 1;
/// The part from which changes of lists are drawn.
const LIST_STREAM: u64 = 2;
/// A node's weight is drawn between these.
const WEIGHT_RANGE: std::ops::Range<f64> = 0.8..1.25;
/// Share of list changes that meet padding entries, where there are any.
const PADDING_CHANGE_SHARE: f64 = 0.5;

/// An action at its time.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// From the start of the load.
    pub at: Duration,
    /// What is done.
    pub action: Action,
}

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// Control publishes what a node is up to.
    Publish(NodeId, NodeStatus),
    /// A node says nothing, or speaks again.
    Silence(NodeId, bool),
    /// A node's process ends.
    Stop(NodeId),
    /// A node's process starts, cold.
    Restart(NodeId),
    /// Control publishes another weight of a node.
    Weight(NodeId, f64),
    /// Control publishes another weight of a padding entry.
    Padding(ServiceId, u32, f64),
    /// A region loses the others.
    CutRegion(RegionId),
    /// A region finds the others again.
    RejoinRegion(RegionId),
    /// A replica of control goes down.
    StopReplica(u32),
    /// A replica of control comes back.
    StartReplica(u32),
    /// All watches break.
    BreakWatches,
    /// A real balancer is killed and started again.
    KillBalancer(CopyId),
    /// Every copy gets new settings.
    NewSettings,
}

/// What a node is up to, as control lists it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeStatus {
    /// Takes requests; `restarted` if this is its first word after a start.
    Ready {
        /// It has just started and is cold.
        restarted: bool,
    },
    /// Finishes what it has.
    Draining,
    /// Is not there.
    Gone,
}

/// All that happens during the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// The steps in order of time.
    pub steps: Vec<Step>,
    /// When each fault of the scenario begins and ends.
    pub faults: Vec<FaultSpan>,
}

impl Plan {
    /// Draws the plan of a scenario from its seed.
    #[must_use]
    pub fn draw(scenario: &Scenario, topology: &Topology) -> Self {
        let mut random = random_stream(scenario.seed, FAULT_STREAM);
        let mut steps = Vec::new();
        for fault in &scenario.faults {
            steps.extend(faults::steps(fault, topology, &mut random));
        }
        steps.extend(list_changes(scenario, topology));
        let settings = scenario.changes.settings_at_s.iter();
        steps.extend(settings.map(|at_s| Step { at: seconds(*at_s), action: Action::NewSettings }));
        steps.sort_by_key(|step| step.at);
        Self { steps, faults: scenario.faults.iter().map(faults::span).collect() }
    }
}

/// Changes of lists at random times, at the rate that the scenario says in the mean.
fn list_changes(scenario: &Scenario, topology: &Topology) -> Vec<Step> {
    let rate = scenario.changes.lists_per_s;
    let mut random = random_stream(scenario.seed, LIST_STREAM);
    let mut steps = Vec::new();
    if rate <= 0.0 || topology.nodes.is_empty() {
        return steps;
    }
    let mut at_s = 0.0;
    loop {
        let uniform: f64 = random.random();
        at_s -= (1.0 - uniform).ln() / rate;
        if at_s >= scenario.duration_s {
            return steps;
        }
        let action = random_list_change(scenario.control.padding_entries, topology, &mut random);
        steps.push(Step { at: seconds(at_s), action });
    }
}

fn random_list_change(padding: u32, topology: &Topology, random: &mut ChaCha8Rng) -> Action {
    let weight = random.random_range(WEIGHT_RANGE);
    if padding > 0 && random.random_bool(PADDING_CHANGE_SHARE) {
        let service = ServiceId(random.random_range(0..topology.services.len()));
        return Action::Padding(service, random.random_range(0..padding), weight);
    }
    Action::Weight(NodeId(random.random_range(0..topology.nodes.len())), weight)
}

fn random_stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

/// A time of a checked scenario: finite and not under 0.
pub(crate) fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
