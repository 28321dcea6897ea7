//! The `mastictrail` command.

mod check;
mod cli;
mod input;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
