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
const BETWEEN_CALLS: Duration = Duration::from_millis(20);
/// Time that every call takes.
const CALL_TAKES: Duration = Duration::from_millis(5);
/// When the first copy starts, on the clock of the decisions.
const STARTS_AT: Duration = Duration::from_secs(3600);

/// What each copy of a service has been told about the copies.
#[derive(Debug, Clone, Copy)]
pub struct Cover {
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
pub struct Spread {
    /// Most calls to one endpoint, over the mean.
    pub most_over_mean: f64,
    /// Least calls to one endpoint, over the mean.
    pub least_over_mean: f64,
    /// Endpoints that no copy sends to.
    pub bare: usize,
}

/// Why the cover could not be measured.
#[derive(Debug, thiserror::Error)]
pub enum CoverError {
    /// A size is 0.
    #[error("copies, endpoints and calls must be above 0")]
    Empty,
    /// The decisions refuse the settings.
    #[error("the decisions refuse the settings: {0}")]
    Settings(#[from] SettingsError),
}

impl Cover {
    /// Sends the calls and counts them by endpoint; `seed` decides the draws.
    ///
    /// # Errors
    /// A size is 0 or out of the range of the settings.
    pub fn measure(&self, seed: u64) -> Result<Spread, CoverError> {
        if self.copies == 0 || self.endpoints == 0 || self.calls_per_copy == 0 {
            return Err(CoverError::Empty);
        }
        let mut sent = vec![0_u64; self.endpoints as usize];
        for index in 0..self.copies {
            let knows = if index < self.old_count { self.old_count } else { self.copies };
            let mut copy = started(index, knows, self.endpoints, seed)?;
            for number in 0..self.calls_per_copy {
                if let Some(endpoint) = call(&mut copy, number) {
                    sent[endpoint as usize] += 1;
                }
            }
        }
        let mean = sent.iter().sum::<u64>() as f64 / f64::from(self.endpoints);
        let over_mean = |calls: Option<&u64>| calls.map_or(0.0, |&calls| calls as f64 / mean.max(1.0));
        Ok(Spread {
            most_over_mean: over_mean(sent.iter().max()),
            least_over_mean: over_mean(sent.iter().min()),
            bare: sent.iter().filter(|&&calls| calls == 0).count(),
        })
    }
}

/// A copy that knows all endpoints.
fn started(index: u32, copies: u32, endpoints: u32, seed: u64) -> Result<Balancer, SettingsError> {
    let class = Class {
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let settings =
        Settings { replica_index: index, replica_count: copies, ..Settings::single_zone(vec![class]) };
    let mut copy = Balancer::new(settings, seed.wrapping_add(u64::from(index)))?;
    let members = (0..endpoints).map(member).collect();
    let mut actions = Vec::new();
    copy.handle(STARTS_AT, Event::Started, &mut actions);
    copy.handle(STARTS_AT, Event::Discovery(DiscoveryUpdate::Full(members)), &mut actions);
    Ok(copy)
}

fn member(id: u32) -> Member {
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
fn call(copy: &mut Balancer, number: u32) -> Option<u32> {
    let now = STARTS_AT + BETWEEN_CALLS * number;
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
    let answer = AttemptEnded {
        request: id,
        attempt: AttemptNumber(0),
        outcome: Outcome::Good,
        duration: CALL_TAKES,
        request_ended: true,
        load: None,
    };
    copy.handle(now + CALL_TAKES, Event::AttemptEnded(answer), &mut actions);
    Some(endpoint)
}
