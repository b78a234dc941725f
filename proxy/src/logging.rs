//! The operator's log: one line per event on standard error.

use std::env;
use std::fmt;

use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The environment variable that sets the most detailed level to be logged.
pub const LEVEL_VARIABLE: &str = "PROXY_LOG";

/// Why the log cannot be started.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// The value of `PROXY_LOG` is not a level.
    #[error("{LEVEL_VARIABLE} is invalid: {0:?}; expected off, error, warn, info, debug or trace")]
    InvalidLevel(String),
}

/// The format of a log line: the program's name, the message and the event's fields; the log collector adds
/// the time.
struct LineFormat;

impl<S, N> FormatEvent<S, N> for LineFormat
where
    S: Subscriber + for<'a> LookupSpan<'a>,
    N: for<'a> FormatFields<'a> + 'static,
{
    fn format_event(
        &self,
        context: &FmtContext<'_, S, N>,
        mut writer: Writer<'_>,
        event: &Event<'_>,
    ) -> fmt::Result {
        write!(writer, "stilelead: ")?;
        context.field_format().format_fields(writer.by_ref(), event)?;
        writeln!(writer)
    }
}

/// Starts the log at the level in `PROXY_LOG`, or at `info` if that is not set.
///
/// # Errors
/// The value of `PROXY_LOG` is not a level.
pub fn start() -> Result<(), LoggingError> {
    let level = match env::var(LEVEL_VARIABLE) {
        Ok(name) => name.parse::<LevelFilter>().map_err(|_| LoggingError::InvalidLevel(name))?,
        Err(_) => LevelFilter::INFO,
    };
    // A closed standard error must not end the program: lines that cannot be written are dropped.
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .event_format(LineFormat)
        .init();
    Ok(())
}
