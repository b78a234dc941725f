//! Plan of faults and changes during the load. It is drawn before the run, so that one seed always gives one plan.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::faults;
use crate::report::FaultPeriod;
use crate::scenario::Scenario;
use crate::topology::{BalancerId, NodeId, RegionId, ServiceId, Topology};

/// Random stream of the seed from which faults are drawn.
const FAULT_STREAM: u64 = 1;
/// Random stream of the seed from which list changes are drawn.
const LIST_STREAM: u64 = 2;
/// Range from which new weights of list entries are drawn.
const WEIGHT_RANGE: std::ops::Range<f64> = 0.8..1.25;
/// Share of list changes that change a padding entry, if there are any.
const PADDING_CHANGE_SHARE: f64 = 0.5;

/// An action and when it is carried out.
#[derive(Debug, Clone, PartialEq)]
pub struct Step {
    /// Time from the start of the load.
    pub offset: Duration,
    /// Fault or change that is carried out at that time.
    pub action: Action,
}

/// An action on the running fleet.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Action {
    /// The control plane publishes a new status of a node.
    Publish(NodeId, NodeStatus),
    /// A node stops answering (`true`) or answers again (`false`), while its process keeps running.
    Silence(NodeId, bool),
    /// A node's process is stopped.
    Stop(NodeId),
    /// A stopped node is started again; it is slow (cold) at first.
    Restart(NodeId),
    /// The control plane publishes a new weight of a node.
    Weight(NodeId, f64),
    /// The control plane publishes a new weight of a padding entry, given by its number in the service's list.
    Padding(ServiceId, u32, f64),
    /// A region is cut off from the other regions.
    CutRegion(RegionId),
    /// A region is connected to the other regions again.
    RejoinRegion(RegionId),
    /// A control plane replica goes down.
    StopReplica(u32),
    /// A control plane replica comes back.
    StartReplica(u32),
    /// All discovery watches are disconnected.
    BreakWatches,
    /// A real balancer is killed and started again.
    KillBalancer(BalancerId),
    /// Every balancer gets new settings.
    NewSettings,
}

/// Status of a node in the control plane's list.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NodeStatus {
    /// The node accepts requests.
    Ready {
        /// The node has just started again and is cold.
        restarted: bool,
    },
    /// The node finishes its requests in flight and should get no new ones.
    Draining,
    /// The node is no longer in the list.
    Gone,
}

/// All faults and changes during the load.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Steps in order of time.
    pub steps: Vec<Step>,
    /// When each fault of the scenario begins and ends.
    pub faults: Vec<FaultPeriod>,
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
        steps.extend(
            settings.map(|at_s| Step { offset: duration_from_seconds(*at_s), action: Action::NewSettings }),
        );
        steps.sort_by_key(|step| step.offset);
        Self { steps, faults: scenario.faults.iter().map(faults::fault_period).collect() }
    }
}

/// Draws list changes at random times (a Poisson process) with the mean rate of the scenario.
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
        steps.push(Step { offset: duration_from_seconds(at_s), action });
    }
}

fn random_list_change(padding_entries: u32, topology: &Topology, random: &mut ChaCha8Rng) -> Action {
    let weight = random.random_range(WEIGHT_RANGE);
    if padding_entries > 0 && random.random_bool(PADDING_CHANGE_SHARE) {
        let service = ServiceId(random.random_range(0..topology.services.len()));
        return Action::Padding(service, random.random_range(0..padding_entries), weight);
    }
    Action::Weight(NodeId(random.random_range(0..topology.nodes.len())), weight)
}

fn random_stream(seed: u64, number: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(number);
    random
}

/// Converts a time of a checked scenario, which is finite and not negative.
pub(crate) fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds)
}
