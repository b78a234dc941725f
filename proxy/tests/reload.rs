//! Tests of configuration reloads while requests are in flight, inside the process and by SIGHUP.

mod common;

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use common::*;
use serde_json::{Value, json};

/// An upstream that answers requests with the body `held` only after the gate is opened, and others at once.
struct Gate {
    upstream: Upstream,
    open: Arc<AtomicBool>,
}

impl Gate {
    fn start() -> Self {
        let open = Arc::new(AtomicBool::new(false));
        let is_open = Arc::clone(&open);
        let upstream = Upstream::start(move |_, message| {
            if message.body == b"held" {
                wait_for("the gate opens", || is_open.load(Ordering::Acquire).then_some(()));
            }
            ok("served")
        });
        Self { upstream, open }
    }

    fn known(&self) -> Vec<Value> {
        vec![endpoint("s-1", self.upstream.address, 0, "ready")]
    }

    /// Sends a request that the upstream leaves unanswered until the gate opens, and waits until it has arrived there.
    fn hold(&self, address: SocketAddr, class: &str) -> Client {
        let mut client = Client::connect(address);
        client.send(class, "held");
        let is_held = |message: &Message| message.body == b"held";
        wait_for("the request reaches the upstream", || {
            self.upstream.requests().iter().any(|(_, message)| is_held(message)).then_some(())
        });
        client
    }

    fn open(&self) {
        self.open.store(true, Ordering::Release);
    }
}

fn parse_json(configuration: &str) -> Value {
    serde_json::from_str(configuration).expect("JSON")
}

fn class_setting(name: &str, effect: &str) -> Value {
    json!({"name": name, "onTimeS": 30.0, "hardLimitS": 60.0, "effect": effect})
}

fn class_settings(text: &mut Value) -> &mut Vec<Value> {
    text["settings"]["lanes"].as_array_mut().expect("a list")
}

/// A running balancer process, which is killed when dropped.
struct Program {
    child: Child,
    address: SocketAddr,
    log: BufReader<ChildStderr>,
    file: PathBuf,
}

impl Program {
    fn start(configuration: &str) -> Self {
        let file = configuration_file(configuration);
        let mut child = command_with_descriptor_limit(1024, &file).spawn().expect("starts");
        let (address, log) = address(&mut child);
        Self { child, address, log, file }
    }

    /// Replaces the configuration file, sends SIGHUP and returns the log line about the reload.
    fn reload(&mut self, bytes: &[u8]) -> String {
        std::fs::write(&self.file, bytes).expect("written");
        let sent = Command::new("kill").args(["-HUP", &self.child.id().to_string()]).status().expect("sent");
        assert!(sent.success());
        self.next_configuration_line()
    }

    /// The next log line about the configuration.
    fn next_configuration_line(&mut self) -> String {
        loop {
            let mut line = String::new();
            assert!(self.log.read_line(&mut line).expect("a line") > 0, "the program ended");
            if line.contains("configuration") {
                return line.trim().to_owned();
            }
        }
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

#[test]
fn a_new_class_is_served_after_sighup_while_a_request_in_flight_is_answered() {
    let gate = Gate::start();
    let discovery = Discovery::start();
    let old = configuration(discovery.address, &gate.known(), 30.0, 1024);
    let mut program = Program::start(&old);
    let mut held_client = gate.hold(program.address, "order");
    assert_eq!(Client::connect(program.address).ask("extra", "").status(), 400);
    let mut new = parse_json(&old);
    // The new class is first in the list: the request in flight must not be attributed to it.
    class_settings(&mut new).insert(0, class_setting("extra", "at_most_once"));
    new["settings"]["projects"] = json!([{"name": "zenith"}, {"name": "acme"}]);
    let line = program.reload(new.to_string().as_bytes());
    assert_eq!(line, "stilelead: configuration applied: 1 class added, 1 tenant added");
    let mut client = Client::connect(program.address);
    assert_eq!(client.ask("extra", "").status(), 200);
    client.send_for_tenant("zenith", "order", "");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    gate.open();
    assert_eq!(held_client.answer().expect("an answer").status(), 200);
    assert_eq!(
        program.reload(new.to_string().as_bytes()),
        "stilelead: configuration applied: nothing has changed"
    );
    assert_eq!(client.ask("extra", "").status(), 200);
}

#[test]
fn removed_names_are_refused_with_400_while_their_requests_in_flight_are_answered() {
    let gate = Gate::start();
    let (balancer, discovery) = Balancer::with(&gate.known(), 30.0);
    let mut held_client = gate.hold(balancer.address, "order");
    let mut new = parse_json(&configuration(discovery.address, &gate.known(), 30.0, 1024));
    class_settings(&mut new).retain(|class| class["name"] != "order");
    new["settings"]["projects"] = json!([{"name": "zenith"}]);
    balancer.reload(&new.to_string());
    let mut client = balancer.client();
    wait_for("the tenant is no longer accepted", || (client.ask("read", "").status() == 400).then_some(()));
    client.send_for_tenant("zenith", "order", "");
    let refused = client.answer().expect("an answer");
    assert_eq!(refused.status(), 400);
    client.send_for_tenant("zenith", "read", "");
    assert_eq!(client.answer().expect("an answer").status(), 200);
    gate.open();
    assert_eq!(held_client.answer().expect("an answer").status(), 200);
}

/// Guards against invalid files that are applied in part: they change neither the settings nor the address of discovery,
/// and interrupt no request.
#[test]
fn an_invalid_file_leaves_the_old_configuration_completely_in_force() {
    let gate = Gate::start();
    let (old, new) = (Discovery::start(), Discovery::start());
    let text = configuration(old.address, &gate.known(), 30.0, 1024);
    let mut program = Program::start(&text);
    let mut held_client = gate.hold(program.address, "order");
    let (_, _old_watch) = old.watch();
    let mut valid = parse_json(&text);
    valid["discovery"] = json!(new.address.to_string());
    class_settings(&mut valid).push(class_setting("extra", "idempotent"));
    let valid_text = valid.to_string();
    let with = |change: fn(&mut Value)| {
        let mut text = valid.clone();
        change(&mut text);
        text.to_string().into_bytes()
    };
    let files: [(Vec<u8>, &str); 8] = [
        (Vec::new(), "malformed"),
        (valid_text.as_bytes()[..valid_text.len() / 2].to_vec(), "malformed"),
        (valid_text.as_bytes()[..valid_text.len() - 1].to_vec(), "malformed"),
        ([valid_text.as_bytes(), &b" ".repeat(9 << 20)].concat(), "is larger than"),
        (vec![0xff, 0xfe], "cannot read"),
        (with(|text| text["settings"]["balancers"] = json!(0)), "number of replicas is 0"),
        (with(|text| text["settings"]["lanes"] = json!([])), "no class"),
        (with(|text| text["settings"]["zone"] = json!("west")), "invalid value for zone"),
    ];
    for (bytes, reason) in files {
        let line = program.reload(&bytes);
        assert!(
            line.starts_with("stilelead: the new configuration is rejected, the old one stays in force: "),
            "{line}"
        );
        assert!(line.contains(reason), "{line}");
        let mut client = Client::connect(program.address);
        assert_eq!(client.ask("order", "").status(), 200);
        assert_eq!(client.ask("extra", "").status(), 400);
    }
    std::fs::remove_file(&program.file).expect("it is there");
    std::fs::create_dir(&program.file).expect("created");
    let sent = Command::new("kill").args(["-HUP", &program.child.id().to_string()]).status().expect("sent");
    assert!(sent.success());
    let line = program.next_configuration_line();
    assert!(
        line.contains("the new configuration is rejected, the old one stays in force: cannot read"),
        "{line}"
    );
    std::fs::remove_dir(&program.file).expect("it is there");
    assert!(new.next_watch().is_none(), "the address of discovery changed without the settings");
    // A valid file changes settings and discovery together, and the request in flight since the start is answered.
    let line = program.reload(valid_text.as_bytes());
    let applied = format!("discovery at {}, 1 class added", new.address);
    assert_eq!(line, format!("stilelead: configuration applied: {applied}"));
    let (_, _new_watch) = new.watch();
    assert_eq!(
        Client::connect(program.address).ask("extra", "").status(),
        400,
        "idempotent classes are requested with GET"
    );
    assert_eq!(Client::connect(program.address).ask("read", "").status(), 200);
    gate.open();
    assert_eq!(held_client.answer().expect("an answer").status(), 200);
}

/// If several files follow in quick succession, the last one is in force in the end.
#[test]
fn the_last_of_several_files_wins() {
    let gate = Gate::start();
    let (balancer, discovery) = Balancer::with(&gate.known(), 30.0);
    let old = configuration(discovery.address, &gate.known(), 30.0, 1024);
    for number in 0..20 {
        let mut new = parse_json(&old);
        class_settings(&mut new).push(class_setting(&format!("extra-{number}"), "at_most_once"));
        balancer.reload(&new.to_string());
    }
    let mut client = balancer.client();
    wait_for("the last file is in force", || (client.ask("extra-19", "").status() == 200).then_some(()));
    for number in 0..19 {
        assert_eq!(client.ask(&format!("extra-{number}"), "").status(), 400);
    }
}

/// Guards the zones of listed upstreams: entries with a zone that the settings did not name before have to be read again,
/// so that the full list is requested. Until it arrives, updates of the old watch apply.
#[test]
fn a_change_of_zone_names_requests_the_full_list() {
    let (near, far) = (Upstream::start(|_, _| ok("near")), Upstream::start(|_, _| ok("far")));
    let mut members =
        vec![endpoint("s-1", near.address, 0, "ready"), endpoint("s-2", far.address, 0, "ready")];
    members[1]["zone"] = json!("west");
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let mut text = parse_json(&configuration(discovery.address, &members, 30.0, 1024));
    text["settings"]["tier"] = json!(1);
    let balancer = Balancer::start(&text.to_string());
    let (_, old_watch) = discovery.watch();
    old_watch.send_update(8, false, &[]);
    let mut client = balancer.client();
    let all_from = |client: &mut Client, body: &str| {
        (0..200).all(|_| client.ask("order", "").body == body.as_bytes()).then_some(())
    };
    wait_for("all requests stay in the zone", || all_from(&mut client, "near"));
    text["settings"]["zones"] = json!(["west", "north"]);
    text["settings"]["zone"] = json!("west");
    balancer.reload(&text.to_string());
    let (line, new_watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    old_watch.send_update(9, false, &[endpoint("s-1", near.address, 0, "draining")]);
    wait_for("the update of the old watch is applied", || all_from(&mut client, "far"));
    let third = Upstream::start(|_, _| ok("third"));
    members.push(endpoint("s-3", third.address, 0, "ready"));
    members[2]["zone"] = json!("west");
    new_watch.send_update(10, true, &members);
    wait_for("the full list is applied", || (client.ask("order", "").body == b"third").then_some(()));
    // The balancer may send single calls to the other zone when upstreams seem slow, so the test waits for one series of
    // 200 calls that all stay in the zone. If the upstream still counted as one of three in the balancer's own zone, there
    // would practically never be such a series.
    let cross_zone_calls = wait_for("all requests stay in the new zone", || {
        let before = near.requests().len();
        let all_in_zone =
            (0..200).all(|_| [&b"far"[..], b"third"].contains(&client.ask("order", "").body.as_slice()));
        all_in_zone.then(|| near.requests().len() - before)
    });
    assert_eq!(cross_zone_calls, 0, "the upstream is in another zone now");
}

/// Guards against running a request twice: if the effect of its class changes to `deduplicated` before the request has
/// been received completely, the new effect applies, and a request without an idempotency key is refused.
#[test]
fn a_request_received_across_a_reload_follows_the_new_effect() {
    let gate = Gate::start();
    let (balancer, discovery) = Balancer::with(&gate.known(), 30.0);
    let mut client = balancer.client();
    client.raw(
        b"POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: r-split\r\nX-Tenant: acme\r\nContent-Length: 4\r\n\r\nha",
    );
    balancer.wait_until_caught_up();
    let mut new = parse_json(&configuration(discovery.address, &gate.known(), 30.0, 1024));
    new["settings"]["lanes"][2]["effect"] = json!("deduplicated");
    new["settings"]["lanes"][2]["dedupScope"] = json!("all");
    new["settings"]["lanes"][2]["windowS"] = json!(10.0);
    balancer.reload(&new.to_string());
    balancer.wait_until_caught_up();
    client.raw(b"lf");
    assert_eq!(client.answer().expect("an answer").status(), 400);
    assert_eq!(gate.upstream.requests().len(), 0);
    assert_eq!(client.ask("order", "").status(), 200, "with a key");
}

/// Guards requests during a shutdown: the drain of the balancer lasts as long as the deadlines in force require. With the
/// deadlines of the start this one would end 0.6 s after it began.
#[test]
fn a_drain_waits_as_long_as_the_new_deadlines_require() {
    let gate = Gate::start();
    let discovery = Discovery::start();
    let mut text = parse_json(&configuration(discovery.address, &gate.known(), 0.1, 1024));
    let with_deadline = |text: &mut Value, seconds: f64| {
        for class in class_settings(text) {
            (class["onTimeS"], class["hardLimitS"]) = (json!(seconds), json!(seconds));
        }
        text.to_string()
    };
    let mut balancer = Balancer::start(&with_deadline(&mut text, 0.1));
    balancer.reload(&with_deadline(&mut text, 60.0));
    balancer.wait_until_caught_up();
    let mut held_client = gate.hold(balancer.address, "order");
    balancer.stop();
    std::thread::sleep(Duration::from_millis(1200));
    gate.open();
    assert_eq!(held_client.answer().expect("an answer").status(), 200);
}
