//! The warm-up of a node: its speed rises linearly from the cold share to full speed.

use std::time::Duration;

/// Longest duration in the node model, in seconds; longer ones are cut to it.
const MAX_DURATION_S: f64 = 1e9;

/// The warm-up state of a node, from the time of its last restart.
#[derive(Debug)]
pub(super) struct WarmUp {
    cold_share: f64,
    cold_s: f64,
    /// The last restart; `None` if the node has been warm from the start.
    restarted_at: Option<Duration>,
}

impl WarmUp {
    /// A warm node that restarts at `cold_share` of its speed and is warm again after `cold_s` seconds.
    pub(super) fn new(cold_share: f64, cold_s: f64) -> Self {
        Self { cold_share: cold_share.clamp(0.0, 1.0), cold_s, restarted_at: None }
    }

    /// Restarts the node at this time, so that it is cold.
    pub(super) fn restart(&mut self, now: Duration) {
        self.restarted_at = Some(now);
    }

    /// Whether the node works at full speed.
    pub(super) fn is_warm(&self, now: Duration) -> bool {
        self.time_since_restart_s(now) >= self.cold_s
    }

    /// The current speed as a share of full speed.
    pub(super) fn speed(&self, now: Duration) -> f64 {
        if self.is_warm(now) {
            return 1.0;
        }
        self.cold_share + self.speed_gain_per_s() * self.time_since_restart_s(now)
    }

    /// When work that starts at `start` and takes `work_s` seconds at full speed is done.
    pub(super) fn end_of_work(&self, start: Duration, work_s: f64) -> Duration {
        let duration_s = if self.is_warm(start) { work_s } else { self.cold_duration_s(start, work_s) };
        start + duration_from_seconds(duration_s)
    }

    /// Duration in seconds of work that starts on a cold node: the work is the integral of the speed.
    fn cold_duration_s(&self, start: Duration, work_s: f64) -> f64 {
        if work_s <= 0.0 {
            return 0.0;
        }
        let speed = self.speed(start);
        let remaining_warm_up_s = self.cold_s - self.time_since_restart_s(start);
        let warm_up_work_s = remaining_warm_up_s * (speed + 1.0) / 2.0;
        if work_s >= warm_up_work_s {
            return remaining_warm_up_s + work_s - warm_up_work_s;
        }
        2.0 * work_s / (speed + (speed * speed + 2.0 * self.speed_gain_per_s() * work_s).sqrt())
    }

    fn speed_gain_per_s(&self) -> f64 {
        (1.0 - self.cold_share) / self.cold_s
    }

    fn time_since_restart_s(&self, now: Duration) -> f64 {
        self.restarted_at.map_or(f64::INFINITY, |restarted_at| now.saturating_sub(restarted_at).as_secs_f64())
    }
}

/// Converts seconds to a duration, at most the longest of the model; negative values become zero.
pub(super) fn duration_from_seconds(seconds: f64) -> Duration {
    Duration::try_from_secs_f64(seconds.min(MAX_DURATION_S)).unwrap_or_default()
}
