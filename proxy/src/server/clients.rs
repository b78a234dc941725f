//! The open client connections: their state, and which of them is closed when sockets run short.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::arrival::MIN_IDLE_TO_EVICT;
use crate::driver::Driver;
use crate::framing::{OutputProgress, PendingInput};
use crate::metrics::CloseReason;

/// Client connections that are kept free while a drain still serves connections as before: clients open no
/// new connections to a balancer that is shutting down, and may take it for gone if none is free for a
/// moment, although it could still serve. Two, because one may be in use while a refusal is being sent on the
/// other.
const MIN_FREE_CONNECTIONS: usize = 2;
/// How long a connection that is about to close stays open for a request that may be on its way: a new
/// connection for its first request, any connection for the rest of a request that has begun to arrive.
pub(super) const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// Time for a request head to arrive completely, from its first byte or, before the first request, from
/// when the connection was accepted. A client that sends less has to be disconnected within 3 s, and
/// occupies a socket until then.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Idle time after which a client connection is closed: clients that send one request and stay connected
/// must not accumulate.
pub(super) const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// How long a client may take nothing of its answer before its connection is closed.
const STALL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long after its time an answer may still be of use to a client.
const LATE_ANSWER_GRACE: Duration = Duration::from_millis(500);

/// Whether the program serves as usual, or how far its drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The program serves as usual.
    Serving,
    /// Connections between requests are closed, those with a request in progress after its answer.
    Closing,
    /// Requests that have no answer yet fail.
    Ending,
}

/// The state of a client connection that is shared with the rest of the server.
pub(super) struct ClientConnection {
    /// Whether a request is being answered, or the connection has been chosen for eviction.
    pub(super) busy: Cell<bool>,
    /// Whether at least one request has been received on the connection.
    pub(super) used: Cell<bool>,
    /// When the connection was accepted, or its latest answer was made.
    pub(super) last_activity: Cell<Instant>,
    /// What has been received of the connection's next request.
    pub(super) input: Rc<PendingInput>,
    /// Whether the client takes its answers.
    pub(super) output: Rc<OutputProgress>,
    /// How long the client waits for the answer to its latest request.
    pub(super) answer_due_at: Cell<Instant>,
    /// Whether nothing more is sent on the connection; at most its last answer is still being delivered.
    pub(super) finished: Cell<bool>,
    /// Asks for the connection to be closed as soon as it is between requests.
    pub(super) close_requested: Notify,
}

impl ClientConnection {
    /// Whether a part of the next request has arrived, and an answer to it can be written now.
    pub(super) fn has_partial_request(&self) -> bool {
        let nothing_to_send = !self.input.arrival().is_answering() && self.output.blocked_since().is_none();
        nothing_to_send && self.input.pending_since().is_some()
    }

    /// When to close the connection because the client does not take its answer; `None` if it does.
    pub(super) fn stalls_at(&self) -> Option<Instant> {
        let stalled_at = self.output.blocked_since()? + STALL_TIMEOUT;
        Some(stalled_at.max(self.answer_due_at.get() + LATE_ANSWER_GRACE))
    }

    /// When and why to close the connection unless a request arrives, or its answer is taken; `None` while a
    /// request is being answered.
    pub(super) fn expires_at(&self) -> Option<(Instant, CloseReason)> {
        if let Some(stalls_at) = self.stalls_at() {
            return Some((stalls_at, CloseReason::Stalled));
        }
        if self.busy.get() {
            return None;
        }
        let idle_until = match self.input.pending_since() {
            _ if !self.used.get() => self.last_activity.get() + HEAD_TIMEOUT,
            Some(began_at) => began_at.max(self.last_activity.get()) + HEAD_TIMEOUT,
            None => self.last_activity.get() + IDLE_TIMEOUT,
        };
        Some((idle_until, CloseReason::Idle))
    }

    /// Rank for eviction, lowest first: finished connections and those that were accepted but bring no
    /// request, connections that have been idle for long, any others, and last those whose next request is
    /// arriving.
    pub(super) fn eviction_rank(&self) -> (u8, Instant) {
        let last_activity = self.last_activity.get();
        let rank = match (self.used.get(), last_activity.elapsed()) {
            _ if self.finished.get() => 0,
            (false, age) if age >= ARRIVAL_GRACE => 0,
            (true, _) if self.input.pending_since().is_some() => 4,
            (true, age) if age >= MIN_IDLE_TO_EVICT => 1,
            (false, _) => 2,
            (true, _) => 3,
        };
        (rank, last_activity)
    }

    /// Whether the connection may be closed to free a socket: clients may rely on a recently used connection
    /// for a while.
    pub(super) fn is_evictable(&self) -> bool {
        self.eviction_rank().0 <= 1
    }
}

/// All client connections.
pub(super) struct Clients {
    /// Handles the requests of the clients.
    pub(super) driver: Rc<Driver>,
    /// Tells the connections which phase the drain has reached.
    pub(super) phases: watch::Receiver<Phase>,
    /// The client connections by number, in the order in which they were accepted.
    pub(super) connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// The number that the next accepted connection gets.
    pub(super) next_number: Cell<u64>,
    /// Whether the program has been told to stop.
    pub(super) draining: Cell<bool>,
}

impl Clients {
    /// Starts serving an accepted connection; if sockets run short, another connection is closed first.
    pub(super) fn accept(self: &Rc<Self>, stream: TcpStream) {
        if self.driver.short_of_sockets() {
            self.evict_one();
        }
        let connection = Rc::new(ClientConnection {
            busy: Cell::new(false),
            used: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            input: Rc::new(PendingInput::new(self.driver.arrival_memory().register())),
            output: Rc::default(),
            answer_due_at: Cell::new(Instant::now()),
            finished: Cell::new(false),
            close_requested: Notify::new(),
        });
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        self.connections.borrow_mut().insert(number, Rc::clone(&connection));
        // Counted from here on, so that a burst of connections is counted as it is accepted.
        let permit = self.driver.unconditional_permit();
        let clients = Rc::clone(self);
        spawn_local(async move {
            super::serve_client(&clients, stream, &connection).await;
            clients.connections.borrow_mut().remove(&number);
            drop(permit);
        });
    }

    /// Closes a connection between requests to free a socket: preferably an evictable client connection,
    /// which costs the client at most a new one, otherwise an idle upstream connection, otherwise any
    /// client connection.
    pub(super) fn evict_one(&self) {
        let connections = self.connections.borrow();
        let candidate = connections
            .values()
            .filter(|connection| !connection.busy.get())
            .min_by_key(|connection| connection.eviction_rank());
        if candidate.is_some_and(|connection| connection.is_evictable())
            || !self.driver.close_lru_idle_connection()
        {
            let Some(connection) = candidate else { return };
            // Marked as busy, so that the next call evicts another one.
            connection.busy.set(true);
            connection.close_requested.notify_one();
        }
    }

    /// Whether accepting a request would leave clients too few free connections to continue with. Serving is
    /// about to end, so refusing a request at once, while its client can still reach another balancer,
    /// costs less than losing the many requests that the free connections still carry. This protects
    /// clients whose connection pool gives up a balancer that has no free connection. It does harm where
    /// each connection is a separate client, which cannot use the connections of others.
    pub(super) fn lacks_free_connections(&self) -> bool {
        if !self.draining.get() {
            return false;
        }
        let connections = self.connections.borrow();
        let free = connections.values().filter(|connection| !connection.busy.get()).count();
        // With few connections, those kept free would be most of them.
        connections.len() >= MIN_FREE_CONNECTIONS * 2 && free < MIN_FREE_CONNECTIONS
    }

    /// Whether an answer may still be outstanding on some connection.
    pub(super) fn may_owe_answers(&self) -> bool {
        self.connections.borrow().values().any(|connection| connection.used.get())
    }
}
