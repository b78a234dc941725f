//! The watch ends and further calls fail: requests go on to a nodo that was removed, for longer than 6 s after
//! discovery had the change.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::balancer::Balancer;
use crate::client::End;
use crate::discovery::Calls;
use crate::record::Record;
use crate::site::{DRAIN_GRACE, SLACK, Site};
use crate::traffic::Traffic;

/// How long a call waits at a crowded discovery until it fails.
const WAITS: Duration = Duration::from_secs(2);
/// When a change counts as told at the latest, whatever calls have failed.
const TOLD_AFTER: Duration = Duration::from_secs(6);

pub fn run(record: &Arc<Record>, trouble: bool) -> bool {
    let site = Site::start(Duration::from_millis(20), "subscribe", record);
    for nodo in &site.nodos {
        nodo.set_reserva_time(Duration::from_millis(400));
    }
    let balancer = Balancer::start(&site.setup, record);
    let traffic = Traffic::start(balancer.address, 24, 2, Duration::from_millis(100), record);
    thread::sleep(Duration::from_secs(3));
    if trouble {
        record.line("all watches are reset, and calls fail from now on");
        site.discovery.set_calls(Calls::Failed(WAITS));
        site.discovery.end_watches();
    }
    thread::sleep(Duration::from_secs(3));
    let leaving = &site.nodos[0];
    site.discovery.change(&leaving.name, leaving.entry("gone"));
    let told_at = Instant::now() + TOLD_AFTER;
    thread::sleep(TOLD_AFTER + Duration::from_secs(5));
    record.line("the removed nodo ends");
    let ends_at = Instant::now();
    leaving.end();
    thread::sleep(Duration::from_secs(1));
    let failed: Vec<_> =
        traffic.stop().into_iter().filter(|(at, _, end)| *at >= ends_at && *end == End::Answer(502)).collect();
    drop(balancer);
    let late = leaving.arrivals_since(told_at + DRAIN_GRACE + SLACK);
    for arrival in &late {
        let after = arrival.first_byte_at - told_at;
        record.line_at(arrival.first_byte_at, &format!("{} got {} {} ms after it counted as told", leaving.name, arrival.id, after.as_millis()));
    }
    record.say(&format!("{} requests went to a removed nodo over {} ms after that counted as told", late.len(), (DRAIN_GRACE + SLACK).as_millis()));
    // For the reader: what the rule is for. It is no part of the check.
    for (at, id, _) in &failed {
        record.line_at(*at, &format!("{id} failed with the removed nodo"));
    }
    record.say(&format!("{} requests failed when that nodo ended", failed.len()));
    !late.is_empty()
}
