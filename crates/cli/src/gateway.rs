//! `mastictrail gateway`: one gateway process on the users' platform.

use {
    crate::{cli::BAD_INPUT, input},
    async_signal::{Signal, Signals},
    clap::{Arg, ArgMatches, Command, value_parser},
    config::Gateway,
    entry::logs,
    futures_lite::StreamExt,
    gateway::Daemon,
    std::{
        env,
        error::Error,
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("gateway")
        .about(
            "Runs one gateway process until SIGTERM, then drains; SIGHUP reads the settings again",
        )
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help(
                    "The process settings, an INI file; by default the one that the platform names",
                )
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help("Example: mastictrail gateway /etc/mastictrail/gateway.ini")
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let given = arguments.get_one::<PathBuf>("settings").cloned();
    let named = || env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = given.or_else(named) else {
        eprintln!(
            "error: no settings: give a path or set {}",
            platform::SETTINGS_VARIABLE
        );
        return ExitCode::from(BAD_INPUT);
    };
    match read(&path) {
        Ok(settings) => serve(settings, &path),
        Err(code) => code,
    }
}

fn read(path: &Path) -> Result<Gateway, ExitCode> {
    let sources = input::read(&[path]).map_err(|faults| input::reject(&faults, &[]))?;
    let Some(source) = sources.first() else {
        return Err(ExitCode::from(BAD_INPUT));
    };
    config::gateway::parse(&source.file, &source.text)
        .map_err(|faults| input::reject(&faults, &sources))
}

fn serve(settings: Gateway, path: &Path) -> ExitCode {
    let queue = match logs::start(&settings.log, &settings.vm.name) {
        Ok(queue) => queue,
        Err(error) => return fail(&error),
    };
    let code = smol::block_on(run_daemon(settings, path, queue.clone()));
    queue.flush(logs::FLUSH_LIMIT);
    code
}

async fn run_daemon(settings: Gateway, path: &Path, queue: logs::Queue) -> ExitCode {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => return fail(&error),
    };
    let daemon = match Daemon::start(settings, queue).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(&error),
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read(path) {
                Ok(settings) => daemon.reload(settings),
                Err(_) => {
                    log::error!(target: "reload", "the settings can't be read; the old ones stay");
                }
            },
            Ok(_) => break,
            Err(error) => return fail(&error),
        }
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
