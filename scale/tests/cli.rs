//! Exit codes and output of the command-line program.

use std::path::Path;
use std::process::{Command, Output};

fn run_tool(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_stilelead-scale")).args(arguments).output().expect("the program runs")
}

fn quick_scenario() -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/quick.toml").display().to_string()
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

/// An inconsistent definition of the arguments makes clap panic when help is printed.
#[test]
fn help_and_version_are_printed_for_each_command() {
    let cases: [&[&str]; 5] =
        [&["--help"], &["run", "--help"], &["slopes", "--help"], &["check", "--help"], &["--version"]];
    for arguments in cases {
        let output = run_tool(arguments);
        assert_eq!(output.status.code(), Some(0), "{arguments:?}");
        assert!(!output.stdout.is_empty(), "{arguments:?}");
    }
}

/// Invalid input must be told apart from a partial run, which exits with 1, and must name the faulty key.
#[test]
fn an_invalid_scenario_or_argument_exits_with_2() {
    let quick = quick_scenario();
    let cases: [(&[&str], &str); 7] = [
        (&["check", &quick, "--set", "fleet.hollow=1"], "quick.toml: fleet.hollow: each service needs"),
        (&["run", &quick, "--set", "load.depths.0.hops=99"], "quick.toml: load.depths.0.hops: is 99"),
        (
            &["run", &quick, "--set", "fleet.memory_mb=4096", "--set", "fleet.real=190"],
            "fleet.memory_mb: needs",
        ),
        (&["run", "no/such.toml"], "no/such.toml: cannot be read"),
        (&["run", &quick, "--report", "/no/such/folder/r.json"], "--report /no/such/folder/r.json: cannot"),
        (&["run"], "required arguments"),
        (&["slopes", "--only", "nothing"], "invalid value"),
    ];
    for (arguments, reason) in cases {
        let output = run_tool(arguments);
        assert_eq!(output.status.code(), Some(2), "{arguments:?}: {}", stderr(&output));
        assert!(stderr(&output).contains(reason), "{arguments:?}: {}", stderr(&output));
        assert!(output.stdout.is_empty(), "{arguments:?}");
    }
}

/// A log processor cannot read the logs if a line, such as an error, is plain text.
#[test]
fn logs_are_json_lines_if_requested() {
    let output = run_tool(&["check", &quick_scenario(), "--log-format", "json", "--set", "duration_s=0"]);
    assert_eq!(output.status.code(), Some(2));
    for line in stderr(&output).lines() {
        let line: serde_json::Value = serde_json::from_str(line).expect("a line of JSON");
        assert_eq!(line["level"], "ERROR");
    }
}

/// The smallest descriptor limit that a balancer starts with must not be rejected.
#[test]
fn check_exits_with_0_for_a_valid_scenario() {
    let output = run_tool(&["check", &quick_scenario(), "--set", "fleet.sockets=48"]);
    assert_eq!(output.status.code(), Some(0), "{}", stderr(&output));
}
