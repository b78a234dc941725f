//! Tests of the start and end of processes, with the balancer program built for the tests.

use std::fs;
use std::io::ErrorKind;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::OnceLock;
use std::thread;
use std::time::{Duration, Instant};

use socket2::{Domain, Socket, Type};
use tempfile::TempDir;

use super::{BalancerProcess, ProcessError};
use crate::process::settings::tests::known;
use crate::process::{configuration, find_program};
use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{CopyId, Topology};

/// Longer than anything takes that works.
const LONG: Duration = Duration::from_secs(30);
const SCENARIO: &str = "name = 'test'\nduration_s = 1.0\n[fleet]\nservices = 0\nhollow = 0\nreal = 1\n\
                        [load]\nreal_calls_per_s = 1.0\n";

/// The program; one that `cargo test` of this package alone has not built is built first.
fn program() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| find_program().unwrap_or_else(|_| build())).clone()
}

fn build() -> PathBuf {
    let executable = std::env::current_exe().expect("it runs");
    let target = executable.ancestors().nth(3).expect("target/debug/deps");
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "-p", "stilelead", "--target-dir"])
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status();
    assert!(built.expect("cargo runs").success());
    find_program().expect("it was built")
}

/// A control that accepts watches and says nothing.
fn silent_control() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// The configuration of the only copy, with a list of one node.
fn text(control: &TcpListener, listen: SocketAddr, change: Option<SettingsChange>) -> String {
    let scenario: Scenario = toml::from_str(SCENARIO).expect("a sound scenario");
    let topology = Topology::of(&scenario.fleet);
    let control = control.local_addr().expect("bound");
    configuration(&scenario, &topology, CopyId(0), listen, control, &known(), change)
}

async fn started(directory: &TempDir, control: &TcpListener) -> BalancerProcess {
    let configuration = |listen| text(control, listen, None);
    let process =
        BalancerProcess::start_anywhere(&program(), directory.path(), "real-0", configuration).await;
    process.expect("starts")
}

/// Why a program does not start with a configuration.
async fn refused(program: &Path, configuration: &str) -> ProcessError {
    let directory = TempDir::new().expect("made");
    let configuration = |_| configuration.to_owned();
    let process = BalancerProcess::start_anywhere(program, directory.path(), "real-0", configuration).await;
    process.expect_err("does not start")
}

/// Waits until the log holds these words.
fn wait_logged(directory: &TempDir, words: &str) {
    let start = Instant::now();
    let log = directory.path().join("real-0/stderr.log");
    while !fs::read_to_string(&log).expect("there is a log").contains(words) {
        assert!(start.elapsed() < LONG, "never logged: {words}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits until somebody connects.
fn wait_connected(control: &TcpListener) {
    let start = Instant::now();
    control.set_nonblocking(true).expect("a socket");
    while control.accept().is_err() {
        assert!(start.elapsed() < LONG, "nobody connects");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Binds as one who does not share addresses.
fn plain_bind(address: SocketAddr) -> Result<(), ErrorKind> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).map_err(|error| error.kind())
}

fn runs(process: u32) -> bool {
    Path::new(&format!("/proc/{process}")).exists()
}

#[tokio::test]
async fn a_process_comes_up_and_is_reaped_when_dropped() {
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let process = started(&directory, &control).await;
    process.ready(LONG).await.expect("ready");
    let id = process.id();
    assert!(runs(id));
    drop(process);
    assert!(!runs(id));
}

#[tokio::test]
async fn a_restart_keeps_the_address() {
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let mut process = started(&directory, &control).await;
    let (address, id) = (process.address(), process.id());
    process.kill_and_restart().await.expect("starts again");
    process.ready(LONG).await.expect("ready");
    assert_eq!(process.address(), address);
    assert_ne!(process.id(), id);
    assert!(!runs(id));
}

#[tokio::test]
async fn a_process_that_ended_says_so() {
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let mut process = started(&directory, &control).await;
    assert_eq!(process.exited(), None);
    process.end().await;
    assert!(process.exited().is_some());
    assert_eq!(plain_bind(process.address()), Err(ErrorKind::AddrInUse), "the port is kept for its restart");
    let refused = process.replace_configuration("{}").expect_err("it has ended");
    assert!(matches!(refused, ProcessError::Exited { .. }), "{refused}");
}

#[tokio::test]
async fn new_settings_reach_the_process() {
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let process = started(&directory, &control).await;
    process.ready(LONG).await.expect("ready");
    let moved = silent_control();
    let listen = process.address();
    process.replace_configuration(&text(&moved, listen, None)).expect("signalled");
    wait_connected(&moved);
    process
        .replace_configuration(&text(&control, listen, Some(SettingsChange::Malformed)))
        .expect("signalled");
    wait_logged(&directory, "malformed");
    process.ready(LONG).await.expect("goes on");
}

#[tokio::test]
async fn a_missing_program_is_named() {
    let missing = Path::new("/nowhere/balancer");
    let error = refused(missing, "{}").await;
    assert!(matches!(&error, ProcessError::NoProgram { path } if path == missing), "{error}");
}

#[tokio::test]
async fn a_taken_port_is_named() {
    let (directory, holder) = (TempDir::new().expect("made"), silent_control());
    let listen = holder.local_addr().expect("bound");
    let text = text(&holder, listen, None);
    let started = BalancerProcess::start(&program(), directory.path(), "real-0", &text, listen).await;
    let error = started.expect_err("does not start");
    assert!(matches!(error, ProcessError::PortTaken { address, .. } if address == listen), "{error}");
}

#[tokio::test]
async fn a_process_that_dies_at_once_shows_its_last_lines() {
    let error = refused(&program(), "{").await;
    let ProcessError::Exited { name, status, log } = &error else { panic!("{error}") };
    assert_eq!((name.as_str(), status.code()), ("real-0", Some(1)));
    assert!(log.contains("the configuration is malformed"), "{log}");
}

#[tokio::test]
async fn the_environment_holds_just_what_a_balancer_is_told() {
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let process = started(&directory, &control).await;
    let environment = fs::read(format!("/proc/{}/environ", process.id())).expect("it runs");
    let environment = String::from_utf8(environment).expect("text");
    let mut variables: Vec<&str> = environment.split_terminator('\0').collect();
    variables.sort_unstable();
    let configuration = directory.path().join("real-0/config.json");
    let told =
        [format!("PROXY_CONFIG={}", configuration.display()), format!("PROXY_LISTEN={}", process.address())];
    assert_eq!(variables, told);
}

#[tokio::test]
async fn one_with_nothing_to_send_to_is_not_ready() {
    const SHORT: Duration = Duration::from_millis(100);
    let (directory, control) = (TempDir::new().expect("made"), silent_control());
    let empty = |listen| text(&control, listen, None).replace("\"ready\"", "\"draining\"");
    let started = BalancerProcess::start_anywhere(&program(), directory.path(), "real-0", empty).await;
    let error = started.expect("starts").ready(SHORT).await.expect_err("not ready");
    assert!(matches!(error, ProcessError::Late { within: SHORT, .. }), "{error}");
}
