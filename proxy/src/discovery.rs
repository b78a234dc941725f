//! The list of upstreams: its form and the watch on its changes.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Request, StatusCode, header};
use serde::{Deserialize, Deserializer, Serialize};
use serde_json::value::RawValue;
use thiserror::Error;
use tokio::time::{Instant, timeout_at};

use crate::metrics::WatchEnd;
use crate::permit::Permit;
use crate::upstream::{self, ConnectError, ConnectTarget};

/// A word from discovery: the whole list or what changed.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Update {
    /// The list's version.
    #[serde(default)]
    pub index: u64,
    /// The whole list: what is absent has been removed.
    #[serde(default)]
    pub snapshot: bool,
    /// The upstreams.
    #[serde(default, deserialize_with = "entries")]
    pub endpoints: Vec<Endpoint>,
}

/// Reads each entry by itself: one that makes no sense must not cost the others, a drain among them.
fn entries<'de, D: Deserializer<'de>>(input: D) -> Result<Vec<Endpoint>, D::Error> {
    let raw: Vec<Box<RawValue>> = Vec::deserialize(input)?;
    let read = |raw: &RawValue| {
        serde_json::from_str(raw.get())
            .inspect_err(|error| {
                tracing::warn!(%error, "passed over an entry of the list that cannot be read");
            })
            .ok()
    };
    Ok(raw.iter().filter_map(|raw| read(raw)).collect())
}

/// An upstream as discovery lists it.
#[derive(Debug, Clone, Deserialize, Serialize)]
pub struct Endpoint {
    /// Its name, the same at every balancer.
    pub name: String,
    /// Where it listens.
    #[serde(default)]
    pub address: String,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind of machine.
    #[serde(default, rename = "type")]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub group: u32,
    /// `ready`, `draining` or `gone`.
    pub status: String,
    /// Its size beside the others.
    #[serde(default = "one")]
    pub weight: f64,
    /// Its latest start, Unix time in milliseconds; 0 for long ago.
    #[serde(default)]
    pub since_ms: u64,
}

fn one() -> f64 {
    1.0
}

/// How long the first word may take from when the watch is asked for: discovery works through calls in turn.
const FIRST_WORD: Duration = Duration::from_secs(5);
/// A watch says something every 2 s; with no whole word for well over that, it is dead. What it would have told
/// counts as told 6 s late at most, and by then a new watch must have been asked for and answered, which takes
/// seconds.
const SILENCE: Duration = Duration::from_millis(3200);
/// Bytes of one word at most, so that a broken discovery cannot fill the memory.
const WORD_MOST: usize = 8 << 20;

/// Why a watch ended.
#[derive(Debug, Error)]
pub enum WatchError {
    /// Nobody listens there.
    #[error("nobody listens")]
    Unreachable,
    /// No connection came up.
    #[error("no connection: {0}")]
    Connect(ConnectError),
    /// No whole word came in time.
    #[error("silent for too long")]
    Silent {
        /// How long ago the latest word came, if any did.
        heard: Option<Duration>,
    },
    /// Discovery answered with another status than 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The connection broke.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// Discovery ended it in order.
    #[error("ended")]
    Ended,
    /// A word is longer than any list is.
    #[error("a word is too long")]
    LongWord,
    /// A word is no update.
    #[error("a word is malformed: {0}")]
    Json(#[from] serde_json::Error),
}

impl From<ConnectError> for WatchError {
    fn from(error: ConnectError) -> Self {
        match error {
            // Only this says that nobody is there; what else may fail is on the way, or our own.
            ConnectError::Failed(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
                Self::Unreachable
            }
            error => Self::Connect(error),
        }
    }
}

impl WatchError {
    /// The kind of end, for the metrics.
    #[must_use]
    pub fn kind(&self) -> WatchEnd {
        match self {
            Self::Unreachable => WatchEnd::Unreachable,
            Self::Connect(_) => WatchEnd::Connect,
            Self::Silent { .. } => WatchEnd::Silent,
            Self::Status(_) => WatchEnd::Status,
            Self::Http(_) | Self::Ended => WatchEnd::Broken,
            Self::LongWord | Self::Json(_) => WatchEnd::Malformed,
        }
    }
}

/// Names a watch; each of a copy has a higher number than those before it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct WatchNumber(pub u64);

/// What a watch asks for.
#[derive(Debug, Clone, Copy)]
pub struct WatchRequest {
    /// Where discovery listens.
    pub address: SocketAddr,
    /// The version of the list in hand, 0 for none.
    pub since: u64,
    /// The watch.
    pub number: WatchNumber,
}

/// The copy that a watch reports to.
pub trait WatchEvents {
    /// The watch has told this.
    fn updated(&self, watch: WatchNumber, update: Update);
    /// The watch has ended.
    fn broke(&self, watch: WatchNumber, reason: &WatchError);
    /// A descriptor for the watch, which is had in any case: without it drains would be missed.
    fn reserve_descriptor(&self) -> Permit;
}

/// Watches the list until the watch ends, then reports that.
pub async fn watch(events: impl WatchEvents, request: WatchRequest) {
    let Err(error) = follow(&events, request).await;
    events.broke(request.number, &error);
}

async fn follow(
    events: &impl WatchEvents,
    request: WatchRequest,
) -> Result<std::convert::Infallible, WatchError> {
    let WatchRequest { address, since, number } = request;
    let asked = Instant::now();
    tracing::info!(watch = number.0, %address, since, "asks discovery for a watch");
    let mut silent_at = asked + FIRST_WORD;
    let dial = ConnectTarget { address, timeout: FIRST_WORD };
    let mut conn = upstream::connect(events.reserve_descriptor(), dial).await?;
    let request = Request::get(format!("/catalog/members?follow=1&since={since}"))
        .header(header::HOST, address.to_string())
        .body(Full::<Bytes>::default())
        .unwrap_or_default();
    let response = timeout_at(silent_at, conn.sender.send_request(request))
        .await
        .map_err(|_| WatchError::Silent { heard: None })??;
    let (status, after_ms) = (response.status(), asked.elapsed().as_millis());
    tracing::info!(watch = number.0, status = status.as_u16(), after_ms, "discovery answers");
    if response.status() != StatusCode::OK {
        return Err(WatchError::Status(response.status()));
    }
    let mut body = response.into_body();
    let mut words = Words::default();
    let mut heard_at: Option<Instant> = None;
    loop {
        // Bytes alone are no word: ones that keep coming and come to no end must not pass for a watch.
        let frame = timeout_at(silent_at, body.frame())
            .await
            .map_err(|_| WatchError::Silent { heard: heard_at.map(|at| at.elapsed()) })?;
        let Ok(data) = frame.ok_or(WatchError::Ended)??.into_data() else { continue };
        words.text.extend_from_slice(&data);
        let mut spoke = false;
        while let Some(word) = words.next() {
            events.updated(number, serde_json::from_slice(&word)?);
            spoke = true;
        }
        // An empty line is a word as well, but not one within another.
        if spoke || (words.text.is_empty() && data.contains(&b'\n')) {
            if heard_at.is_none() && !spoke {
                // Nothing has changed since; the watch stands all the same.
                events.updated(number, Update { index: since, snapshot: false, endpoints: Vec::new() });
            }
            let now = Instant::now();
            heard_at = Some(now);
            silent_at = now + SILENCE;
        }
        if words.text.len() > WORD_MOST {
            return Err(WatchError::LongWord);
        }
    }
}

/// Cuts what a watch says into words. A chunk may hold several words, or a part of one, and a word several lines;
/// where a word ends only its brackets tell, as a parser that is given a part finds fault with some of them.
#[derive(Default)]
struct Words {
    /// What has come and is no whole word yet.
    text: Vec<u8>,
    scanned: usize,
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Words {
    /// The next whole word. Outside objects any byte but a space is one, which does not parse.
    fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(&byte) = self.text.get(self.scanned) {
            self.scanned += 1;
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                _ if self.quoted => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth == 0 && !self.quoted && !byte.is_ascii_whitespace() {
                return Some(self.text.drain(..std::mem::take(&mut self.scanned)).collect());
            }
        }
        if self.depth == 0 && !self.quoted {
            self.text.clear();
            self.scanned = 0;
        }
        None
    }
}
