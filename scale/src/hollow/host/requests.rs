//! Requests at hollow copies: taken, answered, given up.

use std::time::Duration;

use stilelead::server::{DEADLINE_MARGIN, FINAL_ANSWER_GRACE};
use stilelead_decision::Event;
use stilelead_decision::interface::{Request, RequestId};

use super::{Host, Step};
use crate::hollow::calls::{Answer, HeldRequest, Origin, Work};
use crate::hollow::schedule::Due;
use crate::topology::Carrier;

impl Host {
    /// A copy takes a request from a caller that waits for `time`; `None` if its settings do not know the class.
    pub(super) fn take(
        &mut self,
        copy: usize,
        origin: Origin,
        work: Work,
        time: Duration,
    ) -> Option<RequestId> {
        self.record.count_hop_call(Carrier::Hollow, work.hop);
        let class = self.copies[copy].class(work.class)?;
        let tenant = self.copies[copy].tenant(work.tenant);
        let id = RequestId(self.number());
        let time_left = time.saturating_sub(DEADLINE_MARGIN);
        let deadline = self.now + time_left;
        let held = HeldRequest {
            copy,
            origin,
            work,
            deadline,
            answered: false,
            attempts: Vec::new(),
            out: 0,
            runs: 0,
        };
        self.requests.insert(id, held);
        self.schedule.add(deadline + FINAL_ANSWER_GRACE, Due::Overdue(id));
        let request = Request {
            id,
            class,
            tenant,
            resource_key: None,
            time_left,
            expected_work: None,
            is_retry: false,
        };
        self.tell(copy, Event::Request(request));
        Some(id)
    }

    /// The decisions have answered a request.
    pub(super) fn answer(&mut self, id: RequestId, answer: Answer) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if held.answered {
            return;
        }
        held.answered = true;
        self.steps.push_back(Step::Answered { origin: held.origin, answer });
        self.release(id);
    }

    /// The decisions have not answered in time: the balancer does.
    pub(super) fn overdue(&mut self, id: RequestId) {
        let Some(held) = self.requests.get(&id).filter(|held| !held.answered) else { return };
        self.steps.push_back(Step::Answered { origin: held.origin, answer: Answer::Failed });
        self.caller_left(id);
    }

    /// Nobody waits for a request any more: what has not gone out whole is taken back.
    pub(super) fn caller_left(&mut self, id: RequestId) {
        let Some(held) = self.requests.get_mut(&id) else { return };
        if std::mem::replace(&mut held.answered, true) {
            return;
        }
        let copy = held.copy;
        self.tell(copy, Event::RequestAbandoned(id));
        self.take_back_unsent(id);
        self.release(id);
    }

    /// Forgets a request that is answered and has no attempt out.
    pub(super) fn release(&mut self, id: RequestId) {
        if self.requests.get(&id).is_some_and(|held| held.answered && held.out == 0) {
            self.requests.remove(&id);
        }
    }
}
