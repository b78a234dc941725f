//! Clients: their connections and requests, `/_health`, and the end of the program.

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

use crate::config::{Config, ConfigError};
use crate::driver::{Answer, ClientRequest, Driver};
use crate::framing::{AmbiguousLength, InspectedStream, PendingInput};
use crate::in_force::InForce;
use crate::metrics::{self, Close, Reason};
use crate::reload;
use crate::upstream::{ForwardedRequest, MAX_BODY_BYTES, read_body};

/// Taken off a client's time, and again in each tier below: the answer must arrive before it is up. An answer
/// goes out within 0.9 ms for 99 in 100 requests (r7909), so this leaves room for a busy core; 30 ms took from
/// clients that wait 80 ms all that the tier below needs.
pub const DEADLINE_MARGIN: Duration = Duration::from_millis(8);
/// Left to the decisions for a last word past that, before the answer is given for them.
pub const FINAL_ANSWER_GRACE: Duration = Duration::from_millis(10);
/// The program may be killed so long after SIGTERM, beside the longest deadline...
const KILL_GRACE: Duration = Duration::from_millis(700);
/// ...of which no more than this counts.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// All answers are out so long before that.
const KILL_MARGIN: Duration = Duration::from_millis(200);
/// Part of the time until then in which connections go on as before: clients may have no other balancer until
/// this one is back, and use their connections for as long as these stay open. What comes at the end of it
/// still has some 0.35 s for its answer, three times what half of the answers took on r7000; there 0.6 left
/// clients without a balancer for a second longer.
const DRAIN_OPEN_FRACTION: f64 = 0.9;
/// Clients' connections that are kept free until then: clients bring no new ones to a balancer that ends, and
/// where none is free for a moment it may be taken for gone while it could still serve. Two, as one may be taken
/// while a refusal is on its way on the other; a quarter of them refused every second request on r7000.
const MIN_FREE_CONNECTIONS: usize = 2;
/// How long new connections are let in after that at the least.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(150);
/// How long a connection that should close is still given for a request that may be on its way: a new one for its
/// first, any for the rest of one that has begun to come.
const ARRIVAL_GRACE: Duration = Duration::from_millis(100);
/// How long a connection that we have ended is still read, so that its last answer arrives: closed over bytes that
/// nobody has read it is reset, and what the system still holds of the answer is lost. A large one may take so long...
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// ...and so many bytes are thrown away at most meanwhile: who sends more than a request does not read.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How often the end of a drain is looked for.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A head must be whole so long after its first byte, or after the connection came: whoever sends less is owed
/// an end of it within 3 s, and holds a socket until then.
const HEAD_TIMEOUT: Duration = Duration::from_secs(2);
/// Its body must have come so long after the same moment.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// A connection between requests is closed after this: clients that asked once and stay must not add up.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection between requests may be closed from then on when sockets run short; sooner is a last resort.
const MIN_IDLE_TO_EVICT: Duration = Duration::from_secs(2);
/// Bytes of a head at most, and so of the buffer that hyper keeps for a connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// The header by which upstreams know a repeat.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Where the operator's figures are.
const METRICS_PATH: &str = "/_metrics";
/// Wait after a failed accept, so that running out of descriptors does not spin.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Where the program stands between SIGTERM and its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Serving,
    /// Connections between requests are closed, others with their answer.
    Closing,
    /// What has no answer gets none any more.
    Ending,
}

/// A client's connection as seen from outside it.
struct ClientConnection {
    /// A request has come on it whose answer is not yet out.
    busy: Cell<bool>,
    /// It has ever carried a request.
    used: Cell<bool>,
    /// When it came, or its latest answer was made.
    last_activity: Cell<Instant>,
    /// What has come in of a next request.
    input: Rc<PendingInput>,
    /// It is over for us; at most its last answer is on its way.
    finished: Cell<bool>,
    /// Closes it once it is between requests.
    close_requested: Notify,
}

impl ClientConnection {
    /// When to close it unless a request comes.
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

    /// How little is lost with it, the least first: one that is ended, or came and brings no request, one long idle,
    /// any other, one whose next request is coming in.
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

    /// Whether it may be closed for the sake of others: clients may count on it for a while.
    fn is_evictable(&self) -> bool {
        self.eviction_rank().0 <= 1
    }
}

/// The clients' connections.
struct Clients {
    driver: Rc<Driver>,
    phases: watch::Receiver<Phase>,
    /// By the order of their coming.
    connections: RefCell<BTreeMap<u64, Rc<ClientConnection>>>,
    next_number: Cell<u64>,
    /// SIGTERM has come.
    draining: Cell<bool>,
}

impl Clients {
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
        // Counted from here on, or a burst of connections would not see itself.
        let permit = self.driver.unconditional_permit();
        let clients = Rc::clone(self);
        spawn_local(async move {
            serve_client(&clients, stream, &connection).await;
            clients.connections.borrow_mut().remove(&number);
            drop(permit);
        });
    }

    /// Closes a connection between requests: a client's that may be evicted, which costs it a new one at most, or else
    /// one to an upstream, or else any client's.
    fn evict_one(&self) {
        let connections = self.connections.borrow();
        let candidate = connections
            .values()
            .filter(|connection| !connection.busy.get())
            .min_by_key(|connection| connection.eviction_rank());
        if candidate.is_some_and(|connection| connection.is_evictable())
            || !self.driver.close_least_recently_used()
        {
            let Some(connection) = candidate else { return };
            // Marked, so that the next in need finds another.
            connection.busy.set(true);
            connection.close_requested.notify_one();
        }
    }

    /// Whether a request would leave clients too few free connections to go on with. Serving is about to end, so
    /// a call refused at once, while its client can still reach another balancer, is worth less than the many
    /// that the free ones still bring. It guards against any pool that gives a busy balancer up, and does harm
    /// where each connection is a client of its own, which has no use for those of others.
    fn lacks_free_connections(&self) -> bool {
        if !self.draining.get() {
            return false;
        }
        let connections = self.connections.borrow();
        let free = connections.values().filter(|connection| !connection.busy.get()).count();
        // Of few, those kept would be most of them.
        connections.len() >= MIN_FREE_CONNECTIONS * 2 && free < MIN_FREE_CONNECTIONS
    }

    /// Whether an answer may still be owed on some connection.
    fn may_owe_answers(&self) -> bool {
        self.connections.borrow().values().any(|connection| connection.used.get())
    }
}

/// Binds the address of the configuration and serves until `stop` and the drain after it are over.
/// `replaced` brings each configuration that takes the place of another.
///
/// # Errors
/// The address is not free, or the settings make no sense.
pub async fn serve(
    config: Config,
    reloads: UnboundedReceiver<Result<Config, ConfigError>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let listener = TcpListener::bind(config.listen).await?;
    tracing::info!("{} listens on {}", config.name, listener.local_addr()?);
    serve_on(listener, config, reloads, stop).await
}

/// Serves on a listener until `stop` and the drain after it are over; the rest is as in [`serve`].
///
/// # Errors
/// The settings make no sense.
pub async fn serve_on(
    listener: TcpListener,
    config: Config,
    reloads: UnboundedReceiver<Result<Config, ConfigError>>,
    stop: impl Future<Output = ()>,
) -> io::Result<()> {
    let driver = Driver::start(config).map_err(io::Error::other)?;
    spawn_local(reload::follow(Rc::clone(&driver), reloads));
    let (phase, phases) = watch::channel(Phase::Serving);
    let clients = Rc::new(Clients {
        driver,
        phases,
        connections: RefCell::default(),
        next_number: Cell::new(0),
        draining: Cell::new(false),
    });
    accept_until(&listener, &clients, stop).await;
    let longest_deadline = clients.driver.in_force().longest_deadline();
    let drain_time = (longest_deadline.min(MAX_COUNTED_DEADLINE) + KILL_GRACE).saturating_sub(KILL_MARGIN);
    let drain_deadline = Instant::now() + drain_time;
    clients.driver.set_shutdown_deadline(drain_deadline);
    clients.draining.set(true);
    accept_until(&listener, &clients, sleep(drain_time.mul_f64(DRAIN_OPEN_FRACTION))).await;
    let _ = phase.send(Phase::Closing);
    accept_until(&listener, &clients, sleep(FINAL_ACCEPT_TIME)).await;
    // Connections that carried a request end with its answer. One that never did is owed nothing; a client
    // that never takes its answer must not hold up the end.
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
                    // Out of descriptors, most likely: the loop goes on with one given up.
                    // At most a line a second, or the log would cost more than the trouble.
                    if last_logged_at.is_none_or(|at| at.elapsed() >= Duration::from_secs(1)) {
                        tracing::warn!(%error, "a connection could not be accepted");
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

async fn serve_client(clients: &Rc<Clients>, stream: TcpStream, connection: &Rc<ClientConnection>) {
    // Without it answers would wait for acknowledgements; one that can't be set is no reason to hang up.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    let service = service_fn(|request| {
        let (driver, stream) = (&clients.driver, Rc::clone(&stream));
        // What it began with tells when it must be whole.
        let began_at = connection
            .input
            .pending_since()
            .filter(|_| connection.used.get())
            .unwrap_or(connection.last_activity.get());
        let framing = connection.input.consume_request();
        connection.busy.set(true);
        connection.used.set(true);
        async move {
            // Its attempt wants a socket too, which clients that only stand by must not keep from it.
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
    // The time for a head is kept below, as it depends on what came before.
    server.timer(TokioTimer::new()).header_read_timeout(None).max_buf_size(MAX_HEAD_BYTES);
    let inspected_stream = InspectedStream::new(Rc::clone(&stream), Rc::clone(&connection.input));
    let mut http_connection = pin!(server.serve_connection(TokioIo::new(inspected_stream), service));
    let mut phases = clients.phases.clone();
    let close_reason = async {
        tokio::select! {
            // An error means that the program is ending.
            _ = phases.wait_for(|&phase| phase != Phase::Serving) => Close::ShuttingDown,
            // Its socket is wanted now; it has been idle for long, and its last answer has arrived.
            () = connection.close_requested.notified() => {
                connection.finished.set(true);
                Close::Evicted
            }
        }
    };
    let reason = tokio::select! {
        biased;
        _ = http_connection.as_mut() => {
            clients.driver.metrics().connection_closed(Close::Served);
            return linger(&stream, connection).await;
        }
        reason = close_reason => reason,
        () = wait_until_expired(connection) => Close::Idle,
    };
    clients.driver.metrics().connection_closed(reason);
    tracing::debug!(?reason, used = connection.used.get(), "client connection to be closed");
    // A request that is coming in is taken first, also where the runtime has not yet heard of it: its last byte may be
    // on its way, and would be lost.
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
    // It ends now if it is between requests, but waits for the first on one that never had any: a new one gets
    // a moment, as its request may be in the socket, and is then closed like the others.
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

/// Whether the system holds bytes of the client's that nobody has read.
fn has_unread_bytes(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|bytes| bytes > 0)
}

/// Ends a connection and waits for the client to do so too. What comes until then is no request any more: a client
/// whose request crosses the end sends it once more elsewhere.
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

/// Waits until a connection has gone without a request for too long.
async fn wait_until_expired(connection: &ClientConnection) {
    loop {
        let now = Instant::now();
        // A request that is being answered has time-outs of its own.
        let deadline = connection.expires_at().unwrap_or(now + IDLE_TIMEOUT);
        if deadline <= now {
            return;
        }
        sleep_until(deadline).await;
    }
}

/// What is wrong with a client's request.
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
    fn status(&self) -> StatusCode {
        match self {
            Self::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BodyTimeout => StatusCode::REQUEST_TIMEOUT,
            Self::DuplicateId => StatusCode::CONFLICT,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// Whether it leaves in doubt where the next request begins.
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
    // Where a chunked body ends is not noted, so that what follows it would be read unseen.
    let chunked = request.headers().contains_key(TRANSFER_ENCODING);
    let answer = async {
        framing?;
        let request = read_request(driver, request, body_deadline).await?;
        if input.is_followed_by_garbage() {
            return Err(BadRequest::TrailingGarbage);
        }
        // No socket is left for an attempt either, or no connection for clients; nothing has run.
        if driver.over_socket_budget() || clients.lacks_free_connections() {
            let reason = if driver.over_socket_budget() { Reason::Descriptors } else { Reason::ShuttingDown };
            driver.metrics().request_unserved(reason);
            tracing::debug!(id = %request.forwarded.request_id.as_bytes().escape_ascii(), ?reason, "request refused");
            return Ok(Answer::Refused { retry_after: driver.in_force().retry_after() });
        }
        await_answer(clients, request, input.client_disconnected(stream)).await.ok_or(BadRequest::DuplicateId)
    };
    let (mut response, must_close) = match answer.await {
        Ok(answer) => {
            driver.metrics().request_answered(answer_label(&answer));
            (client_response(answer), chunked)
        }
        Err(error) => {
            driver.metrics().request_answered(metrics::Answer::Malformed);
            tracing::debug!(%error, "request rejected");
            (text_response(error.status(), error.to_string()), chunked || error.closes_connection())
        }
    };
    if must_close || input.has_overflowed() {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn answer_label(answer: &Answer) -> metrics::Answer {
    match answer {
        Answer::Served(_) => metrics::Answer::Served,
        Answer::Refused { .. } => metrics::Answer::Refused,
        Answer::Failed => metrics::Answer::Failed,
    }
}

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

fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(text.into()));
    *response.status_mut() = status;
    response
}

/// Tells the driver of a client that leaves before its answer: the connection drops this with the request.
struct AbandonOnDrop {
    driver: Rc<Driver>,
    id: RequestId,
}

impl Drop for AbandonOnDrop {
    fn drop(&mut self) {
        self.driver.abandon(self.id);
    }
}

/// Has the request answered; `None` if one with its id is open.
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
        // Nobody reads this one; the connection finds the same end behind it.
        () = client_disconnected => Answer::Failed,
        () = sleep_until(answer_deadline) => Answer::Failed,
        // The program ends: better a failure than a connection that breaks.
        _ = phases.wait_for(|&phase| phase == Phase::Ending) => Answer::Failed,
    };
    drop(abandon_guard);
    Some(answer)
}

fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// A header that says something.
fn non_empty_header(headers: &HeaderMap, name: &str) -> Option<HeaderValue> {
    headers.get(name).filter(|value| !value.is_empty()).cloned()
}

/// Seconds as a client writes them.
fn parse_seconds(value: &str) -> Option<Duration> {
    value.trim().parse().ok().and_then(|seconds| Duration::try_from_secs_f64(seconds).ok())
}

/// What the settings say of a request.
struct Classification {
    class: ClassId,
    tenant: Option<TenantId>,
    /// How long its client waits.
    time_limit: Duration,
}

/// Reads a request's head by the settings in force.
fn classify(in_force: &InForce, head: &Parts) -> Result<Classification, BadRequest> {
    let names = in_force.names();
    let class = head.uri.path().trim_start_matches('/').split('/').next().unwrap_or_default();
    let class = ClassId(*names.classes.get(class).ok_or(BadRequest::UnknownClass)?);
    let class_settings = in_force.class(class).ok_or(BadRequest::UnknownClass)?;
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
    // A client that does not say how long it waits is held to wait as long as its class allows.
    let time_limit = match head.headers.get("x-deadline") {
        Some(value) => value.to_str().ok().and_then(parse_seconds).ok_or(BadRequest::InvalidDeadline)?,
        None => class_settings.deadline,
    };
    Ok(Classification { class, tenant, time_limit: time_limit.min(class_settings.deadline * 10) })
}

/// Reads a request to its last byte.
async fn read_request(
    driver: &Driver,
    request: Request<Incoming>,
    body_deadline: Instant,
) -> Result<ClientRequest, BadRequest> {
    let (head, body) = request.into_parts();
    let initial_in_force = driver.in_force();
    let mut classification = classify(&initial_in_force, &head)?;
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
    // What came into force while it came in holds for it: an effect that asks for a key must not pass without one.
    let in_force = driver.in_force();
    if !Rc::ptr_eq(&initial_in_force, &in_force) {
        classification = self::classify(&in_force, &head)?;
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

/// What goes on is the path, also of a request that names its host there.
fn path_only(uri: Uri) -> Uri {
    if uri.scheme().is_none() {
        return uri;
    }
    uri.into_parts().path_and_query.map(Uri::from).unwrap_or_default()
}

/// What a request is about, from the query parameter `k`.
fn resource_key(query: Option<&str>) -> Option<u64> {
    let value = query?.split('&').find_map(|pair| pair.strip_prefix("k="))?;
    u64::from_str_radix(value, 16).ok()
}

#[cfg(test)]
mod tests;
