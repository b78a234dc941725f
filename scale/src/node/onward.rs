//! Calls of nodes to the next service, through a balancer.

use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{self, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::request::Class;

/// Bytes of an answer at most, as the protocol has it.
const BODY_MOST: usize = 64 << 10;
/// Connections that rest at most; more are closed after their call.
const RESTING_MOST: usize = 256;

/// Why a call was not served.
#[derive(Debug, Error)]
pub(super) enum OnwardError {
    /// The balancer's address is not known.
    #[error("no balancer to call through")]
    NoBalancer,
    /// The time is over.
    #[error("out of time")]
    Late,
    /// The answer is no 200.
    #[error("answered {0}")]
    Status(StatusCode),
    /// No connection to the balancer.
    #[error("no connection: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The answer's body broke or is too long.
    #[error("the body: {0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
}

/// What a call passes on.
#[derive(Debug, Clone)]
pub(super) struct OnwardCall {
    pub(super) class: Class,
    pub(super) hops: u32,
    pub(super) hop: u32,
    pub(super) tenant: Option<String>,
    /// How long the node waits, if its caller said so.
    pub(super) left: Option<Duration>,
}

type Sender = SendRequest<Empty<Bytes>>;

/// The connections of nodes to one balancer: kept alive, one request at a time on each, more when all are busy.
#[derive(Debug, Default)]
pub(super) struct Onward {
    pool: Mutex<Pool>,
}

#[derive(Debug, Default)]
struct Pool {
    address: Option<SocketAddr>,
    resting: Vec<Sender>,
}

impl Onward {
    /// Where the balancer is from now on; connections to where it was are closed.
    pub(super) fn set_address(&self, address: SocketAddr) {
        let mut pool = self.pool();
        if pool.address != Some(address) {
            *pool = Pool { address: Some(address), resting: Vec::new() };
        }
    }

    /// Calls the next service and waits for the whole answer.
    ///
    /// # Errors
    /// There is no answer of 200 in time.
    pub(super) async fn call(&self, call: &OnwardCall, ids: &Ids) -> Result<(), OnwardError> {
        let address = self.pool().address.ok_or(OnwardError::NoBalancer)?;
        let request = request(address, call, &ids.next());
        match call.left {
            Some(left) if left.is_zero() => Err(OnwardError::Late),
            Some(left) => {
                timeout(left, self.exchange(address, call, request)).await.map_err(|_| OnwardError::Late)?
            }
            None => self.exchange(address, call, request).await,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &OnwardCall,
        request: Request<Empty<Bytes>>,
    ) -> Result<(), OnwardError> {
        while let Some(mut sender) = self.rested() {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send(address, sender, request.clone()).await {
                // The balancer may have closed the connection just then. What it may have read is sent again only
                // where that is harmless.
                Err(OnwardError::Http(error)) if error.is_canceled() || call.class == Class::Read => break,
                end => return end,
            }
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // Its errors are those of the calls on it.
        tokio::spawn(async move { drop(connection.await) });
        self.send(address, sender, request).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Empty<Bytes>>,
    ) -> Result<(), OnwardError> {
        let response = sender.send_request(request).await?;
        let status = response.status();
        Limited::new(response.into_body(), BODY_MOST).collect().await?;
        self.rest(address, sender);
        if status == StatusCode::OK { Ok(()) } else { Err(OnwardError::Status(status)) }
    }

    /// A connection that rests, the one used last.
    fn rested(&self) -> Option<Sender> {
        let mut pool = self.pool();
        while let Some(sender) = pool.resting.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn rest(&self, address: SocketAddr, sender: Sender) {
        let mut pool = self.pool();
        if pool.address == Some(address) && pool.resting.len() < RESTING_MOST {
            pool.resting.push(sender);
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn request(address: SocketAddr, call: &OnwardCall, id: &str) -> Request<Empty<Bytes>> {
    let mut path = format!("/{}?hops={}&hop={}", call.class.name(), call.hops, call.hop);
    if let Some(tenant) = &call.tenant {
        path.push_str("&tenant=");
        path.push_str(tenant);
    }
    let mut request = Request::new(Empty::new());
    *request.method_mut() = call.class.method();
    *request.uri_mut() = path.parse().unwrap_or_default();
    let mut set = |name: header::HeaderName, text: String| {
        if let Ok(value) = HeaderValue::try_from(text) {
            request.headers_mut().insert(name, value);
        }
    };
    set(header::HOST, address.to_string());
    set(header::HeaderName::from_static("x-request-id"), id.to_owned());
    if let Some(left) = call.left {
        set(header::HeaderName::from_static("x-deadline"), format!("{:.6}", left.as_secs_f64()));
    }
    if let Some(tenant) = &call.tenant {
        set(header::HeaderName::from_static("x-tenant"), tenant.clone());
    }
    request
}

/// Fresh request ids: each number once, in an order that the seed settles.
#[derive(Debug)]
pub(super) struct Ids(AtomicU64);

impl Ids {
    pub(super) fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// The next id: a counter through the steps of splitmix64, which maps no two numbers to one.
    fn next(&self) -> String {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.0.fetch_add(STEP, Ordering::Relaxed);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ (mixed >> 31))
    }
}
