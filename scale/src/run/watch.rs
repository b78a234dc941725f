//! Monitors the real balancers during the load: their resource usage, and whether they still run.

use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use tokio::time::{MissedTickBehavior, interval};

use super::RunError;
use super::fleet::{Balancer, Fleet};
use crate::process::Sampler;
use crate::record::Record;

/// Time between two checks whether the real balancers' processes still run.
const EXIT_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Checks per sample of the processes' resource usage, which makes one sample per second.
const CHECKS_PER_SAMPLE: u32 = 10;

/// A balancer with the process that its samples belong to; the process changes when a fault restarts it.
struct MonitoredBalancer<'a> {
    balancer: &'a Balancer,
    process_id: u32,
    sampler: Sampler,
}

/// Monitors the real balancers until one exits that no fault killed. Resource usage is sampled until `load_end`.
pub async fn monitor_balancers(
    fleet: &Fleet,
    record: &Record,
    bar: &ProgressBar,
    load_end: Instant,
) -> RunError {
    let start = Instant::now();
    let mut monitored = Vec::new();
    for balancer in &fleet.balancers {
        let process_id = balancer.process.lock().await.id();
        monitored.push(MonitoredBalancer { balancer, process_id, sampler: Sampler::new(process_id) });
    }
    let mut ticks = interval(EXIT_CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks.tick().await;
    for number in 1_u32.. {
        ticks.tick().await;
        let take_sample =
            number.is_multiple_of(CHECKS_PER_SAMPLE) && Instant::now() <= load_end + EXIT_CHECK_INTERVAL;
        for balancer in &mut monitored {
            if let Some(error) = balancer.check(take_sample, record) {
                return error;
            }
        }
        bar.set_position(start.elapsed().as_secs());
    }
    std::future::pending().await
}

impl MonitoredBalancer<'_> {
    /// Checks one balancer; skips it while a fault restarts it.
    fn check(&mut self, take_sample: bool, record: &Record) -> Option<RunError> {
        let mut process = self.balancer.process.try_lock().ok()?;
        if let Some(status) = process.exit_status() {
            let (name, log) = (process.name().to_owned(), process.last_lines());
            return Some(RunError::BalancerExited { name, status, log });
        }
        if process.id() != self.process_id {
            self.process_id = process.id();
            self.sampler = Sampler::new(self.process_id);
        }
        if take_sample && let Some(usage) = self.sampler.sample() {
            record.measured().process_samples.push((self.balancer.id, usage));
        }
        None
    }
}

/// Progress bar over the seconds of load; hidden if standard error is not a terminal.
pub fn progress_bar(shown: bool, duration_s: f64) -> ProgressBar {
    if !shown {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{elapsed:>4} {wide_bar} {pos}/{len} s");
    let bar = ProgressBar::new(duration_s.ceil() as u64);
    style.map_or(bar.clone(), |style| bar.with_style(style))
}
