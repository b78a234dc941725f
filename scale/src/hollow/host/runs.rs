//! Requests on modelled nodes: their work, their calls to the next service and their answers.

use stilelead_decision::interface::{LoadReport, Outcome};

use super::Host;
use crate::hollow::calls::{Answer, Origin, RunId, Work};
use crate::node::model::WorkOutcome;

impl Host {
    /// A node is done with its own work for a request: it calls on, or answers.
    pub(super) fn work_done(&mut self, id: RunId) {
        let Some(run) = self.runs.get(&id) else { return };
        if self.nodes[run.node].silent {
            self.runs.remove(&id);
            return;
        }
        match run.work.next_hop() {
            Some(work) => self.call_on(id, work),
            None => {
                let outcome = match run.fate {
                    WorkOutcome::Served => Outcome::Good,
                    WorkOutcome::Error => Outcome::Error,
                    WorkOutcome::Reset => Outcome::Reset,
                };
                self.finish(id, outcome);
            }
        }
    }

    fn call_on(&mut self, id: RunId, work: Work) {
        let Some(run) = self.runs.get(&id) else { return };
        let time = run.deadline.saturating_sub(self.now);
        if time.is_zero() {
            return self.finish(id, Outcome::Error);
        }
        let copy = self.copy_of(run.node);
        let downstream = self.take(copy, Origin::Node(id), work, time);
        if downstream.is_none() {
            return self.finish(id, Outcome::Error);
        }
        if let Some(run) = self.runs.get_mut(&id) {
            run.downstream = downstream;
        }
    }

    /// The next service has answered a node.
    pub(super) fn run_answered(&mut self, id: RunId, answer: Answer) {
        let Some(run) = self.runs.get_mut(&id) else { return };
        run.downstream = None;
        let served = matches!(answer, Answer::Served);
        self.finish(id, if served { Outcome::Good } else { Outcome::Error });
    }

    /// A node answers; what cannot get through is waited for in vain.
    fn finish(&mut self, id: RunId, outcome: Outcome) {
        let Some(run) = self.runs.remove(&id) else { return };
        if self.is_unreachable(run.copy, run.node) {
            return;
        }
        let load = if outcome == Outcome::Reset { None } else { self.load_report(run.copy, run.node) };
        self.end_attempt(run.attempt, outcome, load);
    }

    /// A node's caller is gone: it gives up its own call.
    pub(super) fn give_up(&mut self, id: RunId) {
        if let Some(request) = self.runs.remove(&id).and_then(|run| run.downstream) {
            self.caller_left(request);
        }
    }

    /// What an answer of a node tells a copy of its load.
    pub(super) fn load_report(&self, copy: usize, node: usize) -> Option<LoadReport> {
        self.nodes[node].report(self.now, self.copies[copy].load_fields())
    }
}
