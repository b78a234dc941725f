//! Tests of the list of upstreams and of the watch on discovery that updates it, over sockets.

mod common;

use common::*;

/// Guards against requests to an upstream that discovery has reported as draining or gone, also over a connection that
/// was open before.
#[test]
fn a_draining_upstream_gets_no_new_requests() {
    for status in ["draining", "gone"] {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").body, b"old");
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
        // The drain applies even though its entry has no readable address.
        let mut draining_entry = endpoint("s-1", old.address, 0, status);
        draining_entry["address"] = "".into();
        watch.send_update(8, false, &[draining_entry, endpoint("s-2", new.address, 1, "ready")]);
        old.wait_closed(1);
        for _ in 0..5 {
            assert_eq!(client.ask("order", "two").body, b"new");
        }
        assert_eq!(old.requests().len(), 1);
    }
}

/// Guards the parsing of a watch: messages split over chunks, several messages in one chunk, malformed entries.
#[test]
fn messages_are_assembled_from_chunks() {
    let (first, second) = (Upstream::start(|_, _| ok("first")), Upstream::start(|_, _| ok("second")));
    let (balancer, discovery) = Balancer::with(&[], 30.0);
    let (_, watch) = discovery.watch();
    let full_list = format!(
        r#"{{"index":8,"snapshot":true,"endpoints":[{{"name":5}},{},{{"name":"s-3","status":"odd"}}]}}"#,
        endpoint("s-1", first.address, 0, "ready")
    );
    for piece in full_list.as_bytes().chunks(7) {
        watch.bytes(piece);
    }
    let gone = endpoint("s-1", first.address, 0, "gone");
    let ready = endpoint("s-2", second.address, 0, "ready");
    let removal = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{gone}]}}"#);
    let addition = format!(r#"{{"index":10,"snapshot":false,"endpoints":[{ready}]}}"#);
    watch.bytes(b"\n");
    let mut client = balancer.client();
    wait_for("the first list is applied", || (client.ask("read", "").body == b"first").then_some(()));
    watch.bytes(format!("{removal}\n\n{addition}\n").as_bytes());
    wait_for("both changes are applied", || (client.ask("read", "").body == b"second").then_some(()));
}

/// Guards against a list that goes out of date unnoticed: a watch that ends, or sends a malformed message, is requested
/// again from the version of the current list, which stays in use meanwhile.
#[test]
fn a_broken_watch_is_requested_again() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    watch.send_update(11, false, &[]);
    watch.end();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
    watch.bytes(b"\xff{]\n");
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
}

/// Guards against a watch that stays open but sends nothing, as when discovery's machine is cut off: changes count as
/// delivered even if no message has arrived, so that a new watch is needed.
#[test]
fn a_silent_watch_is_replaced() {
    let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
    let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
    let (_, watch) = discovery.watch();
    watch.send_update(9, true, &[]);
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Guards against requests to the former address of an upstream: it may change while the name stays.
#[test]
fn an_upstream_may_change_its_address() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    watch.send_update(8, false, &[endpoint("s-1", new.address, 0, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

fn health_status(balancer: &Balancer) -> u16 {
    let mut client = balancer.client();
    client.raw(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    client.answer().expect("an answer").status()
}

/// Guards clients against a balancer that cannot serve yet: its health check fails while it has no list, an empty list,
/// or one without a ready upstream. If the list in the configuration has no ready upstream, the full list is requested
/// rather than the changes after it.
#[test]
fn the_health_check_fails_until_an_upstream_is_ready() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let draining = endpoint("s-1", upstream.address, 0, "draining");
    let unreadable = serde_json::json!({"name": "s-1", "address": "nowhere", "status": "ready"});
    for known in [vec![], vec![draining.clone()], vec![unreadable]] {
        let (balancer, discovery) = Balancer::with(&known, 30.0);
        assert_eq!(health_status(&balancer), 503);
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
        watch.bytes(b"\n");
        watch.send_update(8, true, std::slice::from_ref(&draining));
        watch.send_update(9, true, &[]);
        watch.end();
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
        assert_eq!(health_status(&balancer), 503, "no upstream is ready");
        watch.send_update(10, false, &[endpoint("s-1", upstream.address, 0, "ready")]);
        wait_for("the balancer can serve", || (health_status(&balancer) == 200).then_some(()));
        assert_eq!(balancer.client().ask("read", "").status(), 200);
    }
}

/// Guards restarts: a balancer with a list in its configuration serves at once, whatever state discovery is in: down,
/// silent from the start, unreachable behind a full accept queue, refusing calls, or so slow that the response to a call
/// begins but no message or only a part of one follows.
#[test]
fn a_configured_list_is_served_without_discovery() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let refusing = Upstream::start(|_, _| status("503 Service Unavailable"));
    let silent = Upstream::start(|_, _| Reply::Silence);
    let slow = |body_start: &'static str| {
        Upstream::start(move |_, _| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Bytes([head, body_start].concat().into_bytes())
        })
    };
    let (no_message, partial_message) = (slow(""), slow("b\r\n{\"index\":9,\r\n"));
    let (full_queue, _filling) = full_listener();
    let unreachable = full_queue.local_addr().expect("bound");
    let slow = [no_message.address, partial_message.address];
    for discovery in [dead_address(), silent.address, unreachable, refusing.address].into_iter().chain(slow) {
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let started = std::time::Instant::now();
        let balancer = Balancer::start(&configuration(discovery, &known, 30.0, 1024));
        assert_eq!(health_status(&balancer), 200);
        assert_eq!(balancer.client().ask("read", "").status(), 200);
        // Far below the time limits for a connection and for the first message of a watch.
        assert!(started.elapsed() < std::time::Duration::from_secs(5));
    }
}

/// Guards drains across a reload that changes the address of discovery: the new watch is requested at once, from the
/// version of the current list, and updates of the old watch still apply until the new one has sent a message.
#[test]
fn no_drain_is_missed_while_the_address_of_discovery_changes() {
    let (one, two) = (Upstream::start(|_, _| ok("one")), Upstream::start(|_, _| ok("two")));
    let known = [endpoint("s-1", one.address, 0, "ready"), endpoint("s-2", two.address, 1, "ready")];
    let (balancer, old) = Balancer::with(&known, 30.0);
    let (_, old_watch) = old.watch();
    old_watch.send_update(8, false, &[endpoint("s-2", two.address, 1, "draining")]);
    let mut client = balancer.client();
    wait_for("version 8 is applied", || {
        (0..8).all(|_| client.ask("order", "x").body == b"one").then_some(())
    });
    let new = Discovery::with_heartbeat(HANG_TIMEOUT);
    balancer.move_discovery(&new);
    let (line, new_watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=8 HTTP/1.1");
    old_watch.send_update(
        9,
        false,
        &[endpoint("s-1", one.address, 0, "draining"), endpoint("s-2", two.address, 1, "ready")],
    );
    wait_for("the update of the old watch is applied", || {
        (0..8).all(|_| client.ask("order", "x").body == b"two").then_some(())
    });
    new_watch.send_update(
        10,
        false,
        &[endpoint("s-1", one.address, 0, "ready"), endpoint("s-2", two.address, 1, "gone")],
    );
    wait_for("the update of the new watch is applied", || {
        (client.ask("order", "x").body == b"one").then_some(())
    });
    // Updates of the old watch no longer count.
    old_watch.send_update(
        11,
        false,
        &[endpoint("s-1", one.address, 0, "gone"), endpoint("s-2", two.address, 1, "gone")],
    );
    for _ in 0..8 {
        assert_eq!(client.ask("order", "x").body, b"one");
    }
}

/// Guards against missed drains where the settings say that lists are pushed: no watch was opened there. Over HTTP lists
/// arrive on a watch whatever the settings say.
#[test]
fn pushed_lists_arrive_on_a_watch_too() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let subscribing = configuration(discovery.address, &known, 30.0, 1024);
    let pushed = subscribing.replace(r#""discovery":"subscribe""#, r#""discovery":"automatic""#);
    assert_ne!(subscribing, pushed);
    let balancer = Balancer::start(&pushed);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    let draining_entry = endpoint("s-1", old.address, 0, "draining");
    watch.send_update(8, false, &[draining_entry, endpoint("s-2", new.address, 1, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

/// Guards against lists that are skipped because of their format: one may be indented, span several lines, arrive in
/// pieces, and have other messages before and after it.
#[test]
fn a_list_may_be_indented() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    let indented_message = |index: u64, endpoints: &[serde_json::Value]| {
        let message = serde_json::json!({"index": index, "snapshot": false, "endpoints": endpoints});
        format!("{message:#}\n")
    };
    let drain = indented_message(8, &[endpoint("s-1", old.address, 0, "draining")]);
    for piece in drain.as_bytes().chunks(11) {
        watch.bytes(piece);
    }
    old.wait_closed(1);
    let addition = indented_message(9, &[endpoint("s-2", new.address, 1, "ready")]);
    watch
        .bytes(format!("\n{}{addition}\n{}", indented_message(9, &[]), indented_message(10, &[])).as_bytes());
    wait_for("the list is applied", || (client.ask("order", "two").status() == 200).then_some(()));
    assert_eq!(old.requests().len(), 1);
    watch.end();
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=10 HTTP/1.1");
}

/// Guards the detection of a silent watch: bytes that keep arriving without completing a message, whether before the
/// first message, after it or within one, do not keep the watch alive.
#[test]
fn bytes_without_a_complete_message_count_as_silence() {
    for start in ["", "\n", "\n{\"index\": 8, \"endpoints\": ["] {
        let discovery = Discovery::with_heartbeat(HANG_TIMEOUT);
        let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
        let (_, watch) = discovery.watch();
        watch.bytes(start.as_bytes());
        let mut next_watch = None;
        wait_for("a new watch", || {
            watch.send_if_open(b" ");
            next_watch = discovery.next_watch();
            next_watch.is_some().then_some(())
        });
        let (line, _watch) = next_watch.expect("a new watch");
        assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    }
}

/// Guards the version that the next watch requests: a late update from the former address of discovery says nothing
/// about the versions at the new address.
#[test]
fn an_update_of_the_old_watch_does_not_set_the_requested_version() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, old) = Balancer::with(&[], 30.0);
    let (_, old_watch) = old.watch();
    old_watch.send_update(8, false, &[]);
    let new = Discovery::with_heartbeat(HANG_TIMEOUT);
    let mut client = balancer.client();
    old_watch.send_update(9, false, &[endpoint("s-1", upstream.address, 0, "ready")]);
    wait_for("version 9 is applied", || (client.ask("read", "").status() == 200).then_some(()));
    balancer.move_discovery(&new);
    let (line, new_watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
    old_watch.send_update(100, false, &[endpoint("s-1", upstream.address, 0, "draining")]);
    wait_for("the update of the old watch is applied", || {
        (client.ask("read", "").status() != 200).then_some(())
    });
    new_watch.end();
    let (line, _watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Guards against complete lists that are taken for malformed because of chunking: a chunk that ended right after the
/// decimal point of a number ended the watch. A chunk may end at any byte, within numbers, names, escapes and nested
/// values.
#[test]
fn a_message_may_be_split_anywhere() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    let mut draining_entry = endpoint("s-1", old.address, 0, "draining");
    draining_entry["weight"] = 1.25e-7.into();
    draining_entry["zone"] = "}]\"\\{[é".into();
    draining_entry["more"] = serde_json::json!([{"deep": [-0.5, null, true]}, ""]);
    let message = |index: usize, endpoints: &[serde_json::Value]| {
        serde_json::json!({"index": index, "snapshot": false, "endpoints": endpoints}).to_string()
    };
    let length = message(1000, std::slice::from_ref(&draining_entry)).len();
    for cut in 1..length {
        let message = message(1000 + cut, std::slice::from_ref(&draining_entry));
        watch.bytes(&message.as_bytes()[..cut]);
        watch.bytes(&message.as_bytes()[cut..]);
    }
    let last_message = message(5000, &[endpoint("s-2", new.address, 0, "ready")]);
    for byte in last_message.as_bytes() {
        watch.bytes(&[*byte]);
    }
    let mut client = balancer.client();
    wait_for("the last list is applied", || (client.ask("read", "").body == b"new").then_some(()));
    assert!(discovery.next_watch().is_none(), "the watch ended");
    watch.end();
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=5000 HTTP/1.1");
}
