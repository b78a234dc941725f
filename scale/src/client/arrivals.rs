//! Arrivals of calls, drawn from the seed alone: what happens to a call does not move the next one.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use crate::process::settings::{CLASS_ORDER, CLASS_READ, TENANTS};
use crate::scenario::{Depth, Load, Scenario};

/// Stream of the random numbers of calls through balancers.
const THROUGH_STREAM: u64 = 1;
/// Stream of those of calls straight to nodes.
const STRAIGHT_STREAM: u64 = 2;

/// The class of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Class {
    /// Safe to repeat.
    Read,
    /// Must never run twice.
    Order,
}

impl Class {
    /// The name in settings and paths.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Read => CLASS_READ,
            Self::Order => CLASS_ORDER,
        }
    }
}

/// A call that a client will make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When, from the start of the load.
    pub at: Duration,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// Its class.
    pub class: Class,
    /// Number of its tenant.
    pub tenant: u32,
    /// Position of the balancer or node that it goes to.
    pub target: usize,
    /// When the client closes its connection, from the arrival, where it does so before the answer.
    pub leaves_after: Option<Duration>,
    /// Request id of its first try; further tries count on from it.
    pub id: u64,
}

/// The arrivals of one kind of calls, in their order: a Poisson process.
#[derive(Debug, Clone)]
pub struct Arrivals {
    random: ChaCha8Rng,
    /// Seconds of load.
    duration_s: f64,
    /// Calls a second.
    rate: f64,
    depths: Vec<Depth>,
    load: Load,
    /// Mean work of a request at one hop, in seconds.
    work_s: f64,
    targets: usize,
    next_target: usize,
    /// Seconds from the start of the load to the latest arrival.
    at_s: f64,
}

impl Arrivals {
    /// The calls to `balancers` real balancers, in turn.
    #[must_use]
    pub fn through_balancers(scenario: &Scenario, balancers: usize) -> Self {
        let load = scenario.load.clone();
        let (rate, depths) = (load.real_calls_per_s, load.depths.clone());
        Self::of(scenario, THROUGH_STREAM, rate, depths, load, balancers)
    }

    /// The calls straight to `nodes` nodes, in turn: one hop, and no client leaves.
    #[must_use]
    pub fn straight_to_nodes(scenario: &Scenario, nodes: usize) -> Self {
        let load = Load { leaving_share: 0.0, ..scenario.load.clone() };
        let depths = vec![Depth { hops: 1, share: 1.0 }];
        Self::of(scenario, STRAIGHT_STREAM, load.direct_calls_per_s, depths, load, nodes)
    }

    fn of(
        scenario: &Scenario,
        stream: u64,
        rate: f64,
        depths: Vec<Depth>,
        load: Load,
        targets: usize,
    ) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(scenario.seed);
        random.set_stream(stream);
        Self {
            random,
            duration_s: scenario.duration_s,
            rate,
            depths,
            load,
            work_s: scenario.node.work_ms / 1000.0,
            targets,
            next_target: 0,
            at_s: 0.0,
        }
    }

    fn hops(&self, chance: f64) -> u32 {
        let mut share = 0.0;
        for depth in &self.depths {
            share += depth.share;
            if chance < share {
                return depth.hops;
            }
        }
        // The shares add up to 1 but for rounding.
        self.depths.last().map_or(1, |depth| depth.hops)
    }

    fn turn(&mut self) -> usize {
        let target = self.next_target;
        self.next_target = (target + 1) % self.targets;
        target
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.targets == 0 || self.rate <= 0.0 {
            return None;
        }
        // Each arrival draws the same count of numbers, so that a share that changes moves no other draw.
        let [gap, depth, class, leaves, stays]: [f64; 5] = self.random.random();
        let (tenant, id) = (self.random.random_range(0..TENANTS), self.random.random());
        self.at_s -= (1.0 - gap).ln() / self.rate;
        if self.at_s >= self.duration_s {
            return None;
        }
        let hops = self.hops(depth);
        // Within the mean work of all hops, so that most answers are not there yet.
        let stays = self.work_s * f64::from(hops) * stays;
        Some(Arrival {
            at: Duration::from_secs_f64(self.at_s),
            hops,
            class: if class < self.load.unsafe_share { Class::Order } else { Class::Read },
            tenant,
            target: self.turn(),
            leaves_after: (leaves < self.load.leaving_share).then(|| Duration::from_secs_f64(stays)),
            id,
        })
    }
}

#[cfg(test)]
mod tests;
