//! Processor time of the calling thread.

use std::fs;
use std::time::Duration;

/// Processor time that this thread has used so far; `None` if the system does not report it.
pub(super) fn thread_cpu_time() -> Option<Duration> {
    let text = fs::read_to_string("/proc/thread-self/schedstat").ok()?;
    let on_processor_ns: u64 = text.split_whitespace().next()?.parse().ok()?;
    Some(Duration::from_nanos(on_processor_ns))
}
