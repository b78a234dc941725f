//! The list and its watch.

mod common;

use common::*;

/// Guards drains: once told, nothing new goes there, not even over a connection that was kept.
#[test]
fn a_draining_upstream_gets_nothing_new() {
    for status in ["draining", "gone"] {
        let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
        let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
        let mut client = balancer.client();
        assert_eq!(client.ask("order", "one").body, b"old");
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
        // An address that can't be read does not keep the drain from being heard.
        let mut drained = endpoint("s-1", old.address, 0, status);
        drained["address"] = "".into();
        watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
        old.wait_closed(1);
        for _ in 0..5 {
            assert_eq!(client.ask("order", "two").body, b"new");
        }
        assert_eq!(old.requests().len(), 1);
    }
}

/// Guards the reading of the watch: lines cut by chunks, several in one, entries that make no sense.
#[test]
fn lines_are_put_together_from_chunks() {
    let (first, second) = (Upstream::start(|_, _| ok("first")), Upstream::start(|_, _| ok("second")));
    let (balancer, discovery) = Balancer::with(&[], 30.0);
    let (_, watch) = discovery.watch();
    let one = format!(
        r#"{{"index":8,"snapshot":true,"endpoints":[{{"name":5}},{},{{"name":"s-3","status":"odd"}}]}}"#,
        endpoint("s-1", first.address, 0, "ready")
    );
    for piece in one.as_bytes().chunks(7) {
        watch.bytes(piece);
    }
    let gone = endpoint("s-1", first.address, 0, "gone");
    let ready = endpoint("s-2", second.address, 0, "ready");
    let two = format!(r#"{{"index":9,"snapshot":false,"endpoints":[{gone}]}}"#);
    let three = format!(r#"{{"index":10,"snapshot":false,"endpoints":[{ready}]}}"#);
    watch.bytes(b"\n");
    let mut client = balancer.client();
    wait_for("the first list is taken in", || (client.ask("read", "").body == b"first").then_some(()));
    watch.bytes(format!("{two}\n\n{three}\n").as_bytes());
    wait_for("both changes are taken in", || (client.ask("read", "").body == b"second").then_some(()));
}

/// Guards against a list that grows old unseen: a watch that ends, or turns to nonsense, is asked for again
/// from the version in hand, while the old list stands.
#[test]
fn a_broken_watch_is_taken_up_again() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    watch.says(11, false, &[]);
    watch.end();
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
    watch.bytes(b"\xff{]\n");
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=11 HTTP/1.1");
    assert_eq!(balancer.client().ask("read", "").status(), 200);
}

/// Guards against a watch that stays open and says nothing, as when discovery's machine is cut off: what it
/// would have told counts as told all the same.
#[test]
fn a_silent_watch_is_dead() {
    let discovery = Discovery::beating(LONG);
    let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
    let (_, watch) = discovery.watch();
    watch.says(9, true, &[]);
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Guards against sends to where an upstream was: its address may change under the same name.
#[test]
fn an_upstream_may_move() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    watch.says(8, false, &[endpoint("s-1", new.address, 0, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

fn health(balancer: &Balancer) -> u16 {
    let mut client = balancer.client();
    client.raw(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n");
    client.answer().expect("an answer").status()
}

/// Guards the front against a balancer that cannot serve yet: with no list, an empty one, or nobody in it who is ready.
/// A list in hand that names nobody is asked for whole, and not for what came after it.
#[test]
fn health_waits_for_an_upstream_that_is_ready() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let draining = endpoint("s-1", upstream.address, 0, "draining");
    let unreadable = serde_json::json!({"name": "s-1", "address": "nowhere", "status": "ready"});
    for known in [vec![], vec![draining.clone()], vec![unreadable]] {
        let (balancer, discovery) = Balancer::with(&known, 30.0);
        assert_eq!(health(&balancer), 503);
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
        watch.bytes(b"\n");
        watch.says(8, true, std::slice::from_ref(&draining));
        watch.says(9, true, &[]);
        watch.end();
        let (line, watch) = discovery.watch();
        assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
        assert_eq!(health(&balancer), 503, "nobody is ready");
        watch.says(10, false, &[endpoint("s-1", upstream.address, 0, "ready")]);
        wait_for("the balancer can serve", || (health(&balancer) == 200).then_some(()));
        assert_eq!(balancer.client().ask("read", "").status(), 200);
    }
}

/// Guards restarts: with a list in hand a balancer serves at once, whatever has become of discovery: down, silent from
/// the start, cut off behind a full queue, refusing calls, or so slow that a call is answered and no word follows, or a
/// part of one.
#[test]
fn a_list_in_hand_serves_without_discovery() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let refusing = Upstream::start(|_, _| status("503 Service Unavailable"));
    let silent = Upstream::start(|_, _| Reply::Silence);
    let slow = |begun: &'static str| {
        Upstream::start(move |_, _| {
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            Reply::Bytes([head, begun].concat().into_bytes())
        })
    };
    let (wordless, halting) = (slow(""), slow("b\r\n{\"index\":9,\r\n"));
    let (cut_off, _filling) = full_listener();
    let cut_off = cut_off.local_addr().expect("bound");
    let slow = [wordless.address, halting.address];
    for discovery in [dead_address(), silent.address, cut_off, refusing.address].into_iter().chain(slow) {
        let known = [endpoint("s-1", upstream.address, 0, "ready")];
        let started = std::time::Instant::now();
        let balancer = Balancer::start(&configuration(discovery, &known, 30.0, 1024));
        assert_eq!(health(&balancer), 200);
        assert_eq!(balancer.client().ask("read", "").status(), 200);
        // Far less than what a watch or a connection is waited for.
        assert!(started.elapsed() < std::time::Duration::from_secs(5));
    }
}

/// Guards drains across a reload: the new watch is asked for at once, from the version in hand, and until it
/// has spoken the old one is still heard.
#[test]
fn no_drain_is_missed_while_discovery_moves() {
    let (one, two) = (Upstream::start(|_, _| ok("one")), Upstream::start(|_, _| ok("two")));
    let known = [endpoint("s-1", one.address, 0, "ready"), endpoint("s-2", two.address, 1, "ready")];
    let (balancer, old) = Balancer::with(&known, 30.0);
    let (_, old_watch) = old.watch();
    old_watch.says(8, false, &[endpoint("s-2", two.address, 1, "draining")]);
    let mut client = balancer.client();
    wait_for("version 8 is heard", || (0..8).all(|_| client.ask("order", "x").body == b"one").then_some(()));
    let new = Discovery::beating(LONG);
    balancer.move_discovery(&new);
    let (line, new_watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=8 HTTP/1.1");
    old_watch.says(
        9,
        false,
        &[endpoint("s-1", one.address, 0, "draining"), endpoint("s-2", two.address, 1, "ready")],
    );
    wait_for("the old watch is heard", || {
        (0..8).all(|_| client.ask("order", "x").body == b"two").then_some(())
    });
    new_watch.says(
        10,
        false,
        &[endpoint("s-1", one.address, 0, "ready"), endpoint("s-2", two.address, 1, "gone")],
    );
    wait_for("the new watch is heard", || (client.ask("order", "x").body == b"one").then_some(()));
    // What the old one says now is no longer the truth.
    old_watch.says(
        11,
        false,
        &[endpoint("s-1", one.address, 0, "gone"), endpoint("s-2", two.address, 1, "gone")],
    );
    for _ in 0..8 {
        assert_eq!(client.ask("order", "x").body, b"one");
    }
}

/// Found on an own deployment: where the settings say that lists come by themselves no watch was opened, and no
/// drain was heard of. Over HTTP they come on a watch whatever the settings say.
#[test]
fn lists_that_are_pushed_come_on_a_watch_too() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let asked = configuration(discovery.address, &known, 30.0, 1024);
    let pushed = asked.replace(r#""discovery":"subscribe""#, r#""discovery":"automatic""#);
    assert_ne!(asked, pushed);
    let balancer = Balancer::start(&pushed);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (line, watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    let drained = endpoint("s-1", old.address, 0, "draining");
    watch.says(8, false, &[drained, endpoint("s-2", new.address, 1, "ready")]);
    old.wait_closed(1);
    assert_eq!(client.ask("order", "two").body, b"new");
}

/// Guards against lists that are passed over for their form: one may come indented, over several lines, in
/// pieces, with others before and behind it.
#[test]
fn a_list_may_come_indented() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    assert_eq!(client.ask("order", "one").body, b"old");
    let (_, watch) = discovery.watch();
    let said = |index: u64, endpoints: &[serde_json::Value]| {
        let word = serde_json::json!({"index": index, "snapshot": false, "endpoints": endpoints});
        format!("{word:#}\n")
    };
    let drained = said(8, &[endpoint("s-1", old.address, 0, "draining")]);
    for piece in drained.as_bytes().chunks(11) {
        watch.bytes(piece);
    }
    old.wait_closed(1);
    let ready = said(9, &[endpoint("s-2", new.address, 1, "ready")]);
    watch.bytes(format!("\n{}{ready}\n{}", said(9, &[]), said(10, &[])).as_bytes());
    wait_for("the list is taken in", || (client.ask("order", "two").status() == 200).then_some(()));
    assert_eq!(old.requests().len(), 1);
    watch.end();
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=10 HTTP/1.1");
}

/// Guards the clock of silence: bytes that keep coming and make no word, before the first, after it or within
/// one, are as dead a watch as none.
#[test]
fn bytes_without_a_word_are_silence() {
    for begun in ["", "\n", "\n{\"index\": 8, \"endpoints\": ["] {
        let discovery = Discovery::beating(LONG);
        let _balancer = Balancer::start(&configuration(discovery.address, &[], 30.0, 1024));
        let (_, watch) = discovery.watch();
        watch.bytes(begun.as_bytes());
        let mut next = None;
        wait_for("a new watch", || {
            watch.trickles(b" ");
            next = discovery.next_watch();
            next.is_some().then_some(())
        });
        let (line, _watch) = next.expect("it was waited for");
        assert_eq!(line, "GET /catalog/members?follow=1&since=0 HTTP/1.1");
    }
}

/// Guards what the next watch is asked for: a late word of the one where discovery was tells nothing of the
/// versions where it is.
#[test]
fn the_version_is_that_of_the_watch_that_counts() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let (balancer, old) = Balancer::with(&[], 30.0);
    let (_, old_watch) = old.watch();
    old_watch.says(8, false, &[]);
    let new = Discovery::beating(LONG);
    let mut client = balancer.client();
    old_watch.says(9, false, &[endpoint("s-1", upstream.address, 0, "ready")]);
    wait_for("version 9 is heard", || (client.ask("read", "").status() == 200).then_some(()));
    balancer.move_discovery(&new);
    let (line, new_watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
    old_watch.says(100, false, &[endpoint("s-1", upstream.address, 0, "draining")]);
    wait_for("the old watch is heard", || (client.ask("read", "").status() != 200).then_some(()));
    new_watch.end();
    let (line, _watch) = new.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=9 HTTP/1.1");
}

/// Found on the larger fleet: a list that a chunk cut right behind the point of a number was taken for malformed, and
/// the watch with it. A word may be cut at any byte, within numbers, names, escapes and nested values.
#[test]
fn a_word_may_be_cut_anywhere() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", old.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    let mut drained = endpoint("s-1", old.address, 0, "draining");
    drained["weight"] = 1.25e-7.into();
    drained["zone"] = "}]\"\\{[é".into();
    drained["more"] = serde_json::json!([{"deep": [-0.5, null, true]}, ""]);
    let word = |index: usize, endpoints: &[serde_json::Value]| {
        serde_json::json!({"index": index, "snapshot": false, "endpoints": endpoints}).to_string()
    };
    let length = word(1000, std::slice::from_ref(&drained)).len();
    for cut in 1..length {
        let word = word(1000 + cut, std::slice::from_ref(&drained));
        watch.bytes(&word.as_bytes()[..cut]);
        watch.bytes(&word.as_bytes()[cut..]);
    }
    let last = word(5000, &[endpoint("s-2", new.address, 0, "ready")]);
    for byte in last.as_bytes() {
        watch.bytes(&[*byte]);
    }
    let mut client = balancer.client();
    wait_for("the last list is taken in", || (client.ask("read", "").body == b"new").then_some(()));
    assert!(discovery.next_watch().is_none(), "the watch broke");
    watch.end();
    let (line, _watch) = discovery.watch();
    assert_eq!(line, "GET /catalog/members?follow=1&since=5000 HTTP/1.1");
}
