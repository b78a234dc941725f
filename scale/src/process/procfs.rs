//! Resource usage of a process from `/proc`: processor time, memory, descriptors and wake-ups.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use procfs::process::Process;
use procfs::{ProcResult, ticks_per_second};

use crate::record::ProcessUsage;

/// Kilobytes (of 1024 bytes) in a megabyte.
const KB_PER_MB: f64 = 1024.0;

/// Samples the resource usage of one process repeatedly.
#[derive(Debug)]
pub struct Sampler {
    pid: u32,
    previous: Option<Counters>,
}

/// Processor time and context switches of a process since its start.
#[derive(Debug)]
struct Counters {
    sampled_at: Instant,
    /// Start of the process in clock ticks since boot; it reveals whether the process id was reused.
    start_ticks: u64,
    cpu_time: Duration,
    /// Voluntary context switches of each running thread, by thread id.
    voluntary_switches: BTreeMap<i32, u64>,
}

impl Sampler {
    /// Takes a first sample, to which the next one is relative.
    #[must_use]
    pub fn new(pid: u32) -> Self {
        let previous = open(pid).and_then(|process| read_counters(&process)).ok();
        Self { pid, previous }
    }

    /// Usage of the process since the previous sample; `None` if the process has ended or has no previous
    /// sample.
    ///
    /// Memory is in megabytes of 1024 kilobytes.
    pub fn sample(&mut self) -> Option<ProcessUsage> {
        let previous = self.previous.take();
        let process = open(self.pid).ok()?;
        let current = read_counters(&process).ok()?;
        let usage = previous.and_then(|previous| usage(&process, &previous, &current));
        self.previous = Some(current);
        usage
    }
}

fn open(pid: u32) -> ProcResult<Process> {
    let id = i32::try_from(pid).map_err(|_| procfs::ProcError::NotFound(None))?;
    Process::new(id)
}

fn read_counters(process: &Process) -> ProcResult<Counters> {
    let stat = process.stat()?;
    // The scheduler's figure is more precise than ticks, but it covers a single thread only.
    let schedstat = (stat.num_threads == 1).then(|| process.schedstat().ok()).flatten();
    let cpu_time = match schedstat {
        Some(schedstat) => Duration::from_nanos(schedstat.sum_exec_runtime),
        None => Duration::from_secs_f64((stat.utime + stat.stime) as f64 / ticks_per_second() as f64),
    };
    Ok(Counters {
        sampled_at: Instant::now(),
        start_ticks: stat.starttime,
        cpu_time,
        voluntary_switches: read_voluntary_switches(process)?,
    })
}

fn read_voluntary_switches(process: &Process) -> ProcResult<BTreeMap<i32, u64>> {
    let mut switches = BTreeMap::new();
    // A thread may end after it was listed and before its status is read.
    for task in process.tasks()?.flatten() {
        let count = task.status().ok().and_then(|status| status.voluntary_ctxt_switches);
        switches.insert(task.tid, count.unwrap_or(0));
    }
    Ok(switches)
}

/// Context switches since the previous sample of the threads that run now; the last switches of threads that
/// have ended since then are not known.
fn voluntary_switches_since(previous: &Counters, current: &Counters) -> u64 {
    let previous_count = |thread| previous.voluntary_switches.get(thread).copied().unwrap_or(0);
    current
        .voluntary_switches
        .iter()
        .map(|(thread, count)| count.saturating_sub(previous_count(thread)))
        .sum()
}

fn usage(process: &Process, previous: &Counters, current: &Counters) -> Option<ProcessUsage> {
    let elapsed_s = current.sampled_at.duration_since(previous.sampled_at).as_secs_f64();
    if current.start_ticks != previous.start_ticks || elapsed_s == 0.0 {
        return None;
    }
    let cpu_time = current.cpu_time.saturating_sub(previous.cpu_time);
    Some(ProcessUsage {
        core_percent: cpu_time.as_secs_f64() / elapsed_s * 100.0,
        memory_mb: process.status().ok()?.vmrss? as f64 / KB_PER_MB,
        descriptors: process.fd_count().ok()? as u64,
        wakeups_per_s: voluntary_switches_since(previous, current) as f64 / elapsed_s,
    })
}

#[cfg(test)]
mod tests;
