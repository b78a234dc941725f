//! Tests of starting and ending processes, with the balancer program that is built for the tests.

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
use crate::process::settings::tests::one_node_list;
use crate::process::{configuration, find_balancer_program};
use crate::scenario::{Scenario, SettingsChange};
use crate::topology::{BalancerId, Topology};

/// Longer than any step of a passing test takes.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
const SCENARIO: &str = "name = 'test'\nduration_s = 1.0\n[fleet]\nservices = 0\nhollow = 0\nreal = 1\n\
                        [load]\nreal_calls_per_s = 1.0\n";

/// Path of the balancer program, which is built first if `cargo test` of this package alone has not built it.
fn program() -> PathBuf {
    static PROGRAM: OnceLock<PathBuf> = OnceLock::new();
    PROGRAM.get_or_init(|| find_balancer_program().unwrap_or_else(|_| build_balancer_program())).clone()
}

fn build_balancer_program() -> PathBuf {
    let executable = std::env::current_exe().expect("it runs");
    let target = executable.ancestors().nth(3).expect("target/debug/deps");
    let built = Command::new(env!("CARGO"))
        .args(["build", "--locked", "-p", "stilelead", "--target-dir"])
        .arg(target)
        .current_dir(env!("CARGO_MANIFEST_DIR"))
        .status();
    assert!(built.expect("cargo runs").success());
    find_balancer_program().expect("it was built")
}

/// A control plane that accepts connections for watches but never answers.
fn silent_control() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port")
}

/// The configuration of the only balancer, with a list of one node.
fn configuration_text(control: &TcpListener, listen: SocketAddr, change: Option<SettingsChange>) -> String {
    let scenario: Scenario = toml::from_str(SCENARIO).expect("a valid scenario");
    let topology = Topology::of(&scenario.fleet);
    let control = control.local_addr().expect("a bound socket");
    configuration(&scenario, &topology, BalancerId(0), listen, control, &one_node_list(), change)
}

async fn start_balancer(directory: &TempDir, control: &TcpListener) -> BalancerProcess {
    let configuration = |listen| configuration_text(control, listen, None);
    let process =
        BalancerProcess::start_on_any_port(&program(), directory.path(), "real-0", configuration).await;
    process.expect("starts")
}

/// The error with which a program fails to start with a configuration.
async fn start_error(program: &Path, configuration: &str) -> ProcessError {
    let directory = TempDir::new().expect("a temporary directory");
    let configuration = |_| configuration.to_owned();
    let process =
        BalancerProcess::start_on_any_port(program, directory.path(), "real-0", configuration).await;
    process.expect_err("does not start")
}

/// Waits until the log contains this text.
fn wait_for_log(directory: &TempDir, text: &str) {
    let start = Instant::now();
    let log = directory.path().join("real-0/stderr.log");
    while !fs::read_to_string(&log).expect("there is a log").contains(text) {
        assert!(start.elapsed() < TEST_TIMEOUT, "never logged: {text}");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Waits until a balancer connects to the control plane.
fn wait_for_connection(control: &TcpListener) {
    let start = Instant::now();
    control.set_nonblocking(true).expect("a socket");
    while control.accept().is_err() {
        assert!(start.elapsed() < TEST_TIMEOUT, "no balancer connects");
        thread::sleep(Duration::from_millis(2));
    }
}

/// Binds without sharing the address (no `SO_REUSEADDR`).
fn bind_without_address_reuse(address: SocketAddr) -> Result<(), ErrorKind> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&address.into()).map_err(|error| error.kind())
}

fn is_running(process: u32) -> bool {
    Path::new(&format!("/proc/{process}")).exists()
}

#[tokio::test]
async fn a_process_becomes_ready_and_is_reaped_when_dropped() {
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let process = start_balancer(&directory, &control).await;
    process.wait_until_ready(TEST_TIMEOUT).await.expect("ready");
    let id = process.id();
    assert!(is_running(id));
    drop(process);
    assert!(!is_running(id));
}

#[tokio::test]
async fn a_restart_keeps_the_address() {
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let mut process = start_balancer(&directory, &control).await;
    let (address, id) = (process.address(), process.id());
    process.kill_and_restart().await.expect("starts again");
    process.wait_until_ready(TEST_TIMEOUT).await.expect("ready");
    assert_eq!(process.address(), address);
    assert_ne!(process.id(), id);
    assert!(!is_running(id));
}

#[tokio::test]
async fn an_ended_process_reports_its_exit() {
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let mut process = start_balancer(&directory, &control).await;
    assert_eq!(process.exit_status(), None);
    process.kill().await;
    assert!(process.exit_status().is_some());
    assert_eq!(
        bind_without_address_reuse(process.address()),
        Err(ErrorKind::AddrInUse),
        "the port is kept for its restart"
    );
    let refused = process.replace_configuration("{}").expect_err("it has ended");
    assert!(matches!(refused, ProcessError::Exited { .. }), "{refused}");
}

#[tokio::test]
async fn a_new_configuration_reaches_the_process() {
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let process = start_balancer(&directory, &control).await;
    process.wait_until_ready(TEST_TIMEOUT).await.expect("ready");
    let new_control = silent_control();
    let listen = process.address();
    process.replace_configuration(&configuration_text(&new_control, listen, None)).expect("signalled");
    wait_for_connection(&new_control);
    process
        .replace_configuration(&configuration_text(&control, listen, Some(SettingsChange::Malformed)))
        .expect("signalled");
    wait_for_log(&directory, "malformed");
    process.wait_until_ready(TEST_TIMEOUT).await.expect("still ready");
}

#[tokio::test]
async fn a_missing_program_is_named() {
    let missing = Path::new("/nowhere/balancer");
    let error = start_error(missing, "{}").await;
    assert!(matches!(&error, ProcessError::NoProgram { path } if path == missing), "{error}");
}

#[tokio::test]
async fn a_port_in_use_is_named() {
    let (directory, holder) = (TempDir::new().expect("a temporary directory"), silent_control());
    let listen = holder.local_addr().expect("a bound socket");
    let text = configuration_text(&holder, listen, None);
    let started = BalancerProcess::start(&program(), directory.path(), "real-0", &text, listen).await;
    let error = started.expect_err("does not start");
    assert!(matches!(error, ProcessError::PortTaken { address, .. } if address == listen), "{error}");
}

#[tokio::test]
async fn a_process_that_exits_at_once_shows_its_last_lines() {
    let error = start_error(&program(), "{").await;
    let ProcessError::Exited { name, status, log } = &error else { panic!("{error}") };
    assert_eq!((name.as_str(), status.code()), ("real-0", Some(1)));
    assert!(log.contains("the configuration is malformed"), "{log}");
}

#[tokio::test]
async fn the_environment_holds_only_the_balancer_variables() {
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let process = start_balancer(&directory, &control).await;
    let environment = fs::read(format!("/proc/{}/environ", process.id())).expect("it runs");
    let environment = String::from_utf8(environment).expect("text");
    let mut variables: Vec<&str> = environment.split_terminator('\0').collect();
    variables.sort_unstable();
    let configuration = directory.path().join("real-0/config.json");
    let expected =
        [format!("PROXY_CONFIG={}", configuration.display()), format!("PROXY_LISTEN={}", process.address())];
    assert_eq!(variables, expected);
}

#[tokio::test]
async fn a_balancer_without_ready_nodes_is_not_ready() {
    const READY_TIMEOUT: Duration = Duration::from_millis(100);
    let (directory, control) = (TempDir::new().expect("a temporary directory"), silent_control());
    let empty = |listen| configuration_text(&control, listen, None).replace("\"ready\"", "\"draining\"");
    let started = BalancerProcess::start_on_any_port(&program(), directory.path(), "real-0", empty).await;
    let error = started.expect("starts").wait_until_ready(READY_TIMEOUT).await.expect_err("not ready");
    assert!(matches!(error, ProcessError::TimedOut { within: READY_TIMEOUT, .. }), "{error}");
}
