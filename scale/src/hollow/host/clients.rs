//! Clients of the hollow part: arrivals, repeats, leavings and how calls end.

use std::time::{Duration, Instant};

use super::Host;
use crate::hollow::arrivals::Arrival;
use crate::hollow::calls::{Answer, CallId, OpenCall, Origin, Work};
use crate::hollow::schedule::Due;
use crate::record::{Call, CallEnd};
use crate::topology::Carrier;

/// Pause of a client that was refused and got no advice.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// Spreads the numbers of calls, which follow one another; odd.
const SPREAD: u64 = 0x9e37_79b9_7f4a_7c15;
/// A call without any answer so long after its time was up is lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

impl Host {
    /// The load starts then.
    pub fn begin_load(&mut self, start: Instant) {
        self.catch_up();
        let starts = start.saturating_duration_since(self.zero);
        self.load_starts = Some(starts);
        self.schedule_arrival();
    }

    fn schedule_arrival(&mut self) {
        if let Some(starts) = self.load_starts
            && let Some(next) = self.arrivals.peek()
        {
            self.schedule.add(starts + next.at, Due::Arrival);
        }
    }

    /// A call arrives as drawn.
    pub(super) fn next_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.open_call(&arrival);
        }
        self.schedule_arrival();
    }

    fn open_call(&mut self, arrival: &Arrival) {
        let load = &self.plan.scenario.load;
        let time = Duration::try_from_secs_f64(load.deadline_s).unwrap_or_default();
        let deadline = self.now + time;
        let work = Work { class: arrival.class, tenant: arrival.tenant, hops: arrival.hops, hop: 1 };
        let call = OpenCall {
            arrived: self.now,
            deadline,
            copy: arrival.copy,
            work,
            retries_left: load.client_retries,
            request: None,
        };
        let id = CallId(self.number());
        self.calls.insert(id, call);
        self.progress.call_opened();
        self.schedule.add(deadline + LOST_AFTER, Due::Lost(id));
        if let Some(after) = arrival.leaves_after {
            self.schedule.add(self.now + after, Due::Leave(id));
        }
        self.try_call(id);
    }

    /// Sends a call to its copy, or if that one's machine is not there, to one of those that are: clients come
    /// through a front, which spreads them.
    pub(super) fn try_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (work, time) = (call.work, call.deadline.saturating_sub(self.now));
        let drawn = Some(call.copy).filter(|&copy| self.is_present(copy));
        let Some(copy) = drawn.or_else(|| self.present_copy(id)) else {
            return self.end_call(id, CallEnd::Failed);
        };
        let request = self.take(copy, Origin::Client(id), work, time);
        if request.is_none() {
            return self.end_call(id, CallEnd::Failed);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.request = request;
        }
    }

    /// One of the copies whose machine is there, spread evenly by the call's number.
    fn present_copy(&self, id: CallId) -> Option<usize> {
        let present: Vec<usize> = (0..self.copies.len()).filter(|&copy| self.is_present(copy)).collect();
        let spread = id.0.wrapping_mul(SPREAD) >> u32::BITS;
        present.get(spread as usize % present.len().max(1)).copied()
    }

    fn is_present(&self, copy: usize) -> bool {
        let node = &self.nodes[self.node_of(copy)];
        !node.silent && !node.down
    }

    /// The balancer has answered a call.
    pub(super) fn call_answered(&mut self, id: CallId, answer: Answer) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.request = None;
        let end = match answer {
            _ if now > call.deadline => CallEnd::Failed,
            Answer::Served => CallEnd::Served,
            Answer::Failed => CallEnd::Failed,
            Answer::Refused { retry_after } => {
                let again = now + retry_after.unwrap_or(RETRY_PAUSE);
                if call.retries_left > 0 && again < call.deadline {
                    call.retries_left -= 1;
                    return self.schedule.add(again, Due::Retry(id));
                }
                CallEnd::Refused
            }
        };
        self.end_call(id, end);
    }

    /// A client closes its connection before the answer.
    pub(super) fn client_leaves(&mut self, id: CallId) {
        if let Some(request) = self.calls.get(&id).and_then(|call| call.request) {
            self.caller_left(request);
        }
        self.end_call(id, CallEnd::ClientLeft);
    }

    /// A client gets no answer, as the machine of its balancer is gone.
    pub(super) fn fail_at_deadline(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.request = None;
            self.schedule.add(call.deadline, Due::TimeUp(id));
        }
    }

    /// The time of a client that gets no answer is up.
    pub(super) fn time_is_up(&mut self, id: CallId) {
        self.end_call(id, CallEnd::Failed);
    }

    /// A call is still without an answer.
    pub(super) fn call_is_lost(&mut self, id: CallId) {
        self.end_call(id, CallEnd::Lost);
    }

    /// A call has ended; only its first end counts.
    pub(super) fn end_call(&mut self, id: CallId, end: CallEnd) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.progress.call_ended();
        self.record.add_call(Call {
            carrier: Carrier::Hollow,
            hops: call.work.hops,
            end,
            latency: self.now.saturating_sub(call.arrived),
            ended_at: self.zero + self.now,
        });
    }
}
