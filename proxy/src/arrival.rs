//! Memory for requests that are still arriving. A client may stop in the middle of a request, so that memory
//! which runs short is taken back from the requests that hold the most for the longest. Such a request has
//! not begun for its client, who gets an error or a close. Requests for which there is no memory yet wait for
//! it in a queue.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use thiserror::Error;
use tokio::sync::Notify;
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::body::BodyBuffer;
use crate::memory::{MemoryPool, Reservation, ReservedBytes};

mod queue;

use queue::ReservationQueue;

/// A request that has been arriving for less time than this keeps its memory: its client is most likely
/// sending the rest just now.
const MIN_AGE_TO_EVICT: Duration = Duration::from_millis(250);
/// A connection that has been between requests for less time than this is closed for its buffers or its socket only
/// as a last resort: its client may rely on it.
pub const MIN_IDLE_TO_EVICT: Duration = Duration::from_secs(2);
/// The longest that a request waits for memory. Its last byte may have arrived when the wait begins, and a
/// refusal is of use for half a second after the client's time limit, however short that is.
const MAX_WAIT: Duration = Duration::from_millis(400);

/// There is no memory for a request, and none became available in time.
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
    /// The arrivals that wait for memory.
    queue: ReservationQueue,
}

impl ArrivalMemory {
    /// Takes the memory of arriving requests from `pool`.
    #[must_use]
    pub fn new(pool: Arc<MemoryPool>) -> Rc<Self> {
        Rc::new(Self {
            pool,
            arrivals: RefCell::default(),
            next_number: Cell::new(0),
            queue: ReservationQueue::default(),
        })
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
            arriving: Cell::new(false),
            answering: Cell::new(false),
            buffers: RefCell::default(),
            head_bytes: Cell::new(0),
            body: RefCell::default(),
            closing: Cell::new(false),
            evicted: Notify::new(),
            awaited_buffers: RefCell::default(),
            waited: Cell::new(Duration::ZERO),
        });
        self.arrivals.borrow_mut().insert(number, Rc::downgrade(&arrival));
        arrival
    }

    /// Takes memory back until no more is reserved than allowed, after the limit was lowered.
    pub fn evict_excess(&self) {
        let mut closing_bytes = 0;
        while self.pool.excess_bytes() > closing_bytes {
            match self.evict_one(MinAge::NONE) {
                Some(Evicted::Body) => {}
                Some(Evicted::Connection { reserved_bytes }) => closing_bytes += reserved_bytes,
                None => return,
            }
        }
    }

    /// Reserves memory for an arrival if it is available and no other arrival waits for it.
    fn try_reserve(&self, bytes: usize) -> Option<Reservation> {
        if self.queue.is_empty() { self.pool.try_reserve(bytes) } else { None }
    }

    /// Takes back the memory of the arrival that holds the most for the longest, but at least for `min_age`;
    /// `None` if there is no such arrival.
    fn evict_one(&self, min_age: MinAge) -> Option<Evicted> {
        let now = Instant::now();
        let heaviest = self
            .open_arrivals()
            .filter_map(|arrival| Some((arrival.eviction_weight(now, min_age)?, arrival)))
            .max_by_key(|&(weight, _)| weight);
        heaviest.map(|(_, arrival)| arrival.evict())
    }

    /// The arrivals of the open connections.
    fn open_arrivals(&self) -> impl Iterator<Item = Rc<Arrival>> {
        let arrivals: Vec<Rc<Arrival>> = self.arrivals.borrow().values().filter_map(Weak::upgrade).collect();
        arrivals.into_iter()
    }
}

/// For how long arrivals keep their memory although others need it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct MinAge {
    /// Since memory was reserved for a request that is arriving.
    arriving: Duration,
    /// Since the last answer on a connection between requests.
    idle: Duration,
}

impl MinAge {
    /// Memory is taken back at once.
    const NONE: Self = Self { arriving: Duration::ZERO, idle: Duration::ZERO };
    /// Memory is needed for other requests.
    const USUAL: Self = Self { arriving: MIN_AGE_TO_EVICT, idle: MIN_IDLE_TO_EVICT };
    /// Otherwise a request will soon be refused.
    const LAST_RESORT: Self = Self { arriving: MIN_AGE_TO_EVICT, idle: MIN_AGE_TO_EVICT };
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
    /// When memory was last reserved for the request's head, or first for its body, or the last answer was made.
    began_at: Cell<Instant>,
    /// Whether memory was reserved for a request whose head is not complete yet.
    arriving: Cell<bool>,
    /// Whether a request whose head is complete has no answer yet.
    answering: Cell<bool>,
    /// The memory of buffers for a large head, and for bytes that follow a request before its answer.
    buffers: RefCell<Option<Reservation>>,
    /// The memory that is reserved for the values of a large head while the body arrives.
    head_bytes: Cell<usize>,
    /// What has arrived of the body.
    body: RefCell<BodyProgress>,
    /// Whether the connection has been chosen for being closed.
    closing: Cell<bool>,
    /// Notified when memory is taken back.
    evicted: Notify,
    /// The memory for buffers that is waited for.
    awaited_buffers: RefCell<Option<AwaitedMemory>>,
    /// How long the current request has waited for memory, apart from the present wait.
    waited: Cell<Duration>,
}

/// Memory that an arrival waits for.
#[derive(Debug)]
struct AwaitedMemory {
    /// Since when it is waited for.
    since: Instant,
    /// Receives the memory; an error if none became available in time.
    reservation: oneshot::Receiver<Reservation>,
}

impl Arrival {
    /// A request's head is complete; until [`Arrival::end_request`] only the memory of its body can be taken
    /// back.
    pub fn begin_request(&self) {
        self.arriving.set(false);
        self.head_bytes.set(0);
        self.answering.set(true);
        self.body.replace(BodyProgress::None);
    }

    /// The request has its answer.
    pub fn end_request(&self) {
        self.began_at.set(Instant::now());
        self.answering.set(false);
        self.body.replace(BodyProgress::None);
        self.waited.set(Duration::ZERO);
    }

    /// Whether a request whose head is complete has no answer yet.
    #[must_use]
    pub fn is_answering(&self) -> bool {
        self.answering.get()
    }

    /// Reserves memory for buffers of this size in all, unless they have it already; waits for memory that is
    /// not available.
    ///
    /// # Errors
    /// No memory became available in time; the connection is to be closed.
    pub fn poll_reserve_buffers(
        &self,
        context: &mut Context<'_>,
        bytes: usize,
    ) -> Poll<Result<(), OutOfMemory>> {
        let mut awaited = self.awaited_buffers.borrow_mut();
        if awaited.is_none() && self.try_reserve_buffers(bytes).is_ok() {
            return Poll::Ready(Ok(()));
        }
        if awaited.is_none() && self.closing.get() {
            return Poll::Ready(Err(OutOfMemory));
        }
        let memory = awaited.get_or_insert_with(|| self.wait_for_memory(bytes - self.buffer_reservation()));
        let result = ready!(Pin::new(&mut memory.reservation).poll(context));
        self.add_waited(memory.since);
        *awaited = None;
        match result {
            Ok(reservation) => {
                self.add_buffers(reservation);
                Poll::Ready(Ok(()))
            }
            Err(_) => {
                self.close();
                Poll::Ready(Err(OutOfMemory))
            }
        }
    }

    /// Reserves memory for buffers of this size in all, unless they have it already.
    ///
    /// # Errors
    /// The memory is not available now.
    pub fn try_reserve_buffers(&self, bytes: usize) -> Result<(), OutOfMemory> {
        let missing_bytes = bytes.saturating_sub(self.buffer_reservation());
        if missing_bytes > 0 {
            self.add_buffers(self.memory.try_reserve(missing_bytes).ok_or(OutOfMemory)?);
        }
        Ok(())
    }

    /// Adds a reservation to that of the buffers.
    fn add_buffers(&self, addition: Reservation) {
        self.began_at.set(Instant::now());
        self.arriving.set(!self.answering.get());
        match &mut *self.buffers.borrow_mut() {
            Some(reservation) => reservation.merge(addition),
            buffers => *buffers = Some(addition),
        }
    }

    /// Begins to wait for memory, for as long as the current request may still wait.
    fn wait_for_memory(&self, bytes: usize) -> AwaitedMemory {
        let since = Instant::now();
        let wait = MAX_WAIT.saturating_sub(self.waited.get());
        AwaitedMemory { since, reservation: self.memory.queue.push(bytes, since + wait) }
    }

    /// Adds the time since then to that for which the current request has waited.
    fn add_waited(&self, since: Instant) {
        self.waited.set(self.waited.get() + since.elapsed());
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

    /// Adds a piece to the body of the request; waits for its memory if that is not available.
    ///
    /// # Errors
    /// No memory became available in time, or the memory of the body was taken back.
    pub async fn push_body(&self, piece: &[u8], stated_bytes: Option<usize>) -> Result<(), OutOfMemory> {
        let missing = match &*self.body.borrow() {
            BodyProgress::None => BodyBuffer::default().missing_reservation(piece.len(), stated_bytes),
            BodyProgress::Partial(buffer) => buffer.missing_reservation(piece.len(), stated_bytes),
            BodyProgress::Evicted => return Err(OutOfMemory),
        };
        let reservation = match missing {
            Some(bytes) => Some(self.reserve(bytes).await?),
            None => None,
        };
        let mut body = self.body.borrow_mut();
        if matches!(*body, BodyProgress::None) {
            self.began_at.set(Instant::now());
            *body = BodyProgress::Partial(BodyBuffer::default());
        }
        let BodyProgress::Partial(buffer) = &mut *body else { return Err(OutOfMemory) };
        if let Some(reservation) = reservation {
            buffer.set_reservation(reservation);
        }
        buffer.push(piece, stated_bytes);
        Ok(())
    }

    /// Reserves memory for the values of a large head. It can be taken back until the request is complete.
    ///
    /// # Errors
    /// No memory became available in time.
    pub async fn reserve_head(&self, bytes: usize) -> Result<Option<Reservation>, OutOfMemory> {
        if bytes == 0 {
            return Ok(None);
        }
        let reservation = self.reserve(bytes).await?;
        self.began_at.set(Instant::now());
        self.head_bytes.set(bytes);
        self.body.replace(BodyProgress::Partial(BodyBuffer::default()));
        Ok(Some(reservation))
    }

    /// Reserves memory; waits for it if it is not available.
    async fn reserve(&self, bytes: usize) -> Result<Reservation, OutOfMemory> {
        if let Some(reservation) = self.memory.try_reserve(bytes) {
            return Ok(reservation);
        }
        let awaited = self.wait_for_memory(bytes);
        let result = awaited.reservation.await;
        self.add_waited(awaited.since);
        result.map_err(|_| OutOfMemory)
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
    fn eviction_weight(&self, now: Instant, min_age: MinAge) -> Option<u128> {
        let evictable_bytes = match &*self.body.borrow() {
            BodyProgress::Partial(buffer) => buffer.reserved_bytes() + self.head_bytes.get(),
            _ if self.answering.get() || self.closing.get() => 0,
            _ => self.buffer_reservation(),
        };
        let is_idle = !self.answering.get() && !self.arriving.get();
        let min_age = if is_idle { min_age.idle } else { min_age.arriving };
        let age = now.saturating_duration_since(self.began_at.get());
        (evictable_bytes > 0 && age >= min_age).then(|| evictable_bytes as u128 * age.as_millis())
    }

    /// Takes the memory back.
    fn evict(&self) -> Evicted {
        if !self.answering.get() {
            self.close();
            return Evicted::Connection { reserved_bytes: self.buffer_reservation() };
        }
        self.body.replace(BodyProgress::Evicted);
        self.evicted.notify_waiters();
        Evicted::Body
    }

    /// Asks for the connection to be closed.
    fn close(&self) {
        self.closing.set(true);
        self.evicted.notify_waiters();
    }
}

impl Drop for Arrival {
    fn drop(&mut self) {
        self.memory.arrivals.borrow_mut().remove(&self.number);
    }
}

#[cfg(test)]
mod tests;
