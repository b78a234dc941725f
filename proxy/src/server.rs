//! The client side: connections and requests, `/_health` and `/_metrics`, and the drain at the end of the
//! program.

use std::cell::{Cell, RefCell};
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
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use socket2::SockRef;
use stilelead_decision::interface::RequestId;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};

use crate::config::{Config, ConfigError};
use crate::driver::{Answer, ClientRequest, Driver};
use crate::framing::{
    AmbiguousLength, ClientChange, InspectedStream, MAX_HEAD_BYTES, PendingInput, discard,
    disconnected_after_excess,
};
use crate::memory::ReservedBytes;
use crate::metrics::{self, CloseReason, UnservedCause};
use crate::reload;
use crate::request_ids::RepeatedId;

mod clients;
mod rejection;
mod request;

use clients::{ARRIVAL_GRACE, ClientConnection, Clients, IDLE_TIMEOUT, Phase};
use rejection::{Rejection, retry_after_value};
pub use request::DEADLINE_MARGIN;
use request::{BadRequest, read_request};

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
/// that arrives at the end of that time still has time for its answer.
const DRAIN_OPEN_FRACTION: f64 = 0.9;
/// Minimum time for which new connections are still accepted once a drain closes the existing ones; also the
/// time in which the last answers have to be sent once unanswered requests have failed.
const FINAL_ACCEPT_TIME: Duration = Duration::from_millis(150);
/// How long a connection is still read after the balancer has closed its side, so that the last answer
/// arrives: closing a socket with unread bytes resets the connection and discards what the system has not
/// delivered yet. A large answer may take this long.
const LINGER_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of bytes that are read and discarded before a socket is closed: a client that sends more
/// than a request does not read its answers.
const MAX_LINGER_BYTES: usize = 256 * 1024;
/// How often to check whether the drain is complete.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time for a request to arrive completely, including its body; counts from the same moment as
/// `HEAD_TIMEOUT`.
const BODY_TIMEOUT: Duration = Duration::from_millis(2500);
/// Path of the operator's metrics.
const METRICS_PATH: &str = "/_metrics";
/// Pause after a failed accept, so that running out of descriptors does not cause a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(5);

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
        let has_memory = clients.driver.has_memory_for_connection();
        tokio::select! {
            biased;
            accepted = listener.accept(), if has_memory => match accepted {
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
            () = clients.driver.memory_limit_changed(), if has_memory => {}
            // New connections wait in the system's queue until one is closed.
            () = sleep(ACCEPT_RETRY_DELAY), if !has_memory => clients.evict_one(),
        }
    }
}

/// Serves a client connection until it is closed, by either side.
async fn serve_client(clients: &Rc<Clients>, stream: TcpStream, connection: &Rc<ClientConnection>) {
    // Without TCP_NODELAY answers would wait for acknowledgements; a failure to set it is no reason to
    // disconnect.
    let _ = stream.set_nodelay(true);
    let stream = Rc::new(stream);
    if let Some(rejection) = serve_requests(clients, &stream, connection).await {
        rejection.count(clients.driver.metrics());
        rejection.write_to(&stream, clients.driver.active_config().max_retry_after());
    }
    // The buffers for requests and answers are free by now, and only the socket is left.
    connection.input.clear();
    linger(&stream, connection).await;
}

/// Serves the requests on a client connection until no more are to be answered. Returns the answer to a
/// request of which only a part has arrived.
async fn serve_requests(
    clients: &Rc<Clients>,
    stream: &Rc<TcpStream>,
    connection: &Rc<ClientConnection>,
) -> Option<Rejection> {
    let service = service_fn(|request| {
        let driver = &clients.driver;
        // The body deadline counts from the request's first byte, or from when the connection was accepted.
        let began_at = connection
            .input
            .pending_since()
            .filter(|_| connection.used.get())
            .unwrap_or(connection.last_activity.get());
        let framing = connection.input.consume_request();
        connection.input.arrival().begin_request();
        connection.busy.set(true);
        connection.used.set(true);
        async move {
            // An attempt needs a socket too; an idle client connection must not keep it from getting one.
            if driver.short_of_sockets() {
                clients.evict_one();
            }
            let mut response =
                respond(clients, request, framing, began_at + BODY_TIMEOUT, connection, stream).await;
            connection.input.arrival().end_request();
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
    let (input, output) = (Rc::clone(&connection.input), Rc::clone(&connection.output));
    let inspected_stream = InspectedStream::new(Rc::clone(stream), input, output);
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
            () = connection.input.arrival().connection_evicted() => CloseReason::Memory,
        }
    };
    let reason = tokio::select! {
        biased;
        _ = http_connection.as_mut() => {
            clients.driver.metrics().connection_closed(CloseReason::Served);
            return None;
        }
        reason = close_reason => reason,
        reason = wait_until_expired(connection) => reason,
    };
    clients.driver.metrics().connection_closed(reason);
    tracing::debug!(?reason, used = connection.used.get(), "closing client connection");
    if reason == CloseReason::Stalled {
        return None;
    }
    // A request that is arriving is read first, even if the runtime has not been notified of it yet: its
    // last byte may be on its way, and the request would be lost.
    let closing_since = Instant::now();
    let has_pending_input = || connection.input.pending_since().is_some() || has_unread_bytes(stream);
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
            ended = &mut input_progress => if ended { return None },
            () = sleep_until(began_at.unwrap_or(closing_since) + ARRIVAL_GRACE) => break,
        }
    }
    if connection.has_partial_request() {
        return Some(Rejection::for_close(reason));
    }
    http_connection.as_mut().graceful_shutdown();
    // A connection between requests ends now, but one that never had a request still waits for the first. A
    // new connection is given a moment, because its request may already be in the socket, and is then closed
    // as well.
    if !connection.used.get() {
        tokio::select! {
            biased;
            _ = http_connection.as_mut() => return None,
            () = sleep_until(connection.last_activity.get() + ARRIVAL_GRACE) => {}
        }
        if !connection.used.get() {
            return connection.has_partial_request().then(|| Rejection::for_close(reason));
        }
    }
    tokio::select! {
        _ = http_connection => {}
        () = wait_until_stalled(connection) => {}
    }
    None
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
    tokio::select! {
        _ = discard(stream, MAX_LINGER_BYTES) => {}
        () = sleep_until(deadline) => {}
        () = connection.close_requested.notified() => {}
    }
}

/// Completes when a connection has had no request, or an incomplete one, for too long, or when its client
/// does not take its answer; returns which.
async fn wait_until_expired(connection: &ClientConnection) -> CloseReason {
    loop {
        let now = Instant::now();
        match connection.expires_at() {
            Some((expires_at, reason)) if expires_at <= now => return reason,
            Some((expires_at, _)) => sleep_until(expires_at).await,
            // A request that is being answered has its own timeouts.
            None => sleep_until(now + IDLE_TIMEOUT).await,
        }
    }
}

/// Completes when the client of a connection does not take its answer.
async fn wait_until_stalled(connection: &ClientConnection) {
    loop {
        let now = Instant::now();
        match connection.stalls_at() {
            Some(stalls_at) if stalls_at <= now => return,
            Some(stalls_at) => sleep_until(stalls_at).await,
            None => sleep_until(now + IDLE_TIMEOUT).await,
        }
    }
}

/// Makes the response to a request; `framing` tells whether its length is unambiguous.
async fn respond(
    clients: &Clients,
    request: Request<Incoming>,
    framing: Result<(), AmbiguousLength>,
    body_deadline: Instant,
    connection: &ClientConnection,
    stream: &TcpStream,
) -> Response<Full<ReservedBytes>> {
    let driver = &clients.driver;
    let input = &connection.input;
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
        let request = read_request(driver, request, body_deadline, input.arrival()).await?;
        connection.answer_due_at.set(request.deadline + DEADLINE_MARGIN);
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
        Ok(await_answer(clients, request, input, stream).await?)
    };
    let (mut response, must_close) = match answer.await {
        Ok(answer) => {
            driver.metrics().request_answered(answer_label(&answer));
            (client_response(answer), chunked)
        }
        Err(BadRequest::OutOfMemory(_)) => {
            driver.metrics().request_unserved(UnservedCause::Memory);
            driver.metrics().request_answered(metrics::AnswerKind::Refused);
            tracing::debug!(reason = ?UnservedCause::Memory, "request refused");
            (client_response(Answer::Refused { retry_after: driver.active_config().max_retry_after() }), true)
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
fn client_response(answer: Answer) -> Response<Full<ReservedBytes>> {
    match answer {
        Answer::Served(body) => Response::new(Full::new(body)),
        Answer::Refused { retry_after } => {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
            let value = retry_after.map(|delay| HeaderValue::from_str(&retry_after_value(delay)));
            if let Some(Ok(value)) = value {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
            response
        }
        Answer::Failed => text_response(StatusCode::BAD_GATEWAY, "failed"),
    }
}

/// A response with this status and body.
fn text_response(status: StatusCode, text: impl Into<Bytes>) -> Response<Full<ReservedBytes>> {
    let mut response = Response::new(Full::new(text.into().into()));
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

/// Waits for the final answer to a request.
///
/// # Errors
/// A request with the same id is in progress, or may have run.
async fn await_answer(
    clients: &Clients,
    request: ClientRequest,
    input: &PendingInput,
    stream: &TcpStream,
) -> Result<Answer, RepeatedId> {
    let driver = &clients.driver;
    let mut phases = clients.phases.clone();
    let answer_deadline = request.deadline + FINAL_ANSWER_GRACE;
    let (id, answer) = driver.submit(request)?;
    let abandon_guard = AbandonOnDrop { driver: Rc::clone(driver), id };
    let client_disconnected = async {
        if input.client_changed(stream).await == ClientChange::Unobservable {
            driver.forbid_further_attempts(id);
            disconnected_after_excess(stream).await;
        }
    };
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
    Ok(answer)
}

#[cfg(test)]
mod tests;
