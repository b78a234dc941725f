//! Requests at hollow balancers: accepted, answered and abandoned.

use std::time::Duration;

use stilelead::server::{DEADLINE_MARGIN, FINAL_ANSWER_GRACE};
use stilelead_decision::Event;
use stilelead_decision::interface::{Request, RequestId};

use super::{HollowHost, Step};
use crate::hollow::calls::{Answer, Caller, OpenRequest, RequestSpec};
use crate::hollow::schedule::TimedEvent;
use crate::topology::BalancerKind;

impl HollowHost {
    /// Accepts a request from a caller that waits for `timeout`; `None` if the balancer's settings do not
    /// contain the class.
    pub(super) fn accept_request(
        &mut self,
        balancer: usize,
        caller: Caller,
        spec: RequestSpec,
        timeout: Duration,
    ) -> Option<RequestId> {
        self.record.count_hop_call(BalancerKind::Hollow, spec.hop);
        let class = self.balancers[balancer].class(spec.class)?;
        let tenant = self.balancers[balancer].tenant(spec.tenant);
        let id = RequestId(self.next_number());
        let time_left = timeout.saturating_sub(DEADLINE_MARGIN);
        let deadline = self.now + time_left;
        let open_request = OpenRequest {
            balancer,
            caller,
            spec,
            deadline,
            answered: false,
            attempts: Vec::new(),
            in_flight: 0,
            times_accepted: 0,
        };
        self.requests.insert(id, open_request);
        self.schedule.add(deadline + FINAL_ANSWER_GRACE, TimedEvent::RequestOverdue(id));
        let request = Request {
            id,
            class,
            tenant,
            resource_key: None,
            time_left,
            expected_work: None,
            is_retry: false,
        };
        self.push_event(balancer, Event::Request(request));
        Some(id)
    }

    /// Answers a request, as the decisions have requested.
    pub(super) fn answer_request(&mut self, id: RequestId, answer: Answer) {
        let Some(open_request) = self.requests.get_mut(&id) else { return };
        if open_request.answered {
            return;
        }
        open_request.answered = true;
        self.steps.push_back(Step::Answered { caller: open_request.caller, answer });
        self.remove_if_finished(id);
    }

    /// Answers a request in the balancer's name, since the decisions did not answer in time.
    pub(super) fn request_overdue(&mut self, id: RequestId) {
        let Some(open_request) = self.requests.get(&id).filter(|open_request| !open_request.answered) else {
            return;
        };
        self.steps.push_back(Step::Answered { caller: open_request.caller, answer: Answer::Failed });
        self.abandon_request(id);
    }

    /// Tells the decisions that a request's caller no longer waits, and cancels the attempts that have not
    /// been completely sent.
    pub(super) fn abandon_request(&mut self, id: RequestId) {
        let Some(open_request) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut open_request.answered, true) {
            return;
        }
        let balancer = open_request.balancer;
        self.push_event(balancer, Event::RequestAbandoned(id));
        self.cancel_unsent_attempts(id);
        self.remove_if_finished(id);
    }

    /// Removes a request that has been answered and has no attempts in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self
            .requests
            .get(&id)
            .is_some_and(|open_request| open_request.answered && open_request.in_flight == 0)
        {
            self.requests.remove(&id);
        }
    }
}
