//! Where the balancer program is.

use std::env;
use std::path::{Path, PathBuf};

use super::error::ProcessError;

/// Variable of the environment that names another program.
pub const PROGRAM_VARIABLE: &str = "STILELEAD_BALANCER";
/// File name of the program.
const PROGRAM: &str = "stilelead";
/// Folder of test executables; the programs stand in the one above.
const TESTS_FOLDER: &str = "deps";

/// The balancer program: the one that `STILELEAD_BALANCER` names, or else `stilelead` beside this executable.
///
/// # Errors
/// There is no such file.
pub fn find_program() -> Result<PathBuf, ProcessError> {
    let path = env::var_os(PROGRAM_VARIABLE).map_or_else(beside, PathBuf::from);
    if path.is_file() { Ok(path) } else { Err(ProcessError::NoProgram { path }) }
}

/// Where the program stands if it was built along with this executable.
fn beside() -> PathBuf {
    let executable = env::current_exe().unwrap_or_default();
    let folder = executable.parent().unwrap_or(Path::new(""));
    let is_test = folder.file_name().is_some_and(|name| name == TESTS_FOLDER);
    let folder = if is_test { folder.parent().unwrap_or(folder) } else { folder };
    folder.join(PROGRAM)
}
