//! `diff`: shows what publishing a deployment would change.

use {
    crate::{input, output},
    clap::{Arg, ArgMatches, Command, value_parser},
    config::{
        Snapshot,
        difference::{self, Action, Change, Field},
    },
    serde_json::json,
    std::{path::PathBuf, process::ExitCode},
};

const EXAMPLES: &str =
    "OLD and NEW are each a file, such as the output of `render`, or a folder of \
                        .ini files.
Exit code 1 means that the new version is not higher than the old one: it would not take effect.

Examples:
  mastictrail diff published.ini examples/wielkopolanka
  mastictrail diff --json published.ini examples/wielkopolanka";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what publishing a deployment would change")
        .after_help(EXAMPLES)
        .arg(deployment_argument("old", "OLD", "Current deployment"))
        .arg(deployment_argument("new", "NEW", "Deployment to publish"))
        .arg(input::json_flag())
}

fn deployment_argument(name: &'static str, value_name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value_name)
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Compares both deployments and prints the changes.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let read = |name| input::read_deployment(&input::paths(arguments, name));
    let (old, new) = match (read("old"), read("new")) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    let changes = difference::changes(&old, &new);
    let code = if arguments.get_flag("json") {
        output::print_json(&json!({
            "old_version": old.version,
            "new_version": new.version,
            "changes": changes,
        }))
    } else {
        output::print(&format_changes(&old, &new, &changes))
    };
    if new.version <= old.version && !changes.is_empty() {
        eprintln!(
            "version {} is not higher than {}: the new deployment would not take effect",
            new.version, old.version
        );
        return ExitCode::FAILURE;
    }
    code
}

/// Formats the changes as lines of text.
fn format_changes(old: &Snapshot, new: &Snapshot, changes: &[Change]) -> String {
    let mut lines = vec![format!(
        "version {} to {}: {}\n",
        old.version,
        new.version,
        output::format_count(changes.len(), "change")
    )];
    for change in changes {
        let sign = match change.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        lines.push(format!("{sign} [{} {}]\n", change.kind, change.name));
        lines.extend(
            change
                .fields
                .iter()
                .filter_map(|field| format_field(change, field)),
        );
    }
    lines.concat()
}

/// Formats one field of a change; the fields of a removed item are left out.
fn format_field(change: &Change, field: &Field) -> Option<String> {
    let old = field.old.as_deref().unwrap_or("none");
    let new = field.new.as_deref().unwrap_or("none");
    match change.action {
        Action::Added => Some(format!("    {} = {new}\n", field.key)),
        Action::Removed => None,
        Action::Changed => Some(format!("    {}: {old} to {new}\n", field.key)),
    }
}
