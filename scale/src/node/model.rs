//! The model of a node without sockets or clock: cores, a queue, warm-up after a restart and the fall of a cold node.
//!
//! Time is passed in, counted from the start of the run; a time before one already seen counts as that one. The
//! end of a request's work is decided when it arrives. Work runs to its end whether or not its caller has given
//! up, so nothing needs to be taken back: what has ended drops out as time passes.

mod pressure;
#[cfg(test)]
mod tests;
mod warmth;

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scenario;
use pressure::Pressure;
use warmth::Warmth;

/// Time over which utilization is averaged, in seconds.
const UTILIZATION_OVER_S: f64 = 1.0;
/// Part of a new request's work in the mean latency.
const LATENCY_PART: f64 = 0.1;

/// How a request that runs ends, where it goes no further. A node that calls the next service ignores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Answered with 200.
    Served,
    /// Answered with 500.
    Error,
    /// The connection is reset under it.
    Reset,
}

/// What becomes of a request that has arrived whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It runs, or waits and then runs.
    Runs {
        /// When its work is done, waiting included, counted from the start of the run.
        until: Duration,
        /// How it ends.
        fate: Fate,
    },
    /// The queue is full; it never runs.
    TurnedAway,
    /// The node has fallen, by this request or before, and stays down until it is restarted.
    Fallen,
}

/// The figures of a load report.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests that cores work on.
    pub active: u32,
    /// Requests that wait for a core.
    pub waiting: u32,
    /// Share of the cores in use, averaged over about the last second.
    pub utilization: f64,
    /// Mean time of the work of the latest requests, waiting not counted.
    pub latency: Duration,
}

/// A node of the model.
#[derive(Debug)]
pub struct NodeModel {
    work_s: f64,
    work_fixed: bool,
    connect_s: f64,
    error_share: f64,
    reset_share: f64,
    queue: usize,
    random: ChaCha8Rng,
    warmth: Warmth,
    pressure: Pressure,
    /// When each core has done all that was given to it.
    free_at: Vec<Duration>,
    /// When each request begins that had to wait, in order; at most as many as the queue holds.
    starts: VecDeque<Duration>,
    /// The latest time that was seen.
    seen: Duration,
    utilization: f64,
    latency_s: f64,
    fallen: bool,
}

impl NodeModel {
    /// A warm node with nothing to do. All its chance comes from `seed`.
    #[must_use]
    pub fn new(settings: &scenario::Node, seed: u64) -> Self {
        let cores = settings.cores.max(1);
        let work_s = settings.work_ms / 1000.0;
        Self {
            work_s,
            work_fixed: settings.work_fixed,
            connect_s: settings.connect_ms / 1000.0,
            error_share: settings.error_share,
            reset_share: settings.reset_share,
            queue: settings.queue as usize,
            random: ChaCha8Rng::seed_from_u64(seed),
            warmth: Warmth::new(settings.cold_share, settings.cold_s),
            pressure: Pressure::new(settings, f64::from(cores) / work_s),
            free_at: vec![Duration::ZERO; cores as usize],
            starts: VecDeque::new(),
            seen: Duration::ZERO,
            utilization: 0.0,
            latency_s: work_s,
            fallen: false,
        }
    }

    /// The node starts anew: what it had is gone, and it is cold from now on.
    pub fn restart(&mut self, now: Duration) {
        self.pass(now);
        self.warmth.start(self.seen);
        self.pressure.clear();
        self.free_at.fill(self.seen);
        self.starts.clear();
        self.utilization = 0.0;
        self.latency_s = self.work_s;
        self.fallen = false;
    }

    /// A request has arrived whole.
    pub fn arrive(&mut self, now: Duration) -> Admission {
        self.pass(now);
        self.press();
        if self.fallen {
            return Admission::Fallen;
        }
        let (core, start) = self.next_free();
        if start > self.seen {
            if self.starts.len() >= self.queue {
                return Admission::TurnedAway;
            }
            self.starts.push_back(start);
        }
        let work_s = self.draw_work();
        let until = self.warmth.end_of_work(start, work_s);
        self.free_at[core] = until;
        self.latency_s += ((until - start).as_secs_f64() - self.latency_s) * LATENCY_PART;
        Admission::Runs { until, fate: self.draw_fate() }
    }

    /// A connection was opened: a core is busy with it before it turns to what comes later.
    pub fn connect(&mut self, now: Duration) {
        self.pass(now);
        let (core, start) = self.next_free();
        self.free_at[core] = self.warmth.end_of_work(start, self.connect_s);
    }

    /// The figures of a load report at this time.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        let now = now.max(self.seen);
        let active = self.free_at.iter().filter(|free_at| **free_at > now).count();
        let begun = self.starts.partition_point(|start| *start <= now);
        Load {
            active: u32::try_from(active).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.starts.len() - begun).unwrap_or(u32::MAX),
            utilization: self.utilization_at(now),
            latency: warmth::duration(self.latency_s),
        }
    }

    /// Whether the node was pushed over while cold and has not been restarted since.
    #[must_use]
    pub fn fallen(&self) -> bool {
        self.fallen
    }

    /// Lets time pass up to `now`.
    fn pass(&mut self, now: Duration) {
        let now = now.max(self.seen);
        self.utilization = self.utilization_at(now);
        let begun = self.starts.partition_point(|start| *start <= now);
        self.starts.drain(..begun);
        self.seen = now;
    }

    /// Counts a request against what a cold node bears.
    fn press(&mut self) {
        if self.warmth.is_warm(self.seen) {
            self.pressure.clear();
        } else if self.pressure.add(self.seen, self.warmth.speed(self.seen)) {
            self.fallen = true;
        }
    }

    /// The core that is free first, and when it takes up work that comes now.
    fn next_free(&self) -> (usize, Duration) {
        let first = self.free_at.iter().copied().enumerate().min_by_key(|(_, free_at)| *free_at);
        let (core, free_at) = first.unwrap_or_default();
        (core, free_at.max(self.seen))
    }

    /// The work of a request, in seconds at full speed.
    fn draw_work(&mut self) -> f64 {
        if self.work_fixed {
            return self.work_s;
        }
        let chance: f64 = self.random.random();
        -(1.0 - chance).ln() * self.work_s
    }

    fn draw_fate(&mut self) -> Fate {
        let chance: f64 = self.random.random();
        if chance < self.error_share {
            Fate::Error
        } else if chance < self.error_share + self.reset_share {
            Fate::Reset
        } else {
            Fate::Served
        }
    }

    /// No core gets work between the latest time seen and `now`, so each is busy from then until it is free.
    fn utilization_at(&self, now: Duration) -> f64 {
        let passed_s = now.saturating_sub(self.seen).as_secs_f64();
        if passed_s <= 0.0 {
            return self.utilization;
        }
        let busy = |free_at: &Duration| (*free_at).min(now).saturating_sub(self.seen).as_secs_f64();
        let busy_s: f64 = self.free_at.iter().map(busy).sum();
        let share = busy_s / (passed_s * self.free_at.len() as f64);
        let kept = (-passed_s / UTILIZATION_OVER_S).exp();
        share + (self.utilization - share) * kept
    }
}
