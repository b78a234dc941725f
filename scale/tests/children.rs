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
        let folder = TempDir::new().expect("temporary folder");
        let quick = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/quick.toml");
        let mut command = Command::new(env!("CARGO_BIN_EXE_stilelead-scale"));
        command.arg("run").arg(quick).arg("--report").arg(folder.path().join("r.json"));
        for change in [DURATION, "fleet.real=2", "fleet.hollow=10", "fault=[]"] {
            command.args(["--set", change]);
        }
        let program = command.env("TMPDIR", folder.path()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut running =
            Self { program: program.spawn().expect("the program starts"), children: Vec::new(), folder };
        running.wait_until_ready();
        running.children = children(running.program.id());
        assert_eq!(running.children.len(), 2, "a process for each real balancer");
        running
    }

    /// Waits until the log says that the run is ready. The log is read further in the background, so that the
    /// program does not block on a full pipe.
    fn wait_until_ready(&mut self) {
        let log = BufReader::new(self.program.stderr.take().expect("piped"));
        let mut lines = log.lines().map_while(Result::ok);
        let mut lines_read = Vec::new();
        let found_ready = lines.by_ref().any(|line| {
            let is_ready = line.contains(" ready ");
            lines_read.push(line);
            is_ready
        });
        assert!(found_ready, "never ready: {lines_read:#?}");
        std::thread::spawn(move || lines.for_each(drop));
    }

    /// Waits for the end of the program, checks that all children have ended, and returns the exit status and
    /// the report.
    fn wait_for_end(mut self) -> (ExitStatus, Value) {
        let status = self.program.wait().expect("waiting for the program");
        for child in &self.children {
            assert!(Process::new(*child).is_err(), "process {child} is still there");
        }
        let text = fs::read(self.folder.path().join("r.json")).expect("report file");
        let remaining: Vec<_> = fs::read_dir(&self.folder).expect("temporary folder").flatten().collect();
        assert_eq!(remaining.len(), 1, "only the report is left: {remaining:?}");
        (status, serde_json::from_slice(&text).expect("report is JSON"))
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.program.kill();
        let _ = self.program.wait();
    }
}

fn children(program: u32) -> Vec<i32> {
    let processes = all_processes().expect("process list").flatten();
    let stats = processes.filter_map(|process| process.stat().ok());
    stats.filter(|stat| stat.ppid.cast_unsigned() == program).map(|stat| stat.pid).collect()
}

fn send(process: i32, signal: Signal) {
    kill_process(Pid::from_raw(process).expect("a process id"), signal).expect("the process exists");
}

#[test]
fn a_signal_ends_all_children_and_leaves_a_partial_report() {
    for (signal, name) in [(Signal::TERM, "SIGTERM"), (Signal::INT, "SIGINT")] {
        let running = Running::start();
        send(running.program.id().cast_signed(), signal);
        let (status, report) = running.wait_for_end();
        assert_eq!(status.code(), Some(1));
        assert_eq!(report["partial"], true);
        assert_eq!(report["partial_reason"], format!("ended by {name}"));
        assert!(report["duration_s"].as_f64().expect("a number") < 300.0);
    }
}

#[test]
fn a_child_that_dies_ends_the_run_and_the_other_children() {
    let running = Running::start();
    send(running.children[0], Signal::KILL);
    let (status, report) = running.wait_for_end();
    assert_eq!(status.code(), Some(1));
    assert_eq!(report["partial"], true);
    let reason = report["partial_reason"].as_str().expect("a text");
    assert!(reason.starts_with("real-") && reason.contains(" ended: signal: 9"), "{reason}");
}
