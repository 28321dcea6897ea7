//! `render`: prints the value to publish for a deployment, with its digest and version.

use {
    crate::{input, output},
    clap::{ArgMatches, Command},
    config::Snapshot,
    serde_json::json,
    std::process::ExitCode,
};

const EXAMPLES: &str =
    "The value is printed to standard output, its version and digest to standard error.

Examples:
  mastictrail render examples/wielkopolanka > value.ini
  mastictrail render --json examples/wielkopolanka";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("render")
        .about("Validates the deployment files and prints the value to publish")
        .after_help(EXAMPLES)
        .arg(input::files_argument())
        .arg(input::json_flag())
}

/// Prints the value, or a JSON object that contains it.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let snapshot = match input::read_deployment(&input::paths(arguments, "files")) {
        Ok(snapshot) => snapshot,
        Err(code) => return code,
    };
    if arguments.get_flag("json") {
        return output::print_json(&to_json(&snapshot));
    }
    eprintln!(
        "{} version {}, {} bytes, sha256 {}",
        snapshot.name,
        snapshot.version,
        snapshot.value.len(),
        output::hex(&snapshot.digest),
    );
    output::print(&snapshot.value)
}

fn to_json(snapshot: &Snapshot) -> serde_json::Value {
    json!({
        "name": snapshot.name,
        "version": snapshot.version,
        "sha256": output::hex(&snapshot.digest),
        "bytes": snapshot.value.len(),
        "value": snapshot.value,
    })
}
