//! First-hop calls to hollow copies, drawn ahead of what becomes of them: one seed, one sequence.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::calls::CallClass;
use crate::process::settings::TENANT_COUNT;
use crate::scenario::{Depth, Load};

/// Part of its deadline after which a client that leaves has left, at the latest.
const LEAVES_WITHIN_PART: f64 = 0.5;

/// A first-hop call.
#[derive(Debug, Clone, PartialEq)]
pub(super) struct Arrival {
    /// When, counted from the start of the load.
    pub at: Duration,
    /// Position of the hollow copy that it goes to.
    pub copy: usize,
    /// Hops from the client to the last node.
    pub hops: u32,
    /// Its class.
    pub class: CallClass,
    /// Number of its tenant.
    pub tenant: u32,
    /// Its client leaves after this, answered or not.
    pub leaves_after: Option<Duration>,
}

/// The arrivals of a run, in order of time.
#[derive(Debug)]
pub(super) struct Arrivals {
    random: ChaCha8Rng,
    copies: usize,
    load: Load,
    ends: Duration,
    at_s: f64,
}

impl Arrivals {
    /// Arrivals at `copies` copies over `duration`.
    pub fn new(load: &Load, copies: usize, duration: Duration, seed: u64) -> Self {
        let random = ChaCha8Rng::seed_from_u64(seed);
        Self { random, copies, load: load.clone(), ends: duration, at_s: 0.0 }
    }

    /// A number from 0 up to 1.
    fn chance(&mut self) -> f64 {
        self.random.random()
    }

    fn draw_hops(&mut self) -> u32 {
        let chance = self.chance();
        let mut passed = 0.0;
        for Depth { hops, share } in &self.load.depths {
            passed += share;
            if chance < passed {
                return *hops;
            }
        }
        self.load.depths.last().map_or(1, |depth| depth.hops)
    }

    fn draw_leaving(&mut self) -> Option<Duration> {
        let leaves = self.chance() < self.load.leaving_share;
        let after_s = self.chance() * self.load.deadline_s * LEAVES_WITHIN_PART;
        leaves.then(|| Duration::try_from_secs_f64(after_s).unwrap_or_default())
    }
}

impl Iterator for Arrivals {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        if self.copies == 0 || self.load.hollow_calls_per_s <= 0.0 {
            return None;
        }
        self.at_s -= (1.0 - self.chance()).ln() / self.load.hollow_calls_per_s;
        let at = Duration::try_from_secs_f64(self.at_s).ok().filter(|&at| at < self.ends)?;
        let copy = self.random.random_range(0..self.copies);
        let hops = self.draw_hops();
        let class = if self.chance() < self.load.unsafe_share { CallClass::Order } else { CallClass::Read };
        let tenant = self.random.random_range(0..TENANT_COUNT);
        let leaves_after = self.draw_leaving();
        Some(Arrival { at, copy, hops, class, tenant, leaves_after })
    }
}
