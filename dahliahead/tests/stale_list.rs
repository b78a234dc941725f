//! A copy that cannot get a word from discovery: how far the list that it has may be trusted. Real processes on
//! loopback; discovery is a stand-in that is too crowded to answer.

mod common;

use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use common::{Client, Upstream, configuration, endpoint, ok, program, read_message, status};

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
