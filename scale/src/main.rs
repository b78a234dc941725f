//! The command-line program of the fleet model.

use std::process::ExitCode;

fn main() -> ExitCode {
    stilelead_scale::cli::main()
}
