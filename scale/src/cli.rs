//! The command line: arguments, logs and exit codes.

use std::fs;
use std::io::{self, IsTerminal, Write};
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand, ValueEnum};
use serde::Serialize;
use tokio::runtime::Builder;
use tracing::{error, info};
use tracing_subscriber::EnvFilter;

use crate::cover::{CoverageError, CoverageModel};
use crate::interrupt::Interrupt;
use crate::process::{ProcessError, find_balancer_program};
use crate::run::{Options, run};
use crate::scenario::Scenario;
use crate::scenario::load::{ScenarioError, check_machine, load};
use crate::scenario::machine::{Machine, MachineError};
use crate::slopes::{self, SlopeKind, SlopeScenarioError};
use crate::table::{self, Table};

/// Exit code of a run that completed.
const EXIT_COMPLETE: u8 = 0;
/// Exit code of a run that ended early or failed.
const EXIT_PARTIAL: u8 = 1;
/// Exit code for an invalid scenario or argument; clap exits with the same code.
const EXIT_INVALID_INPUT: u8 = 2;

/// Models a large fleet of balancers on one machine and measures it.
#[derive(Debug, Parser)]
#[command(name = "stilelead-scale", version, about)]
pub struct Cli {
    /// Format of the logs on standard error; RUST_LOG sets the level.
    #[arg(long, global = true, value_enum, default_value_t = LogFormat::Text)]
    log_format: LogFormat,
    #[command(subcommand)]
    command: Command,
}

/// Format of the logs.
#[derive(Debug, Clone, Copy, ValueEnum)]
enum LogFormat {
    /// Lines for people.
    Text,
    /// One JSON object per line.
    Json,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Runs a scenario and prints its measurements.
    Run {
        #[command(flatten)]
        source: ScenarioArgs,
        /// Seed of all random numbers; takes precedence over the scenario's.
        #[arg(long)]
        seed: Option<u64>,
        /// File to which the report is written, in JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measures how cost grows with size: takes figures at four sizes or more and fits a line through them.
    Slopes {
        /// Measures only this slope; may be given several times.
        #[arg(long, value_enum)]
        only: Vec<SlopeKind>,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// File to which the report is written, in JSON.
        #[arg(long)]
        report: Option<PathBuf>,
    },
    /// Measures how evenly a service's balancers spread calls over its endpoints when some know an outdated count.
    Cover {
        /// Balancer instances that send calls.
        #[arg(long = "copies", value_name = "COPIES", default_value_t = 610)]
        balancers: u32,
        /// Instance count that the balancers with a number below it were started with; the others know the true count.
        #[arg(long, default_value_t = 610)]
        old_count: u32,
        /// Number of ready endpoints.
        #[arg(long, default_value_t = 610)]
        endpoints: u32,
        /// Calls that each balancer sends.
        #[arg(long, default_value_t = 500)]
        calls: u32,
        /// Seed of all random numbers.
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Checks whether a scenario is valid and fits this machine, without starting anything.
    Check {
        #[command(flatten)]
        source: ScenarioArgs,
    },
}

/// A scenario file and the overrides of its values.
#[derive(Debug, Args)]
struct ScenarioArgs {
    /// Scenario file, in TOML.
    scenario: PathBuf,
    /// Overrides a value of the file by its dotted key: fleet.hollow=200, fault.0.at_s=3.
    #[arg(long = "set", value_name = "KEY=VALUE")]
    overrides: Vec<String>,
}

/// Why a command could not run, or why its results could not be written.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    Scenario(#[from] ScenarioError),
    #[error(transparent)]
    Machine(#[from] MachineError),
    #[error(transparent)]
    Slope(#[from] SlopeScenarioError),
    #[error(transparent)]
    Process(#[from] ProcessError),
    #[error(transparent)]
    Cover(#[from] CoverageError),
    #[error("cannot start the async runtime: {0}")]
    Runtime(#[source] io::Error),
    #[error("--report {}: cannot be written: {cause}", file.display())]
    ReportFile { file: PathBuf, cause: io::Error },
    #[error("{}: cannot be written: {cause}", file.display())]
    Write { file: PathBuf, cause: io::Error },
    #[error("cannot write to standard output: {0}")]
    Stdout(#[source] io::Error),
    #[error("cannot serialize the report as JSON: {0}")]
    Json(#[from] serde_json::Error),
}

impl CommandError {
    fn exit_code(&self) -> u8 {
        match self {
            Self::Scenario(_) | Self::Slope(_) | Self::Cover(_) | Self::ReportFile { .. } => {
                EXIT_INVALID_INPUT
            }
            _ => EXIT_PARTIAL,
        }
    }
}

impl ScenarioArgs {
    fn load(&self) -> Result<Scenario, CommandError> {
        let scenario = load(&self.scenario, &self.overrides)?;
        check_machine(&self.scenario, &scenario, &Machine::detect()?)?;
        Ok(scenario)
    }
}

/// Runs the program. Exit codes: 0 for a complete run, 1 for a partial or failed one, 2 for an invalid scenario or
/// argument.
#[must_use]
pub fn main() -> ExitCode {
    let cli = Cli::parse();
    init_logging(cli.log_format);
    let exit_code = cli.command.execute();
    ExitCode::from(exit_code.unwrap_or_else(|error| {
        error!("{error}");
        error.exit_code()
    }))
}

impl Command {
    fn execute(self) -> Result<u8, CommandError> {
        match self {
            Self::Check { source } => {
                let scenario = source.load()?;
                info!(scenario = scenario.name, "scenario is valid");
                Ok(EXIT_COMPLETE)
            }
            Self::Run { source, seed, report } => {
                let mut scenario = source.load()?;
                scenario.seed = seed.unwrap_or(scenario.seed);
                run_scenario(&scenario, report.as_deref())
            }
            Self::Cover { balancers, old_count, endpoints, calls, seed } => {
                let model = CoverageModel {
                    balancers,
                    outdated_count: old_count,
                    endpoints,
                    calls_per_balancer: calls,
                };
                let distribution = serde_json::to_string(&model.measure(seed)?)?;
                writeln!(io::stdout(), "{distribution}").map_err(CommandError::Stdout)?;
                Ok(EXIT_COMPLETE)
            }
            Self::Slopes { only, seed, report } => {
                let kinds = if only.is_empty() { SlopeKind::value_variants().to_vec() } else { only };
                run_slopes(&kinds, seed, report.as_deref())
            }
        }
    }
}

fn run_scenario(scenario: &Scenario, file: Option<&Path>) -> Result<u8, CommandError> {
    check_report_writable(file)?;
    let options = Options { program: find_balancer_program()?, progress: true };
    let report = block_on(async {
        let interrupt = Interrupt::on_signals().map_err(CommandError::Runtime)?;
        Ok(run(scenario, &options, interrupt.interrupted()).await)
    })?;
    write_results(&table::report_table(&report), &report, file)?;
    Ok(if report.partial { EXIT_PARTIAL } else { EXIT_COMPLETE })
}

fn run_slopes(kinds: &[SlopeKind], seed: u64, file: Option<&Path>) -> Result<u8, CommandError> {
    check_report_writable(file)?;
    let options = Options { program: find_balancer_program()?, progress: true };
    let report = block_on(async {
        let interrupt = Interrupt::on_signals().map_err(CommandError::Runtime)?;
        Ok(slopes::measure(kinds, seed, &options, &interrupt).await?)
    })?;
    write_results(&slopes::slopes_table(&report), &report, file)?;
    Ok(if report.partial { EXIT_PARTIAL } else { EXIT_COMPLETE })
}

/// Checks that the report file can be written, so that a run does not fail only after its measurements.
fn check_report_writable(file: Option<&Path>) -> Result<(), CommandError> {
    let Some(file) = file else { return Ok(()) };
    let open_result = fs::OpenOptions::new().create(true).append(true).open(file);
    open_result.map(drop).map_err(|cause| CommandError::ReportFile { file: file.into(), cause })
}

fn block_on<T>(work: impl Future<Output = Result<T, CommandError>>) -> Result<T, CommandError> {
    let runtime = Builder::new_multi_thread().enable_all().build().map_err(CommandError::Runtime)?;
    let result = runtime.block_on(work);
    runtime.shutdown_background();
    result
}

/// Prints the table and writes the report file. The file is written even if printing fails.
fn write_results(table: &Table, report: &impl Serialize, file: Option<&Path>) -> Result<(), CommandError> {
    let print_result = write!(io::stdout(), "{table}").map_err(CommandError::Stdout);
    if let Some(file) = file {
        let mut text = serde_json::to_vec_pretty(report)?;
        text.push(b'\n');
        fs::write(file, text).map_err(|cause| CommandError::Write { file: file.into(), cause })?;
    }
    print_result
}

fn init_logging(format: LogFormat) {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let subscriber = tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_ansi(io::stderr().is_terminal())
        .with_writer(io::stderr)
        .with_target(false);
    match format {
        LogFormat::Text => subscriber.init(),
        LogFormat::Json => subscriber.json().init(),
    }
}
