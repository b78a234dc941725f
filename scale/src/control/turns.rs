//! The calls of a replica: answered in turn, turned away beyond its queue.

use std::time::Duration;

use tokio::time::Instant;

/// Calls answered one after another at an even pace.
#[derive(Debug)]
pub(super) struct Turns {
    per_call: Duration,
    queue: u32,
    /// When the calls taken so far are answered.
    free_at: Option<Instant>,
}

impl Turns {
    /// So many calls a second, and so many that wait beside the one being answered. With no pace, calls are
    /// answered at once.
    pub(super) fn new(calls_per_s: f64, queue: u32) -> Self {
        let per_call = Duration::try_from_secs_f64(calls_per_s.recip()).unwrap_or_default();
        Self { per_call, queue, free_at: None }
    }

    /// When a call that comes now is answered; `None` if too many are waiting.
    pub(super) fn take(&mut self, now: Instant) -> Option<Instant> {
        let begins = self.free_at.map_or(now, |free_at| free_at.max(now));
        // The call being answered does not wait, those after it do.
        let ahead = (begins - now).as_secs_f64() / self.per_call.as_secs_f64().max(f64::MIN_POSITIVE);
        if ahead.ceil() > f64::from(self.queue) {
            return None;
        }
        let answered = begins.checked_add(self.per_call)?;
        self.free_at = Some(answered);
        Some(answered)
    }

    /// Forgets the calls taken.
    pub(super) fn clear(&mut self) {
        self.free_at = None;
    }
}
