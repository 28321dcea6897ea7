//! The command line: subcommands and exit codes.

use {
    crate::{check, completions, demo, diff, explain, gateway, load, render, serve, status},
    clap::{ArgMatches, Command},
    std::process::ExitCode,
};

/// Exit code for bad input or usage, as in `clap`; other failures are [`ExitCode::FAILURE`].
pub const BAD_INPUT: u8 = 2;

const EXIT_CODES: &str = "Exit codes: 0 success, 1 failure, 2 bad input or usage";

/// A subcommand.
struct Subcommand {
    /// Defines its name, help and arguments.
    command: fn() -> Command,
    /// Runs it with the parsed arguments.
    run: fn(&ArgMatches) -> ExitCode,
}

impl Subcommand {
    const fn new(command: fn() -> Command, run: fn(&ArgMatches) -> ExitCode) -> Self {
        Self { command, run }
    }
}

/// All subcommands, in the order in which `--help` lists them.
const SUBCOMMANDS: [Subcommand; 10] = [
    Subcommand::new(serve::command, serve::run),
    Subcommand::new(gateway::command, gateway::run),
    Subcommand::new(check::command, check::run),
    Subcommand::new(diff::command, diff::run),
    Subcommand::new(render::command, render::run),
    Subcommand::new(status::command, status::run),
    Subcommand::new(explain::command, explain::run),
    Subcommand::new(load::command, load::run),
    Subcommand::new(demo::command, demo::run),
    Subcommand::new(completions::command, completions::run),
];

/// Defines the command line with all subcommands.
pub fn command() -> Command {
    Command::new("mastictrail")
        .about("Serves generations of unknown length on crowded engines")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommands(SUBCOMMANDS.iter().map(|subcommand| (subcommand.command)()))
}

/// Parses the command line of the process and runs the subcommand.
pub fn run() -> ExitCode {
    let matches = command().get_matches();
    let Some((name, arguments)) = matches.subcommand() else {
        return ExitCode::from(BAD_INPUT);
    };
    SUBCOMMANDS
        .iter()
        .find(|subcommand| (subcommand.command)().get_name() == name)
        .map_or(ExitCode::from(BAD_INPUT), |subcommand| {
            (subcommand.run)(arguments)
        })
}
