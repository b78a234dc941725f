//! A client's HTTP/1.1 connection, which carries one request at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::RETRY_AFTER;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use thiserror::Error;
use tokio::net::TcpStream;

/// A request in the form in which a client sends it.
pub(super) type ClientRequest = Request<Full<Bytes>>;

/// An open connection. Dropping it closes it, even while a request is in flight.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// Whether an earlier request on this connection was answered.
    has_answered: bool,
}

/// An answer to a client's request that was received completely.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    /// How long the client is told to wait before a retry.
    pub(super) retry_after: Option<Duration>,
}

/// Why a request got no complete answer.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The connection was closed before the request was written to it.
    #[error("the connection was closed before the request was sent")]
    NotSent,
    /// The connection was closed after the request was written, without an answer.
    #[error("the connection was closed before the answer: {0}")]
    Closed(hyper::Error),
    /// The answer is truncated or malformed.
    #[error("the answer is truncated or malformed: {0}")]
    Broken(hyper::Error),
}

impl Connection {
    /// Opens a connection to a balancer or node.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // The task ends when the sender is dropped; if the connection ends earlier, the sender reports it.
        tokio::spawn(connection);
        Ok(Self { sender, has_answered: false })
    }

    /// Whether an earlier request on this connection was answered.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether the connection is known to be closed, so that it cannot carry another request.
    pub(super) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and reads the answer to its last byte.
    pub(super) async fn exchange(&mut self, request: ClientRequest) -> Result<Answer, ExchangeError> {
        self.sender.ready().await.map_err(|_| ExchangeError::NotSent)?;
        let sent = self.sender.try_send_request(request).await;
        let response = sent.map_err(|mut error| match error.take_message() {
            Some(_) => ExchangeError::NotSent,
            None => classify_error(error.into_error()),
        })?;
        let answer = Answer { status: response.status(), retry_after: parse_retry_after(&response) };
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            frame.map_err(ExchangeError::Broken)?;
        }
        self.has_answered = true;
        Ok(answer)
    }
}

/// Classifies an exchange that ended without an answer: a malformed answer does not count as a close.
fn classify_error(error: hyper::Error) -> ExchangeError {
    if error.is_parse() { ExchangeError::Broken(error) } else { ExchangeError::Closed(error) }
}

/// Seconds of `Retry-After`, whole or decimal; dates and malformed values are ignored.
fn parse_retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
