//! The state of calls, requests, attempts and executions in progress.

use std::time::Duration;

use stilelead_decision::interface::{AttemptNumber, RequestId, UpstreamId};

use super::connections::Connection;
use crate::node::model::WorkOutcome;

/// Whether a call may be executed more than once.
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

/// Identifies an attempt: one try of a request on one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct AttemptId {
    /// The request that the attempt belongs to.
    pub request: RequestId,
    /// Number of the attempt within its request.
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
    /// Whether the request is a read or an order, which must not be executed twice.
    pub class: CallClass,
    /// Number of the tenant that the call belongs to.
    pub tenant: u32,
    /// Remaining hops from this request up to the last node, including this request.
    pub hops: u32,
    /// Number of the hop that this request makes; the client's request is hop 1.
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
    /// Class, tenant and hop numbers of the request.
    pub spec: RequestSpec,
    /// How often the client may still retry after a refusal.
    pub retries_left: u32,
    /// The request in flight for this call.
    pub request: Option<RequestId>,
}

/// A request at a hollow balancer.
#[derive(Debug)]
pub(super) struct OpenRequest {
    /// Index of the balancer that handles the request.
    pub balancer: usize,
    /// Who receives the answer.
    pub caller: Caller,
    /// Class, tenant and hop numbers of the request.
    pub spec: RequestSpec,
    /// When the balancer's decision module must have answered.
    pub deadline: Duration,
    /// Whether the request has its final answer or its caller no longer waits for one.
    pub answered: bool,
    /// Attempts in flight, indexed by number; `None` for those that have ended.
    pub attempts: Vec<Option<Attempt>>,
    /// Number of attempts in flight.
    pub in_flight: u32,
    /// How often a node has accepted the request; more than once means repeated execution.
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
    /// The upstream that the attempt is sent to.
    pub upstream: UpstreamId,
    /// Index of the node; `None` if the upstream is not a node of this fleet.
    pub node: Option<usize>,
    /// When the decisions requested the attempt.
    pub requested_at: Duration,
    /// When the attempt times out.
    pub deadline: Duration,
    /// When the attempt was completely written; `None` while its connection is being established.
    pub sent_at: Option<Duration>,
    /// The connection that the attempt was written to.
    pub connection: Option<Connection>,
    /// The execution on the node, once the node has accepted the attempt.
    pub execution: Option<ExecutionId>,
}

/// The execution of a request that a node has accepted.
#[derive(Debug)]
pub(super) struct Execution {
    /// Index of the node that executes the request.
    pub node: usize,
    /// The attempt that delivered the request.
    pub attempt: AttemptId,
    /// Index of the balancer that sent the attempt.
    pub balancer: usize,
    /// Class, tenant and hop numbers of the request.
    pub spec: RequestSpec,
    /// When the attempt's caller stops waiting.
    pub deadline: Duration,
    /// How the node's work ends: served, error or reset; only used at the last hop.
    pub outcome: WorkOutcome,
    /// The request to the next service whose answer the node waits for.
    pub downstream: Option<RequestId>,
}
