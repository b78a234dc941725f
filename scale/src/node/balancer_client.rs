//! HTTP client with which nodes call the next service through a balancer.

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

/// Maximum size of a response body, as set by the protocol.
const MAX_BODY_BYTES: usize = 64 << 10;
/// Maximum number of idle connections; a connection beyond that is closed after its call.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// Why a call was not served.
#[derive(Debug, Error)]
pub(super) enum CallError {
    /// The balancer's address is not known.
    #[error("no balancer to call through")]
    NoBalancer,
    /// The deadline has passed.
    #[error("out of time")]
    OutOfTime,
    /// The response status is not 200.
    #[error("response status {0}")]
    Status(StatusCode),
    /// The TCP connection to the balancer failed.
    #[error("cannot connect: {0}")]
    Connect(#[from] io::Error),
    /// The connection broke during the exchange.
    #[error("{0}")]
    Http(#[from] hyper::Error),
    /// The response body broke off or is too long.
    #[error("response body: {0}")]
    Body(#[from] Box<dyn std::error::Error + Send + Sync>),
}

/// Parameters of a call to the next service.
#[derive(Debug, Clone)]
pub(super) struct NextCall {
    pub(super) class: Class,
    /// Remaining hops to the last node, including the one at the next service.
    pub(super) hops: u32,
    /// Number of the hop at the next service, counted from 1.
    pub(super) hop: u32,
    pub(super) tenant: Option<String>,
    /// Time until the deadline, if the caller set one.
    pub(super) time_left: Option<Duration>,
}

type Sender = SendRequest<Empty<Bytes>>;

/// Keep-alive connections of all nodes to one balancer: one request at a time on each, and a new connection
/// when all are busy.
#[derive(Debug, Default)]
pub(super) struct BalancerClient {
    pool: Mutex<Pool>,
}

#[derive(Debug, Default)]
struct Pool {
    address: Option<SocketAddr>,
    /// Connections without a request in flight; the most recently used one is last.
    idle: Vec<Sender>,
}

impl BalancerClient {
    /// Sets the balancer's address; idle connections to a previous address are closed.
    pub(super) fn set_address(&self, address: SocketAddr) {
        let mut pool = self.pool();
        if pool.address != Some(address) {
            *pool = Pool { address: Some(address), idle: Vec::new() };
        }
    }

    /// Calls the next service and reads the whole response.
    ///
    /// # Errors
    /// There is no 200 response before the deadline.
    pub(super) async fn call(&self, call: &NextCall, ids: &RequestIds) -> Result<(), CallError> {
        let address = self.pool().address.ok_or(CallError::NoBalancer)?;
        let request = request(address, call, &ids.next());
        match call.time_left {
            Some(time_left) if time_left.is_zero() => Err(CallError::OutOfTime),
            Some(time_left) => timeout(time_left, self.exchange(address, call, request))
                .await
                .map_err(|_| CallError::OutOfTime)?,
            None => self.exchange(address, call, request).await,
        }
    }

    async fn exchange(
        &self,
        address: SocketAddr,
        call: &NextCall,
        request: Request<Empty<Bytes>>,
    ) -> Result<(), CallError> {
        while let Some(mut sender) = self.take_idle() {
            if sender.ready().await.is_err() {
                continue;
            }
            match self.send(address, sender, request.clone()).await {
                // The balancer may have closed the idle connection at this moment. A request that it may have
                // read is repeated only if that is harmless.
                Err(CallError::Http(error)) if error.is_canceled() || call.class == Class::Read => break,
                result => return result,
            }
        }
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // Connection errors are also reported to the calls on it.
        tokio::spawn(async move { drop(connection.await) });
        self.send(address, sender, request).await
    }

    async fn send(
        &self,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Empty<Bytes>>,
    ) -> Result<(), CallError> {
        let response = sender.send_request(request).await?;
        let status = response.status();
        Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await?;
        self.put_idle(address, sender);
        if status == StatusCode::OK { Ok(()) } else { Err(CallError::Status(status)) }
    }

    /// Takes the most recently used idle connection that is still open.
    fn take_idle(&self) -> Option<Sender> {
        let mut pool = self.pool();
        while let Some(sender) = pool.idle.pop() {
            if !sender.is_closed() {
                return Some(sender);
            }
        }
        None
    }

    fn put_idle(&self, address: SocketAddr, sender: Sender) {
        let mut pool = self.pool();
        if pool.address == Some(address) && pool.idle.len() < MAX_IDLE_CONNECTIONS {
            pool.idle.push(sender);
        }
    }

    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn request(address: SocketAddr, call: &NextCall, id: &str) -> Request<Empty<Bytes>> {
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
    if let Some(time_left) = call.time_left {
        set(header::HeaderName::from_static("x-deadline"), format!("{:.6}", time_left.as_secs_f64()));
    }
    if let Some(tenant) = &call.tenant {
        set(header::HeaderName::from_static("x-tenant"), tenant.clone());
    }
    request
}

/// Generates request ids: each is unique, and the seed fixes their order.
#[derive(Debug)]
pub(super) struct RequestIds(AtomicU64);

impl RequestIds {
    pub(super) fn new(seed: u64) -> Self {
        Self(AtomicU64::new(seed))
    }

    /// Returns the next id: a counter mixed by splitmix64, which is a bijection, so that no id repeats.
    fn next(&self) -> String {
        const COUNTER_INCREMENT: u64 = 0x9e37_79b9_7f4a_7c15;
        let mut mixed = self.0.fetch_add(COUNTER_INCREMENT, Ordering::Relaxed);
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        format!("{:016x}", mixed ^ (mixed >> 31))
    }
}
