//! The HTTP side of a replica towards one copy: takes connections, answers calls in turn.

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use super::http::{self, Call, HttpError, Requests};
use super::signals::{self, Link, Signals};
use super::turns::Turns;
use super::views::Views;
use super::watch as following;
use crate::port::{self, Port};
use crate::record::{ControlUsage, Record};
use crate::topology::{Carrier, ServiceId};

/// Time before connections are taken again after the system refused one, say for want of descriptors.
const ACCEPT_AGAIN: Duration = Duration::from_millis(20);

/// What was carried for one copy.
#[derive(Debug, Default)]
pub(super) struct Counters {
    pub(super) bytes: AtomicU64,
    calls: AtomicU64,
    turned_away: AtomicU64,
}

impl Counters {
    pub(super) fn usage(&self) -> ControlUsage {
        ControlUsage {
            bytes: self.bytes.load(Ordering::Relaxed),
            calls: self.calls.load(Ordering::Relaxed),
            rejected_calls: self.turned_away.load(Ordering::Relaxed),
        }
    }
}

/// The place at which one copy finds its replica.
#[derive(Debug)]
pub(super) struct Desk {
    pub(super) port: Port,
    pub(super) link: Link,
    pub(super) service: ServiceId,
    pub(super) carrier: Carrier,
    pub(super) counters: Counters,
    /// The latest version that the copy was told or came with.
    pub(super) told: AtomicU64,
    pub(super) turns: Arc<Mutex<Turns>>,
    pub(super) views: Arc<Views>,
    pub(super) signals: watch::Sender<Signals>,
    pub(super) heartbeat: Duration,
    pub(super) record: Arc<Record>,
}

/// Why a connection is to be ended; `Ended` was by its peer.
#[derive(Debug)]
pub(super) enum Closing {
    Ended,
    Reset,
}

impl From<HttpError> for Closing {
    fn from(error: HttpError) -> Self {
        match error {
            HttpError::Ended(_) => Self::Ended,
            HttpError::Malformed | HttpError::Slow => Self::Reset,
        }
    }
}

/// Takes connections for ever, while the replica runs. Ended, it ends its connections.
pub(super) async fn listen(desk: Arc<Desk>) {
    let replica = desk.link.replica;
    let mut signals = desk.signals.subscribe();
    let mut connections = JoinSet::new();
    loop {
        signals::until(&mut signals, |state| state.replicas[replica].runs).await;
        let at_start = signals.borrow().replicas[replica];
        tokio::select! {
            biased;
            () = signals::until(&mut signals, |state| state.replicas[replica] != at_start) => {}
            () = accept(&desk, &mut connections) => {}
        }
    }
}

/// Takes connections for ever.
async fn accept(desk: &Arc<Desk>, connections: &mut JoinSet<()>) {
    let listener = desk.port.listener();
    loop {
        match port::accept(&listener).await {
            Ok(stream) => drop(connections.spawn(serve(desk.clone(), stream))),
            Err(_) => sleep(ACCEPT_AGAIN).await,
        }
        while connections.try_join_next().is_some() {}
    }
}

async fn serve(desk: Arc<Desk>, mut stream: TcpStream) {
    let mut signals = desk.signals.subscribe();
    let replica = desk.link.replica;
    let at_start = signals.borrow().replicas[replica];
    let closing = tokio::select! {
        biased;
        () = signals::until(&mut signals, |state| !at_start.runs || state.replicas[replica] != at_start) => Closing::Reset,
        closing = converse(&desk, &mut stream) => closing,
    };
    if matches!(closing, Closing::Reset) {
        port::reset(stream);
    }
}

/// Answers one call after another, until the connection ends.
async fn converse(desk: &Desk, stream: &mut TcpStream) -> Closing {
    let mut signals = desk.signals.subscribe();
    if !signals.borrow().joined(desk.link) {
        // It came over a cut: nobody answers, and it does not outlive the cut.
        return match reached(desk, &mut signals, stream).await {
            Ok(()) => Closing::Reset,
            Err(closing) => closing,
        };
    }
    let mut requests = Requests::default();
    loop {
        if let Err(closing) = turn(desk, &mut signals, &mut requests, stream).await {
            return closing;
        }
    }
}

/// Reads one call and answers it when its turn has come.
async fn turn(
    desk: &Desk,
    signals: &mut watch::Receiver<Signals>,
    requests: &mut Requests,
    stream: &mut TcpStream,
) -> Result<(), Closing> {
    let call = requests.next(stream).await?;
    reached(desk, signals, stream).await?;
    desk.counters.calls.fetch_add(1, Ordering::Relaxed);
    let answered = desk.turns.lock().unwrap_or_else(PoisonError::into_inner).take(Instant::now());
    let Some(answered) = answered else {
        desk.counters.turned_away.fetch_add(1, Ordering::Relaxed);
        return say(desk, stream, &http::answer("503 Service Unavailable", b"")).await;
    };
    sleep_until(answered).await;
    reached(desk, signals, stream).await?;
    match call {
        Call::Unknown => say(desk, stream, &http::answer("404 Not Found", b"")).await,
        Call::Watch { since } => following::follow(desk, signals, stream, since).await,
        Call::List => {
            let line = desk.views.known(desk.link.replica_region, desk.service, |catalog| catalog.whole());
            say(desk, stream, &http::answer("200 OK", &line.text)).await
        }
    }
}

/// Writes to the copy and counts the bytes.
pub(super) async fn say(desk: &Desk, stream: &mut TcpStream, bytes: &[u8]) -> Result<(), Closing> {
    Ok(http::write(stream, bytes, &desk.counters.bytes).await?)
}

/// Waits until bytes pass between the copy and its replica, or the copy has closed the connection.
pub(super) async fn reached(
    desk: &Desk,
    signals: &mut watch::Receiver<Signals>,
    stream: &TcpStream,
) -> Result<(), Closing> {
    tokio::select! {
        biased;
        () = signals::until(signals, |state| state.joined(desk.link)) => Ok(()),
        () = left(stream) => Err(Closing::Ended),
    }
}

/// Waits until the copy has closed the connection; what it sends is passed over.
pub(super) async fn left(stream: &TcpStream) {
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
