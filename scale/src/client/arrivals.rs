//! Arrival times and properties of calls. They are drawn from the seed alone, so the outcome of a call does
//! not affect later arrivals.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::process::settings::{CLASS_ORDER, CLASS_READ, TENANT_COUNT};
use crate::scenario::{Depth, Load, Scenario};

/// Random number stream for calls through balancers.
const BALANCER_CALLS_RNG_STREAM: u64 = 1;
/// Random number stream for calls that go directly to nodes.
const DIRECT_CALLS_RNG_STREAM: u64 = 2;

/// The request class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Idempotent: safe to retry.
    Read,
    /// Not idempotent: must never run twice.
    Order,
}

impl Class {
    /// Name of the class in settings and request paths.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => CLASS_READ,
            Self::Order => CLASS_ORDER,
        }
    }
}

/// A scheduled call by a client.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When the call starts, counted from the start of the load.
    pub offset: Duration,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// Request class, which tells whether the call may be retried.
    pub class: Class,
    /// Number of the tenant that makes the call.
    pub tenant: u32,
    /// Index of the balancer or node that the call goes to.
    pub target: usize,
    /// How long after the arrival the client closes its connection, if it does not wait for the answer.
    pub disconnect_after: Option<Duration>,
    /// Request id of the first attempt; later attempts count up from it.
    pub first_request_id: u64,
}

/// The arrivals of one kind of calls in order of time: a Poisson process.
#[derive(Debug, Clone)]
pub struct Arrivals {
    rng: ChaCha8Rng,
    /// Duration of the load in seconds.
    duration_s: f64,
    /// Mean arrival rate.
    calls_per_s: f64,
    depths: Vec<Depth>,
    load: Load,
    /// Mean work time of a request at one hop, in seconds.
    mean_hop_work_s: f64,
    target_count: usize,
    next_target: usize,
    /// Seconds from the start of the load to the latest arrival.
    latest_s: f64,
}

impl Arrivals {
    /// Calls to `balancers` real balancers, in round-robin order.
    #[must_use]
    pub fn to_balancers(scenario: &Scenario, balancers: usize) -> Self {
        let load = scenario.load.clone();
        let (calls_per_s, depths) = (load.real_calls_per_s, load.depths.clone());
        Self::new(scenario, BALANCER_CALLS_RNG_STREAM, calls_per_s, depths, load, balancers)
    }

    /// Calls directly to `nodes` nodes, in round-robin order: one hop each, and no client disconnects early.
    #[must_use]
    pub fn directly_to_nodes(scenario: &Scenario, nodes: usize) -> Self {
        let load = Load { leaving_share: 0.0, ..scenario.load.clone() };
        let depths = vec![Depth { hops: 1, share: 1.0 }];
        Self::new(scenario, DIRECT_CALLS_RNG_STREAM, load.direct_calls_per_s, depths, load, nodes)
    }

    fn new(
        scenario: &Scenario,
        rng_stream: u64,
        calls_per_s: f64,
        depths: Vec<Depth>,
        load: Load,
        target_count: usize,
    ) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(scenario.seed);
        rng.set_stream(rng_stream);
        Self {
            rng,
            duration_s: scenario.duration_s,
            calls_per_s,
            depths,
            load,
            mean_hop_work_s: scenario.node.work_ms / 1000.0,
            target_count,
            next_target: 0,
            latest_s: 0.0,
        }
    }

    fn hops_for_draw(&self, draw: f64) -> u32 {
        let mut cumulative_share = 0.0;
        for depth in &self.depths {
            cumulative_share += depth.share;
            if draw < cumulative_share {
                return depth.hops;
            }
        }
        // The shares add up to 1 except for rounding errors.
        self.depths.last().map_or(1, |depth| depth.hops)
    }

    fn take_target(&mut self) -> usize {
        let target = self.next_target;
        self.next_target = (target + 1) % self.target_count;
        target
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.target_count == 0 || self.calls_per_s <= 0.0 {
            return None;
        }
        // Every arrival draws the same number of random values, so changing one share does not shift any
        // other draw.
        let [gap_draw, depth_draw, class_draw, disconnect_draw, delay_draw]: [f64; 5] = self.rng.random();
        let (tenant, first_request_id) = (self.rng.random_range(0..TENANT_COUNT), self.rng.random());
        self.latest_s -= (1.0 - gap_draw).ln() / self.calls_per_s;
        if self.latest_s >= self.duration_s {
            return None;
        }
        let hops = self.hops_for_draw(depth_draw);
        // Less than the mean work time over all hops, so that most clients disconnect before the answer.
        let disconnect_s = self.mean_hop_work_s * f64::from(hops) * delay_draw;
        Some(Arrival {
            offset: Duration::from_secs_f64(self.latest_s),
            hops,
            class: if class_draw < self.load.unsafe_share { Class::Order } else { Class::Read },
            tenant,
            target: self.take_target(),
            disconnect_after: (disconnect_draw < self.load.leaving_share)
                .then(|| Duration::from_secs_f64(disconnect_s)),
            first_request_id,
        })
    }
}

#[cfg(test)]
mod tests;
