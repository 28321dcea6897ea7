//! `mastictrail demo`: the whole path in one process.

use {
    crate::{
        client::{self, BoxError, Response},
        embedded::{CUSTOMER_KEY, Cluster, MODEL, MODEL_SERVICE, OPERATION, PLAIN_SERVICE, Spec},
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    fakes::{engine, service},
    serde_json::{Value, json},
    std::{net::SocketAddr, process::ExitCode},
};

const DRAFT: &str = "Draft the batch sheet for a run of pierogi. #tokens=48";
const LOOKUP: &str = "Does the allergen swap hold? #lookup #tokens=6";
const RELEASE: &str = "{\"recipe\": \"bigos\", \"lot\": 7}";
const OPERATION_NAME: &str = "release-bigos-7";

type Check = Result<(), BoxError>;

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs the whole path in one process, with embedded stand-ins")
        .arg(
            Arg::new("once")
                .long("once")
                .help("Serves one draft, one lookup and one release, then exits")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("Address for callers of the first entry VM [default: 127.0.0.1:8080, any free one with --once]")
                .value_parser(value_parser!(SocketAddr)),
        )
        .after_help("Examples:\n  mastictrail demo\n  mastictrail demo --once")
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let once = arguments.get_flag("once");
    let listen = arguments.get_one::<SocketAddr>("listen").copied();
    let caller = match (listen, once) {
        (None, false) => Some(config::settings::Listen::default().caller),
        _ => listen,
    };
    let plan = Spec {
        caller,
        ..Spec::default()
    };
    match smol::block_on(serve(plan, once)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn serve(plan: Spec, once: bool) -> Check {
    let path = Cluster::start(plan).await?;
    path.wait_until_ready().await?;
    if !once {
        print_examples(&path);
        crate::serve::stop_signal().await?;
        path.stop().await;
        return Ok(());
    }
    check_draft(&path).await?;
    check_lookup(&path).await?;
    check_release(&path).await?;
    check_generations(&path).await
}

fn print_examples(path: &Cluster) {
    let caller = path.caller_addresses[0];
    let key = format!("-H 'Authorization: Bearer {CUSTOMER_KEY}'");
    println!("Two entry VMs, two engines, one plain service and a platform run in this process.");
    println!("A draft, token by token:");
    println!(
        "  curl -N {key} http://{caller}/{MODEL_SERVICE}/v1/completions -d '{{\"model\": \"{MODEL}\", \"prompt\": \"Draft a batch sheet\", \"stream\": true}}'"
    );
    println!("A lookup, in one body:");
    println!(
        "  curl {key} http://{caller}/{MODEL_SERVICE}/v1/completions -d '{{\"model\": \"{MODEL}\", \"class\": \"lookup\", \"prompt\": \"Does the swap hold? #lookup\"}}'"
    );
    println!("A release, at most once, however often it is sent with this ticket:");
    println!("  ticket=$(curl -s {key} -X POST http://{caller}/v1/tickets | cut -d'\"' -f4)");
    println!(
        "  curl {key} -H \"x-ticket: $ticket\" http://{caller}/{PLAIN_SERVICE}/releases -d '{RELEASE}'"
    );
    println!("What one entry VM believes:");
    println!("  curl http://{}/status", path.admin_addresses[0]);
    println!("Stop with Ctrl-C.");
}

/// Compares a streamed draft with what the engine made.
async fn check_draft(path: &Cluster) -> Check {
    let answer = complete(
        path,
        json!({"model": MODEL, "prompt": DRAFT, "stream": true}),
    )
    .await?;
    let mut text = String::new();
    for event in answer.events() {
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
    }
    println!("draft: {text}");
    compare("draft", &text, &made(DRAFT))
}

/// Compares a lookup's body with what the engine made.
async fn check_lookup(path: &Cluster) -> Check {
    let prompt = json!({"model": MODEL, "class": "lookup", "prompt": LOOKUP});
    let answer: Value = serde_json::from_slice(&complete(path, prompt).await?.body)?;
    let text = answer["choices"][0]["text"].as_str().unwrap_or("");
    println!("lookup: {text}");
    compare("lookup", text, &made(LOOKUP))
}

/// Sends a release and counts its runs.
async fn check_release(path: &Cluster) -> Check {
    let headers = [
        ("authorization", authorization()),
        ("x-ticket", ticket(path).await?),
        (OPERATION, OPERATION_NAME.to_owned()),
    ];
    let url = format!("/{PLAIN_SERVICE}/releases");
    let answer = client::post(path.caller_addresses[0], &url, &headers, RELEASE).await?;
    let value: Value = serde_json::from_slice(&answer.body)?;
    println!("release: {value}");
    let digest = service::digest(RELEASE.as_bytes());
    compare("release", value["digest"].as_str().unwrap_or(""), &digest)?;
    let runs: Value =
        serde_json::from_slice(&client::get(path.service_address, "/test/runs").await?.body)?;
    compare(
        "runs of the release",
        &runs["runs"][OPERATION_NAME].to_string(),
        "1",
    )
}

/// Asks for the right to have one call run.
async fn ticket(path: &Cluster) -> Result<String, BoxError> {
    let headers = [("authorization", authorization())];
    let answer = client::post(path.caller_addresses[0], "/v1/tickets", &headers, "").await?;
    let value: Value = serde_json::from_slice(&answer.body)?;
    Ok(value["tickets"][0].as_str().unwrap_or("").to_owned())
}

/// Counts the generations that the engines ran.
async fn check_generations(path: &Cluster) -> Check {
    let generations = client::counts(&path.engine_addresses).await?.generations;
    compare("number of generations", &generations.to_string(), "2")
}

async fn complete(path: &Cluster, prompt: Value) -> Result<Response, BoxError> {
    let url = format!("/{MODEL_SERVICE}/v1/completions");
    let headers = [("authorization", authorization())];
    client::post(
        path.caller_addresses[0],
        &url,
        &headers,
        &prompt.to_string(),
    )
    .await
}

fn authorization() -> String {
    format!("Bearer {CUSTOMER_KEY}")
}

fn made(prompt: &str) -> String {
    let seed = engine::Settings::default().seed;
    engine::output_tokens(seed, prompt, u32::MAX).concat()
}

fn compare(what: &str, got: &str, wanted: &str) -> Check {
    if got == wanted {
        return Ok(());
    }
    Err(format!("the {what} differs: got `{got}`, wanted `{wanted}`").into())
}
