//! What this machine allows a run: half of its memory and the descriptors of the process.

use std::fs;
use std::io;

use thiserror::Error;

use super::Scenario;
use super::load::{KeyError, Reason};

/// Memory of a hollow copy with its modelled node, in megabytes; an estimate with room.
const MB_PER_HOLLOW: u64 = 1;
/// Memory of the tool itself, in megabytes.
const TOOL_MB: u64 = 100;
/// Descriptors of a hollow copy: its control listener and both ends of its watch.
const DESCRIPTORS_PER_HOLLOW: u64 = 3;
/// Descriptors of the tool itself, with log, report, pipes and timers.
const TOOL_DESCRIPTORS: u64 = 100;
/// Descriptors that control holds for a real balancer: a listener and a watch.
const DESCRIPTORS_PER_REAL: u64 = 2;

/// The limits of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Memory in all, in megabytes.
    pub memory_mb: u64,
    /// Descriptors that this process may hold.
    pub descriptors: u64,
}

/// Why the limits cannot be told.
#[derive(Debug, Error)]
pub enum MachineError {
    /// A file of the kernel cannot be read.
    #[error("cannot read {path}: {cause}")]
    Read {
        /// The file.
        path: &'static str,
        /// Why.
        cause: io::Error,
    },
    /// A file of the kernel does not say what is looked for.
    #[error("{path} does not tell {line_start:?}")]
    NumberNotFound {
        /// The file.
        path: &'static str,
        /// The start of the line.
        line_start: &'static str,
    },
}

impl Machine {
    /// Looks at this machine and process.
    ///
    /// # Errors
    /// The kernel does not tell.
    pub fn detect() -> Result<Self, MachineError> {
        let memory_kb = read_number("/proc/meminfo", "MemTotal:")?;
        let descriptors = read_number("/proc/self/limits", "Max open files")?;
        Ok(Self { memory_mb: memory_kb / 1024, descriptors })
    }

    /// Whether a scenario keeps within half of the memory and within the descriptors. Each connection of a real
    /// balancer has its other end in this process, so that their limits bound what is needed here.
    ///
    /// # Errors
    /// The scenario needs more; the key with which to lower it is named.
    pub fn check(&self, scenario: &Scenario) -> Result<(), KeyError> {
        let fleet = &scenario.fleet;
        let (hollow, real) = (u64::from(fleet.hollow), u64::from(fleet.real));
        let memory_mb = real * u64::from(fleet.memory_mb) + hollow * MB_PER_HOLLOW + TOOL_MB;
        check_limit("fleet.memory_mb", memory_mb, self.memory_mb / 2, "MB of memory")?;
        let nodes = real * u64::from(fleet.nodes_per_real);
        let descriptors = real * (u64::from(fleet.sockets) + DESCRIPTORS_PER_REAL)
            + nodes
            + hollow * DESCRIPTORS_PER_HOLLOW
            + TOOL_DESCRIPTORS;
        check_limit("fleet.sockets", descriptors, self.descriptors, "descriptors")
    }
}

fn check_limit(key: &str, needed: u64, allowed: u64, unit: &'static str) -> Result<(), KeyError> {
    if needed > allowed {
        return Err(KeyError::new(key, Reason::OverMachineLimit { needed, allowed, unit }));
    }
    Ok(())
}

/// The first number of the line that starts with `line`; a limit that is none counts as the highest number.
fn read_number(path: &'static str, line_start: &'static str) -> Result<u64, MachineError> {
    let text = fs::read_to_string(path).map_err(|cause| MachineError::Read { path, cause })?;
    let after_start = text.lines().find_map(|text| text.strip_prefix(line_start));
    let value = after_start.and_then(|rest| rest.split_whitespace().next());
    match value {
        Some("unlimited") => Ok(u64::MAX),
        value => value
            .and_then(|value| value.parse().ok())
            .ok_or(MachineError::NumberNotFound { path, line_start }),
    }
}
