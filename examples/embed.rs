//! Runs one replica of the balancer with a simulated clock: upstream list, requests, outcomes and timers.
//!
//! The embedding program must fire each timer that the balancer sets, report the outcome of every attempt
//! once, and never let its clock go back. Without its timer the replica makes no periodic updates, so its
//! limits and its list are no longer updated. An attempt whose outcome is not reported stays in flight
//! forever; a second outcome of the same attempt is ignored.

use std::time::Duration;

use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

fn main() -> Result<(), SettingsError> {
    let class = Class {
        latency_target: Duration::from_millis(500),
        deadline: Duration::from_secs(2),
        late_value: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let mut balancer = Balancer::new(Settings::single_zone(vec![class]), 7)?;
    let mut now = Duration::from_secs(1);
    let mut actions = Vec::new();
    balancer.handle(now, Event::Started, &mut actions);
    let members = (1..=3).map(|id| Member {
        id: UpstreamId(id),
        zone: Some(ZoneId(0)),
        machine_type: None,
        cell: 0,
        phase: Phase::Ready,
        weight: 1.0,
        started_at: None,
    });
    balancer.handle(now, Event::Discovery(DiscoveryUpdate::Full(members.collect())), &mut actions);

    let mut timer_at = carry_out(now, &mut actions).expect("the start sets the first timer");
    for number in 0..20 {
        now += Duration::from_millis(50);
        if now >= timer_at {
            balancer.handle(now, Event::TimerFired, &mut actions);
            timer_at = carry_out(now, &mut actions).expect("each periodic update sets the next timer");
        }
        let id = RequestId(number);
        let request = Request {
            id,
            class: ClassId(0),
            tenant: None,
            resource_key: None,
            time_left: Duration::from_secs(2),
            expected_work: None,
            is_retry: false,
        };
        balancer.handle(now, Event::Request(request), &mut actions);
        let was_sent = actions.iter().any(|action| matches!(action, Action::Send { .. }));
        carry_out(now, &mut actions);
        if was_sent {
            // The upstream's answer ends the request; a real program reports it when it arrives.
            let attempt_ended = Event::AttemptEnded(AttemptEnded {
                request: id,
                attempt: AttemptNumber(0),
                outcome: Outcome::Good,
                duration: Duration::from_millis(20),
                request_ended: true,
                load: None,
            });
            balancer.handle(now + Duration::from_millis(20), attempt_ended, &mut actions);
        }
    }
    // To shut a replica down, drop its balancer once all requests have been answered.
    Ok(())
}

/// Prints the actions that a real program would carry out. Returns when the timer is due, if it was set.
fn carry_out(now: Duration, actions: &mut Vec<Action>) -> Option<Duration> {
    let mut timer_at = None;
    for action in actions.drain(..) {
        match action {
            Action::SetTimer(delay) => timer_at = Some(now + delay),
            other => println!("{:.2} s: {other:?}", now.as_secs_f64()),
        }
    }
    timer_at
}
