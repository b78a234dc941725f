//! The report and its table, built from fixed measurements.

use std::path::Path;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use stilelead_scale::record::{Call, CallOutcome, ControlUsage, ProcessUsage, Record};
use stilelead_scale::report::{FaultPeriod, Report, Run, ServedShare};
use stilelead_scale::scenario::load::parse;
use stilelead_scale::scenario::{FaultKind, Scenario};
use stilelead_scale::table;
use stilelead_scale::topology::{BalancerId, BalancerKind};

const BASE_SCENARIO: &str = r#"
name = "plain"
scale = "a tenth"
seed = 7
duration_s = 10.0
fleet = { services = 2, hollow = 4, real = 2 }
load = { real_calls_per_s = 10.0 }
"#;

fn scenario(overrides: &[&str]) -> Scenario {
    let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
    parse(Path::new("plain.toml"), BASE_SCENARIO, &overrides).expect("a scenario")
}

fn run(scenario: &Scenario, start: Instant) -> Run<'_> {
    Run {
        scenario,
        start: Some(start),
        load_duration_s: 10.0,
        faults: Vec::new(),
        control_usage: Vec::new(),
        hollow_cpu_s: 2.0,
        balancers_with_stale_list: None,
        hollow_summary: None,
        tool_usage: None,
        partial_reason: None,
    }
}

fn call(
    start: Instant,
    arrival_ms: u64,
    balancer_kind: BalancerKind,
    hops: u32,
    outcome: CallOutcome,
    took_ms: u64,
) -> Call {
    let latency = Duration::from_millis(took_ms);
    Call {
        balancer_kind,
        hops,
        outcome,
        latency,
        ended_at: start + Duration::from_millis(arrival_ms) + latency,
    }
}

fn as_json(report: &Report) -> Value {
    serde_json::to_value(report).expect("a report is JSON")
}

/// A call that is counted under a wrong outcome, balancer kind, depth or second would distort the report.
#[test]
fn calls_are_counted_by_outcome_balancer_kind_depth_and_second() {
    let (scenario, start, record) = (scenario(&[]), Instant::now(), Record::default());
    record.add_call(call(start, 100, BalancerKind::Real, 1, CallOutcome::Served, 4));
    record.add_call(call(start, 900, BalancerKind::Real, 9, CallOutcome::Served, 300));
    record.add_call(call(start, 1100, BalancerKind::Real, 1, CallOutcome::Refused, 4));
    record.add_call(call(start, 2100, BalancerKind::Hollow, 5, CallOutcome::Served, 50));
    record.add_call(call(start, 2200, BalancerKind::Hollow, 5, CallOutcome::Failed, 2000));
    record.add_call(call(start, 2300, BalancerKind::Real, 1, CallOutcome::Lost, 2500));
    record.add_call(call(start, 9900, BalancerKind::Hollow, 5, CallOutcome::ClientDisconnected, 20));
    let report = as_json(&Report::of(&run(&scenario, start), &record.measured()));
    let counts = |calls: u64, served: u64, refused: u64, failed: u64, lost: u64, left: u64| json!({"calls": calls, "served": served, "refused": refused, "failed": failed, "lost": lost, "left": left});
    assert_eq!(report["real_calls"], counts(4, 2, 1, 0, 1, 0));
    assert_eq!(report["hollow_calls"], counts(3, 1, 0, 1, 0, 1));
    for (name, value) in counts(7, 3, 1, 1, 1, 1).as_object().expect("counts") {
        assert_eq!(&report[name], value, "{name}");
    }
    assert_eq!(report["depth_latency_us"]["1"]["count"], 1);
    assert!(
        (299_000..302_000)
            .contains(&report["depth_latency_us"]["9"]["p99"].as_u64().expect("calls of this depth"))
    );
    assert_eq!(report["depth_latency_us"]["27"], Value::Null);
    assert_eq!(report["hollow_depth_latency_us"]["5"]["count"], 1);
    assert_eq!(report["series"]["served"], json!([2, 0, 1, 0, 0, 0, 0, 0, 0, 0]));
    assert_eq!(report["series"]["refused"], json!([0, 1, 0, 0, 0, 0, 0, 0, 0, 0]));
    assert_eq!(report["series"]["failed"], json!([0, 0, 2, 0, 0, 0, 0, 0, 0, 0]));
}

/// The added latency must not include the latency of the node, and must be missing without calls.
#[test]
fn added_latency_is_the_difference_of_the_same_percentiles() {
    let (scenario, start, record) = (scenario(&[]), Instant::now(), Record::default());
    for number in 1..=1000 {
        record.measured().one_hop_latency_us.add(Duration::from_micros(number + 300));
        record.measured().direct_latency_us.add(Duration::from_micros(number));
    }
    let report = as_json(&Report::of(&run(&scenario, start), &record.measured()));
    assert_eq!(report["added_latency_us"], json!({"p50": 300, "p99": 300, "p999": 300}));
    let through = &report["one_hop_latency_us"];
    assert_eq!([&through["p50"], &through["count"]], [&json!(800), &json!(1000)]);

    let nothing = as_json(&Report::of(&run(&scenario, start), &Record::default().measured()));
    assert_eq!(nothing["added_latency_us"], Value::Null);
}

/// Retries that multiply with the depth of calls must show in the report.
#[test]
fn attempts_are_reported_by_hop_and_from_first_to_deepest() {
    let (scenario, start, record) = (scenario(&[]), Instant::now(), Record::default());
    for _ in 0..10 {
        record.add_call(call(start, 0, BalancerKind::Hollow, 2, CallOutcome::Served, 1));
        record.count_hop_call(BalancerKind::Hollow, 1);
    }
    (0..12).for_each(|_| record.count_hop_call(BalancerKind::Hollow, 2));
    (0..12).for_each(|_| record.count_attempt(BalancerKind::Hollow, 1));
    (0..18).for_each(|_| record.count_attempt(BalancerKind::Hollow, 2));
    let report = as_json(&Report::of(&run(&scenario, start), &record.measured()));
    let expected = json!({"by_hop": {"1": 1.2, "2": 1.5}, "deepest_over_first": 1.8});
    assert_eq!(report["hollow_attempts_per_call"], expected);
    assert_eq!(report["attempts_per_call"], json!({"by_hop": {}, "deepest_over_first": null}));
}

fn usage(core_percent: f64, memory_mb: f64) -> ProcessUsage {
    ProcessUsage { core_percent, memory_mb, descriptors: 20, wakeups_per_s: 5.0 }
}

/// The maximum over balancers must not be that of single samples, and idle cost must exclude runs with calls.
#[test]
fn process_and_control_usage_is_reported_by_balancer() {
    let (start, record) = (Instant::now(), Record::default());
    let samples = [(4, 1.0, 10.0), (4, 3.0, 12.0), (5, 4.0, 8.0), (5, 8.0, 10.0)];
    for (balancer, core, memory) in samples {
        record.measured().process_samples.push((BalancerId(balancer), usage(core, memory)));
    }
    let idle = scenario(&["load.real_calls_per_s=0"]);
    let control = [1000, 2000, 6000].map(|bytes| ControlUsage { bytes, calls: 2, rejected_calls: 1 });
    let measure = |scenario: &Scenario| {
        let run = Run { control_usage: control.to_vec(), ..run(scenario, start) };
        as_json(&Report::of(&run, &record.measured()))
    };
    let report = measure(&idle);
    assert_eq!(report["control_core_percent"], json!({"mean": 4.0, "max": 6.0}));
    assert_eq!(report["memory_mb"], json!({"mean": 10.0, "max": 12.0}));
    assert_eq!(report["control_bytes_per_s"], json!({"mean": 300.0, "max": 600.0}));
    assert_eq!([&report["control_calls"], &report["control_turned_away"]], [&json!(6), &json!(3)]);
    assert_eq!(report["hollow_core_percent"], json!(5.0));

    let report = measure(&scenario(&[]));
    assert_eq!(report["control_core_percent"], Value::Null);
    assert_eq!(report["balancer_core_percent"], json!({"mean": 4.0, "max": 6.0}));
}

/// Balancers that never got new settings must not vanish from the measured delays.
#[test]
fn delays_are_reported_in_seconds_with_the_balancers_that_missed_them() {
    let (scenario, start, record) = (scenario(&[]), Instant::now(), Record::default());
    for ms in [100, 200, 4000] {
        record.measured().list_delivery_us.add(Duration::from_millis(ms));
        record.measured().settings_in_force_us.add(Duration::from_millis(ms));
    }
    record.measured().balancers_without_new_settings = 2;
    let report = as_json(&Report::of(&run(&scenario, start), &record.measured()));
    let assert_near = |value: &Value, expected: f64| {
        let value = value.as_f64().expect("a number");
        assert!((value - expected).abs() <= expected / 500.0, "{value} is not about {expected}");
    };
    assert_near(&report["told_s"]["p50"], 0.2);
    assert_near(&report["told_s"]["max"], 4.0);
    assert_near(&report["settings_in_force_s"]["p99"], 4.0);
    assert_eq!(report["settings_in_force_s"]["missed"], 2);
    assert_eq!(report["in_force_s"], Value::Null);
}

/// 100 calls per second for 10 s. All are served, except that only `share` of them is between the two times.
fn dipped_share(from_s: f64, to_s: f64, share: f64) -> ServedShare {
    let mut shares = ServedShare::new(10.0, 1.0);
    for number in 0..1000 {
        let arrival_s = f64::from(number) / 100.0;
        let in_dip = arrival_s >= from_s && arrival_s < to_s;
        shares.add(arrival_s, !in_dip || f64::from(number % 10) / 10.0 < share);
    }
    shares
}

fn fault(at_s: f64, ends_s: f64) -> FaultPeriod {
    FaultPeriod { kind: FaultKind::MachineLost, at_s, ends_s }
}

/// The recovery time must be counted from the end of the fault, not from its start.
#[test]
fn recovery_lasts_from_the_end_of_a_fault_until_the_served_share_stays_up() {
    let recovery = dipped_share(3.0, 5.0, 0.5).recovery(fault(3.0, 4.0));
    assert_eq!(recovery.share_before, Some(1.0));
    assert_eq!(recovery.lowest_share, Some(0.5));
    let recovery_s = recovery.recovery_s.expect("the share recovered");
    assert!((1.8..=2.1).contains(&recovery_s), "the second after 5.0 s has no more failures: {recovery_s}");
}

/// Calls that a fault interrupts would lower the share that recovery is compared with.
#[test]
fn calls_in_flight_when_a_fault_begins_are_not_part_of_the_share_before_it() {
    // Calls that arrive in the second before the fault are affected by it because they take up to a second.
    let recovery = dipped_share(2.0, 5.0, 0.5).recovery(fault(3.0, 4.0));
    assert_eq!(recovery.share_before, Some(1.0));
    let recovery_s = recovery.recovery_s.expect("the share recovered");
    assert!((1.8..=2.1).contains(&recovery_s), "{recovery_s}");
}

/// A fault that calls do not notice must not be reported as not recovered.
#[test]
fn a_fault_without_effect_has_a_recovery_time_of_zero() {
    assert_eq!(dipped_share(0.0, 0.0, 1.0).recovery(fault(3.0, 4.0)).recovery_s, Some(0.0));
}

/// A short rise of the share, or too little data to tell, must not be reported as a recovery.
#[test]
fn a_served_share_that_drops_again_is_no_recovery() {
    assert_eq!(dipped_share(3.0, 8.5, 0.5).recovery(fault(3.0, 4.0)).recovery_s, None);
    assert_eq!(
        dipped_share(0.0, 0.0, 1.0).recovery(fault(9.0, 9.0)).recovery_s,
        None,
        "too close to the end of the load"
    );
    assert_eq!(ServedShare::new(10.0, 1.0).recovery(fault(3.0, 4.0)).recovery_s, None, "there were no calls");
}

/// The figures of a run that ended early must not pass for those of a complete run.
#[test]
fn a_run_that_ended_early_is_reported_as_partial() {
    let (scenario, record) = (scenario(&[]), Record::default());
    let reason = Some("real-0 ended: signal 9".to_owned());
    let run =
        Run { start: None, load_duration_s: 0.0, partial_reason: reason, ..run(&scenario, Instant::now()) };
    let report = Report::of(&run, &record.measured());
    let json = as_json(&report);
    assert_eq!(
        [&json["partial"], &json["seed"], &json["scale"]],
        [&json!(true), &json!(7), &json!("a tenth")]
    );
    assert_eq!(json["partial_reason"], "real-0 ended: signal 9");
    assert_eq!([&json["hollow_core_percent"], &json["control_bytes_per_s"]], [&Value::Null, &Value::Null]);
    assert!(table::report_table(&report).to_string().contains("partial: real-0 ended: signal 9"));
}

/// Headings must be above their columns, or a reader takes one number for another.
#[test]
fn the_table_is_aligned() {
    let (scenario, start, record) = (scenario(&[]), Instant::now(), Record::default());
    record.add_call(call(start, 100, BalancerKind::Real, 1, CallOutcome::Served, 4));
    let text = table::report_table(&Report::of(&run(&scenario, start), &record.measured())).to_string();
    let heading = text.lines().find(|line| line.trim_start().starts_with("calls")).expect("a heading");
    let row = text.lines().find(|line| line.starts_with("all calls")).expect("a row");
    let (calls, served) = (heading.find("calls").expect("calls"), heading.find("served").expect("served"));
    assert_eq!(row[calls..].split_whitespace().next(), Some("1"), "{text}");
    assert_eq!(row[served..].split_whitespace().next(), Some("1"), "{text}");
    assert!(row.as_bytes()[calls - 1] == b' ' && row.as_bytes()[served - 1] == b' ', "{text}");
}
