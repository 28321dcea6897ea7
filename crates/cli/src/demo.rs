//! `mastictrail demo`: an embedded cluster that serves example requests.

use {
    crate::{
        client::{self, BoxError, Response},
        embedded::{
            CUSTOMER_KEY, Cluster, MODEL, MODEL_SERVICE, OPERATION_HEADER, PLAIN_SERVICE, Spec,
        },
    },
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    fakes::{engine, service},
    serde_json::{Value, json},
    std::{net::SocketAddr, process::ExitCode},
};

/// Prompt of the draft; `#tokens=N` sets the length of the fake engine's output.
const DRAFT_PROMPT: &str = "Draft the batch sheet for a run of pierogi. #tokens=48";
/// Prompt of the lookup.
const LOOKUP_PROMPT: &str = "Does the allergen swap hold? #lookup #tokens=6";
/// Body of the release, a call of the plain service.
const RELEASE_BODY: &str = "{\"recipe\": \"bigos\", \"lot\": 7}";
/// Operation id under which the fake plain service counts the runs of the release.
const OPERATION_ID: &str = "release-bigos-7";

type CheckResult = Result<(), BoxError>;

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("demo")
        .about("Runs a cluster in one process, with fake engines, plain service and platform")
        .arg(
            Arg::new("once")
                .long("once")
                .help("Sends one draft, one lookup and one release, checks the responses and exits")
                .action(ArgAction::SetTrue),
        )
        .arg(
            Arg::new("listen")
                .long("listen")
                .value_name("ADDRESS")
                .help("Caller address of the first entry VM [default: 127.0.0.1:8080, a free one with --once]")
                .value_parser(value_parser!(SocketAddr)),
        )
        .after_help("Examples:\n  mastictrail demo\n  mastictrail demo --once")
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let once = arguments.get_flag("once");
    let listen = arguments.get_one::<SocketAddr>("listen").copied();
    let caller_address = match (listen, once) {
        (None, false) => Some(config::settings::Listen::default().caller),
        _ => listen,
    };
    let spec = Spec {
        caller_address,
        ..Spec::default()
    };
    match smol::block_on(serve(spec, once)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Starts the cluster, then runs the checks once or serves until a signal.
async fn serve(spec: Spec, once: bool) -> CheckResult {
    let cluster = Cluster::start(spec).await?;
    cluster.wait_until_ready().await?;
    if !once {
        print_examples(&cluster);
        crate::serve::wait_for_stop_signal().await?;
        cluster.stop().await;
        return Ok(());
    }
    check_draft(&cluster).await?;
    check_lookup(&cluster).await?;
    check_release(&cluster).await?;
    check_generations(&cluster).await
}

fn print_examples(cluster: &Cluster) {
    let caller = cluster.caller_addresses[0];
    let key = format!("-H 'Authorization: Bearer {CUSTOMER_KEY}'");
    println!(
        "Two entry VMs, two fake engines, a fake plain service and a fake platform run in this process."
    );
    println!("A draft, streamed token by token:");
    println!(
        "  curl -N {key} http://{caller}/{MODEL_SERVICE}/v1/completions -d '{{\"model\": \"{MODEL}\", \"prompt\": \"Draft a batch sheet\", \"stream\": true}}'"
    );
    println!("A lookup, as one response body:");
    println!(
        "  curl {key} http://{caller}/{MODEL_SERVICE}/v1/completions -d '{{\"model\": \"{MODEL}\", \"class\": \"lookup\", \"prompt\": \"Does the swap hold? #lookup\"}}'"
    );
    println!("A release, which runs at most once, however often it is sent with this ticket:");
    println!("  ticket=$(curl -s {key} -X POST http://{caller}/v1/tickets | cut -d'\"' -f4)");
    println!(
        "  curl {key} -H \"x-ticket: $ticket\" http://{caller}/{PLAIN_SERVICE}/releases -d '{RELEASE_BODY}'"
    );
    println!("The state of one entry VM:");
    println!("  curl http://{}/status", cluster.admin_addresses[0]);
    println!("Stop with Ctrl-C.");
}

/// Sends a streamed draft and compares it with the expected output of the fake engine.
async fn check_draft(cluster: &Cluster) -> CheckResult {
    let response = send_completion(
        cluster,
        json!({"model": MODEL, "prompt": DRAFT_PROMPT, "stream": true}),
    )
    .await?;
    let mut text = String::new();
    for event in response.events() {
        text.push_str(event["choices"][0]["text"].as_str().unwrap_or(""));
    }
    println!("draft: {text}");
    expect_equal("draft", &text, &expected_text(DRAFT_PROMPT))
}

/// Sends a lookup and compares its text with the expected output of the fake engine.
async fn check_lookup(cluster: &Cluster) -> CheckResult {
    let body = json!({"model": MODEL, "class": "lookup", "prompt": LOOKUP_PROMPT});
    let completion: Value = serde_json::from_slice(&send_completion(cluster, body).await?.body)?;
    let text = completion["choices"][0]["text"].as_str().unwrap_or("");
    println!("lookup: {text}");
    expect_equal("lookup", text, &expected_text(LOOKUP_PROMPT))
}

/// Sends a release with a ticket and checks that the fake plain service ran it once.
async fn check_release(cluster: &Cluster) -> CheckResult {
    let headers = [
        ("authorization", authorization()),
        ("x-ticket", request_ticket(cluster).await?),
        (OPERATION_HEADER, OPERATION_ID.to_owned()),
    ];
    let url = format!("/{PLAIN_SERVICE}/releases");
    let response = client::post(cluster.caller_addresses[0], &url, &headers, RELEASE_BODY).await?;
    let value: Value = serde_json::from_slice(&response.body)?;
    println!("release: {value}");
    let digest = service::digest(RELEASE_BODY.as_bytes());
    expect_equal("release", value["digest"].as_str().unwrap_or(""), &digest)?;
    let runs: Value = serde_json::from_slice(
        &client::get(cluster.service_address, "/test/runs")
            .await?
            .body,
    )?;
    expect_equal(
        "runs of the release",
        &runs["runs"][OPERATION_ID].to_string(),
        "1",
    )
}

/// Requests a ticket, with which a call runs at most once.
async fn request_ticket(cluster: &Cluster) -> Result<String, BoxError> {
    let headers = [("authorization", authorization())];
    let response = client::post(cluster.caller_addresses[0], "/v1/tickets", &headers, "").await?;
    let value: Value = serde_json::from_slice(&response.body)?;
    Ok(value["tickets"][0].as_str().unwrap_or("").to_owned())
}

/// Checks that the fake engines ran two generations: the draft and the lookup.
async fn check_generations(cluster: &Cluster) -> CheckResult {
    let generations = client::engine_counters(&cluster.engine_addresses)
        .await?
        .generations;
    expect_equal("number of generations", &generations.to_string(), "2")
}

/// Sends a completion request of the model service.
async fn send_completion(cluster: &Cluster, body: Value) -> Result<Response, BoxError> {
    let url = format!("/{MODEL_SERVICE}/v1/completions");
    let headers = [("authorization", authorization())];
    client::post(
        cluster.caller_addresses[0],
        &url,
        &headers,
        &body.to_string(),
    )
    .await
}

fn authorization() -> String {
    format!("Bearer {CUSTOMER_KEY}")
}

/// Returns the text that a fake engine generates for a prompt.
fn expected_text(prompt: &str) -> String {
    let seed = engine::Settings::default().seed;
    engine::output_tokens(seed, prompt, u32::MAX).concat()
}

/// Returns an error that names `what` if the actual value is not the expected one.
fn expect_equal(what: &str, actual: &str, expected: &str) -> CheckResult {
    if actual == expected {
        return Ok(());
    }
    Err(format!("the {what} differs: got `{actual}`, expected `{expected}`").into())
}
