//! Measures how long the share of calls served takes to recover after a fault.

use serde::Serialize;

use crate::scenario::FaultKind;

/// Time steps per second in which calls are counted.
const STEPS_PER_S: usize = 10;
/// Seconds for which the share of calls served must stay recovered to count as recovered.
const MIN_RECOVERED_S: usize = 2;
/// How far the share of calls served may be below its value before the fault and still count as recovered.
const SHARE_TOLERANCE: f64 = 0.02;

/// Start and end of a fault, in seconds from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultPeriod {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds from the start of the load.
    pub at_s: f64,
    /// End of the fault, in seconds from the start of the load; equal to `at_s` if the fault has no duration.
    pub ends_s: f64,
}

/// Effect of a fault on the share of calls served.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Recovery {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Start of the fault, in seconds from the start of the load.
    pub at_s: f64,
    /// End of the fault, in seconds from the start of the load.
    pub ends_s: f64,
    /// Share of calls served in a second before the fault, early enough that its calls had ended when the fault began.
    pub share_before: Option<f64>,
    /// Lowest share in any second from the start of the fault until the share recovered, or until the end of the load.
    pub lowest_share: Option<f64>,
    /// Seconds from the end of the fault until the share recovered; `None` if it did not, or if that is unknown.
    pub recovery_s: Option<f64>,
}

/// Calls by scheduled arrival, in steps of a tenth of a second from the start of the load.
#[derive(Debug, Clone, Default)]
pub struct ServedShare {
    steps: Vec<StepCounts>,
    /// Steps after its arrival by which a call has ended.
    deadline_steps: usize,
}

/// Counts of the calls that arrive in one tenth of a second.
#[derive(Debug, Clone, Copy, Default)]
struct StepCounts {
    calls: u64,
    served: u64,
}

impl ServedShare {
    /// Counts for a load of `duration_s` seconds whose clients wait for `deadline_s`.
    #[must_use]
    pub fn new(duration_s: f64, deadline_s: f64) -> Self {
        Self {
            steps: vec![StepCounts::default(); step_index(duration_s).max(1)],
            deadline_steps: step_index(deadline_s),
        }
    }

    /// Adds a call by its scheduled arrival. Calls whose clients disconnected must not be added.
    pub fn add(&mut self, arrival_s: f64, served: bool) {
        let last_step = self.steps.len() - 1;
        let step = &mut self.steps[step_index(arrival_s).min(last_step)];
        step.calls += 1;
        step.served += u64::from(served);
    }

    /// Effect of a fault on the share of calls served.
    #[must_use]
    pub fn recovery(&self, fault: FaultPeriod) -> Recovery {
        let steps_before = step_index(fault.at_s).saturating_sub(self.deadline_steps).max(STEPS_PER_S);
        let share_before = self.share_in_second_before(steps_before);
        let recovered = share_before.and_then(|share_before| {
            self.first_recovered_step(step_index(fault.ends_s), share_before - SHARE_TOLERANCE)
        });
        let last_step = recovered.unwrap_or(self.steps.len());
        let shares =
            (step_index(fault.at_s) + 1..=last_step).filter_map(|end| self.share_in_second_before(end));
        Recovery {
            kind: fault.kind,
            at_s: fault.at_s,
            ends_s: fault.ends_s,
            share_before,
            lowest_share: shares.reduce(f64::min),
            recovery_s: recovered.map(|end| (end as f64 / STEPS_PER_S as f64 - fault.ends_s).max(0.0)),
        }
    }

    /// First step from `from` on before which the share has recovered and after which it stays recovered for
    /// [`MIN_RECOVERED_S`].
    fn first_recovered_step(&self, from: usize, min_share: f64) -> Option<usize> {
        let min_steps = MIN_RECOVERED_S * STEPS_PER_S;
        let is_recovered =
            |end: usize| self.share_in_second_before(end).is_some_and(|share| share >= min_share);
        (from..=self.steps.len().checked_sub(min_steps)?)
            .find(|start| (*start..=start + min_steps).all(is_recovered))
    }

    /// Share served in the second before the start of step `end`; `None` if it had no calls.
    fn share_in_second_before(&self, end: usize) -> Option<f64> {
        let steps_in_second = self.steps.get(end.saturating_sub(STEPS_PER_S)..end)?;
        let calls: u64 = steps_in_second.iter().map(|step| step.calls).sum();
        let served: u64 = steps_in_second.iter().map(|step| step.served).sum();
        (calls > 0).then(|| served as f64 / calls as f64)
    }
}

/// Number of steps in a time, rounded.
fn step_index(seconds: f64) -> usize {
    (seconds.max(0.0) * STEPS_PER_S as f64).round() as usize
}
