//! Connections to upstreams and the attempts on them: what is sent, and what became of it.

use std::cell::{Cell, RefCell};
use std::error::Error;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
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

use crate::driver::Driver;
use crate::permit::Permit;

/// Bytes of a body at most, either way.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Bytes of an answer's head at most, and so of the buffer that hyper keeps for a connection.
const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Bytes that may come in for one request: a body in the smallest chunks that are still sensible, and some
/// interim answers before it. More is an answer that does not end.
const MAX_ANSWER_BYTES: u64 = 512 * 1024;
/// How long a connection may take to be ready again after an answer. One whose upstream answered without
/// reading the request to its end never is.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// Why there is no connection.
#[derive(Debug, Error)]
pub enum ConnectError {
    /// The peer does not take it.
    #[error("{0}")]
    Failed(#[from] io::Error),
    /// It did not come up in time.
    #[error("it did not come up in time")]
    TimedOut,
    /// It broke as it came up.
    #[error("{0}")]
    Broken(#[from] hyper::Error),
}

/// Where to connect and how long to wait for it.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTarget {
    /// The address.
    pub address: SocketAddr,
    /// The longest wait.
    pub timeout: Duration,
}

/// An open connection. Dropping it closes the socket, whatever is still under way on it: an attempt that is
/// no longer waited for must not come to its end unseen.
#[derive(Debug)]
pub struct Connection {
    /// Sends a request.
    pub sender: SendRequest<Full<Bytes>>,
    traffic: Rc<Traffic>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Whether a request may go out on it: the last answer is through and the peer has not closed.
    #[must_use]
    pub fn is_free(&self) -> bool {
        self.sender.is_ready()
    }
}

/// Opens a connection.
///
/// # Errors
/// It does not come up.
pub async fn connect(permit: Permit, target: ConnectTarget) -> Result<Connection, ConnectError> {
    let stream = timeout(target.timeout, TcpStream::connect(target.address))
        .await
        .map_err(|_| ConnectError::TimedOut)??;
    start_http(permit, stream).await
}

/// Makes a connection of a stream that has come up.
async fn start_http(permit: Permit, stream: TcpStream) -> Result<Connection, ConnectError> {
    // Without it requests may wait for acknowledgements; one that can't be set is no reason to hang up, as the
    // upstream has paid for the connection, and for each that would be opened in its place.
    let _ = stream.set_nodelay(true);
    let traffic = Rc::new(Traffic { written_bytes: Cell::new(0), read_allowance: Cell::new(u64::MAX) });
    let io = CountedStream { stream, traffic: Rc::clone(&traffic), _permit: permit };
    let (sender, connection) =
        http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(io)).await?;
    let task = tokio::task::spawn_local(async move {
        // How it ends shows in the request that is out on it, if one is.
        let _ = connection.await;
    });
    Ok(Connection { sender, traffic, task: task.abort_handle() })
}

/// What has gone over a connection for its current request.
#[derive(Debug)]
struct Traffic {
    /// Bytes of the request that the socket has taken: what was never written whole never ran.
    written_bytes: Cell<u64>,
    /// Bytes that may still be read.
    read_allowance: Cell<u64>,
}

impl Traffic {
    fn begin_request(&self) {
        self.written_bytes.set(0);
        self.read_allowance.set(MAX_ANSWER_BYTES);
    }
}

/// A socket that counts.
struct CountedStream {
    stream: TcpStream,
    traffic: Rc<Traffic>,
    _permit: Permit,
}

impl CountedStream {
    /// Nothing that has come before a request may answer it: not what was left over from the one before, nor
    /// what came since. The socket itself is asked, as the runtime may not have heard of it yet.
    fn check_nothing_received(&self) -> io::Result<()> {
        if self.traffic.written_bytes.get() > 0 {
            return Ok(());
        }
        match SockRef::from(&self.stream).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(()),
            Err(error) => Err(error),
            Ok(_) => {
                Err(io::Error::new(io::ErrorKind::ConnectionAborted, "something came before the request"))
            }
        }
    }

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
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let bytes = (buffer.filled().len() - filled_before) as u64;
        match self.traffic.read_allowance.get().checked_sub(bytes) {
            Some(remaining) => self.traffic.read_allowance.set(remaining),
            None => {
                return Poll::Ready(Err(io::Error::new(
                    io::ErrorKind::InvalidData,
                    "the answer is too long",
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

/// What of a client's request goes on to upstreams, the same in each attempt.
#[derive(Debug)]
pub struct ForwardedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// `Host`.
    pub host: HeaderValue,
    /// `X-Request-Id`.
    pub request_id: HeaderValue,
    /// `Idempotency-Key`.
    pub idempotency_key: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}

impl ForwardedRequest {
    fn to_http(&self, time_left: Duration) -> Request<Full<Bytes>> {
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

/// Bytes of a request on the socket, as few as they can be: counted low, so that a doubt is settled as 'may
/// have run'.
fn min_bytes_on_wire(request: &Request<Full<Bytes>>, body_bytes: usize) -> u64 {
    let path = request.uri().path_and_query().map_or(1, |path| path.as_str().len());
    let line = request.method().as_str().len() + 1 + path + " HTTP/1.1\r\n".len();
    let headers: usize = request
        .headers()
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + ": \r\n".len())
        .sum();
    (line + headers + "\r\n".len() + body_bytes) as u64
}

/// An attempt to make.
#[derive(Debug)]
pub struct AttemptSpec {
    /// The request.
    pub request: RequestId,
    /// The attempt.
    pub attempt: AttemptNumber,
    /// Where to.
    pub upstream: UpstreamId,
    /// Its address.
    pub address: SocketAddr,
    /// What to send.
    pub forwarded: Rc<ForwardedRequest>,
    /// When it was asked for.
    pub requested_at: Instant,
    /// When it is given up.
    pub deadline: Instant,
    /// When its sending must have begun.
    pub latest_start: Instant,
}

/// How an attempt ended.
#[derive(Debug)]
pub struct AttemptResult {
    /// The outcome.
    pub outcome: Outcome,
    /// The answer's body, if served.
    pub body: Option<Bytes>,
    /// The load report, if one came.
    pub load: Option<LoadReport>,
}

impl From<Outcome> for AttemptResult {
    fn from(outcome: Outcome) -> Self {
        Self { outcome, body: None, load: None }
    }
}

/// How much of an attempt's request is on its way.
#[derive(Debug)]
pub struct Progress {
    traffic: RefCell<Option<Rc<Traffic>>>,
    request_bytes: Cell<u64>,
    /// When its latest connection was up and it began to go out.
    send_started_at: Cell<Option<Instant>>,
}

impl Default for Progress {
    fn default() -> Self {
        // Before anything is sent, no size is reached.
        Self {
            traffic: RefCell::default(),
            request_bytes: Cell::new(u64::MAX),
            send_started_at: Cell::default(),
        }
    }
}

impl Progress {
    /// Whether the last byte is written, so that it may run.
    #[must_use]
    pub fn is_fully_written(&self) -> bool {
        self.written_bytes() >= self.request_bytes.get()
    }

    /// Whether its first byte is written.
    #[must_use]
    pub fn has_begun(&self) -> bool {
        self.written_bytes() > 0
    }

    /// How long the upstream has had the request. What its connection took to come up tells of the way there and
    /// not of its work: counted in, connections that come up late would pass for congestion.
    #[must_use]
    pub fn time_at_upstream(&self, requested_at: Instant) -> Duration {
        self.send_started_at.get().unwrap_or(requested_at).elapsed()
    }

    fn written_bytes(&self) -> u64 {
        self.traffic.borrow().as_ref().map_or(0, |traffic| traffic.written_bytes.get())
    }
}

/// Makes an attempt and tells the driver how it ended; `end` ends it from outside.
pub async fn run_attempt(
    driver: Rc<Driver>,
    spec: AttemptSpec,
    progress: Rc<Progress>,
    cancelled: oneshot::Receiver<Outcome>,
) {
    let (result, connection) = await_result(&driver, &spec, &progress, cancelled).await;
    driver.attempt_ended(&spec, progress.time_at_upstream(spec.requested_at), result);
    // The answer goes out first; then the connection is made ready for the next request.
    if let Some(mut connection) = connection
        && let Ok(Ok(())) = timeout(READY_TIMEOUT, connection.sender.ready()).await
    {
        driver.store_idle(spec.upstream, spec.address, connection);
    }
}

/// Runs an attempt until it has its outcome, its time is up or `end` ends it; its connection comes back if it may
/// carry another request.
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
            // Told as it waited for its connection, and written whole before its turn: it runs, and is waited for.
            Ok(Outcome::ConnectFailed) if progress.is_fully_written() => exchange.await,
            Ok(outcome) => return (outcome.into(), None),
            // Nobody ends it any more.
            Err(_) => exchange.await,
        },
    };
    finished.unwrap_or_else(|_| {
        // The exchange is over, and its connection closed with it: before its last byte was written, it never runs.
        let outcome = if progress.is_fully_written() { Outcome::TimedOut } else { Outcome::ConnectFailed };
        (outcome.into(), None)
    })
}

async fn exchange(
    driver: &Rc<Driver>,
    spec: &AttemptSpec,
    progress: &Progress,
) -> (AttemptResult, Option<Connection>) {
    loop {
        let idle = driver.take_idle(spec.upstream);
        let is_new = idle.is_none();
        let mut connection = match idle {
            Some(connection) => connection,
            None => {
                let time_to_start = spec.latest_start.saturating_duration_since(Instant::now());
                let target = ConnectTarget {
                    address: spec.address,
                    timeout: driver.in_force().connect_timeout().min(time_to_start),
                };
                // Short of sockets is no fault of the upstream's.
                let Some(permit) = driver.try_permit() else { return (Outcome::NotSent.into(), None) };
                match connect(permit, target).await {
                    Ok(connection) => connection,
                    Err(_) => return (Outcome::ConnectFailed.into(), None),
                }
            }
        };
        // While it connected, the upstream may have begun to drain, or gone: nothing new goes there. Nor does a
        // repeat once the upstreams may have forgotten what they would know it by.
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
        // A kept connection that turns out closed, or spoilt, before a byte went out has sent nothing.
        if !is_new && !progress.has_begun() {
            continue;
        }
        let outcome = if progress.is_fully_written() { Outcome::Reset } else { Outcome::ConnectFailed };
        return (outcome.into(), None);
    }
}

/// Reads a body to its end into memory of its own: a piece of a byte, kept as it came, holds on to all that came with
/// it, and thousands of them would fill the memory.
///
/// # Errors
/// It is longer than bodies are, or breaks off.
pub async fn read_body(body: Incoming) -> Result<Bytes, Box<dyn Error + Send + Sync>> {
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut bytes = Vec::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(bytes.into())
}

/// Reads an answer to its end; `None` if it is spoilt: it breaks off, is longer than answers are, or says where it
/// ends in a way that may be misread. Whatever it said before, its request may have run.
async fn read_answer(driver: &Driver, response: Response<Incoming>) -> Option<AttemptResult> {
    let (head, body) = response.into_parts();
    let load = head.headers.get("x-load").and_then(|value| parse_load_report(driver, value));
    // A 503 without the mark, an upstream's own or of a tier behind it, may have run.
    let not_run = matches!(head.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT)
        && head.headers.get("x-not-run").is_some_and(|value| value.as_bytes() == b"1");
    let mut transfer_encodings = head.headers.get_all(TRANSFER_ENCODING).iter();
    let has_clear_end = match (transfer_encodings.next(), transfer_encodings.next()) {
        // Without a length it ends with its connection, if that ends in order: a reset is an error of the body.
        (None, _) => true,
        (Some(encoding), None) => {
            encoding.as_bytes().eq_ignore_ascii_case(b"chunked") && !head.headers.contains_key(CONTENT_LENGTH)
        }
        // Of several only the last would be looked at.
        (Some(_), Some(_)) => false,
    };
    if !has_clear_end || body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return None;
    }
    let body = read_body(body).await.ok()?;
    let outcome = match head.status {
        StatusCode::OK => Outcome::Good,
        _ if not_run => Outcome::Refused,
        _ => Outcome::Error,
    };
    Some(AttemptResult { outcome, body: (outcome == Outcome::Good).then_some(body), load })
}

/// Reads `name=value,name=value`.
fn parse_load_report(driver: &Driver, value: &HeaderValue) -> Option<LoadReport> {
    let in_force = driver.in_force();
    let mut report = LoadReport::default();
    for part in value.to_str().ok()?.split(',') {
        let (name, value) = part.split_once('=')?;
        let name = name.trim();
        let value: f64 = value.trim().parse().ok().filter(|value: &f64| value.is_finite())?;
        if in_force.names().load_fields.iter().any(|field| field == name) {
            setup::set_load_field(&mut report, name, value);
        }
    }
    Some(report)
}

#[cfg(test)]
mod tests;
