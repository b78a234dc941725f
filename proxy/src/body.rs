//! Message bodies: each is collected in a buffer of its own, for which memory is reserved.

use std::error::Error;
use std::sync::Arc;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};

use crate::memory::{MemoryPool, Reservation, ReservedBytes, UNRESERVED_MESSAGE_BYTES};

/// Maximum size of a body, of requests and responses.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Why a body cannot be read: it is larger than [`MAX_BODY_BYTES`], or incomplete.
pub type BodyError = Box<dyn Error + Send + Sync>;

/// Collects the pieces of a body. A piece as received keeps the whole read buffer alive, even if it is a
/// single byte, so that pieces are copied.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    /// What has been received.
    bytes: Vec<u8>,
    /// The memory of the complete body; `None` while [`UNRESERVED_MESSAGE_BYTES`] are enough.
    reservation: Option<Reservation>,
}

impl BodyBuffer {
    /// The number of bytes that have to be reserved before a piece of `piece_bytes` can be added; `None` if
    /// there is room for it. Memory is reserved once, for the complete body, so that bodies never wait for
    /// each other. Without a stated length that is the largest body allowed.
    #[must_use]
    pub fn missing_reservation(&self, piece_bytes: usize, stated_bytes: Option<usize>) -> Option<usize> {
        let expected_bytes = stated_bytes.unwrap_or(0).max(self.bytes.len() + piece_bytes);
        if self.reservation.is_some() || expected_bytes <= UNRESERVED_MESSAGE_BYTES {
            return None;
        }
        Some(stated_bytes.unwrap_or(MAX_BODY_BYTES).max(expected_bytes))
    }

    /// Keeps the memory that [`BodyBuffer::missing_reservation`] asked for.
    pub fn set_reservation(&mut self, reservation: Reservation) {
        self.reservation = Some(reservation);
    }

    /// The number of bytes that are reserved for the body.
    #[must_use]
    pub fn reserved_bytes(&self) -> usize {
        self.reservation.as_ref().map_or(0, Reservation::bytes)
    }

    /// Adds a piece.
    pub fn push(&mut self, piece: &[u8], stated_bytes: Option<usize>) {
        if let Some(stated_bytes) = stated_bytes {
            self.bytes.reserve_exact(stated_bytes.saturating_sub(self.bytes.len()));
        }
        self.bytes.extend_from_slice(piece);
    }

    /// The complete body, with no more memory than it needs.
    #[must_use]
    pub fn finish(mut self) -> ReservedBytes {
        self.bytes.shrink_to_fit();
        if let Some(reservation) = &mut self.reservation {
            reservation.shrink_to(self.bytes.len());
        }
        ReservedBytes::new(Bytes::from(self.bytes), self.reservation)
    }
}

/// The length of a body, if its sender has stated it and it is not over [`MAX_BODY_BYTES`].
#[must_use]
pub fn stated_length(body: &impl Body) -> Option<usize> {
    let length = usize::try_from(body.size_hint().exact()?).ok()?;
    (length <= MAX_BODY_BYTES).then_some(length)
}

/// Reads a complete body; while `pool` has no memory for it, it stays with its sender.
///
/// # Errors
/// The body is larger than [`MAX_BODY_BYTES`], or incomplete.
pub async fn read_body(pool: &Arc<MemoryPool>, body: Incoming) -> Result<ReservedBytes, BodyError> {
    let stated_bytes = stated_length(&body);
    let mut body = Limited::new(body, MAX_BODY_BYTES);
    let mut buffer = BodyBuffer::default();
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame?.into_data() else { continue };
        if let Some(bytes) = buffer.missing_reservation(piece.len(), stated_bytes) {
            buffer.set_reservation(pool.reserve(bytes).await);
        }
        buffer.push(&piece, stated_bytes);
    }
    Ok(buffer.finish())
}
