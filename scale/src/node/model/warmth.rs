//! The warm-up of a node: its speed rises evenly from the cold share to the whole.

use std::time::Duration;

/// Longest time that the model tells apart, in seconds.
const LONGEST_S: f64 = 1e9;

/// How warm a node is, by when it started.
#[derive(Debug)]
pub(super) struct Warmth {
    cold_share: f64,
    cold_s: f64,
    /// The latest start; `None` for long ago.
    started: Option<Duration>,
}

impl Warmth {
    /// A warm node that begins at `cold_share` of its speed after a start and is warm `cold_s` later.
    pub(super) fn new(cold_share: f64, cold_s: f64) -> Self {
        Self { cold_share: cold_share.clamp(0.0, 1.0), cold_s, started: None }
    }

    /// The node starts at this time.
    pub(super) fn start(&mut self, now: Duration) {
        self.started = Some(now);
    }

    /// Whether the node works at full speed.
    pub(super) fn is_warm(&self, now: Duration) -> bool {
        self.age_s(now) >= self.cold_s
    }

    /// The part of its full speed at which the node works.
    pub(super) fn speed(&self, now: Duration) -> f64 {
        if self.is_warm(now) {
            return 1.0;
        }
        self.cold_share + self.gain_per_s() * self.age_s(now)
    }

    /// When work of so many seconds at full speed is done that begins at `start`.
    pub(super) fn end_of_work(&self, start: Duration, work_s: f64) -> Duration {
        let took_s = if self.is_warm(start) { work_s } else { self.took_cold_s(start, work_s) };
        start + duration(took_s)
    }

    /// Seconds that work takes that begins on a cold node: the work is the area under the speed.
    fn took_cold_s(&self, start: Duration, work_s: f64) -> f64 {
        if work_s <= 0.0 {
            return 0.0;
        }
        let speed = self.speed(start);
        let cold_left_s = self.cold_s - self.age_s(start);
        let done_cold_s = cold_left_s * (speed + 1.0) / 2.0;
        if work_s >= done_cold_s {
            return cold_left_s + work_s - done_cold_s;
        }
        2.0 * work_s / (speed + (speed * speed + 2.0 * self.gain_per_s() * work_s).sqrt())
    }

    fn gain_per_s(&self) -> f64 {
        (1.0 - self.cold_share) / self.cold_s
    }

    fn age_s(&self, now: Duration) -> f64 {
        self.started.map_or(f64::INFINITY, |started| now.saturating_sub(started).as_secs_f64())
    }
}

/// A time of so many seconds, at most the longest that the model tells apart; none where they are negative.
pub(super) fn duration(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.min(LONGEST_S)).unwrap_or_default()
}
