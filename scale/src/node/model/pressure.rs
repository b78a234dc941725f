//! What a cold node is sent within a window, beside what it bears.

use std::collections::VecDeque;
use std::time::Duration;

use super::warmth;
use crate::scenario;

/// Requests that come within the window on a cold node. Never more than it bears: one more and the node falls.
#[derive(Debug)]
pub(super) struct Pressure {
    window: Duration,
    /// Requests that a warm node bears within the window, without the slack for chance.
    borne_warm: f64,
    arrived: VecDeque<Duration>,
}

impl Pressure {
    /// Of a node that does `warm_per_s` requests of mean work a second when warm.
    pub(super) fn new(settings: &scenario::Node, warm_per_s: f64) -> Self {
        Self {
            window: warmth::duration(settings.fall_s),
            borne_warm: settings.fall_multiple * settings.fall_s * warm_per_s,
            arrived: VecDeque::new(),
        }
    }

    /// Counts a request at a node of this speed and says whether it pushes the node over.
    pub(super) fn add(&mut self, now: Duration, speed: f64) -> bool {
        let past = self.arrived.partition_point(|at| *at + self.window <= now);
        self.arrived.drain(..past);
        self.arrived.push_back(now);
        let over = self.arrived.len() as f64 > with_slack(self.borne_warm * speed);
        if over {
            self.clear();
        }
        over
    }

    /// Forgets what came; the memory is given back.
    pub(super) fn clear(&mut self) {
        if self.arrived.capacity() > 0 {
            self.arrived = VecDeque::new();
        }
    }
}

/// What a node bears for which `expected` requests are allowed: chance may add twice their root and two.
fn with_slack(expected: f64) -> f64 {
    expected + 2.0 * expected.sqrt() + 2.0
}
