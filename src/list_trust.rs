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
const TOLD_S: f64 = 6.0;
/// The same after a subscription that ended in place of telling it, unless a call has failed since: two seconds past
/// the end of a wait (STANDING.md).
const TOLD_AFTER_END_S: f64 = 2.0;
/// The same after discovery has moved (TERMS, 'Reloading').
const TOLD_AFTER_MOVE_S: f64 = 4.0;
/// Seconds for which an accepted request proves its upstream. Upstreams that drain were seen to turn requests away
/// 1.3 to 2.4 s after discovery had them (journal, 34b5f5c4); so much less than [`TOLD_S`] remains.
const PROOF_S: f64 = 2.0;
/// Seconds for which the process may be held up between reading its clock and writing (STANDING.md); they come out of
/// the grace for drains.
const HELD_UP_S: f64 = 0.15;

/// What confirms the list.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    /// A subscription stands.
    Confirmed,
    /// None has yet, and the list is of unknown age. It holds for a moment from the first request on, in which each
    /// upstream can prove itself, and no longer than a change made at the start could remain untold.
    UnknownAge {
        /// When the copy started.
        started: f64,
        /// When it first sent a request.
        used: Option<f64>,
    },
    /// None does any more, and changes may be missed.
    Unconfirmed {
        /// Until when the list holds.
        until: f64,
        /// The same from when a call to discovery has failed.
        until_if_failed: f64,
        /// Whether upstreams that prove themselves may be used past it. One that drains goes on accepting for a
        /// while, so that an answer proves nothing within that of an end that stands for a change.
        proofs_count: bool,
    },
}

/// How far the list may be relied on.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ListTrust {
    state: State,
    /// What the grace for drains leaves beyond the time for which the process may be held up.
    grace_s: f64,
    level: TrustLevel,
}

impl ListTrust {
    /// Before the first word from discovery: a list of unknown age or, where lists come by themselves, one that holds.
    pub(crate) fn start(now: f64, mode: DiscoveryMode, rules: &Rules) -> Self {
        let (state, level) = match mode {
            DiscoveryMode::Push => (State::Confirmed, TrustLevel::Confirmed),
            DiscoveryMode::Subscribe => (State::UnknownAge { started: now, used: None }, TrustLevel::Held),
        };
        Self { state, grace_s: 0.0, level }.with_rules(rules)
    }

    /// The same under other rules.
    pub(crate) fn with_rules(self, rules: &Rules) -> Self {
        Self { grace_s: (rules.drain_grace.as_secs_f64() - HELD_UP_S).max(0.0), ..self }
    }

    /// A request is sent by the list.
    pub(crate) fn note_use(&mut self, now: f64) {
        if let State::UnknownAge { used, .. } = &mut self.state {
            used.get_or_insert(now);
        }
    }

    /// The subscription has spoken.
    pub(crate) fn confirm(&mut self) {
        self.state = State::Confirmed;
    }

    /// The subscription has ended, or a call to discovery has failed.
    pub(crate) fn lose(&mut self, now: f64, rules: &Rules) {
        self.state = match self.state {
            State::Confirmed => {
                let told = now + TOLD_S + self.grace_s;
                // Only where copies ask does an end stand for a change.
                let asks = rules.max_poll_interval.is_some();
                let until = if asks { now + TOLD_AFTER_END_S + self.grace_s } else { told };
                State::Unconfirmed { until, until_if_failed: told, proofs_count: !asks }
            }
            State::UnknownAge { .. } => self.state,
            State::Unconfirmed { until, until_if_failed, .. } => {
                let until = until.max(until_if_failed);
                State::Unconfirmed { until, until_if_failed, proofs_count: true }
            }
        };
    }

    /// The subscription has been silent for so long that it is given up.
    pub(crate) fn lose_silent(&mut self, now: f64, silence: Duration, rules: &Rules) {
        if self.state != State::Confirmed {
            return self.lose(now, rules);
        }
        let until = now - silence.as_secs_f64() + TOLD_S + self.grace_s;
        self.state = State::Unconfirmed { until, until_if_failed: until, proofs_count: true };
    }

    /// Nobody listens where discovery is: while it is down, nothing that it has counts as told.
    pub(crate) fn find_unreachable(&mut self, now: f64) {
        let until = now + TOLD_S + self.grace_s;
        self.state = State::Unconfirmed { until, until_if_failed: until, proofs_count: true };
    }

    /// Discovery is elsewhere from now on.
    pub(crate) fn move_away(&mut self, now: f64) {
        let told = now + TOLD_AFTER_MOVE_S + self.grace_s;
        self.state = match self.state {
            State::Confirmed => State::Unconfirmed { until: told, until_if_failed: told, proofs_count: true },
            State::UnknownAge { .. } => self.state,
            State::Unconfirmed { until, until_if_failed, proofs_count } => State::Unconfirmed {
                until: until.min(told),
                until_if_failed: until_if_failed.min(told),
                proofs_count,
            },
        };
    }

    /// Until when an upstream of the list may be sent to that last accepted a request sent at `proved`; `None` where
    /// no end is known.
    pub(crate) fn holds_until(&self, proved: Option<f64>) -> Option<f64> {
        let until = self.until()?;
        let proof = proved.filter(|_| self.proofs_count()).map(|proved| proved + PROOF_S);
        Some(proof.map_or(until, |proof| proof.max(until)))
    }

    /// Whether an upstream of the list may be sent to that last accepted a request sent at `proved`.
    pub(crate) fn holds(&self, now: f64, proved: Option<f64>) -> bool {
        self.holds_until(proved).is_none_or(|until| now < until)
    }

    /// The level of trust, if it is another than when this was last asked.
    pub(crate) fn level_changed(&mut self, now: f64) -> Option<TrustLevel> {
        let level = match self.until() {
            None => TrustLevel::Confirmed,
            Some(until) if now < until => TrustLevel::Held,
            Some(_) if self.proofs_count() => TrustLevel::Proved,
            Some(_) => TrustLevel::Expired,
        };
        (std::mem::replace(&mut self.level, level) != level).then_some(level)
    }

    /// Until when the list holds whatever its upstreams prove; `None` while it is confirmed.
    fn until(&self) -> Option<f64> {
        match self.state {
            State::Confirmed => None,
            State::UnknownAge { started, used } => {
                let told = started + TOLD_S + self.grace_s;
                Some(used.map_or(told, |used| told.min(used + PROOF_S)))
            }
            State::Unconfirmed { until, .. } => Some(until),
        }
    }

    fn proofs_count(&self) -> bool {
        match self.state {
            State::Confirmed | State::UnknownAge { .. } => true,
            State::Unconfirmed { proofs_count, .. } => proofs_count,
        }
    }
}
