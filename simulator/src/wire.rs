//! Parses the values of the line protocol: the fields of a line, outcomes, phases and message bytes.

use std::str::FromStr;
use std::time::Duration;

use stilelead_decision::interface::{Outcome, Phase, SettingsError};
use thiserror::Error;

use crate::setup::SetupError;

/// Why a line of the simulator's input cannot be accepted.
#[derive(Debug, Error)]
pub enum LineError {
    /// The line is not valid UTF-8.
    #[error("not UTF-8 text")]
    NotUtf8,
    /// The line ends before the named field, or the field is empty.
    #[error("value {field} is missing")]
    MissingField {
        /// The field's name.
        field: &'static str,
    },
    /// A field does not have the expected format or is not a known name.
    #[error("value {field} is malformed: {value:?}")]
    InvalidField {
        /// The field's name.
        field: &'static str,
        /// The field's content, truncated.
        value: String,
    },
    /// The line has more fields than its message.
    #[error("more values than the message has")]
    ExtraFields,
    /// The protocol has no message of this name.
    #[error("unknown message {0:?}")]
    UnknownMessage(String),
    /// A line that must be within a batch is outside of one, or the reverse; holds the start of the error
    /// text.
    #[error("{0} outside a batch")]
    OutsideBatch(&'static str),
    /// The input has ended before the end of a batch.
    #[error("the input ends within a batch")]
    InputEndsInBatch,
    /// A batch has an earlier time than the previous one.
    #[error("the clock goes back")]
    ClockWentBack,
    /// An event has arrived before any `TO` line has selected its instance.
    #[error("no TO line before the first event")]
    NoTargetInstance,
    /// An event is for an instance that has not received a `START` message.
    #[error("instance {0} has not started")]
    InstanceNotStarted(u32),
    /// An update refers to a list that has not been sent.
    #[error("list {0} has not been sent")]
    UnknownList(u32),
    /// Another message has interrupted the entries of a list.
    #[error("list {list} lacks {missing} of its entries")]
    IncompleteList {
        /// The list's number.
        list: u32,
        /// The number of entries that are missing.
        missing: usize,
    },
    /// An entry has arrived although no list expects one.
    #[error("an entry outside a list")]
    EntryOutsideList,
    /// A new request has the id of one that has not ended or still has attempts in flight.
    #[error("the id of request {0} is still in use")]
    DuplicateRequest(String),
    /// The settings cannot be parsed.
    #[error("setup: {0}")]
    Setup(#[from] SetupError),
    /// The balancer rejects the settings.
    #[error("setup: {0}")]
    Settings(#[from] SettingsError),
}

/// The tab-separated fields of a line, parsed from left to right.
pub struct Fields<'a> {
    /// The fields that have not been parsed yet; `None` at the end of the line.
    rest: Option<&'a str>,
}

impl<'a> Fields<'a> {
    /// The fields of a line after the name of its message; `None` if there are none.
    pub fn new(rest: Option<&'a str>) -> Self {
        Self { rest }
    }

    /// Takes the next field, which must not be empty.
    pub fn text(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        let rest = self.rest.ok_or(LineError::MissingField { field })?;
        let (value, rest) = match rest.split_once('\t') {
            Some((value, rest)) => (value, Some(rest)),
            None => (rest, None),
        };
        self.rest = rest;
        if value.is_empty() { Err(LineError::MissingField { field }) } else { Ok(value) }
    }

    /// Takes the next field, or `None` if it is marked as absent by `-`.
    pub fn optional(&mut self, field: &'static str) -> Result<Option<&'a str>, LineError> {
        Ok(Some(self.text(field)?).filter(|&value| value != "-"))
    }

    /// Parses the next field as a number.
    pub fn number<T: FromStr>(&mut self, field: &'static str) -> Result<T, LineError> {
        let value = self.text(field)?;
        value.parse().map_err(|_| invalid_field(field, value))
    }

    /// Parses the next field as a duration in seconds.
    pub fn seconds(&mut self, field: &'static str) -> Result<Duration, LineError> {
        let value = self.text(field)?;
        parse_seconds(value).ok_or_else(|| invalid_field(field, value))
    }

    /// Parses the next field as a duration in seconds that may be absent.
    pub fn optional_seconds(&mut self, field: &'static str) -> Result<Option<Duration>, LineError> {
        let value = self.optional(field)?;
        value.map(|value| parse_seconds(value).ok_or_else(|| invalid_field(field, value))).transpose()
    }

    /// Parses the next field as `1` (true) or `0` (false).
    pub fn flag(&mut self, field: &'static str) -> Result<bool, LineError> {
        match self.text(field)? {
            "1" => Ok(true),
            "0" => Ok(false),
            value => Err(invalid_field(field, value)),
        }
    }

    /// Takes the rest of the line as one field.
    pub fn remainder(&mut self, field: &'static str) -> Result<&'a str, LineError> {
        self.rest.take().ok_or(LineError::MissingField { field })
    }

    /// Checks that no field is left.
    pub fn expect_end(&self) -> Result<(), LineError> {
        if self.rest.is_some() { Err(LineError::ExtraFields) } else { Ok(()) }
    }
}

/// The error for a field with this content, which is truncated to 80 characters.
pub fn invalid_field(field: &'static str, value: &str) -> LineError {
    LineError::InvalidField { field, value: value.chars().take(80).collect() }
}

/// Parses a duration in seconds; `None` if it is not a valid one.
fn parse_seconds(value: &str) -> Option<Duration> {
    Duration::try_from_secs_f64(value.parse().ok()?).ok()
}

/// Parses the outcome of an attempt or a health check.
pub fn parse_outcome(value: &str) -> Result<Outcome, LineError> {
    Ok(match value {
        "GOOD" => Outcome::Good,
        "BAD" => Outcome::Error,
        "FULL" => Outcome::Refused,
        "LATE" => Outcome::TimedOut,
        "NOCONN" => Outcome::ConnectFailed,
        "RST" => Outcome::Reset,
        "CXL" => Outcome::Withdrawn,
        "NOP" => Outcome::NotSent,
        _ => return Err(invalid_field("outcome", value)),
    })
}

/// Parses the state of an upstream's process.
pub fn parse_phase(value: &str) -> Result<Phase, LineError> {
    Ok(match value {
        "Ready" => Phase::Ready,
        "Terminating" => Phase::Draining,
        "Gone" => Phase::Gone,
        _ => return Err(invalid_field("phase", value)),
    })
}

/// Parses the bytes of a peer message from hexadecimal digits; `-` stands for an empty message.
pub fn parse_hex(value: &str) -> Result<Vec<u8>, LineError> {
    if value == "-" {
        return Ok(Vec::new());
    }
    let digit = |byte: u8| (byte as char).to_digit(16).map(|digit| digit as u8);
    value
        .as_bytes()
        .chunks(2)
        .map(|pair| match *pair {
            [high, low] => Some(digit(high)? << 4 | digit(low)?),
            _ => None,
        })
        .collect::<Option<_>>()
        .ok_or_else(|| invalid_field("content", value))
}
