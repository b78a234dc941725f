//! Parses the settings of a balancer instance from JSON into the [`Settings`] of the decision library.
//!
//! The `START` message of the simulator and the configuration of a real balancer contain the same object, so
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

/// The settings object as written in JSON. The fields of this and the following types have the names that the
/// decision library uses; where a JSON key differs, an attribute gives it.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct SettingsJson {
    #[serde(rename = "balancers")]
    replica_count: u32,
    #[serde(rename = "me")]
    replica_index: u32,
    #[serde(default)]
    tier: usize,
    zone: String,
    zones: Vec<String>,
    #[serde(rename = "kinds", default)]
    machine_types: Vec<String>,
    #[serde(rename = "lanes")]
    classes: Vec<ClassJson>,
    #[serde(rename = "projects", default)]
    tenants: Vec<TenantJson>,
    #[serde(rename = "overShareWorth", default = "default_over_quota_value")]
    over_quota_value: f64,
    discovery: DiscoveryJson,
    #[serde(rename = "familyInfo", default)]
    inter_tier_calls: InterTierCallsJson,
    #[serde(rename = "caps")]
    capabilities: CapabilitiesJson,
    rules: RulesJson,
    #[serde(rename = "prices", default)]
    costs: CostsJson,
    #[serde(rename = "loadInfo", default)]
    load_reports: LoadReportsJson,
}

/// A class of requests, an element of `lanes`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct ClassJson {
    name: String,
    #[serde(rename = "onTimeS")]
    latency_target_s: f64,
    #[serde(rename = "hardLimitS")]
    deadline_s: f64,
    #[serde(rename = "lateWorth", default)]
    late_value: f64,
    #[serde(rename = "effect")]
    idempotency: IdempotencyJson,
    #[serde(default)]
    dedup_scope: Option<String>,
    #[serde(rename = "windowS", default)]
    dedup_window_s: Option<f64>,
}

/// Whether requests of a class may be executed more than once.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum IdempotencyJson {
    Idempotent,
    Deduplicated,
    #[serde(rename = "at_most_once")]
    NonIdempotent,
}

/// How lists of upstreams arrive: pushed (`automatic`) or by subscription (`subscribe`).
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum DiscoveryJson {
    #[serde(rename = "automatic")]
    Push,
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

/// What calls from tier to tier carry, the object `familyInfo`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct InterTierCallsJson {
    #[serde(rename = "passesDeadline")]
    propagate_deadline: bool,
}

/// What the site supports and permits, the object `caps`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct CapabilitiesJson {
    #[serde(rename = "tryLimit")]
    max_attempts: u32,
    #[serde(rename = "secondCopies", default)]
    hedging: bool,
    #[serde(rename = "cancel", default)]
    cancellation: bool,
    #[serde(rename = "mayProbe", default)]
    probes: bool,
    #[serde(rename = "mayTell", default)]
    peer_messages: bool,
    #[serde(rename = "retryAfter", default)]
    send_retry_after: bool,
    #[serde(default)]
    max_retry_after_s: f64,
    #[serde(rename = "keepaliveS", default = "default_keepalive_timeout_s")]
    keepalive_timeout_s: f64,
    #[serde(rename = "multiplex", default = "default_max_concurrent_streams")]
    max_concurrent_streams: u32,
    #[serde(rename = "dialTimeoutS", default = "default_connect_timeout_s")]
    connect_timeout_s: f64,
}

/// Parameters of the rules that the site enforces, the object `rules`.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct RulesJson {
    #[serde(rename = "answerSlackS", default)]
    deadline_grace_s: f64,
    #[serde(default)]
    drain_grace_s: f64,
    #[serde(rename = "askWithinS", default)]
    max_poll_interval_s: Option<f64>,
    #[serde(rename = "coldShare")]
    slow_start_min_fraction: f64,
    #[serde(rename = "coldS")]
    slow_start_duration_s: f64,
    #[serde(rename = "fallMultiple")]
    overload_factor: f64,
    #[serde(rename = "overloadForS")]
    overload_duration_s: f64,
}

/// Costs to weigh when choosing an upstream, the object `prices`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct CostsJson {
    cross_zone: f64,
    #[serde(rename = "waste")]
    wasted_work: f64,
    #[serde(rename = "lateFail")]
    late_failure: f64,
    handshake: f64,
    probe: f64,
}

/// What the load reports of upstreams contain, the object `loadInfo`.
#[derive(Deserialize, Default)]
#[serde(rename_all = "camelCase", default)]
struct LoadReportsJson {
    /// The names of the values, in the order in which they are sent.
    fields: Vec<String>,
}

/// The default of `overShareWorth`: requests beyond the quota keep their full value.
fn default_over_quota_value() -> f64 {
    1.0
}

/// The default of `keepaliveS`, in seconds.
fn default_keepalive_timeout_s() -> f64 {
    15.0
}

/// The default of `dialTimeoutS`, in seconds.
fn default_connect_timeout_s() -> f64 {
    0.25
}

/// The default of `multiplex`, in attempts per connection.
fn default_max_concurrent_streams() -> u32 {
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
    /// The maximum time for opening a connection to an upstream.
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
        classes: index_by_name("lanes", json.classes.iter().map(|class| &class.name))?,
        tenants: index_by_name("projects", json.tenants.iter().map(|tenant| &tenant.name))?,
        machine_types: index_by_name("kinds", json.machine_types.iter())?,
        load_fields: json.load_reports.fields,
        zones,
    };
    let settings = Settings {
        replica_index: json.replica_index,
        replica_count: json.replica_count,
        tier: json.tier,
        zone: ZoneId(zone),
        zone_count: json.zones.len(),
        machine_type_count: json.machine_types.len(),
        classes: json.classes.iter().map(parse_class).collect::<Result<_, _>>()?,
        tenants: json.tenants.iter().map(|tenant| Tenant { quota: tenant.quota_per_s }).collect(),
        over_quota_value: json.over_quota_value,
        discovery: match json.discovery {
            DiscoveryJson::Push => DiscoveryMode::Push,
            DiscoveryJson::Subscribe => DiscoveryMode::Subscribe,
        },
        propagates_deadline: json.inter_tier_calls.propagate_deadline,
        capabilities: Capabilities {
            max_attempts: json.capabilities.max_attempts,
            hedging: json.capabilities.hedging,
            cancellation: json.capabilities.cancellation,
            probes: json.capabilities.probes,
            peer_messages: json.capabilities.peer_messages,
            keepalive_timeout: parse_seconds("caps.keepaliveS", json.capabilities.keepalive_timeout_s)?,
            max_concurrent_streams: json.capabilities.max_concurrent_streams,
            max_retry_after: if json.capabilities.send_retry_after {
                Some(parse_seconds("caps.maxRetryAfterS", json.capabilities.max_retry_after_s)?)
            } else {
                None
            },
        },
        rules: Rules {
            deadline_grace: parse_seconds("rules.answerSlackS", json.rules.deadline_grace_s)?,
            drain_grace: parse_seconds("rules.drainGraceS", json.rules.drain_grace_s)?,
            max_poll_interval: json
                .rules
                .max_poll_interval_s
                .map(|seconds| parse_seconds("rules.askWithinS", seconds))
                .transpose()?,
            slow_start_min_fraction: json.rules.slow_start_min_fraction,
            slow_start_duration: parse_seconds("rules.coldS", json.rules.slow_start_duration_s)?,
            overload_factor: json.rules.overload_factor,
            overload_duration: parse_seconds("rules.overloadForS", json.rules.overload_duration_s)?,
        },
        costs: Costs {
            cross_zone: json.costs.cross_zone,
            wasted_work: json.costs.wasted_work,
            late_failure: json.costs.late_failure,
            handshake: json.costs.handshake,
            probe: json.costs.probe,
        },
    };
    let connect_timeout = parse_seconds("caps.dialTimeoutS", json.capabilities.connect_timeout_s)?;
    Ok(ParsedSettings { settings, names, connect_timeout })
}

/// Converts a class of the JSON settings to that of the decision library.
fn parse_class(class: &ClassJson) -> Result<Class, SetupError> {
    let idempotency = match class.idempotency {
        IdempotencyJson::Idempotent => Idempotency::Idempotent,
        IdempotencyJson::NonIdempotent => Idempotency::NonIdempotent,
        IdempotencyJson::Deduplicated => Idempotency::Deduplicated {
            scope: match class.dedup_scope.as_deref() {
                Some("all") => DedupScope::All,
                Some("zone") => DedupScope::Zone,
                Some("cell") => DedupScope::Cell,
                other => return Err(invalid_value("dedupScope", other.unwrap_or("-"))),
            },
            window: parse_seconds("windowS", class.dedup_window_s.unwrap_or(0.0))?,
        },
    };
    Ok(Class {
        latency_target: parse_seconds("onTimeS", class.latency_target_s)?,
        deadline: parse_seconds("hardLimitS", class.deadline_s)?,
        late_value: class.late_value,
        idempotency,
    })
}

/// Converts seconds to a duration; `name` is the key that an error names.
fn parse_seconds(name: &str, seconds: f64) -> Result<Duration, SetupError> {
    Duration::try_from_secs_f64(seconds).map_err(|_| invalid_value(name, &seconds.to_string()))
}

/// The error for an invalid value of the key `name`.
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
