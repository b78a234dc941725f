//! Connections to upstreams and the attempts made on them: what is sent, and with what result.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONTENT_LENGTH, HOST, HeaderValue, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode, Uri};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use stilelead_decision::interface::{AttemptNumber, LoadReport, Outcome, RequestId, UpstreamId};
use stilelead_simulator::setup;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tokio::time::{Instant, timeout, timeout_at};

use crate::body::{MAX_BODY_BYTES, read_body};
use crate::driver::Driver;
use crate::framing::MAX_READ_BYTES;
use crate::memory::{Reservation, ReservedBytes};
use crate::permit::Permit;

/// Maximum size of a response head, and so of hyper's buffer for an upstream connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes received for one request: enough for a body in the smallest reasonable chunks
/// and some interim responses before it. A longer response is taken for one that never ends.
const MAX_ANSWER_BYTES: u64 = 512 * 1024;
/// A connection that has carried a request whose head has a larger reservation is not used again: hyper keeps the
/// buffer that the head was written from.
const MAX_KEPT_HEAD_RESERVATION: usize = 8 * 1024;
/// How long a connection may take to become ready again after a response. If the upstream answered without
/// reading the whole request, it never does.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a connection could not be opened.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer refused the connection, or the system reported another error.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// The connection was not established in time.
    #[error("connecting timed out")]
    TimedOut,
    /// The connection broke while HTTP was set up on it.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Where to connect, and how long to wait for the connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTarget {
    /// The address to connect to.
    pub address: SocketAddr,
    /// How long connecting may take.
    pub timeout: Duration,
}

/// An open connection to an upstream or to discovery. Dropping it closes the socket, even if an exchange is
/// in progress: an attempt that is no longer waited for must not complete unobserved.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests on the connection.
    pub sender: SendRequest<Full<ReservedBytes>>,
    /// Counts the bytes of the connection's current request.
    traffic: Rc<Traffic>,
    /// Aborts the task that runs HTTP on the connection, which closes the socket.
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Whether a request may be sent on the connection: the last response is complete and the peer has not
    /// closed it.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Opens a connection.
///
/// # Errors
/// The connection cannot be established.
pub async fn connect(permit: Permit, target: ConnectTarget) -> Result<Connection, ConnectError> {
    let stream = timeout(target.timeout, TcpStream::connect(target.address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    start_http(permit, stream).await
}

/// Starts HTTP on an established TCP connection.
async fn start_http(permit: Permit, stream: TcpStream) -> Result<Connection, ConnectError> {
    // Without TCP_NODELAY requests may wait for acknowledgements. A failure to set it is no reason to
    // disconnect: the upstream has paid for the connection, and would pay for each one opened in its place.
    let _ = stream.set_nodelay(true);
    let traffic = Rc::new(Traffic { written_bytes: Cell::new(0), read_allowance: Cell::new(u64::MAX) });
    let io = CountedStream { stream, traffic: Rc::clone(&traffic), _permit: permit };
    let (sender, connection) =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(io)).await?;
    let task = tokio::task::spawn_local(async move {
        // An error also shows in the request in progress on the connection, if there is one.
        let _ = connection.await;
    });
    Ok(Connection { sender, traffic, task: task.abort_handle() })
}

/// Bytes transferred on a connection for its current request.
#[derive(Debug)]
struct Traffic {
    /// Bytes of the request that the socket has accepted: a request that was never written completely was
    /// never executed.
    written_bytes: Cell<u64>,
    /// Bytes that may still be received for the current request.
    read_allowance: Cell<u64>,
}

impl Traffic {
    /// Resets the counts for a new request.
    fn begin_request(&self) {
        self.written_bytes.set(0);
        self.read_allowance.set(MAX_ANSWER_BYTES);
    }
}

/// A socket that counts the bytes transferred.
struct CountedStream {
    /// The socket.
    stream: TcpStream,
    /// Counts the bytes of the current request.
    traffic: Rc<Traffic>,
    /// Counts the socket as open until it is dropped.
    _permit: Permit,
}

impl CountedStream {
    /// Fails if anything has been received before the request is sent, left over from the previous one or
    /// received since: it must not be taken for the response. Peeks at the socket, because the runtime may
    /// not have been notified yet.
    fn check_nothing_received(&self) -> io::Result<()> {
        if self.traffic.written_bytes.get() > 0 {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::ConnectionAborted,
                "received data before the request was sent",
            )),
        }
    }

    /// Adds the bytes that a write has transferred to the count of the current request.
    fn count_written(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        let bytes = ready!(result)?;
        self.traffic.written_bytes.set(self.traffic.written_bytes.get() + bytes as u64);
        Poll::Ready(Ok(bytes))
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let limit = buffer.remaining().min(MAX_READ_BYTES);
        let mut limited = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut limited))?;
        let read_bytes = limited.filled().len();
        buffer.advance(read_bytes);
        let bytes = read_bytes as u64;
        match self.traffic.read_allowance.get().checked_sub(bytes) {
            Some(remaining) => self.traffic.read_allowance.set(remaining),
            None => {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the response is too long",
                )));
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_nothing_received()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.count_written(result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_nothing_received()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, parts);
        self.count_written(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

/// The part of a client's request that is forwarded to upstreams, the same in each attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The client's method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// The `Host` header.
    pub host: HeaderValue,
    /// The `X-Request-Id` header.
    pub request_id: HeaderValue,
    /// The `Idempotency-Key` header, if the client sent one.
    pub idempotency_key: Option<HeaderValue>,
    /// The complete body.
    pub body: ReservedBytes,
    /// The memory of a large head; `None` for a small one.
    pub head_reservation: Option<Reservation>,
}

impl ForwardedRequest {
    /// Whether the buffer of a connection that the request was written to is too large to be kept.
    fn leaves_large_buffer(&self) -> bool {
        self.head_reservation
            .as_ref()
            .is_some_and(|reservation| reservation.bytes() > MAX_KEPT_HEAD_RESERVATION)
    }

    /// The HTTP request for one attempt; `time_left` is sent as its `X-Deadline`.
    fn to_http(&self, time_left: Duration) -> Request<Full<ReservedBytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        headers.insert(HOST, self.host.clone());
        headers.insert("x-request-id", self.request_id.clone());
        if let Some(key) = &self.idempotency_key {
            headers.insert("idempotency-key", key.clone());
        }
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", time_left.as_secs_f64())) {
            headers.insert("x-deadline", value);
        }
        if self.method != Method::GET {
            headers.insert(CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        request
    }
}

/// Minimum number of bytes of a request on the socket: a low count, so that in doubt a request counts as
/// possibly executed.
fn min_bytes_on_wire(request: &Request<Full<ReservedBytes>>, body_bytes: usize) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line + headers + "\r\n".len() + body_bytes) as u64
}

/// An attempt that is to be made.
#[derive(Debug)]
pub struct AttemptSpec {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// The attempt's number within the request.
    pub attempt: AttemptNumber,
    /// The upstream to send it to.
    pub upstream: UpstreamId,
    /// The upstream's address.
    pub address: SocketAddr,
    /// The request to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// When the decisions asked for the attempt.
    pub requested_at: Instant,
    /// When the attempt is given up.
    pub deadline: Instant,
    /// The latest time at which sending may start.
    pub latest_start: Instant,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The body of the response, if the request was served.
    pub body: Option<ReservedBytes>,
    /// The upstream's load report, if the response carried one.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, body: None, load: None }
    }
}

/// How much of an attempt's request has been written.
#[derive(Debug)]
pub struct Progress {
    /// The byte counts of the latest connection; `None` before sending begins.
    traffic: RefCell<Option<Rc<Traffic>>>,
    /// The size of the request; `u64::MAX` before sending begins.
    request_bytes: Cell<u64>,
    /// When sending began on the latest connection.
    send_started_at: Cell<Option<Instant>>,
}

impl Default for Progress {
    fn default() -> Self {
        // The size is not known before sending begins, and must not count as reached.
        Self {
            traffic: RefCell::default(),
            request_bytes: Cell::new(u64::MAX),
            send_started_at: Cell::default(),
        }
    }
}

impl Progress {
    /// Whether the last byte of the request is written, so that it may be executed.
    #[must_use]
    pub fn is_fully_written(&self) -> bool {
        self.written_bytes() >= self.request_bytes.get()
    }

    /// Whether the first byte of the request is written.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.written_bytes() > 0
    }

    /// How long the upstream has had the request; counted from `requested_at` if sending never began. The
    /// time for connecting says something about the network and not about the upstream's work: if it were
    /// included, slow connects would look like congestion.
    #[must_use]
    pub fn time_at_upstream(&self, requested_at: Instant) -> Duration {
        self.send_started_at.get().unwrap_or(requested_at).elapsed()
    }

    /// The number of bytes of the request that the socket has accepted.
    fn written_bytes(&self) -> u64 {
        self.traffic.borrow().as_ref().map_or(0, |traffic| traffic.written_bytes.get())
    }
}

/// Makes an attempt and reports its result to the driver; an outcome sent through `cancelled` ends it
/// early.
pub async fn run_attempt(
    driver: Rc<Driver>,
    spec: AttemptSpec,
    progress: Rc<Progress>,
    cancelled: oneshot::Receiver<Outcome>,
) {
    let (result, connection) = await_result(&driver, &spec, &progress, cancelled).await;
    driver.attempt_ended(&spec, &progress, result);
    // The result is reported first; then the connection becomes ready for the next request.
    if let Some(mut connection) = connection
        && !spec.forwarded.leaves_large_buffer()
        && let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await
    {
        driver.store_idle_connection(spec.upstream, spec.address, connection);
    }
}

/// Runs an attempt until it has a result, its deadline passes or it is cancelled; also returns its
/// connection if that may carry another request.
async fn await_result(
    driver: &Rc<Driver>,
    spec: &AttemptSpec,
    progress: &Progress,
    cancelled: oneshot::Receiver<Outcome>,
) -> (AttemptResult, Option<Connection>) {
    let mut exchange = pin!(timeout_at(spec.deadline, exchange(driver, spec, progress)));
    let finished = tokio::select! {
        biased;
        finished = exchange.as_mut() => finished,
        outcome = cancelled => match outcome {
            // The attempt was cancelled while it waited for its connection, but its request was completely
            // written before this task ran: the upstream executes it, so the response is awaited.
            Ok(Outcome::ConnectFailed) if progress.is_fully_written() => exchange.await,
            Ok(outcome) => return (outcome.into(), None),
            // The sender was dropped, so that nothing can cancel the attempt any more.
            Err(_) => exchange.await,
        },
    };
    finished.unwrap_or_else(|_| {
        // The exchange has ended and its connection is closed: if the last byte was not written, the
        // request is never executed.
        let outcome = if progress.is_fully_written() { Outcome::TimedOut } else { Outcome::ConnectFailed };
        (outcome.into(), None)
    })
}

/// Sends an attempt's request on an idle or a new connection and reads the response; also returns the
/// connection if it may carry another request.
async fn exchange(
    driver: &Rc<Driver>,
    spec: &AttemptSpec,
    progress: &Progress,
) -> (AttemptResult, Option<Connection>) {
    loop {
        let idle = driver.take_idle_connection(spec.upstream);
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let time_to_start = spec.latest_start.saturating_duration_since(Instant::now());
                let target = ConnectTarget {
                    address: spec.address,
                    timeout: driver.active_config().connect_timeout().min(time_to_start),
                };
                // A lack of sockets is not the upstream's failure.
                let Some(permit) = driver.try_permit() else { return (Outcome::NotSent.into(), None) };
                match connect(permit, target).await {
                    Ok(connection) => connection,
                    Err(_) => return (Outcome::ConnectFailed.into(), None),
                }
            }
        };
        // While the connection was opened the upstream may have begun to drain or been removed, and gets no
        // new requests. Nor is a retry sent once upstreams may have forgotten the request that they would
        // recognise it by.
        if !driver.accepts_new_requests(spec.upstream, spec.address) || Instant::now() > spec.latest_start {
            return (Outcome::ConnectFailed.into(), None);
        }
        let request = spec.forwarded.to_http(spec.deadline.saturating_duration_since(Instant::now()));
        progress.send_started_at.set(Some(Instant::now()));
        progress.request_bytes.set(min_bytes_on_wire(&request, spec.forwarded.body.len()));
        connection.traffic.begin_request();
        progress.traffic.replace(Some(Rc::clone(&connection.traffic)));
        if let Ok(response) = connection.sender.send_request(request).await {
            return match read_answer(driver, response).await {
                Some(result) => (result, Some(connection)),
                None => (Outcome::Reset.into(), None),
            };
        }
        // Nothing was sent on an idle connection that was found closed, or with unexpected bytes, before
        // the first byte was written: another one is tried.
        if !is_new && !progress.has_begun() {
            continue;
        }
        let outcome = if progress.is_fully_written() { Outcome::Reset } else { Outcome::ConnectFailed };
        return (outcome.into(), None);
    }
}

/// Reads a complete response. `None` if it cannot be used: it is incomplete or too large, or its length may
/// be misread. Whatever it said, the request may have been executed.
async fn read_answer(driver: &Driver, response: Response<Incoming>) -> Option<AttemptResult> {
    let (head, body) = response.into_parts();
    let load = head.headers.get("x-load").and_then(|value| parse_load_report(driver, value));
    // A 503 or 504 without `X-Not-Run: 1` is the upstream's own or from a tier behind it, so that the request
    // may have been executed.
    let not_run = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-not-run").is_some_and(|value| value.as_bytes() == b"1");
    let mut transfer_encodings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let has_clear_end = match (transfer_encodings.next(), transfer_encodings.next()) {
        // Without a length the body ends when the connection closes; a reset is an error of the body.
        (None, _) => true,
        (Some(encoding), None) => {
            encoding.as_bytes().eq_ignore_ascii_case(b"chunked") && !head.headers.contains_key(CONTENT_LENGTH)
        }
        // Of several `Transfer-Encoding` headers only the last would be looked at.
        (Some(_), Some(_)) => false,
    };
    if !has_clear_end || body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return None;
    }
    let body = read_body(driver.answer_memory(), body).await.ok()?;
    let outcome = match head.status {
        StatusCode::OK => Outcome::Good,
        _ if not_run => Outcome::Refused,
        _ => Outcome::Error,
    };
    Some(AttemptResult { outcome, body: (outcome == Outcome::Good).then_some(body), load })
}

/// Parses an `X-Load` header of the form `name=value,name=value`; fields that the settings do not name are
/// ignored.
fn parse_load_report(driver: &Driver, value: &HeaderValue) -> Option<LoadReport> {
    let active_config = driver.active_config();
    let mut report = LoadReport::default();
    for part in value.to_str().ok()?.split(',') {
        let (name, value) = part.split_once('=')?;
        let name = name.trim();
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        if active_config.names().load_fields.iter().any(|field| field == name) {
            setup::set_load_field(&mut report, name, value);
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
