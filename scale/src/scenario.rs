//! The scenario file: which fleet a run models, for how long, and with which load, changes and faults.

use serde::{Deserialize, Serialize};

pub mod check;
pub mod load;
pub mod machine;
pub mod overrides;

/// A scenario as written in TOML. Unknown keys are errors.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// Short name, shown in the report.
    pub name: String,
    /// What was scaled down from the modelled fleet, and by how much; shown in the report.
    #[serde(default)]
    pub scale: String,
    /// Seconds of load.
    pub duration_s: f64,
    /// Maximum time in seconds for balancers to start and become ready before the load.
    #[serde(default = "defaults::ready_within_s")]
    pub ready_within_s: f64,
    /// Seed of all random numbers of the run; `--seed` takes precedence.
    #[serde(default = "defaults::seed")]
    pub seed: u64,
    /// Services, balancers, nodes and zones.
    pub fleet: Fleet,
    /// Load by clients.
    pub load: Load,
    /// The stand-in nodes.
    #[serde(default)]
    pub node: Node,
    /// The stand-in control plane.
    #[serde(default)]
    pub control: Control,
    /// Changes of lists and settings during the load.
    #[serde(default)]
    pub changes: Changes,
    /// Faults during the load.
    #[serde(default, rename = "fault")]
    pub faults: Vec<Fault>,
}

/// Sizes of the fleet.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fleet {
    /// Services of the hollow balancers; each calls the next one, the last calls the first.
    pub services: u32,
    /// Number of hollow balancers (simulated in this process), each on a modelled node of its own.
    pub hollow: u32,
    /// Real balancer processes, each in front of its own service, whose nodes call through the next real balancer.
    pub real: u32,
    /// Stand-in nodes with sockets behind each real balancer.
    #[serde(default = "defaults::nodes_per_real")]
    pub nodes_per_real: u32,
    /// Number of regions.
    #[serde(default = "defaults::single")]
    pub regions: u32,
    /// Number of zones over all regions; a multiple of the number of regions.
    #[serde(default = "defaults::single")]
    pub zones: u32,
    /// Memory limit in the settings of each real balancer, in megabytes.
    #[serde(default = "defaults::memory_mb")]
    pub memory_mb: u32,
    /// Descriptor limit in the settings of each real balancer.
    #[serde(default = "defaults::sockets")]
    pub sockets: u32,
}

/// Load by clients. It is open-loop: arrivals are drawn beforehand and don't wait for answers.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Load {
    /// Calls of clients per second to the real balancers.
    pub real_calls_per_s: f64,
    /// Calls of clients per second to all hollow balancers together.
    #[serde(default)]
    pub hollow_calls_per_s: f64,
    /// Additional calls per second sent directly to nodes of the first real service.
    #[serde(default)]
    pub direct_calls_per_s: f64,
    /// Depths of calls with their shares, which add up to 1.
    #[serde(default = "defaults::depths")]
    pub depths: Vec<Depth>,
    /// Share of calls in the class whose requests must not run twice.
    #[serde(default)]
    pub unsafe_share: f64,
    /// Seconds that a client waits for an answer.
    #[serde(default = "defaults::deadline_s")]
    pub deadline_s: f64,
    /// Maximum retries of a refused call by the client.
    #[serde(default)]
    pub client_retries: u32,
    /// Share of clients that close their connection before the answer.
    #[serde(default)]
    pub leaving_share: f64,
}

/// A depth of calls and how frequent it is.
#[derive(Debug, Clone, Copy, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Depth {
    /// Hops from the client to the last node, at least 1.
    pub hops: u32,
    /// Share of the clients' calls that have this depth.
    pub share: f64,
}

/// A stand-in node, with sockets or modelled.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Node {
    /// Requests that it processes at the same time.
    pub cores: u32,
    /// Mean processing time of a request on a warm node, in milliseconds. It is drawn from an exponential distribution
    /// unless `work_fixed` is set.
    pub work_ms: f64,
    /// Whether every request takes exactly the mean processing time.
    pub work_fixed: bool,
    /// Maximum requests waiting for a core; more are rejected with 503 and `X-Not-Run`.
    pub queue: u32,
    /// Seconds until a restarted node is warm.
    pub cold_s: f64,
    /// Fraction of its full speed with which a restarted node begins.
    pub cold_share: f64,
    /// A cold node goes down when, for `fall_s` seconds, it gets more than this many times the requests that
    /// it can handle at that moment.
    pub fall_multiple: f64,
    /// Seconds for which a cold node must be overloaded by `fall_multiple` before it goes down.
    pub fall_s: f64,
    /// Processing time of a new connection, in milliseconds.
    pub connect_ms: f64,
    /// Maximum connections of a node.
    pub connections: u32,
    /// Share of requests at the last hop that end in an error.
    pub error_share: f64,
    /// Share of requests whose connection is reset before the answer.
    pub reset_share: f64,
    /// Whether answers carry load reports.
    pub load_reports: bool,
}

/// The stand-in control plane.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Control {
    /// Number of replicas, 1 to 3. A balancer calls the replica given by its number modulo this.
    pub replicas: u32,
    /// Calls per second that a replica answers, one after another.
    pub calls_per_s: f64,
    /// Maximum calls waiting at a replica; more get 503 at once.
    pub queue: u32,
    /// Seconds between two heartbeat lines of a watch without changes.
    pub heartbeat_s: f64,
    /// Number of past versions from which a watch can resume; from older ones it gets the full list.
    pub history: u32,
    /// Extra entries in each list that only make it longer; they get no calls because they are draining.
    pub padding_entries: u32,
}

/// Changes of lists and settings during the load.
#[derive(Debug, Clone, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Changes {
    /// List changes per second over the whole fleet; each changes the weight of a node or of a padding entry.
    pub lists_per_s: f64,
    /// When every balancer gets new settings, in seconds from the start of the load.
    pub settings_at_s: Vec<f64>,
    /// What the new settings change, compared with the old ones.
    pub settings_kind: SettingsChange,
}

/// What the new settings that balancers get during the load change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SettingsChange {
    /// The new settings add a class of requests.
    #[default]
    AddClass,
    /// The new settings change the count of balancers that send to each service.
    Copies,
    /// The new settings do not parse; the old settings must stay in force.
    Malformed,
}

/// A fault and when it happens.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// Start of the fault, in seconds from the start of the load.
    pub at_s: f64,
    /// Duration in seconds, for kinds of faults that last.
    #[serde(default)]
    pub for_s: f64,
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Number of nodes, machines, replicas or balancers affected, for kinds that don't imply it.
    #[serde(default = "defaults::single")]
    pub count: u32,
    /// Number of the affected zone, region or first replica, for kinds that need one.
    #[serde(default)]
    pub place: u32,
}

/// Kinds of faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Nodes and the balancers on them stop answering, and the control plane learns of it late.
    MachineLost,
    /// Nodes restart one after another: each is draining, then gone, then back and cold.
    Restart,
    /// `count` of every hundred nodes of each service restart within `for_s`.
    Release,
    /// A tenth of a zone's nodes stops answering.
    RackLost,
    /// All nodes of a zone stop answering.
    ZoneLost,
    /// The regions are cut off from each other: calls to nodes and control replicas in the other region get no answer.
    RegionCut,
    /// `count` control replicas are down, starting with replica number `place`.
    ControlLost,
    /// All discovery watches are disconnected at once.
    WatchesBroken,
    /// Real balancers are killed and restarted.
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
