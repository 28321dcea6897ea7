//! The `mastictrail` command.

mod check;
mod cli;
mod client;
mod completions;
mod demo;
mod diff;
mod embedded;
mod explain;
mod input;
mod output;
mod render;
mod serve;
mod status;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::run()
}
