//! Tests of complete loads: open loop, overload, and an outcome for each call.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use super::server::{Reply, Server, answer, answer_with};
use super::{Clients, TEST_TIMEOUT, UNREACHED_LIMITS, scenario};
use crate::client::caller::Limits;
use crate::client::dispatch::make_calls;
use crate::client::{Arrivals, run_load};
use crate::process::ReservedPort;
use crate::record::{CallOutcome, Record};
use crate::topology::Topology;

/// A server that answers no request before `count` requests are in flight at once.
fn server_waiting_for(count: usize) -> Server {
    let arrivals = Arc::new((Mutex::new(0), Condvar::new()));
    Server::start(move |_| {
        let (arrived, changed) = &*arrivals;
        let mut arrived = arrived.lock().expect("no panic");
        *arrived += 1;
        changed.notify_all();
        let wait_result = changed.wait_timeout_while(arrived, TEST_TIMEOUT, |arrived| *arrived < count);
        if wait_result.expect("no panic").1.timed_out() { Reply::Silence } else { answer("200 OK") }
    })
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_slow_server_does_not_slow_arrivals() {
    let scenario = scenario();
    let count = Arrivals::to_balancers(&scenario, 1).count();
    assert!(count > 20, "{count}");
    // Only clients that never wait for earlier answers (an open loop) have all calls in flight at once.
    let server = server_waiting_for(count);
    let record = Arc::<Record>::default();
    let topology = Topology::of(&scenario.fleet);
    let start = Instant::now();
    run_load(&scenario, &topology, vec![server.address], Vec::new(), start, Arc::clone(&record)).await;
    let measured = record.measured();
    assert_eq!(measured.calls.len(), count);
    assert!(measured.calls.iter().all(|call| call.outcome == CallOutcome::Served));
    assert_eq!((measured.client_lag_us.count(), measured.client_unsent), (count as u64, 0));
}

/// Guards against calls that are lost from the record, whatever the server replies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_call_has_an_end() {
    let mut scenario = scenario();
    scenario.load.deadline_s = 0.2;
    scenario.load.leaving_share = 0.2;
    scenario.load.client_retries = 1;
    scenario.load.direct_calls_per_s = 100.0;
    scenario.load.unsafe_share = 0.3;
    let replies = AtomicUsize::new(0);
    let server = Server::start(move |_| match replies.fetch_add(1, Ordering::Relaxed) % 6 {
        0 => Reply::Silence,
        1 => Reply::Close(Duration::ZERO, String::new()),
        2 => answer("503 Service Unavailable"),
        3 => answer("500 Internal Server Error"),
        4 => Reply::WriteAfter(Duration::from_millis(30), answer_with("200 OK", "Connection: close\r\n")),
        _ => answer("200 OK"),
    });
    let (record, topology) = (Arc::<Record>::default(), Topology::of(&scenario.fleet));
    let unused_port = ReservedPort::any().expect("a free port");
    let targets = [server.address, unused_port.address()];
    let start = Instant::now();
    run_load(&scenario, &topology, targets.to_vec(), targets.to_vec(), start, Arc::clone(&record)).await;
    let drawn_count = Arrivals::to_balancers(&scenario, 2).count();
    assert_eq!(record.measured().calls.len(), drawn_count);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_overloaded_client_counts_what_it_does_not_send() {
    const MAX_IN_FLIGHT: usize = 5;
    let scenario = scenario();
    let server = Server::start(|_| Reply::Silence);
    let limits = Limits { deadline: Duration::from_secs(5), grace: Duration::ZERO, ..UNREACHED_LIMITS };
    let clients = Clients::new(server.address, limits, 0);
    let arrivals = Arrivals::to_balancers(&scenario, 1);
    let drawn_count = arrivals.clone().count();
    make_calls(arrivals, Arc::new(clients.caller), Instant::now(), MAX_IN_FLIGHT).await;
    let measured = clients.record.measured();
    let ended = |outcome| measured.calls.iter().filter(|call| call.outcome == outcome).count();
    assert_eq!(
        (ended(CallOutcome::Lost), ended(CallOutcome::Failed)),
        (MAX_IN_FLIGHT, drawn_count - MAX_IN_FLIGHT)
    );
    assert_eq!(measured.client_unsent as usize, drawn_count - MAX_IN_FLIGHT);
}
