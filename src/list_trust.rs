//! How far the list of upstreams may be used while no subscription confirms it.
//!
//! The list is a lease: some time after a replica could have asked for a change at discovery, the rules treat
//! the change as delivered, whether or not it arrived (STANDING.md, section 'The whole fleet'). A replica
//! that receives no updates from discovery cannot know what it has missed, so its list is valid only until a
//! change could count as delivered. After that, an upstream is used only if it has recently accepted a
//! request, which a draining upstream stops doing.

use std::time::Duration;

use crate::interface::{DiscoveryMode, Rules};
use crate::report::TrustLevel;

/// Time after which the rules treat a change at discovery as delivered to this replica even if calls to
/// discovery have failed, in seconds (STANDING.md).
const DELIVERY_ASSUMED_S: f64 = 6.0;
/// Time after the end of a subscription at which the rules treat a change as delivered if the subscription
/// has ended instead of delivering it, unless a call to discovery has failed since, in seconds (STANDING.md).
const DELIVERY_ASSUMED_AFTER_END_S: f64 = 2.0;
/// Time after discovery has moved to another address at which the rules treat a change as delivered, in
/// seconds (TERMS, 'Reloading').
const DELIVERY_ASSUMED_AFTER_MOVE_S: f64 = 4.0;
/// Time for which an accepted request allows further sends to its upstream, in seconds. Draining upstreams
/// were observed to reject requests 1.3 to 2.4 s after discovery knew of the drain (journal, 34b5f5c4),
/// which leaves much less than [`DELIVERY_ASSUMED_S`] after the last request that such an upstream accepts.
const ACCEPTANCE_VALID_S: f64 = 2.0;
/// Maximum time for which the process may be paused between reading its clock and writing to a socket, in
/// seconds (STANDING.md). It is subtracted from the drain grace.
const MAX_PROCESS_PAUSE_S: f64 = 0.15;

/// Whether the list is confirmed, and if not, until when it is valid.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ListState {
    /// A subscription is up and confirms the list.
    Confirmed,
    /// No subscription has confirmed the list yet, so its age is unknown. It is valid for a short time after
    /// the first request, in which each upstream can accept one, but no longer than until a change made when
    /// the replica started counts as delivered.
    UnknownAge {
        /// When the replica started, in seconds.
        started_at_s: f64,
        /// When the replica first sent a request, in seconds; `None` if it has sent none.
        first_used_at_s: Option<f64>,
    },
    /// The subscription has been lost, so changes may have been missed.
    Unconfirmed {
        /// Until when the list is valid, in seconds.
        valid_until_s: f64,
        /// Until when the list is valid once a call to discovery has failed, in seconds.
        valid_until_if_call_failed_s: f64,
        /// Whether upstreams that have recently accepted a request may be used after `valid_until_s`. Not
        /// directly after a subscription has ended because of a change: a draining upstream goes on accepting
        /// requests for a while, so acceptance proves nothing then.
        trusts_recent_acceptance: bool,
    },
}

/// Decides which upstreams of the list may be sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListTrust {
    /// Whether the list is confirmed, and if not, until when it is valid.
    state: ListState,
    /// The drain grace minus the time for which the process may be paused, in seconds.
    usable_drain_grace_s: f64,
    /// The level of trust when [`Self::level_changed`] was last called.
    reported_level: TrustLevel,
}

impl ListTrust {
    /// The trust before the first update from discovery: the list has an unknown age or, if lists are pushed,
    /// is confirmed.
    pub(crate) fn new(now_s: f64, mode: DiscoveryMode, rules: &Rules) -> Self {
        let (state, level) = match mode {
            DiscoveryMode::Push => (ListState::Confirmed, TrustLevel::Confirmed),
            DiscoveryMode::Subscribe => {
                (ListState::UnknownAge { started_at_s: now_s, first_used_at_s: None }, TrustLevel::Held)
            }
        };
        Self { state, usable_drain_grace_s: 0.0, reported_level: level }.with_rules(rules)
    }

    /// Applies changed rules; the state of the list stays as it is.
    pub(crate) fn with_rules(self, rules: &Rules) -> Self {
        Self {
            usable_drain_grace_s: (rules.drain_grace.as_secs_f64() - MAX_PROCESS_PAUSE_S).max(0.0),
            ..self
        }
    }

    /// Records that a request is sent to an upstream of the list.
    pub(crate) fn record_use(&mut self, now_s: f64) {
        if let ListState::UnknownAge { first_used_at_s, .. } = &mut self.state {
            first_used_at_s.get_or_insert(now_s);
        }
    }

    /// Confirms the list: the subscription has delivered one.
    pub(crate) fn subscription_confirmed(&mut self) {
        self.state = ListState::Confirmed;
    }

    /// Handles the end of the subscription or a failed call to discovery.
    pub(crate) fn subscription_lost(&mut self, now_s: f64, rules: &Rules) {
        self.state = match self.state {
            ListState::Confirmed => {
                let delivery_assumed_at_s = now_s + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
                // The end of a subscription signals a change only where replicas must poll discovery.
                let must_poll = rules.max_poll_interval.is_some();
                let valid_until_s = if must_poll {
                    now_s + DELIVERY_ASSUMED_AFTER_END_S + self.usable_drain_grace_s
                } else {
                    delivery_assumed_at_s
                };
                ListState::Unconfirmed {
                    valid_until_s,
                    valid_until_if_call_failed_s: delivery_assumed_at_s,
                    trusts_recent_acceptance: !must_poll,
                }
            }
            ListState::UnknownAge { .. } => self.state,
            ListState::Unconfirmed { valid_until_s, valid_until_if_call_failed_s, .. } => {
                let valid_until_s = valid_until_s.max(valid_until_if_call_failed_s);
                ListState::Unconfirmed {
                    valid_until_s,
                    valid_until_if_call_failed_s,
                    trusts_recent_acceptance: true,
                }
            }
        };
    }

    /// Handles a subscription that was given up after it had delivered nothing for the time `silence`.
    /// Changes may have been missed since its last update.
    pub(crate) fn subscription_timed_out(&mut self, now_s: f64, silence: Duration, rules: &Rules) {
        if self.state != ListState::Confirmed {
            return self.subscription_lost(now_s, rules);
        }
        let valid_until_s = now_s - silence.as_secs_f64() + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
        self.state = ListState::Unconfirmed {
            valid_until_s,
            valid_until_if_call_failed_s: valid_until_s,
            trusts_recent_acceptance: true,
        };
    }

    /// Handles a failure to connect to discovery. While nothing accepts connections at its address, its
    /// changes do not count as delivered, so the time for which the list is valid starts again with every
    /// such failure.
    pub(crate) fn discovery_unreachable(&mut self, now_s: f64) {
        let valid_until_s = now_s + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
        self.state = ListState::Unconfirmed {
            valid_until_s,
            valid_until_if_call_failed_s: valid_until_s,
            trusts_recent_acceptance: true,
        };
    }

    /// Handles a move of discovery to another address. It never extends the time for which the list is valid.
    pub(crate) fn discovery_moved(&mut self, now_s: f64) {
        let delivery_assumed_at_s = now_s + DELIVERY_ASSUMED_AFTER_MOVE_S + self.usable_drain_grace_s;
        self.state = match self.state {
            ListState::Confirmed => ListState::Unconfirmed {
                valid_until_s: delivery_assumed_at_s,
                valid_until_if_call_failed_s: delivery_assumed_at_s,
                trusts_recent_acceptance: true,
            },
            ListState::UnknownAge { .. } => self.state,
            ListState::Unconfirmed {
                valid_until_s,
                valid_until_if_call_failed_s,
                trusts_recent_acceptance,
            } => ListState::Unconfirmed {
                valid_until_s: valid_until_s.min(delivery_assumed_at_s),
                valid_until_if_call_failed_s: valid_until_if_call_failed_s.min(delivery_assumed_at_s),
                trusts_recent_acceptance,
            },
        };
    }

    /// Until when an upstream of the list may be sent to, in seconds, given when the latest request that it
    /// accepted was sent; `None` without a limit.
    pub(crate) fn sends_allowed_until_s(&self, last_accepted_send_s: Option<f64>) -> Option<f64> {
        let valid_until_s = self.list_valid_until_s()?;
        let accepted_until_s = last_accepted_send_s
            .filter(|_| self.trusts_recent_acceptance())
            .map(|last_accepted_send_s| last_accepted_send_s + ACCEPTANCE_VALID_S);
        Some(accepted_until_s.map_or(valid_until_s, |accepted_until_s| accepted_until_s.max(valid_until_s)))
    }

    /// Whether an upstream of the list may be sent to now, given when the latest request that it accepted was
    /// sent.
    pub(crate) fn allows_send(&self, now_s: f64, last_accepted_send_s: Option<f64>) -> bool {
        self.sends_allowed_until_s(last_accepted_send_s).is_none_or(|valid_until_s| now_s < valid_until_s)
    }

    /// The level of trust, if it has changed since the last call.
    pub(crate) fn level_changed(&mut self, now_s: f64) -> Option<TrustLevel> {
        let level = match self.list_valid_until_s() {
            None => TrustLevel::Confirmed,
            Some(valid_until_s) if now_s < valid_until_s => TrustLevel::Held,
            Some(_) if self.trusts_recent_acceptance() => TrustLevel::Proved,
            Some(_) => TrustLevel::Expired,
        };
        (std::mem::replace(&mut self.reported_level, level) != level).then_some(level)
    }

    /// Until when the whole list is valid, in seconds, whether or not its upstreams have accepted requests;
    /// `None` while it is confirmed.
    fn list_valid_until_s(&self) -> Option<f64> {
        match self.state {
            ListState::Confirmed => None,
            ListState::UnknownAge { started_at_s, first_used_at_s } => {
                let delivery_assumed_at_s = started_at_s + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
                Some(first_used_at_s.map_or(delivery_assumed_at_s, |first_used_at_s| {
                    delivery_assumed_at_s.min(first_used_at_s + ACCEPTANCE_VALID_S)
                }))
            }
            ListState::Unconfirmed { valid_until_s, .. } => Some(valid_until_s),
        }
    }

    /// Whether upstreams that have recently accepted a request may be used after the list has ceased to be
    /// valid.
    fn trusts_recent_acceptance(&self) -> bool {
        match self.state {
            ListState::Confirmed | ListState::UnknownAge { .. } => true,
            ListState::Unconfirmed { trusts_recent_acceptance, .. } => trusts_recent_acceptance,
        }
    }
}
