//! Clients on sockets: open-loop load with deadlines, repeats and leavings, over HTTP.

mod arrivals;
mod caller;
mod connection;
mod dispatch;
mod pool;
mod request;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

pub use self::arrivals::{Arrival, Arrivals, Class};
use self::caller::{Caller, Limits, Route};
use self::dispatch::{MAX_IN_FLIGHT_CALLS, make_calls};
use crate::record::Record;
use crate::scenario::Scenario;
use crate::topology::Topology;

/// A client that takes up one call in a hundred later than this is too slow for its load, in microseconds.
const MAX_P99_LAG_US: u64 = 5_000;

/// Makes the calls of clients to the real balancers, and beside them those straight to nodes, and returns when
/// the last one has ended.
///
/// `balancers` are the real balancers in their order, `direct` the nodes of the first real service; arrivals
/// count from `start`. Dropped before its end, it gives up the calls that are out, and they are not recorded.
pub async fn run_load(
    scenario: &Scenario,
    _topology: &Topology,
    balancers: Vec<SocketAddr>,
    nodes: Vec<SocketAddr>,
    load_start: Instant,
    record: Arc<Record>,
) {
    let balancer_calls = Arrivals::to_balancers(scenario, balancers.len());
    let direct_calls = Arrivals::directly_to_nodes(scenario, nodes.len());
    let caller = |route, targets: &[SocketAddr]| {
        let limits = Limits::of(&scenario.load);
        Arc::new(Caller::new(route, &scenario.load, limits, targets, Arc::clone(&record)))
    };
    tokio::join!(
        make_calls(balancer_calls, caller(Route::Balancers, &balancers), load_start, MAX_IN_FLIGHT_CALLS),
        make_calls(direct_calls, caller(Route::Nodes, &nodes), load_start, MAX_IN_FLIGHT_CALLS),
    );
    warn_if_client_was_too_slow(&record);
}

/// Says so if the client itself was too slow or had to leave calls out.
fn warn_if_client_was_too_slow(record: &Record) {
    let measured = record.measured();
    let lag_us = measured.client_lag_us.percentile(99.0);
    let unsent = measured.client_unsent;
    drop(measured);
    if unsent > 0 {
        tracing::warn!(unsent, "the client was overloaded: some calls were never sent");
    }
    if let Some(lag_us) = lag_us.filter(|&lag| lag > MAX_P99_LAG_US) {
        tracing::warn!(lag_us, "the client was late with one call in a hundred");
    }
}

#[cfg(test)]
mod tests;
