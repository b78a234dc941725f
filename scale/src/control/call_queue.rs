//! Rate limit of a control replica: calls are answered one after another, and rejected once too many are
//! waiting.

use std::time::Duration;

use tokio::time::Instant;

/// A queue of calls that are answered one after another at a fixed rate.
#[derive(Debug)]
pub(super) struct CallQueue {
    time_per_call: Duration,
    max_waiting: u32,
    /// When the last accepted call will be answered.
    free_at: Option<Instant>,
}

impl CallQueue {
    /// A queue for `calls_per_s` calls per second, in which `max_waiting` calls may wait besides the one
    /// being answered. With an unlimited rate, calls are answered at once.
    pub(super) fn new(calls_per_s: f64, max_waiting: u32) -> Self {
        let time_per_call = Duration::try_from_secs_f64(calls_per_s.recip()).unwrap_or_default();
        Self { time_per_call, max_waiting, free_at: None }
    }

    /// Returns when a call that arrives now is to be answered; `None` if too many calls are waiting.
    pub(super) fn schedule(&mut self, now: Instant) -> Option<Instant> {
        let starts_at = self.free_at.map_or(now, |free_at| free_at.max(now));
        // The call being answered does not count as waiting; those behind it do.
        let calls_ahead =
            (starts_at - now).as_secs_f64() / self.time_per_call.as_secs_f64().max(f64::MIN_POSITIVE);
        if calls_ahead.ceil() > f64::from(self.max_waiting) {
            return None;
        }
        let answer_at = starts_at.checked_add(self.time_per_call)?;
        self.free_at = Some(answer_at);
        Some(answer_at)
    }

    /// Forgets all accepted calls, as a replica does when it restarts.
    pub(super) fn clear(&mut self) {
        self.free_at = None;
    }
}
