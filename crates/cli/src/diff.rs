//! `diff`: what a publication would change.

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

const EXAMPLES: &str = "Each side is a file, such as a value that was rendered, or a folder of \
                        .ini files.
Exit code 1 means that the new version does not rise, so that it would not come into force.

Examples:
  mastictrail diff published.ini examples/wielkopolanka
  mastictrail diff --json published.ini examples/wielkopolanka";

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("diff")
        .about("Shows what a publication would change")
        .after_help(EXAMPLES)
        .arg(side("old", "OLD", "The deployment in force"))
        .arg(side("new", "NEW", "The deployment to be published"))
        .arg(input::json())
}

fn side(name: &'static str, value: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value)
        .help(help)
        .required(true)
        .value_parser(value_parser!(PathBuf))
}

/// Compares the two deployments.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let read = |name| input::deployment(&input::paths(arguments, name));
    let (old, new) = match (read("old"), read("new")) {
        (Ok(old), Ok(new)) => (old, new),
        (Err(code), _) | (_, Err(code)) => return code,
    };
    let changes = difference::changes(&old, &new);
    let printed = if arguments.get_flag("json") {
        output::print_json(&json!({
            "old_version": old.version,
            "new_version": new.version,
            "changes": changes,
        }))
    } else {
        output::print(&text(&old, &new, &changes))
    };
    if new.version <= old.version && !changes.is_empty() {
        eprintln!(
            "version {} does not rise above {}: it would not come into force",
            new.version, old.version
        );
        return ExitCode::FAILURE;
    }
    printed
}

/// Writes the changes for a person.
fn text(old: &Snapshot, new: &Snapshot, changes: &[Change]) -> String {
    let mut lines = vec![format!(
        "version {} to {}: {}\n",
        old.version,
        new.version,
        output::count(changes.len(), "change")
    )];
    for change in changes {
        let sign = match change.action {
            Action::Added => '+',
            Action::Removed => '-',
            Action::Changed => '~',
        };
        lines.push(format!("{sign} [{} {}]\n", change.kind, change.name));
        lines.extend(change.fields.iter().filter_map(|field| line(change, field)));
    }
    lines.concat()
}

fn line(change: &Change, field: &Field) -> Option<String> {
    let old = field.old.as_deref().unwrap_or("none");
    let new = field.new.as_deref().unwrap_or("none");
    match change.action {
        Action::Added => Some(format!("    {} = {new}\n", field.key)),
        Action::Removed => None,
        Action::Changed => Some(format!("    {}: {old} to {new}\n", field.key)),
    }
}
