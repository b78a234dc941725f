//! A small world for the tests: upstreams that answer as told, a clock that the test moves.
#![allow(dead_code, reason = "each test file uses a part of it")]

use std::time::Duration;

use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// Where the test clocks start; any time will do.
pub const START: Duration = Duration::from_secs(1000);

pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn class(idempotency: Idempotency) -> Class {
    Class { latency_target: millis(1000), deadline: millis(3000), late_value: 0.0, idempotency }
}

pub fn member(id: u32) -> Member {
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

/// A balancer with its clock.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Duration,
    next_request_id: u64,
    next_timer_at: Duration,
}

impl Harness {
    pub fn new(settings: Settings, seed: u64, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the settings make sense");
        let mut harness = Self::not_started(balancer);
        harness.handle(Event::Started);
        harness.handle(Event::Discovery(DiscoveryUpdate::Full(members)));
        harness
    }

    /// One that has not been told anything yet.
    pub fn not_started(balancer: Balancer) -> Self {
        Self { balancer, now: START, next_request_id: 0, next_timer_at: START }
    }

    /// What is asked for; reports for the operator ask for nothing.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::Report(_)));
        actions
    }

    /// Moves the clock, with the sweeps that fall due.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.next_timer_at <= end {
            self.now = self.now.max(self.next_timer_at);
            let actions = self.handle(Event::TimerFired);
            let delay = actions.iter().find_map(|action| match action {
                Action::SetTimer(delay) => Some(*delay),
                _ => None,
            });
            self.next_timer_at = self.now + delay.expect("a sweep asks for the next");
        }
        self.now = end;
    }

    /// Offers a request of the first class and tells what is done about it.
    pub fn submit(&mut self, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        self.submit_with_time_left(tenant, millis(3000))
    }

    /// The same for a client that waits so long.
    pub fn submit_with_time_left(
        &mut self,
        tenant: Option<usize>,
        time_left: Duration,
    ) -> (RequestId, Vec<Action>) {
        let id = RequestId(self.next_request_id);
        self.next_request_id += 1;
        let request = Request {
            id,
            class: ClassId(0),
            tenant: tenant.map(TenantId),
            resource_key: None,
            time_left,
            expected_work: None,
            is_retry: false,
        };
        (id, self.handle(Event::Request(request)))
    }

    pub fn end_attempt(
        &mut self,
        request: RequestId,
        attempt: u32,
        outcome: Outcome,
        duration: Duration,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(AttemptEnded {
            request,
            attempt: AttemptNumber(attempt),
            outcome,
            duration,
            request_ended: outcome == Outcome::Good,
            load: None,
        }))
    }

    /// Offers a request and lets each attempt end with what `outcome` says of its upstream, after
    /// the time it says. Returns the upstreams tried.
    pub fn run_request(&mut self, outcome_of: impl Fn(UpstreamId) -> (Outcome, Duration)) -> Vec<UpstreamId> {
        let (id, mut actions) = self.submit(None);
        let mut tried = Vec::new();
        while let Some(upstream) = sent_to(&actions) {
            let (outcome, duration) = outcome_of(upstream);
            self.advance(duration);
            actions = self.end_attempt(id, tried.len() as u32, outcome, duration);
            tried.push(upstream);
        }
        tried
    }
}

/// The upstream that the first send among the actions names.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}
