//! Tests of limits on the sum over all replicas: simulates all replicas of a fleet with a common clock.

mod common;

use std::time::Duration;

use common::*;
use oorandom::Rand64;
use stilelead_decision::Settings;
use stilelead_decision::interface::*;

/// Number of upstreams of the simulated tier.
const UPSTREAMS: u32 = 12;
/// Number of upstreams, from id 0, that restart at the same time and enter slow start.
const RESTARTED_UPSTREAMS: u32 = 3;
/// Simulated time by which the clock of the fleet advances per step.
const STEP: Duration = Duration::from_millis(5);
/// Simulated time before some upstreams restart.
const WARM_UP: Duration = Duration::from_secs(8);
/// Simulated time after the restart of the upstreams for which requests are recorded.
const OBSERVATION: Duration = Duration::from_secs(8);

/// The size of a fleet and its load.
#[derive(Debug, Clone, Copy)]
struct FleetScenario {
    replica_count: u32,
    /// Requests per second at each replica before the burst.
    requests_per_s: f64,
    /// The outcome of requests sent to upstreams in slow start.
    slow_start_outcome: Outcome,
    /// The seed of the arrivals of requests; each replica gets this seed plus its index.
    seed: u64,
}

/// A request sent to an upstream in slow start.
struct SlowStartSend {
    upstream: u32,
    sent_at: Duration,
}

/// The settings of one replica of the fleet.
fn settings(scenario: FleetScenario, replica_index: u32) -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    (settings.replica_index, settings.replica_count) = (replica_index, scenario.replica_count);
    settings.capabilities.max_concurrent_streams = 1;
    settings.rules.slow_start_min_fraction = 0.15;
    settings.rules.slow_start_duration = millis(20_000);
    settings.rules.overload_factor = 1.5;
    settings.rules.overload_duration = millis(2_000);
    settings
}

/// Simulates a fleet in which some upstreams restart while the load rises by half. Returns the time of the
/// restart and the requests that were sent to the restarted upstreams.
fn run_fleet(scenario: FleetScenario) -> (Duration, Vec<SlowStartSend>) {
    let members = |started_at: Option<Duration>| -> Vec<Member> {
        (0..UPSTREAMS)
            .map(|id| Member { started_at: started_at.filter(|_| id < RESTARTED_UPSTREAMS), ..member(id) })
            .collect()
    };
    let mut replicas: Vec<Harness> = (0..scenario.replica_count)
        .map(|replica_index| {
            Harness::new(
                settings(scenario, replica_index),
                scenario.seed + u64::from(replica_index),
                members(None),
            )
        })
        .collect();
    let mut rng = Rand64::new(u128::from(scenario.seed));
    let restarted_at = START + WARM_UP;
    let (mut now, mut restart_announced, mut sends) = (START, false, Vec::new());
    while now < restarted_at + OBSERVATION {
        now += STEP;
        if now > restarted_at && !restart_announced {
            restart_announced = true;
            for replica in &mut replicas {
                replica.handle(stilelead_decision::Event::Discovery(DiscoveryUpdate::Full(members(Some(
                    restarted_at,
                )))));
            }
        }
        let requests_per_s = scenario.requests_per_s * if restart_announced { 1.5 } else { 1.0 };
        for replica in &mut replicas {
            if rng.rand_float() < requests_per_s * STEP.as_secs_f64() {
                let (id, mut actions) = replica.submit(None);
                let mut attempt = 0;
                while let Some(UpstreamId(upstream)) = sent_to(&actions) {
                    let in_slow_start = restart_announced && upstream < RESTARTED_UPSTREAMS;
                    if in_slow_start {
                        sends.push(SlowStartSend { upstream, sent_at: now });
                    }
                    let outcome = if in_slow_start { scenario.slow_start_outcome } else { Outcome::Good };
                    actions = replica.end_attempt(id, attempt, outcome, millis(20));
                    attempt += 1;
                }
            }
            replica.advance(STEP);
        }
    }
    (restarted_at, sends)
}

/// Guards against overload of upstreams in slow start by all replicas together, each of which knows only its
/// own requests: within the overload duration an upstream gets no more than its overload limit plus random
/// variation. It must get some requests all the same, or it never warms up.
#[test]
fn the_slow_start_limit_holds_over_all_replicas() {
    for (replica_count, requests_per_s, slow_start_outcome, seed) in [
        (20, 6.0, Outcome::Good, 1),
        (24, 6.0, Outcome::Refused, 2),
        (30, 6.0, Outcome::Good, 3),
        (20, 40.0, Outcome::Good, 4),
        (25, 40.0, Outcome::Refused, 5),
        (30, 40.0, Outcome::Good, 6),
    ] {
        let scenario = FleetScenario { replica_count, requests_per_s, slow_start_outcome, seed };
        let (restarted_at, sends) = run_fleet(scenario);
        let rules = settings(scenario, 0).rules;
        let window = rules.overload_duration;
        // Before the burst, warm upstreams are at 70% of their capacity.
        let capacity = f64::from(replica_count) * requests_per_s / f64::from(UPSTREAMS) / 0.7;
        for upstream in 0..RESTARTED_UPSTREAMS {
            let send_times: Vec<Duration> =
                sends.iter().filter(|send| send.upstream == upstream).map(|send| send.sent_at).collect();
            for (position, &window_start) in send_times.iter().enumerate() {
                let sends_in_window = send_times[position..]
                    .iter()
                    .take_while(|&&sent_at| sent_at < window_start + window)
                    .count() as f64;
                let age_fraction =
                    (window_start - restarted_at).as_secs_f64() / rules.slow_start_duration.as_secs_f64();
                let capacity_fraction =
                    rules.slow_start_min_fraction + (1.0 - rules.slow_start_min_fraction) * age_fraction;
                let allowed = rules.overload_factor * capacity_fraction * capacity * window.as_secs_f64();
                let max_sends = allowed + 2.0 * allowed.sqrt() + 2.0;
                assert!(
                    sends_in_window <= max_sends,
                    "{scenario:?}: {sends_in_window} requests to upstream {upstream}, maximum {max_sends}"
                );
            }
            assert!(!send_times.is_empty(), "{scenario:?}: no requests to upstream {upstream}");
        }
    }
}
