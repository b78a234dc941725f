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
    previous: Option<Counters>,
}

/// What a process has used since its start.
#[derive(Debug)]
struct Counters {
    at: Instant,
    /// Start of the process in clock ticks since boot: its id may come to belong to another one.
    start_ticks: u64,
    cpu_time: Duration,
    /// Voluntary context switches of each thread that runs, by its id.
    voluntary_switches: BTreeMap<i32, u64>,
}

impl Sampler {
    /// Takes the first look, from which the next one counts.
    #[must_use]
    pub fn new(process: u32) -> Self {
        let previous = open(process).and_then(|process| read_counters(&process)).ok();
        Self { process, previous }
    }

    /// What the process used since the look before; `None` of a process that is gone or was not looked at before.
    ///
    /// Memory counts in megabytes of 1024 kilobytes.
    pub fn sample(&mut self) -> Option<ProcessUsage> {
        let previous = self.previous.take();
        let process = open(self.process).ok()?;
        let now = read_counters(&process).ok()?;
        let usage = previous.and_then(|previous| usage(&process, &previous, &now));
        self.previous = Some(now);
        usage
    }
}

fn open(process: u32) -> ProcResult<Process> {
    let id = i32::try_from(process).map_err(|_| procfs::ProcError::NotFound(None))?;
    Process::new(id)
}

fn read_counters(process: &Process) -> ProcResult<Counters> {
    let stat = process.stat()?;
    // The scheduler's own figure is finer than ticks, but is kept by thread.
    let schedstat = (stat.num_threads == 1).then(|| process.schedstat().ok()).flatten();
    let cpu_time = match schedstat {
        Some(schedstat) => Duration::from_nanos(schedstat.sum_exec_runtime),
        None => Duration::from_secs_f64((stat.utime + stat.stime) as f64 / ticks_per_second() as f64),
    };
    Ok(Counters {
        at: Instant::now(),
        start_ticks: stat.starttime,
        cpu_time,
        voluntary_switches: read_voluntary_switches(process)?,
    })
}

fn read_voluntary_switches(process: &Process) -> ProcResult<BTreeMap<i32, u64>> {
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
fn voluntary_switches_since(previous: &Counters, now: &Counters) -> u64 {
    let previous_count = |thread| previous.voluntary_switches.get(thread).copied().unwrap_or(0);
    now.voluntary_switches.iter().map(|(thread, count)| count.saturating_sub(previous_count(thread))).sum()
}

fn usage(process: &Process, previous: &Counters, now: &Counters) -> Option<ProcessUsage> {
    let elapsed_s = now.at.duration_since(previous.at).as_secs_f64();
    if now.start_ticks != previous.start_ticks || elapsed_s == 0.0 {
        return None;
    }
    let cpu_time = now.cpu_time.saturating_sub(previous.cpu_time);
    Some(ProcessUsage {
        core_percent: cpu_time.as_secs_f64() / elapsed_s * 100.0,
        memory_mb: process.status().ok()?.vmrss? as f64 / KB_PER_MB,
        descriptors: process.fd_count().ok()? as u64,
        wakeups_per_s: voluntary_switches_since(previous, now) as f64 / elapsed_s,
    })
}

#[cfg(test)]
mod tests;
