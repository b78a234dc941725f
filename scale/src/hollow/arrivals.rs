//! Random arrivals of first-hop calls at hollow balancers. They do not depend on how calls end, so a seed
//! always gives the same sequence.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::CallClass;
use crate::process::settings::TENANT_COUNT;
use crate::scenario::{Depth, Load};

/// A client that leaves early does so within this fraction of its deadline.
const MAX_LEAVE_FRACTION: f64 = 0.5;

/// A call that a client sends to a hollow balancer, as drawn before it is made.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// When the call arrives, counted from the start of the load.
    pub at: Duration,
    /// Index of the hollow balancer that it is sent to.
    pub balancer: usize,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// Whether the call is a read or an order, which must not be executed twice.
    pub class: CallClass,
    /// Number of the tenant that the call belongs to.
    pub tenant: u32,
    /// The client closes its connection after this time if the call has not ended; `None` if it waits until
    /// its deadline.
    pub client_leaves_after: Option<Duration>,
}

/// The arrivals of a run, ordered by time.
#[derive(Debug)]
pub(super) struct Arrivals {
    random: ChaCha8Rng,
    balancer_count: usize,
    load: Load,
    load_duration: Duration,
    latest_arrival_s: f64,
}

impl Arrivals {
    /// Arrivals at `balancer_count` balancers over `load_duration`.
    pub fn new(load: &Load, balancer_count: usize, load_duration: Duration, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { random, balancer_count, load: load.clone(), load_duration, latest_arrival_s: 0.0 }
    }

    /// Draws a number that is at least 0 and below 1.
    fn draw_fraction(&mut self) -> f64 {
        self.random.random()
    }

    fn draw_hops(&mut self) -> u32 {
        let fraction = self.draw_fraction();
        let mut cumulative_share = 0.0;
        for Depth { hops, share } in &self.load.depths {
            cumulative_share += share;
            if fraction < cumulative_share {
                return *hops;
            }
        }
        self.load.depths.last().map_or(1, |depth| depth.hops)
    }

    fn draw_leaving(&mut self) -> Option<Duration> {
        let leaves_early = self.draw_fraction() < self.load.leaving_share;
        let leaves_after_s = self.draw_fraction() * self.load.deadline_s * MAX_LEAVE_FRACTION;
        leaves_early.then(|| Duration::try_from_secs_f64(leaves_after_s).unwrap_or_default())
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.balancer_count == 0 || self.load.hollow_calls_per_s <= 0.0 {
            return None;
        }
        self.latest_arrival_s -= (1.0 - self.draw_fraction()).ln() / self.load.hollow_calls_per_s;
        let at =
            Duration::try_from_secs_f64(self.latest_arrival_s).ok().filter(|&at| at < self.load_duration)?;
        let balancer = self.random.random_range(0..self.balancer_count);
        let hops = self.draw_hops();
        let class =
            if self.draw_fraction() < self.load.unsafe_share { CallClass::Order } else { CallClass::Read };
        let tenant = self.random.random_range(0..TENANT_COUNT);
        let client_leaves_after = self.draw_leaving();
        Some(Arrival { at, balancer, hops, class, tenant, client_leaves_after })
    }
}
