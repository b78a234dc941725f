//! Health check of a balancer process over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::header::{CONNECTION, HOST};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// A balancer that does not answer within this time is not ready yet.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Whether the balancer is ready: `GET /_health` answers 200.
pub(super) async fn is_ready(address: SocketAddr) -> bool {
    matches!(timeout(HEALTH_CHECK_TIMEOUT, status(address)).await, Ok(Some(StatusCode::OK)))
}

async fn status(address: SocketAddr) -> Option<StatusCode> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    let request = Request::get("/_health")
        .header(HOST, address.to_string())
        .header(CONNECTION, "close")
        .body(Empty::<Bytes>::new())
        .ok()?;
    // The task ends when the sender is dropped or the balancer closes the connection.
    tokio::spawn(connection);
    let response = sender.send_request(request).await.ok()?;
    Some(response.status())
}
