//! The part of HTTP/1.1 that discovery needs: requests without a body, responses of known length, and chunked
//! responses.

#[cfg(test)]
mod tests;

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Maximum size of a request head.
const MAX_HEAD_BYTES: usize = 8 << 10;
/// Size of the read buffer.
const READ_CHUNK_BYTES: usize = 1 << 10;
/// Time limit for writing one response or line to a peer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);
/// The path of both the list and the watch.
const MEMBERS_PATH: &str = "/catalog/members";

/// A parsed request of a balancer to discovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    /// A request for the whole list.
    List,
    /// A request for a watch that streams the changes after a version.
    Watch {
        /// The list version that the balancer has; 0 for none.
        since: u64,
    },
    /// A request that discovery does not serve.
    Unknown,
}

/// Why a control connection ends.
#[derive(Debug, Error)]
pub(super) enum HttpError {
    /// The peer closed the connection, or it broke.
    #[error("the connection ended: {0}")]
    Closed(#[from] io::Error),
    /// The request head is too long or cannot be parsed.
    #[error("malformed request")]
    Malformed,
    /// The peer does not read its responses.
    #[error("the peer does not read its responses")]
    Slow,
}

/// Reads requests from a connection, keeping bytes of the next request between calls.
#[derive(Debug, Default)]
pub(super) struct RequestReader {
    buffer: Vec<u8>,
}

impl RequestReader {
    /// Reads the next request, which may arrive in several parts.
    pub(super) async fn next(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<Call, HttpError> {
        loop {
            if let Some(end) = head_end(&self.buffer) {
                let head: Vec<u8> = self.buffer.drain(..end).collect();
                return parse_call(&head).ok_or(HttpError::Malformed);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(HttpError::Malformed);
            }
            let mut bytes = [0; READ_CHUNK_BYTES];
            match stream.read(&mut bytes).await? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => self.buffer.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

fn head_end(text: &[u8]) -> Option<usize> {
    const HEAD_TERMINATOR: &[u8] = b"\r\n\r\n";
    text.windows(HEAD_TERMINATOR.len())
        .position(|window| window == HEAD_TERMINATOR)
        .map(|index| index + HEAD_TERMINATOR.len())
}

fn parse_call(head: &[u8]) -> Option<Call> {
    let head = std::str::from_utf8(head).ok()?;
    let mut parts = head.lines().next()?.split(' ');
    let (method, target) = (parts.next()?, parts.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if method != "GET" || path != MEMBERS_PATH {
        return Some(Call::Unknown);
    }
    let query_parameter =
        |name| query.split('&').filter_map(|part| part.split_once('=')).find(|(key, _)| *key == name);
    if query_parameter("follow").is_none_or(|(_, value)| value != "1") {
        return Some(Call::List);
    }
    let since = query_parameter("since").map_or(Some(0), |(_, since)| since.parse().ok())?;
    Some(Call::Watch { since })
}

/// An HTTP response with the length of its body.
pub(super) fn response(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// The head of a chunked HTTP response, with which a watch begins.
pub(super) fn chunked_response_head() -> &'static [u8] {
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
}

/// A chunk that holds one line; an empty line if there is no text.
pub(super) fn chunk(text: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", text.len() + 1);
    [size.as_bytes(), text, b"\n\r\n"].concat()
}

/// Writes all of `bytes` and adds the number of bytes written to `written`, even if not all of them could be.
///
/// # Errors
/// The connection broke, or the peer does not read within the time limit.
pub(super) async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    written: &AtomicU64,
) -> Result<(), HttpError> {
    let write_all = async {
        let mut remaining = bytes;
        while !remaining.is_empty() {
            let count = stream.write(remaining).await?;
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero));
            }
            written.fetch_add(count as u64, Ordering::Relaxed);
            remaining = &remaining[count..];
        }
        Ok(())
    };
    Ok(timeout(WRITE_TIMEOUT, write_all).await.map_err(|_| HttpError::Slow)??)
}
