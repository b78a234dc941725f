//! What a copy tells its operator of its decisions: facts for logs and metrics, which ask for nothing.

use std::time::Duration;

use crate::interface::{Outcome, RequestId, UpstreamId};

/// Why a request was ended unserved.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndReason {
    /// The rate limits let no more calls through.
    Suppressed,
    /// No upstream may be sent to.
    NoUpstream,
    /// The last attempt ended so, and there is no further one.
    AttemptFailed(Outcome),
}

/// How far the list of upstreams is relied on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrustLevel {
    /// A subscription confirms it.
    Confirmed,
    /// No subscription does, but no change can count as told yet.
    Held,
    /// Only upstreams that have just accepted a request are used.
    Proved,
    /// No upstream is used until discovery has answered.
    Expired,
}

/// A fact for the operator.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Report {
    /// A request is about to be refused or failed.
    RequestEnded {
        /// The request.
        request: RequestId,
        /// Why.
        reason: EndReason,
    },
    /// The list is relied on in another way.
    ListTrust(TrustLevel),
    /// An upstream that fails is left out for a while.
    Ejected {
        /// The upstream.
        upstream: UpstreamId,
        /// For how long.
        span: Duration,
    },
}
