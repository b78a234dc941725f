//! What happens to nodes, copies and regions.

use stilelead_decision::interface::{AttemptNumber, Outcome, RequestId};

use super::Host;
use crate::hollow::calls::{AttemptId, Origin};
use crate::record::CallEnd;

impl Host {
    /// The machine of a node says nothing from now on, or is back. Calls at the copy on it stay without an answer,
    /// which is not the balancer's doing: they fail when their time is up. Its copy takes no calls meanwhile.
    pub fn silence(&mut self, node: usize, silent: bool) {
        self.catch_up();
        if std::mem::replace(&mut self.nodes[node].silent, silent) || !silent {
            return;
        }
        for request in self.requests_at(self.copy_of(node)) {
            let waiting = self.requests.get(&request).filter(|held| !held.answered);
            match waiting.map(|held| held.origin) {
                Some(Origin::Client(call)) => self.fail_at_deadline(call),
                Some(Origin::Node(run)) => drop(self.runs.remove(&run)),
                None => {}
            }
            self.caller_left(request);
        }
        self.run_steps();
    }

    /// The processes of a node and of its copy end and start anew, the node cold.
    pub fn restart(&mut self, node: usize) {
        self.catch_up();
        self.nodes[node].restart(self.now);
        self.end_attempts_on(node);
        self.run_steps();
        self.restart_copy(self.copy_of(node));
        self.run_steps();
    }

    /// The regions lose each other, or find each other again.
    pub fn cut_regions(&mut self, cut: bool) {
        self.catch_up();
        self.regions_cut = cut;
    }

    /// A node was pushed over while cold: its process ends.
    pub(super) fn node_falls(&mut self, node: usize) {
        if !self.nodes[node].down {
            self.nodes[node].end();
            self.record.measured().cold_falls += 1;
        }
        self.end_attempts_on(node);
    }

    /// Ends all attempts on a node whose process is gone.
    fn end_attempts_on(&mut self, node: usize) {
        let mut broken = Vec::new();
        for (&request, held) in &self.requests {
            for (number, attempt) in (0..).zip(&held.attempts) {
                if attempt.as_ref().is_some_and(|attempt| attempt.node == Some(node)) {
                    let number = AttemptNumber(number);
                    broken.push(AttemptId { request, number });
                }
            }
        }
        broken.sort_by_key(|id| (id.request, id.number));
        for id in broken {
            let sent = self.requests.get_mut(&id.request).and_then(|held| held.attempt(id.number)?.sent);
            let outcome = if sent.is_some() { Outcome::Reset } else { Outcome::ConnectFailed };
            self.end_attempt(id, outcome, None);
        }
    }

    /// The process of a copy ends, and with it what it holds; a new one starts.
    fn restart_copy(&mut self, copy: usize) {
        for id in self.requests_at(copy) {
            let Some(held) = self.requests.remove(&id) else { continue };
            if let Origin::Client(call) = held.origin
                && !held.answered
            {
                self.end_call(call, CallEnd::Failed);
            }
            for attempt in held.attempts.into_iter().flatten() {
                self.close(attempt.connection);
                if let Some(run) = attempt.run {
                    self.give_up(run);
                }
            }
        }
        let idle = self.copies[copy].idle.drain_others(|_| false);
        self.close(idle);
        let life = self.copies[copy].life + 1;
        match self.new_copy(copy, life) {
            Ok(new) => self.replace_copy(copy, new),
            Err(error) => tracing::error!(%error, "a hollow copy does not start again"),
        }
    }

    /// The requests that a copy holds, in the order taken.
    fn requests_at(&self, copy: usize) -> Vec<RequestId> {
        let held = self.requests.iter().filter(|(_, held)| held.copy == copy);
        let mut ids: Vec<RequestId> = held.map(|(&id, _)| id).collect();
        ids.sort();
        ids
    }
}
