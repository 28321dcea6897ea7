//! `explain`: reconstructs what happened to one request from the logs of one or several VMs.

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

const EXAMPLES: &str =
    "The request id is in the x-request-id header of the response. Requests that resumed
the same stream are included. Lines are ordered by timestamp, so neighbouring
lines can be swapped if the clocks of the VMs differ.

Examples:
  mastictrail explain 01f3a9 entry-a1.log entry-b2.log
  mastictrail explain --json 01f3a9 *.log
  mastictrail explain --failed *.log";

/// Lowest status of an answer that counts as failed.
const MIN_ERROR_STATUS: u64 = 400;
/// Fields that are printed first, and left out of the list of other fields.
const HEADLINE_FIELDS: [&str; 7] = [
    "time", "level", "vm", "event", "message", "request", "reason",
];

/// A log line, parsed from its JSON object.
type Record = Map<String, Value>;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("explain")
        .about("Shows in order what happened to one request")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("request")
                .value_name("REQUEST")
                .help("Id of the request; a log file with --failed")
                .required(true),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOGS")
                .help("JSON log files of one or several VMs")
                .required_unless_present("failed")
                .num_args(1..)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("failed")
                .long("failed")
                .help("Groups all failed requests by cause; every argument is a log file")
                .action(ArgAction::SetTrue),
        )
        .arg(input::json_flag())
}

/// Reads the logs and prints the log lines of the request, or the causes of all failures.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(request) = arguments.get_one::<String>("request") else {
        return ExitCode::from(BAD_INPUT);
    };
    let mut paths = input::paths(arguments, "logs");
    if arguments.get_flag("failed") {
        paths.insert(0, Path::new(request));
        return print_failures(&paths);
    }
    let trace = match Trace::read(request, &paths) {
        Ok(trace) => trace,
        Err((path, error)) => {
            eprintln!("{}: {error}", path.display());
            return ExitCode::from(BAD_INPUT);
        }
    };
    if trace.malformed > 0 {
        eprintln!(
            "skipped {} without a valid JSON object",
            output::format_count(trace.malformed, "line")
        );
    }
    let records = trace.records;
    if records.is_empty() {
        eprintln!("no log line mentions request {request}");
        return ExitCode::FAILURE;
    }
    if arguments.get_flag("json") {
        return output::print_json(&json!(records));
    }
    let text: Vec<_> = records
        .iter()
        .map(|record| format_record(request, record))
        .collect();
    output::print(&text.concat())
}

/// The log records of one request.
#[derive(Debug, Default)]
struct Trace {
    /// Its records, ordered by timestamp.
    records: Vec<Record>,
    /// Number of lines that mention it but don't contain a valid JSON object.
    malformed: usize,
}

impl Trace {
    /// Reads the logs twice: for the request's generations, then for the records of all of these.
    ///
    /// Only matching lines are kept in memory, so the logs may be of any length.
    fn read<'a>(request: &str, paths: &[&'a Path]) -> Result<Self, (&'a Path, io::Error)> {
        let mut trace = Self::default();
        let mut ids = BTreeSet::from([request.to_owned()]);
        trace.collect(paths, &ids)?;
        let matching = trace
            .records
            .iter()
            .filter(|record| concerns_request(record, request));
        let generations = matching.map(|record| text_field(record, "generation").to_owned());
        ids.extend(generations.filter(|generation| !generation.is_empty()));
        trace = Self::default();
        trace.collect(paths, &ids)?;
        trace.records.retain(|record| {
            concerns_request(record, request) || ids.contains(text_field(record, "generation"))
        });
        trace
            .records
            .sort_by(|one, other| text_field(one, "time").cmp(text_field(other, "time")));
        Ok(trace)
    }

    /// Adds the records of all lines that contain one of the ids.
    fn collect<'a>(
        &mut self,
        paths: &[&'a Path],
        ids: &BTreeSet<String>,
    ) -> Result<(), (&'a Path, io::Error)> {
        for path in paths {
            self.collect_file(path, ids)
                .map_err(|error| (*path, error))?;
        }
        Ok(())
    }

    fn collect_file(&mut self, path: &Path, ids: &BTreeSet<String>) -> io::Result<()> {
        for line in BufReader::new(File::open(path)?).split(b'\n') {
            let line = line?;
            let line = String::from_utf8_lossy(&line);
            if !ids.iter().any(|id| line.contains(id)) {
                continue;
            }
            match serde_json::from_str(json_object(&line)) {
                Ok(record) => self.records.push(record),
                Err(_) => self.malformed += 1,
            }
        }
        Ok(())
    }
}

/// Cause of a failure: event, verdict or outcome, and reason.
type Cause = (String, String, String);

/// Prints the number of failed requests per cause, the most frequent cause first.
fn print_failures(paths: &[&Path]) -> ExitCode {
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
            if let Ok(record) = serde_json::from_str::<Record>(json_object(&line))
                && let Some(cause) = failure_cause(&record)
            {
                causes
                    .entry(cause)
                    .or_default()
                    .insert(text_field(&record, "request").to_owned());
            }
        }
    }
    let mut causes: Vec<_> = causes.into_iter().collect();
    causes.sort_by_key(|(_, requests)| std::cmp::Reverse(requests.len()));
    let rows = causes.iter().map(|((event, verdict, reason), requests)| {
        let example = requests.iter().next().map_or("", String::as_str);
        format!(
            "{:>6}  {event}  {verdict}  {reason}  (such as {example})\n",
            requests.len()
        )
    });
    output::print(&rows.collect::<String>())
}

/// Returns the cause that an `answer` or `ended` record of a failed request states.
fn failure_cause(record: &Record) -> Option<Cause> {
    let event = text_field(record, "event");
    let status = record.get("status").and_then(Value::as_u64);
    let is_error = status.is_some_and(|status| status >= MIN_ERROR_STATUS);
    let verdict = match event {
        // The verdict of a refusal is never that a target ran the request.
        "answer" if text_field(record, "verdict") == "ran" && !is_error => return None,
        "answer" => text_field(record, "verdict"),
        "ended" if text_field(record, "outcome") == "failed" => "failed",
        _ => return None,
    };
    let reason = match status {
        Some(status) if is_error => format!("status {status}"),
        _ => text_field(record, "reason").to_owned(),
    };
    Some((event.to_owned(), verdict.to_owned(), reason))
}

/// Returns a line from its first `{` on: a log collector may have put a prefix before the object.
fn json_object(line: &str) -> &str {
    line.find('{').map_or(line, |start| &line[start..])
}

/// Returns whether a record is of the request, or of one that resumed its stream.
fn concerns_request(record: &Record, request: &str) -> bool {
    [text_field(record, "request"), text_field(record, "origin")].contains(&request)
}

/// Returns a text field of a record, or an empty text if there is none.
fn text_field<'a>(record: &'a Record, key: &str) -> &'a str {
    record.get(key).and_then(Value::as_str).unwrap_or_default()
}

/// Formats a record for a person: a headline, then one indented line per other field.
fn format_record(request: &str, record: &Record) -> String {
    let mut text = format!(
        "{} {} {}: {}\n",
        text_field(record, "time"),
        text_field(record, "vm"),
        text_field(record, "event"),
        text_field(record, "message")
    );
    if text_field(record, "request") != request {
        text.push_str(&format_field(
            "request",
            record.get("request").unwrap_or(&Value::Null),
        ));
    }
    if let Some(reason) = record.get("reason") {
        text.push_str(&format_field("reason", reason));
    }
    for (key, value) in record {
        if !HEADLINE_FIELDS.contains(&key.as_str()) {
            text.push_str(&format_field(key, value));
        }
    }
    text
}

fn format_field(key: &str, value: &Value) -> String {
    match value {
        Value::Array(items) if !output::is_flat(value) => {
            let items = items
                .iter()
                .map(|item| format!("      {}\n", output::format_inline(item)));
            format!("    {key}:\n{}", items.collect::<String>())
        }
        _ => format!("    {key}: {}\n", output::format_inline(value)),
    }
}
