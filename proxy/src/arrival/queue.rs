//! The requests that wait for memory, first come, first served: memory that becomes available goes to the
//! first of them, and is taken back from arrivals for as many as wait.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use super::{ArrivalMemory, Evicted, MAX_WAIT, MinAge};
use crate::memory::Reservation;

/// How often the queue is looked at while some arrival waits, unless memory is released before.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// An arrival that waits for memory.
#[derive(Debug)]
struct Waiter {
    /// How much it waits for.
    bytes: usize,
    /// When it gives up.
    expires_at: Instant,
    /// Hands the memory over; closed if nothing waits any more.
    sender: oneshot::Sender<Reservation>,
}

impl Waiter {
    /// Whether the memory is still of use.
    fn is_waiting(&self, now: Instant) -> bool {
        now < self.expires_at && !self.sender.is_closed()
    }
}

/// The arrivals that wait for memory, in the order in which they came.
#[derive(Debug, Default)]
pub(super) struct ReservationQueue {
    /// The waiting arrivals.
    waiters: RefCell<VecDeque<Waiter>>,
    /// Notified when an arrival begins to wait.
    joined: Notify,
}

impl ReservationQueue {
    /// Whether no arrival waits.
    pub(super) fn is_empty(&self) -> bool {
        self.waiters.borrow().is_empty()
    }

    /// Waits for memory until `expires_at`. The receiver gets an error if none became available.
    pub(super) fn push(&self, bytes: usize, expires_at: Instant) -> oneshot::Receiver<Reservation> {
        let (sender, receiver) = oneshot::channel();
        self.waiters.borrow_mut().push_back(Waiter { bytes, expires_at, sender });
        self.joined.notify_one();
        receiver
    }

    /// Removes those that have given up; they learn it from their receivers.
    fn remove_expired(&self, now: Instant) {
        self.waiters.borrow_mut().retain(|waiter| waiter.is_waiting(now));
    }

    /// How long others keep their memory.
    fn min_age(&self, now: Instant) -> MinAge {
        let expires_soon = |first: &Waiter| first.expires_at.saturating_duration_since(now) < MAX_WAIT / 2;
        if self.waiters.borrow().front().is_some_and(expires_soon) {
            MinAge::LAST_RESORT
        } else {
            MinAge::USUAL
        }
    }

    /// The bytes that all arrivals together wait for.
    fn awaited_bytes(&self) -> usize {
        self.waiters.borrow().iter().map(|waiter| waiter.bytes).sum()
    }
}

impl ArrivalMemory {
    /// Hands memory to the arrivals that wait for it; runs until it is dropped.
    pub async fn serve_queue(self: Rc<Self>) {
        loop {
            let mut released = pin!(self.pool.released());
            // From here on a release is noticed, also one before the await below.
            released.as_mut().enable();
            self.grant_or_evict();
            if self.queue.is_empty() {
                self.queue.joined.notified().await;
                continue;
            }
            tokio::select! {
                () = released => {}
                () = self.queue.joined.notified() => {}
                () = sleep_until(Instant::now() + CHECK_INTERVAL) => {}
            }
        }
    }

    /// Gives memory to those that wait for it, and takes back as much as is missing.
    fn grant_or_evict(&self) {
        let now = Instant::now();
        self.queue.remove_expired(now);
        self.grant();
        let min_age = self.queue.min_age(now);
        let mut expected_bytes = self.pool.available_bytes() + self.closing_bytes();
        while self.queue.awaited_bytes() > expected_bytes {
            match self.evict_one(min_age) {
                Some(Evicted::Body) => {
                    self.grant();
                    expected_bytes = self.pool.available_bytes() + self.closing_bytes();
                }
                Some(Evicted::Connection { reserved_bytes }) => expected_bytes += reserved_bytes,
                None => return,
            }
        }
    }

    /// Gives available memory to the first that wait.
    fn grant(&self) {
        let mut waiters = self.queue.waiters.borrow_mut();
        while let Some(first) = waiters.front() {
            let Some(reservation) = self.pool.try_reserve(first.bytes) else { return };
            if let Some(first) = waiters.pop_front() {
                // This fails if the arrival has just ended, and releases the memory again.
                let _ = first.sender.send(reservation);
            }
        }
    }

    /// The memory that becomes available once connections are closed that were asked to.
    fn closing_bytes(&self) -> usize {
        let closing = self.open_arrivals().filter(|arrival| arrival.closing.get());
        closing.map(|arrival| arrival.buffer_reservation()).sum()
    }
}
