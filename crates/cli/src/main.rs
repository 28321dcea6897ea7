//! The `mastictrail` command.

mod check;
mod cli;
mod client;
mod demo;
mod embedded;
mod input;
mod serve;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
