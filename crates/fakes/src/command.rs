//! Command line with one subcommand for each fake.

use {
    crate::{engine, platform, proxy, service},
    clap::{Arg, ArgAction, ArgMatches, Command, value_parser},
    smol::net::TcpListener,
    std::{io, net::SocketAddr, path::PathBuf, time::Duration},
};

/// Runs the fake that the command line selects.
///
/// # Errors
/// Returns an error if a file cannot be read or parsed, or if the address cannot be bound.
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

/// Opens the listener and prints its address to standard output.
async fn listen(matches: &ArgMatches) -> io::Result<TcpListener> {
    let address: SocketAddr = required(matches, "listen");
    let listener = TcpListener::bind(address).await?;
    println!("{}", listener.local_addr()?);
    Ok(listener)
}

fn command() -> Command {
    Command::new("mastictrail-fakes")
        .about("Fakes of the platform, engines, services and a faulty network")
        .subcommand_required(true)
        .subcommand(engine_command())
        .subcommand(fake_command("service", "A plain service"))
        .subcommand(platform_command())
        .subcommand(proxy_command())
}

fn fake_command(name: &'static str, about: &'static str) -> Command {
    Command::new(name).about(about).arg(
        Arg::new("listen")
            .long("listen")
            .value_name("ADDRESS")
            .default_value("127.0.0.1:0")
            .value_parser(value_parser!(SocketAddr))
            .help("Address to listen on, printed as the first line"),
    )
}

fn engine_command() -> Command {
    fake_command("engine", "A model engine")
        .arg(
            Arg::new("name")
                .long("name")
                .help("Engine name, the prefix of its generation ids"),
        )
        .arg(
            Arg::new("models")
                .long("models")
                .value_delimiter(',')
                .help("Models loaded at startup, as NAME@VERSION; if none, every model is served"),
        )
        .arg(
            Arg::new("ignore-fencing")
                .long("ignore-fencing")
                .action(ArgAction::SetTrue)
                .help("Accepts orders with stale fencing tokens"),
        )
        .arg(number_arg("seed", "Seed of output lengths and token texts"))
        .arg(number_arg(
            "step",
            "Duration of a scheduler step in milliseconds",
        ))
        .arg(number_arg("batch", "Maximum number of running requests"))
        .arg(number_arg("memory", "KV cache capacity in tokens"))
        .arg(number_arg(
            "prefill",
            "Maximum prompt tokens prefilled per request and step",
        ))
        .arg(number_arg(
            "cache",
            "Maximum number of prefixes in the prefix cache",
        ))
        .arg(number_arg(
            "load-lag",
            "Lag of load reports in milliseconds",
        ))
        .arg(number_arg(
            "cache-lag",
            "Lag of cache events in milliseconds",
        ))
        .arg(number_arg(
            "cache-gap",
            "Leaves out every Nth cache event; 0 leaves out none",
        ))
        .arg(number_arg(
            "keep",
            "Retention of ended generations in milliseconds",
        ))
        .arg(number_arg("weight", "Size of one model's weights in bytes"))
        .arg(number_arg(
            "load-rate",
            "Bytes of model weights loaded per second",
        ))
}

fn platform_command() -> Command {
    fake_command("platform", "The platform")
        .arg(
            Arg::new("value")
                .long("value")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the first published configuration"),
        )
        .arg(
            Arg::new("version")
                .long("version")
                .value_name("N")
                .default_value("1")
                .value_parser(value_parser!(u64))
                .help("Version of the first published configuration"),
        )
        .arg(
            Arg::new("vms")
                .long("vms")
                .value_name("FILE")
                .value_parser(value_parser!(PathBuf))
                .help("File with the first VM list"),
        )
}

fn proxy_command() -> Command {
    fake_command(
        "proxy",
        "A fault proxy, controlled by commands on its listener",
    )
    .arg(number_arg(
        "seed",
        "Seed of the random choice of dropped datagrams",
    ))
    .arg(
        Arg::new("order")
            .long("order")
            .action(ArgAction::Append)
            .help("Command to run at startup; may be given several times"),
    )
}

fn proxy_settings(matches: &ArgMatches) -> proxy::Settings {
    let commands = matches.get_many::<String>("order").unwrap_or_default();
    proxy::Settings {
        seed: matches.get_one("seed").copied().unwrap_or_default(),
        commands: commands.map(|command| command.as_str().into()).collect(),
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
        prefill_chunk: number("prefill", default.prefill_chunk),
        cache_capacity: number("cache", default.cache_capacity as u64) as usize,
        load_lag: milliseconds("load-lag", default.load_lag),
        cache_lag: milliseconds("cache-lag", default.cache_lag),
        cache_gap: number("cache-gap", default.cache_gap),
        retention: milliseconds("keep", default.retention),
        models: models.map(|model| model.as_str().into()).collect(),
        checks_fencing: !matches.get_flag("ignore-fencing"),
        model_bytes: number("weight", default.model_bytes),
        load_bytes_per_second: number("load-rate", default.load_bytes_per_second),
        ..default
    }
}

fn platform_settings(matches: &ArgMatches) -> io::Result<platform::Settings> {
    let mut settings = platform::Settings::default();
    if let Some(file) = matches.get_one::<PathBuf>("value") {
        let value = std::fs::read_to_string(file)?;
        settings.value = Some((required(matches, "version"), value.into()));
    }
    if let Some(file) = matches.get_one::<PathBuf>("vms") {
        settings.vms = Some(serde_json::from_str(&std::fs::read_to_string(file)?)?);
    }
    Ok(settings)
}

fn number_arg(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .value_name("N")
        .value_parser(value_parser!(u64))
        .help(help)
}

/// Returns the value of an argument that always has one, given or by default.
fn required<T: Clone + Send + Sync + 'static>(matches: &ArgMatches, name: &str) -> T {
    let value = matches.get_one::<T>(name).cloned();
    value.expect("the argument has a default value")
}
