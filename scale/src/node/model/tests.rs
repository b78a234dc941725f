//! Tests of the node model in simulated time.

use super::*;

fn settings() -> scenario::Node {
    scenario::Node { cores: 2, work_ms: 100.0, work_fixed: true, queue: 3, ..scenario::Node::default() }
}

fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn ends_at(admission: Admission) -> Duration {
    match admission {
        Admission::Runs { ends_at, .. } => ends_at,
        other => panic!("does not run: {other:?}"),
    }
}

#[test]
fn requests_run_in_parallel_on_the_cores_and_then_queue() {
    let mut node = NodeModel::new(&settings(), 1);
    let ends: Vec<_> = (0..5).map(|_| ends_at(node.admit_request(ms(0)))).collect();
    assert_eq!(ends, [ms(100), ms(100), ms(200), ms(200), ms(300)]);
    let load = node.load(ms(0));
    assert_eq!((load.active, load.waiting), (2, 3));
    let later = node.load(ms(150));
    assert_eq!((later.active, later.waiting), (2, 1));
    assert_eq!(node.load(ms(300)).active, 0);
}

#[test]
fn a_request_is_rejected_while_the_queue_is_full() {
    let mut node = NodeModel::new(&settings(), 1);
    for _ in 0..5 {
        ends_at(node.admit_request(ms(0)));
    }
    assert_eq!(node.admit_request(ms(99)), Admission::QueueFull);
    assert_eq!(ends_at(node.admit_request(ms(100))), ms(300));
}

#[test]
fn without_a_queue_a_free_core_still_takes_a_request() {
    let mut node = NodeModel::new(&scenario::Node { queue: 0, cores: 1, ..settings() }, 1);
    assert_eq!(ends_at(node.admit_request(ms(5))), ms(105));
    assert_eq!(node.admit_request(ms(50)), Admission::QueueFull);
    assert_eq!(ends_at(node.admit_request(ms(105))), ms(205));
}

#[test]
fn a_restarted_node_starts_slow_and_speeds_up_linearly() {
    let cold = scenario::Node { cores: 1, cold_share: 0.25, cold_s: 10.0, fall_multiple: 1e6, ..settings() };
    let mut node = NodeModel::new(&cold, 1);
    assert_eq!(ends_at(node.admit_request(ms(0))), ms(100));
    node.restart(ms(1000));
    // The speed rises from 0.25 to 1 within 10 s, so the work done after t seconds is 0.25 t + 0.0375 t^2.
    // It is 0.1 at t = 0.37851 s.
    assert_eq!(ends_at(node.admit_request(ms(1000))).as_micros(), 1_378_509);
    // Halfway through the warm-up it works at 0.625 of its speed.
    let work_duration = ends_at(node.admit_request(ms(6000))) - ms(6000);
    assert!(work_duration > ms(158) && work_duration < ms(160), "{work_duration:?}");
    assert_eq!(ends_at(node.admit_request(ms(11_000))), ms(11_100));
}

#[test]
fn work_that_starts_during_warm_up_ends_at_full_speed() {
    let cold = scenario::Node { work_ms: 2000.0, cold_share: 0.5, cold_s: 2.0, ..settings() };
    let mut node = NodeModel::new(&cold, 1);
    node.restart(ms(0));
    // 1.5 s of work are done within the 2 s of warm-up.
    assert_eq!(ends_at(node.admit_request(ms(0))), ms(2500));
}

#[test]
fn a_cold_node_collapses_on_the_first_request_over_its_limit_and_stays_down() {
    // At the start 2 cores complete 0.25 * 20 requests per second; 4 times that over 2 s is 40, and the slack
    // is 2 * sqrt(40) + 2.
    let cold =
        scenario::Node { cold_share: 0.25, cold_s: 1e6, fall_multiple: 4.0, fall_s: 2.0, ..settings() };
    let mut node = NodeModel::new(&cold, 1);
    node.restart(ms(0));
    for request in 0..54 {
        assert_ne!(node.admit_request(ms(request)), Admission::Down, "request {request}");
    }
    assert!(!node.is_down());
    assert_eq!(node.admit_request(ms(60)), Admission::Down);
    assert!(node.is_down());
    assert_eq!(node.admit_request(ms(60_000)), Admission::Down);
    node.restart(ms(61_000));
    assert!(!node.is_down());
    assert_ne!(node.admit_request(ms(61_000)), Admission::Down);
}

#[test]
fn the_limit_of_a_cold_node_applies_to_a_sliding_window() {
    let cold =
        scenario::Node { cold_share: 0.25, cold_s: 1e6, fall_multiple: 4.0, fall_s: 2.0, ..settings() };
    let mut node = NodeModel::new(&cold, 1);
    node.restart(ms(0));
    // 25 requests per second are 50 in any window of 2 s, within the limit of 54.6.
    for request in 0..5000 {
        assert_ne!(node.admit_request(ms(request * 40)), Admission::Down, "request {request}");
    }
}

#[test]
fn a_warm_node_rejects_requests_and_never_collapses() {
    let mut node = NodeModel::new(&settings(), 1);
    let rejected = (0..5000).filter(|_| node.admit_request(ms(1)) == Admission::QueueFull).count();
    assert_eq!(rejected, 4995);
    node.restart(ms(2));
    let warm = ms(2) + Duration::from_secs_f64(settings().cold_s);
    assert!((0..5000).all(|_| node.admit_request(warm) != Admission::Down));
}

#[test]
fn a_connection_keeps_a_core_busy_before_the_request_on_it() {
    let connecting = scenario::Node { cores: 1, connect_ms: 20.0, ..settings() };
    let mut node = NodeModel::new(&connecting, 1);
    node.add_connection(ms(0));
    assert_eq!(ends_at(node.admit_request(ms(0))), ms(120));
}

#[test]
fn drawn_work_has_the_configured_mean_and_outcomes_their_shares() {
    let drawn =
        scenario::Node { cores: 1, work_fixed: false, error_share: 0.2, reset_share: 0.1, ..settings() };
    let mut node = NodeModel::new(&drawn, 7);
    let mut work = Duration::ZERO;
    let (mut errors, mut resets) = (0, 0);
    for request in 0..20_000 {
        let now = Duration::from_secs(request * 10);
        let Admission::Runs { ends_at, outcome } = node.admit_request(now) else { panic!("does not run") };
        work += ends_at - now;
        errors += u32::from(outcome == WorkOutcome::Error);
        resets += u32::from(outcome == WorkOutcome::Reset);
    }
    let mean_s = work.as_secs_f64() / 20_000.0;
    assert!((0.097..0.103).contains(&mean_s), "{mean_s}");
    assert!((3800..4200).contains(&errors), "{errors}");
    assert!((1850..2150).contains(&resets), "{resets}");
}

#[test]
fn the_same_seed_draws_the_same() {
    let drawn = scenario::Node { work_fixed: false, error_share: 0.5, ..settings() };
    let draw_admissions = |seed| {
        let mut node = NodeModel::new(&drawn, seed);
        (0..100).map(|request| node.admit_request(ms(request * 30))).collect::<Vec<_>>()
    };
    assert_eq!(draw_admissions(3), draw_admissions(3));
    assert_ne!(draw_admissions(3), draw_admissions(4));
}

#[test]
fn utilization_follows_the_share_of_busy_cores() {
    let mut node = NodeModel::new(&settings(), 1);
    for request in 0..100 {
        ends_at(node.admit_request(ms(request * 100)));
    }
    let busy = node.load(ms(10_000)).utilization;
    assert!((0.49..0.51).contains(&busy), "{busy}");
    let idle = node.load(ms(20_000)).utilization;
    assert!(idle < 0.01, "{idle}");
    assert_eq!(node.load(ms(20_000)).latency, ms(100));
}

#[test]
fn an_earlier_time_counts_as_the_latest_one() {
    let mut node = NodeModel::new(&scenario::Node { cores: 1, ..settings() }, 1);
    ends_at(node.admit_request(ms(500)));
    assert_eq!(ends_at(node.admit_request(ms(400))), ms(700));
    assert_eq!(node.load(ms(400)).waiting, 1);
}
