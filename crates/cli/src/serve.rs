//! `mastictrail serve`: runs the process of one entry VM.

use {
    crate::{cli::BAD_INPUT, input},
    async_signal::{Signal, Signals},
    clap::{Arg, ArgMatches, Command, value_parser},
    config::{Settings, settings},
    entry::{Daemon, logs},
    futures_lite::StreamExt,
    std::{error::Error, path::PathBuf, process::ExitCode},
};

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("serve")
        .about("Runs the process of one entry VM until SIGTERM or SIGINT, then drains")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("Process settings (INI)")
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

/// Runs the entry VM with its log, and flushes the log at the end.
fn serve(settings: Settings) -> ExitCode {
    let log_queue = match logs::start(&settings.log, &settings.vm.name) {
        Ok(log_queue) => log_queue,
        Err(error) => return report_failure(&error),
    };
    let code = smol::block_on(run_daemon(settings, log_queue.clone()));
    log_queue.flush(logs::FLUSH_LIMIT);
    code
}

/// Runs the entry VM until a stop signal, then drains it; fails if the drain times out.
async fn run_daemon(settings: Settings, log_queue: logs::Queue) -> ExitCode {
    let daemon = match Daemon::start(settings).await {
        Ok(daemon) => daemon,
        Err(error) => return report_failure(&error),
    };
    daemon.context().metrics.watch_log(log_queue);
    if let Err(error) = wait_for_stop_signal().await {
        return report_failure(&error);
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
/// Returns an error if the signals can't be received.
pub async fn wait_for_stop_signal() -> std::io::Result<()> {
    let mut signals = Signals::new([Signal::Term, Signal::Int])?;
    signals.next().await.transpose()?;
    Ok(())
}

/// Prints an error and returns the exit code of a failure.
fn report_failure(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
