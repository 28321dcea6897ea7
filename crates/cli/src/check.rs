//! `check`: validates deployment files together, or the settings of a process.

use {
    crate::{cli::BAD_INPUT, input, output},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    config::{Fault, Snapshot, Source, parse, settings},
    serde_json::json,
    std::{path::PathBuf, process::ExitCode},
};

const EXAMPLES: &str = "Examples:
  mastictrail check examples/wielkopolanka
  mastictrail check --json examples/association/*.ini
  mastictrail check --settings entry-a1.ini --deployment examples/wielkopolanka";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("check")
        .about("Validates deployment files together, before they are published")
        .after_help(EXAMPLES)
        .arg(input::files())
        .arg(input::json())
        .arg(
            Arg::new("deployment")
                .long("deployment")
                .value_name("PATH")
                .help("Compares the settings with this deployment, a file or a folder")
                .requires("settings")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("settings")
                .long("settings")
                .help("Reads each file as the settings of a process instead")
                .action(ArgAction::SetTrue),
        )
}

/// Checks the files and shows every fault at once.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let is_json = arguments.get_flag("json");
    let sources = match input::read(&input::paths(arguments, "files")) {
        Ok(sources) => sources,
        Err(faults) => return reject(&faults, &[], is_json),
    };
    if arguments.get_flag("settings") {
        let deployment = match deployment(arguments) {
            Ok(deployment) => deployment,
            Err(code) => return code,
        };
        return check_settings(&sources, deployment.as_ref(), is_json);
    }
    match parse::deployment(&sources) {
        Ok(snapshot) => accept(&snapshot, is_json),
        Err(faults) => reject(&faults, &sources, is_json),
    }
}

/// Reads the deployment that settings are compared with, if one is given.
fn deployment(arguments: &ArgMatches) -> Result<Option<Snapshot>, ExitCode> {
    let paths = input::paths(arguments, "deployment");
    if paths.is_empty() {
        return Ok(None);
    }
    input::deployment(&paths).map(Some)
}

fn settings_faults(source: &Source, deployment: Option<&Snapshot>) -> Vec<Fault> {
    match (settings::parse(&source.file, &source.text), deployment) {
        (Ok(settings), Some(deployment)) => settings::check(source, &settings, deployment),
        (Ok(_), None) => Vec::new(),
        (Err(faults), _) => faults,
    }
}

fn check_settings(sources: &[Source], deployment: Option<&Snapshot>, is_json: bool) -> ExitCode {
    let faults: Vec<_> = sources
        .iter()
        .flat_map(|source| settings_faults(source, deployment))
        .collect();
    if !faults.is_empty() {
        return reject(&faults, sources, is_json);
    }
    if is_json {
        return output::print_json(&json!({"valid": true, "faults": []}));
    }
    output::print(&format!(
        "valid: {}\n",
        output::count(sources.len(), "file")
    ))
}

fn accept(snapshot: &Snapshot, is_json: bool) -> ExitCode {
    if is_json {
        return output::print_json(&json!({
            "valid": true,
            "faults": [],
            "name": snapshot.name,
            "version": snapshot.version,
            "bytes": snapshot.value.len(),
        }));
    }
    output::print(&format!(
        "valid: {} version {}, {} bytes: {} data centres, {} VMs, {} services, {} models, \
         {} targets, {} customers\n",
        snapshot.name,
        snapshot.version,
        snapshot.value.len(),
        snapshot.data_centres.len(),
        snapshot.vms.len(),
        snapshot.services.len(),
        snapshot.models.len(),
        snapshot.targets.len(),
        snapshot.customers.len(),
    ))
}

fn reject(faults: &[Fault], sources: &[Source], is_json: bool) -> ExitCode {
    if !is_json {
        return input::reject(faults, sources);
    }
    output::print_json(&json!({"valid": false, "faults": faults}));
    ExitCode::from(BAD_INPUT)
}
