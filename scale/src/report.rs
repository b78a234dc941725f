//! The report of a run, built from its measurements and written as one JSON file.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use self::calls::CallSummary;
use crate::hollow::HollowSummary;
use crate::record::{ControlUsage, DurationHistogram, Measured, ProcessUsage, balancer_kind_index};
use crate::scenario::Scenario;
use crate::topology::{BalancerId, BalancerKind};

mod calls;
mod figures;
mod recovery;

pub use calls::{Counts, Series};
pub use figures::{AddedLatency, Delay, Latency, MeanMax};
pub use recovery::{FaultPeriod, Recovery, ServedShare};

/// Call depths (in hops) that the report always lists, even without calls of that depth.
const REPORTED_DEPTHS: [u32; 3] = [1, 9, 27];

/// Milliseconds in a second.
const MS_PER_S: f64 = 1000.0;

/// Facts about a run that a report needs besides the measurements.
#[derive(Debug, Clone)]
pub struct Run<'a> {
    /// Scenario that was run.
    pub scenario: &'a Scenario,
    /// Start of the load; `None` if the run ended before it.
    pub start: Option<Instant>,
    /// Seconds for which the load ran.
    pub load_duration_s: f64,
    /// Start and end of each fault.
    pub faults: Vec<FaultPeriod>,
    /// Traffic between the control plane and each balancer during the load.
    pub control_usage: Vec<ControlUsage>,
    /// Seconds of processor time of the hollow balancers' threads during the load.
    pub hollow_cpu_s: f64,
    /// Balancers to which the latest version of their list had not been sent at the end of the run.
    pub balancers_with_stale_list: Option<usize>,
    /// State of the hollow balancers when they were stopped.
    pub hollow_summary: Option<HollowSummary>,
    /// Resources that the tool itself used during the load, with its memory at the end of the load.
    pub tool_usage: Option<ProcessUsage>,
    /// Why the run ended early; `None` if it completed.
    pub partial_reason: Option<String>,
}

/// Attempts divided by calls at each hop; shows how far retries multiply with depth.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct AttemptsPerCall {
    /// Attempts divided by calls at each hop; the first hop is 1.
    pub by_hop: BTreeMap<u32, f64>,
    /// Attempts at the deepest hop divided by the clients' calls of that depth.
    pub deepest_over_first: Option<f64>,
}

/// How long new settings took to come into force.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct SettingsInForce {
    /// Time from new settings to when a balancer decides by them; `None` if none ever did.
    #[serde(flatten)]
    pub delay: Option<Delay>,
    /// Balancers that never decided by the new settings.
    pub missed: u64,
}

/// The report of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the scenario.
    pub name: String,
    /// What was scaled down from the modelled fleet, and by how much.
    pub scale: String,
    /// Seed of all random numbers.
    pub seed: u64,
    /// Seconds for which the load ran.
    pub duration_s: f64,
    /// Whether the run ended early.
    pub partial: bool,
    /// Why the run ended early.
    pub partial_reason: Option<String>,
    /// Number of real balancers (processes of the balancer program).
    pub real: u32,
    /// Number of hollow balancers (simulated inside the tool).
    pub hollow: u32,
    /// All calls of clients.
    #[serde(flatten)]
    pub all: Counts,
    /// Calls to real balancers.
    pub real_calls: Counts,
    /// Calls to hollow balancers.
    pub hollow_calls: Counts,
    /// Requests that must not run twice and did.
    pub duplicated: u64,
    /// Cold (freshly started) nodes that went down because they got more requests than they can handle.
    #[serde(rename = "cold_falls")]
    pub cold_node_collapses: u64,
    /// Latency that one hop through a real balancer adds.
    pub added_latency_us: Option<AddedLatency>,
    /// Latency of one-hop calls through a real balancer.
    pub one_hop_latency_us: Option<Latency>,
    /// Latency of one-hop calls sent directly to a node, without a balancer.
    pub direct_latency_us: Option<Latency>,
    /// Delay between the scheduled arrival of calls on sockets and their start by the client. Unless it is small
    /// compared with the latency of calls, the machine was too slow for the load.
    pub client_lag_us: Option<Latency>,
    /// Calls that the client never sent because too many were in flight; they count as failed.
    pub client_unsent: u64,
    /// Latency of calls through real balancers by number of hops.
    pub depth_latency_us: BTreeMap<u32, Option<Latency>>,
    /// Latency of calls through hollow balancers by number of hops, in modelled time.
    pub hollow_depth_latency_us: BTreeMap<u32, Option<Latency>>,
    /// Attempts per call of real balancers.
    pub attempts_per_call: AttemptsPerCall,
    /// Attempts per call of hollow balancers.
    pub hollow_attempts_per_call: AttemptsPerCall,
    /// Bytes per second from the control plane to a balancer: mean and maximum over the balancers.
    pub control_bytes_per_s: Option<MeanMax>,
    /// Calls of all balancers to the control plane during the load.
    pub control_calls: u64,
    /// Calls of all balancers during the load that the control plane answered with 503.
    #[serde(rename = "control_turned_away")]
    pub control_rejected_calls: u64,
    /// Percent of a core that a real balancer uses without calls, for discovery alone: mean and maximum over the
    /// balancers; `None` if the scenario has calls.
    pub control_core_percent: Option<MeanMax>,
    /// Percent of a core that a real balancer uses, with or without calls: mean and maximum over the balancers.
    pub balancer_core_percent: Option<MeanMax>,
    /// Percent of a core that the hollow balancers' threads use, per hollow balancer.
    pub hollow_core_percent: Option<f64>,
    /// Longest time by which the hollow balancers' thread handled an event late, in milliseconds. Unless it is small
    /// compared with the latency of calls, the machine was too slow for the load.
    #[serde(rename = "hollow_behind_ms")]
    pub hollow_max_lag_ms: Option<f64>,
    /// Calls to hollow balancers still in flight when those were stopped; no other figure counts them.
    pub hollow_open_calls: Option<usize>,
    /// Resident memory of a real balancer in megabytes: mean and maximum over all samples.
    pub memory_mb: Option<MeanMax>,
    /// Open file descriptors of a real balancer: mean and maximum over all samples.
    pub descriptors: Option<MeanMax>,
    /// Wake-ups per second of a real balancer: mean and maximum over all samples.
    pub wakeups_per_s: Option<MeanMax>,
    /// Percent of a core that the tool itself uses: clients, nodes, control plane and hollow balancers.
    pub tool_core_percent: Option<f64>,
    /// Resident memory of the tool itself at the end of the load, in megabytes.
    pub tool_memory_mb: Option<f64>,
    /// Number of list changes that were published.
    pub list_changes: u64,
    /// Balancers to which the latest version of their list had not been sent at the end of the run.
    #[serde(rename = "lists_behind")]
    pub balancers_with_stale_list: Option<usize>,
    /// Time from a list change to its arrival at a balancer.
    #[serde(rename = "told_s")]
    pub list_delivery_s: Option<Delay>,
    /// Time from a list change to when a balancer decides by it.
    #[serde(rename = "in_force_s")]
    pub list_in_force_s: Option<Delay>,
    /// Time from new settings to when a balancer decides by them.
    pub settings_in_force_s: SettingsInForce,
    /// Effect of each fault on the share of calls served.
    pub recovery_s: Vec<Recovery>,
    /// Calls by the second of their scheduled arrival.
    pub series: Series,
}

impl Report {
    /// Builds the report of a run from its measurements.
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
        let hollow_balancers = f64::from(scenario.fleet.hollow);
        let hollow_core = 100.0 * run.hollow_cpu_s / run.load_duration_s / hollow_balancers;
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
            real_calls: calls.by_balancer_kind[balancer_kind_index(BalancerKind::Real)],
            hollow_calls: calls.by_balancer_kind[balancer_kind_index(BalancerKind::Hollow)],
            duplicated: measured.duplicated,
            cold_node_collapses: measured.cold_node_collapses,
            added_latency_us: AddedLatency::of(one_hop, direct),
            one_hop_latency_us: one_hop,
            direct_latency_us: direct,
            client_lag_us: Latency::of(&measured.client_lag_us),
            client_unsent: measured.client_unsent,
            depth_latency_us: latency_by_depth(&measured.latency_by_hops_us),
            hollow_depth_latency_us: latency_by_depth(&calls.hollow_latency_us),
            attempts_per_call: attempts_per_call(measured, BalancerKind::Real),
            hollow_attempts_per_call: attempts_per_call(measured, BalancerKind::Hollow),
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
            hollow_max_lag_ms: run
                .hollow_summary
                .map(|summary| summary.max_lateness.as_secs_f64() * MS_PER_S),
            hollow_open_calls: run.hollow_summary.map(|summary| summary.open_calls),
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
                missed: measured.balancers_without_new_settings,
            },
            recovery_s: run.faults.iter().map(|fault| calls.served_share.recovery(*fault)).collect(),
            series: calls.series,
        }
    }
}

fn latency_by_depth(histograms: &BTreeMap<u32, DurationHistogram>) -> BTreeMap<u32, Option<Latency>> {
    let mut latencies: BTreeMap<u32, Option<Latency>> =
        REPORTED_DEPTHS.into_iter().map(|hops| (hops, None)).collect();
    latencies.extend(histograms.iter().map(|(hops, histogram)| (*hops, Latency::of(histogram))));
    latencies
}

fn attempts_per_call(measured: &Measured, balancer_kind: BalancerKind) -> AttemptsPerCall {
    let calls = &measured.hop_calls[balancer_kind_index(balancer_kind)];
    let attempts = &measured.attempts[balancer_kind_index(balancer_kind)];
    let ratio = |hop: &u32, calls: u64| attempts.get(hop).map(|attempts| *attempts as f64 / calls as f64);
    let by_hop = calls.iter().filter_map(|(hop, calls)| Some((*hop, ratio(hop, *calls)?))).collect();
    let calls_of_kind = || measured.calls.iter().filter(|call| call.balancer_kind == balancer_kind);
    let max_hops = calls_of_kind().map(|call| call.hops).max();
    let deepest_over_first = max_hops.and_then(|max_hops| {
        let deepest_calls = calls_of_kind().filter(|call| call.hops == max_hops).count();
        ratio(&max_hops, deepest_calls as u64)
    });
    AttemptsPerCall { by_hop, deepest_over_first }
}

/// Mean and maximum over the balancers of each balancer's mean over its samples.
fn stats_by_balancer(
    samples: &[(BalancerId, ProcessUsage)],
    value: fn(&ProcessUsage) -> f64,
) -> Option<MeanMax> {
    let mut values_by_balancer: BTreeMap<BalancerId, Vec<f64>> = BTreeMap::new();
    for (balancer, usage) in samples {
        values_by_balancer.entry(*balancer).or_default().push(value(usage));
    }
    MeanMax::of(
        values_by_balancer.into_values().filter_map(|values| MeanMax::of(values).map(|stats| stats.mean)),
    )
}
