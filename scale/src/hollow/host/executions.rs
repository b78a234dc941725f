//! Execution of requests on modelled nodes: the node's own work, its call to the next service, and its
//! answer.

use stilelead_decision::interface::{LoadReport, Outcome};

use super::HollowHost;
use crate::hollow::calls::{Answer, Caller, ExecutionId, RequestSpec};
use crate::node::model::WorkOutcome;

impl HollowHost {
    /// Handles the end of a node's own work for a request: the node calls the next service or, at the last
    /// hop, answers.
    pub(super) fn work_done(&mut self, id: ExecutionId) {
        let Some(execution) = self.executions.get(&id) else { return };
        if self.nodes[execution.node].silent {
            self.executions.remove(&id);
            return;
        }
        match execution.spec.next_hop() {
            Some(spec) => self.call_next_service(id, spec),
            None => {
                let outcome = match execution.outcome {
                    WorkOutcome::Served => Outcome::Good,
                    WorkOutcome::Error => Outcome::Error,
                    WorkOutcome::Reset => Outcome::Reset,
                };
                self.finish_execution(id, outcome);
            }
        }
    }

    fn call_next_service(&mut self, id: ExecutionId, spec: RequestSpec) {
        let Some(execution) = self.executions.get(&id) else { return };
        let timeout = execution.deadline.saturating_sub(self.now);
        if timeout.is_zero() {
            return self.finish_execution(id, Outcome::Error);
        }
        let balancer = self.balancer_of(execution.node);
        let downstream = self.accept_request(balancer, Caller::Node(id), spec, timeout);
        if downstream.is_none() {
            return self.finish_execution(id, Outcome::Error);
        }
        if let Some(execution) = self.executions.get_mut(&id) {
            execution.downstream = downstream;
        }
    }

    /// Handles the next service's answer to a node.
    pub(super) fn downstream_answered(&mut self, id: ExecutionId, answer: Answer) {
        let Some(execution) = self.executions.get_mut(&id) else { return };
        execution.downstream = None;
        let served = matches!(answer, Answer::Served);
        self.finish_execution(id, if served { Outcome::Good } else { Outcome::Error });
    }

    /// Ends an execution with the node's answer. If the balancer cannot be reached, the answer is dropped and
    /// the attempt times out.
    fn finish_execution(&mut self, id: ExecutionId, outcome: Outcome) {
        let Some(execution) = self.executions.remove(&id) else { return };
        if self.is_unreachable(execution.balancer, execution.node) {
            return;
        }
        let load = if outcome == Outcome::Reset {
            None
        } else {
            self.load_report(execution.balancer, execution.node)
        };
        self.end_attempt(execution.attempt, outcome, load);
    }

    /// Ends an execution whose caller no longer waits, and abandons its request to the next service.
    pub(super) fn cancel_execution(&mut self, id: ExecutionId) {
        if let Some(request) = self.executions.remove(&id).and_then(|execution| execution.downstream) {
            self.abandon_request(request);
        }
    }

    /// The load report that a node adds to an answer to a balancer.
    pub(super) fn load_report(&self, balancer: usize, node: usize) -> Option<LoadReport> {
        self.nodes[node].load_report(self.now, self.balancers[balancer].load_fields())
    }
}
