//! Attempts of hollow copies on modelled nodes: connections, sending and how they end.

use std::time::Duration;

use stilelead_decision::Event;
use stilelead_decision::interface::{
    AttemptEnded, AttemptNumber, LoadReport, Outcome, RequestId, UpstreamId,
};

use super::{Host, SWEEPS};
use crate::hollow::calls::{Answer, Attempt, AttemptId, CallClass, Run, RunId};
use crate::hollow::connections::Connection;
use crate::hollow::schedule::Due;
use crate::node::model::Admission;
use crate::topology::Carrier;

impl Host {
    /// The decisions send a request to an upstream.
    pub(super) fn send(
        &mut self,
        request: RequestId,
        upstream: UpstreamId,
        timeout: Option<Duration>,
        start_within: Duration,
    ) {
        let Some(held) = self.requests.get_mut(&request) else { return };
        let copy = held.copy;
        let number = AttemptNumber(held.attempts.len() as u32);
        if held.answered || self.copies[copy].directory.ready_address(upstream).is_none() {
            held.attempts.push(None);
            let ended = AttemptEnded {
                request,
                attempt: number,
                outcome: Outcome::NotSent,
                duration: Duration::ZERO,
                request_ended: held.answered,
                load: None,
            };
            return self.tell(copy, Event::AttemptEnded(ended));
        }
        let until = timeout.map_or(held.deadline, |span| held.deadline.min(self.now + span));
        let node = self.copies[copy].node(upstream);
        let attempt =
            Attempt { upstream, node, asked: self.now, until, sent: None, connection: None, run: None };
        held.attempts.push(Some(attempt));
        held.out += 1;
        let id = AttemptId { request, number };
        self.schedule.add(until, Due::AttemptTimeout(id));
        self.begin(copy, id, upstream, until.min(self.now + start_within));
    }

    /// Finds a connection for an attempt and writes it there.
    fn begin(&mut self, copy: usize, id: AttemptId, upstream: UpstreamId, start_by: Duration) {
        while let Some(kept) = self.copies[copy].idle.take(upstream) {
            // One that ended with the node's process is found closed.
            if self.nodes[kept.node].life == kept.life {
                return self.write(copy, id, kept);
            }
        }
        let Some(node) = self.copies[copy].node(upstream) else {
            return self.end_attempt(id, Outcome::ConnectFailed, None);
        };
        if self.is_unreachable(copy, node) {
            let patience = self.copies[copy].in_force.connect_timeout();
            self.copies[copy].connects(upstream, id);
            return self.schedule.add(start_by.min(self.now + patience), Due::ConnectTimeout(id));
        }
        if self.nodes[node].down {
            return self.end_attempt(id, Outcome::ConnectFailed, None);
        }
        match self.nodes[node].accept(node, self.now) {
            Some(connection) => self.write(copy, id, connection),
            None => self.turned_away(copy, id, node),
        }
    }

    /// A node that holds as many connections as it can answers on one more that it can't run the request.
    fn turned_away(&mut self, copy: usize, id: AttemptId, node: usize) {
        if let Some(held) = self.requests.get(&id.request) {
            self.record.count_attempt(Carrier::Hollow, held.work.hop);
        }
        let load = self.load_report(copy, node);
        self.end_attempt(id, Outcome::Refused, load);
    }

    /// Writes an attempt whole to a connection.
    fn write(&mut self, copy: usize, id: AttemptId, connection: Connection) {
        let Some(held) = self.requests.get_mut(&id.request) else { return };
        let work = held.work;
        let Some(attempt) = held.attempt(id.number) else { return };
        attempt.sent = Some(self.now);
        attempt.connection = Some(connection);
        let (node, deadline) = (connection.node, attempt.until);
        if self.is_unreachable(copy, node) {
            return;
        }
        self.record.count_attempt(Carrier::Hollow, work.hop);
        match self.nodes[node].model.admit_request(self.now) {
            Admission::Runs { ends_at: until, outcome: fate } => {
                let run = Run { node, attempt: id, copy, work, deadline, fate, downstream: None };
                self.accepted(run, until);
            }
            Admission::QueueFull => {
                let load = self.load_report(copy, node);
                self.end_attempt(id, Outcome::Refused, load);
            }
            Admission::Down => self.node_falls(node),
        }
    }

    /// A node has accepted an attempt and is done with its own work at `until`.
    fn accepted(&mut self, run: Run, until: Duration) {
        let AttemptId { request, number } = run.attempt;
        let id = RunId(self.number());
        let Some(held) = self.requests.get_mut(&request) else { return };
        held.runs += 1;
        if held.runs > 1 && run.work.class == CallClass::Order {
            self.record.measured().duplicated += 1;
        }
        if let Some(attempt) = held.attempt(number) {
            attempt.run = Some(id);
        }
        self.runs.insert(id, run);
        self.schedule.add(until, Due::WorkDone(id));
    }

    /// An attempt that is out has ended, which its copy hears.
    pub(super) fn end_attempt(&mut self, id: AttemptId, outcome: Outcome, load: Option<LoadReport>) {
        let Some(held) = self.requests.get_mut(&id.request) else { return };
        let place = held.attempts.get_mut(id.number.0 as usize);
        let Some(attempt) = place.and_then(Option::take) else { return };
        held.out -= 1;
        let copy = held.copy;
        if outcome == Outcome::Good {
            self.answer(id.request, Answer::Served);
        }
        let finished = self.requests.get(&id.request).is_none_or(|held| held.answered);
        self.release(id.request);
        self.let_connection_go(copy, id, &attempt, outcome);
        self.tell(
            copy,
            Event::AttemptEnded(AttemptEnded {
                request: id.request,
                attempt: id.number,
                outcome,
                duration: self.now.saturating_sub(attempt.sent.unwrap_or(attempt.asked)),
                request_ended: finished,
                load,
            }),
        );
    }

    /// Keeps or closes the connection of an attempt that has ended; on a closed one the node gives up.
    fn let_connection_go(&mut self, copy: usize, id: AttemptId, attempt: &Attempt, outcome: Outcome) {
        if attempt.sent.is_none() {
            self.copies[copy].stops_connecting(id.request, id.number);
        }
        if let Some(connection) = attempt.connection {
            let answered = matches!(outcome, Outcome::Good | Outcome::Error | Outcome::Refused);
            let wanted = self.copies[copy].directory.ready_address(attempt.upstream).is_some();
            if answered && wanted {
                self.copies[copy].idle.keep(attempt.upstream, connection, self.now);
            } else {
                self.close([connection]);
            }
        }
        if let Some(run) = attempt.run {
            self.give_up(run);
        }
    }

    /// Connections were closed by the copies that held them.
    pub(super) fn close(&mut self, connections: impl IntoIterator<Item = Connection>) {
        for connection in connections {
            self.nodes[connection.node].closed(connection);
        }
    }

    fn is_sent(&mut self, id: AttemptId) -> Option<bool> {
        let attempt = self.requests.get_mut(&id.request)?.attempt(id.number)?;
        Some(attempt.sent.is_some())
    }

    /// The decisions give up an attempt.
    pub(super) fn withdraw(&mut self, request: RequestId, number: AttemptNumber) {
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
    pub(super) fn abort_connects(&mut self, copy: usize, upstream: UpstreamId) {
        for id in self.copies[copy].connecting_to(upstream) {
            self.end_attempt(id, Outcome::ConnectFailed, None);
        }
    }

    /// Takes back the attempts of a request that still wait for their connection.
    pub(super) fn take_back_unsent(&mut self, request: RequestId) {
        let Some(held) = self.requests.get(&request) else { return };
        let unsent = |attempt: &Option<Attempt>| attempt.as_ref().is_some_and(|it| it.sent.is_none());
        let numbers: Vec<AttemptNumber> = (0..)
            .zip(&held.attempts)
            .filter(|(_, attempt)| unsent(attempt))
            .map(|(number, _)| AttemptNumber(number))
            .collect();
        for number in numbers {
            self.end_attempt(AttemptId { request, number }, Outcome::Withdrawn, None);
        }
    }

    /// Closes the connections of a copy that have been idle for too long.
    pub(super) fn sweep(&mut self, copy: usize) {
        let keep = self.copies[copy].in_force.keep();
        if let Some(oldest) = self.now.checked_sub(keep) {
            let old = self.copies[copy].idle.drain_older(oldest);
            self.close(old);
        }
        self.schedule.add(self.now + keep / SWEEPS, Due::Sweep { copy });
    }
}
