//! A copy that cannot get a word from discovery: how far the list that it has may be trusted. Real processes on
//! loopback; discovery is a stand-in that is too crowded to answer.

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

/// After this a change that discovery has counts as told, whatever call failed (STANDING.md); with the grace for
/// drains of the settings.
const TOLD: Duration = Duration::from_millis(6000 + 1000);
/// How long a server that drains still takes requests.
const TAKES: Duration = Duration::from_millis(2000);
/// How long a call waits in turn before a crowded discovery turns it away.
const CALL_WAITS: Duration = Duration::from_millis(2000);

/// A discovery with too many callers: each call waits and is turned away.
fn crowded_discovery() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("bound");
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            thread::spawn(move || {
                if read_message(&mut stream).is_some() {
                    thread::sleep(CALL_WAITS);
                    let _ =
                        stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n");
                }
            });
        }
    });
    address
}

/// Incident 1: copies that were restarted beside a crowded discovery got no word from it, and went on sending to the
/// servers of the list that they had been started with, seconds after these had begun to turn all requests away.
#[test]
fn a_copy_without_a_word_from_discovery_leaves_a_server_that_turns_requests_away() {
    let start = Instant::now();
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&arrivals);
    let draining = Upstream::start(move |_, _| {
        let age = start.elapsed();
        seen.lock().expect("no panic").push(age);
        if age < TAKES { ok("") } else { status("503 Service Unavailable\r\nX-Not-Run: 1") }
    });
    let ready = Upstream::start(|_, _| ok(""));
    let known =
        [endpoint("draining", draining.address, 0, "ready"), endpoint("ready", ready.address, 0, "ready")];
    let mut child = program(&configuration(crowded_discovery(), &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let mut client = Client::connect(address);
    let mut served_late = 0;
    while start.elapsed() < TOLD * 2 {
        let answer = client.ask("read", "").status();
        if start.elapsed() > TOLD && answer == 200 {
            served_late += 1;
        }
        thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
    let arrivals = arrivals.lock().expect("no panic");
    let late: Vec<_> = arrivals.iter().filter(|&&age| age > TOLD).collect();
    assert!(!arrivals.is_empty(), "the server was never tried");
    assert!(late.is_empty(), "sent to a draining server as late as {late:?}");
    assert!(served_late > 0, "the server that is ready was given up as well");
}

/// The open break on an own deployment: a watch may be reset in place of telling that a server drains, which counts as
/// told two seconds later; a discovery that takes its calls in turn may answer the next call after that.
#[test]
fn nothing_is_sent_while_the_call_after_an_ended_watch_is_overdue() {
    let arrivals = Arc::new(Mutex::new(Vec::new()));
    let seen = Arc::clone(&arrivals);
    let only = Upstream::start(move |_, _| {
        seen.lock().expect("no panic").push(Instant::now());
        ok("")
    });
    let known = [endpoint("only", only.address, 0, "ready")];
    let discovery = Discovery::start();
    // The first call goes through; the next ones are taken, and answered when the test says so.
    let slow = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let front = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let front_address = front.local_addr().expect("bound");
    let (first_watch, slow_address) = (discovery.address, slow.local_addr().expect("bound"));
    let (cut, to_cut) = std::sync::mpsc::channel();
    thread::spawn(move || {
        for (call, client) in front.incoming().flatten().enumerate() {
            let target = if call == 0 { first_watch } else { slow_address };
            let server = TcpStream::connect(target).expect("it listens");
            let ends = [client.try_clone().expect("cloned"), server.try_clone().expect("cloned")];
            let _ = cut.send(ends);
            pipe(client.try_clone().expect("cloned"), server.try_clone().expect("cloned"));
            pipe(server, client);
        }
    });
    let mut child = program(&configuration(front_address, &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let (_, watch) = discovery.watch();
    watch.says(8, true, &known);
    let mut client = Client::connect(address);
    assert_eq!(client.ask("read", "").status(), 200);
    // The watch is cut; the next call is taken and has to wait.
    let cut_at = Instant::now();
    for end in to_cut.recv().expect("the first call") {
        let _ = end.shutdown(Shutdown::Both);
    }
    let (mut waiting, _) = slow.accept().expect("the next call");
    read_message(&mut waiting).expect("a call");
    wait_for("requests are refused", || {
        thread::sleep(Duration::from_millis(5));
        (client.ask("read", "").status() == 503).then_some(())
    });
    let last = *arrivals.lock().expect("no panic").last().expect("one");
    let told = Duration::from_secs(2);
    assert!(last - cut_at > told / 2, "given up at once: {:?}", last - cut_at);
    // The grace of the settings, and what a busy machine may add.
    let grace = Duration::from_millis(1000 + 500);
    assert!(last - cut_at < told + grace, "sent {:?} after the cut", last - cut_at);
    for _ in 0..20 {
        assert_eq!(client.ask("read", "").status(), 503);
    }
    // What comes then is obeyed: the server is still there.
    let list = serde_json::json!({"index": 9, "snapshot": true, "endpoints": known});
    let line = format!("{list}\n");
    let answer =
        format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n", line.len());
    waiting.write_all(answer.as_bytes()).expect("it waits");
    wait_for("requests are served", || (client.ask("read", "").status() == 200).then_some(()));
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}

/// Copies bytes until either side ends.
fn pipe(mut from: TcpStream, mut to: TcpStream) {
    thread::spawn(move || {
        let _ = std::io::copy(&mut from, &mut to);
        let _ = to.shutdown(Shutdown::Both);
    });
}

/// A discovery where nobody listens tells nothing: the list in hand serves on, also a client that comes late.
#[test]
fn a_list_in_hand_serves_for_as_long_as_discovery_is_down() {
    let upstream = Upstream::start(|_, _| ok(""));
    let known = [endpoint("only", upstream.address, 0, "ready")];
    let mut child = program(&configuration(dead_address(), &known, 30.0, 1024));
    let (address, _log) = common::address(&mut child);
    let start = Instant::now();
    while start.elapsed() < TOLD + TAKES {
        thread::sleep(Duration::from_millis(10));
    }
    let mut client = Client::connect(address);
    while start.elapsed() < TOLD + TAKES * 2 {
        assert_eq!(client.ask("read", "").status(), 200);
        thread::sleep(Duration::from_millis(10));
    }
    child.kill().expect("it runs");
    child.wait().expect("it ends");
}
