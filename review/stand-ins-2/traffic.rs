//! A steady flow of `consulta` requests from clients that keep their connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use crate::client::{KeepingClient, consulta, fresh_id};
use crate::record::Record;

pub struct Traffic {
    stopped: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Traffic {
    /// Starts clients that each send a request, wait for its answer, and rest for `pause`.
    pub fn start(address: SocketAddr, clients: u32, pause: Duration, record: &Arc<Record>) -> Self {
        let stopped = Arc::new(AtomicBool::new(false));
        let clients = (0..clients)
            .map(|number| {
                let (stopped, record) = (Arc::clone(&stopped), Arc::clone(record));
                thread::spawn(move || {
                    thread::sleep(pause * number / clients);
                    let mut client = KeepingClient::new(address);
                    while !stopped.load(Ordering::Relaxed) {
                        let id = fresh_id("c");
                        let end = client.ask(&consulta(&id, 1.0, "?k=1"), Duration::from_secs(2));
                        record.line(&format!("{id} ends: {end:?}"));
                        thread::sleep(pause);
                    }
                })
            })
            .collect();
        Self { stopped, clients }
    }

    pub fn stop(self) {
        self.stopped.store(true, Ordering::Relaxed);
        for client in self.clients {
            let _ = client.join();
        }
    }
}
