//! The configuration text of a real or hollow balancer, in the format that the balancer reads.

use std::net::SocketAddr;

use serde::Serialize;
use stilelead::discovery::Update;

use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{BalancerId, Topology, ZoneId};

/// Class of requests that are safe to retry.
pub const CLASS_READ: &str = "read";
/// Class of requests that must never run twice.
pub const CLASS_ORDER: &str = "order";
/// Class that [`SettingsChange::AddClass`] adds.
pub const CLASS_EXTRA: &str = "extra";
/// Number of tenants in each run; [`tenant_name`] gives their names.
pub const TENANT_COUNT: u32 = 3;

/// Machine type of every node, as endpoint lists name it.
const MACHINE_TYPE: &str = "std";
/// Fraction of the deadline within which an answer has its full value: the latency target.
const LATENCY_TARGET_FRACTION: f64 = 0.5;
/// Request quota of each tenant, higher than the rate of any run, so that no request is over quota.
const TENANT_QUOTA_PER_S: f64 = 1e6;
/// Maximum attempts that a balancer makes per request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// Cost of opening a connection, in units of a first attempt.
const HANDSHAKE_COST: f64 = 0.05;
/// Longest time that a balancer without a watch may go without asking discovery, in seconds.
const MAX_POLL_INTERVAL_S: f64 = 10.0;
/// Idle time after which a connection is closed, in seconds.
const KEEPALIVE_TIMEOUT_S: f64 = 15.0;
/// Maximum time to open a connection, in seconds.
const CONNECT_TIMEOUT_S: f64 = 0.25;
/// Longest `Retry-After` that clients follow, in seconds.
pub const MAX_RETRY_AFTER_S: f64 = 1.5;
/// Time after the deadline within which a final answer still counts, in seconds.
const DEADLINE_GRACE_S: f64 = 0.02;
/// Time within which sends to a draining node have to end, in seconds.
const DRAIN_GRACE_S: f64 = 1.0;
/// Values of the load report in an answer, by their names in the settings.
const LOAD_REPORT_FIELDS: [&str; 4] = ["active", "waiting", "cpu", "avg_ms"];

/// Name of a tenant; `number` is below [`TENANT_COUNT`].
#[must_use]
pub fn tenant_name(number: u32) -> String {
    format!("tenant-{number}")
}

/// The configuration of `balancer` as JSON text, with `change` applied to its settings.
///
/// `initial_list` is the endpoint list that the balancer starts with. [`SettingsChange::Malformed`] gives a
/// text that does not parse.
#[must_use]
pub fn configuration(
    scenario: &Scenario,
    topology: &Topology,
    balancer: BalancerId,
    listen: SocketAddr,
    control: SocketAddr,
    initial_list: &Update,
    change: Option<SettingsChange>,
) -> String {
    let file = ConfigurationFile {
        name: &topology.balancers[balancer.0].name,
        listen,
        discovery: control,
        seed: balancer_seed(scenario.seed, balancer),
        limits: Limits { cores: 1.0, memory_mb: scenario.fleet.memory_mb, sockets: scenario.fleet.sockets },
        initial_list,
        settings: Settings::of(scenario, topology, balancer, change),
    };
    let mut text = serde_json::to_string(&file).expect("a structure of plain fields always serializes");
    if change == Some(SettingsChange::Malformed) {
        truncate_to_half(&mut text);
    }
    text
}

/// Derives a different seed for each balancer of a run, in hexadecimal digits.
fn balancer_seed(run_seed: u64, balancer: BalancerId) -> String {
    /// Odd, so that the products of different balancer numbers differ.
    const SEED_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
    let number = balancer.0 as u64 + 1;
    format!("{:016x}", run_seed ^ number.wrapping_mul(SEED_MULTIPLIER))
}

/// Drops the second half of the JSON text, so that its braces stay unbalanced and it does not parse.
fn truncate_to_half(text: &mut String) {
    let mut end = text.len() / 2;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}

#[derive(Serialize)]
struct ConfigurationFile<'a> {
    name: &'a str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    #[serde(rename = "known")]
    initial_list: &'a Update,
    settings: Settings,
}

#[derive(Serialize)]
struct Limits {
    cores: f64,
    memory_mb: u32,
    sockets: u32,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Settings {
    #[serde(rename = "balancers")]
    replica_count: u32,
    #[serde(rename = "me")]
    replica_index: u32,
    tier: u32,
    zone: String,
    zones: Vec<String>,
    #[serde(rename = "kinds")]
    machine_types: [&'static str; 1],
    #[serde(rename = "lanes")]
    classes: Vec<Class>,
    #[serde(rename = "projects")]
    tenants: Vec<Tenant>,
    #[serde(rename = "overShareWorth")]
    over_quota_value: f64,
    discovery: &'static str,
    family_info: FamilyInfo,
    caps: Caps,
    rules: Rules,
    #[serde(rename = "prices")]
    costs: Costs,
    load_info: LoadInfo,
}

impl Settings {
    fn of(scenario: &Scenario, topology: &Topology, id: BalancerId, change: Option<SettingsChange>) -> Self {
        let balancer = &topology.balancers[id.0];
        Self {
            replica_count: replica_count(topology, id, change),
            replica_index: balancer.index,
            tier: 0,
            zone: topology.zone_name(balancer.zone),
            zones: (0..topology.zones).map(|zone| topology.zone_name(ZoneId(zone))).collect(),
            machine_types: [MACHINE_TYPE],
            classes: classes(scenario.load.deadline_s, change),
            tenants: (0..TENANT_COUNT).map(Tenant::of).collect(),
            over_quota_value: 0.1,
            discovery: "subscribe",
            family_info: FamilyInfo { passes_deadline: true },
            caps: Caps::ALL,
            rules: Rules::of(scenario),
            costs: Costs { handshake: HANDSHAKE_COST },
            load_info: LoadInfo::of(scenario.node.load_reports),
        }
    }
}

fn replica_count(topology: &Topology, id: BalancerId, change: Option<SettingsChange>) -> u32 {
    let service = &topology.services[topology.balancers[id.0].target.0];
    let count = u32::try_from(service.balancers.len()).unwrap_or(u32::MAX);
    if change == Some(SettingsChange::Copies) { count.saturating_mul(2) } else { count }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: &'static str,
    #[serde(rename = "onTimeS")]
    latency_target_s: f64,
    #[serde(rename = "hardLimitS")]
    deadline_s: f64,
    #[serde(rename = "effect")]
    idempotency: &'static str,
}

fn classes(deadline_s: f64, change: Option<SettingsChange>) -> Vec<Class> {
    let class = |name, idempotency| Class {
        name,
        latency_target_s: deadline_s * LATENCY_TARGET_FRACTION,
        deadline_s,
        idempotency,
    };
    let mut classes = vec![class(CLASS_READ, "idempotent"), class(CLASS_ORDER, "at_most_once")];
    if change == Some(SettingsChange::AddClass) {
        classes.push(class(CLASS_EXTRA, "idempotent"));
    }
    classes
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Tenant {
    name: String,
    quota_per_s: f64,
}

impl Tenant {
    fn of(number: u32) -> Self {
        Self { name: tenant_name(number), quota_per_s: TENANT_QUOTA_PER_S }
    }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct FamilyInfo {
    passes_deadline: bool,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Caps {
    #[serde(rename = "tryLimit")]
    max_attempts: u32,
    #[serde(rename = "secondCopies")]
    hedging: bool,
    #[serde(rename = "cancel")]
    cancellation: bool,
    #[serde(rename = "mayProbe")]
    probes: bool,
    #[serde(rename = "mayTell")]
    peer_messages: bool,
    retry_after: bool,
    max_retry_after_s: f64,
    #[serde(rename = "keepaliveS")]
    keepalive_timeout_s: f64,
    #[serde(rename = "multiplex")]
    max_concurrent_streams: u32,
    #[serde(rename = "dialTimeoutS")]
    connect_timeout_s: f64,
}

impl Caps {
    const ALL: Self = Self {
        max_attempts: MAX_ATTEMPTS,
        hedging: false,
        cancellation: true,
        probes: false,
        peer_messages: false,
        retry_after: true,
        max_retry_after_s: MAX_RETRY_AFTER_S,
        keepalive_timeout_s: KEEPALIVE_TIMEOUT_S,
        max_concurrent_streams: 1,
        connect_timeout_s: CONNECT_TIMEOUT_S,
    };
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    #[serde(rename = "answerSlackS")]
    deadline_grace_s: f64,
    drain_grace_s: f64,
    #[serde(rename = "askWithinS")]
    max_poll_interval_s: f64,
    #[serde(rename = "coldShare")]
    slow_start_min_fraction: f64,
    #[serde(rename = "coldS")]
    slow_start_duration_s: f64,
    #[serde(rename = "fallMultiple")]
    overload_factor: f64,
    #[serde(rename = "overloadForS")]
    overload_duration_s: f64,
}

impl Rules {
    fn of(scenario: &Scenario) -> Self {
        Self {
            deadline_grace_s: DEADLINE_GRACE_S,
            drain_grace_s: DRAIN_GRACE_S,
            max_poll_interval_s: MAX_POLL_INTERVAL_S,
            slow_start_min_fraction: scenario.node.cold_share,
            slow_start_duration_s: scenario.node.cold_s,
            overload_factor: scenario.node.fall_multiple,
            overload_duration_s: scenario.node.fall_s,
        }
    }
}

#[derive(Serialize)]
struct Costs {
    handshake: f64,
}

#[derive(Serialize)]
struct LoadInfo {
    fields: Vec<&'static str>,
    via: &'static str,
}

impl LoadInfo {
    fn of(reports: bool) -> Self {
        if reports {
            Self { fields: LOAD_REPORT_FIELDS.to_vec(), via: "inline" }
        } else {
            Self { fields: Vec::new(), via: "off" }
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
