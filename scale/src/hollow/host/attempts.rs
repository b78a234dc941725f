//! Attempts of hollow copies on modelled nodes: connections, sending and how they end.

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
use crate::topology::Carrier;

impl HollowHost {
    /// The decisions send a request to an upstream.
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

    /// Finds a connection for an attempt and writes it there.
    fn start_attempt(&mut self, balancer: usize, id: AttemptId, upstream: UpstreamId, start_by: Duration) {
        while let Some(idle) = self.balancers[balancer].idle.take(upstream) {
            // One that ended with the node's process is found closed.
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

    /// A node that holds as many connections as it can answers on one more that it can't run the request.
    fn connection_rejected(&mut self, balancer: usize, id: AttemptId, node: usize) {
        if let Some(open_request) = self.requests.get(&id.request) {
            self.record.count_attempt(Carrier::Hollow, open_request.spec.hop);
        }
        let load = self.load_report(balancer, node);
        self.end_attempt(id, Outcome::Refused, load);
    }

    /// Writes an attempt whole to a connection.
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
        self.record.count_attempt(Carrier::Hollow, spec.hop);
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

    /// A node has accepted an attempt and is done with its own work at `until`.
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

    /// An attempt that is out has ended, which its copy hears.
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

    /// Keeps or closes the connection of an attempt that has ended; on a closed one the node gives up.
    fn release_connection(&mut self, balancer: usize, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        if attempt.sent_at.is_none() {
            self.balancers[balancer].remove_connecting(id.request, id.number);
        }
        if let Some(connection) = attempt.connection {
            let answered = matches!(outcome, Outcome::Good | Outcome::Error | Outcome::Refused);
            let is_ready = self.balancers[balancer].directory.ready_address(attempt.upstream).is_some();
            if answered && is_ready {
                self.balancers[balancer].idle.add(attempt.upstream, connection, self.now);
            } else {
                self.close_connections([connection]);
            }
        }
        if let Some(execution) = attempt.execution {
            self.cancel_execution(execution);
        }
    }

    /// Connections were closed by the copies that held them.
    pub(super) fn close_connections(&mut self, connections: impl IntoIterator<Item = Connection>) {
        for connection in connections {
            self.nodes[connection.node].connection_closed(connection);
        }
    }

    fn is_sent(&mut self, id: AttemptId) -> Option<bool> {
        let attempt = self.requests.get_mut(&id.request)?.attempt(id.number)?;
        Some(attempt.sent_at.is_some())
    }

    /// The decisions give up an attempt.
    pub(super) fn withdraw_attempt(&mut self, request: RequestId, number: AttemptNumber) {
        self.end_attempt(AttemptId { request, number }, Outcome::Withdrawn, None);
    }

    /// An attempt has had its time.
    pub(super) fn attempt_timed_out(&mut self, id: AttemptId) {
        match self.is_sent(id) {
            Some(true) => self.end_attempt(id, Outcome::TimedOut, None),
            Some(false) => self.end_attempt(id, Outcome::ConnectFailed, None),
            None => {}
        }
    }

    /// A connection has not come up in time.
    pub(super) fn connect_timed_out(&mut self, id: AttemptId) {
        if self.is_sent(id) == Some(false) {
            self.end_attempt(id, Outcome::ConnectFailed, None);
        }
    }

    /// The decisions give up connecting to an upstream.
    pub(super) fn abort_connects(&mut self, balancer: usize, upstream: UpstreamId) {
        for id in self.balancers[balancer].connecting_to(upstream) {
            self.end_attempt(id, Outcome::ConnectFailed, None);
        }
    }

    /// Takes back the attempts of a request that still wait for their connection.
    pub(super) fn withdraw_unsent_attempts(&mut self, request: RequestId) {
        let Some(open_request) = self.requests.get(&request) else { return };
        let is_unsent = |attempt: &Option<Attempt>| attempt.as_ref().is_some_and(|it| it.sent_at.is_none());
        let numbers: Vec<AttemptNumber> = (0..)
            .zip(&open_request.attempts)
            .filter(|(_, attempt)| is_unsent(attempt))
            .map(|(number, _)| AttemptNumber(number))
            .collect();
        for number in numbers {
            self.end_attempt(AttemptId { request, number }, Outcome::Withdrawn, None);
        }
    }

    /// Closes the connections of a copy that have been idle for too long.
    pub(super) fn sweep_idle_connections(&mut self, balancer: usize) {
        let idle_timeout = self.balancers[balancer].in_force.keep();
        if let Some(idle_since) = self.now.checked_sub(idle_timeout) {
            let expired = self.balancers[balancer].idle.drain_idle_since(idle_since);
            self.close_connections(expired);
        }
        self.schedule.add(
            self.now + idle_timeout / SWEEPS_PER_IDLE_TIMEOUT,
            TimedEvent::SweepIdleConnections { balancer },
        );
    }
}
