//! Faults of nodes, balancers and regions.

use stilelead_decision::interface::{AttemptNumber, Outcome, RequestId};

use super::HollowHost;
use crate::hollow::calls::{AttemptId, Caller};
use crate::record::CallOutcome;

impl HollowHost {
    /// Makes a node's machine silent or reachable again. Calls in progress at the balancer on that machine
    /// get no answer; they fail at their deadline, since that is not the balancer's fault. The balancer gets
    /// no calls while the machine is silent.
    pub fn set_silent(&mut self, node: usize, silent: bool) {
        self.catch_up();
        if std::mem::replace(&mut self.nodes[node].silent, silent) || !silent {
            return;
        }
        for request in self.requests_at(self.balancer_of(node)) {
            let unanswered = self.requests.get(&request).filter(|open_request| !open_request.answered);
            match unanswered.map(|open_request| open_request.caller) {
                Some(Caller::Client(call)) => self.fail_at_deadline(call),
                Some(Caller::Node(execution)) => drop(self.executions.remove(&execution)),
                None => {}
            }
            self.abandon_request(request);
        }
        self.process_steps();
    }

    /// Restarts the processes of a node, which is then cold, and of its balancer.
    pub fn restart(&mut self, node: usize) {
        self.catch_up();
        self.nodes[node].restart(self.now);
        self.end_attempts_on(node);
        self.process_steps();
        self.restart_balancer(self.balancer_of(node));
        self.process_steps();
    }

    /// Cuts the regions off from each other, or reconnects them.
    pub fn set_regions_cut(&mut self, cut: bool) {
        self.catch_up();
        self.regions_cut = cut;
    }

    /// Ends the process of a cold node that got too many requests.
    pub(super) fn node_collapsed(&mut self, node: usize) {
        if !self.nodes[node].down {
            self.nodes[node].stop();
            self.record.measured().cold_node_collapses += 1;
        }
        self.end_attempts_on(node);
    }

    /// Ends all attempts on a node whose process has ended.
    fn end_attempts_on(&mut self, node: usize) {
        let mut affected = Vec::new();
        for (&request, open_request) in &self.requests {
            for (number, attempt) in (0..).zip(&open_request.attempts) {
                if attempt.as_ref().is_some_and(|attempt| attempt.node == Some(node)) {
                    let number = AttemptNumber(number);
                    affected.push(AttemptId { request, number });
                }
            }
        }
        affected.sort_by_key(|id| (id.request, id.number));
        for id in affected {
            let sent_at = self
                .requests
                .get_mut(&id.request)
                .and_then(|open_request| open_request.attempt(id.number)?.sent_at);
            let outcome = if sent_at.is_some() { Outcome::Reset } else { Outcome::ConnectFailed };
            self.end_attempt(id, outcome, None);
        }
    }

    /// Ends a balancer's process with all its requests and connections, and starts a new one.
    fn restart_balancer(&mut self, balancer: usize) {
        for id in self.requests_at(balancer) {
            let Some(open_request) = self.requests.remove(&id) else { continue };
            if let Caller::Client(call) = open_request.caller
                && !open_request.answered
            {
                self.end_call(call, CallOutcome::Failed);
            }
            for attempt in open_request.attempts.into_iter().flatten() {
                self.close_connections(attempt.connection);
                if let Some(execution) = attempt.execution {
                    self.cancel_execution(execution);
                }
            }
        }
        let idle = self.balancers[balancer].idle_connections.drain_except(|_| false);
        self.close_connections(idle);
        let generation = self.balancers[balancer].generation + 1;
        match self.new_balancer(balancer, generation) {
            Ok(new_balancer) => self.replace_balancer(balancer, new_balancer),
            Err(error) => tracing::error!(%error, "cannot restart a hollow balancer"),
        }
    }

    /// The requests at a balancer, in order of arrival.
    fn requests_at(&self, balancer: usize) -> Vec<RequestId> {
        let at_balancer = self.requests.iter().filter(|(_, open_request)| open_request.balancer == balancer);
        let mut ids: Vec<RequestId> = at_balancer.map(|(&id, _)| id).collect();
        ids.sort();
        ids
    }
}
