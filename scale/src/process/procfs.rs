//! What a process uses, from `/proc`: processor time, memory, descriptors and wake-ups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use procfs::process::Process;
use procfs::{ProcResult, ticks_per_second};

use crate::record::ProcessUsage;

/// Kilobytes of 1024 bytes in a megabyte.
const KB_PER_MB: f64 = 1024.0;

/// Looks at one process again and again.
#[derive(Debug)]
pub struct Sampler {
    process: u32,
    before: Option<Counts>,
}

/// What a process has used since its start.
#[derive(Debug)]
struct Counts {
    at: Instant,
    /// Start of the process in clock ticks since boot: its id may come to belong to another one.
    started: u64,
    processor: Duration,
    /// Voluntary context switches of each thread that runs, by its id.
    switches: BTreeMap<i32, u64>,
}

impl Sampler {
    /// Takes the first look, from which the next one counts.
    #[must_use]
    pub fn new(process: u32) -> Self {
        let before = open(process).and_then(|process| counts(&process)).ok();
        Self { process, before }
    }

    /// What the process used since the look before; `None` of a process that is gone or was not looked at before.
    ///
    /// Memory counts in megabytes of 1024 kilobytes.
    pub fn look(&mut self) -> Option<ProcessUsage> {
        let before = self.before.take();
        let process = open(self.process).ok()?;
        let now = counts(&process).ok()?;
        let usage = before.and_then(|before| usage(&process, &before, &now));
        self.before = Some(now);
        usage
    }
}

fn open(process: u32) -> ProcResult<Process> {
    let id = i32::try_from(process).map_err(|_| procfs::ProcError::NotFound(None))?;
    Process::new(id)
}

fn counts(process: &Process) -> ProcResult<Counts> {
    let stat = process.stat()?;
    // The scheduler's own figure is finer than ticks, but is kept by thread.
    let exact = (stat.num_threads == 1).then(|| process.schedstat().ok()).flatten();
    let processor = match exact {
        Some(schedule) => Duration::from_nanos(schedule.sum_exec_runtime),
        None => Duration::from_secs_f64((stat.utime + stat.stime) as f64 / ticks_per_second() as f64),
    };
    Ok(Counts { at: Instant::now(), started: stat.starttime, processor, switches: switches(process)? })
}

fn switches(process: &Process) -> ProcResult<BTreeMap<i32, u64>> {
    let mut switches = BTreeMap::new();
    // A thread may end between the listing and the look.
    for task in process.tasks()?.flatten() {
        let count = task.status().ok().and_then(|status| status.voluntary_ctxt_switches);
        switches.insert(task.tid, count.unwrap_or(0));
    }
    Ok(switches)
}

/// Switches since the look before of the threads that run now; the last ones of a thread that has ended are not
/// known.
fn switches_since(before: &Counts, now: &Counts) -> u64 {
    let earlier = |thread| before.switches.get(thread).copied().unwrap_or(0);
    now.switches.iter().map(|(thread, count)| count.saturating_sub(earlier(thread))).sum()
}

fn usage(process: &Process, before: &Counts, now: &Counts) -> Option<ProcessUsage> {
    let seconds = now.at.duration_since(before.at).as_secs_f64();
    if now.started != before.started || seconds == 0.0 {
        return None;
    }
    let processor = now.processor.saturating_sub(before.processor);
    Some(ProcessUsage {
        core_percent: processor.as_secs_f64() / seconds * 100.0,
        memory_mb: process.status().ok()?.vmrss? as f64 / KB_PER_MB,
        descriptors: process.fd_count().ok()? as u64,
        wakeups_per_s: switches_since(before, now) as f64 / seconds,
    })
}

#[cfg(test)]
mod tests;
