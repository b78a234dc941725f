//! Tests of the drawn arrivals.

use std::time::Duration;

use super::{Arrival, Arrivals, Class};
use crate::scenario::{Depth, Scenario};

fn scenario() -> Scenario {
    let text = "name = 'test'\nduration_s = 50.0\nseed = 7\n[fleet]\nservices = 0\nhollow = 0\nreal = 4\n\
                [load]\nreal_calls_per_s = 200.0\ndirect_calls_per_s = 50.0\nunsafe_share = 0.25\n\
                leaving_share = 0.1\ndepths = [{hops = 1, share = 0.5}, {hops = 9, share = 0.5}]\n";
    toml::from_str(text).expect("a valid scenario")
}

fn draw_arrivals(scenario: &Scenario) -> Vec<Arrival> {
    Arrivals::to_balancers(scenario, 4).collect()
}

fn share(arrivals: &[Arrival], matches: impl Fn(&Arrival) -> bool) -> f64 {
    arrivals.iter().filter(|arrival| matches(arrival)).count() as f64 / arrivals.len() as f64
}

#[test]
fn the_same_seed_gives_the_same_arrivals() {
    let scenario = scenario();
    let other = Scenario { seed: 8, ..scenario.clone() };
    assert_eq!(draw_arrivals(&scenario), draw_arrivals(&scenario));
    assert_ne!(draw_arrivals(&scenario), draw_arrivals(&other));
}

#[test]
fn arrivals_have_the_rate_and_shares_of_the_scenario() {
    let arrivals = draw_arrivals(&scenario());
    assert!((9_500..10_500).contains(&arrivals.len()), "{}", arrivals.len());
    assert!(arrivals.is_sorted_by_key(|arrival| arrival.offset));
    assert!(arrivals.iter().all(|arrival| arrival.offset < Duration::from_secs(50) && arrival.tenant < 3));
    assert!((share(&arrivals, |arrival| arrival.hops == 9) - 0.5).abs() < 0.03);
    assert!((share(&arrivals, |arrival| arrival.class == Class::Order) - 0.25).abs() < 0.03);
    assert!((share(&arrivals, |arrival| arrival.disconnect_after.is_some()) - 0.1).abs() < 0.02);
}

#[test]
fn targets_are_called_in_turn() {
    let targets: Vec<usize> =
        draw_arrivals(&scenario()).iter().take(6).map(|arrival| arrival.target).collect();
    assert_eq!(targets, [0, 1, 2, 3, 0, 1]);
}

#[test]
fn changing_a_share_does_not_move_arrival_times() {
    let scenario = scenario();
    let mut changed = scenario.clone();
    changed.load.unsafe_share = 1.0;
    changed.load.leaving_share = 0.0;
    changed.load.depths = vec![Depth { hops: 27, share: 1.0 }];
    let times = |scenario: &Scenario| {
        draw_arrivals(scenario).iter().map(|arrival| arrival.offset).collect::<Vec<_>>()
    };
    assert_eq!(times(&scenario), times(&changed));
}

#[test]
fn direct_calls_are_drawn_independently() {
    let scenario = scenario();
    let direct: Vec<Arrival> = Arrivals::directly_to_nodes(&scenario, 4).collect();
    assert!((2_300..2_700).contains(&direct.len()), "{}", direct.len());
    assert!(direct.iter().all(|arrival| arrival.hops == 1 && arrival.disconnect_after.is_none()));
    assert_ne!(direct[0].first_request_id, draw_arrivals(&scenario)[0].first_request_id);
}

#[test]
fn no_targets_or_no_rate_means_no_arrivals() {
    assert_eq!(Arrivals::to_balancers(&scenario(), 0).count(), 0);
    let mut quiet = scenario();
    quiet.load.direct_calls_per_s = 0.0;
    assert_eq!(Arrivals::directly_to_nodes(&quiet, 4).count(), 0);
}
