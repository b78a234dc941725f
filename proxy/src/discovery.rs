//! The client of discovery: the format of list updates, and the watch (one long HTTP response) that delivers
//! them.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::memory::ReservedBytes;
use crate::metrics::WatchEnd;
use crate::permit::Permit;
use crate::upstream::{self, ConnectError, ConnectTarget};

/// A message from discovery: the full list of upstreams, or the entries that changed.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Update {
    /// The version of the list after this update.
    #[serde(default)]
    pub index: u64,
    /// Whether this is the full list, so that upstreams missing from it have been removed.
    #[serde(default)]
    pub snapshot: bool,
    /// The listed or changed upstreams.
    #[serde(default, deserialize_with = "deserialize_endpoints")]
    pub endpoints: Vec<Endpoint>,
}

/// Parses each entry of an update separately and skips malformed ones: one malformed entry must not cost the
/// other entries, which may include a drain.
fn deserialize_endpoints<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Endpoint>, D::Error> {
    let raw: Vec<&'de RawValue> = Vec::deserialize(input)?;
    let parse_entry = |raw: &RawValue| {
        serde_json::from_str(raw.get())
            .inspect_err(|error| {
                let error = shortened(&error.to_string());
                tracing::warn!(error, "skipped an entry of the list that cannot be parsed");
            })
            .ok()
    };
    Ok(raw.into_iter().filter_map(parse_entry).collect())
}

/// The beginning of a text that discovery sent, for the log.
#[must_use]
pub fn shortened(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}

/// An upstream as discovery lists it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Endpoint {
    /// The name of the upstream, the same for all balancers.
    pub name: String,
    /// The IP address and port that the upstream listens on.
    #[serde(default)]
    pub address: String,
    /// The name of the upstream's zone.
    #[serde(default)]
    pub zone: String,
    /// The name of the upstream's machine type.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// The number of the upstream's cell.
    #[serde(default)]
    pub group: u32,
    /// The upstream's state: `ready`, `draining` or `gone`.
    pub status: String,
    /// The upstream's capacity relative to the others.
    #[serde(default = "default_weight")]
    pub weight: f64,
    /// The Unix time of the upstream's latest start in milliseconds; 0 means long ago.
    #[serde(default)]
    pub since_ms: u64,
}

/// The weight of an upstream whose entry gives none.
fn default_weight() -> f64 {
    1.0
}

/// The longest time from requesting a watch to its first message: discovery answers calls one after another,
/// so that a call may have to queue.
const FIRST_MESSAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The longest time between two complete messages of a watch. A watch sends one every 2 s, so that one silent
/// for well over that is dead. A change in discovery counts as delivered at most 6 s after it was made; by
/// then a new watch must have been requested and answered, which takes seconds.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(3200);
/// The largest message accepted at any limit of memory.
const MAX_MESSAGE_BYTES: usize = 8 << 20;
/// By how much the buffer for messages grows, and what is kept of it between messages.
const MESSAGE_BUFFER_BYTES: usize = 64 * 1024;
/// How much of a text from discovery is logged, in characters.
const MAX_LOGGED_CHARS: usize = 200;

/// Why a watch on discovery ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// The connection was refused: nothing listens on the address.
    #[error("nothing listens on the address")]
    Unreachable,
    /// The connection could not be established for another reason.
    #[error("cannot connect: {0}")]
    Connect(ConnectError),
    /// No complete message arrived in time.
    #[error("no message within the time limit")]
    Silent {
        /// The time since the latest message, if there was one.
        since_last_message: Option<Duration>,
    },
    /// Discovery answered with a status other than 200.
    #[error("discovery answered with status {0}")]
    Status(StatusCode),
    /// The connection failed.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Discovery ended the response normally.
    #[error("discovery ended the watch")]
    Ended,
    /// A message is longer than the limit.
    #[error("a message is longer than {max_bytes} bytes")]
    MessageTooLong {
        /// The largest message accepted, in bytes.
        max_bytes: usize,
    },
    /// A message is not a valid update.
    #[error("a message is malformed: {0}")]
    Json(#[from] serde_json::Error),
}

impl From<ConnectError> for WatchError {
    fn from(error: ConnectError) -> Self {
        match error {
            // Only a refused connection shows that discovery is down; other errors may come from the network
            // between or from this process.
            ConnectError::Failed(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Self::Unreachable
            }
            error => Self::Connect(error),
        }
    }
}

impl WatchError {
    /// The reason as a metrics label.
    #[must_use]
    pub fn kind(&self) -> WatchEnd {
        match self {
            Self::Unreachable => WatchEnd::Unreachable,
            Self::Connect(_) => WatchEnd::Connect,
            Self::Silent { .. } => WatchEnd::Silent,
            Self::Status(_) => WatchEnd::Status,
            Self::Http(_) | Self::Ended => WatchEnd::Broken,
            Self::MessageTooLong { .. } | Self::Json(_) => WatchEnd::Malformed,
        }
    }
}

/// Identifies a watch of one balancer instance; each new watch gets a higher number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchId(pub u64);

/// The parameters with which a watch on discovery is opened.
#[derive(Debug, Clone, Copy)]
pub struct WatchRequest {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version of the current list; 0 requests the full list.
    pub since: u64,
    /// The id of the new watch.
    pub id: WatchId,
}

/// The receiver of a watch's updates: the balancer instance that opened it.
pub trait WatchEvents {
    /// The watch has delivered an update.
    fn updated(&self, watch: WatchId, update: Update);
    /// The watch has ended.
    fn ended(&self, watch: WatchId, reason: &WatchError);
    /// The largest message that there is memory for, in bytes.
    fn max_message_bytes(&self) -> usize;
    /// Counts a descriptor for the watch, even over the limit: without a watch drains would be missed.
    fn reserve_descriptor(&self) -> Permit;
}

/// Opens a watch and reports its updates until it ends, then reports the reason.
pub async fn watch(events: impl WatchEvents, request: WatchRequest) {
    let Err(error) = run_watch(&events, request).await;
    events.ended(request.id, &error);
}

/// Opens a watch and reports its updates; returns only when the watch has ended.
async fn run_watch(
    events: &impl WatchEvents,
    request: WatchRequest,
) -> Result<std::convert::Infallible, WatchError> {
    let WatchRequest { address, since, id } = request;
    let requested_at = Instant::now();
    tracing::info!(watch = id.0, %address, since, "asks discovery for a watch");
    let mut deadline = requested_at + FIRST_MESSAGE_TIMEOUT;
    let target = ConnectTarget { address, timeout: FIRST_MESSAGE_TIMEOUT };
    let mut connection = upstream::connect(events.reserve_descriptor(), target).await?;
    let request = Request::get(format!("/catalog/members?follow=1&since={since}"))
        .header(header::HOST, address.to_string())
        .body(Full::<ReservedBytes>::default())
        .unwrap_or_default();
    let response = timeout_at(deadline, connection.sender.send_request(request))
        .await
        .map_err(|_| WatchError::Silent { since_last_message: None })??;
    let (status, after_ms) = (response.status(), requested_at.elapsed().as_millis());
    tracing::info!(watch = id.0, status = status.as_u16(), after_ms, "discovery answers");
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut splitter = MessageSplitter::default();
    let mut last_message_at: Option<Instant> = None;
    loop {
        // Only complete messages extend the deadline: bytes that keep arriving without completing a message
        // must not keep a dead watch alive.
        let frame = timeout_at(deadline, body.frame())
            .await
            .map_err(|_| WatchError::Silent { since_last_message: last_message_at.map(|at| at.elapsed()) })?;
        let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
        splitter.push(&data);
        let mut received_message = false;
        while let Some(message_bytes) = splitter.scan_message() {
            let update = serde_json::from_slice(splitter.message(message_bytes))?;
            splitter.discard_message(message_bytes);
            events.updated(id, update);
            received_message = true;
        }
        // An empty line is a heartbeat and counts as a message, unless it is inside an incomplete one.
        if received_message || (splitter.buffer.is_empty() && data.contains(&b'\n')) {
            if last_message_at.is_none() && !received_message {
                // The list has not changed since the requested version; an empty update reports that the
                // watch works.
                events.updated(id, Update { index: since, snapshot: false, endpoints: Vec::new() });
            }
            let now = Instant::now();
            last_message_at = Some(now);
            deadline = now + SILENCE_TIMEOUT;
        }
        let max_bytes = events.max_message_bytes().min(MAX_MESSAGE_BYTES);
        if splitter.buffer.len() > max_bytes {
            return Err(WatchError::MessageTooLong { max_bytes });
        }
    }
}

/// Splits the body of a watch into JSON messages. A chunk may hold several messages or a part of one, and a
/// message may span several lines. Its end is found by counting brackets, because a JSON parser reports some
/// truncated messages as malformed rather than incomplete.
#[derive(Default)]
struct MessageSplitter {
    /// The bytes received that do not form a complete message yet.
    buffer: Vec<u8>,
    /// The length of the part of `buffer` that has been scanned.
    scanned_len: usize,
    /// The number of brackets that are open at the end of the scanned part.
    bracket_depth: usize,
    /// Whether the scanned part ends inside a string.
    in_string: bool,
    /// Whether the scanned part ends with a backslash that escapes the next byte.
    escaped: bool,
}

impl MessageSplitter {
    /// Adds received bytes.
    fn push(&mut self, bytes: &[u8]) {
        if self.buffer.capacity() - self.buffer.len() < bytes.len() {
            self.buffer.reserve_exact(bytes.len().max(MESSAGE_BUFFER_BYTES));
        }
        self.buffer.extend_from_slice(bytes);
    }

    /// The message of this length at the beginning of the buffer.
    fn message(&self, bytes: usize) -> &[u8] {
        &self.buffer[..bytes]
    }

    /// Removes the message of this length from the beginning of the buffer.
    fn discard_message(&mut self, bytes: usize) {
        self.buffer.drain(..bytes);
        self.buffer.shrink_to(MESSAGE_BUFFER_BYTES);
    }

    /// The length of the next complete message, which is then at the beginning of the buffer. Outside brackets
    /// and strings, any byte that is not white space counts as a message of its own, which then fails to parse.
    fn scan_message(&mut self) -> Option<usize> {
        while let Some(&byte) = self.buffer.get(self.scanned_len) {
            self.scanned_len += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.in_string => self.escaped = true,
                b'"' => self.in_string = !self.in_string,
                _ if self.in_string => {}
                b'{' | b'[' => self.bracket_depth += 1,
                b'}' | b']' => self.bracket_depth = self.bracket_depth.saturating_sub(1),
                _ => {}
            }
            if self.bracket_depth == 0 && !self.in_string && !byte.is_ascii_whitespace() {
                return Some(std::mem::take(&mut self.scanned_len));
            }
        }
        if self.bracket_depth == 0 && !self.in_string {
            self.buffer.clear();
            self.scanned_len = 0;
        }
        None
    }
}
