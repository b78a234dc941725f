//! Limits of this machine for a run: half of its memory, and the file descriptors of this process.

use std::fs;
use std::io;

use thiserror::Error;

use super::Scenario;
use super::load::{KeyError, Reason};

/// Memory of a hollow balancer with its modelled node, in megabytes; a generous estimate.
const MEMORY_MB_PER_HOLLOW_BALANCER: u64 = 1;
/// Memory of the tool itself, in megabytes.
const TOOL_MEMORY_MB: u64 = 100;
/// Descriptors of a hollow balancer: its listener in the control plane and both ends of its watch.
const DESCRIPTORS_PER_HOLLOW_BALANCER: u64 = 3;
/// Descriptors of the tool itself, for log, report, pipes and timers.
const TOOL_DESCRIPTORS: u64 = 100;
/// Descriptors of the control plane for a real balancer: a listener and a watch.
const DESCRIPTORS_PER_REAL_BALANCER: u64 = 2;

/// Limits of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Machine {
    /// Total memory in megabytes.
    pub memory_mb: u64,
    /// File descriptors that this process may open.
    pub descriptors: u64,
}

/// Why the limits cannot be determined.
#[derive(Debug, Error)]
pub enum MachineError {
    /// A file in `/proc` cannot be read.
    #[error("cannot read {path}: {cause}")]
    Read {
        /// Path of the file in `/proc`.
        path: &'static str,
        /// Cause of the error.
        cause: io::Error,
    },
    /// A file in `/proc` lacks the expected line or number.
    #[error("{path} has no line with {line_start:?} and a number")]
    NumberNotFound {
        /// Path of the file in `/proc`.
        path: &'static str,
        /// Start of the line.
        line_start: &'static str,
    },
}

impl Machine {
    /// Reads the limits of this machine and process.
    ///
    /// # Errors
    /// A limit cannot be read from `/proc`.
    pub fn detect() -> Result<Self, MachineError> {
        let memory_kb = read_number("/proc/meminfo", "MemTotal:")?;
        let descriptors = read_number("/proc/self/limits", "Max open files")?;
        Ok(Self { memory_mb: memory_kb / 1024, descriptors })
    }

    /// Checks that a scenario needs at most half of the memory, and no more than the descriptors of this process. Each
    /// connection of a real balancer has its other end in this process, so the balancers' descriptor limits also bound
    /// what this process needs.
    ///
    /// # Errors
    /// The scenario needs more. The error names the key that lowers the need.
    pub fn check(&self, scenario: &Scenario) -> Result<(), KeyError> {
        let fleet = &scenario.fleet;
        let (hollow, real) = (u64::from(fleet.hollow), u64::from(fleet.real));
        let memory_mb =
            real * u64::from(fleet.memory_mb) + hollow * MEMORY_MB_PER_HOLLOW_BALANCER + TOOL_MEMORY_MB;
        check_limit("fleet.memory_mb", memory_mb, self.memory_mb / 2, "MB of memory")?;
        let nodes = real * u64::from(fleet.nodes_per_real);
        let descriptors = real * (u64::from(fleet.sockets) + DESCRIPTORS_PER_REAL_BALANCER)
            + nodes
            + hollow * DESCRIPTORS_PER_HOLLOW_BALANCER
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

/// Reads the first number after `line_start` at the start of a line; `unlimited` counts as the largest number.
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
