//! Reads a scenario from its file and names file, key and reason of what makes no sense.

use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use serde_path_to_error::Segment;
use thiserror::Error;
use toml::{Table, Value};

use super::Scenario;
use super::machine::Machine;
use super::overrides::Override;

/// Why a scenario cannot be run.
#[derive(Debug, Error)]
pub enum ScenarioError {
    /// The file cannot be read.
    #[error("{}: cannot be read: {cause}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        cause: io::Error,
    },
    /// The file is no TOML.
    #[error("{}: line {line}: {reason}", file.display())]
    Syntax {
        /// The file.
        file: PathBuf,
        /// The line, from 1.
        line: usize,
        /// What the parser says.
        reason: String,
    },
    /// A key or its value makes no sense.
    #[error("{}: {cause}", file.display())]
    Key {
        /// The file.
        file: PathBuf,
        /// The key and the reason.
        cause: KeyError,
    },
}

/// A key that makes no sense, and why.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{key}: {reason}")]
pub struct KeyError {
    /// The dotted path of the key.
    pub key: String,
    /// Why.
    pub reason: Reason,
}

impl KeyError {
    /// The error of a key.
    pub fn new(key: impl Into<String>, reason: Reason) -> Self {
        Self { key: key.into(), reason }
    }
}

/// What is wrong with a key.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Reason {
    /// The key is unknown or missing, or its value is of another type.
    #[error("{0}")]
    InvalidForm(String),
    /// `--set` without a value.
    #[error("has no value: it is set by key=value")]
    NoValue,
    /// A path with an empty name in it.
    #[error("has an empty name in its path")]
    EmptyName,
    /// The path goes through a number or a string.
    #[error("holds no keys")]
    NotAContainer,
    /// An array's entry is named by its number.
    #[error("an entry of an array is named by its number, from 0")]
    NotAnIndex,
    /// A number without a value.
    #[error("is not a finite number")]
    NotFinite,
    /// A number that is too small or too large.
    #[error("is {value}, but must be from {min} to {max}")]
    OutOfRange {
        /// What stands there.
        value: f64,
        /// The least that makes sense.
        min: f64,
        /// The most that makes sense.
        max: f64,
    },
    /// Shares that are not a whole.
    #[error("the shares add up to {sum}, not to 1")]
    ShareSum {
        /// Their sum.
        sum: f64,
    },
    /// A place or entry that does not exist.
    #[error("is out of range: there are {count} {what}")]
    TooFew {
        /// What is counted.
        what: &'static str,
        /// How many there are.
        count: u64,
    },
    /// Two keys do not fit together.
    #[error("{0}")]
    Invalid(&'static str),
    /// After the end of the load.
    #[error("ends at {ends_s} s, after the load's {duration_s} s")]
    AfterLoadEnd {
        /// When it ends, in seconds.
        ends_s: f64,
        /// The seconds of load.
        duration_s: f64,
    },
    /// More than this machine has.
    #[error("needs {needed} {unit}, and this machine allows {allowed}")]
    OverMachineLimit {
        /// What the scenario needs.
        needed: u64,
        /// What may be used.
        allowed: u64,
        /// Of what.
        unit: &'static str,
    },
}

/// Reads a scenario, puts `overrides` (`key=value`) before what the file says, and checks its sense.
///
/// # Errors
/// The file cannot be read, or it makes no sense.
pub fn load(file: &Path, overrides: &[String]) -> Result<Scenario, ScenarioError> {
    let text = fs::read_to_string(file).map_err(|cause| ScenarioError::Read { file: file.into(), cause })?;
    parse(file, &text, overrides)
}

/// Does the same with a text; `file` is named in errors only.
///
/// # Errors
/// The text makes no sense.
pub fn parse(file: &Path, text: &str, overrides: &[String]) -> Result<Scenario, ScenarioError> {
    let with_file = |cause| ScenarioError::Key { file: file.into(), cause };
    let mut table: Table = text.parse().map_err(|error| syntax(file, text, &error))?;
    for text in overrides {
        Override::parse(text).and_then(|change| change.apply(&mut table)).map_err(with_file)?;
    }
    let scenario = deserialize(table).map_err(with_file)?;
    scenario.check().map_err(with_file)?;
    Ok(scenario)
}

/// Checks a scenario against what a machine allows; `file` is named in errors only.
///
/// # Errors
/// The scenario needs more.
pub fn check_machine(file: &Path, scenario: &Scenario, machine: &Machine) -> Result<(), ScenarioError> {
    machine.check(scenario).map_err(|cause| ScenarioError::Key { file: file.into(), cause })
}

fn syntax(file: &Path, text: &str, error: &toml::de::Error) -> ScenarioError {
    let start = error.span().map_or(0, |span| span.start);
    let line = text.bytes().take(start).filter(|byte| *byte == b'\n').count() + 1;
    ScenarioError::Syntax { file: file.into(), line, reason: error.message().to_owned() }
}

fn deserialize(table: Table) -> Result<Scenario, KeyError> {
    serde_path_to_error::deserialize(Value::Table(table)).map_err(|error| {
        let components: Vec<String> = error.path().iter().filter_map(path_component).collect();
        let reason = error.inner().message().to_owned();
        let key = if components.is_empty() { "top level".to_owned() } else { components.join(".") };
        KeyError::new(key, Reason::InvalidForm(reason))
    })
}

fn path_component(segment: &Segment) -> Option<String> {
    match segment {
        Segment::Seq { index } => Some(index.to_string()),
        Segment::Map { key } => Some(key.clone()),
        Segment::Enum { variant } => Some(variant.clone()),
        Segment::Unknown => None,
    }
}
