//! Limits on the memory that peers can make the process hold. The platform kills a process that exceeds
//! `limits.memory_mb`, and with it every request in progress, so each use that a peer controls has a share of
//! that limit which it cannot exceed.

use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Buf, Bytes};
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

/// The number of bytes in a megabyte of `limits.memory_mb`.
pub const BYTES_PER_MEGABYTE: usize = 1_000_000;
/// Memory of the program without any peer: code and constants, the runtime, the settings.
const PROGRAM_BYTES: usize = 6_000_000;
/// Memory of one open connection: its task, its buffers, and messages of at most
/// [`UNRESERVED_MESSAGE_BYTES`].
const CONNECTION_BYTES: usize = 20 * 1024;
/// Messages up to this size belong to the memory of their connection; larger ones need a reservation.
/// Ordinary requests and answers are smaller, so that a flood of large ones does not affect them.
pub const UNRESERVED_MESSAGE_BYTES: usize = 2 * 1024;
/// Share of the memory beyond [`PROGRAM_BYTES`] that open connections may use.
const CONNECTIONS_SHARE: f64 = 0.45;
/// Share of the memory beyond [`PROGRAM_BYTES`] that large heads and bodies of requests may use.
const REQUESTS_SHARE: f64 = 0.12;
/// Share of the memory beyond [`PROGRAM_BYTES`] that large answers may use.
const ANSWERS_SHARE: f64 = 0.12;
/// Share of the memory beyond [`PROGRAM_BYTES`] that the list of upstreams and its updates may use. The rest,
/// 0.15, is for gaps between buffers of different sizes, which the allocator cannot give out again.
const LISTS_SHARE: f64 = 0.16;
/// Memory for one listed upstream: its entry and the state of the decisions, and its part of an update while
/// that is read.
const LIST_ENTRY_BYTES: usize = 1250;
/// The part of the memory for lists that one message of a watch may have; the rest is for what is read from it.
const MESSAGE_DIVISOR: usize = 2;

/// How the memory limit of the process is divided among the uses that peers control.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryPlan {
    /// How many connections may be open, of clients, to upstreams and to discovery together.
    pub max_connections: usize,
    /// Bytes for large heads and bodies of requests.
    pub request_bytes: usize,
    /// Bytes for large answers.
    pub answer_bytes: usize,
    /// Bytes for the list of upstreams, and for the updates of it that are being read.
    pub list_bytes: usize,
}

impl MemoryPlan {
    /// How many upstreams may be listed.
    #[must_use]
    pub fn max_list_entries(&self) -> usize {
        self.list_bytes / LIST_ENTRY_BYTES
    }

    /// The largest message of a watch, in bytes.
    #[must_use]
    pub fn max_message_bytes(&self) -> usize {
        self.list_bytes / MESSAGE_DIVISOR
    }

    /// Divides a limit, which is given in bytes.
    #[must_use]
    pub fn for_limit(limit_bytes: usize) -> Self {
        let peer_bytes = limit_bytes.saturating_sub(PROGRAM_BYTES) as f64;
        let share_bytes = |share: f64| (peer_bytes * share) as usize;
        Self {
            max_connections: share_bytes(CONNECTIONS_SHARE) / CONNECTION_BYTES,
            request_bytes: share_bytes(REQUESTS_SHARE),
            answer_bytes: share_bytes(ANSWERS_SHARE),
            list_bytes: share_bytes(LISTS_SHARE),
        }
    }
}

/// A limited amount of memory for one use. Whoever holds bytes for that use holds a [`Reservation`] of the
/// same size.
#[derive(Debug)]
pub struct MemoryPool {
    /// The most bytes that may be reserved at a time.
    limit_bytes: AtomicUsize,
    /// The bytes that are reserved now; over the limit after it was lowered.
    reserved_bytes: AtomicUsize,
    /// Notified whenever bytes become available.
    released: Notify,
}

impl MemoryPool {
    /// A pool of this many bytes, none of them reserved.
    #[must_use]
    pub fn new(limit_bytes: usize) -> Arc<Self> {
        Arc::new(Self {
            limit_bytes: AtomicUsize::new(limit_bytes),
            reserved_bytes: AtomicUsize::new(0),
            released: Notify::new(),
        })
    }

    /// Changes the limit. Reservations beyond it stay, but no new ones are made until they are released.
    pub fn set_limit(&self, limit_bytes: usize) {
        self.limit_bytes.store(limit_bytes, Ordering::Relaxed);
        self.released.notify_waiters();
    }

    /// The number of bytes that are reserved.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.reserved_bytes.load(Ordering::Relaxed)
    }

    /// How many bytes are reserved beyond the limit, because it was lowered.
    #[must_use]
    pub fn excess_bytes(&self) -> usize {
        self.reserved_bytes().saturating_sub(self.limit_bytes.load(Ordering::Relaxed))
    }

    /// How many bytes can be reserved now.
    #[must_use]
    pub fn available_bytes(&self) -> usize {
        self.limit_bytes.load(Ordering::Relaxed).saturating_sub(self.reserved_bytes())
    }

    /// Completes at the next release, or change of the limit, after this call.
    pub fn released(&self) -> Notified<'_> {
        self.released.notified()
    }

    /// Reserves this many bytes; `None` if fewer are available.
    #[must_use]
    pub fn try_reserve(self: &Arc<Self>, bytes: usize) -> Option<Reservation> {
        let limit_bytes = self.limit_bytes.load(Ordering::Relaxed);
        let add = |reserved_bytes: usize| {
            reserved_bytes.checked_add(bytes).filter(|&new_bytes| new_bytes <= limit_bytes)
        };
        let reserved = self.reserved_bytes.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
        reserved.is_ok().then(|| Reservation { pool: Arc::clone(self), bytes })
    }

    /// Reserves this many bytes as soon as they are available, which may be never: the caller sets a time
    /// limit.
    pub async fn reserve(self: &Arc<Self>, bytes: usize) -> Reservation {
        loop {
            let mut released = pin!(self.released.notified());
            // From here on a release is noticed, also one before the await below.
            released.as_mut().enable();
            if let Some(reservation) = self.try_reserve(bytes) {
                return reservation;
            }
            released.await;
        }
    }

    /// Makes reserved bytes available again.
    fn release(&self, bytes: usize) {
        if bytes > 0 {
            self.reserved_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.released.notify_waiters();
        }
    }
}

/// A number of bytes of a [`MemoryPool`], which are available again once this is dropped.
#[derive(Debug)]
pub struct Reservation {
    /// The pool that the bytes belong to.
    pool: Arc<MemoryPool>,
    /// The number of bytes.
    bytes: usize,
}

impl Reservation {
    /// The number of bytes that are reserved.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Adds the bytes of another reservation in the same pool.
    pub fn merge(&mut self, mut other: Self) {
        debug_assert!(Arc::ptr_eq(&self.pool, &other.pool), "reservations of one pool");
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Gives back what exceeds this many bytes.
    pub fn shrink_to(&mut self, bytes: usize) {
        let released = self.bytes.saturating_sub(bytes);
        self.bytes -= released;
        self.pool.release(released);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.pool.release(self.bytes);
    }
}

/// A complete message body together with the reservation of its memory, which is released with the last copy.
#[derive(Debug, Clone, Default)]
pub struct ReservedBytes {
    /// The bytes of the body that have not been sent yet.
    bytes: Bytes,
    /// The reserved memory; `None` for a body of at most [`UNRESERVED_MESSAGE_BYTES`].
    _reservation: Option<Arc<Reservation>>,
}

impl ReservedBytes {
    /// Keeps `reservation` for as long as the bytes.
    #[must_use]
    pub fn new(bytes: Bytes, reservation: Option<Reservation>) -> Self {
        Self { bytes, _reservation: reservation.map(Arc::new) }
    }

    /// The number of bytes.
    #[must_use]
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are no bytes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }
}

impl From<Bytes> for ReservedBytes {
    fn from(bytes: Bytes) -> Self {
        Self::new(bytes, None)
    }
}

impl PartialEq for ReservedBytes {
    fn eq(&self, other: &Self) -> bool {
        self.bytes == other.bytes
    }
}

impl Eq for ReservedBytes {}

impl Buf for ReservedBytes {
    fn remaining(&self) -> usize {
        self.bytes.remaining()
    }

    fn chunk(&self) -> &[u8] {
        self.bytes.chunk()
    }

    fn advance(&mut self, count: usize) {
        self.bytes.advance(count);
    }
}

#[cfg(test)]
mod tests;
