//! New settings while the copy runs: they hold from then on, and nothing learned or in flight is lost.

mod common;

use std::time::Duration;

use common::*;
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Event, Settings};

fn settings(quota: f64) -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(quota) }];
    settings.over_quota_value = 0.0;
    settings
}

fn change(bench: &mut Bench, settings: &Settings) -> Vec<Action> {
    bench.tell(Event::SettingsChanged(Box::new(settings.clone())))
}

/// Offers a request of any class and tenant.
fn offer(bench: &mut Bench, id: u64, class: usize, tenant: usize) -> Vec<Action> {
    bench.tell(Event::Request(Request {
        id: RequestId(1_000_000 + id),
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        resource_key: None,
        time_left: millis(3000),
        expected_work: None,
        is_retry: false,
    }))
}

/// The part of `calls` at `rate` a second that is admitted.
fn admitted(bench: &mut Bench, tenant: usize, rate: f64, calls: u32, outcome: Outcome) -> f64 {
    let mut passed = 0;
    for _ in 0..calls {
        bench.pass(Duration::from_secs_f64(1.0 / rate));
        let (id, actions) = bench.offer(Some(tenant));
        if sent(&actions).is_some() {
            passed += 1;
            bench.end(id, 0, outcome, millis(20));
        }
    }
    f64::from(passed) / f64::from(calls)
}

/// The part of `calls` at one moment that is admitted: nothing is learned in between.
fn admitted_of_burst(bench: &mut Bench, tenant: usize, calls: u32) -> f64 {
    let passed = (0..calls).filter(|_| sent(&bench.offer(Some(tenant)).1).is_some()).count();
    passed as f64 / f64::from(calls)
}

#[test]
fn a_changed_quota_holds_and_the_learned_part_of_it_stays() {
    let members = || (0..4).map(member).collect();
    // Calm: 10 calls a second become some 36.
    let mut calm = Bench::new(settings(25.0 / 3.0), 5, members());
    let before = admitted(&mut calm, 0, 40.0, 400, Outcome::Good);
    change(&mut calm, &settings(100.0 / 3.0));
    let after = admitted(&mut calm, 0, 40.0, 400, Outcome::Good);
    assert!(before < 0.4 && after > 0.85, "{before} admitted before, {after} after");
    // Congested: a quarter of the fair share is left, and stays so of the new one.
    let mut jammed = Bench::new(settings(25.0 / 3.0), 5, members());
    admitted(&mut jammed, 0, 40.0, 1600, Outcome::TimedOut);
    change(&mut jammed, &settings(100.0 / 3.0));
    let after = admitted(&mut jammed, 0, 40.0, 400, Outcome::TimedOut);
    assert!((0.12..0.5).contains(&after), "{after} admitted after a jam");
}

/// What of a tenant's limit is learned before a change is neither forgotten nor taken off again.
#[test]
fn the_standing_of_a_limit_does_not_depend_on_a_change() {
    for quota in [Some(25.0 / 3.0), None] {
        let settings = Settings { tenants: vec![Tenant { quota }], ..settings(0.0) };
        let run = |changes: bool| {
            let mut bench = Bench::new(settings.clone(), 5, (0..4).map(member).collect());
            admitted(&mut bench, 0, 40.0, 800, Outcome::TimedOut);
            if changes {
                change(&mut bench, &Settings { over_quota_value: 0.1, ..settings.clone() });
            }
            admitted_of_burst(&mut bench, 0, 80)
        };
        let (with, without) = (run(true), run(false));
        assert_eq!(with, without);
        assert!(without < 0.3, "{without} admitted after a jam");
    }
}

/// A new tenant starts with its whole quota, but what all tenants together may send is as learned.
#[test]
fn the_limit_of_all_keeps_its_standing_beside_a_new_tenant() {
    let part = |outcome| {
        let mut bench = Bench::new(settings(25.0 / 3.0), 5, (0..4).map(member).collect());
        admitted(&mut bench, 0, 40.0, 1600, outcome);
        let mut wider = settings(25.0 / 3.0);
        wider.tenants.push(Tenant { quota: Some(200.0) });
        change(&mut bench, &wider);
        admitted_of_burst(&mut bench, 1, 600)
    };
    let (calm, jammed) = (part(Outcome::Good), part(Outcome::TimedOut));
    assert!(calm > 0.95 && jammed < 0.4, "{calm} admitted in calm, {jammed} after a jam");
}

#[test]
fn a_new_class_and_a_new_tenant_are_served() {
    let mut bench = Bench::new(settings(25.0 / 3.0), 5, (0..4).map(member).collect());
    assert!(refused(&offer(&mut bench, 0, 1, 0)), "a class that the settings do not have");
    let mut wider = settings(25.0 / 3.0);
    wider.classes.push(class(Idempotency::NonIdempotent));
    wider.tenants.push(Tenant { quota: Some(100.0) });
    change(&mut bench, &wider);
    assert!(sent(&offer(&mut bench, 1, 1, 1)).is_some());
    // Each tenant is held to its own limit: the new one has room where the old one has none.
    let old = admitted(&mut bench, 0, 40.0, 400, Outcome::Good);
    let new = admitted(&mut bench, 1, 40.0, 400, Outcome::Good);
    assert!(old < 0.5 && new > 0.95, "{old} of the old tenant's calls admitted, {new} of the new one's");
}

#[test]
fn nothing_in_flight_ends_and_each_request_keeps_its_time() {
    let mut bench = Bench::new(settings(1000.0), 5, (0..4).map(member).collect());
    let ids: Vec<_> = (0..6).map(|_| bench.offer(Some(0)).0).collect();
    bench.pass(millis(400));
    let mut changed = settings(900.0);
    changed.classes[0].latency_target = millis(100);
    changed.capabilities.max_attempts = 2;
    changed.replica_count = 7;
    changed.replica_index = 3;
    changed.tenants.push(Tenant { quota: Some(5.0) });
    assert_eq!(change(&mut bench, &changed), []);
    for &id in &ids[..3] {
        assert_eq!(bench.end(id, 0, Outcome::Good, millis(400)), []);
    }
    for &id in &ids[3..] {
        let actions = bench.end(id, 0, Outcome::ConnectFailed, millis(400));
        let timeout = actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        let timeout = timeout.expect("goes elsewhere");
        assert!(timeout > millis(590), "cut to {timeout:?}");
        // The new cap of two attempts holds for it too.
        assert_eq!(sent(&bench.end(id, 1, Outcome::ConnectFailed, millis(1))), None);
    }
}

#[test]
fn an_ejected_upstream_stays_ejected() {
    let mut bench = Bench::new(settings(1000.0), 3, (0..6).map(member).collect());
    let sick = |upstream: UpstreamId| {
        if upstream.0 == 0 { (Outcome::ConnectFailed, millis(20)) } else { (Outcome::Good, millis(20)) }
    };
    // The second failed connect in a row ejects it, for more than a second.
    let mut tried = 0;
    while tried < 2 {
        tried += u32::from(bench.run(sick).contains(&UpstreamId(0)));
    }
    let mut changed = settings(1000.0);
    changed.classes[0].late_value = 0.5;
    change(&mut bench, &changed);
    for _ in 0..50 {
        assert!(!bench.run(sick).contains(&UpstreamId(0)), "sent to an upstream that is ejected");
    }
}

#[test]
fn a_changed_count_of_copies_lays_out_the_subset_anew() {
    let used = |bench: &mut Bench| {
        let mut used: Vec<_> = (0..600).flat_map(|_| bench.run(|_| (Outcome::Good, millis(1)))).collect();
        used.sort_unstable();
        used.dedup();
        used
    };
    let mut bench = Bench::new(settings(1e6), 3, (0..64).map(member).collect());
    assert_eq!(used(&mut bench).len(), 64);
    let mut parts = Vec::new();
    for index in 0..32 {
        let mut changed = settings(1e6);
        (changed.replica_count, changed.replica_index) = (32, index);
        change(&mut bench, &changed);
        let part = used(&mut bench);
        assert_eq!(part.len(), 8);
        parts.extend(part);
    }
    // All copies together cover each upstream alike.
    for id in 0..64 {
        assert_eq!(parts.iter().filter(|upstream| upstream.0 == id).count(), 4);
    }
}

#[test]
fn a_changed_zone_is_the_new_home() {
    let members = || (0..16).map(|id| Member { zone: Some(ZoneId(id as usize % 2)), ..member(id) }).collect();
    let at_zone = |bench: &mut Bench, zone| {
        let tried: Vec<_> = (0..200).flat_map(|_| bench.run(|_| (Outcome::Good, millis(1)))).collect();
        tried.iter().filter(|upstream| upstream.0 % 2 == zone).count()
    };
    // Below the first tier calls stay at home.
    let mut settings = Settings { zone_count: 2, tier: 1, ..settings(1e6) };
    let mut bench = Bench::new(settings.clone(), 3, members());
    assert_eq!(at_zone(&mut bench, 0), 200);
    settings.zone = ZoneId(1);
    change(&mut bench, &settings);
    assert_eq!(at_zone(&mut bench, 1), 200);
    // At the first they are learned to; of a new home nothing is known yet.
    (settings.tier, settings.zone) = (0, ZoneId(0));
    let mut bench = Bench::new(settings.clone(), 3, members());
    bench.pass(Duration::from_secs(120));
    assert_eq!(at_zone(&mut bench, 0), 200);
    settings.zone = ZoneId(1);
    change(&mut bench, &settings);
    let home = at_zone(&mut bench, 1);
    assert!((60..140).contains(&home), "{home} of 200 calls at home");
}

/// How a request in flight is repeated after its attempt broke off, where its class had these effects one by one.
fn after_changes(effects: &[Idempotency], outcome: Outcome) -> Vec<Action> {
    let with = |effect| Settings { classes: vec![class(effect)], ..settings(1000.0) };
    let mut bench = Bench::new(with(effects[0]), 5, (0..4).map(member).collect());
    let (id, actions) = bench.offer(Some(0));
    assert!(sent(&actions).is_some());
    for &effect in &effects[1..] {
        assert_eq!(change(&mut bench, &with(effect)), []);
    }
    bench.end(id, 0, outcome, millis(10))
}

#[test]
fn no_rule_on_effects_is_loosened_for_a_request_in_flight() {
    let keyed = |span| Idempotency::Deduplicated { scope: DedupScope::All, window: millis(span) };
    let changes: [&[Idempotency]; 6] = [
        &[Idempotency::NonIdempotent, Idempotency::Idempotent],
        &[Idempotency::Idempotent, Idempotency::NonIdempotent],
        &[
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
        ],
        &[Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Idempotent],
        &[Idempotency::NonIdempotent, keyed(5000)],
        &[keyed(5), keyed(5000)],
    ];
    for effects in changes {
        // It may have run: it is neither sent again nor called free to repeat.
        let actions = after_changes(effects, Outcome::Reset);
        assert!(matches!(actions[..], [Action::Fail { .. }]), "{effects:?}: {actions:?}");
        // It never ran: it goes elsewhere.
        assert!(sent(&after_changes(effects, Outcome::Refused)).is_some(), "{effects:?}");
    }
    // Where its rule has not changed it goes on as it was.
    assert!(
        sent(&after_changes(&[Idempotency::Idempotent, Idempotency::Idempotent], Outcome::Reset)).is_some()
    );
    assert!(sent(&after_changes(&[keyed(5000), keyed(5000)], Outcome::Reset)).is_some());
}

#[test]
fn requests_that_come_after_a_change_go_by_the_new_rule() {
    for (old, new) in [
        (Idempotency::NonIdempotent, Idempotency::Idempotent),
        (Idempotency::Idempotent, Idempotency::NonIdempotent),
    ] {
        let with = |effect| Settings { classes: vec![class(effect)], ..settings(1000.0) };
        let mut bench = Bench::new(with(old), 5, (0..4).map(member).collect());
        change(&mut bench, &with(new));
        let (id, _) = bench.offer(Some(0));
        assert_eq!(
            sent(&bench.end(id, 0, Outcome::Reset, millis(10))).is_some(),
            new == Idempotency::Idempotent
        );
    }
}

#[test]
fn settings_that_take_positions_away_are_refused_and_change_nothing() {
    let mut full = settings(1000.0);
    full.classes.push(class(Idempotency::NonIdempotent));
    (full.zone_count, full.machine_type_count) = (2, 3);
    let shrunk = |change: fn(&mut Settings)| {
        let mut less = Settings {
            capabilities: Capabilities { max_attempts: 1, ..full.capabilities.clone() },
            ..full.clone()
        };
        change(&mut less);
        less
    };
    let cases = [
        (shrunk(|less| less.classes.truncate(1)), SettingsError::MissingEntries("classes")),
        (shrunk(|less| less.tenants.clear()), SettingsError::MissingEntries("tenants")),
        (shrunk(|less| less.zone_count = 1), SettingsError::MissingEntries("zones")),
        (shrunk(|less| less.machine_type_count = 2), SettingsError::MissingEntries("machine types")),
        (shrunk(|less| less.replica_count = 0), SettingsError::NoReplicas),
        (shrunk(|less| less.capabilities.max_attempts = 0), SettingsError::NoAttempts),
    ];
    let mut bench = Bench::new(full.clone(), 5, (0..4).map(member).collect());
    for (less, error) in cases {
        assert_eq!(less.validate_replacement_of(&full), Err(error));
        assert_eq!(change(&mut bench, &less), []);
        // Were any of it in force, there would be no second attempt.
        let (id, _) = bench.offer(Some(0));
        assert!(sent(&bench.end(id, 0, Outcome::Refused, millis(1))).is_some());
        bench.end(id, 1, Outcome::Good, millis(1));
    }
    assert_eq!(full.validate_replacement_of(&full), Ok(()));
    assert_eq!(shrunk(|_| {}).validate_replacement_of(&full), Ok(()));
}

#[test]
fn a_shorter_time_to_ask_within_holds_at_once() {
    let mut asking = settings(1000.0);
    asking.discovery = DiscoveryMode::Subscribe;
    asking.rules.max_poll_interval = Some(millis(60_000));
    let mut bench = Bench::new(asking.clone(), 5, (0..4).map(member).collect());
    // A subscription that stands goes on.
    asking.rules.max_poll_interval = Some(millis(50_000));
    assert_eq!(change(&mut bench, &asking), []);
    bench.tell(Event::Discovery(DiscoveryUpdate::Failed));
    bench.pass(millis(2_000));
    asking.rules.max_poll_interval = Some(millis(1_000));
    assert!(change(&mut bench, &asking).contains(&Action::SubscribeToDiscovery));
    // The same settings once more ask for nothing.
    assert_eq!(change(&mut bench, &asking), []);
    // Where lists came by themselves they must be asked for from now on.
    let mut bench = Bench::new(settings(1000.0), 5, (0..4).map(member).collect());
    assert!(change(&mut bench, &asking).contains(&Action::SubscribeToDiscovery));
}
