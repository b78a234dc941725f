//! Memory for requests that are still arriving. A client may stop in the middle of a request, so that memory
//! which runs short is taken back from the requests that hold the most for the longest. Such a request has
//! not begun for its client, who gets an error or a close.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use thiserror::Error;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::body::BodyBuffer;
use crate::memory::{MemoryPool, Reservation, ReservedBytes};

/// A request that has been arriving for less time than this keeps its memory: its client is most likely
/// sending the rest just now.
const MIN_AGE_TO_EVICT: Duration = Duration::from_millis(250);

/// There is no memory for a request, and none can be taken back from another one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Error)]
#[error("no memory is left for the request")]
pub struct OutOfMemory;

/// The memory for arriving requests of all client connections.
#[derive(Debug)]
pub struct ArrivalMemory {
    /// The memory for large heads and bodies.
    pool: Arc<MemoryPool>,
    /// The arrivals of the open connections by number.
    arrivals: RefCell<BTreeMap<u64, Weak<Arrival>>>,
    /// The number that the next arrival gets.
    next_number: Cell<u64>,
}

impl ArrivalMemory {
    /// Takes the memory of arriving requests from `pool`.
    #[must_use]
    pub fn new(pool: Arc<MemoryPool>) -> Rc<Self> {
        Rc::new(Self { pool, arrivals: RefCell::default(), next_number: Cell::new(0) })
    }

    /// The memory of the requests that arrive on one client connection, one after another.
    #[must_use]
    pub fn register(self: &Rc<Self>) -> Rc<Arrival> {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let arrival = Rc::new(Arrival {
            memory: Rc::clone(self),
            number,
            began_at: Cell::new(Instant::now()),
            answering: Cell::new(false),
            buffers: RefCell::default(),
            body: RefCell::default(),
            closing: Cell::new(false),
            evicted: Notify::new(),
        });
        self.arrivals.borrow_mut().insert(number, Rc::downgrade(&arrival));
        arrival
    }

    /// Takes memory back until no more is reserved than allowed, after the limit was lowered.
    pub fn evict_excess(&self) {
        let mut closing_bytes = 0;
        while self.pool.excess_bytes() > closing_bytes {
            match self.evict_one(None, Duration::ZERO) {
                Some(Evicted::Body) => {}
                Some(Evicted::Connection { reserved_bytes }) => closing_bytes += reserved_bytes,
                None => return,
            }
        }
    }

    /// Reserves memory for `arrival`; other arrivals are evicted if there is not enough.
    fn reserve(&self, arrival: &Arrival, bytes: usize) -> Result<Reservation, OutOfMemory> {
        let mut closing_bytes = 0;
        while closing_bytes < bytes {
            if let Some(reservation) = self.pool.try_reserve(bytes) {
                return Ok(reservation);
            }
            match self.evict_one(Some(arrival.number), MIN_AGE_TO_EVICT).ok_or(OutOfMemory)? {
                Evicted::Body => {}
                Evicted::Connection { reserved_bytes } => closing_bytes += reserved_bytes,
            }
        }
        Err(OutOfMemory)
    }

    /// Takes back the memory of the arrival that holds the most for the longest, but at least for `min_age`,
    /// apart from the one with the number `except`; `None` if there is no such arrival.
    fn evict_one(&self, except: Option<u64>, min_age: Duration) -> Option<Evicted> {
        let now = Instant::now();
        let heaviest = self
            .arrivals
            .borrow()
            .iter()
            .filter(|&(&number, _)| Some(number) != except)
            .filter_map(|(_, arrival)| arrival.upgrade())
            .filter_map(|arrival| Some((arrival.eviction_weight(now, min_age)?, arrival)))
            .max_by_key(|&(weight, _)| weight);
        heaviest.map(|(_, arrival)| arrival.evict())
    }
}

/// What was evicted to take memory back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evicted {
    /// The body of a request; its memory is free at once.
    Body,
    /// A connection between requests; its memory is free once it is closed.
    Connection {
        /// The memory that the connection has reserved.
        reserved_bytes: usize,
    },
}

/// How far the body of a request has arrived.
#[derive(Debug, Default)]
enum BodyProgress {
    /// No body is arriving.
    #[default]
    None,
    /// A part of the body has arrived.
    Partial(BodyBuffer),
    /// The memory of the body was needed for other requests.
    Evicted,
}

/// What is held of the request that arrives on a client connection.
#[derive(Debug)]
pub struct Arrival {
    /// The memory of all arrivals.
    memory: Rc<ArrivalMemory>,
    /// The number of this arrival.
    number: u64,
    /// When memory was first reserved for the request.
    began_at: Cell<Instant>,
    /// Whether a request whose head is complete has no answer yet.
    answering: Cell<bool>,
    /// The memory of buffers for a large head, and for bytes that follow a request before its answer.
    buffers: RefCell<Option<Reservation>>,
    /// What has arrived of the body.
    body: RefCell<BodyProgress>,
    /// Whether the connection has been chosen for being closed.
    closing: Cell<bool>,
    /// Notified when memory is taken back.
    evicted: Notify,
}

impl Arrival {
    /// A request's head is complete; until [`Arrival::end_request`] only the memory of its body can be taken
    /// back.
    pub fn begin_request(&self) {
        self.answering.set(true);
        self.body.replace(BodyProgress::None);
    }

    /// The request has its answer.
    pub fn end_request(&self) {
        self.answering.set(false);
        self.body.replace(BodyProgress::None);
    }

    /// Reserves memory for buffers of this size in all, unless they have it already.
    ///
    /// # Errors
    /// There is no memory left.
    pub fn reserve_buffers(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let mut buffers = self.buffers.borrow_mut();
        let reserved_bytes = buffers.as_ref().map_or(0, Reservation::bytes);
        if bytes <= reserved_bytes {
            return Ok(());
        }
        if reserved_bytes == 0 {
            self.began_at.set(Instant::now());
        }
        let addition = self.memory.reserve(self, bytes - reserved_bytes)?;
        match &mut *buffers {
            Some(reservation) => reservation.merge(addition),
            None => *buffers = Some(addition),
        }
        Ok(())
    }

    /// The number of bytes that are reserved for buffers.
    #[must_use]
    pub fn buffer_reservation(&self) -> usize {
        self.buffers.borrow().as_ref().map_or(0, Reservation::bytes)
    }

    /// Gives back what is reserved for buffers beyond this size.
    pub fn shrink_buffers(&self, bytes: usize) {
        if let Some(reservation) = &mut *self.buffers.borrow_mut() {
            reservation.shrink_to(bytes);
        }
    }

    /// Adds a piece to the body of the request.
    ///
    /// # Errors
    /// There is no memory left for the body, or it was taken back.
    pub fn push_body(&self, piece: &[u8], stated_bytes: Option<usize>) -> Result<(), OutOfMemory> {
        let missing = match &*self.body.borrow() {
            BodyProgress::None => BodyBuffer::default().missing_reservation(piece.len(), stated_bytes),
            BodyProgress::Partial(buffer) => buffer.missing_reservation(piece.len(), stated_bytes),
            BodyProgress::Evicted => return Err(OutOfMemory),
        };
        let reservation = missing.map(|bytes| self.memory.reserve(self, bytes)).transpose()?;
        let mut body = self.body.borrow_mut();
        if matches!(*body, BodyProgress::None) {
            self.began_at.set(Instant::now());
            *body = BodyProgress::Partial(BodyBuffer::default());
        }
        if let BodyProgress::Partial(buffer) = &mut *body {
            if let Some(reservation) = reservation {
                buffer.set_reservation(reservation);
            }
            buffer.push(piece, stated_bytes);
        }
        Ok(())
    }

    /// The complete body of the request.
    ///
    /// # Errors
    /// Its memory was taken back.
    pub fn finish_body(&self) -> Result<ReservedBytes, OutOfMemory> {
        match self.body.take() {
            BodyProgress::None => Ok(ReservedBytes::default()),
            BodyProgress::Partial(buffer) => Ok(buffer.finish()),
            BodyProgress::Evicted => Err(OutOfMemory),
        }
    }

    /// Waits until the memory of the body is taken back.
    pub async fn body_evicted(&self) {
        while !matches!(*self.body.borrow(), BodyProgress::Evicted) {
            self.evicted.notified().await;
        }
    }

    /// Waits until the connection is to be closed, because its memory is needed.
    pub async fn connection_evicted(&self) {
        while !self.closing.get() {
            self.evicted.notified().await;
        }
    }

    /// How much is held and for how long, in bytes times milliseconds; `None` if it is held for less than
    /// `min_age`, or no memory can be taken back.
    fn eviction_weight(&self, now: Instant, min_age: Duration) -> Option<u128> {
        let evictable_bytes = match &*self.body.borrow() {
            BodyProgress::Partial(buffer) => buffer.reserved_bytes(),
            _ if self.answering.get() || self.closing.get() => 0,
            _ => self.buffer_reservation(),
        };
        let age = now.saturating_duration_since(self.began_at.get());
        (evictable_bytes > 0 && age >= min_age).then(|| evictable_bytes as u128 * age.as_millis())
    }

    /// Takes the memory back.
    fn evict(&self) -> Evicted {
        let evicted = if self.answering.get() {
            self.body.replace(BodyProgress::Evicted);
            Evicted::Body
        } else {
            self.closing.set(true);
            let reserved_bytes = self.buffer_reservation();
            Evicted::Connection { reserved_bytes }
        };
        self.evicted.notify_waiters();
        evicted
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.memory.arrivals.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
