//! Scenario files: every invalid value is reported with file, key and reason before anything starts.

use std::fs;
use std::path::{Path, PathBuf};

use stilelead_scale::scenario::Scenario;
use stilelead_scale::scenario::load::{ScenarioError, check_machine, load, parse};
use stilelead_scale::scenario::machine::Machine;

const FILE: &str = "some/plain.toml";

const BASE_SCENARIO: &str = r#"
name = "plain"
duration_s = 10.0

[fleet]
services = 2
hollow = 10
real = 2
regions = 2
zones = 4

[load]
real_calls_per_s = 10.0
depths = [{ hops = 1, share = 0.5 }, { hops = 3, share = 0.5 }]

[[fault]]
kind = "restart"
at_s = 3.0
"#;

fn base_with(overrides: &[&str]) -> Result<Scenario, ScenarioError> {
    let overrides: Vec<String> = overrides.iter().map(|text| (*text).to_owned()).collect();
    parse(Path::new(FILE), BASE_SCENARIO, &overrides)
}

/// Error message for the base scenario with one invalid change, in the form `file: key: reason`.
fn error_text(change: &str) -> String {
    match base_with(&[change]) {
        Ok(_) => panic!("{change} is accepted"),
        Err(error) => error.to_string(),
    }
}

fn shipped_scenarios() -> Vec<PathBuf> {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios");
    let entries = fs::read_dir(folder).expect("the folder of scenarios");
    entries.map(|entry| entry.expect("an entry").path()).collect()
}

/// A value that is accepted wrongly would fail or distort a run only after it has started.
#[test]
fn each_invalid_value_is_reported_with_file_key_and_reason() {
    let cases = [
        ("duration_s=0", "duration_s", "is 0, but must be from"),
        ("duration_s=-1", "duration_s", "is -1, but must be from"),
        ("duration_s=inf", "duration_s", "is not a finite number"),
        ("load.real_calls_per_s=nan", "load.real_calls_per_s", "is not a finite number"),
        ("duration_s=1e9", "duration_s", "but must be from"),
        ("ready_within_s=0", "ready_within_s", "but must be from"),
        ("fleet.real=191", "fleet.real", "is 191, but must be from 0 to 190"),
        ("fleet.zones=1", "fleet.zones", "is 1, but must be from 2"),
        ("fleet.regions=0", "fleet.regions", "is 0, but must be from 1"),
        ("fleet.zones=5", "fleet.zones", "must be a multiple of fleet.regions"),
        ("fleet.hollow=3", "fleet.hollow", "each service needs at least two hollow balancers"),
        ("load.hollow_calls_per_s=-1", "load.hollow_calls_per_s", "but must be from 0"),
        ("load.unsafe_share=1.5", "load.unsafe_share", "is 1.5, but must be from 0 to 1"),
        ("load.depths.0.hops=0", "load.depths.0.hops", "is 0, but must be from 1 to 64"),
        ("load.depths.1.hops=65", "load.depths.1.hops", "is 65, but must be from 1 to 64"),
        ("load.depths.1.share=0.4", "load.depths", "add up to 0.9, not to 1"),
        ("load.depths=[]", "load.depths", "add up to"),
        ("load.deadline_s=0", "load.deadline_s", "but must be from"),
        ("node.error_share=-0.1", "node.error_share", "but must be from 0 to 1"),
        ("node.work_ms=0", "node.work_ms", "but must be from"),
        ("control.replicas=4", "control.replicas", "is 4, but must be from 1 to 3"),
        ("control.calls_per_s=0", "control.calls_per_s", "but must be from"),
        (
            "changes.settings_at_s=[1, 11]",
            "changes.settings_at_s.1",
            "ends at 11 s, but the load ends at 10 s",
        ),
        ("fault.0.at_s=11", "fault.0.at_s", "ends at 11 s, but the load ends at 10 s"),
        ("fault.0.for_s=8", "fault.0.for_s", "ends at 11 s, but the load ends at 10 s"),
        ("fault.0.count=0", "fault.0.count", "is 0, but must be from 1"),
        ("fault.0.count=19", "fault.0.count", "there are 18 nodes"),
        ("fault.0.count=3", "fault.0.count", "ends at 10.2 s, but the load ends at 10 s"),
        ("fault.0={ kind = 'release', at_s = 1, for_s = 2 }", "fault.0.for_s", "shorter than one restart"),
        ("fault.0={ kind = 'zone-lost', at_s = 1, place = 4 }", "fault.0.place", "there are 4 zones"),
        ("fault.0={ kind = 'region-cut', at_s = 1, for_s = 1, place = 2 }", "fault.0.place", "2 regions"),
        (
            "fault.0={ kind = 'region-cut', at_s = 1 }",
            "fault.0.for_s",
            "must be above 0 for a fault of this kind",
        ),
        (
            "fault.0={ kind = 'control-lost', at_s = 1, for_s = 1, place = 1, count = 3 }",
            "fault.0.count",
            "3 replicas",
        ),
        ("fault.0={ kind = 'balancer-killed', at_s = 1, count = 3 }", "fault.0.count", "2 real balancers"),
    ];
    for (change, key, reason) in cases {
        let error = error_text(change);
        assert!(error.starts_with(&format!("{FILE}: {key}: ")), "{change}: {error}");
        assert!(error.contains(reason), "{change}: {error}");
    }
}

/// A misspelt key that is ignored would run another scenario than the one intended.
#[test]
fn unknown_keys_and_values_of_the_wrong_type_are_reported() {
    let cases = [
        ("fleet.hollo=3", "fleet.hollo", "unknown field `hollo`"),
        ("fault.0.when=3", "fault.0.when", "unknown field `when`"),
        ("speed=3", "speed", "unknown field `speed`"),
        ("node.cores=many", "node.cores", "invalid type: string \"many\""),
        ("fleet.hollow=-5", "fleet.hollow", "invalid value: integer `-5`"),
        ("fault.0.kind=fire", "fault.0.kind", "unknown variant `fire`"),
    ];
    for (change, key, reason) in cases {
        let error = error_text(change);
        assert!(error.starts_with(&format!("{FILE}: {key}: ")), "{change}: {error}");
        assert!(error.contains(reason), "{change}: {error}");
    }
}

/// Errors of syntax must name the file and the place, so that the user can fix them.
#[test]
fn text_that_is_not_a_scenario_is_reported_with_line_or_missing_key() {
    let cases = [
        ("name = \"a\"\nduration_s = = 3\n", "line 2"),
        ("name = \"a\"\n", "missing field `duration_s`"),
        ("name = \"a\"\nname = \"b\"\n", "duplicate key"),
    ];
    for (text, reason) in cases {
        let error = parse(Path::new(FILE), text, &[]).expect_err("no scenario").to_string();
        assert!(error.starts_with(FILE), "{error}");
        assert!(error.contains(reason), "{error}");
    }
    let error = load(Path::new("no/such.toml"), &[]).expect_err("no file").to_string();
    assert!(error.starts_with("no/such.toml: cannot be read"), "{error}");
}

/// `--set` must reach every kind of value: numbers, text, lists, and entries of arrays.
#[test]
fn overrides_take_precedence_over_the_file() {
    let scenario = base_with(&[
        "fleet.hollow=200",
        "fault.0.at_s=4",
        "load.depths.1.hops=9",
        "name = other",
        "node.load_reports=false",
        "changes.settings_at_s=[1, 2.5]",
    ])
    .expect("a scenario");
    assert_eq!(scenario.fleet.hollow, 200);
    assert_eq!(scenario.faults[0].at_s, 4.0);
    assert_eq!(scenario.load.depths[1].hops, 9);
    assert_eq!(scenario.name, "other");
    assert!(!scenario.node.load_reports);
    assert_eq!(scenario.changes.settings_at_s, [1.0, 2.5]);
}

/// A mistyped `--set` that is ignored would run the scenario without the change.
#[test]
fn overrides_with_an_invalid_path_are_reported() {
    let cases = [
        ("fleet.hollow", "fleet.hollow", "has no value"),
        ("fleet..hollow=1", "fleet..hollow", "empty name"),
        ("=1", "", "empty name"),
        ("name.first=1", "name", "is not a table or an array"),
        ("fault.1.at_s=1", "fault.1", "out of range: there are 1 entries"),
        ("fault.first.at_s=1", "fault.first", "must be given by its index, from 0"),
    ];
    for (change, key, reason) in cases {
        let error = error_text(change);
        assert!(error.starts_with(&format!("{FILE}: {key}: ")), "{change}: {error}");
        assert!(error.contains(reason), "{change}: {error}");
    }
}

/// A value with a line break must not be parsed as further lines of TOML.
#[test]
fn an_override_value_cannot_set_a_second_key() {
    let scenario = base_with(&["name=\"a\"\nduration_s = 5"]).expect("a scenario");
    assert_eq!(scenario.duration_s, 10.0);
    assert_eq!(scenario.name, "\"a\"\nduration_s = 5");
}

/// A run must not exhaust the memory or descriptors of the machine.
#[test]
fn needs_above_the_limits_of_the_machine_are_reported() {
    let scenario =
        base_with(&["fleet.real=10", "fleet.memory_mb=100", "fleet.sockets=1000"]).expect("a scenario");
    let check = |machine: Machine| {
        check_machine(Path::new(FILE), &scenario, &machine).map_err(|error| error.to_string())
    };
    let large_machine = Machine { memory_mb: 4096, descriptors: 20_000 };
    assert_eq!(check(large_machine), Ok(()));
    let error = check(Machine { memory_mb: 2000, ..large_machine }).expect_err("too little memory");
    assert!(error.starts_with(&format!("{FILE}: fleet.memory_mb: needs ")), "{error}");
    assert!(error.ends_with("this machine allows 1000"), "{error}");
    let error = check(Machine { descriptors: 10_000, ..large_machine }).expect_err("too few descriptors");
    assert!(error.starts_with(&format!("{FILE}: fleet.sockets: needs ")), "{error}");
}

/// The parser of `/proc` must match the format of the kernel.
#[test]
fn the_limits_of_this_machine_are_readable() {
    let machine = Machine::detect().expect("limits in /proc");
    assert!(machine.memory_mb > 0 && machine.descriptors > 0);
}

/// A shipped scenario must not become invalid when keys or limits change.
#[test]
fn every_shipped_scenario_is_valid() {
    let files = shipped_scenarios();
    assert!(files.len() >= 8, "{files:?}");
    for file in files {
        if let Err(error) = load(&file, &[]) {
            panic!("{error}");
        }
    }
}
