//! Tests of the draws.

use std::time::Duration;

use super::{Arrival, Arrivals, Class};
use crate::scenario::{Depth, Scenario};

fn scenario() -> Scenario {
    let text = "name = 'test'\nduration_s = 50.0\nseed = 7\n[fleet]\nservices = 0\nhollow = 0\nreal = 4\n\
                [load]\nreal_calls_per_s = 200.0\ndirect_calls_per_s = 50.0\nunsafe_share = 0.25\n\
                leaving_share = 0.1\ndepths = [{hops = 1, share = 0.5}, {hops = 9, share = 0.5}]\n";
    toml::from_str(text).expect("a sound scenario")
}

fn drawn(scenario: &Scenario) -> Vec<Arrival> {
    Arrivals::through_balancers(scenario, 4).collect()
}

fn share(arrivals: &[Arrival], which: impl Fn(&Arrival) -> bool) -> f64 {
    arrivals.iter().filter(|arrival| which(arrival)).count() as f64 / arrivals.len() as f64
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let scenario = scenario();
    let other = Scenario { seed: 8, ..scenario.clone() };
    assert_eq!(drawn(&scenario), drawn(&scenario));
    assert_ne!(drawn(&scenario), drawn(&other));
}

#[test]
fn arrivals_have_the_rate_and_shares_of_the_scenario() {
    let arrivals = drawn(&scenario());
    assert!((9_500..10_500).contains(&arrivals.len()), "{}", arrivals.len());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.at));
    assert!(arrivals.iter().all(|arrival| arrival.at < Duration::from_secs(50) && arrival.tenant < 3));
    assert!((share(&arrivals, |arrival| arrival.hops == 9) - 0.5).abs() < 0.03);
    assert!((share(&arrivals, |arrival| arrival.class == Class::Order) - 0.25).abs() < 0.03);
    assert!((share(&arrivals, |arrival| arrival.leaves_after.is_some()) - 0.1).abs() < 0.02);
}

#[test]
fn targets_take_turns() {
    let targets: Vec<usize> = drawn(&scenario()).iter().take(6).map(|arrival| arrival.target).collect();
    assert_eq!(targets, [0, 1, 2, 3, 0, 1]);
}

#[test]
fn a_share_that_changes_moves_nothing_else() {
    let scenario = scenario();
    let mut changed = scenario.clone();
    changed.load.unsafe_share = 1.0;
    changed.load.leaving_share = 0.0;
    changed.load.depths = vec![Depth { hops: 27, share: 1.0 }];
    let times = |scenario: &Scenario| drawn(scenario).iter().map(|arrival| arrival.at).collect::<Vec<_>>();
    assert_eq!(times(&scenario), times(&changed));
}

#[test]
fn straight_calls_are_draws_of_their_own() {
    let scenario = scenario();
    let straight: Vec<Arrival> = Arrivals::straight_to_nodes(&scenario, 4).collect();
    assert!((2_300..2_700).contains(&straight.len()), "{}", straight.len());
    assert!(straight.iter().all(|arrival| arrival.hops == 1 && arrival.leaves_after.is_none()));
    assert_ne!(straight[0].id, drawn(&scenario)[0].id);
}

#[test]
fn nobody_to_call_means_no_arrivals() {
    assert_eq!(Arrivals::through_balancers(&scenario(), 0).count(), 0);
    let mut quiet = scenario();
    quiet.load.direct_calls_per_s = 0.0;
    assert_eq!(Arrivals::straight_to_nodes(&quiet, 4).count(), 0);
}
