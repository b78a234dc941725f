//! What hyper does not report about a client's bytes: contradicting lengths, and bytes that follow a
//! request on its connection. A request whose end is ambiguous may hide another one (request smuggling).

use std::cell::{Cell, RefCell};
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use bytes::BufMut;
use socket2::SockRef;
use thiserror::Error;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::Instant;

use crate::arrival::{Arrival, OutOfMemory};
use crate::memory::UNRESERVED_MESSAGE_BYTES;

/// The head gives no unambiguous length for its request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("the lengths contradict each other")]
pub struct AmbiguousLength;

/// Maximum size of a request head, and so of hyper's buffer for a connection.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum number of bytes kept of what a client sends before it has its answer: the size of a head.
/// Clients send one request at a time, and many clients must not fill the memory.
const MAX_READ_AHEAD_BYTES: usize = MAX_HEAD_BYTES;
/// By how much hyper's buffer grows for a head over `MAX_HEAD_PIECE_BYTES`; it stays that large until the
/// connection is closed.
const PARSER_GROWTH_BYTES: usize = MAX_HEAD_BYTES / 2;
/// The largest piece of a head that hyper gets at a time: its buffer grows after a read that fills it.
const MAX_HEAD_PIECE_BYTES: usize = MAX_HEAD_BYTES / 2 - 1;
/// Sizes of the buffers for what arrives ahead of hyper; the first needs no reservation.
const BUFFER_SIZES: [usize; 4] =
    [UNRESERVED_MESSAGE_BYTES, MAX_HEAD_BYTES / 4, MAX_HEAD_PIECE_BYTES, MAX_HEAD_BYTES];
/// Maximum number of bytes that are read at a time: hyper doubles its buffer after a read that fills it.
pub const MAX_READ_BYTES: usize = 4 * 1024;

/// How many bytes are read ahead at a time.
const READ_AHEAD_PIECE_BYTES: usize = 1024;

/// How much of what a client sends behind its request is read and discarded so that its end is noticed. A client
/// that sends without an end must not keep the program reading.
const MAX_DISCARDED_BYTES: usize = 4 * 1024 * 1024;
/// How many bytes are discarded at a time.
const DISCARDED_PIECE_BYTES: usize = 16 * 1024;

/// What a client has done while its request is being answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ClientChange {
    /// It has closed its side of the connection.
    Disconnected,
    /// It has sent so much behind its request that the end of the connection may be stuck behind unread bytes.
    Unobservable,
}

/// Waits until a client that has sent too much is known to have closed its side of the connection. Some of what
/// it sends is read and discarded for that, and other tasks run in between.
pub async fn disconnected_after_excess(stream: &TcpStream) {
    if discard(stream, MAX_DISCARDED_BYTES).await == Discarded::UntilEnd {
        return;
    }
    // Readiness for urgent data, which is not asked for, also tells of the end of the connection; readiness
    // for reading would not wait, as there are unread bytes.
    while stream.ready(Interest::PRIORITY).await.is_ok_and(|ready| !ready.is_read_closed()) {
        yield_now().await;
    }
}

/// How far the bytes that a peer sends were discarded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Discarded {
    /// Until the peer closed its side of the connection, or the connection broke.
    UntilEnd,
    /// As many as allowed.
    UntilLimit,
}

/// Reads and discards at most `max_bytes` of what a peer sends; other tasks run between pieces.
pub async fn discard(stream: &TcpStream, max_bytes: usize) -> Discarded {
    let mut remaining_bytes = max_bytes;
    while remaining_bytes > 0 {
        if stream.readable().await.is_err() {
            return Discarded::UntilEnd;
        }
        match discard_piece(stream, remaining_bytes) {
            Ok(0) => return Discarded::UntilEnd,
            Ok(bytes) => remaining_bytes -= bytes,
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(_) => return Discarded::UntilEnd,
        }
        yield_now().await;
    }
    Discarded::UntilLimit
}

/// Reads and discards one piece of at most `max_bytes`; returns its size. The buffer is not held across an await.
fn discard_piece(stream: &TcpStream, max_bytes: usize) -> io::Result<usize> {
    let mut buffer = [0; DISCARDED_PIECE_BYTES];
    stream.try_read(&mut buffer[..max_bytes.min(DISCARDED_PIECE_BYTES)])
}

/// A client's received bytes that belong to no request processed so far.
#[derive(Debug)]
pub struct PendingInput {
    /// The memory for the bytes below, and for the rest of the request.
    arrival: Rc<Arrival>,
    /// Bytes that hyper has read.
    received: RefCell<Vec<u8>>,
    /// Bytes that were read from the socket ahead of hyper, which it has yet to read: the next head, which hyper
    /// gets once it is complete, and what the client sends before its answer.
    read_ahead: RefCell<Vec<u8>>,
    /// How many bytes of `read_ahead` are known not to hold the end of a head.
    scanned_bytes: Cell<usize>,
    /// How many bytes of a complete head in `read_ahead` hyper has yet to read.
    head_remaining: Cell<usize>,
    /// More bytes arrived than are kept in `read_ahead`: the next ones cannot be read as a request.
    read_ahead_overflowed: Cell<bool>,
    /// Bytes of the current request's body that have not arrived yet.
    body_remaining: Cell<u64>,
    /// When the first byte of the next request arrived.
    pending_since: Cell<Option<Instant>>,
    /// Whether hyper's buffer has grown for a large head.
    parser_has_grown: Cell<bool>,
}

impl PendingInput {
    /// Nothing has been received yet; larger requests take their memory from `arrival`.
    #[must_use]
    pub fn new(arrival: Rc<Arrival>) -> Self {
        Self {
            arrival,
            received: RefCell::default(),
            read_ahead: RefCell::default(),
            scanned_bytes: Cell::new(0),
            head_remaining: Cell::new(0),
            read_ahead_overflowed: Cell::new(false),
            body_remaining: Cell::new(0),
            pending_since: Cell::new(None),
            parser_has_grown: Cell::new(false),
        }
    }

    /// The memory of the request that is arriving.
    #[must_use]
    pub fn arrival(&self) -> &Arrival {
        &self.arrival
    }

    /// When the first byte of the next request arrived; `None` if there is none yet.
    #[must_use]
    pub fn pending_since(&self) -> Option<Instant> {
        self.pending_since.get()
    }

    /// Removes the request whose head hyper has just read.
    ///
    /// # Errors
    /// The head gives more than one length, or one that cannot be parsed.
    pub fn consume_request(&self) -> Result<(), AmbiguousLength> {
        let mut bytes = self.received.borrow_mut();
        self.pending_since.set(None);
        let head = parse_head(&bytes).ok_or(AmbiguousLength)?;
        match head {
            HeadFraming { content_lengths: 0, transfer_encodings: 0, head_bytes, .. } => {
                self.consume(&mut bytes, head_bytes, 0)
            }
            HeadFraming {
                content_lengths: 1,
                transfer_encodings: 0,
                head_bytes,
                content_length: Some(content_length),
            } => {
                self.consume(&mut bytes, head_bytes, content_length);
            }
            // Only hyper knows where a chunked body ends, so the connection is not reused.
            HeadFraming { content_lengths: 0, transfer_encodings: 1, .. } => {
                self.consume(&mut bytes, 0, u64::MAX)
            }
            _ => return Err(AmbiguousLength),
        }
        Ok(())
    }

    /// Removes a request's head and what has arrived of its body, and remembers how much is still to come.
    fn consume(&self, bytes: &mut Vec<u8>, head_bytes: usize, body_bytes: u64) {
        let available = bytes.len() - head_bytes;
        let consumed = usize::try_from(body_bytes).unwrap_or(usize::MAX).min(available);
        self.body_remaining.set(body_bytes - consumed as u64);
        bytes.drain(..head_bytes + consumed);
        if !bytes.is_empty() {
            self.pending_since.set(Some(Instant::now()));
        }
        if bytes.len() <= UNRESERVED_MESSAGE_BYTES {
            // An idle connection holds no memory here.
            bytes.shrink_to_fit();
        }
        self.arrival.shrink_buffers(self.buffer_bytes(bytes.len(), self.read_ahead.borrow().len()));
    }

    /// Discards what has been received and gives its memory back, once hyper reads no more.
    pub fn clear(&self) {
        self.received.take();
        self.read_ahead.take();
        self.pending_since.set(None);
        self.arrival.shrink_buffers(0);
    }

    /// The memory to be reserved for buffers that hold these numbers of bytes.
    fn buffer_bytes(&self, received_bytes: usize, read_ahead_bytes: usize) -> usize {
        let parser_bytes = if self.parser_has_grown.get() { PARSER_GROWTH_BYTES } else { 0 };
        parser_bytes + reserved_size(received_bytes) + reserved_size(read_ahead_bytes)
    }

    /// Whether hyper has nothing of the next request, and reads no body.
    fn expects_head(&self) -> bool {
        self.body_remaining.get() == 0 && self.received.borrow().is_empty()
    }

    /// How many bytes of `read_ahead` hyper may read; `None` while the end of a head is missing. A part of a head
    /// would make hyper's buffer grow, and be parsed anew with each further piece.
    fn complete_head_bytes(&self) -> Option<usize> {
        let read_ahead = self.read_ahead.borrow();
        let head_end = find_head_end(&read_ahead, self.scanned_bytes.get());
        self.scanned_bytes.set(read_ahead.len());
        head_end.or_else(|| {
            let has_no_end = read_ahead.len() >= MAX_HEAD_BYTES || !may_begin_request(&read_ahead);
            has_no_end.then_some(read_ahead.len())
        })
    }

    /// How many more bytes of the next head may be read now. Memory for a large one is reserved before it is read;
    /// until then the rest stays with its client.
    fn poll_head_room(&self, context: &mut Context<'_>) -> Poll<usize> {
        let read_ahead_bytes = self.read_ahead.borrow().len();
        let larger_size = BUFFER_SIZES.into_iter().find(|&size| size > read_ahead_bytes);
        let buffer_size = larger_size.unwrap_or(MAX_HEAD_BYTES);
        if buffer_size > MAX_HEAD_PIECE_BYTES {
            self.parser_has_grown.set(true);
        }
        let buffer_bytes = self.buffer_bytes(self.received.borrow().len(), buffer_size);
        match ready!(self.arrival.poll_reserve_buffers(context, buffer_bytes)) {
            Ok(()) => Poll::Ready(buffer_size - read_ahead_bytes),
            // The connection is about to be closed.
            Err(OutOfMemory) => Poll::Pending,
        }
    }

    /// Reads what a client sends ahead of hyper until it holds a complete head, or the client sends no more.
    /// Returns how many bytes of it hyper may read.
    fn poll_head(&self, context: &mut Context<'_>, stream: &TcpStream) -> Poll<io::Result<usize>> {
        loop {
            if !self.read_ahead.borrow().is_empty() && self.pending_since.get().is_none() {
                self.pending_since.set(Some(Instant::now()));
            }
            if let Some(head_bytes) = self.complete_head_bytes() {
                return Poll::Ready(Ok(head_bytes));
            }
            let room = ready!(self.poll_head_room(context));
            ready!(stream.poll_read_ready(context))?;
            let mut read_ahead = self.read_ahead.borrow_mut();
            read_ahead.reserve_exact(room);
            match stream.try_read_buf(&mut (&mut *read_ahead).limit(room)) {
                Ok(0) => return Poll::Ready(Ok(read_ahead.len())),
                Ok(_) => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
            if read_ahead.is_empty() {
                read_ahead.shrink_to_fit();
            }
        }
    }

    /// How many bytes hyper may read now. Memory for a large head is reserved before it is read; until then the
    /// rest of the head stays with its client.
    fn poll_readable_bytes(&self, context: &mut Context<'_>) -> Poll<usize> {
        let received_bytes = self.received.borrow().len();
        let body_bytes = usize::try_from(self.body_remaining.get()).unwrap_or(usize::MAX);
        let unreserved_bytes = UNRESERVED_MESSAGE_BYTES.saturating_sub(received_bytes);
        if body_bytes == 0 && unreserved_bytes == 0 {
            self.parser_has_grown.set(true);
            let buffer_bytes = self.buffer_bytes(MAX_HEAD_BYTES, self.read_ahead.borrow().len());
            return match ready!(self.arrival.poll_reserve_buffers(context, buffer_bytes)) {
                Ok(()) => Poll::Ready(MAX_READ_BYTES),
                // The connection is about to be closed.
                Err(OutOfMemory) => Poll::Pending,
            };
        }
        Poll::Ready(body_bytes.saturating_add(unreserved_bytes).min(MAX_READ_BYTES))
    }

    /// Keeps bytes that were read ahead of hyper, unless they are too many or there is no memory for them.
    fn keep_read_ahead(&self, bytes: &[u8]) {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let read_ahead_bytes = read_ahead.len() + bytes.len();
        let buffer_bytes = self.buffer_bytes(self.received.borrow().len(), read_ahead_bytes);
        if read_ahead_bytes > MAX_READ_AHEAD_BYTES || self.arrival.try_reserve_buffers(buffer_bytes).is_err()
        {
            self.read_ahead_overflowed.set(true);
            return;
        }
        let missing_bytes = reserved_size(read_ahead_bytes).saturating_sub(read_ahead.len());
        read_ahead.reserve_exact(missing_bytes);
        read_ahead.extend_from_slice(bytes);
    }

    /// Moves bytes that were read ahead to hyper; returns whether there were any.
    fn take_read_ahead(&self, buffer: &mut ReadBuf<'_>, limit: usize) -> bool {
        let mut read_ahead = self.read_ahead.borrow_mut();
        let bytes = read_ahead.len().min(buffer.remaining()).min(limit);
        if bytes == 0 {
            return false;
        }
        self.record(&read_ahead[..bytes]);
        buffer.put_slice(&read_ahead[..bytes]);
        read_ahead.drain(..bytes);
        self.scanned_bytes.set(0);
        self.head_remaining.set(self.head_remaining.get().saturating_sub(bytes));
        if read_ahead.len() <= UNRESERVED_MESSAGE_BYTES {
            read_ahead.shrink_to_fit();
        }
        true
    }

    /// Whether the bytes after the current request cannot begin another one, which means that its length
    /// was wrong.
    #[must_use]
    pub fn is_followed_by_garbage(&self) -> bool {
        let (received, read_ahead) = (self.received.borrow(), self.read_ahead.borrow());
        let following = received.iter().chain(read_ahead.iter()).copied();
        let following = following.skip_while(u8::is_ascii_whitespace);
        let may_start_with =
            |method: &&[u8]| following.clone().zip(method.iter()).all(|(byte, &expected)| byte == expected);
        ![&b"GET "[..], b"POST "].iter().any(may_start_with)
    }

    /// Waits until the client whose request is being answered has disconnected, or has sent more than is read
    /// ahead. Hyper stops reading once anything has arrived after the request, and then would not notice, so such
    /// bytes are read here. What exceeds `MAX_READ_AHEAD_BYTES` is not kept.
    pub async fn client_changed(&self, stream: &TcpStream) -> ClientChange {
        let mut buffer = [0; READ_AHEAD_PIECE_BYTES];
        while !self.read_ahead_overflowed.get() {
            if stream.readable().await.is_err() {
                return ClientChange::Disconnected;
            }
            match stream.try_read(&mut buffer) {
                Ok(0) => return ClientChange::Disconnected,
                Ok(bytes) => self.keep_read_ahead(&buffer[..bytes]),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(_) => return ClientChange::Disconnected,
            }
        }
        ClientChange::Unobservable
    }

    /// Whether some of the bytes after the current request were discarded.
    #[must_use]
    pub fn has_overflowed(&self) -> bool {
        self.read_ahead_overflowed.get()
    }

    /// Records bytes that hyper reads: the rest of the current request's body, then those of the next
    /// request.
    fn record(&self, mut bytes: &[u8]) {
        let body_bytes = usize::try_from(self.body_remaining.get()).unwrap_or(usize::MAX).min(bytes.len());
        self.body_remaining.set(self.body_remaining.get() - body_bytes as u64);
        bytes = &bytes[body_bytes..];
        if !bytes.is_empty() {
            if self.pending_since.get().is_none() {
                self.pending_since.set(Some(Instant::now()));
            }
            let mut received = self.received.borrow_mut();
            if received.len() + bytes.len() > UNRESERVED_MESSAGE_BYTES {
                let missing_bytes = MAX_HEAD_BYTES.saturating_sub(received.len());
                received.reserve_exact(missing_bytes);
            }
            received.extend_from_slice(bytes);
        }
    }
}

/// The memory to be reserved for a buffer that holds this number of bytes.
fn reserved_size(buffered_bytes: usize) -> usize {
    let size = BUFFER_SIZES.into_iter().find(|&size| buffered_bytes <= size).unwrap_or(MAX_HEAD_BYTES);
    if size == UNRESERVED_MESSAGE_BYTES { 0 } else { size }
}

/// Whether a request may begin with these bytes; empty lines may stand before it.
fn may_begin_request(bytes: &[u8]) -> bool {
    bytes.iter().find(|byte| !matches!(byte, b'\r' | b'\n')).is_none_or(u8::is_ascii_uppercase)
}

/// The position behind the empty line that ends a head; none is expected to end before `scanned_bytes`.
fn find_head_end(bytes: &[u8], scanned_bytes: usize) -> Option<usize> {
    let begin = bytes.iter().position(|byte| !matches!(byte, b'\r' | b'\n'))?;
    let unscanned = scanned_bytes.max(begin);
    let mut line_ends = (unscanned..bytes.len()).filter(|&position| bytes[position] == b'\n');
    let ends_empty_line = |&position: &usize| {
        let line = &bytes[begin..position];
        line.strip_suffix(b"\r").unwrap_or(line).ends_with(b"\n")
    };
    line_ends.find(ends_empty_line).map(|position| position + 1)
}

/// The header fields of a request head that determine its length.
struct HeadFraming {
    /// Size of the request head, including line ends before it.
    head_bytes: usize,
    /// The number of `Content-Length` fields.
    content_lengths: usize,
    /// The value of the last `Content-Length` field; `None` if it is not a number.
    content_length: Option<u64>,
    /// The number of `Transfer-Encoding` fields.
    transfer_encodings: usize,
}

/// Parses a request head that hyper has accepted; `None` if its end is missing.
fn parse_head(bytes: &[u8]) -> Option<HeadFraming> {
    let mut head =
        HeadFraming { head_bytes: 0, content_lengths: 0, content_length: None, transfer_encodings: 0 };
    let mut seen_line = false;
    for line in bytes.split_inclusive(|&byte| byte == b'\n') {
        head.head_bytes += line.len();
        let line = line.strip_suffix(b"\n")?;
        let line = line.strip_suffix(b"\r").unwrap_or(line);
        if line.is_empty() {
            if seen_line {
                return Some(head);
            }
            continue;
        }
        seen_line = true;
        let Some(colon) = line.iter().position(|&byte| byte == b':') else { continue };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"content-length") {
            head.content_lengths += 1;
            head.content_length = std::str::from_utf8(value).ok().and_then(|value| value.parse().ok());
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            head.transfer_encodings += 1;
        }
    }
    None
}

/// Whether a client takes what is written to it.
#[derive(Debug, Default)]
pub struct OutputProgress {
    /// Since when the socket has accepted no bytes although some are to be written.
    blocked_since: Cell<Option<Instant>>,
}

impl OutputProgress {
    /// Since when the socket has accepted no bytes although some are to be written.
    #[must_use]
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since.get()
    }

    /// Records the result of a write.
    fn record(&self, result: &Poll<io::Result<usize>>) {
        if result.is_ready() {
            self.blocked_since.set(None);
        } else if self.blocked_since.get().is_none() {
            self.blocked_since.set(Some(Instant::now()));
        }
    }
}

/// A client's socket that records all bytes read from it, and whether bytes can be written to it.
pub struct InspectedStream {
    /// The client's socket.
    stream: Rc<TcpStream>,
    /// Records the bytes that are read.
    input: Rc<PendingInput>,
    /// Records whether bytes can be written.
    output: Rc<OutputProgress>,
}

impl InspectedStream {
    /// Records in `input` what is read from the socket, and in `output` whether it can be written.
    #[must_use]
    pub fn new(stream: Rc<TcpStream>, input: Rc<PendingInput>, output: Rc<OutputProgress>) -> Self {
        Self { stream, input, output }
    }

    /// Calls `write` once the socket is writable, until it does not block.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let result = self.poll_write_socket(context, write);
        self.output.record(&result);
        result
    }

    /// Calls `write` once the socket is writable, until it does not block, and records nothing.
    fn poll_write_socket(
        &self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

impl AsyncRead for InspectedStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.input.expects_head() {
            self.input.head_remaining.set(ready!(self.input.poll_head(context, &self.stream))?);
        }
        let limit = match self.input.head_remaining.get() {
            0 => ready!(self.input.poll_readable_bytes(context)),
            head_remaining => head_remaining.min(MAX_HEAD_PIECE_BYTES),
        };
        if self.input.take_read_ahead(buffer, limit) {
            return Poll::Ready(Ok(()));
        }
        let filled_before = buffer.filled().len();
        loop {
            ready!(self.stream.poll_read_ready(context))?;
            match self.stream.try_read_buf(&mut (&mut *buffer).limit(limit)) {
                Ok(_) => {
                    self.input.record(&buffer.filled()[filled_before..]);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for InspectedStream {
    fn poll_write(self: Pin<&mut Self>, context: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(parts))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}

#[cfg(test)]
mod tests;
