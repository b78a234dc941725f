//! The configuration text of a copy, real or hollow, in the form that the balancer reads.

use std::net::SocketAddr;

use serde::Serialize;
use stilelead::discovery::Update;

use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{CopyId, Topology, ZoneId};

/// Class of requests that are safe to repeat.
pub const CLASS_READ: &str = "read";
/// Class of requests that must never run twice.
pub const CLASS_ORDER: &str = "order";
/// Class that [`SettingsChange::AddClass`] adds.
pub const CLASS_EXTRA: &str = "extra";
/// Tenants of each run, named by [`tenant_name`].
pub const TENANTS: u32 = 3;

/// Kind of machine of each node, as lists name it.
const KIND: &str = "std";
/// Part of the deadline within which an answer earns its full worth.
const AIM_PART: f64 = 0.5;
/// Requests a second within each tenant's share: more than any run makes.
const QUOTA_PER_S: f64 = 1e6;
/// Attempts per request at most.
const ATTEMPTS: u32 = 3;
/// Price of a new connection per first attempt.
const HANDSHAKE_PRICE: f64 = 0.05;
/// Seconds without a watch after which a copy counts as told.
const ASK_WITHIN_S: f64 = 10.0;
/// Seconds of idleness after which a connection closes.
const KEEPALIVE_S: f64 = 15.0;
/// Seconds that a connection may take to come up.
const CONNECT_S: f64 = 0.25;
/// Longest advice to stay away that clients follow, in seconds.
pub const RETRY_AFTER_MOST_S: f64 = 1.5;
/// Seconds after the deadline in which a final answer still counts.
const ANSWER_SLACK_S: f64 = 0.02;
/// Seconds in which sends to a draining node have to end.
const DRAIN_GRACE_S: f64 = 1.0;
/// Values of a load report on an answer, by their names in the settings.
const LOAD_FIELDS: [&str; 4] = ["active", "waiting", "cpu", "avg_ms"];

/// The name of a tenant; `number` is below [`TENANTS`].
#[must_use]
pub fn tenant_name(number: u32) -> String {
    format!("tenant-{number}")
}

/// The configuration of `copy` as JSON text, with `change` made to its settings.
///
/// `known` is the list that the copy has in hand at its start. [`SettingsChange::Malformed`] gives a text that
/// does not parse.
#[must_use]
pub fn configuration(
    scenario: &Scenario,
    topology: &Topology,
    copy: CopyId,
    listen: SocketAddr,
    control: SocketAddr,
    known: &Update,
    change: Option<SettingsChange>,
) -> String {
    let file = File {
        name: &topology.copies[copy.0].name,
        listen,
        discovery: control,
        seed: seed(scenario.seed, copy),
        limits: Limits { cores: 1.0, memory_mb: scenario.fleet.memory_mb, sockets: scenario.fleet.sockets },
        known,
        settings: Settings::of(scenario, topology, copy, change),
    };
    let mut text = serde_json::to_string(&file).expect("a structure of plain fields always serializes");
    if change == Some(SettingsChange::Malformed) {
        cut_short(&mut text);
    }
    text
}

/// A seed of its own for each copy of a run, in hexadecimal digits.
fn seed(run: u64, copy: CopyId) -> String {
    /// Odd, so that different copies of one run have different seeds.
    const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
    let number = copy.0 as u64 + 1;
    format!("{:016x}", run ^ number.wrapping_mul(SPREAD))
}

/// Drops the second half: the braces that it closes stay open.
fn cut_short(text: &mut String) {
    let mut end = text.len() / 2;
    while !text.is_char_boundary(end) {
        end -= 1;
    }
    text.truncate(end);
}

#[derive(Serialize)]
struct File<'a> {
    name: &'a str,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: String,
    limits: Limits,
    known: &'a Update,
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
    balancers: u32,
    me: u32,
    tier: u32,
    zone: String,
    zones: Vec<String>,
    kinds: [&'static str; 1],
    lanes: Vec<Class>,
    projects: Vec<Tenant>,
    over_share_worth: f64,
    discovery: &'static str,
    family_info: FamilyInfo,
    caps: Caps,
    rules: Rules,
    prices: Prices,
    load_info: LoadInfo,
}

impl Settings {
    fn of(scenario: &Scenario, topology: &Topology, id: CopyId, change: Option<SettingsChange>) -> Self {
        let copy = &topology.copies[id.0];
        Self {
            balancers: copies(topology, id, change),
            me: copy.index,
            tier: 0,
            zone: topology.zone_name(copy.zone),
            zones: (0..topology.zones).map(|zone| topology.zone_name(ZoneId(zone))).collect(),
            kinds: [KIND],
            lanes: classes(scenario.load.deadline_s, change),
            projects: (0..TENANTS).map(Tenant::of).collect(),
            over_share_worth: 0.1,
            discovery: "subscribe",
            family_info: FamilyInfo { passes_deadline: true },
            caps: Caps::ALL,
            rules: Rules::of(scenario),
            prices: Prices { handshake: HANDSHAKE_PRICE },
            load_info: LoadInfo::of(scenario.node.load_reports),
        }
    }
}

fn copies(topology: &Topology, id: CopyId, change: Option<SettingsChange>) -> u32 {
    let service = &topology.services[topology.copies[id.0].target.0];
    let count = u32::try_from(service.copies.len()).unwrap_or(u32::MAX);
    if change == Some(SettingsChange::Copies) { count.saturating_mul(2) } else { count }
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Class {
    name: &'static str,
    on_time_s: f64,
    hard_limit_s: f64,
    effect: &'static str,
}

fn classes(deadline_s: f64, change: Option<SettingsChange>) -> Vec<Class> {
    let class =
        |name, effect| Class { name, on_time_s: deadline_s * AIM_PART, hard_limit_s: deadline_s, effect };
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
        Self { name: tenant_name(number), quota_per_s: QUOTA_PER_S }
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
    try_limit: u32,
    second_copies: bool,
    cancel: bool,
    may_probe: bool,
    may_tell: bool,
    retry_after: bool,
    max_retry_after_s: f64,
    keepalive_s: f64,
    multiplex: u32,
    dial_timeout_s: f64,
}

impl Caps {
    const ALL: Self = Self {
        try_limit: ATTEMPTS,
        second_copies: false,
        cancel: true,
        may_probe: false,
        may_tell: false,
        retry_after: true,
        max_retry_after_s: RETRY_AFTER_MOST_S,
        keepalive_s: KEEPALIVE_S,
        multiplex: 1,
        dial_timeout_s: CONNECT_S,
    };
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase")]
struct Rules {
    answer_slack_s: f64,
    drain_grace_s: f64,
    ask_within_s: f64,
    cold_share: f64,
    cold_s: f64,
    fall_multiple: f64,
    overload_for_s: f64,
}

impl Rules {
    fn of(scenario: &Scenario) -> Self {
        Self {
            answer_slack_s: ANSWER_SLACK_S,
            drain_grace_s: DRAIN_GRACE_S,
            ask_within_s: ASK_WITHIN_S,
            cold_share: scenario.node.cold_share,
            cold_s: scenario.node.cold_s,
            fall_multiple: scenario.node.fall_multiple,
            overload_for_s: scenario.node.fall_s,
        }
    }
}

#[derive(Serialize)]
struct Prices {
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
            Self { fields: LOAD_FIELDS.to_vec(), via: "inline" }
        } else {
            Self { fields: Vec::new(), via: "off" }
        }
    }
}

#[cfg(test)]
pub(super) mod tests;
