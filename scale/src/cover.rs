//! Measures how evenly the subsets of many balancers cover the endpoints of a service, using the decision module.
//!
//! Each balancer is a [`Balancer`] that knows its own number and a count of balancers, which may be outdated. It
//! sends a fixed number of calls, and each call is answered. Calls are counted by endpoint over all balancers.

use std::time::Duration;

use serde::Serialize;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, Class, ClassId, DiscoveryUpdate, Idempotency, Member, Outcome, Phase,
    Request, RequestId, Settings, SettingsError, UpstreamId, ZoneId,
};
use stilelead_decision::{Action, Balancer, Event};

/// Time between two calls of a balancer.
const CALL_INTERVAL: Duration = Duration::from_millis(20);
/// Duration of every call.
const CALL_DURATION: Duration = Duration::from_millis(5);
/// Start of every balancer, on the clock of the decision module.
const START_TIME: Duration = Duration::from_secs(3600);

/// A service's balancers, some of which know an outdated count of them.
#[derive(Debug, Clone, Copy)]
pub struct CoverageModel {
    /// Balancer instances that send calls.
    pub balancers: u32,
    /// Instance count that the balancers with a number below it were started with; the others know the true count.
    pub outdated_count: u32,
    /// Number of ready endpoints.
    pub endpoints: u32,
    /// Calls that each balancer sends.
    pub calls_per_balancer: u32,
}

/// How calls were distributed over the endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct CallDistribution {
    /// Calls of the endpoint that got the most, divided by the mean.
    #[serde(rename = "most_over_mean")]
    pub max_over_mean: f64,
    /// Calls of the endpoint that got the fewest, divided by the mean.
    #[serde(rename = "least_over_mean")]
    pub min_over_mean: f64,
    /// Endpoints that got no calls.
    #[serde(rename = "bare")]
    pub endpoints_without_calls: usize,
}

/// Why the coverage could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum CoverageError {
    /// The number of balancers, endpoints or calls is 0.
    #[error("the numbers of balancers, endpoints and calls must be above 0")]
    ZeroSize,
    /// The decision module rejected the settings.
    #[error("the decision module rejected the settings: {0}")]
    Settings(#[from] SettingsError),
}

impl CoverageModel {
    /// Sends the calls and counts them by endpoint; `seed` seeds the balancers' random numbers.
    ///
    /// # Errors
    /// A count is 0 or outside the range of the settings.
    pub fn measure(&self, seed: u64) -> Result<CallDistribution, CoverageError> {
        if self.balancers == 0 || self.endpoints == 0 || self.calls_per_balancer == 0 {
            return Err(CoverageError::ZeroSize);
        }
        let mut calls_by_endpoint = vec![0_u64; self.endpoints as usize];
        for index in 0..self.balancers {
            let known_count = if index < self.outdated_count { self.outdated_count } else { self.balancers };
            let mut balancer = start_balancer(index, known_count, self.endpoints, seed)?;
            for number in 0..self.calls_per_balancer {
                if let Some(endpoint) = answered_call(&mut balancer, number) {
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

/// Starts a balancer that knows all endpoints; `replica_count` may be outdated.
fn start_balancer(
    replica_index: u32,
    replica_count: u32,
    endpoints: u32,
    seed: u64,
) -> Result<Balancer, SettingsError> {
    let class = Class {
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let settings = Settings { replica_index, replica_count, ..Settings::single_zone(vec![class]) };
    let mut balancer = Balancer::new(settings, seed.wrapping_add(u64::from(replica_index)))?;
    let members = (0..endpoints).map(ready_member).collect();
    let mut actions = Vec::new();
    balancer.handle(START_TIME, Event::Started, &mut actions);
    balancer.handle(START_TIME, Event::Discovery(DiscoveryUpdate::Full(members)), &mut actions);
    Ok(balancer)
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

/// Sends one call, answers it and returns the endpoint that it went to.
fn answered_call(balancer: &mut Balancer, number: u32) -> Option<u32> {
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
    balancer.handle(now, Event::Request(request), &mut actions);
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
    balancer.handle(now + CALL_DURATION, Event::AttemptEnded(attempt_ended), &mut actions);
    Some(endpoint)
}
