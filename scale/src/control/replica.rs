//! The HTTP server of a control replica for one balancer: accepts connections and answers calls at the
//! replica's rate.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::call_queue::CallQueue;
use super::http::{self, Call, HttpError, RequestReader};
use super::regional_lists::RegionalLists;
use super::state::{self, ControlState, Link};
use super::watch as list_watch;
use crate::port::{self, Port};
use crate::record::{ControlUsage, Record};
use crate::topology::{BalancerKind, ServiceId};

/// Delay before the next accept after one failed, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Counts the control traffic of one balancer.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) bytes: AtomicU64,
    calls: AtomicU64,
    rejected: AtomicU64,
}

impl Counters {
    pub(super) fn usage(&self) -> ControlUsage {
        ControlUsage {
            bytes: self.bytes.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
            rejected_calls: self.rejected.load(Ordering::Relaxed),
        }
    }
}

/// The listener through which one balancer talks to its control replica.
#[derive(Debug)]
pub(super) struct ReplicaListener {
    pub(super) port: Port,
    pub(super) link: Link,
    pub(super) service: ServiceId,
    pub(super) balancer_kind: BalancerKind,
    pub(super) counters: Counters,
    /// The latest version that the balancer has: written to it, or the one from which its watch resumed.
    pub(super) delivered_version: AtomicU64,
    pub(super) call_queue: Arc<Mutex<CallQueue>>,
    pub(super) lists: Arc<RegionalLists>,
    pub(super) states: watch::Sender<ControlState>,
    pub(super) heartbeat: Duration,
    pub(super) record: Arc<Record>,
}

/// How a control connection ends: the balancer closed it, or it has to be reset.
#[derive(Debug)]
pub(super) enum CloseReason {
    ClosedByPeer,
    Reset,
}

impl From<HttpError> for CloseReason {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Closed(_) => Self::ClosedByPeer,
            HttpError::Malformed | HttpError::Slow => Self::Reset,
        }
    }
}

/// Accepts connections whenever the replica runs; never returns. Dropping the future drops the connections.
pub(super) async fn listen(listener: Arc<ReplicaListener>) {
    let replica = listener.link.replica;
    let mut states = listener.states.subscribe();
    let mut connections = JoinSet::new();
    loop {
        state::wait_until(&mut states, |state| state.replicas[replica].runs).await;
        let start_state = states.borrow().replicas[replica];
        tokio::select! {
            biased;
            () = state::wait_until(&mut states, |state| state.replicas[replica] != start_state) => {}
            () = accept(&listener, &mut connections) => {}
        }
    }
}

/// Accepts a balancer's connections; never returns.
async fn accept(listener: &Arc<ReplicaListener>, connections: &mut JoinSet<()>) {
    let tcp_listener = listener.port.listener();
    loop {
        match port::accept(&tcp_listener).await {
            Ok(stream) => drop(connections.spawn(serve(listener.clone(), stream))),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(listener: Arc<ReplicaListener>, mut stream: TcpStream) {
    let mut states = listener.states.subscribe();
    let replica = listener.link.replica;
    let start_state = states.borrow().replicas[replica];
    let reason = tokio::select! {
        biased;
        () = state::wait_until(&mut states, |state| {
            !start_state.runs || state.replicas[replica] != start_state
        }) => CloseReason::Reset,
        reason = serve_calls(&listener, &mut stream) => reason,
    };
    if matches!(reason, CloseReason::Reset) {
        port::close_with_reset(stream);
    }
}

/// Answers one call after another until the connection ends.
async fn serve_calls(listener: &ReplicaListener, stream: &mut TcpStream) -> CloseReason {
    let mut states = listener.states.subscribe();
    if !states.borrow().is_connected(listener.link) {
        // The connection was opened across a cut: it is not answered, and it is reset when the cut ends.
        return match wait_until_reachable(listener, &mut states, stream).await {
            Ok(()) => CloseReason::Reset,
            Err(reason) => reason,
        };
    }
    let mut reader = RequestReader::default();
    loop {
        if let Err(reason) = answer_call(listener, &mut states, &mut reader, stream).await {
            return reason;
        }
    }
}

/// Reads one call and answers it once the call queue lets it through.
async fn answer_call(
    listener: &ReplicaListener,
    states: &mut watch::Receiver<ControlState>,
    reader: &mut RequestReader,
    stream: &mut TcpStream,
) -> Result<(), CloseReason> {
    let call = reader.next(stream).await?;
    wait_until_reachable(listener, states, stream).await?;
    listener.counters.calls.fetch_add(1, Ordering::Relaxed);
    let answer_at =
        listener.call_queue.lock().unwrap_or_else(PoisonError::into_inner).schedule(Instant::now());
    let Some(answer_at) = answer_at else {
        listener.counters.rejected.fetch_add(1, Ordering::Relaxed);
        return write(listener, stream, &http::response("503 Service Unavailable", b"")).await;
    };
    sleep_until(answer_at).await;
    wait_until_reachable(listener, states, stream).await?;
    match call {
        Call::Unknown => write(listener, stream, &http::response("404 Not Found", b"")).await,
        Call::Watch { since } => list_watch::serve(listener, states, stream, since).await,
        Call::List => {
            let line =
                listener.lists.read_in_region(listener.link.replica_region, listener.service, |catalog| {
                    catalog.full_list_line()
                });
            write(listener, stream, &http::response("200 OK", &line.text)).await
        }
    }
}

/// Writes to the balancer and counts the bytes as its control traffic.
pub(super) async fn write(
    listener: &ReplicaListener,
    stream: &mut TcpStream,
    bytes: &[u8],
) -> Result<(), CloseReason> {
    Ok(http::write(stream, bytes, &listener.counters.bytes).await?)
}

/// Waits until the balancer and its replica can reach each other, or the balancer has closed the connection.
pub(super) async fn wait_until_reachable(
    listener: &ReplicaListener,
    states: &mut watch::Receiver<ControlState>,
    stream: &TcpStream,
) -> Result<(), CloseReason> {
    tokio::select! {
        biased;
        () = state::wait_until(states, |state| state.is_connected(listener.link)) => Ok(()),
        () = wait_until_closed(stream) => Err(CloseReason::ClosedByPeer),
    }
}

/// Waits until the balancer has closed the connection; any data it sends is discarded.
pub(super) async fn wait_until_closed(stream: &TcpStream) {
    let mut bytes = [0; 256];
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut bytes) {
            Ok(0) => return,
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return,
        }
    }
}
