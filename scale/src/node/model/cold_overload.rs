//! Detects the overload of a cold node: more requests within a window than it can take.

use std::collections::VecDeque;
use std::time::Duration;

use super::warm_up;
use crate::scenario;

/// Requests that a cold node received within the window. One request above its limit makes the node collapse.
#[derive(Debug)]
pub(super) struct ColdOverload {
    window: Duration,
    /// Requests that a warm node can take within the window, without the slack for random arrivals.
    max_warm_requests: f64,
    arrived: VecDeque<Duration>,
}

impl ColdOverload {
    /// Creates the detector for a node that completes `warm_per_s` requests of mean work per second when
    /// warm.
    pub(super) fn new(settings: &scenario::Node, warm_per_s: f64) -> Self {
        Self {
            window: warm_up::duration_from_seconds(settings.fall_s),
            max_warm_requests: settings.fall_multiple * settings.fall_s * warm_per_s,
            arrived: VecDeque::new(),
        }
    }

    /// Counts a request at the node's current speed; returns whether it makes the node collapse.
    pub(super) fn add(&mut self, now: Duration, speed: f64) -> bool {
        let expired_count = self.arrived.partition_point(|at| *at + self.window <= now);
        self.arrived.drain(..expired_count);
        self.arrived.push_back(now);
        let overloaded = self.arrived.len() as f64 > with_random_slack(self.max_warm_requests * speed);
        if overloaded {
            self.clear();
        }
        overloaded
    }

    /// Forgets all recorded request arrivals and frees their memory.
    pub(super) fn clear(&mut self) {
        if self.arrived.capacity() > 0 {
            self.arrived = VecDeque::new();
        }
    }
}

/// The limit for an expected number of requests: random arrivals may exceed it by twice its square root plus
/// two.
fn with_random_slack(expected: f64) -> f64 {
    expected + 2.0 * expected.sqrt() + 2.0
}
