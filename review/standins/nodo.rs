//! A nodo: it runs each request that a client sent, and answers it with a body of its own.

use std::collections::{HashMap, HashSet};
use std::io::Write;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::http::{answer, Connection};
use crate::record::{Random, Record};

/// What clients have sent and nodos have run, for the whole fleet.
#[derive(Default)]
pub struct Ledger {
    /// The ids that a client sent.
    pub sent: Mutex<HashSet<String>>,
    /// How often each id was run.
    pub runs: Mutex<HashMap<String, u32>>,
}

/// How a nodo serves.
#[derive(Clone)]
pub struct Service {
    /// Time for a `consulta`, from and to, in seconds.
    pub consulta_s: (f64, f64),
    /// Time for a `reserva`, from and to, in seconds.
    pub reserva_s: (f64, f64),
    /// The share of answers that are followed by the same answer again.
    pub second_answers: f64,
    /// How late such a second answer is, from and to, in seconds.
    pub second_answer_after_s: (f64, f64),
}

/// The body that a nodo makes for a request.
pub fn body_for(id: &str) -> String {
    format!("made for {id}\n")
}

/// Starts a nodo; returns its address.
pub fn start(
    name: &str,
    service: Service,
    ledger: &Arc<Ledger>,
    record: &Record,
    seed: u64,
) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind("127.0.0.1:0").map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let (name, ledger, record) = (name.to_owned(), Arc::clone(ledger), record.clone());
    let random = Arc::new(Mutex::new(Random::new(seed)));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, service, ledger, record, random) =
                (name.clone(), service.clone(), Arc::clone(&ledger), record.clone(), Arc::clone(&random));
            thread::spawn(move || serve(Connection::new(stream), &name, &service, &ledger, &record, &random));
        }
    });
    Ok(address)
}

fn serve(
    mut connection: Connection,
    name: &str,
    service: &Service,
    ledger: &Ledger,
    record: &Record,
    random: &Mutex<Random>,
) {
    while let Ok(request) = connection.read(None) {
        let Some(id) = request.header("x-request-id").map(str::to_owned) else {
            let _ = connection.stream.write_all(&answer("404 Not Found", "", b""));
            continue;
        };
        if !ledger.sent.lock().unwrap().contains(&id) {
            record.line(&format!("{name} got {id}, which no client sent"));
            let _ = connection.stream.write_all(&answer("400 Bad Request", "", b""));
            continue;
        }
        let told = request.header("x-deadline").unwrap_or("nothing");
        let run = {
            let mut runs = ledger.runs.lock().unwrap();
            let run = runs.entry(id.clone()).or_default();
            *run += 1;
            *run
        };
        record.line(&format!("{name} runs {id} (run {run}, told {told})"));
        let range = if request.line.starts_with("POST") { service.reserva_s } else { service.consulta_s };
        let (service_s, second_after_s) = {
            let mut random = random.lock().unwrap();
            let service_s = random.between(range.0, range.1);
            let is_spoilt = random.fraction() < service.second_answers;
            let (low, high) = service.second_answer_after_s;
            (service_s, is_spoilt.then(|| random.between(low, high)))
        };
        thread::sleep(Duration::from_secs_f64(service_s));
        let load = format!("X-Load: waiting=0,avg_ms={:.1}\r\n", service_s * 1000.0);
        let bytes = answer("200 OK", &load, body_for(&id).as_bytes());
        if connection.stream.write_all(&bytes).is_err() {
            record.line(&format!("{name} could not answer {id}: its connection is closed"));
            return;
        }
        if let Some(after_s) = second_after_s {
            thread::sleep(Duration::from_secs_f64(after_s));
            record.line(&format!("{name} answers {id} a second time, {:.1} ms late", after_s * 1000.0));
            if connection.stream.write_all(&bytes).is_err() {
                return;
            }
        }
    }
}
