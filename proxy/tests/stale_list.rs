//! Tests of a balancer that gets no updates from discovery: how long it may rely on the list that it has. Real processes
//! on loopback; discovery is simulated as overloaded, slow or down.

mod common;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{
    Client, Discovery, Upstream, configuration, dead_address, endpoint, ok, program, read_message, status,
    wait_for,
};

/// The time after which a change known to discovery counts as delivered, whatever call failed (6 s, STANDING.md), plus
/// the grace for drains in the settings (1 s).
const DELIVERED_WITH_GRACE: Duration = Duration::from_millis(6000 + 1000);
/// The time during which a draining upstream still accepts requests.
const DRAIN_ACCEPT_TIME: Duration = Duration::from_millis(2000);
/// The time that a call queues at an overloaded discovery before it is refused.
const CALL_QUEUE_TIME: Duration = Duration::from_millis(2000);

/// Starts an overloaded discovery: each call queues and is then refused.
fn overloaded_discovery() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                if read_message(&mut stream).is_some() {
                    thread::sleep(CALL_QUEUE_TIME);
                    let _ =
                        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    address
}

/// Guards against incident 1: balancer instances restarted while discovery was overloaded got no updates, and kept
/// sending to upstreams of the list in their configuration for seconds after these had begun to refuse all requests.
#[test]
fn a_balancer_without_updates_stops_sending_to_an_upstream_that_refuses_requests() {
    let start = Instant::now();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&arrivals);
    let draining = Upstream::start(move |_, _| {
        let age = start.elapsed();
        recorded.lock().expect("no panic").push(age);
        if age < DRAIN_ACCEPT_TIME { ok("") } else { status("503 Service Unavailable\r\nX-Not-Run: 1") }
    });
    let ready = Upstream::start(|_, _| ok(""));
    let known =
        [endpoint("draining", draining.address, 0, "ready"), endpoint("ready", ready.address, 0, "ready")];
    let mut child = program(&configuration(overloaded_discovery(), &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let mut client = Client::connect(address);
    let mut served_late = 0;
    while start.elapsed() < DELIVERED_WITH_GRACE * 2 {
        let answer = client.ask("read", "").status();
        if start.elapsed() > DELIVERED_WITH_GRACE && answer == 200 {
            served_late += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let arrivals = arrivals.lock().expect("no panic");
    let late: Vec<_> = arrivals.iter().filter(|&&age| age > DELIVERED_WITH_GRACE).collect();
    assert!(!arrivals.is_empty(), "the draining upstream was never tried");
    assert!(late.is_empty(), "sent to a draining upstream as late as {late:?}");
    assert!(served_late > 0, "the ready upstream was given up as well");
}

/// Guards against sends to an upstream whose drain was not delivered: a watch may be reset instead of reporting the
/// drain, which counts as delivered 2 s later, and a discovery that works through a queue of calls may answer the next
/// call only after that.
#[test]
fn nothing_is_sent_while_the_call_after_an_ended_watch_is_overdue() {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let recorded = Arc::clone(&arrivals);
    let only = Upstream::start(move |_, _| {
        recorded.lock().expect("no panic").push(Instant::now());
        ok("")
    });
    let known = [endpoint("only", only.address, 0, "ready")];
    let discovery = Discovery::start();
    // The proxy in front passes the first call to `discovery`; later calls reach a listener that the test answers itself.
    let slow = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let front = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let front_address = front.local_addr().expect("bound");
    let (first_watch, slow_address) = (discovery.address, slow.local_addr().expect("bound"));
    let (connection_sender, connections) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for (call, client) in front.incoming().flatten().enumerate() {
            let target = if call == 0 { first_watch } else { slow_address };
            let server = TcpStream::connect(target).expect("it listens");
            let ends = [client.try_clone().expect("cloned"), server.try_clone().expect("cloned")];
            let _ = connection_sender.send(ends);
            pipe(client.try_clone().expect("cloned"), server.try_clone().expect("cloned"));
            pipe(server, client);
        }
    });
    let mut child = program(&configuration(front_address, &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let (_, watch) = discovery.watch();
    watch.send_update(8, true, &known);
    wait_for("the list to be confirmed", || is_list_confirmed(address).then_some(()));
    let mut client = Client::connect(address);
    assert_eq!(client.ask("read", "").status(), 200);
    // The connection of the watch is closed; the next call is accepted but not answered yet.
    let closed_at = Instant::now();
    for end in connections.recv().expect("the first call") {
        let _ = end.shutdown(Shutdown::Both);
    }
    let (mut pending_call, _) = slow.accept().expect("the next call");
    read_message(&mut pending_call).expect("a call");
    wait_for("requests are refused", || {
        thread::sleep(Duration::from_millis(5));
        (client.ask("read", "").status() == 503).then_some(())
    });
    let last_arrival = *arrivals.lock().expect("no panic").last().expect("one");
    let delivered_after_end = Duration::from_secs(2);
    assert!(
        last_arrival - closed_at > delivered_after_end / 2,
        "given up at once: {:?}",
        last_arrival - closed_at
    );
    // The drain grace in the settings (1 s), and 0.5 s for delays on a busy machine.
    let grace = Duration::from_millis(1000 + 500);
    assert!(
        last_arrival - closed_at < delivered_after_end + grace,
        "sent {:?} after the connection was closed",
        last_arrival - closed_at
    );
    for _ in 0..20 {
        assert_eq!(client.ask("read", "").status(), 503);
    }
    // The late answer still counts: it lists the upstream as ready.
    let list = serde_json::json!({"index": 9, "snapshot": true, "endpoints": known});
    let line = format!("{list}\n");
    let answer =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    pending_call.write_all(answer.as_bytes()).expect("the call is open");
    wait_for("requests are served", || (client.ask("read", "").status() == 200).then_some(()));
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}

/// Whether a watch confirms the list, by the metrics of the program.
fn is_list_confirmed(address: SocketAddr) -> bool {
    let mut client = Client::connect(address);
    client.raw(b"GET /_metrics HTTP/1.1\r\nHost: a\r\n\r\n");
    let metrics = client.answer().expect("an answer").body;
    String::from_utf8(metrics).expect("UTF-8").contains("stilelead_list_confirmed 1\n")
}

/// Copies bytes until either side ends.
fn pipe(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// While nothing listens on the address of discovery no changes count as delivered: the list in the configuration stays
/// in use, also for a client that connects late.
#[test]
fn the_configured_list_is_served_for_as_long_as_discovery_is_down() {
    let upstream = Upstream::start(|_, _| ok(""));
    let known = [endpoint("only", upstream.address, 0, "ready")];
    let mut child = program(&configuration(dead_address(), &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let start = Instant::now();
    while start.elapsed() < DELIVERED_WITH_GRACE + DRAIN_ACCEPT_TIME {
        thread::sleep(Duration::from_millis(10));
    }
    let mut client = Client::connect(address);
    while start.elapsed() < DELIVERED_WITH_GRACE + DRAIN_ACCEPT_TIME * 2 {
        assert_eq!(client.ask("read", "").status(), 200);
        thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}
