//! One node with sockets: its simulated process, and what it shares with the other nodes of the run.

use std::convert::Infallible;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;

use super::balancer_client::{BalancerClient, RequestIds};
use super::handler;
use super::model::NodeModel;
use super::order_history::OrderHistory;
use super::precise_timer::PreciseTimer;
use super::state::{self, NodeState};
use crate::port::{self, Port};
use crate::record::Record;

/// Delay before the next accept after one failed, for example for lack of descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// What all nodes of a run share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) start: Instant,
    pub(super) record: Arc<Record>,
    pub(super) timer: PreciseTimer,
    pub(super) order_history: Mutex<OrderHistory>,
    pub(super) request_ids: RequestIds,
    pub(super) load_reports: bool,
    /// Maximum open connections of one node.
    pub(super) max_connections: u32,
}

/// A node that serves HTTP on a loopback port.
#[derive(Debug)]
pub(super) struct SocketNode {
    pub(super) shared: Arc<Shared>,
    pub(super) port: Port,
    pub(super) next_balancer: Arc<BalancerClient>,
    model: Mutex<NodeModel>,
    states: watch::Sender<NodeState>,
    /// Number of open connections.
    open_connections: AtomicU32,
}

/// The state of a connection that the requests on it share.
#[derive(Debug)]
pub(super) struct Connection {
    /// Whether the node had reached its connection limit before this connection was opened. Its requests are
    /// then rejected without running.
    pub(super) over_limit: bool,
    /// Requests a reset of the connection.
    pub(super) reset_requested: Notify,
    pub(super) states: watch::Receiver<NodeState>,
}

impl SocketNode {
    pub(super) fn new(
        shared: Arc<Shared>,
        port: Port,
        next_balancer: Arc<BalancerClient>,
        model: NodeModel,
    ) -> Self {
        let states = watch::Sender::new(NodeState::RUNNING);
        Self {
            shared,
            port,
            next_balancer,
            model: Mutex::new(model),
            states,
            open_connections: AtomicU32::new(0),
        }
    }

    /// The time since the start of the run.
    pub(super) fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    pub(super) fn model(&self) -> MutexGuard<'_, NodeModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes the process hang or resume.
    pub(super) fn set_silent(&self, silent: bool) {
        self.states.send_modify(|state| state.silent = silent);
    }

    /// Stops the process: its connections are reset and its port refuses new ones.
    pub(super) fn stop(&self) {
        let stopped = self.states.send_if_modified(|state| {
            let was_running = state.runs;
            *state = NodeState { runs: false, stops: state.stops + u64::from(was_running), silent: false };
            was_running
        });
        if stopped && let Err(error) = self.port.close() {
            tracing::error!(%error, "cannot close the port of a node");
        }
    }

    /// Starts a new, cold process on the same port.
    pub(super) fn restart(&self) {
        self.stop();
        self.model().restart(self.now());
        if let Err(error) = self.port.reopen() {
            tracing::error!(%error, "cannot reopen the port of a node");
        }
        self.states.send_modify(|state| state.runs = true);
    }
}

/// Accepts connections whenever the node runs; never returns. Dropping the future drops the connections.
pub(super) async fn listen(node: Arc<SocketNode>) {
    let mut states = node.states.subscribe();
    let mut connections = JoinSet::new();
    loop {
        state::wait_until(&mut states, |state| state.runs).await;
        let start_state = *states.borrow();
        tokio::select! {
            biased;
            () = state::wait_until(&mut states, |state| !state.is_same_process(start_state)) => {}
            () = accept(&node, start_state, &mut connections) => {}
        }
    }
}

async fn accept(node: &Arc<SocketNode>, start_state: NodeState, connections: &mut JoinSet<()>) {
    let listener = node.port.listener();
    loop {
        match port::accept(&listener).await {
            Ok(stream) => drop(connections.spawn(serve(node.clone(), start_state, stream))),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Serves a connection until it ends or has to be reset.
async fn serve(node: Arc<SocketNode>, start_state: NodeState, stream: TcpStream) {
    let _slot = ConnectionSlot::take(&node);
    let over_limit = node.open_connections.load(Ordering::Relaxed) > node.shared.max_connections;
    if !over_limit {
        let now = node.now();
        node.model().add_connection(now);
    }
    let mut states = node.states.subscribe();
    let shared_connection = Connection { over_limit, reset_requested: Notify::new(), states: states.clone() };
    let service = service_fn(async |request| {
        Ok::<_, Infallible>(handler::respond(&node, &shared_connection, request).await)
    });
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        biased;
        () = state::wait_until(&mut states, |state| !state.is_same_process(start_state)) => {}
        () = shared_connection.reset_requested.notified() => {}
        // An error here means that the peer is gone or sent malformed data; the connection is closed either
        // way.
        _ = &mut connection => return,
    }
    port::close_with_reset(connection.into_parts().io.into_inner());
}

/// Counts one open connection until dropped.
struct ConnectionSlot<'a>(&'a AtomicU32);

impl<'a> ConnectionSlot<'a> {
    fn take(node: &'a SocketNode) -> Self {
        node.open_connections.fetch_add(1, Ordering::Relaxed);
        Self(&node.open_connections)
    }
}

impl Drop for ConnectionSlot<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
