//! `status`: shows the state of one entry VM or gateway as it reports it.

use {
    crate::{
        cli::BAD_INPUT,
        client::{self, BoxError},
        input, output,
    },
    clap::{Arg, ArgMatches, Command, value_parser},
    hyper::StatusCode,
    serde_json::Value,
    smol::Timer,
    std::{net::SocketAddr, process::ExitCode, time::Duration},
};

const EXAMPLES: &str = "ADDRESS is the admin address in the settings of an entry VM, or the metrics address of a gateway.

Examples:
  mastictrail status 10.20.1.11:8082
  mastictrail status 10.20.1.12:7201
  mastictrail status --json 10.20.1.11:8082";

/// Longest wait for the response.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Hint for a response that is no status.
const WRONG_ADDRESS: &str =
    "is this the admin address of an entry VM or the metrics address of a gateway?";
/// Columns per level of indentation.
const INDENT_COLUMNS: usize = 2;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows the state of one entry VM or gateway: version, targets, queues")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .help(
                    "IP address and port of the admin listener, or of a gateway's metrics listener",
                )
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(input::json_flag())
}

/// Requests the state of the VM and prints it.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(&address) = arguments.get_one::<SocketAddr>("address") else {
        return ExitCode::from(BAD_INPUT);
    };
    let status = smol::block_on(smol::future::or(fetch_status(address), async {
        Timer::after(TIMEOUT).await;
        Err("no response within 5 s".into())
    }));
    match status {
        Ok(status) if arguments.get_flag("json") => output::print_json(&status),
        Ok(status) => {
            let mut text = String::new();
            write_value(&mut text, &status, 0);
            output::print(&text)
        }
        Err(error) => {
            eprintln!("{address}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn fetch_status(address: SocketAddr) -> Result<Value, BoxError> {
    let response = client::get(address, "/status")
        .await
        .map_err(|error| format!("no response: {error}"))?;
    if response.status != StatusCode::OK {
        let status = response.status;
        return Err(format!("responded with HTTP status {status}; {WRONG_ADDRESS}").into());
    }
    let status = serde_json::from_slice(&response.body);
    status.map_err(|error| format!("responded without JSON ({error}); {WRONG_ADDRESS}").into())
}

/// Appends the fields or items of a value as indented lines.
fn write_value(text: &mut String, value: &Value, depth: usize) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                write_field(text, key, value, depth);
            }
        }
        Value::Array(items) => {
            for item in items {
                write_field(text, "-", item, depth);
            }
        }
        scalar => text.push_str(&output::format_inline(scalar)),
    }
}

fn write_field(text: &mut String, key: &str, value: &Value, depth: usize) {
    text.push_str(&" ".repeat(depth * INDENT_COLUMNS));
    text.push_str(key);
    if output::is_flat(value) {
        let inline = output::format_inline(value);
        text.push(' ');
        text.push_str(if inline.is_empty() { "none" } else { &inline });
        text.push('\n');
        return;
    }
    text.push('\n');
    write_value(text, value, depth + 1);
}
