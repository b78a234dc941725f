//! Looks at the real balancers while the load runs: what they use, and whether they still run.

use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use tokio::time::{MissedTickBehavior, interval};

use super::RunError;
use super::fleet::{Balancer, Fleet};
use crate::process::Sampler;
use crate::record::Record;

/// Time between two looks at whether the processes run.
const ALIVE_EVERY: Duration = Duration::from_millis(100);
/// Looks of that kind to one at what the processes use: one a second.
const LOOKS_PER_SAMPLE: u32 = 10;

/// A process that is looked at.
struct Watched<'a> {
    balancer: &'a Balancer,
    process: u32,
    sampler: Sampler,
}

/// Watches until a real balancer has ended that no fault had ended. What they use counts until `ends`, the end of the
/// load.
pub async fn watch(fleet: &Fleet, record: &Record, bar: &ProgressBar, ends: Instant) -> RunError {
    let start = Instant::now();
    let mut watched = Vec::new();
    for balancer in &fleet.balancers {
        let process = balancer.process.lock().await.id();
        watched.push(Watched { balancer, process, sampler: Sampler::new(process) });
    }
    let mut ticks = interval(ALIVE_EVERY);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    for number in 1_u32.. {
        ticks.tick().await;
        let sample = number.is_multiple_of(LOOKS_PER_SAMPLE) && Instant::now() <= ends + ALIVE_EVERY;
        for process in &mut watched {
            if let Some(ended) = process.look(sample, record) {
                return ended;
            }
        }
        bar.set_position(start.elapsed().as_secs());
    }
    std::future::pending().await
}

impl Watched<'_> {
    /// Looks at one process, which is passed over while a fault restarts it.
    fn look(&mut self, sample: bool, record: &Record) -> Option<RunError> {
        let mut process = self.balancer.process.try_lock().ok()?;
        if let Some(status) = process.exit_status() {
            let (name, log) = (process.name().to_owned(), process.last_lines());
            return Some(RunError::Ended { name, status, log });
        }
        if process.id() != self.process {
            self.process = process.id();
            self.sampler = Sampler::new(self.process);
        }
        if sample && let Some(usage) = self.sampler.sample() {
            record.measured().process_samples.push((self.balancer.copy, usage));
        }
        None
    }
}

/// A bar over the seconds of load; hidden where standard error is no terminal.
pub fn progress_bar(shown: bool, duration_s: f64) -> ProgressBar {
    if !shown {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{elapsed:>4} {wide_bar} {pos}/{len} s");
    let bar = ProgressBar::new(duration_s.ceil() as u64);
    style.map_or(bar.clone(), |style| bar.with_style(style))
}
