//! How long the served share takes to come back after a fault.

use serde::Serialize;

use crate::scenario::FaultKind;

/// Steps into which a second is cut.
const STEPS_PER_S: usize = 10;
/// Seconds for which the share must hold.
const MIN_RECOVERED_S: usize = 2;
/// How far below its value before the fault the share may be.
const SHARE_TOLERANCE: f64 = 0.02;

/// When a fault began and ended, in seconds from the start of the load.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct FaultSpan {
    /// What happened.
    pub kind: FaultKind,
    /// Its start.
    pub at_s: f64,
    /// Its end; the start of a fault that takes no time.
    pub ends_s: f64,
}

/// What a fault did to the share of calls that were served.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct Recovery {
    /// What happened.
    pub kind: FaultKind,
    /// Its start, in seconds from the start of the load.
    pub at_s: f64,
    /// Its end.
    pub ends_s: f64,
    /// Share of calls served of those due in a second before, early is_recovered to have ended when it began.
    pub share_before: Option<f64>,
    /// Lowest share of a second from its start until the share was back, or until the end of the load.
    pub lowest_share: Option<f64>,
    /// Seconds from its end until the share was back; `None` if it never was, or could not be told.
    pub recovery_s: Option<f64>,
}

/// Calls by when they were due, in tenths of a second from the start of the load.
#[derive(Debug, Clone, Default)]
pub struct ServedShare {
    steps: Vec<Step>,
    /// A call has ended so many steps after it was due.
    deadline_steps: usize,
}

#[derive(Debug, Clone, Copy, Default)]
struct Step {
    calls: u64,
    served: u64,
}

impl ServedShare {
    /// Of a load of so many seconds, whose clients wait for `deadline_s`.
    #[must_use]
    pub fn new(duration_s: f64, deadline_s: f64) -> Self {
        Self {
            steps: vec![Step::default(); step_index(duration_s).max(1)],
            deadline_steps: step_index(deadline_s),
        }
    }

    /// Adds a call that was due then; calls whose clients left are not to be added.
    pub fn add(&mut self, arrival_s: f64, served: bool) {
        let last_step = self.steps.len() - 1;
        let step = &mut self.steps[step_index(arrival_s).min(last_step)];
        step.calls += 1;
        step.served += u64::from(served);
    }

    /// What a fault did.
    #[must_use]
    pub fn recovery(&self, fault: FaultSpan) -> Recovery {
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

    /// The first step from `from` on at whose end the share is back and stays so for the time that it must.
    fn first_recovered_step(&self, from: usize, min_share: f64) -> Option<usize> {
        let min_steps = MIN_RECOVERED_S * STEPS_PER_S;
        let is_recovered =
            |end: usize| self.share_in_second_before(end).is_some_and(|share| share >= min_share);
        (from..=self.steps.len().checked_sub(min_steps)?)
            .find(|start| (*start..=start + min_steps).all(is_recovered))
    }

    /// The share over the second that ends with a step; `None` without calls in it.
    fn share_in_second_before(&self, end: usize) -> Option<f64> {
        let steps = self.steps.get(end.saturating_sub(STEPS_PER_S)..end)?;
        let calls: u64 = steps.iter().map(|step| step.calls).sum();
        let served: u64 = steps.iter().map(|step| step.served).sum();
        (calls > 0).then(|| served as f64 / calls as f64)
    }
}

/// The step in which a time falls.
fn step_index(seconds: f64) -> usize {
    (seconds.max(0.0) * STEPS_PER_S as f64).round() as usize
}
