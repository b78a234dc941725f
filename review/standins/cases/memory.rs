//! Clients stop in the middle of a request and stay. The balancer has to stay within its memory: over it the platform
//! kills it, as this one does.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::traffic;
use crate::balancer::{entry, Balancer, Deployment, TENANTS};
use crate::discovery::Discovery;
use crate::http::End;
use crate::nodo::{self, Ledger, Service};
use crate::record::Record;
use crate::{Run, Verdict};

/// Number of nodos, within the 7 to 9 of the brief.
const NODOS: usize = 8;
/// The limits of the balancer, within the 32 to 192 MB and 256 to 1,024 descriptors of the terms.
const DEPLOYMENT: Deployment = Deployment { memory_mb: 32, sockets: 1024 };
/// Requests a second of the ordinary clients, and for how long. They have 64 connections at most.
const TRAFFIC: (f64, f64) = (60.0, 8.0);
/// The clients that stop: with the ordinary ones a third of the descriptors.
const STOPPED_CLIENTS: usize = 1024 / 3 - 64;
/// The length that their heads state, under the 64 KiB of the protocol page, and the pieces in which the body comes. The
/// last 500 bytes never come.
const BODY_BYTES: usize = 65_500;
const PIECES: [usize; 2] = [30_000, 35_000];

pub fn run(run: &Run) -> Result<Verdict, String> {
    let Run { record, trouble, seed, .. } = run;
    let (trouble, seed) = (*trouble, *seed);
    let ledger = Arc::new(Ledger::default());
    let service = Service {
        consulta_s: (0.020, 0.060),
        reserva_s: (0.100, 0.250),
        second_answers: 0.0,
        second_answer_after_s: (0.0, 0.0),
    };
    let mut entries = Vec::new();
    for number in 0..NODOS {
        let name = format!("s-{number}");
        let address = nodo::start(&name, service.clone(), &ledger, record, seed * 100 + number as u64)?;
        entries.push(entry(&name, address, number / 4));
    }
    let discovery = Discovery::start(entries, record)?;
    let known = discovery.whole_list();
    let mut balancer = Balancer::start(&DEPLOYMENT, discovery.address, &known, run)?;
    let address = balancer.address;
    let done = Arc::new(AtomicBool::new(false));
    let clients = {
        let (ledger, record, done) = (Arc::clone(&ledger), record.clone(), Arc::clone(&done));
        thread::spawn(move || {
            let answers = traffic::run(address, &ledger, &record, seed, TRAFFIC);
            done.store(true, Ordering::SeqCst);
            answers
        })
    };
    let stopping = trouble.then(|| {
        let record = record.clone();
        thread::spawn(move || {
            thread::sleep(Duration::from_secs(2));
            stop_in_the_middle(address, &record)
        })
    });
    // The platform: it looks at the process's own memory, without the pages of its program file, and counts a MB as
    // 1,048,576 bytes.
    let limit_kib = DEPLOYMENT.memory_mb * 1024;
    let (mut peak_kib, mut killed) = (0, false);
    while !done.load(Ordering::SeqCst) {
        let used_kib = own_memory_kib(balancer.process.id());
        if used_kib / 1024 > peak_kib / 1024 {
            record.line(&format!("memory of the balancer: {used_kib} KiB of {limit_kib}"));
        }
        peak_kib = peak_kib.max(used_kib);
        if used_kib > limit_kib && !killed {
            record.line(&format!(
                "BROKEN: {used_kib} KiB are over {limit_kib}: the platform kills the balancer"
            ));
            let _ = balancer.process.kill();
            killed = true;
        }
        if !killed && balancer.has_ended() {
            return Err("the balancer has ended by itself".to_owned());
        }
        thread::sleep(Duration::from_millis(5));
    }
    let answers = clients.join().map_err(|_| "a client failed".to_owned())?;
    if let Some(stopping) = stopping {
        let _ = stopping.join();
    }
    drop(balancer);
    record.line(&traffic::summary(&answers));
    let cut =
        answers.iter().filter(|one| matches!(one.answer, Err(End::ClosedBefore | End::ClosedWithin))).count();
    record.line(&format!(
        "memory: {peak_kib} KiB at most, {limit_kib} are allowed; {cut} requests without an answer"
    ));
    Ok(if killed { Verdict::Broken } else { Verdict::Held })
}

/// The memory that a process has for itself, in KiB.
fn own_memory_kib(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:")).unwrap_or("");
    line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// Clients that send most of a request each, and then stay and send nothing more.
fn stop_in_the_middle(address: SocketAddr, record: &Record) {
    let mut connections = Vec::new();
    for number in 0..STOPPED_CLIENTS {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        let _ = stream.set_nodelay(true);
        let head = format!(
            "POST /reserva HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {number:016x}\r\nX-Tenant: {}\r\n\
             X-Deadline: 6.000\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
            TENANTS[number % TENANTS.len()].0
        );
        if stream.write_all(head.as_bytes()).is_err() {
            break;
        }
        connections.push(stream);
    }
    record.line(&format!("{} clients have sent the head of a reserva", connections.len()));
    for piece in PIECES {
        let bytes = vec![b'x'; piece];
        for stream in &mut connections {
            let _ = stream.write_all(&bytes);
        }
        record.line(&format!("each has sent {piece} bytes of its body of {BODY_BYTES}"));
        thread::sleep(Duration::from_millis(50));
    }
    // They get their error or close within 3 s.
    thread::sleep(Duration::from_secs(3));
    record.line("they go");
}
