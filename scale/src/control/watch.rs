//! A watch: a response that is kept open and streams the list changes.

use std::sync::atomic::Ordering;
use std::time::Instant;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::{Instant as TokioInstant, sleep_until};

use super::catalog::Line;
use super::http;
use super::replica::{CloseReason, ReplicaListener, wait_until_closed, wait_until_reachable, write};
use super::state::ControlState;
use crate::topology::BalancerKind;

/// Streams the changes after a version; returns only when the connection has to end.
///
/// The next line is not built before the previous one is written, so a slow reader needs no extra memory.
pub(super) async fn serve(
    listener: &ReplicaListener,
    states: &mut watch::Receiver<ControlState>,
    stream: &mut TcpStream,
    since: u64,
) -> Result<(), CloseReason> {
    let mut list_changes = listener.lists.subscribe(listener.service);
    let watch_resets = states.borrow().watch_resets;
    write(listener, stream, http::chunked_response_head()).await?;
    let mut delivered = send_line(listener, stream, since, changes_line(listener, since)).await?;
    let mut heartbeat_at = TokioInstant::now() + listener.heartbeat;
    loop {
        let heartbeat_due = tokio::select! {
            _ = list_changes.changed() => false,
            _ = states.changed() => false,
            () = sleep_until(heartbeat_at) => true,
            () = wait_until_closed(stream) => return Err(CloseReason::ClosedByPeer),
        };
        wait_until_reachable(listener, states, stream).await?;
        if states.borrow().watch_resets != watch_resets {
            return Err(CloseReason::Reset);
        }
        let line = changes_line(listener, delivered);
        if line.version != delivered {
            delivered = send_line(listener, stream, delivered, line).await?;
        } else if heartbeat_due {
            write(listener, stream, &http::chunk(b"")).await?;
        } else {
            continue;
        }
        heartbeat_at = TokioInstant::now() + listener.heartbeat;
    }
}

fn changes_line(listener: &ReplicaListener, since: u64) -> Line {
    listener
        .lists
        .read_in_region(listener.link.replica_region, listener.service, |catalog| catalog.changes_line(since))
}

/// Writes a line and returns the version that the balancer then has.
async fn send_line(
    listener: &ReplicaListener,
    stream: &mut TcpStream,
    since: u64,
    line: Line,
) -> Result<u64, CloseReason> {
    write(listener, stream, &http::chunk(&line.text)).await?;
    let previous_version = listener.delivered_version.fetch_max(line.version, Ordering::Relaxed);
    if listener.balancer_kind == BalancerKind::Real && since > 0 {
        record_delivery_delay(listener, since.max(previous_version), line.version);
    }
    Ok(line.version)
}

/// Records how long changes took to be delivered. A change counts as delivered to a real balancer once it has
/// been written to it, even to an earlier process of the same balancer. Hollow (simulated in-process)
/// balancers measure the arrival themselves.
fn record_delivery_delay(listener: &ReplicaListener, since: u64, version: u64) {
    let now = Instant::now();
    let published: Vec<Instant> = listener.lists.read(listener.service, |catalog| {
        (since + 1..=version).filter_map(|version| catalog.published_at(version)).collect()
    });
    let mut measured = listener.record.measured();
    for published_at in published {
        measured.list_delivery_us.add(now.saturating_duration_since(published_at));
    }
}
