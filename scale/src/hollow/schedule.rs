//! What falls due and when, in order of time and, at one time, in the order added.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use stilelead_decision::interface::RequestId;

use super::calls::{AttemptId, CallId, ExecutionId};

/// What falls due.
#[derive(Debug, Clone, Copy)]
pub(super) enum TimedEvent {
    /// The next first-hop call arrives.
    Arrival,
    /// A client repeats a call that was refused.
    Retry(CallId),
    /// A client leaves.
    ClientLeaves(CallId),
    /// A client whose balancer's machine is gone has no more time.
    ClientDeadline(CallId),
    /// A call that has no answer by now is lost.
    CallLost(CallId),
    /// The balancer answers a request in place of its decisions.
    RequestOverdue(RequestId),
    /// An attempt has had its time.
    AttemptTimeout(AttemptId),
    /// A connection that does not come up is given up.
    ConnectTimeout(AttemptId),
    /// A node is done with its own work.
    WorkDone(ExecutionId),
    /// A copy's decisions asked to be woken, in that life of its process.
    Wake {
        /// Position of the copy.
        balancer: usize,
        /// The life.
        generation: u64,
    },
    /// A copy closes connections that have been idle for too long.
    SweepIdleConnections {
        /// Position of the copy.
        balancer: usize,
    },
}

/// An entry that has fallen due.
#[derive(Debug, Clone, Copy)]
pub(super) struct DueEvent {
    /// When it fell due.
    pub at: Duration,
    /// What it is.
    pub event: TimedEvent,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
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

/// The schedule of the whole hollow part.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    entries: BinaryHeap<Reverse<Entry>>,
    added_count: u64,
}

impl Schedule {
    /// Adds an entry; times are counted from the start of the hollow part.
    pub fn add(&mut self, at: Duration, event: TimedEvent) {
        self.added_count += 1;
        self.entries.push(Reverse(Entry { at, order: self.added_count, event }));
    }

    /// When the next entry falls due.
    pub fn next_at(&self) -> Option<Duration> {
        self.entries.peek().map(|Reverse(entry)| entry.at)
    }

    /// Takes out the next entry that is due at `now`.
    pub fn take_due(&mut self, now: Duration) -> Option<DueEvent> {
        if self.next_at()? > now {
            return None;
        }
        self.entries.pop().map(|Reverse(entry)| DueEvent { at: entry.at, event: entry.event })
    }
}
