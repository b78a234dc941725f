//! Floods from clients and upstreams: the program's memory stays small, other clients are served, and each connection
//! gets an answer or is closed.

mod common;

use std::io::Write;
use std::net::SocketAddr;
use std::sync::{Mutex, mpsc};
use std::thread;
use std::time::Duration;

use common::*;
use socket2::{Domain, Socket, Type};

/// Guards memory against bodies in chunks of one byte, which cost a hundred times their size if each chunk is
/// kept as it arrives. Covers both directions, on many connections at once.
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
    let mut flooding_clients = Vec::new();
    for number in 0..50 {
        let mut client = Client::connect(address);
        client.raw(
            format!(
                "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: f-{number}\r\nX-Tenant: acme\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        );
        // The balancer may close the connection meanwhile.
        let _ = client.0.write_all(&pieces);
        flooding_clients.push(client);
        let mut client = Client::connect(address);
        client.send("read", "");
        flooding_clients.push(client);
    }
    upstream.wait_requests(50);
    assert_eq!(Client::connect(address).ask("order", "one").status(), 200);
    for mut client in flooding_clients.into_iter().step_by(2) {
        assert!(client.answer().is_none_or(|answer| answer.status() == 408));
    }
    let peak = peak_kib(&program);
    program.kill().expect("the program runs");
    program.wait().expect("the program ends");
    assert!(peak < 48 * 1024, "{peak} KiB");
}

fn open_descriptors(program: &std::process::Child) -> usize {
    std::fs::read_dir(format!("/proc/{}/fd", program.id())).expect("the program runs").count()
}

/// Guards memory, descriptors and other clients against clients that send much at once and disconnect, and
/// against many that disconnect at the same moment with requests in flight: their resources are freed, and
/// their attempts are cancelled.
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
    let descriptors_before = open_descriptors(&program);
    let mut leaving_clients: Vec<Client> = (0..100).map(|_| Client::connect(address)).collect();
    for client in &mut leaving_clients {
        client.send("order", "held");
    }
    upstream.wait_requests(101);
    let flood = "x".repeat(1 << 20);
    let head = "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: m\r\nX-Tenant: acme\r\n";
    for _ in 0..30 {
        for prefix in [
            String::new(),
            format!("{head}X-Fill: "),
            format!("{head}Content-Length: 60000000\r\n\r\n"),
            format!("{head}Transfer-Encoding: chunked\r\n\r\nfffff0\r\n"),
            format!("{head}Content-Length: 5\r\n\r\nabcde"),
        ] {
            let mut client = Client::connect(address);
            let _ = client.0.write_all(prefix.as_bytes());
            let _ = client.0.write_all(flood.as_bytes());
        }
    }
    assert_eq!(Client::connect(address).ask("order", "two").status(), 200);
    drop(leaving_clients);
    // The balancer cancels their attempts and closes the upstream connection of each.
    upstream.wait_closed(100);
    wait_for("the descriptors to be free again", || {
        (open_descriptors(&program) <= descriptors_before + 2).then_some(())
    });
    assert_eq!(Client::connect(address).ask("order", "three").status(), 200);
    let peak = peak_kib(&program);
    program.kill().expect("the program runs");
    program.wait().expect("the program ends");
    assert!(peak < 32 * 1024, "{peak} KiB");
}

/// Guards valid clients, and the malformed ones themselves, where many send malformed requests at the same
/// time: each gets an error or is disconnected long before the test's time-out, and a valid client is served
/// among them.
#[test]
fn many_malformed_clients_are_disconnected_while_others_are_served() {
    let upstream = Upstream::start(|_, _| ok("served"));
    let discovery = Discovery::start();
    let known = [endpoint("s-1", upstream.address, 0, "ready")];
    let balancer = Balancer::start(&configuration(discovery.address, &known, 30.0, 256));
    let valid = "GET /read HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\nX-Tenant: acme\r\n\r\n";
    let mut valid_client = balancer.client();
    let mut peers = Vec::new();
    for _ in 0..15 {
        for text in [
            "".to_owned(),
            "\r\n\r\n\r\n".to_owned(),
            "\u{16}\u{3}\u{1}\u{0}\u{1}".to_owned(),
            "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_owned(),
            valid.replace("acme", "nobody"),
            valid.replace("/read", "/nothing"),
            valid.replace("GET", "BREW"),
            valid.replace("HTTP/1.1", "HTTP/9.9"),
            valid.replace("X-Request-Id: r", "X-Request-Id"),
            valid.replace("\r\n\r\n", "\r\nContent-Length: 10\r\n\r\nabc"),
            valid[..40].to_owned(),
            valid.replace("a\r\n", &format!("a\r\nX-Fill: {}\r\n", "x".repeat(40_000))),
        ] {
            let mut peer = balancer.client();
            let _ = peer.0.write_all(text.as_bytes());
            peers.push((peer, text));
            if peers.len() % 10 == 0 {
                assert_eq!(valid_client.ask("order", "x").status(), 200);
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

/// Guards drains and active clients where idle clients use up the descriptors while discovery is down: active
/// clients are served all the time, and once discovery is back the watch is opened and its updates take
/// effect, though idle clients keep connecting.
#[test]
fn idle_clients_do_not_starve_the_watch_or_active_clients_of_descriptors() {
    let (old, new) = (Upstream::start(|_, _| ok("old")), Upstream::start(|_, _| ok("new")));
    // The socket is bound but not yet listening, so connections are refused.
    let discovery_socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("create a socket");
    discovery_socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("bind to a free port");
    let discovery_address = discovery_socket.local_addr().expect("a bound socket").as_socket().expect("IPv4");
    let known = [endpoint("s-1", old.address, 0, "ready")];
    let mut program = program_with_descriptor_limit(64, &configuration(discovery_address, &known, 30.0, 64));
    let (address, _log) = address(&mut program);
    let mut idle = std::collections::VecDeque::new();
    // Connects as many idle clients as there are descriptors, every other one after a request, and returns the body
    // of the answer that an active client then gets. A connection may be closed before its request is read; the
    // client then connects again.
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
        let answer = wait_for("an answer despite the idle connections", || {
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
    discovery_socket.listen(8).expect("a bound socket");
    let discovery = Discovery::on(discovery_socket.into(), Duration::from_millis(500));
    let (line, watch) = wait_for("the balancer to open a watch", || {
        add_idle_clients_and_probe();
        discovery.next_watch()
    });
    assert_eq!(line, "GET /catalog/members?follow=1&since=7 HTTP/1.1");
    let draining = endpoint("s-1", old.address, 0, "draining");
    watch.send_update(8, false, &[draining, endpoint("s-2", new.address, 0, "ready")]);
    wait_for("the updated list to take effect", || (add_idle_clients_and_probe() == b"new").then_some(()));
    assert_eq!(add_idle_clients_and_probe(), b"new");
    program.kill().expect("the program runs");
    program.wait().expect("the program ends");
}

/// An upstream that holds requests with the body "held" until the sender is dropped, and then replies so.
fn held_upstream(reply: Reply) -> (Upstream, mpsc::Sender<()>) {
    let (release, released) = mpsc::channel::<()>();
    let released = Mutex::new(released);
    let upstream = Upstream::start(move |_, message| {
        if message.body != b"held" {
            return ok("served");
        }
        let _ = released.lock().expect("no thread panicked").recv();
        reply.clone()
    });
    (upstream, release)
}

/// Guards other clients against peers that go on sending behind a request: the balancer stops reading from
/// such a peer, instead of reading from it alone for as long as it sends.
#[test]
fn a_peer_that_sends_without_an_end_is_not_read_without_an_end() {
    let (upstream, release) = held_upstream(ok("released"));
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut peer = balancer.client();
    peer.send("order", "held");
    upstream.wait_requests(1);
    let mut stream = peer.0.try_clone().expect("the connection is open");
    let flood = thread::spawn(move || {
        let block = vec![b'G'; 1 << 16];
        (0..1000).try_for_each(|_| stream.write_all(&block))
    });
    let mut ordinary = balancer.client();
    for _ in 0..20 {
        assert_eq!(ordinary.ask("order", "x").status(), 200);
    }
    drop(release);
    assert_eq!(peer.answer().expect("an answer").status(), 200);
    assert!(flood.join().expect("no panic").is_err(), "all of the flood was read");
}

/// Guards against attempts for a client that has left: one that has sent too much behind its request may have
/// disconnected unnoticed, so no further attempt begins.
#[test]
fn a_client_that_sends_too_much_behind_its_request_gets_no_further_attempts() {
    let (held, release) = held_upstream(status("503 Full\r\nX-Not-Run: 1"));
    let other = Upstream::start(|_, _| ok("served"));
    let (balancer, discovery) = Balancer::with(&[endpoint("s-1", held.address, 0, "ready")], 30.0);
    let (_, watch) = discovery.watch();
    let mut client = balancer.client();
    client.send("order", "held");
    held.wait_requests(1);
    watch.send_update(8, false, &[endpoint("s-2", other.address, 1, "ready")]);
    wait_for("the new upstream to be used", || {
        balancer.client().ask("order", "x");
        (!other.requests().is_empty()).then_some(())
    });
    client.raw(&[b'G'; 60_000]);
    balancer.wait_until_caught_up();
    drop(release);
    let answer = client.answer().expect("an answer");
    assert_eq!((answer.status(), answer.header("connection")), (503, Some("close")));
    let is_held = |message: &Message| message.body == b"held";
    assert!(!other.requests().iter().any(|(_, message)| is_held(message)), "another attempt was made");
}

/// Guards upstreams and descriptors: that a client has left is noticed though it left much unread.
#[test]
fn a_client_that_leaves_much_unread_is_noticed_to_leave() {
    let upstream = Upstream::start(|_, _| Reply::Silence);
    let (balancer, _discovery) = Balancer::with(&[endpoint("s-1", upstream.address, 0, "ready")], 30.0);
    let mut client = balancer.client();
    client.send("order", "held");
    upstream.wait_requests(1);
    client.raw(&[b'G'; 60_000]);
    balancer.wait_until_caught_up();
    drop(client);
    upstream.wait_closed(1);
}
