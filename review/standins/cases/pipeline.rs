//! Clients send many requests at once on a connection. Each has to get its final answer in its own time, or half a
//! second later at the latest.

use std::io::Write;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::traffic::{self, Answered, Ask, LATE_ANSWER_S};
use crate::balancer::{entry, Balancer, Deployment};
use crate::discovery::Discovery;
use crate::http::{Connection, End};
use crate::nodo::{self, Ledger, Service};
use crate::record::{Random, Record};
use crate::{Run, Verdict};

/// Number of nodos, within the 7 to 9 of the brief.
const NODOS: usize = 8;
/// Number of clients that send many requests at once, and of their requests.
const CLIENTS: usize = 4;
const REQUESTS: usize = 30;
/// How long each waits for its answers: the give-up time of the class.
const DEADLINE_S: f64 = 1.0;

pub fn run(run: &Run) -> Result<Verdict, String> {
    let Run { record, trouble, seed, .. } = run;
    let (trouble, seed) = (*trouble, *seed);
    let ledger = Arc::new(Ledger::default());
    let service = Service {
        consulta_s: (0.060, 0.140),
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
    let deployment = Deployment { memory_mb: 48, sockets: 384 };
    let mut balancer = Balancer::start(&deployment, discovery.address, &known, run)?;
    let address = balancer.address;
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let (ledger, record) = (Arc::clone(&ledger), record.clone());
            let mut random = Random::new(seed * 1000 + number as u64);
            thread::spawn(move || {
                let asks: Vec<Ask> = (0..REQUESTS)
                    .map(|_| Ask {
                        is_reserva: false,
                        deadline_s: DEADLINE_S,
                        body_bytes: 0,
                        ..traffic::draw(&mut random)
                    })
                    .collect();
                if trouble {
                    at_once(address, &asks, &ledger, &record)
                } else {
                    one_by_one(address, &asks, &ledger, &record)
                }
            })
        })
        .collect();
    let mut answers = Vec::new();
    for client in clients {
        answers.extend(client.join().map_err(|_| "a client failed".to_owned())?);
    }
    if balancer.has_ended() {
        return Err("the balancer has ended".to_owned());
    }
    drop(balancer);
    record.line(&traffic::summary(&answers));
    let mut lost = 0;
    for answered in &answers {
        let id = &answered.ask.id;
        match &answered.answer {
            Ok(_) if answered.after_s <= DEADLINE_S + LATE_ANSWER_S => {}
            // What the balancer closed before it read it is sent once more, which these clients do not do.
            Err(End::ClosedBefore) => {
                record.line(&format!("{id} was not answered, its connection was closed"))
            }
            Ok(answer) => {
                lost += 1;
                let (status, after_s) = (answer.status(), answered.after_s);
                record.line(&format!(
                    "BROKEN: {id} got its answer ({status}) {after_s:.3} s after it was sent, its client waits \
                     {DEADLINE_S:.3} s"
                ));
            }
            Err(end) => {
                lost += 1;
                record.line(&format!("BROKEN: {id} got no answer: {end:?}"));
            }
        }
    }
    record.line(&format!("{lost} requests were lost"));
    Ok(if lost > 0 { Verdict::Broken } else { Verdict::Held })
}

/// Sends all requests at once on one connection, then reads their answers.
fn at_once(address: std::net::SocketAddr, asks: &[Ask], ledger: &Ledger, record: &Record) -> Vec<Answered> {
    let Ok(stream) = TcpStream::connect(address) else { return Vec::new() };
    let mut connection = Connection::new(stream);
    let mut bytes = Vec::new();
    for ask in asks {
        ledger.sent.lock().unwrap().insert(ask.id.clone());
        record.line(&format!(
            "client sends consulta {}, waits {:.3} s, with others at once",
            ask.id, ask.deadline_s
        ));
        bytes.extend(traffic::bytes_of(ask));
    }
    let _ = connection.stream.write_all(&bytes);
    let sent_at = Instant::now();
    let until = sent_at + Duration::from_secs(60);
    let mut ended = None;
    asks.iter()
        .map(|ask| {
            let answer = match ended {
                Some(end) => Err(end),
                None => connection.read(Some(until)),
            };
            ended = answer.as_ref().err().copied();
            let after_s = sent_at.elapsed().as_secs_f64();
            let text =
                answer.as_ref().map_or_else(|end| format!("{end:?}"), |answer| answer.status().to_string());
            record.line(&format!("client of {} gets {text} after {after_s:.3} s", ask.id));
            Answered { ask: ask.clone(), answer, after_s }
        })
        .collect()
}

/// Sends each request once the one before has its answer.
fn one_by_one(
    address: std::net::SocketAddr,
    asks: &[Ask],
    ledger: &Ledger,
    record: &Record,
) -> Vec<Answered> {
    let mut connection = None;
    asks.iter().map(|ask| traffic::ask(&mut connection, address, ask, ledger, record)).collect()
}
