//! `explain`: what happened to one request, from the logs of one or several VMs.

use {
    crate::{cli::BAD_INPUT, input, output},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    serde_json::{Map, Value, json},
    std::{
        collections::{BTreeMap, BTreeSet},
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
  mastictrail explain --json 01f3a9 *.log
  mastictrail explain --failed *.log";

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
                .required_unless_present("failed")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("failed")
                .long("failed")
                .help(
                    "Groups all requests of the logs that failed by cause; all arguments are logs",
                )
                .action(ArgAction::SetTrue),
        )
        .arg(input::json())
}

/// Reads the logs and tells the story of the request.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(request) = arguments.get_one::<String>("request") else {
        return ExitCode::from(BAD_INPUT);
    };
    let mut paths = input::paths(arguments, "logs");
    if arguments.get_flag("failed") {
        paths.insert(0, Path::new(request));
        return group(&paths);
    }
    let story = match Story::read(request, &paths) {
        Ok(story) => story,
        Err((path, error)) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(BAD_INPUT);
        }
    };
    if story.malformed > 0 {
        eprintln!(
            "left out what is no JSON object: {}",
            output::count(story.malformed, "line")
        );
    }
    let lines = story.lines;
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

/// What the logs hold of one request.
#[derive(Debug, Default)]
struct Story {
    /// Its lines in the order of their time.
    lines: Vec<Line>,
    /// Lines that name it and are no JSON objects.
    malformed: usize,
}

impl Story {
    /// Reads logs of any length twice, for the request's generations and then for its lines.
    fn read<'a>(request: &str, paths: &[&'a Path]) -> Result<Self, (&'a Path, io::Error)> {
        let mut story = Self::default();
        let mut names = BTreeSet::from([request.to_owned()]);
        story.search(paths, &names)?;
        let own = story.lines.iter().filter(|line| is_own(line, request));
        let generations = own.map(|line| text(line, "generation").to_owned());
        names.extend(generations.filter(|generation| !generation.is_empty()));
        story = Self::default();
        story.search(paths, &names)?;
        story
            .lines
            .retain(|line| is_own(line, request) || names.contains(text(line, "generation")));
        story
            .lines
            .sort_by(|one, other| text(one, "time").cmp(text(other, "time")));
        Ok(story)
    }

    /// Keeps each line in which one of the names stands.
    fn search<'a>(
        &mut self,
        paths: &[&'a Path],
        names: &BTreeSet<String>,
    ) -> Result<(), (&'a Path, io::Error)> {
        for path in paths {
            self.search_file(path, names)
                .map_err(|error| (*path, error))?;
        }
        Ok(())
    }

    fn search_file(&mut self, path: &Path, names: &BTreeSet<String>) -> io::Result<()> {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if !names.iter().any(|name| line.contains(name)) {
                continue;
            }
            match serde_json::from_str(json_part(&line)) {
                Ok(line) => self.lines.push(line),
                Err(_) => self.malformed += 1,
            }
        }
        Ok(())
    }
}

/// A cause of failures: event, verdict or outcome, and reason.
type Cause = (String, String, String);

/// Prints the failed requests of logs by cause, the most frequent first.
fn group(paths: &[&Path]) -> ExitCode {
    let mut causes: BTreeMap<Cause, BTreeSet<String>> = BTreeMap::new();
    for path in paths {
        let file = match File::open(path) {
            Ok(file) => file,
            Err(error) => {
                eprintln!("{}: {error}", path.display());
                return ExitCode::from(BAD_INPUT);
            }
        };
        for line in BufReader::new(file).split(b'\n') {
            let line = match line {
                Ok(line) => line,
                Err(error) => {
                    eprintln!("{}: {error}", path.display());
                    return ExitCode::from(BAD_INPUT);
                }
            };
            let line = String::from_utf8_lossy(&line);
            if let Ok(line) = serde_json::from_str::<Line>(json_part(&line))
                && let Some(cause) = cause(&line)
            {
                causes
                    .entry(cause)
                    .or_default()
                    .insert(text(&line, "request").to_owned());
            }
        }
    }
    let mut causes: Vec<_> = causes.into_iter().collect();
    causes.sort_by_key(|(_, requests)| std::cmp::Reverse(requests.len()));
    let rows = causes.iter().map(|((event, kind, reason), requests)| {
        let example = requests.iter().next().map_or("", String::as_str);
        format!(
            "{:>6}  {event}  {kind}  {reason}  (such as {example})\n",
            requests.len()
        )
    });
    output::print(&rows.collect::<String>())
}

/// Returns why a request failed, if the line is the last word on one.
fn cause(line: &Line) -> Option<Cause> {
    let event = text(line, "event");
    let kind = match event {
        "answer" => text(line, "verdict"),
        "ended" if text(line, "outcome") == "failed" => "failed",
        _ => return None,
    };
    Some((
        event.to_owned(),
        kind.to_owned(),
        text(line, "reason").to_owned(),
    ))
}

/// Returns the JSON object of a line that may have another program's words before it.
fn json_part(line: &str) -> &str {
    line.find('{').map_or(line, |start| &line[start..])
}

/// Returns whether a line is of the request, or of one that went on with its stream.
fn is_own(line: &Line, request: &str) -> bool {
    [text(line, "request"), text(line, "origin")].contains(&request)
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
