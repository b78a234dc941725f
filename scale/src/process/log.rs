//! Reads the last lines of a process's log.

use std::fs::File;
use std::io::{Read, Seek, SeekFrom};
use std::path::Path;

/// Maximum lines that an error message shows.
const SHOWN_LINES: usize = 5;
/// Number of bytes at the end of the log that are searched for these lines.
const TAIL_BYTES: u64 = 4096;

/// The last lines of a log, each indented; empty if the log is empty or cannot be read.
pub(super) fn last_lines(path: &Path) -> String {
    let text = tail(path).unwrap_or_default();
    let text = String::from_utf8_lossy(&text);
    let lines: Vec<&str> = text.lines().collect();
    let first_shown = lines.len().saturating_sub(SHOWN_LINES);
    lines[first_shown..].iter().map(|line| format!("    {line}")).collect::<Vec<_>>().join("\n")
}

fn tail(path: &Path) -> std::io::Result<Vec<u8>> {
    let mut file = File::open(path)?;
    let length = file.metadata()?.len();
    file.seek(SeekFrom::Start(length.saturating_sub(TAIL_BYTES)))?;
    let mut text = Vec::new();
    file.read_to_end(&mut text)?;
    Ok(text)
}
