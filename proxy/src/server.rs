//! The client side: connections and requests, `/_health` and `/_metrics`, and the drain at the end of the
//! program.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::future::{Future, poll_fn};
use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{Full, LengthLimitError};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use stilelead_decision::interface::{ClassId, Idempotency, RequestId, TenantId};
use thiserror::Error;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::{Notify, watch};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout_at};

use crate::active_config::ActiveConfig;
use crate::config::{Config, ConfigError};
use crate::driver::{Answer, ClientRequest, Driver};
use crate::framing::{AmbiguousLength, InspectedStream, PendingInput};
use crate::metrics::{self, CloseReason, UnservedCause};
use crate::reload;
use crate::upstream::{ForwardedRequest, MAX_BODY_BYTES, read_body};

/// The time kept for delivering the answer. It is subtracted from the client's time limit, in each tier
/// again, because the answer has to arrive within that limit. 99 in 100 answers are sent within 0.9 ms
/// (r7909), so this leaves room for a busy core; 30 ms left clients that wait 80 ms nothing of what the tier
/// below needs.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(8);
/// How long past the deadline the decisions may still give the final answer, before the request fails.
pub const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(10);
/// The program may be killed once this time, plus the longest deadline of a class (but at most
/// `MAX_COUNTED_DEADLINE`), has passed since SIGTERM.
const KILL_GRACE: Duration = Duration::from_millis(700);
/// The most that the longest deadline of a class adds to the time between SIGTERM and a kill.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// All answers have to be sent this long before the program may be killed.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// Fraction of the drain time during which connections are served as before the drain: clients may have no
/// other balancer until this one is back, and use their connections for as long as these stay open. A request
/// that arrives at the end of that time still has about 0.35 s for its answer, three times the median in
/// r7000; with a fraction of 0.6, clients there were without a balancer for a second longer.
const DRAIN_OPEN_FRACTION: f64 = 0.9;
/// Client connections that are kept free while a drain still serves connections as before: clients open no
/// new connections to a balancer that is shutting down, and may take it for gone if none is free for a
/// moment, although it could still serve. Two, because one may be in use while a refusal is being sent on the
/// other; keeping a quarter of them free refused every second request in r7000.
const MIN_FREE_CONNECTIONS: usize = 2;
/// Minimum time for which new connections are still accepted once a drain closes the existing ones; also the
/// time in which the last answers have to be sent once unanswered requests have failed.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(150);
/// How long a connection that is about to close stays open for a request that may be on its way: a new
/// connection for its first request, any connection for the rest of a request that has begun to arrive.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// How long a connection is still read after the balancer has closed its side, so that the last answer
/// arrives: closing a socket with unread bytes resets the connection and discards what the system has not
/// delivered yet. A large answer may take this long.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded before a socket is closed: a client that sends more
/// than a request does not read its answers.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How often to check whether the drain is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a request head to arrive completely, from its first byte or, before the first request, from
/// when the connection was accepted. A client that sends less has to be disconnected within 3 s, and
/// occupies a socket until then.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for a request to arrive completely, including its body; counts from the same moment as
/// `HEAD_TIMEOUT`.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Idle time after which a client connection is closed: clients that send one request and stay connected
/// must not accumulate.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// Idle time after which a client connection may be closed when sockets run short; one that has been idle
/// for less is closed only as a last resort.
const MIN_IDLE_TO_EVICT: Duration = Duration::from_secs(2);
/// Maximum size of a request head, and so of hyper's buffer for a connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The header by which upstreams recognise a repeated request.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Path of the operator's metrics.
const METRICS_PATH: &str = "/_metrics";
/// Pause after a failed accept, so that running out of descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Whether the program serves as usual, or how far its drain has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    /// The program serves as usual.
    Serving,
    /// Connections between requests are closed, those with a request in progress after its answer.
    Closing,
    /// Requests that have no answer yet fail.
    Ending,
}

/// The state of a client connection that is shared with the rest of the server.
struct ClientConnection {
    /// Whether a request is being answered, or the connection has been chosen for eviction.
    busy: Cell<bool>,
    /// Whether at least one request has been received on the connection.
    used: Cell<bool>,
    /// When the connection was accepted, or its latest answer was made.
    last_activity: Cell<Instant>,
    /// What has been received of the connection's next request.
    input: Rc<PendingInput>,
    /// Whether nothing more is sent on the connection; at most its last answer is still being delivered.
    finished: Cell<bool>,
    /// Asks for the connection to be closed as soon as it is between requests.
    close_requested: Notify,
}

impl ClientConnection {
    /// When to close the connection unless a request arrives; `None` while one is being answered.
    fn expires_at(&self) -> Option<Instant> {
        if self.busy.get() {
            return None;
        }
        Some(match self.input.pending_since() {
            _ if !self.used.get() => self.last_activity.get() + HEAD_TIMEOUT,
            Some(began_at) => began_at.max(self.last_activity.get()) + HEAD_TIMEOUT,
            None => self.last_activity.get() + IDLE_TIMEOUT,
        })
    }

    /// Rank for eviction, lowest first: finished connections and those that were accepted but bring no
    /// request, connections that have been idle for long, any others, and last those whose next request is
    /// arriving.
    fn eviction_rank(&self) -> (u8, Instant) {
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
    fn is_evictable(&self) -> bool {
        self.eviction_rank().0 <= 1
    }
}

/// All client connections.
struct Clients {
    /// Handles the requests of the clients.
    driver: Rc<Driver>,
    /// Tells the connections which phase the drain has reached.
    phases: watch::Receiver<Phase>,
    /// The client connections by number, in the order in which they were accepted.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    /// The number that the next accepted connection gets.
    next_number: Cell<u64>,
    /// Whether the program has been told to stop.
    draining: Cell<bool>,
}

impl Clients {
    /// Starts serving an accepted connection; if sockets run short, another connection is closed first.
    fn accept(self: &Rc<Self>, stream: TcpStream) {
        if self.driver.short_of_sockets() {
            self.evict_one();
        }
        let connection = Rc::new(ClientConnection {
            busy: Cell::new(false),
            used: Cell::new(false),
            last_activity: Cell::new(Instant::now()),
            input: Rc::default(),
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
            serve_client(&clients, stream, &connection).await;
            clients.connections.borrow_mut().remove(&number);
            drop(permit);
        });
    }

    /// Closes a connection between requests to free a socket: preferably an evictable client connection,
    /// which costs the client at most a new one, otherwise an idle upstream connection, otherwise any
    /// client connection.
    fn evict_one(&self) {
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
    fn lacks_free_connections(&self) -> bool {
        if !self.draining.get() {
            return false;
        }
        let connections = self.connections.borrow();
        let free = connections.values().filter(|connection| !connection.busy.get()).count();
        // With few connections, those kept free would be most of them.
        connections.len() >= MIN_FREE_CONNECTIONS * 2 && free < MIN_FREE_CONNECTIONS
    }

    /// Whether an answer may still be outstanding on some connection.
    fn may_owe_answers(&self) -> bool {
        self.connections.borrow().values().any(|connection| connection.used.get())
    }
}

/// Binds the configured address and serves until `stop` completes and the drain after it is over. Each
/// reloaded configuration, or the reason why it could not be read, arrives through `reloads`.
///
/// # Errors
/// The address cannot be bound, or the settings are invalid.
pub async fn serve(
    config: Config,
    reloads: UnboundedReceiver<Result<Config, ConfigError>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("{} listens on {}", config.name, listener.local_addr()?);
    serve_on(listener, config, reloads, stop).await
}

/// Serves on a listener that is already bound; otherwise like [`serve`].
///
/// # Errors
/// The settings are invalid.
pub async fn serve_on(
    listener: TcpListener,
    config: Config,
    reloads: UnboundedReceiver<Result<Config, ConfigError>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let driver = Driver::start(config).map_err(io::Error::other)?;
    spawn_local(reload::apply_reloads(Rc::clone(&driver), reloads));
    let (phase, phases) = watch::channel(Phase::Serving);
    let clients = Rc::new(Clients {
        driver,
        phases,
        connections: RefCell::default(),
        next_number: Cell::new(0),
        draining: Cell::new(false),
    });
    accept_until(&listener, &clients, stop).await;
    let longest_deadline = clients.driver.active_config().longest_deadline();
    let drain_time = (longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE).saturating_sub(KILL_MARGIN);
    let drain_deadline = Instant::now() + drain_time;
    clients.driver.set_shutdown_deadline(drain_deadline);
    clients.draining.set(true);
    accept_until(&listener, &clients, sleep(drain_time.mul_f64(DRAIN_OPEN_FRACTION))).await;
    let _ = phase.send(Phase::Closing);
    accept_until(&listener, &clients, sleep(FINAL_ACCEPT_TIME)).await;
    // Connections that carried a request end after its answer. Connections that never did are not waited
    // for, and a client that never reads its answer must not delay the end.
    while clients.may_owe_answers() && Instant::now() < drain_deadline {
        accept_until(&listener, &clients, sleep(DRAIN_POLL_INTERVAL)).await;
    }
    let _ = phase.send(Phase::Ending);
    let final_deadline = Instant::now() + FINAL_ACCEPT_TIME;
    while clients.may_owe_answers() && Instant::now() < final_deadline {
        accept_until(&listener, &clients, sleep(DRAIN_POLL_INTERVAL)).await;
    }
    Ok(())
}

/// Accepts client connections until `until` completes.
async fn accept_until(listener: &TcpListener, clients: &Rc<Clients>, until: impl Future<Output = ()>) {
    let mut until = pin!(until);
    let mut last_logged_at: Option<Instant> = None;
    loop {
        tokio::select! {
            biased;
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => clients.accept(stream),
                Err(error) => {
                    clients.driver.metrics().accept_failed();
                    // Most likely out of descriptors: a connection is closed to free one. Logged at most
                    // once per second, because logging each failure would cost more than the failure
                    // itself.
                    if last_logged_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)) {
                        tracing::warn!(%error, "accepting a connection failed");
                        last_logged_at = Some(Instant::now());
                    }
                    clients.evict_one();
                    sleep(ACCEPT_RETRY_DELAY).await;
                }
            },
            () = until.as_mut() => return,
        }
    }
}

/// Serves a client connection until it is closed, by either side.
async fn serve_client(clients: &Rc<Clients>, stream: TcpStream, connection: &Rc<ClientConnection>) {
    // Without TCP_NODELAY answers would wait for acknowledgements; a failure to set it is no reason to
    // disconnect.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let service = service_fn(|request| {
        let (driver, stream) = (&clients.driver, Rc::clone(&stream));
        // The body deadline counts from the request's first byte, or from when the connection was accepted.
        let began_at = connection
            .input
            .pending_since()
            .filter(|_| connection.used.get())
            .unwrap_or(connection.last_activity.get());
        let framing = connection.input.consume_request();
        connection.busy.set(true);
        connection.used.set(true);
        async move {
            // An attempt needs a socket too; an idle client connection must not keep it from getting one.
            if driver.short_of_sockets() {
                clients.evict_one();
            }
            let mut response =
                respond(clients, request, framing, began_at + BODY_TIMEOUT, &connection.input, &stream).await;
            connection.busy.set(false);
            connection.last_activity.set(Instant::now());
            if *clients.phases.borrow() != Phase::Serving || driver.over_socket_budget() {
                response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            }
            Ok::<_, Infallible>(response)
        }
    });
    let mut server = http1::Builder::new();
    // The head timeout is enforced by `wait_until_expired`, because it depends on what the connection did
    // before.
    server.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
    let inspected_stream = InspectedStream::new(Rc::clone(&stream), Rc::clone(&connection.input));
    let mut http_connection = pin!(server.serve_connection(TokioIo::new(inspected_stream), service));
    let mut phases = clients.phases.clone();
    let close_reason = async {
        tokio::select! {
            // An error means that the program is ending.
            _ = phases.wait_for(|&phase| phase != Phase::Serving) => CloseReason::ShuttingDown,
            // The socket is needed now. The connection has been idle for long, so its last answer has
            // arrived.
            () = connection.close_requested.notified() => {
                connection.finished.set(true);
                CloseReason::Evicted
            }
        }
    };
    let reason = tokio::select! {
        biased;
        _ = http_connection.as_mut() => {
            clients.driver.metrics().connection_closed(CloseReason::Served);
            return linger(&stream, connection).await;
        }
        reason = close_reason => reason,
        () = wait_until_expired(connection) => CloseReason::Idle,
    };
    clients.driver.metrics().connection_closed(reason);
    tracing::debug!(?reason, used = connection.used.get(), "closing client connection");
    // A request that is arriving is read first, even if the runtime has not been notified of it yet: its
    // last byte may be on its way, and the request would be lost.
    let closing_since = Instant::now();
    let has_pending_input = || connection.input.pending_since().is_some() || has_unread_bytes(&stream);
    while has_pending_input() {
        let began_at = connection.input.pending_since();
        let mut input_progress = poll_fn(|context| match http_connection.as_mut().poll(context) {
            Poll::Ready(_) => Poll::Ready(true),
            Poll::Pending if connection.input.pending_since() != began_at || !has_pending_input() => {
                Poll::Ready(false)
            }
            Poll::Pending => Poll::Pending,
        });
        tokio::select! {
            biased;
            ended = &mut input_progress => if ended { return linger(&stream, connection).await },
            () = sleep_until(began_at.unwrap_or(closing_since) + ARRIVAL_GRACE) => break,
        }
    }
    http_connection.as_mut().graceful_shutdown();
    // A connection between requests ends now, but one that never had a request still waits for the first. A
    // new connection is given a moment, because its request may already be in the socket, and is then closed
    // as well.
    if !connection.used.get() {
        tokio::select! {
            biased;
            _ = http_connection.as_mut() => return linger(&stream, connection).await,
            () = sleep_until(connection.last_activity.get() + ARRIVAL_GRACE) => {}
        }
        if !connection.used.get() {
            return linger(&stream, connection).await;
        }
    }
    let _ = http_connection.await;
    linger(&stream, connection).await;
}

/// Whether the system holds received bytes that have not been read.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
}

/// Closes the balancer's side of a connection and waits for the client to close its own. Bytes that arrive
/// until then are not treated as a request: a client whose request crosses the close sends it again
/// elsewhere.
async fn linger(stream: &TcpStream, connection: &ClientConnection) {
    let _ = SockRef::from(stream).shutdown(Shutdown::Write);
    if connection.finished.replace(true) {
        return;
    }
    connection.busy.set(false);
    let deadline = Instant::now() + LINGER_TIMEOUT;
    let mut remaining = MAX_LINGER_BYTES;
    let mut buffer = [0; 1024];
    let discard = async {
        while remaining > 0 && stream.readable().await.is_ok() {
            match stream.try_read(&mut buffer) {
                Ok(0) => return,
                Ok(bytes) => remaining = remaining.saturating_sub(bytes),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    };
    tokio::select! {
        () = discard => {}
        () = sleep_until(deadline) => {}
        () = connection.close_requested.notified() => {}
    }
}

/// Completes when a connection has had no request, or an incomplete one, for too long.
async fn wait_until_expired(connection: &ClientConnection) {
    loop {
        let now = Instant::now();
        // A request that is being answered has its own timeouts.
        let deadline = connection.expires_at().unwrap_or(now + IDLE_TIMEOUT);
        if deadline <= now {
            return;
        }
        sleep_until(deadline).await;
    }
}

/// Why a client's request is rejected as malformed.
#[derive(Debug, Error, PartialEq, Eq)]
enum BadRequest {
    #[error("no such class")]
    UnknownClass,
    #[error("no such tenant")]
    UnknownTenant,
    #[error("the deadline is not a time in seconds")]
    InvalidDeadline,
    #[error("no request id")]
    MissingId,
    #[error("the method does not fit the class")]
    WrongMethod,
    #[error("the class wants an idempotency key")]
    MissingIdempotencyKey,
    #[error("the body is too large")]
    TooLarge,
    #[error("the body broke off")]
    IncompleteBody,
    #[error("the body came too slowly")]
    BodyTimeout,
    #[error("{0}")]
    AmbiguousLength(#[from] AmbiguousLength),
    #[error("what follows the body is no request")]
    TrailingGarbage,
    #[error("a request with this id is open")]
    DuplicateId,
}

impl BadRequest {
    /// The status of the response that rejects the request.
    fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::DuplicateId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether the fault leaves in doubt where the next request begins, so that the connection has to be
    /// closed.
    fn closes_connection(&self) -> bool {
        matches!(
            self,
            Self::TooLarge
                | Self::IncompleteBody
                | Self::BodyTimeout
                | Self::AmbiguousLength(_)
                | Self::TrailingGarbage
        )
    }
}

/// Makes the response to a request; `framing` tells whether its length is unambiguous.
async fn respond(
    clients: &Clients,
    request: Request<Incoming>,
    framing: Result<(), AmbiguousLength>,
    body_deadline: Instant,
    input: &PendingInput,
    stream: &TcpStream,
) -> Response<Full<Bytes>> {
    let driver = &clients.driver;
    if request.uri().path() == "/_health" {
        let status = if driver.can_serve() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        return text_response(status, "");
    }
    if request.uri().path() == METRICS_PATH {
        let mut response = text_response(StatusCode::OK, driver.metrics_text());
        response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(metrics::MEDIA_TYPE));
        return response;
    }
    // The end of a chunked body is not tracked, so that what follows it would not be checked.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let answer = async {
        framing?;
        let request = read_request(driver, request, body_deadline).await?;
        if input.is_followed_by_garbage() {
            return Err(BadRequest::TrailingGarbage);
        }
        // There is no socket for an attempt, or too few connections would stay free; nothing has been
        // executed.
        if driver.over_socket_budget() || clients.lacks_free_connections() {
            let reason = if driver.over_socket_budget() {
                UnservedCause::Descriptors
            } else {
                UnservedCause::ShuttingDown
            };
            driver.metrics().request_unserved(reason);
            tracing::debug!(
                id = %request.forwarded.request_id.as_bytes().escape_ascii(),
                ?reason,
                "request refused"
            );
            return Ok(Answer::Refused { retry_after: driver.active_config().max_retry_after() });
        }
        await_answer(clients, request, input.client_disconnected(stream)).await.ok_or(BadRequest::DuplicateId)
    };
    let (mut response, must_close) = match answer.await {
        Ok(answer) => {
            driver.metrics().request_answered(answer_label(&answer));
            (client_response(answer), chunked)
        }
        Err(error) => {
            driver.metrics().request_answered(metrics::AnswerKind::Malformed);
            tracing::debug!(%error, "request rejected");
            (text_response(error.status(), error.to_string()), chunked || error.closes_connection())
        }
    };
    if must_close || input.has_overflowed() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

/// The metrics label for an answer.
fn answer_label(answer: &Answer) -> metrics::AnswerKind {
    match answer {
        Answer::Served(_) => metrics::AnswerKind::Served,
        Answer::Refused { .. } => metrics::AnswerKind::Refused,
        Answer::Failed => metrics::AnswerKind::Failed,
    }
}

/// The HTTP response that gives the final answer to the client.
fn client_response(answer: Answer) -> Response<Full<Bytes>> {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value =
                retry_after.map(|delay| HeaderValue::from_str(&format!("{:.3}", delay.as_secs_f64())));
            if let Some(Ok(value)) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// A response with this status and body.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Tells the driver that the client has disconnected before its answer: hyper drops this together with the
/// request's future when the connection ends.
struct AbandonOnDrop {
    /// The driver that the request was submitted to.
    driver: Rc<Driver>,
    /// The id of the submitted request.
    id: RequestId,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        self.driver.abandon(self.id);
    }
}

/// Waits for the final answer to a request; `None` if a request with the same id is in progress.
async fn await_answer(
    clients: &Clients,
    request: ClientRequest,
    client_disconnected: impl Future<Output = ()>,
) -> Option<Answer> {
    let driver = &clients.driver;
    let mut phases = clients.phases.clone();
    let answer_deadline = request.deadline + FINAL_ANSWER_GRACE;
    let (id, answer) = driver.submit(request)?;
    let abandon_guard = AbandonOnDrop { driver: Rc::clone(driver), id };
    let answer = tokio::select! {
        biased;
        answer = answer => answer.unwrap_or(Answer::Failed),
        // Nobody reads this answer; hyper finds the connection closed as well.
        () = client_disconnected => Answer::Failed,
        () = sleep_until(answer_deadline) => Answer::Failed,
        // The program is ending: a failure is better than a broken connection.
        _ = phases.wait_for(|&phase| phase == Phase::Ending) => Answer::Failed,
    };
    drop(abandon_guard);
    Some(answer)
}

/// The value of a header; `None` if it is absent or not printable ASCII text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// The value of a header, unless it is absent or empty.
fn non_empty_header(headers: &HeaderMap, name: &str) -> Option<HeaderValue> {
    headers.get(name).filter(|value| !value.is_empty()).cloned()
}

/// Parses a time in seconds, as clients write it.
fn parse_seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// The class, tenant and time limit of a request, as determined by the settings.
struct Classification {
    /// The class of the request.
    class: ClassId,
    /// The tenant of the request; `None` where the settings have no tenants.
    tenant: Option<TenantId>,
    /// How long the client waits for the answer.
    time_limit: Duration,
}

/// Finds a request's class, tenant and time limit by the settings in force, and checks that its method and
/// headers fit the class.
fn classify(active_config: &ActiveConfig, head: &Parts) -> Result<Classification, BadRequest> {
    let names = active_config.names();
    let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = ClassId(*names.classes.get(class).ok_or(BadRequest::UnknownClass)?);
    let class_settings = active_config.class(class).ok_or(BadRequest::UnknownClass)?;
    match class_settings.idempotency {
        Idempotency::Idempotent if head.method != Method::GET => return Err(BadRequest::WrongMethod),
        Idempotency::Deduplicated { .. } if non_empty_header(&head.headers, IDEMPOTENCY_KEY).is_none() => {
            return Err(BadRequest::MissingIdempotencyKey);
        }
        Idempotency::Deduplicated { .. } | Idempotency::NonIdempotent if head.method != Method::POST => {
            return Err(BadRequest::WrongMethod);
        }
        _ => {}
    }
    let tenant = match header_text(&head.headers, "x-tenant") {
        Some(name) => Some(TenantId(*names.tenants.get(name).ok_or(BadRequest::UnknownTenant)?)),
        None if names.tenants.is_empty() => None,
        None => return Err(BadRequest::UnknownTenant),
    };
    // A client that states no deadline is taken to wait as long as its class allows.
    let time_limit = match head.headers.get("x-deadline") {
        Some(value) => value.to_str().ok().and_then(parse_seconds).ok_or(BadRequest::InvalidDeadline)?,
        None => class_settings.deadline,
    };
    Ok(Classification { class, tenant, time_limit: time_limit.min(class_settings.deadline * 10) })
}

/// Reads a request including its body, and checks it against the settings in force.
async fn read_request(
    driver: &Driver,
    request: Request<Incoming>,
    body_deadline: Instant,
) -> Result<ClientRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let initial_config = driver.active_config();
    let mut classification = classify(&initial_config, &head)?;
    let request_id = non_empty_header(&head.headers, "x-request-id").ok_or(BadRequest::MissingId)?;
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return Err(BadRequest::TooLarge);
    }
    let body = match timeout_at(body_deadline, read_body(body)).await {
        Err(_) => return Err(BadRequest::BodyTimeout),
        Ok(Ok(body)) => body,
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(BadRequest::TooLarge),
        Ok(Err(_)) => return Err(BadRequest::IncompleteBody),
    };
    // Settings that took effect while the body arrived apply to it: a request must not pass without an
    // idempotency key that its class now requires.
    let active_config = driver.active_config();
    if !Rc::ptr_eq(&initial_config, &active_config) {
        classification = self::classify(&active_config, &head)?;
    }
    let now = Instant::now();
    let cost_hint_us = header_text(&head.headers, "x-cost-hint").and_then(|value| value.trim().parse().ok());
    Ok(ClientRequest {
        class: classification.class,
        tenant: classification.tenant,
        resource_key: resource_key(head.uri.query()),
        expected_work: cost_hint_us.map(Duration::from_micros),
        is_retry: header_text(&head.headers, "x-retry") == Some("1"),
        deadline: now + classification.time_limit.saturating_sub(DEADLINE_MARGIN),
        forwarded: Rc::new(ForwardedRequest {
            method: head.method,
            host: head.headers.get(HOST).cloned().unwrap_or(HeaderValue::from_static("upstream")),
            uri: path_only(head.uri),
            request_id,
            idempotency_key: non_empty_header(&head.headers, IDEMPOTENCY_KEY),
            body,
        }),
    })
}

/// Only path and query are forwarded, also of a request whose URI names the host.
fn path_only(uri: Uri) -> Uri {
    if uri.scheme().is_none() {
        return uri;
    }
    uri.into_parts().path_and_query.map(Uri::from).unwrap_or_default()
}

/// The resource that a request is about, from the query parameter `k` (hexadecimal).
fn resource_key(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}

#[cfg(test)]
mod tests;
