//! Clients and upstreams that send much: the program's memory stays small, others are served, and each gets its end.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use socket2::{Domain, Socket, Type};

/// Most memory that a program has held so far, in KiB.
fn peak_kib(program: &std::process::Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards memory against bodies in pieces of a byte: kept as they came, each piece costs a hundred times its size.
/// Both ways, at many connections at once.
#[test]
fn bodies_in_tiny_chunks_use_little_memory() {
    let pieces = b"1\r\na\r\n".repeat(60_000);
    let shared = pieces.clone();
    let upstream = Upstream::start(move |_, message| {
        if message.line.starts_with("POST") {
            return ok("served");
        }
        let head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
        Reply::Bytes([head, shared.clone()].concat())
    });
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut program = program(&configuration(discovery.address, &known, 30.0, 1024));
    let (address, _log) = address(&mut program);
    let mut flooding = Vec::new();
    for number in 0..50 {
        let mut client = Client::connect(address);
        client.raw(
            format!(
                "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: f-{number}\r\nX-Tenant: acme\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        );
        // It may be hung up on meanwhile.
        let _ = client.0.write_all(&pieces);
        flooding.push(client);
        let mut client = Client::connect(address);
        client.send("read", "");
        flooding.push(client);
    }
    upstream.wait_requests(50);
    assert_eq!(Client::connect(address).ask("order", "one").status(), 200);
    for mut client in flooding.into_iter().step_by(2) {
        assert!(client.answer().is_none_or(|answer| answer.status() == 408));
    }
    let peak = peak_kib(&program);
    program.kill().expect("it runs");
    program.wait().expect("ends");
    assert!(peak < 48 * 1024, "{peak} KiB");
}

fn descriptors(program: &std::process::Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.id())).expect("it runs").count()
}

/// Guards memory, descriptors and the others against clients that send much at once and go, and against many that leave
/// in one moment with their requests out: what they held is free again, and their attempts are over.
#[test]
fn flooding_clients_that_disconnect_free_their_resources() {
    let upstream =
        Upstream::start(|_, message| if message.body == b"held" { Reply::Silence } else { ok("served") });
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let mut program = program(&configuration(discovery.address, &known, 50.0, 1024));
    let (address, _log) = address(&mut program);
    let (_, _watch) = discovery.watch();
    assert_eq!(Client::connect(address).ask("order", "one").status(), 200);
    let before = descriptors(&program);
    let mut leaving: Vec<Client> = (0..100).map(|_| Client::connect(address)).collect();
    for client in &mut leaving {
        client.send("order", "held");
    }
    upstream.wait_requests(101);
    let much = "x".repeat(1 << 20);
    let head = "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: m\r\nX-Tenant: acme\r\n";
    for _ in 0..30 {
        for begun in [
            String::new(),
            format!("{head}X-Fill: "),
            format!("{head}Content-Length: 60000000\r\n\r\n"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\nfffff0\r\n"),
            format!("{head}Content-Length: 5\r\n\r\nabcde"),
        ] {
            let mut client = Client::connect(address);
            let _ = client.0.write_all(begun.as_bytes());
            let _ = client.0.write_all(much.as_bytes());
        }
    }
    assert_eq!(Client::connect(address).ask("order", "two").status(), 200);
    drop(leaving);
    // Their attempts end with them, each with its connection.
    upstream.wait_closed(100);
    wait_for("the descriptors are free", || (descriptors(&program) <= before + 2).then_some(()));
    assert_eq!(Client::connect(address).ask("order", "three").status(), 200);
    let peak = peak_kib(&program);
    program.kill().expect("it runs");
    program.wait().expect("ends");
    assert!(peak < 32 * 1024, "{peak} KiB");
}

/// Guards proper clients and the peers themselves where many send no proper request, all at a time: each gets an error or
/// a close long before this test is impatient, and a proper client is served among them.
#[test]
fn many_malformed_clients_are_disconnected_while_others_are_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 256));
    let good = "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\r\n";
    let mut proper = balancer.client();
    let mut peers = Vec::new();
    for _ in 0..15 {
        for text in [
            "".to_owned(),
            "\r\n\r\n\r\n".to_owned(),
            "\u{16}\u{3}\u{1}\u{0}\u{1}".to_owned(),
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
            good.replace("acme", "nobody"),
            good.replace("/read", "/nothing"),
            good.replace("GET", "BREW"),
            good.replace("HTTP/1.1", "HTTP/9.9"),
            good.replace("X-Request-Id: r", "X-Request-Id"),
            good.replace("\r\n\r\n", "\r\nContent-Length: 10\r\n\r\nabc"),
            good[..40].to_owned(),
            good.replace("a\r\n", &format!("a\r\nX-Fill: {}\r\n", "x".repeat(40_000))),
        ] {
            let mut peer = balancer.client();
            let _ = peer.0.write_all(text.as_bytes());
            peers.push((peer, text));
            if peers.len() % 10 == 0 {
                assert_eq!(proper.ask("order", "x").status(), 200);
            }
        }
    }
    for (mut peer, text) in peers {
        let answer = peer.answer();
        assert!(answer.is_none_or(|answer| (400..600).contains(&answer.status())), "{text:.40}");
    }
    assert_eq!(balancer.client().ask("order", "x").status(), 200);
    assert!(upstream.requests().iter().all(|(_, request)| request.line.contains("/order")));
}

/// Guards drains and clients where idle clients fill the descriptors while discovery is down: who is active is served all
/// the time, and once discovery is back the watch is opened and heard, though the idle keep coming.
#[test]
fn idle_clients_do_not_starve_the_watch_or_active_clients_of_descriptors() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    // Bound and not yet listening, it refuses.
    let down = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    down.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a free port");
    let address_of_discovery = down.local_addr().expect("bound").as_socket().expect("IPv4");
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let mut program =
        program_with_descriptor_limit(64, &configuration(address_of_discovery, &known, 30.0, 64));
    let (address, _log) = address(&mut program);
    let mut idle = std::collections::VecDeque::new();
    // Brings as many idle clients as there are descriptors, every other one after a request, and tells who serves an
    // active one then. A connection may be shut unread, and its client comes again.
    let mut add_idle_clients_and_probe = || {
        for number in 0..64 {
            let mut client = Client::connect(address);
            if number % 2 == 0 {
                client.send("order", "x");
                let answer = client.answer();
                assert!(answer.as_ref().is_none_or(|answer| answer.status() == 200), "{answer:?}");
            }
            idle.push_back(client);
        }
        idle.drain(..idle.len().saturating_sub(128));
        let answer = wait_for("an answer beside them", || {
            let mut active = Client::connect(address);
            active.send("order", "x");
            active.answer()
        });
        assert_eq!(answer.status(), 200);
        answer.body
    };
    for _ in 0..10 {
        assert_eq!(add_idle_clients_and_probe(), b"old");
    }
    down.listen(8).expect("bound");
    let discovery = Discovery::on(down.into(), Duration::from_millis(500));
    let (line, watch) = wait_for("the watch", || {
        add_idle_clients_and_probe();
        discovery.next_watch()
    });
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    let drained = endpoint("s-1", old.address, 0, "draining");
    watch.send_update(8, false, &[drained, endpoint("s-2", new.address, 0, "ready")]);
    wait_for("the list is heard", || (add_idle_clients_and_probe() == b"new").then_some(()));
    assert_eq!(add_idle_clients_and_probe(), b"new");
    program.kill().expect("it runs");
    program.wait().expect("ends");
}
