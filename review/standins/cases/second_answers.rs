//! Nodos answer some requests a second time, some milliseconds late. No client may get an answer that was made for
//! another request.

use std::sync::Arc;

use super::traffic;
use crate::balancer::{entry, Balancer, Deployment};
use crate::discovery::Discovery;
use crate::nodo::{self, body_for, Ledger, Service};
use crate::{Run, Verdict};

/// Number of nodos, within the 7 to 9 of the brief.
const NODOS: usize = 8;
/// Requests a second, and for how long.
const TRAFFIC: (f64, f64) = (130.0, 25.0);
/// The share of the answers that come a second time, and how late, in seconds.
const SECOND_ANSWERS: (f64, (f64, f64)) = (0.04, (0.002, 0.008));

pub fn run(run: &Run) -> Result<Verdict, String> {
    let Run { record, trouble, seed, .. } = run;
    let (trouble, seed) = (*trouble, *seed);
    let ledger = Arc::new(Ledger::default());
    let service = Service {
        consulta_s: (0.020, 0.060),
        reserva_s: (0.100, 0.250),
        second_answers: if trouble { SECOND_ANSWERS.0 } else { 0.0 },
        second_answer_after_s: SECOND_ANSWERS.1,
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
    let answers = traffic::run(balancer.address, &ledger, record, seed, TRAFFIC);
    if balancer.has_ended() {
        return Err("the balancer has ended".to_owned());
    }
    drop(balancer);
    record.line(&traffic::summary(&answers));
    let mut foreign = 0;
    for answered in &answers {
        let Ok(answer) = &answered.answer else { continue };
        if answer.status() == 200 && answer.body != body_for(&answered.ask.id).as_bytes() {
            foreign += 1;
            let kind = if answered.ask.is_reserva { "reserva" } else { "consulta" };
            let body = String::from_utf8_lossy(&answer.body).trim().to_owned();
            record.line(&format!("BROKEN: the client of {kind} {} was served {body:?}", answered.ask.id));
        }
    }
    record.line(&format!("{foreign} requests were served with what no nodo made for them"));
    Ok(if foreign > 0 { Verdict::Broken } else { Verdict::Held })
}
