//! `render`: the one value to publish, with its digest and version.

use {
    crate::{input, output},
    clap::{ArgMatches, Command},
    config::Snapshot,
    serde_json::json,
    std::process::ExitCode,
};

const EXAMPLES: &str =
    "The value goes to standard output, its version and digest to standard error.

Examples:
  mastictrail render examples/wielkopolanka > value.ini
  mastictrail render --json examples/wielkopolanka";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("render")
        .about("Prints the one value to publish, after the files have been checked")
        .after_help(EXAMPLES)
        .arg(input::files())
        .arg(input::json())
}

/// Prints the value.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let snapshot = match input::deployment(&input::paths(arguments, "files")) {
        Ok(snapshot) => snapshot,
        Err(code) => return code,
    };
    if arguments.get_flag("json") {
        return output::print_json(&report(&snapshot));
    }
    eprintln!(
        "{} version {}, {} bytes, sha256 {}",
        snapshot.name,
        snapshot.version,
        snapshot.value.len(),
        output::hexadecimal(&snapshot.digest),
    );
    output::print(&snapshot.value)
}

fn report(snapshot: &Snapshot) -> serde_json::Value {
    json!({
        "name": snapshot.name,
        "version": snapshot.version,
        "sha256": output::hexadecimal(&snapshot.digest),
        "bytes": snapshot.value.len(),
        "value": snapshot.value,
    })
}
