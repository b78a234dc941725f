//! What an operator can see of a running balancer: its metrics and its log.

mod common;

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::mpsc::{self, Receiver};
use std::thread;

use common::{
    Client, Discovery, HANG_TIMEOUT, Upstream, command_with_descriptor_limit, configuration,
    configuration_file, endpoint, status,
};

/// The value of a metric, 0 if its line is missing because it has not been counted yet.
fn metric_value(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

fn fetch_metrics(client: &mut Client) -> String {
    client.raw(b"GET /_metrics HTTP/1.1\r\nHost: balancer\r\n\r\n");
    let message = client.answer().expect("an answer with the metrics");
    assert_eq!(message.status(), 200);
    String::from_utf8(message.body).expect("UTF-8")
}

/// The log lines of a program, as they are written.
struct Log(Receiver<String>);

impl Log {
    fn from_stderr(reader: BufReader<ChildStderr>) -> Self {
        let (lines, log) = mpsc::channel();
        thread::spawn(move || {
            for line in reader.lines().map_while(Result::ok) {
                if lines.send(line).is_err() {
                    return;
                }
            }
        });
        Self(log)
    }

    /// Reads lines until one contains all of these parts.
    fn read_until(&self, parts: &[&str]) {
        loop {
            let line = self.0.recv_timeout(HANG_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no log line contains {parts:?}"));
            if parts.iter().all(|part| line.contains(part)) {
                return;
            }
        }
    }
}

/// Guards the operator's view of a refused request: the log shows by its id where it was sent, how the
/// attempt ended and why there was no further one, and the metrics count each step.
#[test]
fn a_refused_request_can_be_traced_by_its_id() {
    let upstream = Upstream::start(|_, _| status("503 Service Unavailable\r\nX-Not-Run: 1"));
    let discovery = Discovery::start();
    let known = [endpoint("only", upstream.address, 0, "ready")];
    let file = configuration_file(&configuration(discovery.address, &known, 30.0, 1024));
    let mut child = command_with_descriptor_limit(1024, &file)
        .env("PROXY_LOG", "debug")
        .spawn()
        .expect("start the program");
    let (address, reader) = common::address(&mut child);
    let log = Log::from_stderr(reader);
    log.read_until(&["asks discovery for a watch", "watch=1"]);
    let (_, watch) = discovery.watch();
    watch.send_update(7, true, &known);
    log.read_until(&["discovery answers", "watch=1", "status=200"]);
    log.read_until(&["list changed", "version=7", "ready=1", "draining=0"]);

    let mut client = Client::connect(address);
    client.send_with_id("f00d", "order", "");
    assert_eq!(client.answer().expect("an answer").status(), 503);
    log.read_until(&["attempt begun", "id=f00d", "attempt=0", "upstream=\"only\""]);
    log.read_until(&["attempt ended", "id=f00d", "outcome=Refused"]);
    log.read_until(&["request ended unserved", "id=f00d", "reason=AttemptFailed(Refused)"]);

    let text = fetch_metrics(&mut client);
    assert_eq!(metric_value(&text, "stilelead_requests_total{answer=\"Refused\"}"), 1, "{text}");
    assert_eq!(
        metric_value(&text, "stilelead_requests_unserved_total{reason=\"AttemptFailed\"}"),
        1,
        "{text}"
    );
    assert_eq!(metric_value(&text, "stilelead_attempts_total{outcome=\"Refused\"}"), 1, "{text}");
    assert_eq!(metric_value(&text, "stilelead_list_version"), 7, "{text}");
    assert_eq!(metric_value(&text, "stilelead_members_ready"), 1, "{text}");
    child.kill().expect("the program runs");
    child.wait().expect("the program ends");
    std::fs::remove_file(file).expect("remove the configuration file");
}

/// Guards operators against a misspelt log level: it is reported by name, and the program does not start.
#[test]
fn an_unknown_log_level_is_refused() {
    let discovery = Discovery::start();
    let file = configuration_file(&configuration(discovery.address, &[], 30.0, 1024));
    let output = command_with_descriptor_limit(1024, &file)
        .env("PROXY_LOG", "loud")
        .output()
        .expect("start the program");
    assert!(!output.status.success());
    let stderr = String::from_utf8(output.stderr).expect("UTF-8");
    assert!(stderr.contains("PROXY_LOG is invalid: \"loud\""), "{stderr}");
    std::fs::remove_file(file).expect("remove the configuration file");
}
