//! The command line: its subcommands and exit codes.

use {
    crate::{check, completions, demo, diff, explain, gateway, load, render, serve, status},
    clap::{ArgMatches, Command},
    std::process::ExitCode,
};

/// Exit code of bad input or usage, as `clap` has it; any other failure is [`ExitCode::FAILURE`].
pub const BAD_INPUT: u8 = 2;

const EXIT_CODES: &str = "Exit codes: 0 success, 1 failure, 2 bad input or usage";

/// One subcommand.
struct Subcommand {
    /// Describes its arguments.
    command: fn() -> Command,
    /// Runs it.
    run: fn(&ArgMatches) -> ExitCode,
}

impl Subcommand {
    const fn new(command: fn() -> Command, run: fn(&ArgMatches) -> ExitCode) -> Self {
        Self { command, run }
    }
}

/// Every subcommand, in the order of `--help`.
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

/// Describes the whole command line.
pub fn command() -> Command {
    Command::new("mastictrail")
        .about("Serves generations of unknown length on crowded engines")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .after_help(EXIT_CODES)
        .subcommands(SUBCOMMANDS.iter().map(|subcommand| (subcommand.command)()))
}

/// Reads the command line and runs the subcommand that it names.
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
