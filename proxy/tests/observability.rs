//! What an operator can see of a running balancer: its fetch_metrics and its log.

mod common;

use std::io::{BufRead, BufReader};
use std::process::ChildStderr;
use std::sync::mpsc::{self, Receiver};
use std::thread;

use common::{
    Client, Discovery, HANG_TIMEOUT, Upstream, command_with_descriptor_limit, configuration,
    configuration_file, endpoint, status,
};

/// The value of a metric_value, 0 where it has not been counted yet.
fn metric_value(text: &str, name: &str) -> u64 {
    let line = text.lines().find_map(|line| line.strip_prefix(name));
    line.map_or(0, |value| value.trim().parse().expect("a number"))
}

fn fetch_metrics(client: &mut Client) -> String {
    client.raw(b"GET /_metrics HTTP/1.1\r\nHost: balancer\r\n\r\n");
    let message = client.answer().expect("the fetch_metrics");
    assert_eq!(message.status(), 200);
    String::from_utf8(message.body).expect("text")
}

/// The lines of a program's log as they come.
struct Log(Receiver<String>);

impl Log {
    fn of(reader: BufReader<ChildStderr>) -> Self {
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

    /// Reads on until a line holds all of these parts.
    fn read_until(&self, parts: &[&str]) {
        loop {
            let line = self.0.recv_timeout(HANG_TIMEOUT);
            let line = line.unwrap_or_else(|_| panic!("no line with {parts:?}"));
            if parts.iter().all(|part| line.contains(part)) {
                return;
            }
        }
    }
}

/// A request can be followed by its id: where it went, how that ended, why there was no further attempt; and each step
/// is counted.
#[test]
fn a_refused_request_can_be_traced_by_its_id() {
    let upstream = Upstream::start(|_, _| status("503 Service Unavailable\r\nX-Not-Run: 1"));
    let discovery = Discovery::start();
    let known = [endpoint("only", upstream.address, 0, "ready")];
    let file = configuration_file(&configuration(discovery.address, &known, 30.0, 1024));
    let mut child =
        command_with_descriptor_limit(1024, &file).env("PROXY_LOG", "debug").spawn().expect("starts");
    let (address, reader) = common::address(&mut child);
    let log = Log::of(reader);
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
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    std::fs::remove_file(file).expect("it is there");
}

/// A level that does not exist is said so plainly, and nothing starts.
#[test]
fn an_unknown_log_level_is_refused() {
    let discovery = Discovery::start();
    let file = configuration_file(&configuration(discovery.address, &[], 30.0, 1024));
    let output =
        command_with_descriptor_limit(1024, &file).env("PROXY_LOG", "loud").output().expect("starts");
    assert!(!output.status.success());
    let said = String::from_utf8(output.stderr).expect("text");
    assert!(said.contains("PROXY_LOG is invalid: \"loud\""), "{said}");
    std::fs::remove_file(file).expect("it is there");
}
