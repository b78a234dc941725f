//! Calls, requests, attempts and runs that are under way in the hollow part.

use std::time::Duration;

use stilelead_decision::interface::{AttemptNumber, RequestId, UpstreamId};

use super::connections::Connection;
use crate::node::model::WorkOutcome;

/// A class of calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallClass {
    /// Safe to repeat.
    Read,
    /// Must never run twice.
    Order,
}

/// Names a client's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallId(pub u64);

/// Names a request's run on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ExecutionId(pub u64);

/// Names an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptId {
    /// Its request.
    pub request: RequestId,
    /// Its number there.
    pub number: AttemptNumber,
}

/// Who waits for a request's answer.
#[derive(Debug, Clone, Copy)]
pub(super) enum Caller {
    /// A client's call.
    Client(CallId),
    /// A node, to go on with a run.
    Node(ExecutionId),
}

/// A balancer's final answer.
#[derive(Debug, Clone, Copy)]
pub(super) enum Answer {
    /// A node has served it.
    Served,
    /// Trying again is harmless.
    Refused {
        /// Advice to stay away so long.
        retry_after: Option<Duration>,
    },
    /// Nothing is said of its effect.
    Failed,
}

/// What a request asks for; the same at each hop but for the hops.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestSpec {
    /// Its class.
    pub class: CallClass,
    /// Number of its tenant.
    pub tenant: u32,
    /// Hops from here to the last node, this one included.
    pub hops: u32,
    /// Number of this hop, from 1.
    pub hop: u32,
}

impl RequestSpec {
    /// What the node at this hop asks of the next service; `None` at the last hop.
    pub fn next_hop(self) -> Option<Self> {
        (self.hops > 1).then(|| Self { hops: self.hops - 1, hop: self.hop + 1, ..self })
    }
}

/// A client's call, its repeats included.
#[derive(Debug)]
pub(super) struct OpenCall {
    /// When it was drawn to arrive.
    pub arrived_at: Duration,
    /// When its client's time is up.
    pub deadline: Duration,
    /// Position of the copy that it goes to.
    pub balancer: usize,
    /// What it asks for.
    pub spec: RequestSpec,
    /// Times that it may still be repeated after a refusal.
    pub retries_left: u32,
    /// The request that is out for it.
    pub request: Option<RequestId>,
}

/// A request at a hollow copy.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Position of the copy.
    pub balancer: usize,
    /// Who waits for it.
    pub caller: Caller,
    /// What it asks for.
    pub spec: RequestSpec,
    /// When its answer must be out.
    pub deadline: Duration,
    /// It has its final answer, or nobody waits for one any more.
    pub answered: bool,
    /// By number, while they are out.
    pub attempts: Vec<Option<Attempt>>,
    /// Attempts that are out.
    pub in_flight: u32,
    /// Times that it was accepted by a node.
    pub times_accepted: u32,
}

impl OpenRequest {
    /// The attempt of that number, while it is out.
    pub fn attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(number.0 as usize)?.as_mut()
    }
}

/// An attempt that is out.
#[derive(Debug)]
pub(super) struct Attempt {
    /// Where it goes, in the copy's terms.
    pub upstream: UpstreamId,
    /// Position of the node, if it is one of this fleet.
    pub node: Option<usize>,
    /// When the decisions asked for it.
    pub requested_at: Duration,
    /// When it is given up.
    pub deadline: Duration,
    /// When it was written whole; `None` while its connection is coming up.
    pub sent_at: Option<Duration>,
    /// The connection that it was written to.
    pub connection: Option<Connection>,
    /// What it does on the node.
    pub execution: Option<ExecutionId>,
}

/// A request that a node has accepted.
#[derive(Debug)]
pub(super) struct Execution {
    /// Position of the node.
    pub node: usize,
    /// The attempt that brought it.
    pub attempt: AttemptId,
    /// Position of the copy that sent it.
    pub balancer: usize,
    /// What it asks for.
    pub spec: RequestSpec,
    /// How long its caller waits.
    pub deadline: Duration,
    /// How it ends, at the last hop.
    pub outcome: WorkOutcome,
    /// The request to the next service that it waits for.
    pub downstream: Option<RequestId>,
}
