//! Errors of balancer processes.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

use thiserror::Error;

/// Why a balancer process could not be started or used. `log` holds the last lines of its log.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// There is no program file at the expected path.
    #[error("no balancer program at {path}: build it, or set STILELEAD_BALANCER to the path of another")]
    NoProgram {
        /// The path that was tried.
        path: PathBuf,
    },
    /// The program exists but cannot be run.
    #[error("balancer {name}: cannot run {program}: {cause}")]
    Spawn {
        /// Name of the balancer.
        name: String,
        /// Path of the balancer program that cannot be started.
        program: PathBuf,
        /// The underlying error.
        cause: io::Error,
    },
    /// A file or directory of the process cannot be created or written.
    #[error("balancer {name}: cannot write {path}: {cause}")]
    File {
        /// Name of the balancer.
        name: String,
        /// The file or directory.
        path: PathBuf,
        /// The underlying error.
        cause: io::Error,
    },
    /// Another socket uses the port.
    #[error("balancer {name}: {address} is already in use")]
    PortTaken {
        /// Name of the balancer.
        name: String,
        /// Address at which the balancer should listen.
        address: SocketAddr,
    },
    /// The port cannot be reserved, or none is free.
    #[error("balancer {name}: cannot reserve a port on loopback: {cause}")]
    NoPort {
        /// Name of the balancer.
        name: String,
        /// The underlying error.
        cause: io::Error,
    },
    /// The process has exited by itself.
    #[error("balancer {name} has exited: {status}\n{log}")]
    Exited {
        /// Name of the balancer.
        name: String,
        /// Exit status of the balancer process that has ended.
        status: ExitStatus,
        /// The last lines of the log of the process.
        log: String,
    },
    /// The process runs but has not reached the expected state in time.
    #[error("balancer {name} is not {state} after {within:?}\n{log}")]
    TimedOut {
        /// Name of the balancer.
        name: String,
        /// The expected state.
        state: &'static str,
        /// How long the tool waited before it gave up.
        within: Duration,
        /// The last lines of the log of the process.
        log: String,
    },
    /// The process cannot be signalled or waited for.
    #[error("balancer {name}: cannot signal or wait for its process: {cause}")]
    ProcessControl {
        /// Name of the balancer.
        name: String,
        /// The underlying error.
        cause: io::Error,
    },
}
