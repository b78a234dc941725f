//! Measurements of a run. Every part of the tool adds its own to one shared [`Record`].

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::topology::{BalancerId, BalancerKind};

/// Longest duration that the histograms can hold, in microseconds; longer ones count as this one.
const MAX_DURATION_US: u64 = 600_000_000;
/// Significant decimal digits that the histograms keep.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a client's call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallOutcome {
    /// Answered with 200 before the deadline.
    Served,
    /// Answered with 429 or 503, after the client's retries, if any.
    Refused,
    /// Any other answer, or no answer before the deadline.
    Failed,
    /// Accepted by a server, but still unanswered half a second after the deadline.
    Lost,
    /// The client closed its connection before the answer.
    ClientDisconnected,
}

/// The outcome of a call by a client (the first hop), including the client's own retries.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Whether the call went to a real or a hollow (simulated, in-process) balancer.
    pub balancer_kind: BalancerKind,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// How the call ended.
    pub outcome: CallOutcome,
    /// Time from the scheduled arrival of the call to its end.
    pub latency: Duration,
    /// When the call ended.
    pub ended_at: Instant,
}

/// Resource usage of a process since the previous sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// Processor time, in percent of one core.
    pub core_percent: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Open file descriptors.
    pub descriptors: u64,
    /// Voluntary context switches per second.
    pub wakeups_per_s: f64,
}

/// Traffic between the control plane and one balancer over the run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ControlUsage {
    /// Bytes that the control plane wrote to the balancer.
    pub bytes: u64,
    /// Calls that the balancer made to the control plane.
    pub calls: u64,
    /// Calls that the control plane answered with 503.
    pub rejected_calls: u64,
}

/// Everything that is measured in a run.
#[derive(Debug, Default)]
pub struct Measured {
    /// Calls of clients with their outcomes.
    pub calls: Vec<Call>,
    /// From the scheduled arrival of a call to when the client started it, in microseconds.
    pub client_lag_us: DurationHistogram,
    /// Calls that the client never sent because too many were in flight; they count as failed.
    pub client_unsent: u64,
    /// Requests that were sent once more because their connection was closed before they were read.
    pub client_resent: u64,
    /// Latency of served one-hop calls through a real balancer, in microseconds.
    pub one_hop_latency_us: DurationHistogram,
    /// Latency of one-hop calls that were sent directly to a node, in microseconds.
    pub direct_latency_us: DurationHistogram,
    /// Latency of served calls through real balancers by number of hops, in microseconds.
    pub latency_by_hops_us: BTreeMap<u32, DurationHistogram>,
    /// Attempts that reached a node, by kind of balancer (real first) and hop.
    pub attempts: [BTreeMap<u32, u64>; 2],
    /// Calls that were made at a hop, by kind of balancer (real first) and hop.
    pub hop_calls: [BTreeMap<u32, u64>; 2],
    /// Requests that must not run twice and did.
    pub duplicated: u64,
    /// Cold (freshly started) nodes that went down because they got more requests than they can handle.
    pub cold_node_collapses: u64,
    /// Changes of endpoint lists since the start of the load.
    pub list_changes: u64,
    /// From a list change to its arrival at a balancer, in microseconds.
    pub list_delivery_us: DurationHistogram,
    /// From a list change to when a balancer decides by it, in microseconds.
    pub list_in_force_us: DurationHistogram,
    /// From new settings to when a balancer decides by them, in microseconds.
    pub settings_in_force_us: DurationHistogram,
    /// Balancers that never started to decide by new settings.
    pub balancers_without_new_settings: u64,
    /// Usage samples of the real balancers' processes.
    pub process_samples: Vec<(BalancerId, ProcessUsage)>,
    /// Processor time of the hollow balancers' threads, in seconds.
    pub hollow_cpu_s: f64,
}

/// A histogram of durations in microseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the constant bounds are valid"))
    }
}

impl DurationHistogram {
    /// Adds a measured duration to the histogram.
    pub fn add(&mut self, duration: Duration) {
        self.0.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(MAX_DURATION_US).max(1));
    }

    /// The duration in microseconds that `percent` of the added ones do not exceed; `None` if there are none.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> Option<u64> {
        (!self.0.is_empty()).then(|| self.0.value_at_percentile(percent))
    }

    /// Number of durations that were added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// Shared, locked [`Measured`] that all parts of a run write to.
#[derive(Debug, Default)]
pub struct Record(Mutex<Measured>);

impl Record {
    /// Locks the measurements. Callers must not wait for anything while they hold the lock.
    pub fn measured(&self) -> MutexGuard<'_, Measured> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a client's call that has ended.
    pub fn add_call(&self, call: Call) {
        let mut measured = self.measured();
        if call.outcome == CallOutcome::Served && call.balancer_kind == BalancerKind::Real {
            measured.latency_by_hops_us.entry(call.hops).or_default().add(call.latency);
            if call.hops == 1 {
                measured.one_hop_latency_us.add(call.latency);
            }
        }
        measured.calls.push(call);
    }

    /// Counts a call that was made at this hop; the first hop is 1.
    pub fn count_hop_call(&self, balancer_kind: BalancerKind, hop: u32) {
        *self.measured().hop_calls[balancer_kind_index(balancer_kind)].entry(hop).or_default() += 1;
    }

    /// Counts an attempt that has reached a node at this hop; the first hop is 1.
    pub fn count_attempt(&self, balancer_kind: BalancerKind, hop: u32) {
        *self.measured().attempts[balancer_kind_index(balancer_kind)].entry(hop).or_default() += 1;
    }
}

/// Index of a kind of balancer in the arrays of [`Measured`].
#[must_use]
pub fn balancer_kind_index(balancer_kind: BalancerKind) -> usize {
    match balancer_kind {
        BalancerKind::Real => 0,
        BalancerKind::Hollow => 1,
    }
}
