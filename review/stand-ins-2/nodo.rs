//! A nodo: answers each request after its service time, and turns requests away while it drains.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_message, write_answer};
use crate::record::Record;

/// A request that a nodo has received.
#[derive(Clone)]
pub struct Arrival {
    pub id: String,
    pub first_byte_at: Instant,
    pub has_run: bool,
}

pub struct Nodo {
    pub name: String,
    pub address: SocketAddr,
    pub arrivals: Mutex<Vec<Arrival>>,
    service_time: Duration,
    /// The service time of `reserva` where it differs.
    reserva_time: Mutex<Option<Duration>>,
    /// One in how many requests is turned away, and after what time that is answered again.
    turns_away: Mutex<Option<(u64, Option<Duration>)>>,
    request_count: AtomicU64,
    /// The open connections, to be ended with the process.
    connections: Mutex<Vec<TcpStream>>,
    ended: AtomicBool,
}

impl Nodo {
    pub fn start(name: &str, service_time: Duration, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|error| crate::cannot_run(&error.to_string()));
        let nodo = Arc::new(Self {
            name: name.to_owned(),
            address: listener.local_addr().unwrap(),
            arrivals: Mutex::default(),
            service_time,
            reserva_time: Mutex::default(),
            turns_away: Mutex::default(),
            request_count: AtomicU64::new(0),
            connections: Mutex::default(),
            ended: AtomicBool::new(false),
        });
        let (accepting, record) = (Arc::clone(&nodo), Arc::clone(record));
        let _ = listener.set_nonblocking(true);
        thread::spawn(move || {
            while !accepting.ended.load(Ordering::Relaxed) {
                let Ok((stream, _)) = listener.accept() else {
                    thread::sleep(Duration::from_millis(1));
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                accepting.connections.lock().unwrap().extend(stream.try_clone());
                let (nodo, record) = (Arc::clone(&accepting), Arc::clone(&record));
                thread::spawn(move || nodo.serve(stream, &record));
            }
        });
        nodo
    }

    /// From now on one in `count` requests is turned away, as with a full queue; the answer to it comes once
    /// more after `again_after`.
    pub fn turn_away_one_in(&self, count: u64, again_after: Option<Duration>) {
        *self.turns_away.lock().unwrap() = Some((count, again_after));
    }

    pub fn set_reserva_time(&self, service_time: Duration) {
        *self.reserva_time.lock().unwrap() = Some(service_time);
    }

    /// The process ends: its connections end, and new ones are refused.
    pub fn end(&self) {
        self.ended.store(true, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(5));
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// The entry of this nodo in a list of discovery.
    pub fn entry(&self, status: &str) -> String {
        format!(
            r#"{{"name":"{}","address":"{}","zone":"z","type":"k","group":0,"status":"{status}","weight":1.0,"since_ms":0}}"#,
            self.name, self.address
        )
    }

    fn serve(&self, stream: TcpStream, record: &Record) {
        let _ = stream.set_nodelay(true);
        let Ok(mut output) = stream.try_clone() else { return };
        let mut input = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut input) {
            let id = request.header("x-request-id").unwrap_or("-").to_owned();
            let number = self.request_count.fetch_add(1, Ordering::Relaxed);
            let turned_away =
                self.turns_away.lock().unwrap().filter(|(one_in, _)| number % one_in == one_in - 1);
            let has_run = turned_away.is_none();
            record.line_at(
                request.first_byte_at,
                &format!("{} gets {id}, {}", self.name, if has_run { "runs it" } else { "turns it away" }),
            );
            self.arrivals.lock().unwrap().push(Arrival {
                id: id.clone(),
                first_byte_at: request.first_byte_at,
                has_run,
            });
            let answered = if let Some((_, again_after)) = turned_away {
                let turn_away = |output: &mut TcpStream| {
                    write_answer(output, "503 Service Unavailable", "X-Not-Run: 1\r\n", b"")
                };
                let mut answered = turn_away(&mut output);
                if let Some(again_after) = again_after {
                    thread::sleep(again_after);
                    record.line(&format!("{} answers {id} once more", self.name));
                    answered = answered.and_then(|()| turn_away(&mut output));
                }
                answered
            } else {
                let reserva_time = *self.reserva_time.lock().unwrap();
                let reserva_time = reserva_time.filter(|_| request.target().starts_with("/reserva"));
                thread::sleep(reserva_time.unwrap_or(self.service_time));
                write_answer(&mut output, "200 OK", "", format!("{id} by {}", self.name).as_bytes())
            };
            if answered.is_err() {
                return;
            }
        }
    }

    /// All that has arrived.
    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().unwrap().clone()
    }

    /// What has arrived after this moment.
    pub fn arrivals_since(&self, moment: Instant) -> Vec<Arrival> {
        let arrivals = self.arrivals.lock().unwrap();
        arrivals.iter().filter(|arrival| arrival.first_byte_at > moment).cloned().collect()
    }
}
