//! The configuration of a balancer: the file and the environment variables that override it.

use std::env;
use std::fs::File;
use std::io::Read;
use std::net::SocketAddr;
use std::path::PathBuf;

use serde::Deserialize;
use serde_json::value::RawValue;
use stilelead_decision::interface::SettingsError;
use stilelead_simulator::setup::{self, ParsedSettings, SetupError};
use thiserror::Error;

use crate::discovery::Update;

/// Why the configuration cannot be used.
#[derive(Debug, Error)]
pub enum ConfigError {
    /// `PROXY_CONFIG` is not set.
    #[error("PROXY_CONFIG is not set: it names the configuration file")]
    PathNotSet,
    /// The file cannot be read.
    #[error("cannot read the configuration {path}: {cause}")]
    Read {
        /// The path of the file.
        path: PathBuf,
        /// The error of the operating system, or of text that is not UTF-8.
        cause: std::io::Error,
    },
    /// The file is larger than the limit.
    #[error("the configuration {path} is larger than {MAX_FILE_BYTES} bytes")]
    TooLarge {
        /// The path of the file.
        path: PathBuf,
    },
    /// The file is not JSON, or lacks a field, or a field has the wrong type.
    #[error("the configuration is malformed: {0}")]
    Json(#[from] serde_json::Error),
    /// The settings object cannot be read.
    #[error("the settings are malformed: {0}")]
    Setup(#[from] SetupError),
    /// The settings can be read, but the decisions do not accept them.
    #[error("the settings are invalid: {0}")]
    Settings(#[from] SettingsError),
    /// A value outside the settings object is not accepted.
    #[error("{name} is invalid: {value:?}; expected {expected}")]
    InvalidValue {
        /// The key in the file.
        name: &'static str,
        /// The value that was given.
        value: String,
        /// A description of the accepted values.
        expected: String,
    },
}

/// The structure of the configuration file.
#[derive(Deserialize)]
struct ConfigFile {
    /// The name of this balancer instance; `PROXY_NAME` takes precedence.
    #[serde(default)]
    name: String,
    /// The address that clients connect to; `PROXY_LISTEN` takes precedence.
    listen: Option<String>,
    /// The address of discovery; `PROXY_DISCOVERY` takes precedence, except in a reload.
    discovery: Option<String>,
    /// The seed of the random choices in hexadecimal; empty for 0.
    #[serde(default)]
    seed: String,
    /// Resource limits of the process.
    #[serde(default)]
    limits: Limits,
    /// The list of upstreams to start with.
    #[serde(rename = "known")]
    initial_list: Option<Update>,
    /// The settings object, parsed separately.
    settings: Box<RawValue>,
}

/// Resource limits of the process.
#[derive(Deserialize)]
#[serde(default)]
struct Limits {
    /// The number of file descriptors that the process may have open.
    #[serde(rename = "sockets")]
    max_descriptors: usize,
    /// The memory that the process may use, in megabytes.
    memory_mb: f64,
}

impl Default for Limits {
    fn default() -> Self {
        Self { max_descriptors: DEFAULT_MAX_DESCRIPTORS, memory_mb: DEFAULT_MEMORY_MB }
    }
}

/// The configuration of one balancer.
#[derive(Debug)]
pub struct Config {
    /// The name of this balancer instance.
    pub name: String,
    /// The address that clients connect to.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The seed of the random choices.
    pub seed: u64,
    /// The number of file descriptors that the process may have open.
    pub max_descriptors: usize,
    /// The memory that the process may use, in whole megabytes.
    pub memory_mb: usize,
    /// The list of upstreams to start with, which may be out of date.
    pub initial_list: Option<Update>,
    /// The settings object, parsed.
    pub parsed_settings: ParsedSettings,
}

impl Config {
    /// Reads the file that `PROXY_CONFIG` names; `PROXY_NAME`, `PROXY_LISTEN` and `PROXY_DISCOVERY` take
    /// precedence over the file.
    ///
    /// # Errors
    /// The file is missing or invalid.
    pub fn from_environment() -> Result<Self, ConfigError> {
        Self::parse(&read_file()?, |name| env::var(name).ok())
    }

    /// Reads the file again after it was replaced. Here the discovery address in the file takes precedence
    /// over `PROXY_DISCOVERY`, because the environment is still that of the program's start.
    ///
    /// # Errors
    /// The file is missing or invalid.
    pub fn reread() -> Result<Self, ConfigError> {
        let text = read_file()?;
        let file_discovery = serde_json::from_str::<ConfigFile>(&text)?.discovery;
        Self::parse(&text, |name| match name {
            "PROXY_DISCOVERY" => file_discovery.clone().or_else(|| env::var(name).ok()),
            _ => env::var(name).ok(),
        })
    }

    /// Parses the text of a configuration; `variable` looks up environment variables.
    ///
    /// # Errors
    /// The text is not a valid configuration.
    pub fn parse(text: &str, variable: impl Fn(&str) -> Option<String>) -> Result<Self, ConfigError> {
        let file: ConfigFile = serde_json::from_str(text)?;
        let parsed_settings = setup::parse_settings(file.settings.get())?;
        parsed_settings.settings.validate()?;
        let listen = variable("PROXY_LISTEN").or(file.listen);
        let discovery = variable("PROXY_DISCOVERY").or(file.discovery);
        if file.limits.max_descriptors < MIN_DESCRIPTORS {
            let expected = format!("at least {MIN_DESCRIPTORS}");
            return Err(invalid_value("limits.sockets", &file.limits.max_descriptors.to_string(), expected));
        }
        let memory_mb = file.limits.memory_mb;
        if !memory_mb.is_finite() || memory_mb < MIN_MEMORY_MB {
            let expected = format!("at least {MIN_MEMORY_MB}");
            return Err(invalid_value("limits.memory_mb", &memory_mb.to_string(), expected));
        }
        Ok(Self {
            name: variable("PROXY_NAME").unwrap_or(file.name),
            listen: parse_address("listen", listen)?,
            discovery: parse_address("discovery", discovery)?,
            seed: if file.seed.is_empty() {
                0
            } else {
                u64::from_str_radix(&file.seed, 16).map_err(|_| {
                    invalid_value("seed", &file.seed, "a hexadecimal number of at most 64 bits".to_owned())
                })?
            },
            max_descriptors: file.limits.max_descriptors,
            memory_mb: memory_mb as usize,
            initial_list: file.initial_list,
            parsed_settings,
        })
    }
}

/// The number of file descriptors that the process may have open if the file does not set `limits.sockets`.
const DEFAULT_MAX_DESCRIPTORS: usize = 1024;
/// The memory in megabytes that the process may use if the file does not set `limits.memory_mb`.
const DEFAULT_MEMORY_MB: f64 = 192.0;
/// The smallest limit of memory in megabytes that is accepted: with less, none would be left for peers.
const MIN_MEMORY_MB: f64 = 16.0;
/// The largest configuration file that is accepted. It includes the list of upstreams, so that the limit is
/// that of a discovery message.
const MAX_FILE_BYTES: u64 = 8 << 20;
/// The smallest limit of file descriptors that is accepted: with fewer, none would be left for clients.
const MIN_DESCRIPTORS: usize = 48;

/// Reads the file that `PROXY_CONFIG` names.
fn read_file() -> Result<String, ConfigError> {
    let path = PathBuf::from(env::var_os("PROXY_CONFIG").ok_or(ConfigError::PathNotSet)?);
    let mut text = String::new();
    let result = File::open(&path).and_then(|file| file.take(MAX_FILE_BYTES + 1).read_to_string(&mut text));
    match result {
        Ok(size) if size as u64 > MAX_FILE_BYTES => Err(ConfigError::TooLarge { path }),
        Ok(_) => Ok(text),
        Err(cause) => Err(ConfigError::Read { path, cause }),
    }
}

fn parse_address(name: &'static str, value: Option<String>) -> Result<SocketAddr, ConfigError> {
    let value = value.unwrap_or_default();
    value.parse().map_err(|_| invalid_value(name, &value, "an IP address and port".to_owned()))
}

fn invalid_value(name: &'static str, value: &str, expected: String) -> ConfigError {
    ConfigError::InvalidValue { name, value: value.to_owned(), expected }
}

#[cfg(test)]
pub(crate) mod tests;
