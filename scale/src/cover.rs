//! How evenly the subsets of many copies cover the endpoints of a service, measured on the decisions themselves.
//!
//! Each copy is a [`Balancer`] that is told its number and a count of copies, which may be old, and then asked to send a
//! fixed number of calls, each of which is answered at once. What it sends to each endpoint is counted over all copies.

use std::time::Duration;

use serde::Serialize;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, Class, ClassId, DiscoveryUpdate, Idempotency, Member, Outcome, Phase,
    Request, RequestId, Settings, SettingsError, UpstreamId, ZoneId,
};
use stilelead_decision::{Action, Balancer, Event};

/// Time between two calls of a copy.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Time that every call takes.
const CALL_DURATION: Duration = Duration::from_millis(5);
/// When the first copy starts, on the clock of the decisions.
const START_TIME: Duration = Duration::from_secs(3600);

/// What each copy of a service has been told about the copies.
#[derive(Debug, Clone, Copy)]
pub struct CoverageModel {
    /// Copies that send.
    pub copies: u32,
    /// The count of copies that those numbered below it were started with; the others know the true one.
    pub old_count: u32,
    /// Endpoints that are ready.
    pub endpoints: u32,
    /// Calls that each copy sends.
    pub calls_per_copy: u32,
}

/// Calls over the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CallDistribution {
    /// Most calls to one endpoint, over the mean.
    #[serde(rename = "most_over_mean")]
    pub max_over_mean: f64,
    /// Least calls to one endpoint, over the mean.
    #[serde(rename = "least_over_mean")]
    pub min_over_mean: f64,
    /// Endpoints that no copy sends to.
    #[serde(rename = "bare")]
    pub endpoints_without_calls: usize,
}

/// Why the cover could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum CoverageError {
    /// A size is 0.
    #[error("copies, endpoints and calls must be above 0")]
    ZeroSize,
    /// The decisions refuse the settings.
    #[error("the decisions refuse the settings: {0}")]
    Settings(#[from] SettingsError),
}

impl CoverageModel {
    /// Sends the calls and counts them by endpoint; `seed` decides the draws.
    ///
    /// # Errors
    /// A size is 0 or out of the range of the settings.
    pub fn measure(&self, seed: u64) -> Result<CallDistribution, CoverageError> {
        if self.copies == 0 || self.endpoints == 0 || self.calls_per_copy == 0 {
            return Err(CoverageError::ZeroSize);
        }
        let mut calls_by_endpoint = vec![0_u64; self.endpoints as usize];
        for index in 0..self.copies {
            let known_copies = if index < self.old_count { self.old_count } else { self.copies };
            let mut copy = start_balancer(index, known_copies, self.endpoints, seed)?;
            for number in 0..self.calls_per_copy {
                if let Some(endpoint) = answered_call(&mut copy, number) {
                    calls_by_endpoint[endpoint as usize] += 1;
                }
            }
        }
        let mean = calls_by_endpoint.iter().sum::<u64>() as f64 / f64::from(self.endpoints);
        let over_mean = |calls: Option<&u64>| calls.map_or(0.0, |&calls| calls as f64 / mean.max(1.0));
        Ok(CallDistribution {
            max_over_mean: over_mean(calls_by_endpoint.iter().max()),
            min_over_mean: over_mean(calls_by_endpoint.iter().min()),
            endpoints_without_calls: calls_by_endpoint.iter().filter(|&&calls| calls == 0).count(),
        })
    }
}

/// A copy that known_copies all endpoints.
fn start_balancer(index: u32, copies: u32, endpoints: u32, seed: u64) -> Result<Balancer, SettingsError> {
    let class = Class {
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let settings =
        Settings { replica_index: index, replica_count: copies, ..Settings::single_zone(vec![class]) };
    let mut copy = Balancer::new(settings, seed.wrapping_add(u64::from(index)))?;
    let members = (0..endpoints).map(ready_member).collect();
    let mut actions = Vec::new();
    copy.handle(START_TIME, Event::Started, &mut actions);
    copy.handle(START_TIME, Event::Discovery(DiscoveryUpdate::Full(members)), &mut actions);
    Ok(copy)
}

fn ready_member(id: u32) -> Member {
    Member {
        id: UpstreamId(id),
        zone: Some(ZoneId(0)),
        machine_type: None,
        cell: 0,
        phase: Phase::Ready,
        weight: 1.0,
        started_at: None,
    }
}

/// Sends one call and answers it; the endpoint that it went to.
fn answered_call(copy: &mut Balancer, number: u32) -> Option<u32> {
    let now = START_TIME + CALL_INTERVAL * number;
    let id = RequestId(u64::from(number));
    let request = Request {
        id,
        class: ClassId(0),
        tenant: None,
        resource_key: None,
        time_left: Duration::from_secs(2),
        expected_work: None,
        is_retry: false,
    };
    let mut actions = Vec::new();
    copy.handle(now, Event::Request(request), &mut actions);
    let endpoint = actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(upstream.0),
        _ => None,
    })?;
    let attempt_ended = AttemptEnded {
        request: id,
        attempt: AttemptNumber(0),
        outcome: Outcome::Good,
        duration: CALL_DURATION,
        request_ended: true,
        load: None,
    };
    copy.handle(now + CALL_DURATION, Event::AttemptEnded(attempt_ended), &mut actions);
    Some(endpoint)
}
