//! Modelled clients: arrivals, retries, early disconnects and the ends of calls.

use std::time::{Duration, Instant};

use super::HollowHost;
use crate::hollow::arrivals::Arrival;
use crate::hollow::calls::{Answer, CallId, Caller, OpenCall, RequestSpec};
use crate::hollow::schedule::TimedEvent;
use crate::record::{Call, CallOutcome};
use crate::topology::BalancerKind;

/// Delay before a retry if the refusal gave none.
const DEFAULT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Spreads consecutive call numbers over the balancers; odd.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// A call that has no answer this long after its deadline counts as lost.
const LOST_AFTER: Duration = Duration::from_millis(500);

impl HollowHost {
    /// Starts the load at `start`.
    pub fn begin_load(&mut self, start: Instant) {
        self.catch_up();
        let load_start = start.saturating_duration_since(self.epoch);
        self.load_start = Some(load_start);
        self.schedule_arrival();
    }

    fn schedule_arrival(&mut self) {
        if let Some(load_start) = self.load_start
            && let Some(next) = self.arrivals.peek()
        {
            self.schedule.add(load_start + next.at, TimedEvent::Arrival);
        }
    }

    /// Handles the next scheduled arrival and schedules the one after it.
    pub(super) fn next_arrival(&mut self) {
        if let Some(arrival) = self.arrivals.next() {
            self.open_call(&arrival);
        }
        self.schedule_arrival();
    }

    fn open_call(&mut self, arrival: &Arrival) {
        let load = &self.plan.scenario.load;
        let timeout = Duration::try_from_secs_f64(load.deadline_s).unwrap_or_default();
        let deadline = self.now + timeout;
        let spec = RequestSpec { class: arrival.class, tenant: arrival.tenant, hops: arrival.hops, hop: 1 };
        let call = OpenCall {
            arrived_at: self.now,
            deadline,
            balancer: arrival.balancer,
            spec,
            retries_left: load.client_retries,
            request: None,
        };
        let id = CallId(self.next_number());
        self.calls.insert(id, call);
        self.progress.call_opened();
        self.schedule.add(deadline + LOST_AFTER, TimedEvent::CallLost(id));
        if let Some(delay) = arrival.client_leaves_after {
            self.schedule.add(self.now + delay, TimedEvent::ClientDisconnects(id));
        }
        self.send_call(id);
    }

    /// Sends a call to its balancer or, if that balancer's machine is not available, to one that is: clients
    /// connect through a front end that spreads them over the available balancers.
    pub(super) fn send_call(&mut self, id: CallId) {
        let Some(call) = self.calls.get(&id) else { return };
        let (spec, timeout) = (call.spec, call.deadline.saturating_sub(self.now));
        let assigned = Some(call.balancer).filter(|&balancer| self.is_available(balancer));
        let Some(balancer) = assigned.or_else(|| self.available_balancer(id)) else {
            return self.end_call(id, CallOutcome::Failed);
        };
        let request = self.accept_request(balancer, Caller::Client(id), spec, timeout);
        if request.is_none() {
            return self.end_call(id, CallOutcome::Failed);
        }
        if let Some(call) = self.calls.get_mut(&id) {
            call.request = request;
        }
    }

    /// One of the available balancers, chosen by a hash of the call's number.
    fn available_balancer(&self, id: CallId) -> Option<usize> {
        let available: Vec<usize> =
            (0..self.balancers.len()).filter(|&balancer| self.is_available(balancer)).collect();
        let hash = id.0.wrapping_mul(HASH_MULTIPLIER) >> u32::BITS;
        available.get(hash as usize % available.len().max(1)).copied()
    }

    fn is_available(&self, balancer: usize) -> bool {
        let node = &self.nodes[self.node_of(balancer)];
        !node.silent && !node.down
    }

    /// Handles a balancer's answer to a call: ends the call or schedules a retry.
    pub(super) fn call_answered(&mut self, id: CallId, answer: Answer) {
        let now = self.now;
        let Some(call) = self.calls.get_mut(&id) else { return };
        call.request = None;
        let outcome = match answer {
            _ if now > call.deadline => CallOutcome::Failed,
            Answer::Served => CallOutcome::Served,
            Answer::Failed => CallOutcome::Failed,
            Answer::Refused { retry_after } => {
                let retry_at = now + retry_after.unwrap_or(DEFAULT_RETRY_DELAY);
                if call.retries_left > 0 && retry_at < call.deadline {
                    call.retries_left -= 1;
                    return self.schedule.add(retry_at, TimedEvent::Retry(id));
                }
                CallOutcome::Refused
            }
        };
        self.end_call(id, outcome);
    }

    /// Handles a client that closes its connection before the answer.
    pub(super) fn client_disconnected(&mut self, id: CallId) {
        if let Some(request) = self.calls.get(&id).and_then(|call| call.request) {
            self.abandon_request(request);
        }
        self.end_call(id, CallOutcome::ClientDisconnected);
    }

    /// Makes a call fail at its deadline, because its balancer's machine is gone and nothing will answer.
    pub(super) fn fail_at_deadline(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            call.request = None;
            self.schedule.add(call.deadline, TimedEvent::ClientDeadline(id));
        }
    }

    /// Ends a call that could not be answered before its deadline.
    pub(super) fn client_deadline_passed(&mut self, id: CallId) {
        self.end_call(id, CallOutcome::Failed);
    }

    /// Ends a call that still has no answer as lost.
    pub(super) fn call_lost(&mut self, id: CallId) {
        self.end_call(id, CallOutcome::Lost);
    }

    /// Records the end of a call; has no effect if the call has already ended.
    pub(super) fn end_call(&mut self, id: CallId, outcome: CallOutcome) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.progress.call_ended();
        self.record.add_call(Call {
            balancer_kind: BalancerKind::Hollow,
            hops: call.spec.hops,
            outcome,
            latency: self.now.saturating_sub(call.arrived_at),
            ended_at: self.epoch + self.now,
        });
    }
}
