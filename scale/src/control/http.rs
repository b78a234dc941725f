//! The little of HTTP/1.1 that discovery speaks: requests without a body, answers of known length and chunks.

#[cfg(test)]
mod tests;

use std::io;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use thiserror::Error;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::time::timeout;

/// Bytes of a request's head at most.
const HEAD_MOST: usize = 8 << 10;
/// Bytes read at a time.
const READ_AT_ONCE: usize = 1 << 10;
/// How long a peer may take to make room for one answer or line.
const WRITE_WITHIN: Duration = Duration::from_secs(5);
/// The path of the list and of the watch.
const MEMBERS: &str = "/catalog/members";

/// What a call asks for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Call {
    /// The whole list.
    List,
    /// A watch from this version on.
    Watch {
        /// The version that the caller has; 0 for none.
        since: u64,
    },
    /// Something that discovery does not have.
    Unknown,
}

/// Why a connection ends.
#[derive(Debug, Error)]
pub(super) enum HttpError {
    /// The peer has closed it, or it broke.
    #[error("the connection ended: {0}")]
    Ended(#[from] io::Error),
    /// The request's head is too long or no text.
    #[error("a malformed request")]
    Malformed,
    /// The peer does not read.
    #[error("the peer does not read")]
    Slow,
}

/// Reads requests from a connection.
#[derive(Debug, Default)]
pub(super) struct Requests {
    text: Vec<u8>,
}

impl Requests {
    /// The next request; one may come in pieces.
    pub(super) async fn next(&mut self, stream: &mut (impl AsyncRead + Unpin)) -> Result<Call, HttpError> {
        loop {
            if let Some(end) = head_end(&self.text) {
                let head: Vec<u8> = self.text.drain(..end).collect();
                return call(&head).ok_or(HttpError::Malformed);
            }
            if self.text.len() > HEAD_MOST {
                return Err(HttpError::Malformed);
            }
            let mut bytes = [0; READ_AT_ONCE];
            match stream.read(&mut bytes).await? {
                0 => return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into()),
                count => self.text.extend_from_slice(&bytes[..count]),
            }
        }
    }
}

fn head_end(text: &[u8]) -> Option<usize> {
    const END: &[u8] = b"\r\n\r\n";
    text.windows(END.len()).position(|window| window == END).map(|place| place + END.len())
}

fn call(head: &[u8]) -> Option<Call> {
    let head = std::str::from_utf8(head).ok()?;
    let mut words = head.lines().next()?.split(' ');
    let (method, target) = (words.next()?, words.next()?);
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    if method != "GET" || path != MEMBERS {
        return Some(Call::Unknown);
    }
    let value = |name| query.split('&').filter_map(|part| part.split_once('=')).find(|(key, _)| *key == name);
    if value("follow").is_none_or(|(_, value)| value != "1") {
        return Some(Call::List);
    }
    let since = value("since").map_or(Some(0), |(_, since)| since.parse().ok())?;
    Some(Call::Watch { since })
}

/// An answer of known length.
pub(super) fn answer(status: &str, body: &[u8]) -> Vec<u8> {
    let head = format!(
        "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    [head.as_bytes(), body].concat()
}

/// The head of an answer in chunks.
pub(super) fn chunked_head() -> &'static [u8] {
    b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"
}

/// A chunk that holds one line; an empty one where there is no text.
pub(super) fn chunk(text: &[u8]) -> Vec<u8> {
    let size = format!("{:x}\r\n", text.len() + 1);
    [size.as_bytes(), text, b"\n\r\n"].concat()
}

/// Writes the whole of `bytes` and adds to `written` what the connection has taken.
///
/// # Errors
/// The connection broke, or its peer does not make room in time.
pub(super) async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    bytes: &[u8],
    written: &AtomicU64,
) -> Result<(), HttpError> {
    let all = async {
        let mut left = bytes;
        while !left.is_empty() {
            let count = stream.write(left).await?;
            if count == 0 {
                return Err(io::Error::from(io::ErrorKind::WriteZero));
            }
            written.fetch_add(count as u64, Ordering::Relaxed);
            left = &left[count..];
        }
        Ok(())
    };
    Ok(timeout(WRITE_WITHIN, all).await.map_err(|_| HttpError::Slow)??)
}
