//! Parses the settings of a balancer instance from JSON into the [`Settings`] of the decision library.
//!
//! The first message of the simulator and the configuration of a real balancer contain the same object, so
//! both programs use this module.

use std::time::Duration;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use stilelead_decision::interface::{
    Capabilities, Class, Costs, DedupScope, DiscoveryMode, Idempotency, LoadReport, Rules, Settings, Tenant,
    ZoneId,
};
use thiserror::Error;

/// Why the settings cannot be used.
#[derive(Debug, Error)]
pub enum SetupError {
    /// The text is not JSON of the expected structure.
    #[error("{0}")]
    Json(#[from] serde_json::Error),
    /// A value is invalid: a duration out of range, an unknown name, or a name listed twice.
    #[error("invalid value for {name}: {value:?}")]
    InvalidValue {
        /// The key of the value.
        name: String,
        /// The value or name that is invalid.
        value: String,
    },
}

/// The settings object as written in JSON. The field names of this and the following structs are the JSON
/// keys; [`parse_settings`] maps them to the terms of the decision library.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsJson {
    balancers: u32,
    me: u32,
    #[serde(default)]
    tier: usize,
    zone: String,
    zones: Vec<String>,
    #[serde(default)]
    kinds: Vec<String>,
    lanes: Vec<ClassJson>,
    #[serde(default)]
    projects: Vec<TenantJson>,
    #[serde(default = "default_over_share_worth")]
    over_share_worth: f64,
    discovery: DiscoveryJson,
    #[serde(default)]
    family_info: FamilyInfoJson,
    caps: CapabilitiesJson,
    rules: RulesJson,
    #[serde(default)]
    prices: CostsJson,
    #[serde(default)]
    load_info: LoadInfoJson,
}

/// A class of requests, an element of `lanes`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassJson {
    name: String,
    on_time_s: f64,
    hard_limit_s: f64,
    #[serde(default)]
    late_worth: f64,
    effect: IdempotencyJson,
    #[serde(default)]
    dedup_scope: Option<String>,
    #[serde(default)]
    window_s: Option<f64>,
}

/// Whether requests of a class may be executed more than once.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum IdempotencyJson {
    Idempotent,
    Deduplicated,
    AtMostOnce,
}

/// How lists of upstreams arrive: pushed (`automatic`) or by subscription.
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum DiscoveryJson {
    Automatic,
    Subscribe,
}

/// A tenant, an element of `projects`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct TenantJson {
    name: String,
    #[serde(default)]
    quota_per_s: Option<f64>,
}

/// What calls from tier to tier carry.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct FamilyInfoJson {
    passes_deadline: bool,
}

/// What the site supports and permits.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CapabilitiesJson {
    try_limit: u32,
    #[serde(default)]
    second_copies: bool,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    may_probe: bool,
    #[serde(default)]
    may_tell: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(default = "default_keepalive_s")]
    keepalive_s: f64,
    #[serde(default = "default_multiplex")]
    multiplex: u32,
    #[serde(default = "default_dial_timeout_s")]
    dial_timeout_s: f64,
}

/// Parameters of the rules that the site enforces.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RulesJson {
    #[serde(default)]
    answer_slack_s: f64,
    #[serde(default)]
    drain_grace_s: f64,
    #[serde(default)]
    ask_within_s: Option<f64>,
    cold_share: f64,
    cold_s: f64,
    fall_multiple: f64,
    overload_for_s: f64,
}

/// Costs to weigh when choosing an upstream.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct CostsJson {
    cross_zone: f64,
    waste: f64,
    late_fail: f64,
    handshake: f64,
    probe: f64,
}

/// What load reports contain.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct LoadInfoJson {
    fields: Vec<String>,
}

fn default_over_share_worth() -> f64 {
    1.0
}

fn default_keepalive_s() -> f64 {
    15.0
}

fn default_dial_timeout_s() -> f64 {
    0.25
}

fn default_multiplex() -> u32 {
    100
}

/// The names used in the settings, with their indices there.
#[derive(Debug)]
pub struct Names {
    /// The index of each class in [`Settings::classes`].
    pub classes: FxHashMap<String, usize>,
    /// The index of each tenant in [`Settings::tenants`].
    pub tenants: FxHashMap<String, usize>,
    /// The index of each zone.
    pub zones: FxHashMap<String, usize>,
    /// The index of each machine type.
    pub machine_types: FxHashMap<String, usize>,
    /// The names of the values of a load report, in the order in which they are sent.
    pub load_fields: Vec<String>,
}

/// The content of a settings object.
#[derive(Debug)]
pub struct ParsedSettings {
    /// The settings of the decision library.
    pub settings: Settings,
    /// The names behind the indices in `settings`.
    pub names: Names,
    /// The maximum time for opening a connection.
    pub connect_timeout: Duration,
}

/// Sets the field of a load report that the settings call `name`; unknown names are ignored.
pub fn set_load_field(report: &mut LoadReport, name: &str, value: f64) {
    match name {
        "active" => report.active_requests = Some(value),
        "waiting" => report.queued_requests = Some(value),
        "cpu" => report.utilization = Some(value),
        "avg_ms" => report.service_time = Duration::try_from_secs_f64(value / 1000.0).ok(),
        "rps" => report.request_rate = Some(value),
        "err_rps" => report.error_rate = Some(value),
        _ => {}
    }
}

/// Parses a settings object.
///
/// # Errors
/// The text is not JSON of the expected structure, or a value is invalid.
pub fn parse_settings(text: &str) -> Result<ParsedSettings, SetupError> {
    let json: SettingsJson = serde_json::from_str(text)?;
    let zones = index_by_name("zones", json.zones.iter())?;
    let zone = *zones.get(&json.zone).ok_or_else(|| invalid_value("zone", &json.zone))?;
    let names = Names {
        classes: index_by_name("lanes", json.lanes.iter().map(|class| &class.name))?,
        tenants: index_by_name("projects", json.projects.iter().map(|tenant| &tenant.name))?,
        machine_types: index_by_name("kinds", json.kinds.iter())?,
        load_fields: json.load_info.fields,
        zones,
    };
    let settings = Settings {
        replica_index: json.me,
        replica_count: json.balancers,
        tier: json.tier,
        zone: ZoneId(zone),
        zone_count: json.zones.len(),
        machine_type_count: json.kinds.len(),
        classes: json.lanes.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: json.projects.iter().map(|tenant| Tenant { quota: tenant.quota_per_s }).collect(),
        over_quota_value: json.over_share_worth,
        discovery: match json.discovery {
            DiscoveryJson::Automatic => DiscoveryMode::Push,
            DiscoveryJson::Subscribe => DiscoveryMode::Subscribe,
        },
        propagates_deadline: json.family_info.passes_deadline,
        capabilities: Capabilities {
            max_attempts: json.caps.try_limit,
            hedging: json.caps.second_copies,
            cancellation: json.caps.cancel,
            probes: json.caps.may_probe,
            peer_messages: json.caps.may_tell,
            keepalive_timeout: parse_seconds("caps.keepaliveS", json.caps.keepalive_s)?,
            max_concurrent_streams: json.caps.multiplex,
            max_retry_after: if json.caps.retry_after {
                Some(parse_seconds("caps.maxRetryAfterS", json.caps.max_retry_after_s)?)
            } else {
                None
            },
        },
        rules: Rules {
            deadline_grace: parse_seconds("rules.answerSlackS", json.rules.answer_slack_s)?,
            drain_grace: parse_seconds("rules.drainGraceS", json.rules.drain_grace_s)?,
            max_poll_interval: json
                .rules
                .ask_within_s
                .map(|seconds| parse_seconds("rules.askWithinS", seconds))
                .transpose()?,
            slow_start_min_fraction: json.rules.cold_share,
            slow_start_duration: parse_seconds("rules.coldS", json.rules.cold_s)?,
            overload_factor: json.rules.fall_multiple,
            overload_duration: parse_seconds("rules.overloadForS", json.rules.overload_for_s)?,
        },
        costs: Costs {
            cross_zone: json.prices.cross_zone,
            wasted_work: json.prices.waste,
            late_failure: json.prices.late_fail,
            handshake: json.prices.handshake,
            probe: json.prices.probe,
        },
    };
    let connect_timeout = parse_seconds("caps.dialTimeoutS", json.caps.dial_timeout_s)?;
    Ok(ParsedSettings { settings, names, connect_timeout })
}

fn parse_class(class: &ClassJson) -> Result<Class, SetupError> {
    let idempotency = match class.effect {
        IdempotencyJson::Idempotent => Idempotency::Idempotent,
        IdempotencyJson::AtMostOnce => Idempotency::NonIdempotent,
        IdempotencyJson::Deduplicated => Idempotency::Deduplicated {
            scope: match class.dedup_scope.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                other => return Err(invalid_value("dedupScope", other.unwrap_or("-"))),
            },
            window: parse_seconds("windowS", class.window_s.unwrap_or(0.0))?,
        },
    };
    Ok(Class {
        latency_target: parse_seconds("onTimeS", class.on_time_s)?,
        deadline: parse_seconds("hardLimitS", class.hard_limit_s)?,
        late_value: class.late_worth,
        idempotency,
    })
}

fn parse_seconds(name: &str, seconds: f64) -> Result<Duration, SetupError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid_value(name, &seconds.to_string()))
}

fn invalid_value(name: &str, value: &str) -> SetupError {
    SetupError::InvalidValue { name: name.to_owned(), value: value.to_owned() }
}

/// Maps each name to its index in the list. A duplicate is an error: the entry at its first index would never
/// be used.
fn index_by_name<'a>(
    list: &str,
    names: impl Iterator<Item = &'a String>,
) -> Result<FxHashMap<String, usize>, SetupError> {
    let mut indices = FxHashMap::default();
    for (index, name) in names.enumerate() {
        if indices.insert(name.clone(), index).is_some() {
            return Err(invalid_value(list, name));
        }
    }
    Ok(indices)
}
