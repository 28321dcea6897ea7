//! `mastictrail load`: runs a seeded workload and measures latency and outcomes at the callers.

pub mod caller;
pub mod plot;
pub mod record;
pub mod report;
pub mod run;
pub mod schedule;
pub mod table;
pub mod workload;

use {
    crate::{cli::BAD_INPUT, client::BoxError, input, output},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    record::Run,
    serde_json::{Value, json},
    std::{net::SocketAddr, path::PathBuf, process::ExitCode},
    workload::Workload,
};

const EXAMPLES: &str = "Examples:
  mastictrail load examples/workloads/wielkopolanka-0.9.ini --compare predictive,two_choices
  mastictrail load WORKLOAD --address 10.20.1.11:8080 --key KEY --json";

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("load")
        .about("Runs a seeded workload and measures latency and outcomes at the callers")
        .arg(
            Arg::new("workload")
                .value_name("WORKLOAD")
                .help("Workload file (INI)")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDRESS")
                .help("Caller addresses of the entry VMs, separated by commas")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .required_unless_present("compare"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("Customer key to send with all requests [default: load-CUSTOMER]"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("POLICY")
                .help("Routing policies to compare on an embedded cluster, separated by commas")
                .value_delimiter(',')
                .conflicts_with("address"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed to use instead of the one in the workload")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("N")
                .help("Number of rounds of a comparison, each with its own seed")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE")
                .help("Writes an HTML report with tables and plots to this file")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON instead of tables")
                .action(ArgAction::SetTrue),
        )
        .after_help(EXAMPLES)
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let sources = match input::read(&input::paths(arguments, "workload")) {
        Ok(sources) => sources,
        Err(faults) => return input::reject(&faults, &[]),
    };
    let Some(source) = sources.first() else {
        return ExitCode::from(BAD_INPUT);
    };
    let mut workload = match workload::parse(&source.file, &source.text) {
        Ok(workload) => workload,
        Err(faults) => return input::reject(&faults, &sources),
    };
    if let Some(&seed) = arguments.get_one("seed") {
        workload.seed = seed;
    }
    match smol::block_on(run_rounds(workload, arguments)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs all rounds and prints or writes their results.
async fn run_rounds(workload: Workload, arguments: &ArgMatches) -> Result<ExitCode, BoxError> {
    let rounds = match arguments.get_many::<String>("compare") {
        Some(policies) => {
            let policies: Vec<_> = policies.map(String::as_str).collect();
            let count = arguments.get_one("rounds").copied().unwrap_or(1);
            compare(&workload, &policies, count).await?
        }
        None => vec![vec![run_remote(&workload, arguments).await?]],
    };
    if let Some(file) = arguments.get_one::<PathBuf>("report") {
        std::fs::write(file, report::html(&workload, &rounds))?;
    }
    if arguments.get_flag("json") {
        return Ok(output::print_json(&to_json(&workload, &rounds)));
    }
    let tables = rounds.iter().flatten().map(table::format_run);
    let text = tables.collect::<Vec<_>>().join("\n") + "\n" + &table::format_ratios(&rounds);
    Ok(output::print(&text))
}

/// Runs the workload once against the entry VMs at the given addresses.
async fn run_remote(workload: &Workload, arguments: &ArgMatches) -> Result<Run, BoxError> {
    let addresses = arguments.get_many::<SocketAddr>("address");
    let endpoints = run::Endpoints {
        caller_addresses: addresses.unwrap_or_default().copied().collect(),
        engine_addresses: Vec::new(),
        key: arguments
            .get_one::<String>("key")
            .map(|key| key.as_str().into()),
    };
    run::run_against(workload, &endpoints).await
}

/// Runs every policy in every round, with one seed per round for all policies.
///
/// Each round starts with the next policy, so that the order favours none of them.
async fn compare(
    workload: &Workload,
    policies: &[&str],
    rounds: u64,
) -> Result<Vec<Vec<Run>>, BoxError> {
    let mut results = Vec::new();
    for round in 0..rounds {
        let workload = Workload {
            seed: workload.seed + round,
            ..workload.clone()
        };
        let mut runs = Vec::new();
        for offset in 0..policies.len() {
            let policy = policies[(offset + round as usize) % policies.len()];
            eprintln!("round {}: {policy}", round + 1);
            runs.push(run::run_embedded(&workload, policy).await?);
        }
        runs.sort_by_key(|run| policies.iter().position(|&policy| *policy == *run.policy));
        results.push(runs);
    }
    Ok(results)
}

fn to_json(workload: &Workload, rounds: &[Vec<Run>]) -> Value {
    let rounds = rounds
        .iter()
        .map(|runs| runs.iter().map(Run::to_json).collect::<Vec<_>>());
    json!({
        "workload": workload.name,
        "seed": workload.seed,
        "load": workload.load,
        "capacity_per_second": workload.capacity(),
        "rounds": rounds.collect::<Vec<_>>(),
    })
}
