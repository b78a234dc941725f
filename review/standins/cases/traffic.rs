//! Clients of the ordinary kind: requests at random times, one at a time on a connection, which is kept.

use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{mpsc, Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::TENANTS;
use crate::http::{Connection, End, Message};
use crate::nodo::Ledger;
use crate::record::{Random, Record};

/// How long after its time an answer only earns nothing, with the 50 ms that the protocol page adds to time limits.
pub const LATE_ANSWER_S: f64 = 0.55;

/// One request of a client.
#[derive(Debug, Clone)]
pub struct Ask {
    pub id: String,
    pub is_reserva: bool,
    pub tenant: &'static str,
    pub deadline_s: f64,
    pub body_bytes: usize,
}

/// A request and what became of it.
#[derive(Debug, Clone)]
pub struct Answered {
    pub ask: Ask,
    pub answer: Result<Message, End>,
    /// From the last byte of the request to the last byte of the answer, in seconds.
    pub after_s: f64,
}

static NEXT_ID: AtomicU64 = AtomicU64::new(1);

/// A request of a random class and tenant.
pub fn draw(random: &mut Random) -> Ask {
    let is_reserva = random.fraction() < 0.3;
    let mut left = random.fraction();
    let tenant = TENANTS.iter().find(|(_, share)| {
        left -= share;
        left < 0.0
    });
    Ask {
        id: format!(
            "{:08x}{:08x}",
            (random.fraction() * 4e9) as u64,
            NEXT_ID.fetch_add(1, Ordering::Relaxed)
        ),
        is_reserva,
        tenant: tenant.unwrap_or(&TENANTS[0]).0,
        deadline_s: if is_reserva { 6.0 } else { 1.0 },
        body_bytes: if is_reserva { 212 } else { 0 },
    }
}

/// The request as a client sends it.
pub fn bytes_of(ask: &Ask) -> Vec<u8> {
    let (method, class) = if ask.is_reserva { ("POST", "reserva") } else { ("GET", "consulta") };
    let length =
        if ask.is_reserva { format!("Content-Length: {}\r\n", ask.body_bytes) } else { String::new() };
    let mut bytes = format!(
        "{method} /{class} HTTP/1.1\r\nHost: origin.svc\r\nX-Request-Id: {}\r\nX-Tenant: {}\r\nX-Deadline: {:.3}\r\n\
         {length}\r\n",
        ask.id, ask.tenant, ask.deadline_s
    )
    .into_bytes();
    if ask.is_reserva {
        bytes.resize(bytes.len() + ask.body_bytes, b'x');
    }
    bytes
}

/// Sends a request and waits for its answer until half a second after its time. A connection that the balancer closed
/// before it read the request is replaced, as the protocol page says.
pub fn ask(
    connection: &mut Option<Connection>,
    address: SocketAddr,
    ask: &Ask,
    ledger: &Ledger,
    record: &Record,
) -> Answered {
    ledger.sent.lock().unwrap().insert(ask.id.clone());
    let bytes = bytes_of(ask);
    let class = if ask.is_reserva { "reserva" } else { "consulta" };
    let mut last = (Err(End::ClosedBefore), 0.0);
    for _ in 0..2 {
        let was_kept = connection.is_some();
        let mut current = match connection.take() {
            Some(current) => current,
            None => match TcpStream::connect(address) {
                Ok(stream) => Connection::new(stream),
                Err(error) => {
                    record.line(&format!("client could not connect for {}: {error}", ask.id));
                    return Answered { ask: ask.clone(), answer: Err(End::ClosedBefore), after_s: 0.0 };
                }
            },
        };
        let written = current.stream.write_all(&bytes);
        let sent_at = Instant::now();
        record.line(&format!(
            "client sends {class} {} for {}, waits {:.3} s",
            ask.id, ask.tenant, ask.deadline_s
        ));
        let until = sent_at + Duration::from_secs_f64(ask.deadline_s + LATE_ANSWER_S);
        let answer = if written.is_ok() { current.read(Some(until)) } else { Err(End::ClosedBefore) };
        last = (answer, sent_at.elapsed().as_secs_f64());
        if let Ok(message) = &last.0 {
            if message.header("connection") != Some("close") {
                *connection = Some(current);
            }
            break;
        }
        if !(was_kept && last.0.as_ref().is_err_and(|&end| end == End::ClosedBefore)) {
            break;
        }
    }
    let (answer, after_s) = last;
    let text = match &answer {
        Ok(message) => format!(
            "gets {} {:?}",
            message.status(),
            String::from_utf8_lossy(&message.body).chars().take(60).collect::<String>()
        ),
        Err(end) => format!("gets no answer: {end:?}"),
    };
    record.line(&format!("client of {} {text} after {after_s:.3} s", ask.id));
    Answered { ask: ask.clone(), answer, after_s }
}

/// Sends requests at random times for `duration_s`, `per_s` a second, and returns all of them with their answers.
pub fn run(
    address: SocketAddr,
    ledger: &Arc<Ledger>,
    record: &Record,
    seed: u64,
    (per_s, duration_s): (f64, f64),
) -> Vec<Answered> {
    let (sender, receiver) = mpsc::channel::<Ask>();
    let (receiver, answers) = (Arc::new(Mutex::new(receiver)), Arc::new(Mutex::new(Vec::new())));
    let workers: Vec<_> = (0..64)
        .map(|_| {
            let (receiver, answers, ledger, record) =
                (Arc::clone(&receiver), Arc::clone(&answers), Arc::clone(ledger), record.clone());
            thread::spawn(move || {
                let mut connection = None;
                loop {
                    let next = receiver.lock().unwrap().recv();
                    let Ok(next) = next else { return };
                    let answered = ask(&mut connection, address, &next, &ledger, &record);
                    answers.lock().unwrap().push(answered);
                }
            })
        })
        .collect();
    let mut random = Random::new(seed);
    let start = Instant::now();
    let mut due_s = 0.0;
    while due_s < duration_s {
        due_s += -(1.0 - random.fraction()).ln() / per_s;
        thread::sleep(Duration::from_secs_f64(due_s).saturating_sub(start.elapsed()));
        let _ = sender.send(draw(&mut random));
    }
    drop(sender);
    for worker in workers {
        let _ = worker.join();
    }
    let answers = std::mem::take(&mut *answers.lock().unwrap());
    answers
}

/// Counts the answers by status for the record.
pub fn summary(answers: &[Answered]) -> String {
    let mut counts = std::collections::BTreeMap::new();
    for answered in answers {
        let kind = answered.answer.as_ref().map_or("none".to_owned(), |answer| answer.status().to_string());
        *counts.entry(kind).or_insert(0u32) += 1;
    }
    format!("{} requests, answers by status: {counts:?}", answers.len())
}
