//! The operator's log: one line an event on standard error.

use std::env;
use std::fmt;

use thiserror::Error;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Subscriber};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields};
use tracing_subscriber::registry::LookupSpan;

/// The environment variable that names the most detailed level to be written.
pub const LEVEL_VARIABLE: &str = "PROXY_LOG";

/// The log cannot be written as asked.
#[derive(Debug, Error)]
pub enum LoggingError {
    /// `PROXY_LOG` names no level.
    #[error("{LEVEL_VARIABLE} makes no sense: {0:?} is none of off, error, warn, info, debug, trace")]
    Level(String),
}

/// A line is the program's name, the message and the event's fields; whoever collects it adds the time.
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

/// Starts the log at the level that `PROXY_LOG` names, `info` where it names none.
///
/// # Errors
/// It names no level.
pub fn start() -> Result<(), LoggingError> {
    let level = match env::var(LEVEL_VARIABLE) {
        Ok(name) => name.parse::<LevelFilter>().map_err(|_| LoggingError::Level(name))?,
        Err(_) => LevelFilter::INFO,
    };
    // A log that nobody reads any more must not end the program, so that what cannot be written is dropped.
    tracing_subscriber::fmt()
        .with_max_level(level)
        .with_ansi(false)
        .with_writer(std::io::stderr)
        .log_internal_errors(false)
        .event_format(LineFormat)
        .init();
    Ok(())
}
