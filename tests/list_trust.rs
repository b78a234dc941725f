//! How far a list is relied on while no subscription confirms it, in simulated time.

mod common;

use std::time::Duration;

use common::{Harness, START, class, member, millis, sent_to};
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// The grace for drains, less the time for which the process may be held up.
const USABLE_DRAIN_GRACE: Duration = Duration::from_millis(150);

fn settings() -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.rules.drain_grace = millis(300);
    settings.rules.max_poll_interval = Some(millis(10_000));
    settings
}

/// A copy with a list that a subscription confirms.
fn subscribed(settings: Settings, members: u32) -> Harness {
    Harness::new(settings, 11, (0..members).map(member).collect())
}

/// Whether a request goes out now; it is taken back at once, so that it proves nothing.
fn can_send(harness: &mut Harness) -> bool {
    let (id, actions) = harness.submit(None);
    let can_send_now = sent_to(&actions).is_some();
    harness.handle(Event::RequestAbandoned(id));
    harness.end_attempt(id, 0, Outcome::Withdrawn, Duration::ZERO);
    can_send_now
}

/// How long from now requests go out, to the step, if they cease within `most`.
fn time_until_sends_stop(harness: &mut Harness, max_wait: Duration) -> Option<Duration> {
    let (start, step) = (harness.now, millis(10));
    while harness.now < start + max_wait {
        if !can_send(harness) {
            return Some(harness.now - start);
        }
        harness.advance(step);
    }
    None
}

fn assert_stops_at(stopped_after: Option<Duration>, expected: Duration) {
    let stopped_after = stopped_after.expect("requests cease");
    assert!(
        stopped_after <= expected && expected - stopped_after < millis(20),
        "{stopped_after:?} for {expected:?}"
    );
}

fn fail_discovery(harness: &mut Harness) {
    harness.handle(Event::Discovery(DiscoveryUpdate::Failed));
}

/// Found on the day with the broken drain of an own deployment: a subscription may end in place of telling a change,
/// which counts as told two seconds later, and the call after it may be answered after that.
#[test]
fn after_a_subscription_ends_sends_stop_until_the_next_discovery_call_ends() {
    let with_ended_subscription = || {
        let mut harness = subscribed(settings(), 3);
        harness.advance(millis(5000));
        fail_discovery(&mut harness);
        assert_stops_at(
            time_until_sends_stop(&mut harness, millis(60_000)),
            millis(2000) + USABLE_DRAIN_GRACE,
        );
        harness
    };
    // Answered: all is known.
    let mut harness = with_ended_subscription();
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(time_until_sends_stop(&mut harness, millis(30_000)), None);
    // Turned away: what it has counts six seconds after the end at the latest.
    let mut harness = with_ended_subscription();
    let elapsed = millis(2000) + USABLE_DRAIN_GRACE;
    fail_discovery(&mut harness);
    assert_stops_at(
        time_until_sends_stop(&mut harness, millis(60_000)),
        millis(6000) + USABLE_DRAIN_GRACE - elapsed,
    );
    // Further failures renew nothing.
    fail_discovery(&mut harness);
    assert!(!can_send(&mut harness));
}

/// What a silent subscription misses counts from when it fell silent, not from when that was noticed.
#[test]
fn a_silent_subscription_counts_as_lost_from_its_last_update() {
    let mut harness = subscribed(settings(), 3);
    harness.advance(millis(5000));
    harness.handle(Event::Discovery(DiscoveryUpdate::TimedOut(millis(3200))));
    assert_stops_at(
        time_until_sends_stop(&mut harness, millis(60_000)),
        millis(6000 - 3200) + USABLE_DRAIN_GRACE,
    );
}

#[test]
fn upstreams_that_accept_requests_stay_in_use_and_those_that_reject_them_do_not() {
    let mut harness = subscribed(settings(), 2);
    fail_discovery(&mut harness);
    fail_discovery(&mut harness);
    let delivery_assumed_at = harness.now + millis(6000) + USABLE_DRAIN_GRACE;
    let drain_start = harness.now + millis(3000);
    let outcome = |upstream: UpstreamId, now: Duration| match upstream {
        UpstreamId(0) if now >= drain_start => Outcome::Refused,
        _ => Outcome::Good,
    };
    let (mut sends_to_ready, mut sends_to_draining) = (0, 0);
    while harness.now < delivery_assumed_at + millis(30_000) {
        let now = harness.now;
        let tried = harness.run_request(|upstream| (outcome(upstream, now), millis(5)));
        if now > delivery_assumed_at {
            sends_to_ready += tried.iter().filter(|&&upstream| upstream == UpstreamId(1)).count();
            sends_to_draining += tried.iter().filter(|&&upstream| upstream == UpstreamId(0)).count();
        }
        harness.advance(millis(20));
    }
    assert_eq!(sends_to_draining, 0, "sent to the one that drains");
    assert!(sends_to_ready > 500, "{sends_to_ready} requests went to the one that is ready");
}

/// Incident 1: copies restarted beside a discovery that turned all their calls away.
#[test]
fn a_list_of_unknown_age_is_valid_only_briefly_after_the_first_request() {
    let with_stale_list = || {
        let balancer = Balancer::new(settings(), 5).expect("the settings make sense");
        let mut harness = Harness::not_started(balancer);
        harness.handle(Event::Started);
        harness.handle(Event::Discovery(DiscoveryUpdate::Stale(vec![member(0), member(1)])));
        harness
    };
    let mut harness = with_stale_list();
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000));
    // Clients may come late.
    let mut harness = with_stale_list();
    harness.advance(millis(3000));
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000));
    // So late that all that was there at the start counts as told.
    let mut harness = with_stale_list();
    harness.advance(millis(6000) + USABLE_DRAIN_GRACE);
    assert!(!can_send(&mut harness));
    // Failed calls renew nothing; a word from discovery does.
    fail_discovery(&mut harness);
    assert!(!can_send(&mut harness));
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert!(can_send(&mut harness));
}

/// While nobody listens where discovery is, it tells nothing, and a list goes on holding for however long.
#[test]
fn the_list_stays_valid_while_discovery_is_down() {
    let mut harness = subscribed(settings(), 3);
    fail_discovery(&mut harness);
    for _ in 0..30 {
        harness.handle(Event::Discovery(DiscoveryUpdate::Unreachable));
        assert_eq!(time_until_sends_stop(&mut harness, millis(4000)), None);
    }
    // It is back, and turns calls away.
    fail_discovery(&mut harness);
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000) + USABLE_DRAIN_GRACE);
}

#[test]
fn changes_count_as_delivered_four_seconds_after_discovery_moved() {
    let mut harness = subscribed(settings(), 3);
    harness.advance(millis(5000));
    harness.handle(Event::DiscoveryMoved);
    harness.advance(millis(1000));
    // Where it was it still speaks, which says nothing of where it is.
    harness.handle(Event::FormerDiscovery(DiscoveryUpdate::Incremental(Vec::new())));
    fail_discovery(&mut harness);
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(3000) + USABLE_DRAIN_GRACE);
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(time_until_sends_stop(&mut harness, millis(10_000)), None);
}

/// What comes at an earlier address of discovery is taken in all the same.
#[test]
fn a_drain_announced_at_the_former_address_is_applied() {
    let mut harness = subscribed(settings(), 1);
    harness.handle(Event::DiscoveryMoved);
    let draining = Member { phase: Phase::Draining, ..member(0) };
    harness.handle(Event::FormerDiscovery(DiscoveryUpdate::Incremental(vec![draining])));
    assert!(!can_send(&mut harness));
}

/// A connection that comes up late carries nothing that the list no longer allows by then.
#[test]
fn an_attempt_must_start_while_the_list_is_valid() {
    let mut harness = subscribed(settings(), 1);
    fail_discovery(&mut harness);
    harness.advance(millis(2000));
    let (_, actions) = harness.submit(None);
    let start_within = actions.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => Some(*start_within),
        _ => None,
    });
    assert_eq!(start_within, Some(USABLE_DRAIN_GRACE));
    // What was sent while a subscription stood has no such limit; it is called off once the list holds no more.
    let mut harness = subscribed(settings(), 1);
    assert!(sent_to(&harness.submit(None).1).is_some());
    fail_discovery(&mut harness);
    let aborts_connects =
        |actions: &[Action]| actions.contains(&Action::AbortPendingConnects { upstream: UpstreamId(0) });
    assert!(!aborts_connects(&harness.handle(Event::TimerFired)));
    harness.now += millis(2000) + USABLE_DRAIN_GRACE;
    assert!(aborts_connects(&harness.handle(Event::TimerFired)));
}

/// Where lists are pushed, an end of the subscription stands for no change; only silence and time do.
#[test]
fn pushed_lists_stay_valid_for_six_seconds_without_a_subscription() {
    let mut settings = settings();
    settings.rules.max_poll_interval = None;
    let mut harness = subscribed(settings.clone(), 3);
    fail_discovery(&mut harness);
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(6000) + USABLE_DRAIN_GRACE);
    settings.discovery = DiscoveryMode::Push;
    let mut harness = subscribed(settings, 3);
    assert!(harness.now >= START);
    assert_eq!(time_until_sends_stop(&mut harness, millis(60_000)), None);
}
