//! Peers go on sending behind a request that is being answered; meanwhile nobody else is served.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::client::{Client, consulta, fresh_id, reserva};
use crate::record::Record;
use crate::site::{LATE_GRACE, SLACK, Site};

/// Peers that send much at once.
const PEERS: usize = 250;
/// What each of them sends behind its request, in blocks of 64 KiB: 60 MB.
const BLOCKS: usize = 915;
const DEADLINE: Duration = Duration::from_secs(1);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let mut site = Site::start(Duration::from_millis(20), "subscribe", record);
    (site.setup.memory_mb, site.setup.sockets) = (192, 1024);
    let balancer = Balancer::start(&site.setup, record);
    let address = balancer.address;
    thread::sleep(Duration::from_secs(1));
    for nodo in &site.nodos {
        nodo.set_reserva_time(Duration::from_secs(2));
    }
    let peers: Vec<_> = (0..PEERS).map(|_| thread::spawn(move || send_much(address, trouble))).collect();
    let nodo = site.nodos[0].address;
    let clients: Vec<_> = (0..60)
        .map(|_| {
            thread::sleep(Duration::from_millis(100));
            let record = Arc::clone(record);
            let control = thread::spawn(move || answer_time(nodo));
            thread::spawn(move || ask(address, control, &record))
        })
        .collect();
    let lost = clients.into_iter().filter_map(|client| client.join().ok()).filter(|&lost| lost).count();
    for peer in peers {
        let _ = peer.join();
    }
    record.say(&format!("{lost} requests were lost"));
    lost > 0
}

/// Sends a request, and much behind it if there is to be trouble.
fn send_much(address: SocketAddr, trouble: bool) {
    let Ok(mut connection) = TcpStream::connect(address) else { return };
    let _ = connection.set_write_timeout(Some(Duration::from_secs(20)));
    if connection.write_all(&reserva(&fresh_id("much"), 6.0, 100)).is_err() {
        return;
    }
    thread::sleep(Duration::from_millis(300));
    let block = vec![b'G'; 65536];
    for _ in 0..if trouble { BLOCKS } else { 0 } {
        if connection.write_all(&block).is_err() {
            return;
        }
    }
    thread::sleep(Duration::from_secs(3));
}

/// How long a nodo takes for a request that goes there directly, which shows that the machine isn't overloaded.
fn answer_time(nodo: SocketAddr) -> Duration {
    let sent_at = Instant::now();
    let Ok(mut client) = Client::connect(nodo) else { return Duration::MAX };
    let sent = client.send(&consulta(&fresh_id("direct"), DEADLINE.as_secs_f64(), "?k=1"));
    match sent.and_then(|()| client.read_answer(Duration::from_secs(15))) {
        Ok(_) => sent_at.elapsed(),
        Err(_) => Duration::MAX,
    }
}

/// Sends a request on a new connection; returns whether it was lost. One that is closed unread is not, nor one
/// while the machine is too busy to answer directly in a quarter of a request's time.
fn ask(address: SocketAddr, control: JoinHandle<Duration>, record: &Record) -> bool {
    let id = fresh_id("c");
    let Ok(mut client) = Client::connect(address) else { return false };
    if client.send(&consulta(&id, DEADLINE.as_secs_f64(), "?k=1")).is_err() {
        return false;
    }
    let sent_at = Instant::now();
    let answer = client.read_answer(Duration::from_secs(15));
    let after = sent_at.elapsed();
    let (end, answered) = match &answer {
        Ok(answer) => (format!("answer {}", answer.status()), true),
        Err(error) => (format!("{:?}", error.kind()), false),
    };
    let direct = control.join().unwrap_or(Duration::MAX);
    record.line_at(
        sent_at,
        &format!("{id}: {end} after {} ms; a nodo answers directly after {} ms", after.as_millis(), direct.as_millis()),
    );
    if direct > DEADLINE / 4 {
        return false;
    }
    let silent = matches!(&answer, Err(error) if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut));
    silent || answered && after > DEADLINE + LATE_GRACE + SLACK
}
