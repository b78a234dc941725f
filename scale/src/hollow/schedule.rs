//! The schedule of timed events, ordered by time and, at the same time, by when they were added.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use stilelead_decision::interface::RequestId;

use super::calls::{AttemptId, CallId, ExecutionId};

/// An event that is due at a certain time.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimedEvent {
    /// The next call of a client arrives.
    Arrival,
    /// A client retries a call that was refused.
    Retry(CallId),
    /// A client closes its connection before it has an answer.
    ClientDisconnects(CallId),
    /// The deadline of a client's call whose balancer is on a silent machine; the call fails.
    ClientDeadline(CallId),
    /// A call that still has no answer is lost.
    CallLost(CallId),
    /// The balancer answers a request itself, since its decisions have not.
    RequestOverdue(RequestId),
    /// The deadline of an attempt, which then ends as timed out.
    AttemptTimeout(AttemptId),
    /// The time limit for establishing an attempt's connection, which then counts as failed.
    ConnectTimeout(AttemptId),
    /// A node has done its own work for a request.
    WorkDone(ExecutionId),
    /// The timer of a balancer's decisions expires; ignored if its process has been restarted since.
    Wake {
        /// Index of the balancer that the event concerns.
        balancer: usize,
        /// Generation of the process that set the timer.
        generation: u64,
    },
    /// A balancer closes connections that have been idle for too long.
    SweepIdleConnections {
        /// Index of the balancer that the event concerns.
        balancer: usize,
    },
}

/// An event that is due.
#[derive(Debug, Clone, Copy)]
pub(super) struct DueEvent {
    /// When the event was due.
    pub at: Duration,
    /// What is to be handled.
    pub event: TimedEvent,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    /// Keeps events that are due at the same time in the order in which they were added.
    order: u64,
    event: TimedEvent,
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

/// The schedule of all hollow balancers, their nodes and clients.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    entries: BinaryHeap<Reverse<Entry>>,
    added_count: u64,
}

impl Schedule {
    /// Adds an event; times are counted from the start of the host.
    pub fn add(&mut self, at: Duration, event: TimedEvent) {
        self.added_count += 1;
        self.entries.push(Reverse(Entry { at, order: self.added_count, event }));
    }

    /// When the next event is due.
    pub fn next_at(&self) -> Option<Duration> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// Removes and returns the next event if it is due at `now`.
    pub fn take_due(&mut self, now: Duration) -> Option<DueEvent> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| DueEvent { at: entry.at, event: entry.event })
    }
}
