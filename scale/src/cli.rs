//! The command line: arguments, logs and exit codes.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use tracing::{error, info};
use tracing_subscriber::EnvFilter;

use crate::scenario::Scenario;
use crate::scenario::load::{ScenarioError, check_machine, load};
use crate::scenario::machine::{Machine, MachineError};

/// The run is whole.
const WHOLE: u8 = 0;
/// A scenario or an argument makes no sense; clap ends with the same code.
const NO_SENSE: u8 = 2;

/// Models a large fleet of balancers on one machine and measures it.
#[derive(Debug, Parser)]
#[command(name = "stilelead-scale", version, about)]
pub struct Cli {
    /// Form of the logs on standard error; RUST_LOG sets the level.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

/// Form of the logs.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines for people.
    Text,
    /// A JSON object a line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Says whether a scenario makes sense and this machine can carry it, and starts nothing.
    Check {
        #[command(flatten)]
        source: Source,
    },
}

/// A scenario and what goes before it.
#[derive(Debug, Args)]
struct Source {
    /// The scenario, in TOML.
    scenario: PathBuf,
    /// Puts a value before the file's, by its dotted key: fleet.hollow=200, fault.0.at_s=3.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    overrides: Vec<String>,
}

/// Why nothing was started.
#[derive(Debug, thiserror::Error)]
enum StartError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Machine(#[from] MachineError),
}

impl Source {
    fn load(&self) -> Result<Scenario, StartError> {
        let scenario = load(&self.scenario, &self.overrides)?;
        check_machine(&self.scenario, &scenario, &Machine::look()?)?;
        Ok(scenario)
    }
}

/// Runs the program. Exit codes: 0 whole, 1 partial or a run that failed, 2 a scenario or argument that makes no
/// sense.
#[must_use]
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    start_logs(cli.log_format);
    let code = match cli.command {
        Command::Check { source } => source.load().map(|scenario| {
            info!(scenario = scenario.name, "makes sense");
            WHOLE
        }),
    };
    ExitCode::from(code.unwrap_or_else(|error| {
        error!("{error}");
        NO_SENSE
    }))
}

fn start_logs(format: LogFormat) {
    let level = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let logs =
        tracing_subscriber::fmt().with_env_filter(level).with_writer(std::io::stderr).with_target(false);
    match format {
        LogFormat::Text => logs.init(),
        LogFormat::Json => logs.json().init(),
    }
}
