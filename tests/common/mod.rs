//! A test harness for a balancer, with a simulated clock and simulated upstreams.
#![allow(dead_code, reason = "no test file uses all of the harness")]

use std::time::Duration;

use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// The time at which the simulated clocks start; its value does not matter.
pub const START: Duration = Duration::from_secs(1000);

/// A duration in milliseconds.
pub fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A class with a latency target of 1 s and a deadline of 3 s.
pub fn class(idempotency: Idempotency) -> Class {
    Class { latency_target: millis(1000), deadline: millis(3000), late_value: 0.0, idempotency }
}

/// A ready upstream in the first zone.
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

/// A balancer with a simulated clock, whose timer is delivered as the clock advances.
pub struct Harness {
    pub balancer: Balancer,
    /// The time of the simulated clock.
    pub now: Duration,
    next_request_id: u64,
    /// When the balancer's timer is due.
    next_timer_at: Duration,
}

impl Harness {
    /// A started balancer that has received its first list.
    pub fn new(settings: Settings, seed: u64, members: Vec<Member>) -> Self {
        let balancer = Balancer::new(settings, seed).expect("the settings are valid");
        let mut harness = Self::not_started(balancer);
        harness.handle(Event::Started);
        harness.handle(Event::Discovery(DiscoveryUpdate::Full(members)));
        harness
    }

    /// A balancer that has not received any events.
    pub fn not_started(balancer: Balancer) -> Self {
        Self { balancer, now: START, next_request_id: 0, next_timer_at: START }
    }

    /// Passes an event to the balancer and returns its actions, without reports to the operator.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        actions.retain(|action| !matches!(action, Action::Report(_)));
        actions
    }

    /// Advances the clock and delivers the timers that are due by then.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        while self.next_timer_at <= end {
            self.now = self.now.max(self.next_timer_at);
            let actions = self.handle(Event::TimerFired);
            let delay = actions.iter().find_map(|action| match action {
                Action::SetTimer(delay) => Some(*delay),
                _ => None,
            });
            self.next_timer_at = self.now + delay.expect("each periodic update sets the next timer");
        }
        self.now = end;
    }

    /// Submits a request of the first class whose client waits for 3 s, and returns the actions that follow.
    pub fn submit(&mut self, tenant: Option<usize>) -> (RequestId, Vec<Action>) {
        self.submit_with_time_left(tenant, millis(3000))
    }

    /// Submits a request of the first class whose client waits for `time_left`, and returns the actions that
    /// follow.
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

    /// Reports the end of an attempt and returns the actions that follow.
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

    /// Submits a request and ends each of its attempts with the outcome and after the duration that
    /// `outcome_of` gives for its upstream. Returns the upstreams that were tried.
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

/// The upstream of the first send among the actions.
pub fn sent_to(actions: &[Action]) -> Option<UpstreamId> {
    actions.iter().find_map(|action| match action {
        Action::Send { upstream, .. } => Some(*upstream),
        _ => None,
    })
}

/// Whether the actions refuse a request.
pub fn is_refused(actions: &[Action]) -> bool {
    actions.iter().any(|action| matches!(action, Action::Refuse { .. }))
}
