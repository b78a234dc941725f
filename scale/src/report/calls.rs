//! Calls summary by how they ended, by depth and by time.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::Run;
use super::recovery::ServedShare;
use crate::record::{Call, CallEnd, DurationHistogram, carrier_index};
use crate::topology::Carrier;

/// Calls by how they ended; `calls` is the sum of the others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// First-hop calls, each with its repeats by the client.
    pub calls: u64,
    /// Answered with 200 in time.
    pub served: u64,
    /// Answered with 429 or 503.
    pub refused: u64,
    /// Any other answer, or none in time.
    pub failed: u64,
    /// Taken and never answered.
    pub lost: u64,
    /// The client had left.
    #[serde(rename = "left")]
    pub client_left: u64,
}

/// Calls by the second in which they were arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Series {
    /// Served.
    pub served: Vec<u64>,
    /// Refused.
    pub refused: Vec<u64>,
    /// Failed or lost.
    pub failed: Vec<u64>,
}

/// Calls put in order for the report.
pub(super) struct CallSummary {
    /// All of them.
    pub(super) all: Counts,
    /// By carrier, real first.
    pub(super) by_carrier: [Counts; 2],
    /// Served calls through hollow balancers by depth.
    pub(super) hollow_latency_us: BTreeMap<u32, DurationHistogram>,
    /// The share served over time.
    pub(super) served_share: ServedShare,
    /// By second.
    pub(super) series: Series,
}

impl CallSummary {
    /// Sorts the calls of a run.
    pub(super) fn of(run: &Run<'_>, calls: &[Call]) -> Self {
        let duration_s = run.load_duration_s.round().max(1.0) as usize;
        let zeros = vec![0; duration_s];
        let mut summary = Self {
            all: Counts::default(),
            by_carrier: [Counts::default(); 2],
            hollow_latency_us: BTreeMap::new(),
            served_share: ServedShare::new(run.load_duration_s, run.scenario.load.deadline_s),
            series: Series { served: zeros.clone(), refused: zeros.clone(), failed: zeros },
        };
        for call in calls {
            summary.add(run.start, call);
        }
        summary
    }

    fn add(&mut self, start: Option<Instant>, call: &Call) {
        self.all.add(call.end);
        self.by_carrier[carrier_index(call.carrier)].add(call.end);
        if call.carrier == Carrier::Hollow && call.end == CallEnd::Served {
            self.hollow_latency_us.entry(call.hops).or_default().add(call.latency);
        }
        let arrival = call.ended_at.checked_sub(call.latency);
        let arrival_s = arrival
            .zip(start)
            .map_or(0.0, |(arrival, start)| arrival.saturating_duration_since(start).as_secs_f64());
        if call.end != CallEnd::ClientLeft {
            self.served_share.add(arrival_s, call.end == CallEnd::Served);
        }
        let series = match call.end {
            CallEnd::Served => &mut self.series.served,
            CallEnd::Refused => &mut self.series.refused,
            CallEnd::Failed | CallEnd::Lost => &mut self.series.failed,
            CallEnd::ClientLeft => return,
        };
        let last_second = series.len() - 1;
        series[(arrival_s as usize).min(last_second)] += 1;
    }
}

impl Counts {
    fn add(&mut self, end: CallEnd) {
        self.calls += 1;
        *match end {
            CallEnd::Served => &mut self.served,
            CallEnd::Refused => &mut self.refused,
            CallEnd::Failed => &mut self.failed,
            CallEnd::Lost => &mut self.lost,
            CallEnd::ClientLeft => &mut self.client_left,
        } += 1;
    }
}
