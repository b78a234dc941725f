//! Attempts of hollow balancers on modelled nodes: connecting, sending and their outcomes.

use std::time::Duration;

use stilelead_decision::Event;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, LoadReport, Outcome, RequestId, UpstreamId,
};

use super::{HollowHost, SWEEPS_PER_IDLE_TIMEOUT};
use crate::hollow::calls::{Answer, Attempt, AttemptId, CallClass, Execution, ExecutionId};
use crate::hollow::connections::Connection;
use crate::hollow::schedule::TimedEvent;
use crate::node::model::Admission;
use crate::topology::BalancerKind;

impl HollowHost {
    /// Starts an attempt that the decisions requested.
    pub(super) fn send_attempt(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
        start_within: Duration,
    ) {
        let Some(open_request) = self.requests.get_mut(&request) else { return };
        let balancer = open_request.balancer;
        let number = AttemptNumber(open_request.attempts.len() as u32);
        if open_request.answered || self.balancers[balancer].directory.ready_address(upstream).is_none() {
            open_request.attempts.push(None);
            let ended = AttemptEnded {
                request,
                attempt: number,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                request_ended: open_request.answered,
                load: None,
            };
            return self.push_event(balancer, Event::AttemptEnded(ended));
        }
        let deadline =
            timeout.map_or(open_request.deadline, |timeout| open_request.deadline.min(self.now + timeout));
        let node = self.balancers[balancer].node(upstream);
        let attempt = Attempt {
            upstream,
            node,
            requested_at: self.now,
            deadline,
            sent_at: None,
            connection: None,
            execution: None,
        };
        open_request.attempts.push(Some(attempt));
        open_request.in_flight += 1;
        let id = AttemptId { request, number };
        self.schedule.add(deadline, TimedEvent::AttemptTimeout(id));
        self.start_attempt(balancer, id, upstream, deadline.min(self.now + start_within));
    }

    /// Writes an attempt to an idle connection, or to a new one if there is none.
    fn start_attempt(&mut self, balancer: usize, id: AttemptId, upstream: UpstreamId, start_by: Duration) {
        while let Some(idle) = self.balancers[balancer].idle_connections.take(upstream) {
            // A connection to an earlier process of the node is found closed.
            if self.nodes[idle.node].generation == idle.generation {
                return self.write_request(balancer, id, idle);
            }
        }
        let Some(node) = self.balancers[balancer].node(upstream) else {
            return self.end_attempt(id, Outcome::ConnectFailed, None);
        };
        if self.is_unreachable(balancer, node) {
            let connect_timeout = self.balancers[balancer].in_force.connect_timeout();
            self.balancers[balancer].add_connecting(upstream, id);
            return self
                .schedule
                .add(start_by.min(self.now + connect_timeout), TimedEvent::ConnectTimeout(id));
        }
        if self.nodes[node].down {
            return self.end_attempt(id, Outcome::ConnectFailed, None);
        }
        match self.nodes[node].accept_connection(node, self.now) {
            Some(connection) => self.write_request(balancer, id, connection),
            None => self.connection_rejected(balancer, id, node),
        }
    }

    /// A node that has reached its connection limit rejects the attempt on a new connection; the answer says
    /// that the request was not executed.
    fn connection_rejected(&mut self, balancer: usize, id: AttemptId, node: usize) {
        if let Some(open_request) = self.requests.get(&id.request) {
            self.record.count_attempt(BalancerKind::Hollow, open_request.spec.hop);
        }
        let load = self.load_report(balancer, node);
        self.end_attempt(id, Outcome::Refused, load);
    }

    /// Writes a complete attempt to a connection.
    fn write_request(&mut self, balancer: usize, id: AttemptId, connection: Connection) {
        let Some(open_request) = self.requests.get_mut(&id.request) else { return };
        let spec = open_request.spec;
        let Some(attempt) = open_request.attempt(id.number) else { return };
        attempt.sent_at = Some(self.now);
        attempt.connection = Some(connection);
        let (node, deadline) = (connection.node, attempt.deadline);
        if self.is_unreachable(balancer, node) {
            return;
        }
        self.record.count_attempt(BalancerKind::Hollow, spec.hop);
        match self.nodes[node].model.admit_request(self.now) {
            Admission::Runs { ends_at, outcome } => {
                let execution =
                    Execution { node, attempt: id, balancer, spec, deadline, outcome, downstream: None };
                self.start_execution(execution, ends_at);
            }
            Admission::QueueFull => {
                let load = self.load_report(balancer, node);
                self.end_attempt(id, Outcome::Refused, load);
            }
            Admission::Down => self.node_collapsed(node),
        }
    }

    /// Starts executing an attempt that a node has accepted; the node's own work is done at `work_ends_at`.
    fn start_execution(&mut self, execution: Execution, work_ends_at: Duration) {
        let AttemptId { request, number } = execution.attempt;
        let id = ExecutionId(self.next_number());
        let Some(open_request) = self.requests.get_mut(&request) else { return };
        open_request.times_accepted += 1;
        if open_request.times_accepted > 1 && execution.spec.class == CallClass::Order {
            self.record.measured().duplicated += 1;
        }
        if let Some(attempt) = open_request.attempt(number) {
            attempt.execution = Some(id);
        }
        self.executions.insert(id, execution);
        self.schedule.add(work_ends_at, TimedEvent::WorkDone(id));
    }

    /// Ends an attempt in flight and reports the outcome to its balancer's decisions.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, load: Option<LoadReport>) {
        let Some(open_request) = self.requests.get_mut(&id.request) else { return };
        let slot = open_request.attempts.get_mut(id.number.0 as usize);
        let Some(attempt) = slot.and_then(Option::take) else { return };
        open_request.in_flight -= 1;
        let balancer = open_request.balancer;
        if outcome == Outcome::Good {
            self.answer_request(id.request, Answer::Served);
        }
        let request_ended = self.requests.get(&id.request).is_none_or(|open_request| open_request.answered);
        self.remove_if_finished(id.request);
        self.release_connection(balancer, id, &attempt, outcome);
        self.push_event(
            balancer,
            Event::AttemptEnded(AttemptEnded {
                request: id.request,
                attempt: id.number,
                outcome,
                duration: self.now.saturating_sub(attempt.sent_at.unwrap_or(attempt.requested_at)),
                request_ended,
                load,
            }),
        );
    }

    /// Keeps the connection of an attempt that has ended for reuse, or closes it. The node stops executing
    /// the attempt if it still does.
    fn release_connection(&mut self, balancer: usize, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        if attempt.sent_at.is_none() {
            self.balancers[balancer].remove_connecting(id.request, id.number);
        }
        if let Some(connection) = attempt.connection {
            let answered = matches!(outcome, Outcome::Good | Outcome::Error | Outcome::Refused);
            let is_ready = self.balancers[balancer].directory.ready_address(attempt.upstream).is_some();
            if answered && is_ready {
                self.balancers[balancer].idle_connections.add(attempt.upstream, connection, self.now);
            } else {
                self.close_connections([connection]);
            }
        }
        if let Some(execution) = attempt.execution {
            self.cancel_execution(execution);
        }
    }

    /// Closes connections from the balancers' side.
    pub(super) fn close_connections(&mut self, connections: impl IntoIterator<Item = Connection>) {
        for connection in connections {
            self.nodes[connection.node].connection_closed(connection);
        }
    }

    fn is_sent(&mut self, id: AttemptId) -> Option<bool> {
        let attempt = self.requests.get_mut(&id.request)?.attempt(id.number)?;
        Some(attempt.sent_at.is_some())
    }

    /// Cancels an attempt at the decisions' request.
    pub(super) fn cancel_attempt(&mut self, request: RequestId, number: AttemptNumber) {
        self.end_attempt(AttemptId { request, number }, Outcome::Withdrawn, None);
    }

    /// Ends an attempt that has reached its deadline.
    pub(super) fn attempt_timed_out(&mut self, id: AttemptId) {
        match self.is_sent(id) {
            Some(true) => self.end_attempt(id, Outcome::TimedOut, None),
            Some(false) => self.end_attempt(id, Outcome::ConnectFailed, None),
            None => {}
        }
    }

    /// Ends an attempt whose connection was not established in time.
    pub(super) fn connect_timed_out(&mut self, id: AttemptId) {
        if self.is_sent(id) == Some(false) {
            self.end_attempt(id, Outcome::ConnectFailed, None);
        }
    }

    /// Ends the attempts that wait for a connection to an upstream, at the decisions' request.
    pub(super) fn abort_connects(&mut self, balancer: usize, upstream: UpstreamId) {
        for id in self.balancers[balancer].connecting_to(upstream) {
            self.end_attempt(id, Outcome::ConnectFailed, None);
        }
    }

    /// Cancels the attempts of a request that still wait for a connection.
    pub(super) fn cancel_unsent_attempts(&mut self, request: RequestId) {
        let Some(open_request) = self.requests.get(&request) else { return };
        let is_unsent =
            |attempt: &Option<Attempt>| attempt.as_ref().is_some_and(|attempt| attempt.sent_at.is_none());
        let numbers: Vec<AttemptNumber> = (0..)
            .zip(&open_request.attempts)
            .filter(|(_, attempt)| is_unsent(attempt))
            .map(|(number, _)| AttemptNumber(number))
            .collect();
        for number in numbers {
            self.end_attempt(AttemptId { request, number }, Outcome::Withdrawn, None);
        }
    }

    /// Closes a balancer's connections that have been idle for too long and schedules the next check.
    pub(super) fn sweep_idle_connections(&mut self, balancer: usize) {
        let idle_timeout = self.balancers[balancer].in_force.idle_timeout();
        if let Some(idle_since) = self.now.checked_sub(idle_timeout) {
            let expired = self.balancers[balancer].idle_connections.drain_idle_since(idle_since);
            self.close_connections(expired);
        }
        self.schedule.add(
            self.now + idle_timeout / SWEEPS_PER_IDLE_TIMEOUT,
            TimedEvent::SweepIdleConnections { balancer },
        );
    }
}
