//! Tests of how long the list of upstreams is used while no subscription confirms it, in simulated time.

mod common;

use std::time::Duration;

use common::{Harness, START, class, member, millis, sent_to};
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// The drain grace of the settings (300 ms) minus the time for which the process may be paused (150 ms).
const USABLE_DRAIN_GRACE: Duration = Duration::from_millis(150);

/// Settings under which replicas must poll discovery.
fn settings() -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.rules.drain_grace = millis(300);
    settings.rules.max_poll_interval = Some(millis(10_000));
    settings
}

/// A replica whose list is confirmed by a subscription.
fn subscribed(settings: Settings, members: u32) -> Harness {
    Harness::new(settings, 11, (0..members).map(member).collect())
}

/// Submits a request and returns whether it is sent. The request is abandoned at once, so that it does not
/// count as accepted by its upstream.
fn can_send(harness: &mut Harness) -> bool {
    let (id, actions) = harness.submit(None);
    let can_send_now = sent_to(&actions).is_some();
    harness.handle(Event::RequestAbandoned(id));
    harness.end_attempt(id, 0, Outcome::Withdrawn, Duration::ZERO);
    can_send_now
}

/// How long the replica still sends requests, in steps of 10 ms; `None` if it does not stop within
/// `max_wait`.
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

/// Checks that sends have stopped at the expected time, or less than 20 ms before it.
fn assert_stops_at(stopped_after: Option<Duration>, expected: Duration) {
    let stopped_after = stopped_after.expect("requests are no longer sent");
    assert!(
        stopped_after <= expected && expected - stopped_after < millis(20),
        "stopped after {stopped_after:?}, expected {expected:?}"
    );
}

/// Reports that the subscription has ended or a call to discovery has failed.
fn fail_discovery(harness: &mut Harness) {
    harness.handle(Event::Discovery(DiscoveryUpdate::Failed));
}

/// Guards against sends to a draining upstream after a subscription has ended, as found with a drain at a
/// test deployment: the subscription may end instead of delivering a change, which counts as delivered two
/// seconds later, and the next call to discovery may be answered only after that.
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
    // The call is answered: the list is confirmed.
    let mut harness = with_ended_subscription();
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(time_until_sends_stop(&mut harness, millis(30_000)), None);
    // The call fails: changes count as delivered six seconds after the end of the subscription.
    let mut harness = with_ended_subscription();
    let elapsed = millis(2000) + USABLE_DRAIN_GRACE;
    fail_discovery(&mut harness);
    assert_stops_at(
        time_until_sends_stop(&mut harness, millis(60_000)),
        millis(6000) + USABLE_DRAIN_GRACE - elapsed,
    );
    // Further failed calls do not extend the time for which the list is valid.
    fail_discovery(&mut harness);
    assert!(!can_send(&mut harness));
}

/// Guards against using the list for too long after a silent subscription: changes may have been missed since
/// its last update, not only since it was given up.
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

/// Guards against an outage when discovery fails for long: upstreams that go on accepting requests must stay
/// in use. It also guards against sends to a draining upstream, which has begun to reject requests.
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
    assert_eq!(sends_to_draining, 0, "requests sent to the draining upstream");
    assert!(sends_to_ready > 500, "{sends_to_ready} requests sent to the ready upstream");
}

/// Guards against using an outdated list after a restart. In incident 1, replicas restarted while discovery
/// rejected all their calls.
#[test]
fn a_list_of_unknown_age_is_valid_only_briefly_after_the_first_request() {
    let with_stale_list = || {
        let balancer = Balancer::new(settings(), 5).expect("the settings are valid");
        let mut harness = Harness::not_started(balancer);
        harness.handle(Event::Started);
        harness.handle(Event::Discovery(DiscoveryUpdate::Stale(vec![member(0), member(1)])));
        harness
    };
    let mut harness = with_stale_list();
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000));
    // The 2 s for which the list is valid start with the first request.
    let mut harness = with_stale_list();
    harness.advance(millis(3000));
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000));
    // Changes made before the start now count as delivered.
    let mut harness = with_stale_list();
    harness.advance(millis(6000) + USABLE_DRAIN_GRACE);
    assert!(!can_send(&mut harness));
    // Failed calls to discovery do not make the list valid again; an update from discovery does.
    fail_discovery(&mut harness);
    assert!(!can_send(&mut harness));
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert!(can_send(&mut harness));
}

/// Guards against giving up the list while nothing accepts connections at discovery's address: no changes
/// count as delivered during that time.
#[test]
fn the_list_stays_valid_while_discovery_is_down() {
    let mut harness = subscribed(settings(), 3);
    fail_discovery(&mut harness);
    for _ in 0..30 {
        harness.handle(Event::Discovery(DiscoveryUpdate::Unreachable));
        assert_eq!(time_until_sends_stop(&mut harness, millis(4000)), None);
    }
    // Discovery is back and rejects calls.
    fail_discovery(&mut harness);
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(2000) + USABLE_DRAIN_GRACE);
}

/// Guards against using the list for too long after discovery has moved: a change counts as delivered four
/// seconds later, whether or not the new address has answered.
#[test]
fn changes_count_as_delivered_four_seconds_after_discovery_moved() {
    let mut harness = subscribed(settings(), 3);
    harness.advance(millis(5000));
    harness.handle(Event::DiscoveryMoved);
    harness.advance(millis(1000));
    // Updates from the former address do not confirm the list.
    harness.handle(Event::FormerDiscovery(DiscoveryUpdate::Incremental(Vec::new())));
    fail_discovery(&mut harness);
    assert_stops_at(time_until_sends_stop(&mut harness, millis(60_000)), millis(3000) + USABLE_DRAIN_GRACE);
    harness.handle(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(time_until_sends_stop(&mut harness, millis(10_000)), None);
}

/// Guards against ignoring updates from discovery's former address.
#[test]
fn a_drain_announced_at_the_former_address_is_applied() {
    let mut harness = subscribed(settings(), 1);
    harness.handle(Event::DiscoveryMoved);
    let draining = Member { phase: Phase::Draining, ..member(0) };
    harness.handle(Event::FormerDiscovery(DiscoveryUpdate::Incremental(vec![draining])));
    assert!(!can_send(&mut harness));
}

/// Guards against sending on a connection that opens only after the list has ceased to be valid.
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
    // An attempt sent while the subscription was up has no such limit; it is aborted once the list is no
    // longer valid.
    let mut harness = subscribed(settings(), 1);
    assert!(sent_to(&harness.submit(None).1).is_some());
    fail_discovery(&mut harness);
    let aborts_connects =
        |actions: &[Action]| actions.contains(&Action::AbortPendingConnects { upstream: UpstreamId(0) });
    assert!(!aborts_connects(&harness.handle(Event::TimerFired)));
    harness.now += millis(2000) + USABLE_DRAIN_GRACE;
    assert!(aborts_connects(&harness.handle(Event::TimerFired)));
}

/// Guards against treating the end of a subscription to pushed lists as a change: there, changes count as
/// delivered only after six seconds.
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
