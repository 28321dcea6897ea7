//! `mastictrail serve`: one entry VM's process.

use {
    crate::{cli::BAD_INPUT, input},
    async_signal::{Signal, Signals},
    clap::{Arg, ArgMatches, Command, value_parser},
    config::{Settings, settings},
    entry::{Daemon, logs},
    futures_lite::StreamExt,
    std::{error::Error, path::PathBuf, process::ExitCode},
};

/// Describes the subcommand.
pub fn command() -> Command {
    Command::new("serve")
        .about("Runs one entry VM's process until SIGTERM or SIGINT, then drains")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("The process settings, an INI file")
                .required(true)
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help("Example: mastictrail serve /etc/mastictrail/entry.ini")
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let sources = match input::read(&input::paths(arguments, "settings")) {
        Ok(sources) => sources,
        Err(faults) => return input::reject(&faults, &[]),
    };
    let Some(source) = sources.first() else {
        return ExitCode::from(BAD_INPUT);
    };
    match settings::parse(&source.file, &source.text) {
        Ok(settings) => serve(settings),
        Err(faults) => input::reject(&faults, &sources),
    }
}

fn serve(settings: Settings) -> ExitCode {
    let queue = match logs::start(&settings.log, &settings.vm.name) {
        Ok(queue) => queue,
        Err(error) => return fail(&error),
    };
    let code = smol::block_on(run_daemon(settings, queue.clone()));
    queue.flush(logs::FLUSH_LIMIT);
    code
}

async fn run_daemon(settings: Settings, queue: logs::Queue) -> ExitCode {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return fail(&error),
    };
    daemon.context().metrics.watch_log(queue);
    if let Err(error) = stop_signal().await {
        return fail(&error);
    }
    if daemon.stop().await {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// Returns an error if the signals can't be watched.
pub async fn stop_signal() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await.transpose()?;
    Ok(())
}

fn fail(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
