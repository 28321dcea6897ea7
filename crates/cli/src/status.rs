//! `status`: what one entry VM believes.

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

const EXAMPLES: &str = "ADDRESS is the admin address of the VM's settings.

Examples:
  mastictrail status 10.20.1.11:8082
  mastictrail status --json 10.20.1.11:8082";

/// Longest time for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Columns of an indentation.
const INDENT: usize = 2;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("status")
        .about("Shows what one entry VM believes: version, members, targets, queues")
        .after_help(EXAMPLES)
        .arg(
            Arg::new("address")
                .value_name("ADDRESS")
                .help("IP address and port of the VM's admin listener")
                .required(true)
                .value_parser(value_parser!(SocketAddr)),
        )
        .arg(input::json())
}

/// Asks the VM and shows its answer.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let Some(&address) = arguments.get_one::<SocketAddr>("address") else {
        return ExitCode::from(BAD_INPUT);
    };
    let answer = smol::block_on(smol::future::or(fetch(address), async {
        Timer::after(TIMEOUT).await;
        Err("no answer within 5 s".into())
    }));
    match answer {
        Ok(answer) if arguments.get_flag("json") => output::print_json(&answer),
        Ok(answer) => {
            let mut text = String::new();
            write(&mut text, &answer, 0);
            output::print(&text)
        }
        Err(error) => {
            eprintln!("{address}: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn fetch(address: SocketAddr) -> Result<Value, BoxError> {
    let answer = client::get(address, "/status").await?;
    if answer.status != StatusCode::OK {
        return Err(format!("answered {}", answer.status).into());
    }
    Ok(serde_json::from_slice(&answer.body)?)
}

/// Writes a value as indented lines.
fn write(text: &mut String, value: &Value, depth: usize) {
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
        scalar => text.push_str(&output::plain(scalar)),
    }
}

fn write_field(text: &mut String, key: &str, value: &Value, depth: usize) {
    text.push_str(&" ".repeat(depth * INDENT));
    text.push_str(key);
    if output::is_flat(value) {
        text.push(' ');
        text.push_str(&output::plain(value));
        text.push('\n');
        return;
    }
    text.push('\n');
    write(text, value, depth + 1);
}
