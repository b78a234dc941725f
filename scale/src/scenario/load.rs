//! Reads a scenario from its file; errors name the file, the key and the reason.

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
        /// Path of the scenario file.
        file: PathBuf,
        /// Cause of the error.
        cause: io::Error,
    },
    /// The file is not valid TOML.
    #[error("{}: line {line}: {reason}", file.display())]
    Syntax {
        /// Path of the scenario file.
        file: PathBuf,
        /// Line number, from 1.
        line: usize,
        /// Message of the parser.
        reason: String,
    },
    /// A key or its value is invalid.
    #[error("{}: {cause}", file.display())]
    Key {
        /// Path of the scenario file.
        file: PathBuf,
        /// Invalid key and the reason.
        cause: KeyError,
    },
}

/// An invalid key or value, and why it is invalid.
#[derive(Debug, Clone, PartialEq, Error)]
#[error("{key}: {reason}")]
pub struct KeyError {
    /// Dotted path of the key.
    pub key: String,
    /// What is wrong with the key or its value.
    pub reason: Reason,
}

impl KeyError {
    /// Creates the error for a key.
    pub fn new(key: impl Into<String>, reason: Reason) -> Self {
        Self { key: key.into(), reason }
    }
}

/// What is wrong with a key or its value.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum Reason {
    /// The key is unknown or missing, or its value has the wrong type.
    #[error("{0}")]
    InvalidForm(String),
    /// `--set` without a value.
    #[error("has no value: expected key=value")]
    NoValue,
    /// A path with an empty component.
    #[error("has an empty name in its path")]
    EmptyName,
    /// The path goes through a value that is neither a table nor an array.
    #[error("is not a table or an array")]
    NotAContainer,
    /// An array entry is not given by its index.
    #[error("an array entry must be given by its index, from 0")]
    NotAnIndex,
    /// A number that is infinite or NaN.
    #[error("is not a finite number")]
    NotFinite,
    /// A number that is too small or too large.
    #[error("is {value}, but must be from {min} to {max}")]
    OutOfRange {
        /// Value that is out of range.
        value: f64,
        /// Smallest allowed value.
        min: f64,
        /// Largest allowed value.
        max: f64,
    },
    /// Shares that do not add up to 1.
    #[error("the shares add up to {sum}, not to 1")]
    ShareSum {
        /// Sum of the shares.
        sum: f64,
    },
    /// A reference to more things than exist, such as a zone number that is too large.
    #[error("is out of range: there are {count} {what}")]
    TooFew {
        /// Plural name of the things, for the message.
        what: &'static str,
        /// Number of existing things, which limits the reference.
        count: u64,
    },
    /// Another invalid value, often one that conflicts with another key.
    #[error("{0}")]
    Invalid(&'static str),
    /// A time after the end of the load.
    #[error("ends at {ends_s} s, but the load ends at {duration_s} s")]
    AfterLoadEnd {
        /// Time of the end, in seconds from the start of the load.
        ends_s: f64,
        /// Duration of the load in seconds.
        duration_s: f64,
    },
    /// The scenario needs more than this machine allows.
    #[error("needs {needed} {unit}, but this machine allows {allowed}")]
    OverMachineLimit {
        /// Amount that the scenario needs.
        needed: u64,
        /// Amount that a run may use.
        allowed: u64,
        /// Unit of both amounts.
        unit: &'static str,
    },
}

/// Reads a scenario file, applies `overrides` (`key=value`) and validates the result.
///
/// # Errors
/// The file cannot be read, or the scenario is invalid.
pub fn load(file: &Path, overrides: &[String]) -> Result<Scenario, ScenarioError> {
    let text = fs::read_to_string(file).map_err(|cause| ScenarioError::Read { file: file.into(), cause })?;
    parse(file, &text, overrides)
}

/// Parses the text of a scenario, applies `overrides` and validates the result; `file` is used in errors only.
///
/// # Errors
/// The scenario is invalid.
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

/// Checks a scenario against the limits of a machine; `file` is used in errors only.
///
/// # Errors
/// The scenario needs more than the machine allows.
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
