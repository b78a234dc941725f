//! What a run measures as it goes; every part of the tool adds to one [`Record`].

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;

use crate::topology::{Carrier, CopyId};

/// Longest time that the histograms tell apart, in microseconds.
const MAX_DURATION_US: u64 = 600_000_000;
/// Significant figures of the histograms.
const SIGNIFICANT_DIGITS: u8 = 3;

/// How a client's call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// Answered with 200 within its time.
    Served,
    /// Answered with 429 or 503.
    Refused,
    /// Any other answer, or none within its time.
    Failed,
    /// Taken and never answered, half a second after its time was up.
    Lost,
    /// The client closed its connection before the answer.
    ClientLeft,
}

/// A first-hop call, its repeats by the client included.
#[derive(Debug, Clone, Copy)]
pub struct Call {
    /// Whether it went to a real or a hollow copy.
    pub carrier: Carrier,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// How it ended.
    pub end: CallEnd,
    /// Time from its drawn arrival to its end.
    pub latency: Duration,
    /// When it ended.
    pub ended_at: Instant,
}

/// One look at a process, over the time since the look before.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ProcessUsage {
    /// Percent of one core.
    pub core_percent: f64,
    /// Resident memory in megabytes.
    pub memory_mb: f64,
    /// Open descriptors.
    pub descriptors: u64,
    /// Voluntary context switches a second.
    pub wakeups_per_s: f64,
}

/// What control carried for one copy over the run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ControlUsage {
    /// Bytes written to it.
    pub bytes: u64,
    /// Calls that it made.
    pub calls: u64,
    /// Calls that were answered with 503.
    pub rejected_calls: u64,
}

/// All that is measured in a run.
#[derive(Debug, Default)]
pub struct Measured {
    /// Calls by how they ended.
    pub calls: Vec<Call>,
    /// From the drawn arrival of a call to when the client took it up, in microseconds.
    pub client_lag_us: DurationHistogram,
    /// Calls that the client never sent because too many were out; they count as failed.
    pub client_unsent: u64,
    /// Requests sent once more because their connection was closed before they were read.
    pub client_resent: u64,
    /// Served calls of one hop through a real balancer, in microseconds.
    pub one_hop_latency_us: DurationHistogram,
    /// The same calls sent straight to a node, in microseconds.
    pub direct_latency_us: DurationHistogram,
    /// Served calls by hops, real part, in microseconds.
    pub latency_by_hops_us: BTreeMap<u32, DurationHistogram>,
    /// Attempts that reached a node, by carrier (real first) and hop.
    pub attempts: [BTreeMap<u32, u64>; 2],
    /// Calls that were made at a hop, by carrier (real first) and hop.
    pub hop_calls: [BTreeMap<u32, u64>; 2],
    /// Requests that must not run twice and did.
    pub duplicated: u64,
    /// Cold nodes that fell.
    pub cold_falls: u64,
    /// Changes of lists that were made since the start of the load.
    pub list_changes: u64,
    /// From a list change to its arrival at a copy, in microseconds.
    pub list_delivery_us: DurationHistogram,
    /// From a list change to when a copy decides by it, in microseconds.
    pub list_in_force_us: DurationHistogram,
    /// From new settings to when a copy decides by them, in microseconds.
    pub settings_in_force_us: DurationHistogram,
    /// Copies that never came to decide by new settings.
    pub settings_missed: u64,
    /// Looks at the real balancers.
    pub process_samples: Vec<(CopyId, ProcessUsage)>,
    /// Seconds of processor time of the hollow copies' threads.
    pub hollow_core_s: f64,
}

/// A histogram of times in microseconds.
#[derive(Debug, Clone)]
pub struct DurationHistogram(Histogram<u64>);

impl Default for DurationHistogram {
    fn default() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_DURATION_US, SIGNIFICANT_DIGITS);
        Self(histogram.expect("the bounds are constants that the histogram takes"))
    }
}

impl DurationHistogram {
    /// Adds a time.
    pub fn add(&mut self, duration: Duration) {
        self.0.saturating_record(u64::try_from(duration.as_micros()).unwrap_or(MAX_DURATION_US).max(1));
    }

    /// The time in microseconds that `percent` of those added do not exceed; `None` of nothing.
    #[must_use]
    pub fn percentile(&self, percent: f64) -> Option<u64> {
        (!self.0.is_empty()).then(|| self.0.value_at_percentile(percent))
    }

    /// How many were added.
    #[must_use]
    pub fn count(&self) -> u64 {
        self.0.len()
    }
}

/// The place where all parts of a run put what they measure.
#[derive(Debug, Default)]
pub struct Record(Mutex<Measured>);

impl Record {
    /// Gives access to what was measured so far; holders do not wait for anything meanwhile.
    pub fn measured(&self) -> MutexGuard<'_, Measured> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A client's call has ended.
    pub fn add_call(&self, call: Call) {
        let mut measured = self.measured();
        if call.end == CallEnd::Served && call.carrier == Carrier::Real {
            measured.latency_by_hops_us.entry(call.hops).or_default().add(call.latency);
            if call.hops == 1 {
                measured.one_hop_latency_us.add(call.latency);
            }
        }
        measured.calls.push(call);
    }

    /// A call was made at this hop, counted from 1.
    pub fn count_hop_call(&self, carrier: Carrier, hop: u32) {
        *self.measured().hop_calls[carrier_index(carrier)].entry(hop).or_default() += 1;
    }

    /// An attempt has reached a node at this hop, counted from 1.
    pub fn count_attempt(&self, carrier: Carrier, hop: u32) {
        *self.measured().attempts[carrier_index(carrier)].entry(hop).or_default() += 1;
    }
}

/// The place of a carrier in the arrays of [`Measured`].
#[must_use]
pub fn carrier_index(carrier: Carrier) -> usize {
    match carrier {
        Carrier::Real => 0,
        Carrier::Hollow => 1,
    }
}
