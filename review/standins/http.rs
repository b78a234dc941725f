//! As much HTTP/1.1 as the stand-ins need: messages with a `Content-Length` or without a body.

use std::io::{ErrorKind, Read};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// A received message.
#[derive(Debug, Clone)]
pub struct Message {
    /// The request line or the status line.
    pub line: String,
    /// The header fields, names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(field, _)| field == name).map(|(_, value)| value.as_str())
    }

    /// The status of an answer.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }

    /// The path of a request, with its query.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Why no message was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// The peer has closed or reset the connection before a byte of the message.
    ClosedBefore,
    /// The peer has closed or reset the connection within the message.
    ClosedWithin,
    /// Nothing (more) came in time.
    TimedOut,
}

/// A connection whose messages are read one after another.
pub struct Connection {
    pub stream: TcpStream,
    received: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, received: Vec::new() }
    }

    /// Reads the next message; gives up at `until`, if there is one.
    pub fn read(&mut self, until: Option<Instant>) -> Result<Message, End> {
        loop {
            if let Some(message) = self.take_message() {
                return Ok(message);
            }
            let closed = if self.received.is_empty() { End::ClosedBefore } else { End::ClosedWithin };
            let timeout = match until {
                None => None,
                Some(until) => {
                    let left = until.saturating_duration_since(Instant::now());
                    if left.is_zero() {
                        return Err(End::TimedOut);
                    }
                    Some(left.max(Duration::from_millis(1)))
                }
            };
            let _ = self.stream.set_read_timeout(timeout);
            let mut buffer = [0; 16 * 1024];
            match self.stream.read(&mut buffer) {
                Ok(0) => return Err(closed),
                Ok(bytes) => self.received.extend_from_slice(&buffer[..bytes]),
                Err(error) if matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(_) => return Err(closed),
            }
        }
    }

    /// Takes a message from what was received; `None` if it is not complete.
    fn take_message(&mut self) -> Option<Message> {
        let head_end = self.received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
        let head = String::from_utf8_lossy(&self.received[..head_end]).into_owned();
        let mut lines = head.split("\r\n");
        let line = lines.next().unwrap_or("").to_owned();
        let headers: Vec<(String, String)> = lines
            .filter_map(|line| line.split_once(':'))
            .map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()))
            .collect();
        let length: usize = headers
            .iter()
            .find(|(name, _)| name == "content-length")
            .and_then(|(_, value)| value.parse().ok())
            .unwrap_or(0);
        if self.received.len() < head_end + length {
            return None;
        }
        let body = self.received[head_end..head_end + length].to_vec();
        self.received.drain(..head_end + length);
        Some(Message { line, headers, body })
    }
}

/// An answer with this status line, further header lines (each ended) and body.
pub fn answer(status: &str, headers: &str, body: &[u8]) -> Vec<u8> {
    let mut bytes =
        format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
