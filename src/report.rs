//! Facts about decisions for the operator's logs and metrics; they ask for no action.

use std::time::Duration;

use crate::interface::{Outcome, RequestId, UpstreamId};

/// Why a request was ended unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UnservedReason {
    /// The rate limits did not admit the request.
    Suppressed,
    /// There was no upstream that the request could be sent to.
    NoUpstream,
    /// The last attempt ended with this outcome, and no further attempt was made.
    AttemptFailed(Outcome),
}

/// To what extent the list of upstreams is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrustLevel {
    /// A subscription confirms the list.
    Confirmed,
    /// No subscription confirms the list, but it is still used, because no change that the replica may have
    /// missed counts as delivered yet.
    Held,
    /// The list is no longer valid: only upstreams that have recently accepted a request are used.
    Proved,
    /// The list is no longer valid, and no upstream is used until discovery has answered.
    Expired,
}

/// A decision that is reported to the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// A request is about to be refused or failed.
    RequestEnded {
        /// The request that ends unserved.
        request: RequestId,
        /// Why it ends unserved.
        reason: UnservedReason,
    },
    /// The trust in the list of upstreams has changed to this level.
    ListTrust(TrustLevel),
    /// A failing upstream is excluded from selection for a while.
    Ejected {
        /// The upstream that is ejected.
        upstream: UpstreamId,
        /// How long it is ejected for.
        span: Duration,
    },
}
