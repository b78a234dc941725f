//! Open watches fall silent, and discovery is crowded: each call gets 503. Two of eight nodos begin to drain, stay up and
//! go on answering. Nothing may be sent to them once their drain counts as told and the grace is over.

use std::collections::HashMap;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use super::traffic;
use crate::balancer::{entry, Balancer, Deployment};
use crate::discovery::Discovery;
use crate::nodo::{self, Ledger, Service};
use crate::{Run, Verdict};

/// Number of nodos, within the 7 to 9 of the brief.
const NODOS: usize = 8;
/// A quarter of the nodos, which drain.
const DRAINING: [usize; 2] = [0, 1];
/// Requests a second, and for how long.
const TRAFFIC: (f64, f64) = (100.0, 30.0);
/// When the watches fall silent, and how much later the nodos begin to drain and end.
const SILENT_AFTER: Duration = Duration::from_secs(6);
const DRAIN_AFTER: Duration = Duration::from_millis(500);
const END_AFTER: Duration = Duration::from_secs(18);
/// A change counts as told at the latest so long after discovery had it and could be reached.
const TOLD_AFTER_S: f64 = 6.0;
/// The grace of the settings, with the 50 ms that the protocol page adds to time limits.
const GRACE_S: f64 = 0.3 + 0.05;

pub fn run(run: &Run) -> Result<Verdict, String> {
    let Run { record, trouble, seed, .. } = run;
    let (trouble, seed) = (*trouble, *seed);
    let ledger = Arc::new(Ledger::default());
    let service = Service {
        consulta_s: (0.020, 0.060),
        reserva_s: (0.150, 0.350),
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
    let platform = {
        let (ledger, record) = (Arc::clone(&ledger), record.clone());
        thread::spawn(move || {
            thread::sleep(SILENT_AFTER);
            if trouble {
                discovery.crowd();
            }
            thread::sleep(DRAIN_AFTER);
            discovery.drain(&DRAINING);
            let drained_at = Instant::now();
            thread::sleep(END_AFTER);
            for place in DRAINING {
                ledger.end_nodo(&format!("s-{place}"));
                record.line(&format!("s-{place} ends"));
            }
            (drained_at, Instant::now())
        })
    };
    let answers = traffic::run(balancer.address, &ledger, record, seed, TRAFFIC);
    let (drained_at, ended_at) = platform.join().map_err(|_| "the platform failed".to_owned())?;
    if balancer.has_ended() {
        return Err("the balancer has ended".to_owned());
    }
    drop(balancer);
    record.line(&traffic::summary(&answers));
    let told_at = drained_at + Duration::from_secs_f64(TOLD_AFTER_S + GRACE_S);
    let classes: HashMap<_, _> =
        answers.iter().map(|answered| (answered.ask.id.as_str(), answered.ask.is_reserva)).collect();
    let mut late = 0;
    for (name, id, at) in ledger.arrivals.lock().unwrap().iter() {
        let drains = DRAINING.iter().any(|place| *name == format!("s-{place}"));
        if drains && *at > told_at && *at < ended_at {
            late += 1;
            let class = if classes.get(id.as_str()) == Some(&true) { "reserva" } else { "consulta" };
            record.line(&format!(
                "BROKEN: {class} {id} was sent to {name} {:.3} s after it began to drain, {:.3} s after the grace",
                (*at - drained_at).as_secs_f64(),
                (*at - told_at).as_secs_f64()
            ));
        }
    }
    let failed =
        answers.iter().filter(|one| one.answer.as_ref().is_ok_and(|answer| answer.status() == 502)).count();
    record.line(&format!(
        "{late} requests were sent to nodos whose drain counts as told; {failed} requests failed"
    ));
    Ok(if late > 0 { Verdict::Broken } else { Verdict::Held })
}
