//! The model of a node without sockets or clock: cores, a queue, warm-up after a restart, and the collapse of
//! a cold node that gets too many requests.
//!
//! The caller passes the time, counted from the start of the run; a time earlier than the latest one counts
//! as the latest. The end of a request's work is computed on arrival. Work is never cancelled, even if its
//! caller has given up, so finished work simply expires as time advances.

mod cold_overload;
#[cfg(test)]
mod tests;
mod warm_up;

use std::collections::VecDeque;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::scenario;
use cold_overload::ColdOverload;
use warm_up::WarmUp;

/// Time constant of the utilization average, in seconds.
const UTILIZATION_WINDOW_S: f64 = 1.0;
/// Weight of a new request's work in the moving average of the latency.
const LATENCY_WEIGHT: f64 = 0.1;

/// How the work of a request ends at its last hop. A node that calls the next service ignores it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WorkOutcome {
    /// The request is answered with 200.
    Served,
    /// The request is answered with 500.
    Error,
    /// The connection is reset before a response.
    Reset,
}

/// Whether a node takes a request that has been fully received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request runs, at once or after waiting in the queue.
    Runs {
        /// When its work is done, including the wait, counted from the start of the run.
        ends_at: Duration,
        /// How the work ends.
        outcome: WorkOutcome,
    },
    /// The queue is full; the request never runs.
    QueueFull,
    /// The node has collapsed, on this request or earlier, and stays down until it is restarted.
    Down,
}

/// The figures of a load report, which a node sends with its responses.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Load {
    /// Requests in work on a core.
    pub active: u32,
    /// Requests waiting for a core.
    pub waiting: u32,
    /// Share of the cores in use, averaged over about the last second.
    pub utilization: f64,
    /// Moving average of the work time of recent requests, without queueing.
    pub latency: Duration,
}

/// The model of one upstream node.
#[derive(Debug)]
pub struct NodeModel {
    /// Mean work of a request, in seconds of one core at full speed.
    work_s: f64,
    /// Whether each request has exactly the mean work; otherwise its work is drawn at random.
    work_fixed: bool,
    /// Work of setting up a connection, in seconds of one core.
    connect_s: f64,
    error_share: f64,
    reset_share: f64,
    queue_limit: usize,
    random: ChaCha8Rng,
    warm_up: WarmUp,
    cold_overload: ColdOverload,
    /// When each core has finished all work assigned to it.
    free_at: Vec<Duration>,
    /// When the work of each queued request starts, in order; at most as many as the queue holds.
    waiting_starts: VecDeque<Duration>,
    /// The latest time passed in by a caller; time never runs backwards.
    latest_time: Duration,
    utilization: f64,
    latency_s: f64,
    /// Whether the node collapsed while cold and has not been restarted since.
    has_collapsed: bool,
}

impl NodeModel {
    /// Creates a warm, idle node. `seed` determines all its random draws.
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
            queue_limit: settings.queue as usize,
            random: ChaCha8Rng::seed_from_u64(seed),
            warm_up: WarmUp::new(settings.cold_share, settings.cold_s),
            cold_overload: ColdOverload::new(settings, f64::from(cores) / work_s),
            free_at: vec![Duration::ZERO; cores as usize],
            waiting_starts: VecDeque::new(),
            latest_time: Duration::ZERO,
            utilization: 0.0,
            latency_s: work_s,
            has_collapsed: false,
        }
    }

    /// Restarts the node: all its work is lost and it is cold from now on.
    pub fn restart(&mut self, now: Duration) {
        self.advance(now);
        self.warm_up.restart(self.latest_time);
        self.cold_overload.clear();
        self.free_at.fill(self.latest_time);
        self.waiting_starts.clear();
        self.utilization = 0.0;
        self.latency_s = self.work_s;
        self.has_collapsed = false;
    }

    /// Admits a request that has been fully received.
    pub fn admit_request(&mut self, now: Duration) -> Admission {
        self.advance(now);
        self.count_cold_request();
        if self.has_collapsed {
            return Admission::Down;
        }
        let (core, start) = self.first_free_core();
        if start > self.latest_time {
            if self.waiting_starts.len() >= self.queue_limit {
                return Admission::QueueFull;
            }
            self.waiting_starts.push_back(start);
        }
        let work_s = self.draw_work();
        let ends_at = self.warm_up.end_of_work(start, work_s);
        self.free_at[core] = ends_at;
        self.latency_s += ((ends_at - start).as_secs_f64() - self.latency_s) * LATENCY_WEIGHT;
        Admission::Runs { ends_at, outcome: self.draw_outcome() }
    }

    /// Adds a new connection: setting it up keeps a core busy before later work.
    pub fn add_connection(&mut self, now: Duration) {
        self.advance(now);
        let (core, start) = self.first_free_core();
        self.free_at[core] = self.warm_up.end_of_work(start, self.connect_s);
    }

    /// Returns the load figures at this time.
    #[must_use]
    pub fn load(&self, now: Duration) -> Load {
        let now = now.max(self.latest_time);
        let active = self.free_at.iter().filter(|free_at| **free_at > now).count();
        let started_count = self.waiting_starts.partition_point(|start| *start <= now);
        Load {
            active: u32::try_from(active).unwrap_or(u32::MAX),
            waiting: u32::try_from(self.waiting_starts.len() - started_count).unwrap_or(u32::MAX),
            utilization: self.utilization_at(now),
            latency: warm_up::duration_from_seconds(self.latency_s),
        }
    }

    /// Whether the node collapsed while cold and has not been restarted since.
    #[must_use]
    pub fn is_down(&self) -> bool {
        self.has_collapsed
    }

    /// Advances the time to `now`.
    fn advance(&mut self, now: Duration) {
        let now = now.max(self.latest_time);
        self.utilization = self.utilization_at(now);
        let started_count = self.waiting_starts.partition_point(|start| *start <= now);
        self.waiting_starts.drain(..started_count);
        self.latest_time = now;
    }

    /// Counts a request toward the limit of a cold node and takes the node down if it is exceeded.
    fn count_cold_request(&mut self) {
        if self.warm_up.is_warm(self.latest_time) {
            self.cold_overload.clear();
        } else if self.cold_overload.add(self.latest_time, self.warm_up.speed(self.latest_time)) {
            self.has_collapsed = true;
        }
    }

    /// The core that is free first, and when it can start new work.
    fn first_free_core(&self) -> (usize, Duration) {
        let earliest = self.free_at.iter().copied().enumerate().min_by_key(|(_, free_at)| *free_at);
        let (core, free_at) = earliest.unwrap_or_default();
        (core, free_at.max(self.latest_time))
    }

    /// Draws the work of a request, in seconds at full speed.
    fn draw_work(&mut self) -> f64 {
        if self.work_fixed {
            return self.work_s;
        }
        let uniform_draw: f64 = self.random.random();
        -(1.0 - uniform_draw).ln() * self.work_s
    }

    fn draw_outcome(&mut self) -> WorkOutcome {
        let uniform_draw: f64 = self.random.random();
        if uniform_draw < self.error_share {
            WorkOutcome::Error
        } else if uniform_draw < self.error_share + self.reset_share {
            WorkOutcome::Reset
        } else {
            WorkOutcome::Served
        }
    }

    /// The average utilization at `now`. No core is assigned work between the latest time and `now`, so each
    /// is busy from the latest time until it is free.
    fn utilization_at(&self, now: Duration) -> f64 {
        let elapsed_s = now.saturating_sub(self.latest_time).as_secs_f64();
        if elapsed_s <= 0.0 {
            return self.utilization;
        }
        let busy_core_s =
            |free_at: &Duration| (*free_at).min(now).saturating_sub(self.latest_time).as_secs_f64();
        let busy_s: f64 = self.free_at.iter().map(busy_core_s).sum();
        let busy_share = busy_s / (elapsed_s * self.free_at.len() as f64);
        let decay = (-elapsed_s / UTILIZATION_WINDOW_S).exp();
        busy_share + (self.utilization - busy_share) * decay
    }
}
