//! Finds the balancer program.

use std::env;
use std::path::{Path, PathBuf};

use super::error::ProcessError;

/// Environment variable with the path of another balancer program.
pub const PROGRAM_PATH_VARIABLE: &str = "STILELEAD_BALANCER";
/// File name of the balancer program.
const PROGRAM_FILE_NAME: &str = "stilelead";
/// Directory of test executables; the programs are in its parent directory.
const TEST_EXECUTABLES_DIRECTORY: &str = "deps";

/// Path of the balancer program: the value of `STILELEAD_BALANCER`, or else `stilelead` next to this
/// executable.
///
/// # Errors
/// There is no such file.
pub fn find_balancer_program() -> Result<PathBuf, ProcessError> {
    let path = env::var_os(PROGRAM_PATH_VARIABLE).map_or_else(default_program_path, PathBuf::from);
    if path.is_file() { Ok(path) } else { Err(ProcessError::NoProgram { path }) }
}

/// Path of the program if it was built together with this executable.
fn default_program_path() -> PathBuf {
    let executable = env::current_exe().unwrap_or_default();
    let directory = executable.parent().unwrap_or(Path::new(""));
    let is_test = directory.file_name().is_some_and(|name| name == TEST_EXECUTABLES_DIRECTORY);
    let directory = if is_test { directory.parent().unwrap_or(directory) } else { directory };
    directory.join(PROGRAM_FILE_NAME)
}
