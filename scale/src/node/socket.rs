//! One node with sockets: its process, and what it shares with the other nodes of the run.

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

use super::alarm::Alarm;
use super::handler;
use super::model::NodeModel;
use super::onward::{Ids, Onward};
use super::orders::Orders;
use super::state::{self, NodeState};
use crate::port::{self, Port};
use crate::record::Record;

/// Time before connections are taken again after the system refused one, say for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What all nodes of a run share.
#[derive(Debug)]
pub(super) struct Shared {
    pub(super) start: Instant,
    pub(super) record: Arc<Record>,
    pub(super) alarm: Alarm,
    pub(super) orders: Mutex<Orders>,
    pub(super) ids: Ids,
    pub(super) load_reports: bool,
    /// Connections that a node holds.
    pub(super) connections: u32,
}

/// A node.
#[derive(Debug)]
pub(super) struct SocketNode {
    pub(super) shared: Arc<Shared>,
    pub(super) port: Port,
    pub(super) onward: Arc<Onward>,
    model: Mutex<NodeModel>,
    states: watch::Sender<NodeState>,
    /// Open connections.
    open: AtomicU32,
}

/// A connection, as its requests see it.
#[derive(Debug)]
pub(super) struct Connection {
    /// The node holds as many as it can without this one.
    pub(super) beyond_limit: bool,
    /// Asks for a reset.
    pub(super) reset: Notify,
    pub(super) states: watch::Receiver<NodeState>,
}

impl SocketNode {
    pub(super) fn new(shared: Arc<Shared>, port: Port, onward: Arc<Onward>, model: NodeModel) -> Self {
        let states = watch::Sender::new(NodeState::RUNNING);
        Self { shared, port, onward, model: Mutex::new(model), states, open: AtomicU32::new(0) }
    }

    /// The time since the start of the run.
    pub(super) fn now(&self) -> Duration {
        self.shared.start.elapsed()
    }

    pub(super) fn model(&self) -> MutexGuard<'_, NodeModel> {
        self.model.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The process hangs or goes on.
    pub(super) fn silence(&self, silent: bool) {
        self.states.send_modify(|state| state.silent = silent);
    }

    /// The process is gone: its connections are reset and its port refuses.
    pub(super) fn stop(&self) {
        let stopped = self.states.send_if_modified(|state| {
            let ran = state.runs;
            *state = NodeState { runs: false, stops: state.stops + u64::from(ran), silent: false };
            ran
        });
        if stopped && let Err(error) = self.port.shut() {
            tracing::error!(%error, "the port of a node cannot be shut");
        }
    }

    /// A new process on the same port, cold.
    pub(super) fn restart(&self) {
        self.stop();
        self.model().restart(self.now());
        if let Err(error) = self.port.reopen() {
            tracing::error!(%error, "the port of a node cannot be opened again");
        }
        self.states.send_modify(|state| state.runs = true);
    }
}

/// Takes the connections of a node for ever, while it runs. Ended, it ends its connections.
pub(super) async fn listen(node: Arc<SocketNode>) {
    let mut states = node.states.subscribe();
    let mut connections = JoinSet::new();
    loop {
        state::until(&mut states, |state| state.runs).await;
        let at_start = *states.borrow();
        tokio::select! {
            biased;
            () = state::until(&mut states, |state| !state.same_process(at_start)) => {}
            () = accept(&node, at_start, &mut connections) => {}
        }
    }
}

async fn accept(node: &Arc<SocketNode>, at_start: NodeState, connections: &mut JoinSet<()>) {
    let listener = node.port.listener();
    loop {
        match port::accept(&listener).await {
            Ok(stream) => drop(connections.spawn(serve(node.clone(), at_start, stream))),
            Err(_) => sleep(ACCEPT_AGAIN).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

/// Serves a connection until it ends or is to be reset.
async fn serve(node: Arc<SocketNode>, at_start: NodeState, stream: TcpStream) {
    let _place = Place::take(&node);
    let beyond_limit = node.open.load(Ordering::Relaxed) > node.shared.connections;
    if !beyond_limit {
        let now = node.now();
        node.model().connect(now);
    }
    let mut states = node.states.subscribe();
    let shown = Connection { beyond_limit, reset: Notify::new(), states: states.clone() };
    let answer =
        service_fn(async |request| Ok::<_, Infallible>(handler::answer(&node, &shown, request).await));
    let mut connection = http1::Builder::new().serve_connection(TokioIo::new(stream), answer);
    tokio::select! {
        biased;
        () = state::until(&mut states, |state| !state.same_process(at_start)) => {}
        () = shown.reset.notified() => {}
        // Its error is that the peer is gone or makes no sense, and it is closed for that already.
        _ = &mut connection => return,
    }
    port::reset(connection.into_parts().io.into_inner());
}

/// The place of an open connection, given up when dropped.
struct Place<'a>(&'a AtomicU32);

impl<'a> Place<'a> {
    fn take(node: &'a SocketNode) -> Self {
        node.open.fetch_add(1, Ordering::Relaxed);
        Self(&node.open)
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
