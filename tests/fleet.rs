//! Rules that hold over the sum of all copies: a whole fleet on one clock.

mod common;

use std::time::Duration;

use common::*;
use oorandom::Rand64;
use stilelead_decision::Settings;
use stilelead_decision::interface::*;

const UPSTREAMS: u32 = 12;
/// The first ones come back cold together.
const COLD: u32 = 3;
const STEP: Duration = Duration::from_millis(5);
const WARM_UP: Duration = Duration::from_secs(8);
const WATCHED: Duration = Duration::from_secs(8);

/// A fleet and its traffic.
#[derive(Debug, Clone, Copy)]
struct Fleet {
    copies: u32,
    /// Calls a second at each copy before the burst.
    calls: f64,
    /// What becomes of calls at cold upstreams.
    cold_outcome: Outcome,
    seed: u64,
}

/// A call that reached a cold upstream.
struct Sent {
    upstream: u32,
    at: Duration,
}

fn settings(fleet: Fleet, index: u32) -> Settings {
    let mut settings = Settings::single_zone(vec![class(Idempotency::Idempotent)]);
    (settings.replica_index, settings.replica_count) = (index, fleet.copies);
    settings.capabilities.max_concurrent_streams = 1;
    settings.rules.slow_start_min_fraction = 0.15;
    settings.rules.slow_start_duration = millis(20_000);
    settings.rules.overload_factor = 1.5;
    settings.rules.overload_duration = millis(2_000);
    settings
}

/// Plays a fleet whose upstreams come back cold under a burst of half as many calls again; tells when.
fn play(fleet: Fleet) -> (Duration, Vec<Sent>) {
    let members = |started: Option<Duration>| -> Vec<Member> {
        (0..UPSTREAMS).map(|id| Member { started_at: started.filter(|_| id < COLD), ..member(id) }).collect()
    };
    let mut copies: Vec<Bench> = (0..fleet.copies)
        .map(|index| Bench::new(settings(fleet, index), fleet.seed + u64::from(index), members(None)))
        .collect();
    let mut chance = Rand64::new(u128::from(fleet.seed));
    let restart = START + WARM_UP;
    let (mut now, mut told, mut sends) = (START, false, Vec::new());
    while now < restart + WATCHED {
        now += STEP;
        if now > restart && !told {
            told = true;
            for copy in &mut copies {
                copy.tell(stilelead_decision::Event::Discovery(DiscoveryUpdate::Full(members(Some(
                    restart,
                )))));
            }
        }
        let calls = fleet.calls * if told { 1.5 } else { 1.0 };
        for copy in &mut copies {
            if chance.rand_float() < calls * STEP.as_secs_f64() {
                let (id, mut actions) = copy.offer(None);
                let mut number = 0;
                while let Some(UpstreamId(upstream)) = sent(&actions) {
                    let cold = told && upstream < COLD;
                    if cold {
                        sends.push(Sent { upstream, at: now });
                    }
                    let outcome = if cold { fleet.cold_outcome } else { Outcome::Good };
                    actions = copy.end(id, number, outcome, millis(20));
                    number += 1;
                }
            }
            copy.pass(STEP);
        }
    }
    (restart, sends)
}

/// Guards cold upstreams against all copies together: within the time of the settings each gets no more than they
/// allow it then, but for chance, though every copy sends by what it sees alone. Yet it gets some, or it never warms.
#[test]
fn a_cold_upstreams_budget_holds_over_all_copies() {
    for (copies, calls, cold_outcome, seed) in [
        (20, 6.0, Outcome::Good, 1),
        (24, 6.0, Outcome::Refused, 2),
        (30, 6.0, Outcome::Good, 3),
        (20, 40.0, Outcome::Good, 4),
        (25, 40.0, Outcome::Refused, 5),
        (30, 40.0, Outcome::Good, 6),
    ] {
        let fleet = Fleet { copies, calls, cold_outcome, seed };
        let (restart, sends) = play(fleet);
        let rules = settings(fleet, 0).rules;
        let window = rules.overload_duration;
        // Before the burst warm upstreams are at seven tenths of what they can do.
        let capacity = f64::from(copies) * calls / f64::from(UPSTREAMS) / 0.7;
        for cold in 0..COLD {
            let times: Vec<Duration> =
                sends.iter().filter(|sent| sent.upstream == cold).map(|sent| sent.at).collect();
            for (place, &begin) in times.iter().enumerate() {
                let count = times[place..].iter().take_while(|&&at| at < begin + window).count() as f64;
                let age = (begin - restart).as_secs_f64() / rules.slow_start_duration.as_secs_f64();
                let warmth = rules.slow_start_min_fraction + (1.0 - rules.slow_start_min_fraction) * age;
                let allowed = rules.overload_factor * warmth * capacity * window.as_secs_f64();
                let most = allowed + 2.0 * allowed.sqrt() + 2.0;
                assert!(count <= most, "{fleet:?}: {count} calls of {most} to {cold}");
            }
            assert!(!times.is_empty(), "{fleet:?}: none to {cold}");
        }
    }
}
