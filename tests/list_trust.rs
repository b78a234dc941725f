//! How far a list is relied on while no subscription confirms it, in simulated time.

mod common;

use std::time::Duration;

use common::{Bench, START, class, member, millis, sent};
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Balancer, Event, Settings};

/// The grace for drains, less the time for which the process may be held up.
const GRACE: Duration = Duration::from_millis(150);

fn settings() -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.discovery = DiscoveryMode::Subscribe;
    settings.rules.drain_grace = millis(300);
    settings.rules.max_poll_interval = Some(millis(10_000));
    settings
}

/// A copy with a list that a subscription confirms.
fn subscribed(settings: Settings, members: u32) -> Bench {
    Bench::new(settings, 11, (0..members).map(member).collect())
}

/// Whether a request goes out now; it is taken back at once, so that it proves nothing.
fn sends(bench: &mut Bench) -> bool {
    let (id, actions) = bench.offer(None);
    let goes = sent(&actions).is_some();
    bench.tell(Event::RequestAbandoned(id));
    bench.end(id, 0, Outcome::Withdrawn, Duration::ZERO);
    goes
}

/// How long from now requests go out, to the step, if they cease within `most`.
fn sends_for(bench: &mut Bench, most: Duration) -> Option<Duration> {
    let (start, step) = (bench.now, millis(10));
    while bench.now < start + most {
        if !sends(bench) {
            return Some(bench.now - start);
        }
        bench.pass(step);
    }
    None
}

fn assert_about(found: Option<Duration>, expected: Duration) {
    let found = found.expect("requests cease");
    assert!(found <= expected && expected - found < millis(20), "{found:?} for {expected:?}");
}

fn broken(bench: &mut Bench) {
    bench.tell(Event::Discovery(DiscoveryUpdate::Failed));
}

/// Found on the day with the broken drain of an own deployment: a subscription may end in place of telling a change,
/// which counts as told two seconds later, and the call after it may be answered after that.
#[test]
fn after_a_subscription_that_ended_nothing_is_sent_until_the_next_call_is_decided() {
    let ended = || {
        let mut bench = subscribed(settings(), 3);
        bench.pass(millis(5000));
        broken(&mut bench);
        assert_about(sends_for(&mut bench, millis(60_000)), millis(2000) + GRACE);
        bench
    };
    // Answered: all is known.
    let mut bench = ended();
    bench.tell(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(sends_for(&mut bench, millis(30_000)), None);
    // Turned away: what it has counts six seconds after the end at the latest.
    let mut bench = ended();
    let passed = millis(2000) + GRACE;
    broken(&mut bench);
    assert_about(sends_for(&mut bench, millis(60_000)), millis(6000) + GRACE - passed);
    // Further failures renew nothing.
    broken(&mut bench);
    assert!(!sends(&mut bench));
}

/// What a silent subscription misses counts from when it fell silent, not from when that was noticed.
#[test]
fn a_subscription_that_fell_silent_is_counted_from_its_last_word() {
    let mut bench = subscribed(settings(), 3);
    bench.pass(millis(5000));
    bench.tell(Event::Discovery(DiscoveryUpdate::TimedOut(millis(3200))));
    assert_about(sends_for(&mut bench, millis(60_000)), millis(6000 - 3200) + GRACE);
}

#[test]
fn an_upstream_that_accepts_requests_is_used_on_and_one_that_turns_them_away_is_not() {
    let mut bench = subscribed(settings(), 2);
    broken(&mut bench);
    broken(&mut bench);
    let told = bench.now + millis(6000) + GRACE;
    let drains_from = bench.now + millis(3000);
    let outcome = |upstream: UpstreamId, now: Duration| match upstream {
        UpstreamId(0) if now >= drains_from => Outcome::Refused,
        _ => Outcome::Good,
    };
    let (mut served, mut late) = (0, 0);
    while bench.now < told + millis(30_000) {
        let now = bench.now;
        let tried = bench.run(|upstream| (outcome(upstream, now), millis(5)));
        if now > told {
            served += tried.iter().filter(|&&upstream| upstream == UpstreamId(1)).count();
            late += tried.iter().filter(|&&upstream| upstream == UpstreamId(0)).count();
        }
        bench.pass(millis(20));
    }
    assert_eq!(late, 0, "sent to the one that drains");
    assert!(served > 500, "{served} requests went to the one that is ready");
}

/// Incident 1: copies restarted beside a discovery that turned all their calls away.
#[test]
fn a_list_of_unknown_age_must_prove_itself_from_the_first_request_on() {
    let restarted = || {
        let balancer = Balancer::new(settings(), 5).expect("the settings make sense");
        let mut bench = Bench::with(balancer);
        bench.tell(Event::Started);
        bench.tell(Event::Discovery(DiscoveryUpdate::Stale(vec![member(0), member(1)])));
        bench
    };
    let mut bench = restarted();
    assert_about(sends_for(&mut bench, millis(60_000)), millis(2000));
    // Clients may come late.
    let mut bench = restarted();
    bench.pass(millis(3000));
    assert_about(sends_for(&mut bench, millis(60_000)), millis(2000));
    // So late that all that was there at the start counts as told.
    let mut bench = restarted();
    bench.pass(millis(6000) + GRACE);
    assert!(!sends(&mut bench));
    // Failed calls renew nothing; a word from discovery does.
    broken(&mut bench);
    assert!(!sends(&mut bench));
    bench.tell(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert!(sends(&mut bench));
}

/// While nobody listens where discovery is, it tells nothing, and a list goes on holding for however long.
#[test]
fn a_discovery_that_is_down_takes_no_list_away() {
    let mut bench = subscribed(settings(), 3);
    broken(&mut bench);
    for _ in 0..30 {
        bench.tell(Event::Discovery(DiscoveryUpdate::Unreachable));
        assert_eq!(sends_for(&mut bench, millis(4000)), None);
    }
    // It is back, and turns calls away.
    broken(&mut bench);
    assert_about(sends_for(&mut bench, millis(60_000)), millis(2000) + GRACE);
}

#[test]
fn what_discovery_has_where_it_moved_to_counts_four_seconds_later() {
    let mut bench = subscribed(settings(), 3);
    bench.pass(millis(5000));
    bench.tell(Event::DiscoveryMoved);
    bench.pass(millis(1000));
    // Where it was it still speaks, which says nothing of where it is.
    bench.tell(Event::FormerDiscovery(DiscoveryUpdate::Incremental(Vec::new())));
    broken(&mut bench);
    assert_about(sends_for(&mut bench, millis(60_000)), millis(3000) + GRACE);
    bench.tell(Event::Discovery(DiscoveryUpdate::Incremental(Vec::new())));
    assert_eq!(sends_for(&mut bench, millis(10_000)), None);
}

/// What comes at an earlier address of discovery is taken in all the same.
#[test]
fn a_drain_told_where_discovery_was_is_obeyed() {
    let mut bench = subscribed(settings(), 1);
    bench.tell(Event::DiscoveryMoved);
    let draining = Member { phase: Phase::Draining, ..member(0) };
    bench.tell(Event::FormerDiscovery(DiscoveryUpdate::Incremental(vec![draining])));
    assert!(!sends(&mut bench));
}

/// A connection that comes up late carries nothing that the list no longer allows by then.
#[test]
fn an_attempt_must_begin_while_the_list_holds() {
    let mut bench = subscribed(settings(), 1);
    broken(&mut bench);
    bench.pass(millis(2000));
    let (_, actions) = bench.offer(None);
    let within = actions.iter().find_map(|action| match action {
        Action::Send { start_within, .. } => Some(*start_within),
        _ => None,
    });
    assert_eq!(within, Some(GRACE));
    // What was sent while a subscription stood has no such limit; it is called off once the list holds no more.
    let mut bench = subscribed(settings(), 1);
    assert!(sent(&bench.offer(None).1).is_some());
    broken(&mut bench);
    let aborts =
        |actions: &[Action]| actions.contains(&Action::AbortPendingConnects { upstream: UpstreamId(0) });
    assert!(!aborts(&bench.tell(Event::TimerFired)));
    bench.now += millis(2000) + GRACE;
    assert!(aborts(&bench.tell(Event::TimerFired)));
}

/// Where lists are pushed, an end of the subscription stands for no change; only silence and time do.
#[test]
fn pushed_lists_hold_for_six_seconds_without_a_subscription() {
    let mut settings = settings();
    settings.rules.max_poll_interval = None;
    let mut bench = subscribed(settings.clone(), 3);
    broken(&mut bench);
    assert_about(sends_for(&mut bench, millis(60_000)), millis(6000) + GRACE);
    settings.discovery = DiscoveryMode::Push;
    let mut bench = subscribed(settings, 3);
    assert!(bench.now >= START);
    assert_eq!(sends_for(&mut bench, millis(60_000)), None);
}
