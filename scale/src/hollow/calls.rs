//! The state of calls, requests, attempts and executions in progress.

use std::time::Duration;

use stilelead_decision::interface::{AttemptNumber, RequestId, UpstreamId};

use super::connections::Connection;
use crate::node::model::WorkOutcome;

/// The class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum CallClass {
    /// Safe to execute repeatedly.
    Read,
    /// Must never be executed twice.
    Order,
}

/// Identifies a client's call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct CallId(pub u64);

/// Identifies the execution of a request on a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ExecutionId(pub u64);

/// Identifies an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptId {
    /// The request that it belongs to.
    pub request: RequestId,
    /// Its number within the request.
    pub number: AttemptNumber,
}

/// Who receives the answer to a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Caller {
    /// A client, for this call.
    Client(CallId),
    /// A node, which needs the answer to finish this execution.
    Node(ExecutionId),
}

/// A balancer's final answer to a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Answer {
    /// A node has served the request.
    Served,
    /// Not served; the caller may safely retry.
    Refused {
        /// How long the caller is asked to wait before a retry.
        retry_after: Option<Duration>,
    },
    /// Not served; it may or may not have been executed.
    Failed,
}

/// The parameters of a request; only the hop numbers differ between the hops of a call.
#[derive(Debug, Clone, Copy)]
pub(super) struct RequestSpec {
    /// Class of the call.
    pub class: CallClass,
    /// Number of its tenant.
    pub tenant: u32,
    /// Remaining hops up to the last node, including this one.
    pub hops: u32,
    /// Number of this hop, counted from 1.
    pub hop: u32,
}

impl RequestSpec {
    /// The request that the node at this hop sends to the next service; `None` at the last hop.
    pub fn next_hop(self) -> Option<Self> {
        (self.hops > 1).then(|| Self { hops: self.hops - 1, hop: self.hop + 1, ..self })
    }
}

/// A client's call in progress, including its retries.
#[derive(Debug)]
pub(super) struct OpenCall {
    /// Scheduled arrival of the call.
    pub arrived_at: Duration,
    /// When the client stops waiting.
    pub deadline: Duration,
    /// Index of the balancer that the call is sent to.
    pub balancer: usize,
    /// Parameters of the request.
    pub spec: RequestSpec,
    /// How often the client may still retry after a refusal.
    pub retries_left: u32,
    /// The request in flight for this call.
    pub request: Option<RequestId>,
}

/// A request at a hollow balancer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Index of the balancer.
    pub balancer: usize,
    /// Who receives the answer.
    pub caller: Caller,
    /// Parameters of the request.
    pub spec: RequestSpec,
    /// When the decisions must have answered.
    pub deadline: Duration,
    /// Whether it has its final answer or its caller no longer waits for one.
    pub answered: bool,
    /// Attempts in flight, indexed by number; `None` for those that have ended.
    pub attempts: Vec<Option<Attempt>>,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// How often a node has accepted it.
    pub times_accepted: u32,
}

impl OpenRequest {
    /// The attempt with this number, if it is in flight.
    pub fn attempt(&mut self, number: AttemptNumber) -> Option<&mut Attempt> {
        self.attempts.get_mut(number.0 as usize)?.as_mut()
    }
}

/// An attempt in flight.
#[derive(Debug)]
pub(super) struct Attempt {
    /// The upstream that it is sent to.
    pub upstream: UpstreamId,
    /// Index of the node; `None` if the upstream is not a node of this fleet.
    pub node: Option<usize>,
    /// When the decisions requested the attempt.
    pub requested_at: Duration,
    /// When the attempt times out.
    pub deadline: Duration,
    /// When it was completely written; `None` while its connection is being established.
    pub sent_at: Option<Duration>,
    /// The connection that it was written to.
    pub connection: Option<Connection>,
    /// Its execution on the node, once accepted.
    pub execution: Option<ExecutionId>,
}

/// The execution of a request that a node has accepted.
#[derive(Debug)]
pub(super) struct Execution {
    /// Index of the node.
    pub node: usize,
    /// The attempt that delivered the request.
    pub attempt: AttemptId,
    /// Index of the balancer that sent it.
    pub balancer: usize,
    /// Parameters of the request.
    pub spec: RequestSpec,
    /// When the attempt's caller stops waiting.
    pub deadline: Duration,
    /// How the work ends; only used at the last hop.
    pub outcome: WorkOutcome,
    /// The request to the next service whose answer it waits for.
    pub downstream: Option<RequestId>,
}
