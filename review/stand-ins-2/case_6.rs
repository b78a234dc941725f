//! A nodo turns a request away and its answer comes a second time; the balancer takes that for the answer to
//! the next request on the connection, and sends a `reserva` that runs to another nodo as well.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::client::{KeepingClient, fresh_id, reserva};
use crate::record::Record;
use crate::site::Site;

const CLIENTS: usize = 16;
/// A nodo turns one in this many requests away.
const TURNS_AWAY_ONE_IN: u64 = 10;
/// How much later an answer comes the second time.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(15);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(5, Duration::from_millis(30), "subscribe", record);
    for nodo in &site.nodos {
        nodo.turn_away_one_in(TURNS_AWAY_ONE_IN, trouble.then_some(SECOND_ANSWER_AFTER));
    }
    let balancer = Balancer::start(&site.setup, record);
    let (address, ends_at) = (balancer.address, Instant::now() + RUN_TIME);
    let clients: Vec<_> = (0..CLIENTS)
        .map(|_| {
            let record = Arc::clone(record);
            thread::spawn(move || {
                let mut client = KeepingClient::new(address);
                while Instant::now() < ends_at {
                    let id = fresh_id("reserva");
                    let end = client.ask(&reserva(&id, 2.5, 40), Duration::from_secs(4));
                    record.line(&format!("{id} ends: {end:?}"));
                    thread::sleep(Duration::from_millis(5));
                }
            })
        })
        .collect();
    for client in clients {
        let _ = client.join();
    }
    drop(balancer);
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for nodo in &site.nodos {
        for arrival in nodo.arrivals().into_iter().filter(|arrival| arrival.has_run) {
            runs.entry(arrival.id).or_default().push(nodo.name.clone());
        }
    }
    let mut twice: Vec<_> = runs.iter().filter(|(_, nodos)| nodos.len() > 1).collect();
    twice.sort();
    for (id, nodos) in &twice {
        record.line(&format!("{id} ran on {}", nodos.join(" and ")));
    }
    record.say(&format!("of {} reservas that ran, {} ran more than once", runs.len(), twice.len()));
    !twice.is_empty()
}
