//! Where lists are pushed: a balancer that was killed and starts again sends to a nodo that was removed
//! meanwhile, until discovery has answered its call.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::discovery::Calls;
use crate::record::Record;
use crate::site::{DRAIN_GRACE, SLACK, Site};
use crate::traffic::Traffic;

/// How long a call waits at a discovery that has too many callers.
const CROWDED: Duration = Duration::from_millis(1800);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(Duration::from_millis(20), "automatic", record);
    let mut balancer = Balancer::start(&site.setup, record);
    let address = balancer.address;
    let traffic = Traffic::start(address, 16, 3, Duration::from_millis(100), record);
    thread::sleep(Duration::from_secs(3));
    let mut restarted_at = None;
    if trouble {
        record.line("the balancer is killed");
        balancer.kill();
        site.discovery.set_calls(Calls::Answered(CROWDED));
    }
    let leaving = &site.nodos[0];
    thread::sleep(Duration::from_millis(300));
    site.discovery.change(&leaving.name, leaving.entry("gone"));
    let mut told_at = Instant::now();
    thread::sleep(Duration::from_millis(200));
    if trouble {
        balancer = Balancer::start_at(address, &site.setup, record);
        // From the first moment of the new process; counted from when it is ready, which is later.
        told_at = Instant::now();
        restarted_at = Some(told_at);
    }
    thread::sleep(Duration::from_secs(4));
    let _ = traffic.stop();
    drop(balancer);
    if restarted_at.is_some_and(|at| !leaving.arrivals_since(at).is_empty() || !site.nodos[1].arrivals_since(at).is_empty()) {
        record.line("the new process has served");
    } else if restarted_at.is_some() {
        crate::cannot_run("the new process got no requests");
    }
    let late = leaving.arrivals_since(told_at + DRAIN_GRACE + SLACK);
    for arrival in &late {
        let after = arrival.first_byte_at - told_at;
        record.line_at(arrival.first_byte_at, &format!("{} got {} {} ms after it was told", leaving.name, arrival.id, after.as_millis()));
    }
    record.say(&format!("{} requests went to a removed nodo over {} ms after it was told", late.len(), (DRAIN_GRACE + SLACK).as_millis()));
    !late.is_empty()
}
