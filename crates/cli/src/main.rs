//! The `mastictrail` command.

use std::process::ExitCode;

fn main() -> ExitCode {
    mastictrail_cli::cli::run()
}
