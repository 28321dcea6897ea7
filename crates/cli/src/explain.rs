//! `explain`: what happened to one request, from the logs of one or several VMs.

use {
    crate::{cli::BAD_INPUT, input, output},
    clap::{Arg, ArgMatches, Command, value_parser},
    serde_json::{Map, Value, json},
    std::{
        collections::BTreeSet,
        fs::File,
        io::{self, BufRead, BufReader},
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

const EXAMPLES: &str = "The id of a request is in the header x-request-id of its answer. Lines of \
                        other requests
that went on with the same stream are shown too. Lines are put in order by
their time, so clocks of VMs that differ can exchange neighbours.

Examples:
  mastictrail explain 01f3a9 entry-a1.log entry-b2.log
  mastictrail explain --json 01f3a9 *.log";

/// Fields that stand at the head of a line and are not repeated after it.
const HEAD: [&str; 7] = [
    "time", "level", "vm", "event", "message", "request", "reason",
];

/// A line of a log.
type Line = Map<String, Value>;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("explain")
        .about("Tells in order what happened to one request")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .help("Id of the request")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOGS")
                .help("JSON logs of one or several VMs")
                .required(true)
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(input::json())
}

/// Reads the logs and tells the story of the request.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(request) = arguments.get_one::<String>("request") else {
        return ExitCode::from(BAD_INPUT);
    };
    let mut log = Log::default();
    for path in input::paths(arguments, "logs") {
        if let Err(error) = log.read(path) {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(BAD_INPUT);
        }
    }
    if log.malformed > 0 {
        eprintln!(
            "left out what is no JSON object: {}",
            output::count(log.malformed, "line")
        );
    }
    let lines = log.story(request);
    if lines.is_empty() {
        eprintln!("no line names request {request}");
        return ExitCode::FAILURE;
    }
    if arguments.get_flag("json") {
        return output::print_json(&json!(lines));
    }
    let story: Vec<_> = lines.iter().map(|line| tell(request, line)).collect();
    output::print(&story.concat())
}

/// The lines of all logs that were read.
#[derive(Debug, Default)]
struct Log {
    lines: Vec<Line>,
    malformed: usize,
}

impl Log {
    fn read(&mut self, path: &Path) -> io::Result<()> {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            let line = line?;
            if line.is_empty() {
                continue;
            }
            match serde_json::from_slice(&line) {
                Ok(line) => self.lines.push(line),
                Err(_) => self.malformed += 1,
            }
        }
        Ok(())
    }

    /// Returns the lines of a request and of its generations in the order of their time.
    fn story(&self, request: &str) -> Vec<&Line> {
        let is_own =
            |line: &&Line| [text(line, "request"), text(line, "origin")].contains(&request);
        let generations: BTreeSet<_> = self
            .lines
            .iter()
            .filter(is_own)
            .map(|line| text(line, "generation"))
            .filter(|generation| !generation.is_empty())
            .collect();
        let mut lines: Vec<_> = self
            .lines
            .iter()
            .filter(|line| is_own(line) || generations.contains(text(line, "generation")))
            .collect();
        lines.sort_by_key(|line| text(line, "time"));
        lines
    }
}

fn text<'a>(line: &'a Line, key: &str) -> &'a str {
    line.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Writes one line of a log for a person.
fn tell(request: &str, line: &Line) -> String {
    let mut told = format!(
        "{} {} {}: {}\n",
        text(line, "time"),
        text(line, "vm"),
        text(line, "event"),
        text(line, "message")
    );
    if text(line, "request") != request {
        told.push_str(&field(
            "request",
            line.get("request").unwrap_or(&Value::Null),
        ));
    }
    if let Some(reason) = line.get("reason") {
        told.push_str(&field("reason", reason));
    }
    for (key, value) in line {
        if !HEAD.contains(&key.as_str()) {
            told.push_str(&field(key, value));
        }
    }
    told
}

fn field(key: &str, value: &Value) -> String {
    match value {
        Value::Array(items) if !output::is_flat(value) => {
            let items = items
                .iter()
                .map(|item| format!("      {}\n", output::plain(item)));
            format!("    {key}:\n{}", items.collect::<String>())
        }
        _ => format!("    {key}: {}\n", output::plain(value)),
    }
}
