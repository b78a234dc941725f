//! The report of a run: one JSON file, from what was measured.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use self::calls::CallSummary;
use crate::hollow::HollowEnd;
use crate::record::{ControlUsage, DurationHistogram, Measured, ProcessUsage, carrier_index};
use crate::scenario::Scenario;
use crate::topology::{Carrier, CopyId};

mod calls;
mod figures;
mod recovery;

pub use calls::{Counts, Series};
pub use figures::{AddedLatency, Delay, Latency, MeanMax};
pub use recovery::{FaultSpan, Recovery, ServedShare};

/// Depths whose latency is always named.
const REPORTED_DEPTHS: [u32; 3] = [1, 9, 27];

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// What a report is made from, beside what was measured.
#[derive(Debug, Clone)]
pub struct Run<'a> {
    /// The scenario.
    pub scenario: &'a Scenario,
    /// Start of the load; `None` if it never came to it.
    pub start: Option<Instant>,
    /// Seconds of load that were played.
    pub load_duration_s: f64,
    /// When the faults began and ended.
    pub faults: Vec<FaultSpan>,
    /// What control carried for each copy during the load.
    pub control_usage: Vec<ControlUsage>,
    /// Seconds of processor time of the hollow copies' threads during the load.
    pub hollow_core_s: f64,
    /// Copies that had not been told the latest version of their list at the end.
    pub balancers_with_stale_list: Option<usize>,
    /// What the hollow copies had left when they were stopped.
    pub hollow_end: Option<HollowEnd>,
    /// What the tool itself used during the load, and its memory at the end of it.
    pub tool_usage: Option<ProcessUsage>,
    /// Why the run did not come to its end.
    pub partial_reason: Option<String>,
}

/// Attempts at each hop over the calls that were made at that hop.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AttemptsPerCall {
    /// By hop, from 1.
    pub by_hop: BTreeMap<u32, f64>,
    /// Attempts at the deepest hop over the first-hop calls of that depth.
    pub deepest_over_first: Option<f64>,
}

/// New settings.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SettingsInForce {
    /// From the new settings to when a copy decides by them; `None` if none ever did.
    #[serde(flatten)]
    pub delay: Option<Delay>,
    /// Copies that never did.
    pub missed: u64,
}

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The scenario's name.
    pub name: String,
    /// What was scaled down from the modelled fleet, and by how much.
    pub scale: String,
    /// The seed of all chance.
    pub seed: u64,
    /// Seconds of load that were played.
    pub duration_s: f64,
    /// The run did not come to its end.
    pub partial: bool,
    /// Why it did not.
    pub partial_reason: Option<String>,
    /// Real balancers.
    pub real: u32,
    /// Hollow balancers.
    pub hollow: u32,
    /// All calls.
    #[serde(flatten)]
    pub all: Counts,
    /// Calls to real balancers.
    pub real_calls: Counts,
    /// Calls to hollow balancers.
    pub hollow_calls: Counts,
    /// Requests that must not run twice and did.
    pub duplicated: u64,
    /// Cold nodes that were pushed over.
    pub cold_falls: u64,
    /// What one hop through a real balancer adds.
    pub added_latency_us: Option<AddedLatency>,
    /// One hop through a real balancer.
    pub one_hop_latency_us: Option<Latency>,
    /// The same calls sent straight to a node.
    pub direct_latency_us: Option<Latency>,
    /// By how much the client was late with calls to sockets: if it is not small beside the times of calls, the
    /// machine did not carry the load.
    pub client_lag_us: Option<Latency>,
    /// Calls that the client never sent because too many were out; they count as failed.
    pub client_unsent: u64,
    /// Calls through real balancers by depth.
    pub depth_latency_us: BTreeMap<u32, Option<Latency>>,
    /// Calls through hollow balancers by depth, in modelled time.
    pub hollow_depth_latency_us: BTreeMap<u32, Option<Latency>>,
    /// Attempts of real balancers.
    pub attempts_per_call: AttemptsPerCall,
    /// Attempts of hollow balancers.
    pub hollow_attempts_per_call: AttemptsPerCall,
    /// Bytes a second from control to a copy: mean and highest over the copies.
    pub control_bytes_per_s: Option<MeanMax>,
    /// Calls to control during the load, by all copies.
    pub control_calls: u64,
    /// Of these, turned away with 503.
    #[serde(rename = "control_turned_away")]
    pub control_rejected_calls: u64,
    /// Percent of a core of a real balancer without calls: mean and highest over the copies; `None` with calls.
    pub control_core_percent: Option<MeanMax>,
    /// Percent of a core of a real balancer, calls or not.
    pub balancer_core_percent: Option<MeanMax>,
    /// Percent of a core of the hollow copies' threads, by copy.
    pub hollow_core_percent: Option<f64>,
    /// The longest time by which the hollow copies' thread was late, in milliseconds: if it is not small beside the
    /// times of calls, the machine did not carry the load.
    #[serde(rename = "hollow_behind_ms")]
    pub hollow_max_lag_ms: Option<f64>,
    /// Calls to hollow copies that had no end when they were stopped; they are in no figure.
    pub hollow_open_calls: Option<usize>,
    /// Resident memory of a real balancer in megabytes: mean and highest over all looks.
    pub memory_mb: Option<MeanMax>,
    /// Descriptors of a real balancer.
    pub descriptors: Option<MeanMax>,
    /// Wake-ups a second of a real balancer.
    pub wakeups_per_s: Option<MeanMax>,
    /// Percent of a core of the tool itself: clients, nodes, control and hollow copies.
    pub tool_core_percent: Option<f64>,
    /// Resident memory of the tool itself at the end of the load, in megabytes.
    pub tool_memory_mb: Option<f64>,
    /// Changes of lists that were made.
    pub list_changes: u64,
    /// Copies that had not been told the latest version of their list at the end.
    #[serde(rename = "lists_behind")]
    pub balancers_with_stale_list: Option<usize>,
    /// From a list change to its arrival at a copy.
    #[serde(rename = "told_s")]
    pub list_delivery_s: Option<Delay>,
    /// From a list change to when a copy decides by it.
    #[serde(rename = "in_force_s")]
    pub list_in_force_s: Option<Delay>,
    /// From new settings to when a copy decides by them.
    pub settings_in_force_s: SettingsInForce,
    /// What each fault did to the share of calls served.
    pub recovery_s: Vec<Recovery>,
    /// Calls by the second in which they were due.
    pub series: Series,
}

impl Report {
    /// Puts the figures of a run together.
    #[must_use]
    pub fn of(run: &Run<'_>, measured: &Measured) -> Self {
        let scenario = run.scenario;
        let calls = CallSummary::of(run, &measured.calls);
        let one_hop = Latency::of(&measured.one_hop_latency_us);
        let direct = Latency::of(&measured.direct_latency_us);
        let balancer_core = stats_by_balancer(&measured.process_samples, |usage| usage.core_percent);
        let without_calls = scenario.load.real_calls_per_s == 0.0 && scenario.load.direct_calls_per_s == 0.0;
        let sample_stats = |value: fn(&ProcessUsage) -> f64| {
            MeanMax::of(measured.process_samples.iter().map(|(_, usage)| value(usage)))
        };
        let hollow_copies = f64::from(scenario.fleet.hollow);
        let hollow_core = 100.0 * run.hollow_core_s / run.load_duration_s / hollow_copies;
        Self {
            name: scenario.name.clone(),
            scale: scenario.scale.clone(),
            seed: scenario.seed,
            duration_s: run.load_duration_s,
            partial: run.partial_reason.is_some(),
            partial_reason: run.partial_reason.clone(),
            real: scenario.fleet.real,
            hollow: scenario.fleet.hollow,
            all: calls.all,
            real_calls: calls.by_carrier[carrier_index(Carrier::Real)],
            hollow_calls: calls.by_carrier[carrier_index(Carrier::Hollow)],
            duplicated: measured.duplicated,
            cold_falls: measured.cold_falls,
            added_latency_us: AddedLatency::of(one_hop, direct),
            one_hop_latency_us: one_hop,
            direct_latency_us: direct,
            client_lag_us: Latency::of(&measured.client_lag_us),
            client_unsent: measured.client_unsent,
            depth_latency_us: by_depth(&measured.latency_by_hops_us),
            hollow_depth_latency_us: by_depth(&calls.hollow_latency_us),
            attempts_per_call: attempts_per_call(measured, Carrier::Real),
            hollow_attempts_per_call: attempts_per_call(measured, Carrier::Hollow),
            control_bytes_per_s: MeanMax::of(
                run.control_usage
                    .iter()
                    .map(|usage| usage.bytes as f64 / run.load_duration_s)
                    .filter(|rate| rate.is_finite()),
            ),
            control_calls: run.control_usage.iter().map(|usage| usage.calls).sum(),
            control_rejected_calls: run.control_usage.iter().map(|usage| usage.rejected_calls).sum(),
            control_core_percent: balancer_core.filter(|_| without_calls),
            balancer_core_percent: balancer_core,
            hollow_core_percent: hollow_core.is_finite().then_some(hollow_core),
            hollow_max_lag_ms: run.hollow_end.map(|end| end.behind.as_secs_f64() * MS_PER_S),
            hollow_open_calls: run.hollow_end.map(|end| end.open_calls),
            memory_mb: sample_stats(|usage| usage.memory_mb),
            descriptors: sample_stats(|usage| usage.descriptors as f64),
            wakeups_per_s: sample_stats(|usage| usage.wakeups_per_s),
            tool_core_percent: run.tool_usage.map(|usage| usage.core_percent),
            tool_memory_mb: run.tool_usage.map(|usage| usage.memory_mb),
            list_changes: measured.list_changes,
            balancers_with_stale_list: run.balancers_with_stale_list,
            list_delivery_s: Delay::of(&measured.list_delivery_us),
            list_in_force_s: Delay::of(&measured.list_in_force_us),
            settings_in_force_s: SettingsInForce {
                delay: Delay::of(&measured.settings_in_force_us),
                missed: measured.settings_missed,
            },
            recovery_s: run.faults.iter().map(|fault| calls.served_share.recovery(*fault)).collect(),
            series: calls.series,
        }
    }
}

fn by_depth(times: &BTreeMap<u32, DurationHistogram>) -> BTreeMap<u32, Option<Latency>> {
    let mut latencies: BTreeMap<u32, Option<Latency>> =
        REPORTED_DEPTHS.into_iter().map(|hops| (hops, None)).collect();
    latencies.extend(times.iter().map(|(hops, times)| (*hops, Latency::of(times))));
    latencies
}

fn attempts_per_call(measured: &Measured, carrier: Carrier) -> AttemptsPerCall {
    let calls = &measured.hop_calls[carrier_index(carrier)];
    let attempts = &measured.attempts[carrier_index(carrier)];
    let share = |hop: &u32, calls: u64| attempts.get(hop).map(|attempts| *attempts as f64 / calls as f64);
    let by_hop = calls.iter().filter_map(|(hop, calls)| Some((*hop, share(hop, *calls)?))).collect();
    let carrier_calls = || measured.calls.iter().filter(|call| call.carrier == carrier);
    let deepest = carrier_calls().map(|call| call.hops).max();
    let deepest_over_first = deepest.and_then(|deepest| {
        let first = carrier_calls().filter(|call| call.hops == deepest).count();
        share(&deepest, first as u64)
    });
    AttemptsPerCall { by_hop, deepest_over_first }
}

/// The mean and the highest over the copies, of each copy's mean over its looks.
fn stats_by_balancer(samples: &[(CopyId, ProcessUsage)], value: fn(&ProcessUsage) -> f64) -> Option<MeanMax> {
    let mut copies: BTreeMap<CopyId, Vec<f64>> = BTreeMap::new();
    for (copy, usage) in samples {
        copies.entry(*copy).or_default().push(value(usage));
    }
    MeanMax::of(copies.into_values().filter_map(|values| MeanMax::of(values).map(|stats| stats.mean)))
}
