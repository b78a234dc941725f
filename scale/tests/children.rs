//! However a run ends early, its child processes end with it and the partial report is written.

use std::fs;
use std::io::{BufRead, BufReader};
use std::path::Path;
use std::process::{Child, Command, ExitStatus, Stdio};

use procfs::process::{Process, all_processes};
use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;
use tempfile::TempDir;

/// Duration of the load in seconds, longer than the test takes to end the run.
const DURATION: &str = "duration_s=300";

/// A run whose load has begun.
struct Running {
    program: Child,
    children: Vec<i32>,
    folder: TempDir,
}

impl Running {
    fn start() -> Self {
        let folder = TempDir::new().expect("a folder");
        let quick = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/quick.toml");
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilelead-scale"));
        command.arg("run").arg(quick).arg("--report").arg(folder.path().join("r.json"));
        for change in [DURATION, "fleet.real=2", "fleet.hollow=10", "fault=[]"] {
            command.args(["--set", change]);
        }
        let program = command.env("TMPDIR", folder.path()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut running =
            Self { program: program.spawn().expect("the program runs"), children: Vec::new(), folder };
        running.wait_until_ready();
        running.children = children(running.program.id());
        assert_eq!(running.children.len(), 2, "a process for each real balancer");
        running
    }

    /// The log is read further in the background, so that the program does not block on a full pipe.
    fn wait_until_ready(&mut self) {
        let log = BufReader::new(self.program.stderr.take().expect("piped"));
        let mut lines = log.lines().map_while(Result::ok);
        let mut said = Vec::new();
        let ready = lines.by_ref().any(|line| {
            let ready = line.contains(" ready ");
            said.push(line);
            ready
        });
        assert!(ready, "never ready: {said:#?}");
        std::thread::spawn(move || lines.for_each(drop));
    }

    /// Waits for the end of the program, checks that all children have ended, and returns the exit status and
    /// the report.
    fn ended(mut self) -> (ExitStatus, Value) {
        let status = self.program.wait().expect("a child");
        for child in &self.children {
            assert!(Process::new(*child).is_err(), "process {child} is still there");
        }
        let text = fs::read(self.folder.path().join("r.json")).expect("a report");
        let left: Vec<_> = fs::read_dir(&self.folder).expect("a folder").flatten().collect();
        assert_eq!(left.len(), 1, "only the report is left: {left:?}");
        (status, serde_json::from_slice(&text).expect("a report is JSON"))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

fn children(program: u32) -> Vec<i32> {
    let processes = all_processes().expect("a list of processes").flatten();
    let stats = processes.filter_map(|process| process.stat().ok());
    stats.filter(|stat| stat.ppid.cast_unsigned() == program).map(|stat| stat.pid).collect()
}

fn send(process: i32, signal: Signal) {
    kill_process(Pid::from_raw(process).expect("a process"), signal).expect("it runs");
}

#[test]
fn a_signal_ends_all_children_and_leaves_a_partial_report() {
    for (signal, name) in [(Signal::TERM, "SIGTERM"), (Signal::INT, "SIGINT")] {
        let running = Running::start();
        send(running.program.id().cast_signed(), signal);
        let (status, report) = running.ended();
        assert_eq!(status.code(), Some(1));
        assert_eq!(report["partial"], true);
        assert_eq!(report["partial_reason"], format!("ended by {name}"));
        assert!(report["duration_s"].as_f64().expect("a time") < 300.0);
    }
}

#[test]
fn a_child_that_dies_ends_the_run_and_its_other_children() {
    let running = Running::start();
    send(running.children[0], Signal::KILL);
    let (status, report) = running.ended();
    assert_eq!(status.code(), Some(1));
    assert_eq!(report["partial"], true);
    let reason = report["partial_reason"].as_str().expect("a reason");
    assert!(reason.starts_with("real-") && reason.contains(" ended: signal: 9"), "{reason}");
}
