//! The scenario file: what a run models, for how long and with which faults.

use serde::{Deserialize, Serialize};

pub mod check;
pub mod load;
pub mod machine;
pub mod overrides;

/// A scenario as written in TOML. Unknown keys are refused.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Short name, shown in the report.
    pub name: String,
    /// What was scaled down from the fleet that is modelled, and by how much; shown in the report.
    #[serde(default)]
    pub scale: String,
    /// Seconds of load.
    pub duration_s: f64,
    /// Seconds before the load during which copies start and become ready, at most.
    #[serde(default = "defaults::ready_within_s")]
    pub ready_within_s: f64,
    /// Seed of all chance in the run; `--seed` goes before it.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// The fleet: services, copies and places.
    pub fleet: Fleet,
    /// Calls of clients.
    pub load: Load,
    /// The stand-in nodes.
    #[serde(default)]
    pub node: Node,
    /// The stand-in control plane.
    #[serde(default)]
    pub control: Control,
    /// Changes of lists and settings.
    #[serde(default)]
    pub changes: Changes,
    /// Faults, each at its time.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Sizes and places of the fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Services of the hollow part; each calls the next one, the last calls the first.
    pub services: u32,
    /// Hollow copies, each on a modelled node of its own.
    pub hollow: u32,
    /// Real balancer processes, each before a service of its own; a node behind one calls the next.
    pub real: u32,
    /// Stand-in nodes with sockets behind each real balancer.
    #[serde(default = "defaults::nodes_per_real")]
    pub nodes_per_real: u32,
    /// Regions.
    #[serde(default = "defaults::single")]
    pub regions: u32,
    /// Zones in all, spread evenly over the regions.
    #[serde(default = "defaults::single")]
    pub zones: u32,
    /// Memory limit told to each real balancer, in megabytes.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: u32,
    /// Descriptor limit told to each real balancer.
    #[serde(default = "defaults::sockets")]
    pub sockets: u32,
}

/// Calls of clients: open loop, arrivals drawn ahead.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// First-hop calls a second to the real balancers.
    pub real_calls_per_s: f64,
    /// First-hop calls a second to the hollow copies, over all of them.
    #[serde(default)]
    pub hollow_calls_per_s: f64,
    /// Calls a second sent straight to nodes of the first real service, beside the others.
    #[serde(default)]
    pub direct_calls_per_s: f64,
    /// How deep calls go, and the share of each depth; the shares add up to 1.
    #[serde(default = "defaults::depths")]
    pub depths: Vec<Depth>,
    /// Share of first-hop calls of the class that must never run twice.
    #[serde(default)]
    pub unsafe_share: f64,
    /// Seconds that a client waits.
    #[serde(default = "defaults::deadline_s")]
    pub deadline_s: f64,
    /// Times that a client repeats a refused call.
    #[serde(default)]
    pub client_retries: u32,
    /// Share of clients that close their connection before the answer.
    #[serde(default)]
    pub leaving_share: f64,
}

/// A depth of calls.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Depth {
    /// Hops from the client to the last node, at least 1.
    pub hops: u32,
    /// Share of the first-hop calls.
    pub share: f64,
}

/// A stand-in node, with sockets or modelled.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// Requests worked on at a time.
    pub cores: u32,
    /// Mean work of a request on a warm node, in milliseconds; drawn from an exponential distribution unless
    /// `work_fixed`.
    pub work_ms: f64,
    /// Every request takes just the mean work.
    pub work_fixed: bool,
    /// Requests that wait for a core at most; further ones are turned away with 503 and `X-Not-Run`.
    pub queue: u32,
    /// Seconds until a restarted node is warm.
    pub cold_s: f64,
    /// Part of its speed with which a restarted node begins.
    pub cold_share: f64,
    /// A cold node falls when it gets more than this many times what it can do at that moment...
    pub fall_multiple: f64,
    /// ...for so many seconds.
    pub fall_s: f64,
    /// Work that a new connection costs, in milliseconds.
    pub connect_ms: f64,
    /// Connections that a node holds.
    pub connections: u32,
    /// Share of requests at the last hop that end in an error.
    pub error_share: f64,
    /// Share of requests whose connection is reset under them.
    pub reset_share: f64,
    /// Load reports ride on answers.
    pub load_reports: bool,
}

/// The stand-in control plane.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Replicas, 1 to 3; copy number modulo replicas says which one a copy asks.
    pub replicas: u32,
    /// Calls that a replica answers in a second, one after another.
    pub calls_per_s: f64,
    /// Calls that wait at a replica at most; further ones get 503 at once.
    pub queue: u32,
    /// Seconds between two lines of a watch with nothing to tell.
    pub heartbeat_s: f64,
    /// Versions that a watch may resume from; older ones get the whole list.
    pub history: u32,
    /// Entries added to each list that get no calls: they are draining.
    pub padding_entries: u32,
}

/// Changes during the load.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// Changes of lists a second over the fleet: one entry's weight or a padding entry's status.
    pub lists_per_s: f64,
    /// Seconds from the start of the load at which new settings are handed to every copy.
    pub settings_at_s: Vec<f64>,
    /// What the new settings change.
    pub settings_kind: SettingsChange,
}

/// What new settings hold.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettingsChange {
    /// A class of requests more.
    #[default]
    AddClass,
    /// The count of copies that send to each service.
    Copies,
    /// A text that does not parse: the old settings must stay in force.
    Malformed,
}

/// A fault at its time.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Seconds from the start of the load.
    pub at_s: f64,
    /// Seconds that it lasts, where it ends by itself.
    #[serde(default)]
    pub for_s: f64,
    /// What happens.
    pub kind: FaultKind,
    /// Nodes, machines or replicas that it meets, where the kind does not say.
    #[serde(default = "defaults::single")]
    pub count: u32,
    /// The zone, region or replica, where the kind needs one.
    #[serde(default)]
    pub place: u32,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes fall silent, with the copies on them, and control learns of it late.
    MachineLost,
    /// Nodes restart one after another: draining, gone, back cold.
    Restart,
    /// `count` of every hundred nodes of each service restart within `for_s`.
    Release,
    /// A tenth of a zone's nodes falls silent.
    RackLost,
    /// All nodes of a zone fall silent.
    ZoneLost,
    /// The regions lose each other: calls between them and control replicas beyond are silent.
    RegionCut,
    /// Control replicas are down: `count` from `place` on.
    ControlLost,
    /// All watches break at once.
    WatchesBroken,
    /// Real balancers are killed and started again.
    BalancerKilled,
}

mod defaults {
    use super::{Control, Depth, Node};

    pub(super) fn ready_within_s() -> f64 {
        10.0
    }

    pub(super) fn seed() -> u64 {
        1
    }

    pub(super) fn single() -> u32 {
        1
    }

    pub(super) fn nodes_per_real() -> u32 {
        4
    }

    pub(super) fn memory_mb() -> u32 {
        32
    }

    pub(super) fn sockets() -> u32 {
        1024
    }

    pub(super) fn depths() -> Vec<Depth> {
        vec![Depth { hops: 1, share: 1.0 }]
    }

    pub(super) fn deadline_s() -> f64 {
        2.0
    }

    impl Default for Node {
        fn default() -> Self {
            Self {
                cores: 4,
                work_ms: 1.0,
                work_fixed: false,
                queue: 200,
                cold_s: 8.0,
                cold_share: 0.3,
                fall_multiple: 4.0,
                fall_s: 2.0,
                connect_ms: 0.5,
                connections: 600,
                error_share: 0.0,
                reset_share: 0.0,
                load_reports: true,
            }
        }
    }

    impl Default for Control {
        fn default() -> Self {
            Self {
                replicas: 3,
                calls_per_s: 200.0,
                queue: 50,
                heartbeat_s: 2.0,
                history: 1000,
                padding_entries: 0,
            }
        }
    }
}
