//! What can go wrong with a balancer process.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use thiserror::Error;

/// Why a balancer process could not be started or used. `log` holds the last lines that it wrote.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// No program stands where one is looked for.
    #[error("no balancer program at {path}: build it, or name another in STILELEAD_BALANCER")]
    NoProgram {
        /// Where it was looked for.
        path: PathBuf,
    },
    /// The program is there but cannot be run.
    #[error("balancer {name}: cannot run {program}: {cause}")]
    Spawn {
        /// The copy.
        name: String,
        /// The program.
        program: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// A file of the process cannot be made or written.
    #[error("balancer {name}: cannot write {path}: {cause}")]
    File {
        /// The copy.
        name: String,
        /// The file or directory.
        path: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// Something else has the port.
    #[error("balancer {name}: {address} is taken")]
    PortTaken {
        /// The copy.
        name: String,
        /// Where it should listen.
        address: SocketAddr,
    },
    /// The port cannot be held, or none is free.
    #[error("balancer {name}: no port on loopback: {cause}")]
    NoPort {
        /// The copy.
        name: String,
        /// Why.
        cause: io::Error,
    },
    /// The process has ended by itself.
    #[error("balancer {name} has ended: {status}\n{log}")]
    Exited {
        /// The copy.
        name: String,
        /// How it ended.
        status: ExitStatus,
        /// The last lines of its log.
        log: String,
    },
    /// It runs, and is not where it should be after so long.
    #[error("balancer {name} is not {state} after {within:?}\n{log}")]
    TimedOut {
        /// The copy.
        name: String,
        /// What was waited for.
        state: &'static str,
        /// How long.
        within: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// The process cannot be signalled or waited for.
    #[error("balancer {name}: cannot reach its process: {cause}")]
    ProcessControl {
        /// The copy.
        name: String,
        /// Why.
        cause: io::Error,
    },
}
