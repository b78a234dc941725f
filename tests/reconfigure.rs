//! Tests of new settings for a running replica: they apply from then on, and learned state and requests in
//! flight are kept.

mod common;

use std::time::Duration;

use common::*;
use stilelead_decision::interface::*;
use stilelead_decision::{Action, Event, Settings};

/// Settings with one tenant of the given quota, in requests per second.
fn settings(quota: f64) -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    settings.tenants = vec![Tenant { quota: Some(quota) }];
    settings.over_quota_value = 0.0;
    settings
}

/// Replaces the settings of the balancer and returns its actions.
fn apply_settings(harness: &mut Harness, settings: &Settings) -> Vec<Action> {
    harness.handle(Event::SettingsChanged(Box::new(settings.clone())))
}

/// Submits a request of the given class and tenant, and returns the actions that follow.
fn submit(harness: &mut Harness, id: u64, class: usize, tenant: usize) -> Vec<Action> {
    harness.handle(Event::Request(Request {
        id: RequestId(1_000_000 + id),
        class: ClassId(class),
        tenant: Some(TenantId(tenant)),
        resource_key: None,
        time_left: millis(3000),
        expected_work: None,
        is_retry: false,
    }))
}

/// Submits requests at the given rate, ends each admitted one with `outcome`, and returns the fraction
/// admitted.
fn admitted_fraction(
    harness: &mut Harness,
    tenant: usize,
    requests_per_s: f64,
    requests: u32,
    outcome: Outcome,
) -> f64 {
    let mut admitted = 0;
    for _ in 0..requests {
        harness.advance(Duration::from_secs_f64(1.0 / requests_per_s));
        let (id, actions) = harness.submit(Some(tenant));
        if sent_to(&actions).is_some() {
            admitted += 1;
            harness.end_attempt(id, 0, outcome, millis(20));
        }
    }
    f64::from(admitted) / f64::from(requests)
}

/// The fraction admitted of requests that all arrive at the same time, so that nothing is learned between
/// them.
fn admitted_fraction_of_burst(harness: &mut Harness, tenant: usize, requests: u32) -> f64 {
    let admitted = (0..requests).filter(|_| sent_to(&harness.submit(Some(tenant)).1).is_some()).count();
    admitted as f64 / f64::from(requests)
}

/// Guards against a new quota that has no effect until the next start, and against losing what the limit has
/// learned about congestion.
#[test]
fn a_changed_quota_applies_and_keeps_the_learned_fraction() {
    let members = || (0..4).map(member).collect();
    // Without congestion, the limit rises from 10 to about 36 requests per second.
    let mut uncongested = Harness::new(settings(25.0 / 3.0), 5, members());
    let before = admitted_fraction(&mut uncongested, 0, 40.0, 400, Outcome::Good);
    apply_settings(&mut uncongested, &settings(100.0 / 3.0));
    let after = admitted_fraction(&mut uncongested, 0, 40.0, 400, Outcome::Good);
    assert!(before < 0.4 && after > 0.85, "{before} admitted before, {after} after");
    // Under congestion, the limit is at a quarter of the fair share, and stays at a quarter of the new one.
    let mut congested = Harness::new(settings(25.0 / 3.0), 5, members());
    admitted_fraction(&mut congested, 0, 40.0, 1600, Outcome::TimedOut);
    apply_settings(&mut congested, &settings(100.0 / 3.0));
    let after = admitted_fraction(&mut congested, 0, 40.0, 400, Outcome::TimedOut);
    assert!((0.12..0.5).contains(&after), "{after} admitted after congestion");
}

/// Guards against losing a learned limit, or lowering it again, when unrelated settings change.
#[test]
fn a_settings_change_keeps_a_learned_limit() {
    for quota in [Some(25.0 / 3.0), None] {
        let settings = Settings { tenants: vec![Tenant { quota }], ..settings(0.0) };
        let fraction_after_congestion = |with_change: bool| {
            let mut harness = Harness::new(settings.clone(), 5, (0..4).map(member).collect());
            admitted_fraction(&mut harness, 0, 40.0, 800, Outcome::TimedOut);
            if with_change {
                apply_settings(&mut harness, &Settings { over_quota_value: 0.1, ..settings.clone() });
            }
            admitted_fraction_of_burst(&mut harness, 0, 80)
        };
        let (with_change, without_change) =
            (fraction_after_congestion(true), fraction_after_congestion(false));
        assert_eq!(with_change, without_change);
        assert!(without_change < 0.3, "{without_change} admitted after congestion");
    }
}

/// Guards against losing the learned shared limit: a new tenant starts with its full quota, but the limit
/// shared by all tenants stays as learned.
#[test]
fn the_shared_limit_keeps_its_learned_rate_when_a_tenant_is_added() {
    let new_tenant_fraction = |outcome| {
        let mut harness = Harness::new(settings(25.0 / 3.0), 5, (0..4).map(member).collect());
        admitted_fraction(&mut harness, 0, 40.0, 1600, outcome);
        let mut extended = settings(25.0 / 3.0);
        extended.tenants.push(Tenant { quota: Some(200.0) });
        apply_settings(&mut harness, &extended);
        admitted_fraction_of_burst(&mut harness, 1, 600)
    };
    let (uncongested, congested) =
        (new_tenant_fraction(Outcome::Good), new_tenant_fraction(Outcome::TimedOut));
    assert!(
        uncongested > 0.95 && congested < 0.4,
        "{uncongested} admitted without congestion, {congested} after congestion"
    );
}

/// Guards against refusing requests of a class or tenant that was added while the replica runs.
#[test]
fn a_new_class_and_a_new_tenant_are_served() {
    let mut harness = Harness::new(settings(25.0 / 3.0), 5, (0..4).map(member).collect());
    assert!(is_refused(&submit(&mut harness, 0, 1, 0)), "the settings do not have this class yet");
    let mut extended = settings(25.0 / 3.0);
    extended.classes.push(class(Idempotency::NonIdempotent));
    extended.tenants.push(Tenant { quota: Some(100.0) });
    apply_settings(&mut harness, &extended);
    assert!(sent_to(&submit(&mut harness, 1, 1, 1)).is_some());
    // Each tenant has its own limit: requests of the new one are admitted while most of those of the
    // old one are denied.
    let old = admitted_fraction(&mut harness, 0, 40.0, 400, Outcome::Good);
    let new = admitted_fraction(&mut harness, 1, 40.0, 400, Outcome::Good);
    assert!(old < 0.5 && new > 0.95, "{old} of the old tenant's requests admitted, {new} of the new one's");
}

/// Guards against a change of settings that ends requests in flight or shortens their deadlines.
#[test]
fn requests_in_flight_continue_and_keep_their_deadlines() {
    let mut harness = Harness::new(settings(1000.0), 5, (0..4).map(member).collect());
    let ids: Vec<_> = (0..6).map(|_| harness.submit(Some(0)).0).collect();
    harness.advance(millis(400));
    let mut changed = settings(900.0);
    changed.classes[0].latency_target = millis(100);
    changed.capabilities.max_attempts = 2;
    changed.replica_count = 7;
    changed.replica_index = 3;
    changed.tenants.push(Tenant { quota: Some(5.0) });
    assert_eq!(apply_settings(&mut harness, &changed), []);
    for &id in &ids[..3] {
        assert_eq!(harness.end_attempt(id, 0, Outcome::Good, millis(400)), []);
    }
    for &id in &ids[3..] {
        let actions = harness.end_attempt(id, 0, Outcome::ConnectFailed, millis(400));
        let timeout = actions.iter().find_map(|action| match action {
            Action::Send { timeout, .. } => *timeout,
            _ => None,
        });
        let timeout = timeout.expect("the attempt is rerouted");
        assert!(timeout > millis(590), "timeout reduced to {timeout:?}");
        // The new maximum of two attempts applies to it as well.
        assert_eq!(sent_to(&harness.end_attempt(id, 1, Outcome::ConnectFailed, millis(1))), None);
    }
}

/// Guards against a change of settings that makes a replica forget which upstreams fail.
#[test]
fn an_ejected_upstream_stays_ejected() {
    let mut harness = Harness::new(settings(1000.0), 3, (0..6).map(member).collect());
    let outcome_of = |upstream: UpstreamId| {
        if upstream.0 == 0 { (Outcome::ConnectFailed, millis(20)) } else { (Outcome::Good, millis(20)) }
    };
    // The second failed connect in a row ejects the upstream for more than a second.
    let mut tried = 0;
    while tried < 2 {
        tried += u32::from(harness.run_request(outcome_of).contains(&UpstreamId(0)));
    }
    let mut changed = settings(1000.0);
    changed.classes[0].late_value = 0.5;
    apply_settings(&mut harness, &changed);
    for _ in 0..50 {
        assert!(
            !harness.run_request(outcome_of).contains(&UpstreamId(0)),
            "sent to an upstream that is ejected"
        );
    }
}

/// Guards against uneven load after a fleet has grown or shrunk while its replicas run.
#[test]
fn a_changed_replica_count_recomputes_the_subset() {
    let upstreams_used = |harness: &mut Harness| {
        let mut upstreams_used: Vec<_> =
            (0..600).flat_map(|_| harness.run_request(|_| (Outcome::Good, millis(1)))).collect();
        upstreams_used.sort_unstable();
        upstreams_used.dedup();
        upstreams_used
    };
    let mut harness = Harness::new(settings(1e6), 3, (0..64).map(member).collect());
    assert_eq!(upstreams_used(&mut harness).len(), 64);
    let mut all_subsets = Vec::new();
    for index in 0..32 {
        let mut changed = settings(1e6);
        (changed.replica_count, changed.replica_index) = (32, index);
        apply_settings(&mut harness, &changed);
        let subset = upstreams_used(&mut harness);
        assert_eq!(subset.len(), 8);
        all_subsets.extend(subset);
    }
    // The subsets of all replicas cover each upstream equally often.
    for id in 0..64 {
        assert_eq!(all_subsets.iter().filter(|upstream| upstream.0 == id).count(), 4);
    }
}

/// Guards against preferring the former zone, or against sending all requests to the new zone before anything
/// is known of its latency.
#[test]
fn a_changed_zone_becomes_the_local_zone() {
    let members = || (0..16).map(|id| Member { zone: Some(ZoneId(id as usize % 2)), ..member(id) }).collect();
    let requests_to_zone = |harness: &mut Harness, zone| {
        let tried: Vec<_> =
            (0..200).flat_map(|_| harness.run_request(|_| (Outcome::Good, millis(1)))).collect();
        tried.iter().filter(|upstream| upstream.0 % 2 == zone).count()
    };
    // Below the first tier, requests stay in the local zone.
    let mut settings = Settings { zone_count: 2, tier: 1, ..settings(1e6) };
    let mut harness = Harness::new(settings.clone(), 3, members());
    assert_eq!(requests_to_zone(&mut harness, 0), 200);
    settings.zone = ZoneId(1);
    apply_settings(&mut harness, &settings);
    assert_eq!(requests_to_zone(&mut harness, 1), 200);
    // In the first tier the local share is learned, and nothing is known of a new local zone yet.
    (settings.tier, settings.zone) = (0, ZoneId(0));
    let mut harness = Harness::new(settings.clone(), 3, members());
    harness.advance(Duration::from_secs(120));
    assert_eq!(requests_to_zone(&mut harness, 0), 200);
    settings.zone = ZoneId(1);
    apply_settings(&mut harness, &settings);
    let local_requests = requests_to_zone(&mut harness, 1);
    assert!((60..140).contains(&local_requests), "{local_requests} of 200 requests in the local zone");
}

/// The actions after the attempt of a request has ended with `outcome`, if the idempotency of its class went
/// through the given values while the attempt was in flight.
fn actions_after_changes(idempotency_changes: &[Idempotency], outcome: Outcome) -> Vec<Action> {
    let settings_with = |idempotency| Settings { classes: vec![class(idempotency)], ..settings(1000.0) };
    let mut harness = Harness::new(settings_with(idempotency_changes[0]), 5, (0..4).map(member).collect());
    let (id, actions) = harness.submit(Some(0));
    assert!(sent_to(&actions).is_some());
    for &idempotency in &idempotency_changes[1..] {
        assert_eq!(apply_settings(&mut harness, &settings_with(idempotency)), []);
    }
    harness.end_attempt(id, 0, outcome, millis(10))
}

/// Guards against executing a request twice because the idempotency of its class changed while it was in
/// flight.
#[test]
fn idempotency_rules_are_not_relaxed_for_requests_in_flight() {
    let deduplicated =
        |window_ms| Idempotency::Deduplicated { scope: DedupScope::All, window: millis(window_ms) };
    let cases: [&[Idempotency]; 6] = [
        &[Idempotency::NonIdempotent, Idempotency::Idempotent],
        &[Idempotency::Idempotent, Idempotency::NonIdempotent],
        &[
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
            Idempotency::NonIdempotent,
            Idempotency::Idempotent,
        ],
        &[Idempotency::Idempotent, Idempotency::NonIdempotent, Idempotency::Idempotent],
        &[Idempotency::NonIdempotent, deduplicated(5000)],
        &[deduplicated(5), deduplicated(5000)],
    ];
    for idempotency_changes in cases {
        // The attempt may have been executed: the request is neither retried nor reported as safe to retry.
        let actions = actions_after_changes(idempotency_changes, Outcome::Reset);
        assert!(matches!(actions[..], [Action::Fail { .. }]), "{idempotency_changes:?}: {actions:?}");
        // The attempt was never executed: the request is rerouted.
        assert!(
            sent_to(&actions_after_changes(idempotency_changes, Outcome::Refused)).is_some(),
            "{idempotency_changes:?}"
        );
    }
    // Without a change of idempotency, the request is retried as before.
    assert!(
        sent_to(&actions_after_changes(&[Idempotency::Idempotent, Idempotency::Idempotent], Outcome::Reset))
            .is_some()
    );
    assert!(
        sent_to(&actions_after_changes(&[deduplicated(5000), deduplicated(5000)], Outcome::Reset)).is_some()
    );
}

/// Guards against applying the former idempotency of a class to requests that arrive after the change.
#[test]
fn requests_after_a_change_follow_the_new_idempotency() {
    for (old, new) in [
        (Idempotency::NonIdempotent, Idempotency::Idempotent),
        (Idempotency::Idempotent, Idempotency::NonIdempotent),
    ] {
        let settings_with = |idempotency| Settings { classes: vec![class(idempotency)], ..settings(1000.0) };
        let mut harness = Harness::new(settings_with(old), 5, (0..4).map(member).collect());
        apply_settings(&mut harness, &settings_with(new));
        let (id, _) = harness.submit(Some(0));
        assert_eq!(
            sent_to(&harness.end_attempt(id, 0, Outcome::Reset, millis(10))).is_some(),
            new == Idempotency::Idempotent
        );
    }
}

/// Guards against settings that would make indices in use invalid, and against applying a part of rejected
/// settings.
#[test]
fn replacements_that_remove_entries_are_rejected_and_change_nothing() {
    let mut current = settings(1000.0);
    current.classes.push(class(Idempotency::NonIdempotent));
    (current.zone_count, current.machine_type_count) = (2, 3);
    let reduced = |change: fn(&mut Settings)| {
        let mut replacement = Settings {
            capabilities: Capabilities { max_attempts: 1, ..current.capabilities.clone() },
            ..current.clone()
        };
        change(&mut replacement);
        replacement
    };
    let cases = [
        (reduced(|replacement| replacement.classes.truncate(1)), SettingsError::MissingEntries("classes")),
        (reduced(|replacement| replacement.tenants.clear()), SettingsError::MissingEntries("tenants")),
        (reduced(|replacement| replacement.zone_count = 1), SettingsError::MissingEntries("zones")),
        (
            reduced(|replacement| replacement.machine_type_count = 2),
            SettingsError::MissingEntries("machine types"),
        ),
        (reduced(|replacement| replacement.replica_count = 0), SettingsError::NoReplicas),
        (reduced(|replacement| replacement.capabilities.max_attempts = 0), SettingsError::NoAttempts),
    ];
    let mut harness = Harness::new(current.clone(), 5, (0..4).map(member).collect());
    for (replacement, error) in cases {
        assert_eq!(replacement.validate_replacement_of(&current), Err(error));
        assert_eq!(apply_settings(&mut harness, &replacement), []);
        // If any of the replacement were in force, there would be no second attempt.
        let (id, _) = harness.submit(Some(0));
        assert!(sent_to(&harness.end_attempt(id, 0, Outcome::Refused, millis(1))).is_some());
        harness.end_attempt(id, 1, Outcome::Good, millis(1));
    }
    assert_eq!(current.validate_replacement_of(&current), Ok(()));
    assert_eq!(reduced(|_| {}).validate_replacement_of(&current), Ok(()));
}

/// Guards against a replica that waits for the former, longer interval before it subscribes to discovery
/// again.
#[test]
fn a_shorter_poll_interval_applies_immediately() {
    let mut polling = settings(1000.0);
    polling.discovery = DiscoveryMode::Subscribe;
    polling.rules.max_poll_interval = Some(millis(60_000));
    let mut harness = Harness::new(polling.clone(), 5, (0..4).map(member).collect());
    // A subscription that is up continues.
    polling.rules.max_poll_interval = Some(millis(50_000));
    assert_eq!(apply_settings(&mut harness, &polling), []);
    harness.handle(Event::Discovery(DiscoveryUpdate::Failed));
    harness.advance(millis(2_000));
    polling.rules.max_poll_interval = Some(millis(1_000));
    assert!(apply_settings(&mut harness, &polling).contains(&Action::SubscribeToDiscovery));
    // The same settings again cause no actions.
    assert_eq!(apply_settings(&mut harness, &polling), []);
    // After a change from pushed lists, the replica must subscribe.
    let mut harness = Harness::new(settings(1000.0), 5, (0..4).map(member).collect());
    assert!(apply_settings(&mut harness, &polling).contains(&Action::SubscribeToDiscovery));
}
