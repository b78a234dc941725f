//! A steady flow of requests from clients that keep their connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{End, KeepingClient, consulta, fresh_id, reserva};
use crate::record::Record;

pub struct Traffic {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
    /// When and how each request ended that was not served.
    unserved: Arc<Mutex<Vec<(Instant, String, End)>>>,
}

impl Traffic {
    /// Starts clients that each send a request, wait for its answer, and rest for `pause`. One in
    /// `reserva_one_in` of them sends `reserva`, the others `consulta`.
    pub fn start(
        address: SocketAddr,
        clients: u32,
        reserva_one_in: u32,
        pause: Duration,
        record: &Arc<Record>,
    ) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let unserved = Arc::new(Mutex::new(Vec::new()));
        let clients = (0..clients)
            .map(|number| {
                let (stopped, record, unserved) = (Arc::clone(&stopped), Arc::clone(record), Arc::clone(&unserved));
                let is_reserva = number % reserva_one_in == reserva_one_in - 1;
                thread::spawn(move || {
                    thread::sleep(pause * number / clients);
                    let mut client = KeepingClient::new(address);
                    while !stopped.load(Ordering::Relaxed) {
                        let id = fresh_id(if is_reserva { "reserva" } else { "consulta" });
                        let request =
                            if is_reserva { reserva(&id, 2.5, 40) } else { consulta(&id, 1.0, "?k=1") };
                        let end = client.ask(&request, Duration::from_secs(4));
                        record.line(&format!("{id} ends: {end:?}"));
                        if end != End::Answer(200) {
                            unserved.lock().unwrap().push((Instant::now(), id, end));
                        }
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Self { stopped, clients, unserved }
    }

    /// Stops the clients; returns when and how each request ended that was not served.
    pub fn stop(self) -> Vec<(Instant, String, End)> {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
        self.unserved.lock().unwrap().clone()
    }
}
