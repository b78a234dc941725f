//! Callers and upstreams that send much: the program's memory stays small, others are served, and each gets its end.

mod common;

use std::io::Write;

use common::*;

/// Most memory that a program has held so far, in KiB.
fn peak_kib(program: &std::process::Child) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.id())).expect("it runs");
    let line = status.lines().find(|line| line.starts_with("VmHWM:")).expect("a peak");
    line.split_whitespace().nth(1).and_then(|text| text.parse().ok()).expect("a number")
}

/// Guards memory against bodies in pieces of a byte: kept as they came, each piece costs a hundred times its size.
/// Both ways, at many connections at once.
#[test]
fn bodies_in_tiny_pieces_hold_little_memory() {
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
        let mut caller = Caller::connect(address);
        caller.raw(
            format!(
                "POST /order HTTP/1.1\r\nHost: a\r\nX-Request-Id: f-{number}\r\nX-Tenant: acme\r\n\
                 Transfer-Encoding: chunked\r\n\r\n"
            )
            .as_bytes(),
        );
        // It may be hung up on meanwhile.
        let _ = caller.0.write_all(&pieces);
        flooding.push(caller);
        let mut caller = Caller::connect(address);
        caller.send("read", "");
        flooding.push(caller);
    }
    upstream.wait_requests(50);
    assert_eq!(Caller::connect(address).ask("order", "one").status(), 200);
    for mut caller in flooding.into_iter().step_by(2) {
        assert!(caller.answer().is_none_or(|answer| answer.status() == 408));
    }
    let peak = peak_kib(&program);
    program.kill().expect("it runs");
    program.wait().expect("ends");
    assert!(peak < 48 * 1024, "{peak} KiB");
}
