//! Counts calls by how they ended, by depth and by time.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::Run;
use super::recovery::ServedShare;
use crate::record::{Call, CallOutcome, DurationHistogram, balancer_kind_index};
use crate::topology::BalancerKind;

/// Calls by how they ended; `calls` is the sum of the other fields.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Calls of clients; a call and the client's retries of it count once.
    pub calls: u64,
    /// Calls answered with 200 before the deadline.
    pub served: u64,
    /// Calls answered with 429 or 503, after the client's retries, if any.
    pub refused: u64,
    /// Calls with an answer other than 200, 429 or 503, or with none before the deadline.
    pub failed: u64,
    /// Calls that a server accepted, but never answered.
    pub lost: u64,
    /// Calls whose client closed its connection before the answer.
    #[serde(rename = "left")]
    pub client_disconnected: u64,
}

/// Calls by the second of their scheduled arrival.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Series {
    /// Served calls in each second.
    pub served: Vec<u64>,
    /// Refused calls in each second.
    pub refused: Vec<u64>,
    /// Failed or lost calls in each second.
    pub failed: Vec<u64>,
}

/// Calls counted in the ways that the report needs.
pub(super) struct CallSummary {
    /// Counts of all calls.
    pub(super) all: Counts,
    /// Counts by kind of balancer, real first.
    pub(super) by_balancer_kind: [Counts; 2],
    /// Latency of served calls through hollow balancers by number of hops.
    pub(super) hollow_latency_us: BTreeMap<u32, DurationHistogram>,
    /// Share of calls served over time.
    pub(super) served_share: ServedShare,
    /// Counts of calls by the second of their arrival.
    pub(super) series: Series,
}

impl CallSummary {
    /// Counts the calls of a run.
    pub(super) fn of(run: &Run<'_>, calls: &[Call]) -> Self {
        let duration_s = run.load_duration_s.round().max(1.0) as usize;
        let zeros = vec![0; duration_s];
        let mut summary = Self {
            all: Counts::default(),
            by_balancer_kind: [Counts::default(); 2],
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
        self.all.add(call.outcome);
        self.by_balancer_kind[balancer_kind_index(call.balancer_kind)].add(call.outcome);
        if call.balancer_kind == BalancerKind::Hollow && call.outcome == CallOutcome::Served {
            self.hollow_latency_us.entry(call.hops).or_default().add(call.latency);
        }
        let arrival = call.ended_at.checked_sub(call.latency);
        let arrival_s = arrival
            .zip(start)
            .map_or(0.0, |(arrival, start)| arrival.saturating_duration_since(start).as_secs_f64());
        if call.outcome != CallOutcome::ClientDisconnected {
            self.served_share.add(arrival_s, call.outcome == CallOutcome::Served);
        }
        let series = match call.outcome {
            CallOutcome::Served => &mut self.series.served,
            CallOutcome::Refused => &mut self.series.refused,
            CallOutcome::Failed | CallOutcome::Lost => &mut self.series.failed,
            CallOutcome::ClientDisconnected => return,
        };
        let last_second = series.len() - 1;
        series[(arrival_s as usize).min(last_second)] += 1;
    }
}

impl Counts {
    fn add(&mut self, outcome: CallOutcome) {
        self.calls += 1;
        *match outcome {
            CallOutcome::Served => &mut self.served,
            CallOutcome::Refused => &mut self.refused,
            CallOutcome::Failed => &mut self.failed,
            CallOutcome::Lost => &mut self.lost,
            CallOutcome::ClientDisconnected => &mut self.client_disconnected,
        } += 1;
    }
}
