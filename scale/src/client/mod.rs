//! Clients with real sockets: open-loop HTTP load with deadlines, retries and early disconnects.

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

/// Maximum 99th percentile of the delay with which the client starts calls, in microseconds; above it the
/// client is too slow for its load.
const MAX_P99_LAG_US: u64 = 5_000;

/// Makes the clients' calls to the real balancers and, at the same time, the calls that go directly to nodes;
/// returns when the last one has ended.
///
/// `balancers` are the real balancers in their order, `nodes` the nodes of the first real service; arrivals
/// are scheduled relative to `load_start`. Dropping the future earlier aborts the calls in flight without
/// recording them.
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

/// Logs a warning if the client itself started calls late or could not send all of them.
fn warn_if_client_was_too_slow(record: &Record) {
    let measured = record.measured();
    let lag_us = measured.client_lag_us.percentile(99.0);
    let unsent = measured.client_unsent;
    drop(measured);
    if unsent > 0 {
        tracing::warn!(unsent, "the client was overloaded: some calls were never sent");
    }
    if let Some(lag_us) = lag_us.filter(|&lag| lag > MAX_P99_LAG_US) {
        tracing::warn!(lag_us, "the client started at least one call in a hundred late");
    }
}

#[cfg(test)]
mod tests;
