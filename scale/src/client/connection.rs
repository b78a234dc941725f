//! A client's connection: one request at a time, and what becomes of it.

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

/// The request as it is sent.
pub(super) type ClientRequest = Request<Full<Bytes>>;

/// A connection that is open. Dropping it closes it, also under a request.
#[derive(Debug)]
pub(super) struct Connection {
    sender: SendRequest<Full<Bytes>>,
    /// It has carried a request that was answered.
    has_answered: bool,
}

/// An answer that came whole.
#[derive(Debug, Clone, Copy)]
pub(super) struct Answer {
    pub(super) status: StatusCode,
    /// How long the client is to stay away.
    pub(super) retry_after: Option<Duration>,
}

/// Why a request has no whole answer.
#[derive(Debug, Error)]
pub(super) enum ExchangeError {
    /// The connection was closed before the request was written to it.
    #[error("not sent")]
    NotSent,
    /// The connection ended after that, with no answer.
    #[error("closed: {0}")]
    Closed(hyper::Error),
    /// The answer broke off, or is none.
    #[error("broken: {0}")]
    Broken(hyper::Error),
}

impl Connection {
    /// Opens one.
    pub(super) async fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        stream.set_nodelay(true)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
        // It ends with the sender, and tells it of any other end.
        tokio::spawn(connection);
        Ok(Self { sender, has_answered: false })
    }

    /// Whether it has carried a request that was answered.
    pub(super) fn has_answered(&self) -> bool {
        self.has_answered
    }

    /// Whether it is known that no further request can be sent on it.
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

/// What the end of an exchange without an answer means: an answer that makes no sense is not a close.
fn classify_error(error: hyper::Error) -> ExchangeError {
    if error.is_parse() { ExchangeError::Broken(error) } else { ExchangeError::Closed(error) }
}

/// Seconds of `Retry-After`, whole or decimal; dates and nonsense are passed over.
fn parse_retry_after(response: &Response<Incoming>) -> Option<Duration> {
    let seconds = response.headers().get(RETRY_AFTER)?.to_str().ok()?.trim().parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
