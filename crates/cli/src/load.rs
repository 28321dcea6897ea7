//! `mastictrail load`: drives a system by a seeded workload and measures what callers see.

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

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("load")
        .about("Drives a system by a seeded workload and measures what callers see")
        .arg(
            Arg::new("workload")
                .value_name("WORKLOAD")
                .help("The workload, an INI file")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("address")
                .long("address")
                .value_name("ADDRESS")
                .help("Entry VMs to ask, separated by commas")
                .value_delimiter(',')
                .value_parser(value_parser!(SocketAddr))
                .required_unless_present("compare"),
        )
        .arg(
            Arg::new("key")
                .long("key")
                .value_name("KEY")
                .help("Customer key that all requests bear [default: load-CUSTOMER]"),
        )
        .arg(
            Arg::new("compare")
                .long("compare")
                .value_name("POLICY")
                .help("Policies to run in turns on an embedded system, separated by commas")
                .value_delimiter(',')
                .conflicts_with("address"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .help("Seed in place of that of the workload")
                .value_parser(value_parser!(u64)),
        )
        .arg(
            Arg::new("rounds")
                .long("rounds")
                .value_name("N")
                .help("Rounds of a comparison; each has a seed of its own")
                .default_value("1")
                .value_parser(value_parser!(u64).range(1..)),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("FILE")
                .help("Writes a page with tables and plots")
                .value_parser(value_parser!(PathBuf)),
        )
        .arg(
            Arg::new("json")
                .long("json")
                .help("Prints JSON in place of tables")
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
    match smol::block_on(measure(workload, arguments)) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("error: {error}");
            ExitCode::FAILURE
        }
    }
}

async fn measure(workload: Workload, arguments: &ArgMatches) -> Result<ExitCode, BoxError> {
    let rounds = match arguments.get_many::<String>("compare") {
        Some(policies) => {
            let policies: Vec<_> = policies.map(String::as_str).collect();
            let count = arguments.get_one("rounds").copied().unwrap_or(1);
            compare(&workload, &policies, count).await?
        }
        None => vec![vec![ask(&workload, arguments).await?]],
    };
    if let Some(file) = arguments.get_one::<PathBuf>("report") {
        std::fs::write(file, report::page(&workload, &rounds))?;
    }
    if arguments.get_flag("json") {
        return Ok(output::print_json(&json(&workload, &rounds)));
    }
    let tables = rounds.iter().flatten().map(table::run);
    let text = tables.collect::<Vec<_>>().join("\n") + "\n" + &table::ratios(&rounds);
    Ok(output::print(&text))
}

/// Runs the workload once on a system that is there.
async fn ask(workload: &Workload, arguments: &ArgMatches) -> Result<Run, BoxError> {
    let addresses = arguments.get_many::<SocketAddr>("address");
    let place = run::Endpoints {
        callers: addresses.unwrap_or_default().copied().collect(),
        engines: Vec::new(),
        key: arguments
            .get_one::<String>("key")
            .map(|key| key.as_str().into()),
    };
    run::run_against(workload, &place).await
}

/// Runs the policies in turns; a round has one seed for all of them, and begins with another one.
async fn compare(
    workload: &Workload,
    policies: &[&str],
    rounds: u64,
) -> Result<Vec<Vec<Run>>, BoxError> {
    let mut all = Vec::new();
    for round in 0..rounds {
        let workload = Workload {
            seed: workload.seed + round,
            ..workload.clone()
        };
        let mut runs = Vec::new();
        for turn in 0..policies.len() {
            let policy = policies[(turn + round as usize) % policies.len()];
            eprintln!("round {}: {policy}", round + 1);
            runs.push(run::run_embedded(&workload, policy).await?);
        }
        runs.sort_by_key(|run| policies.iter().position(|&policy| *policy == *run.policy));
        all.push(runs);
    }
    Ok(all)
}

fn json(workload: &Workload, rounds: &[Vec<Run>]) -> Value {
    let rounds = rounds
        .iter()
        .map(|runs| runs.iter().map(Run::json).collect::<Vec<_>>());
    json!({
        "workload": workload.name,
        "seed": workload.seed,
        "load": workload.load,
        "capacity_per_second": workload.capacity(),
        "rounds": rounds.collect::<Vec<_>>(),
    })
}
