//! `completions`: prints a shell completion script.

use {
    crate::{cli, output},
    clap::{Arg, ArgMatches, Command, value_parser},
    clap_complete::Shell,
    std::process::ExitCode,
};

const EXAMPLES: &str = "Examples:
  mastictrail completions bash > /etc/bash_completion.d/mastictrail
  mastictrail completions zsh > \"${fpath[1]}/_mastictrail\"";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("completions")
        .about("Prints a shell completion script")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("shell")
                .value_name("SHELL")
                .help("Shell that the script is for")
                .required(true)
                .value_parser(value_parser!(Shell)),
        )
}

/// Prints the script.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(&shell) = arguments.get_one::<Shell>("shell") else {
        return ExitCode::from(cli::BAD_INPUT);
    };
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut cli::command(), "mastictrail", &mut script);
    output::print(&String::from_utf8_lossy(&script))
}
