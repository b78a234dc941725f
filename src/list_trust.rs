//! How far the list in hand may be relied on while no subscription confirms it.
//!
//! A list is a lease, not a fact: what discovery has to tell counts as told some time after it could have been asked,
//! whether or not it arrived (STANDING.md, section 'The whole fleet'). A copy that has no word from discovery can't
//! know what it has missed, so its list holds only until a change could count as told. Past that an upstream is used
//! only while it proves itself: it has accepted a request sent a moment ago, which one that drains ceases to do.

use std::time::Duration;

use crate::interface::{DiscoveryMode, Rules};
use crate::report::TrustLevel;

/// Seconds after which a change that discovery has counts as told, whatever call failed (STANDING.md).
const DELIVERY_ASSUMED_S: f64 = 6.0;
/// The same after a subscription that ended in place of telling it, unless a call has failed since: two seconds past
/// the end of a wait (STANDING.md).
const DELIVERY_ASSUMED_AFTER_END_S: f64 = 2.0;
/// The same after discovery has moved (TERMS, 'Reloading').
const DELIVERY_ASSUMED_AFTER_MOVE_S: f64 = 4.0;
/// Seconds for which an accepted request proves its upstream. Upstreams that drain were seen to turn requests away
/// 1.3 to 2.4 s after discovery had them (journal, 34b5f5c4); so much less than [`TOLD_S`] remains.
const ACCEPTANCE_VALID_S: f64 = 2.0;
/// Seconds for which the process may be held up between reading its clock and writing (STANDING.md); they come out of
/// the grace for drains.
const MAX_PROCESS_PAUSE_S: f64 = 0.15;

/// What confirms the list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum ListState {
    /// A subscription stands.
    Confirmed,
    /// None has yet, and the list is of unknown age. It holds for a moment from the first request on, in which each
    /// upstream can prove itself, and no longer than a change made at the start could remain untold.
    UnknownAge {
        /// When the copy started.
        started: f64,
        /// When it first sent a request.
        first_used: Option<f64>,
    },
    /// None does any more, and changes may be missed.
    Unconfirmed {
        /// Until when the list holds.
        valid_until: f64,
        /// The same from when a call to discovery has failed.
        valid_until_if_call_failed: f64,
        /// Whether upstreams that prove themselves may be used past it. One that drains goes on accepting for a
        /// while, so that an answer proves nothing within that of an end that stands for a change.
        acceptance_counts: bool,
    },
}

/// How far the list may be relied on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListTrust {
    state: ListState,
    /// What the grace for drains leaves beyond the time for which the process may be held up.
    usable_drain_grace_s: f64,
    level: TrustLevel,
}

impl ListTrust {
    /// Before the first word from discovery: a list of unknown age or, where lists come by themselves, one that holds.
    pub(crate) fn new(now: f64, mode: DiscoveryMode, rules: &Rules) -> Self {
        let (state, level) = match mode {
            DiscoveryMode::Push => (ListState::Confirmed, TrustLevel::Confirmed),
            DiscoveryMode::Subscribe => {
                (ListState::UnknownAge { started: now, first_used: None }, TrustLevel::Held)
            }
        };
        Self { state, usable_drain_grace_s: 0.0, level }.with_rules(rules)
    }

    /// The same under other rules.
    pub(crate) fn with_rules(self, rules: &Rules) -> Self {
        Self {
            usable_drain_grace_s: (rules.drain_grace.as_secs_f64() - MAX_PROCESS_PAUSE_S).max(0.0),
            ..self
        }
    }

    /// A request is sent by the list.
    pub(crate) fn record_use(&mut self, now: f64) {
        if let ListState::UnknownAge { first_used, .. } = &mut self.state {
            first_used.get_or_insert(now);
        }
    }

    /// The subscription has spoken.
    pub(crate) fn subscription_confirmed(&mut self) {
        self.state = ListState::Confirmed;
    }

    /// The subscription has ended, or a call to discovery has failed.
    pub(crate) fn subscription_lost(&mut self, now: f64, rules: &Rules) {
        self.state = match self.state {
            ListState::Confirmed => {
                let delivery_assumed_at = now + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
                // Only where copies ask does an end stand for a change.
                let must_poll = rules.max_poll_interval.is_some();
                let valid_until = if must_poll {
                    now + DELIVERY_ASSUMED_AFTER_END_S + self.usable_drain_grace_s
                } else {
                    delivery_assumed_at
                };
                ListState::Unconfirmed {
                    valid_until,
                    valid_until_if_call_failed: delivery_assumed_at,
                    acceptance_counts: !must_poll,
                }
            }
            ListState::UnknownAge { .. } => self.state,
            ListState::Unconfirmed { valid_until, valid_until_if_call_failed, .. } => {
                let valid_until = valid_until.max(valid_until_if_call_failed);
                ListState::Unconfirmed { valid_until, valid_until_if_call_failed, acceptance_counts: true }
            }
        };
    }

    /// The subscription has been silent for so long that it is given up.
    pub(crate) fn subscription_timed_out(&mut self, now: f64, silence: Duration, rules: &Rules) {
        if self.state != ListState::Confirmed {
            return self.subscription_lost(now, rules);
        }
        let valid_until = now - silence.as_secs_f64() + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
        self.state = ListState::Unconfirmed {
            valid_until,
            valid_until_if_call_failed: valid_until,
            acceptance_counts: true,
        };
    }

    /// Nobody listens where discovery is: while it is down, nothing that it has counts as told.
    pub(crate) fn discovery_unreachable(&mut self, now: f64) {
        let valid_until = now + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
        self.state = ListState::Unconfirmed {
            valid_until,
            valid_until_if_call_failed: valid_until,
            acceptance_counts: true,
        };
    }

    /// Discovery is elsewhere from now on.
    pub(crate) fn discovery_moved(&mut self, now: f64) {
        let delivery_assumed_at = now + DELIVERY_ASSUMED_AFTER_MOVE_S + self.usable_drain_grace_s;
        self.state = match self.state {
            ListState::Confirmed => ListState::Unconfirmed {
                valid_until: delivery_assumed_at,
                valid_until_if_call_failed: delivery_assumed_at,
                acceptance_counts: true,
            },
            ListState::UnknownAge { .. } => self.state,
            ListState::Unconfirmed { valid_until, valid_until_if_call_failed, acceptance_counts } => {
                ListState::Unconfirmed {
                    valid_until: valid_until.min(delivery_assumed_at),
                    valid_until_if_call_failed: valid_until_if_call_failed.min(delivery_assumed_at),
                    acceptance_counts,
                }
            }
        };
    }

    /// Until when an upstream of the list may be sent to that last accepted a request sent at `proved`; `None` where
    /// no end is known.
    pub(crate) fn sends_allowed_until(&self, last_accepted_send: Option<f64>) -> Option<f64> {
        let valid_until = self.list_valid_until()?;
        let accepted_until = last_accepted_send
            .filter(|_| self.acceptance_counts())
            .map(|last_accepted_send| last_accepted_send + ACCEPTANCE_VALID_S);
        Some(accepted_until.map_or(valid_until, |accepted_until| accepted_until.max(valid_until)))
    }

    /// Whether an upstream of the list may be sent to that last accepted a request sent at `proved`.
    pub(crate) fn allows_send(&self, now: f64, last_accepted_send: Option<f64>) -> bool {
        self.sends_allowed_until(last_accepted_send).is_none_or(|valid_until| now < valid_until)
    }

    /// The level of trust, if it is another than when this was last asked.
    pub(crate) fn level_changed(&mut self, now: f64) -> Option<TrustLevel> {
        let level = match self.list_valid_until() {
            None => TrustLevel::Confirmed,
            Some(valid_until) if now < valid_until => TrustLevel::Held,
            Some(_) if self.acceptance_counts() => TrustLevel::Proved,
            Some(_) => TrustLevel::Expired,
        };
        (std::mem::replace(&mut self.level, level) != level).then_some(level)
    }

    /// Until when the list holds whatever its upstreams prove; `None` while it is confirmed.
    fn list_valid_until(&self) -> Option<f64> {
        match self.state {
            ListState::Confirmed => None,
            ListState::UnknownAge { started, first_used } => {
                let delivery_assumed_at = started + DELIVERY_ASSUMED_S + self.usable_drain_grace_s;
                Some(first_used.map_or(delivery_assumed_at, |first_used| {
                    delivery_assumed_at.min(first_used + ACCEPTANCE_VALID_S)
                }))
            }
            ListState::Unconfirmed { valid_until, .. } => Some(valid_until),
        }
    }

    fn acceptance_counts(&self) -> bool {
        match self.state {
            ListState::Confirmed | ListState::UnknownAge { .. } => true,
            ListState::Unconfirmed { acceptance_counts, .. } => acceptance_counts,
        }
    }
}
