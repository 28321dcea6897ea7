//! The `mastictrail` command.

mod check;
mod cli;
mod input;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
