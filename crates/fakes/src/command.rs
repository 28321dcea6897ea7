//! The command line: one subcommand for each stand-in.

use {
    crate::{engine, platform, proxy, service},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    smol::net::TcpListener,
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Runs the stand-in that the command line names.
///
/// # Errors
/// Returns the error of a file or of a listener.
pub fn run() -> io::Result<()> {
    let matches = command().get_matches();
    let Some((name, matches)) = matches.subcommand() else {
        return Ok(());
    };
    smol::block_on(async {
        let listener = listen(matches).await?;
        match name {
            "engine" => engine::serve(listener, engine_settings(matches)).await,
            "service" => service::serve(listener, service::Settings::default()).await,
            "platform" => platform::serve(listener, platform_settings(matches)?).await,
            _ => proxy::serve(listener, proxy_settings(matches)).await,
        }
    })
}

/// Opens the listener and says its address on the standard output.
async fn listen(matches: &ArgMatches) -> io::Result<TcpListener> {
    let address: SocketAddr = get(matches, "listen");
    let listener = TcpListener::bind(address).await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

fn command() -> Command {
    Command::new("mastictrail-fakes")
        .about("Stand-ins for what surrounds the system")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(stand_in("service", "A plain service"))
        .subcommand(platform_command())
        .subcommand(proxy_command())
}

fn stand_in(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
            .help("Address to listen on; it is printed as the first line"),
    )
}

fn engine_command() -> Command {
    stand_in("engine", "A model engine")
        .arg(
            Arg::new("name")
                .long("name")
                .help("Name, part of the ids of its generations"),
        )
        .arg(
            Arg::new("models")
                .long("models")
                .value_delimiter(',')
                .help("Models loaded at the start, as NAME@VERSION; any if none"),
        )
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue)
                .help("Takes orders with old fencing numbers"),
        )
        .arg(number("seed", "Seed of output lengths and texts"))
        .arg(number("step", "Token step in milliseconds"))
        .arg(number("batch", "Most requests in the batch"))
        .arg(number("memory", "Memory in tokens"))
        .arg(number("prefill", "Prompt tokens computed in a step"))
        .arg(number("cache", "Prefixes in the cache"))
        .arg(number("load-lag", "Lag of load reports in milliseconds"))
        .arg(number("cache-lag", "Lag of cache events in milliseconds"))
        .arg(number(
            "cache-gap",
            "One in N cache events is lost; 0 for none",
        ))
        .arg(number(
            "keep",
            "Time to resume finished generations, in milliseconds",
        ))
        .arg(number("weight", "Weights of a model in bytes"))
        .arg(number("load-rate", "Weights loaded a second in bytes"))
}

fn platform_command() -> Command {
    stand_in("platform", "The platform")
        .arg(
            Arg::new("value")
                .long("value")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the first published value"),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Version of the first published value"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the first list of VMs"),
        )
}

fn proxy_command() -> Command {
    stand_in(
        "proxy",
        "A faulty network, ordered by lines on its listener",
    )
    .arg(number("seed", "Seed of the datagrams that are dropped"))
    .arg(
        Arg::new("order")
            .long("order")
            .action(ArgAction::Append)
            .help("An order to carry out at the start; may be given several times"),
    )
}

fn proxy_settings(matches: &ArgMatches) -> proxy::Settings {
    let orders = matches.get_many::<String>("order").unwrap_or_default();
    proxy::Settings {
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        orders: orders.map(|order| order.as_str().into()).collect(),
    }
}

fn engine_settings(matches: &ArgMatches) -> engine::Settings {
    let default = engine::Settings::default();
    let number = |name, default| matches.get_one(name).copied().unwrap_or(default);
    let milliseconds =
        |name, default: Duration| Duration::from_millis(number(name, default.as_millis() as u64));
    let name = matches.get_one::<String>("name");
    let models = matches.get_many::<String>("models").unwrap_or_default();
    engine::Settings {
        name: name.map_or(default.name, |name| name.as_str().into()),
        seed: number("seed", default.seed),
        step: milliseconds("step", default.step),
        max_batch: number("batch", default.max_batch as u64) as usize,
        memory_tokens: number("memory", default.memory_tokens),
        prefill: number("prefill", default.prefill),
        cache: number("cache", default.cache as u64) as usize,
        load_lag: milliseconds("load-lag", default.load_lag),
        cache_lag: milliseconds("cache-lag", default.cache_lag),
        cache_gap: number("cache-gap", default.cache_gap),
        keep: milliseconds("keep", default.keep),
        models: models.map(|model| model.as_str().into()).collect(),
        fencing: !matches.get_flag("ignore-fencing"),
        weight: number("weight", default.weight),
        load_rate: number("load-rate", default.load_rate),
        ..default
    }
}

fn platform_settings(matches: &ArgMatches) -> io::Result<platform::Settings> {
    let mut settings = platform::Settings::default();
    if let Some(file) = matches.get_one::<PathBuf>("value") {
        let value = std::fs::read_to_string(file)?;
        settings.value = Some((get(matches, "version"), value.into()));
    }
    if let Some(file) = matches.get_one::<PathBuf>("vms") {
        settings.vms = Some(serde_json::from_str(&std::fs::read_to_string(file)?)?);
    }
    Ok(settings)
}

fn number(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns an argument that has a default.
fn get<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.expect("the argument has a default value")
}
