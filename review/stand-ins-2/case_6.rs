//! A nodo turns a request away and its answer comes a second time; the balancer takes that for the answer to
//! the next request on the connection, and sends a `reserva` that runs to another nodo as well.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::balancer::Balancer;
use crate::record::Record;
use crate::site::Site;
use crate::traffic::Traffic;

/// With their pauses they send about 130 requests a second.
const CLIENTS: u32 = 24;
/// One in this many clients sends `reserva`, the others `consulta`.
const RESERVA_ONE_IN: u32 = 3;
const PAUSE: Duration = Duration::from_millis(150);
/// A nodo turns one in this many requests away.
const TURNS_AWAY_ONE_IN: u64 = 10;
/// How much later an answer comes the second time.
const SECOND_ANSWER_AFTER: Duration = Duration::from_millis(5);
const RUN_TIME: Duration = Duration::from_secs(20);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(Duration::from_millis(30), "subscribe", record);
    for nodo in &site.nodos {
        nodo.turn_away_one_in(TURNS_AWAY_ONE_IN, trouble.then_some(SECOND_ANSWER_AFTER));
    }
    let balancer = Balancer::start(&site.setup, record);
    let traffic = Traffic::start(balancer.address, CLIENTS, RESERVA_ONE_IN, PAUSE, record);
    thread::sleep(RUN_TIME);
    let _ = traffic.stop();
    drop(balancer);
    let mut runs: HashMap<String, Vec<String>> = HashMap::new();
    for nodo in &site.nodos {
        for arrival in nodo.arrivals().into_iter().filter(|arrival| arrival.has_run && arrival.id.starts_with("reserva")) {
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
