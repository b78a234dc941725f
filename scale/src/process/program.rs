//! Where the balancer program is.

use std::env;
use std::path::{Path, PathBuf};

use super::error::ProcessError;

/// Variable of the environment that names another program.
pub const PROGRAM_PATH_VARIABLE: &str = "STILELEAD_BALANCER";
/// File name of the program.
const PROGRAM_FILE_NAME: &str = "stilelead";
/// Folder of test executables; the programs stand in the one above.
const TEST_EXECUTABLES_DIRECTORY: &str = "deps";

/// The balancer program: the one that `STILELEAD_BALANCER` names, or else `stilelead` beside this executable.
///
/// # Errors
/// There is no such file.
pub fn find_balancer_program() -> Result<PathBuf, ProcessError> {
    let path = env::var_os(PROGRAM_PATH_VARIABLE).map_or_else(default_program_path, PathBuf::from);
    if path.is_file() { Ok(path) } else { Err(ProcessError::NoProgram { path }) }
}

/// Where the program stands if it was built along with this executable.
fn default_program_path() -> PathBuf {
    let executable = env::current_exe().unwrap_or_default();
    let directory = executable.parent().unwrap_or(Path::new(""));
    let is_test = directory.file_name().is_some_and(|name| name == TEST_EXECUTABLES_DIRECTORY);
    let directory = if is_test { directory.parent().unwrap_or(directory) } else { directory };
    directory.join(PROGRAM_FILE_NAME)
}
