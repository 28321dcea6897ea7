//! `mastictrail gateway`: runs one gateway process on the users' platform.

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

/// Defines the subcommand and its arguments.
pub fn command() -> Command {
    Command::new("gateway")
        .about("Runs one gateway until SIGTERM or SIGINT, then drains; SIGHUP reloads the settings")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("Process settings (INI) [default: the file that MASTICTRAIL_NODE_FILE names]")
                .value_parser(value_parser!(PathBuf)),
        )
        .after_help("Example: mastictrail gateway /etc/mastictrail/gateway.ini")
}

/// Runs the subcommand.
pub fn run(arguments: &ArgMatches) -> ExitCode {
    let from_argument = arguments.get_one::<PathBuf>("settings").cloned();
    let from_platform = || env::var_os(platform::SETTINGS_VARIABLE).map(PathBuf::from);
    let Some(path) = from_argument.or_else(from_platform) else {
        eprintln!(
            "error: no settings file: pass its path or set {}",
            platform::SETTINGS_VARIABLE
        );
        return ExitCode::from(BAD_INPUT);
    };
    match read_settings(&path) {
        Ok(settings) => serve(settings, &path),
        Err(code) => code,
    }
}

/// Reads and validates the settings; prints their faults.
fn read_settings(path: &Path) -> Result<Gateway, ExitCode> {
    let sources = input::read(&[path]).map_err(|faults| input::reject(&faults, &[]))?;
    let Some(source) = sources.first() else {
        return Err(ExitCode::from(BAD_INPUT));
    };
    config::gateway::parse(&source.file, &source.text)
        .map_err(|faults| input::reject(&faults, &sources))
}

/// Runs the gateway with its log, and flushes the log at the end.
fn serve(settings: Gateway, path: &Path) -> ExitCode {
    let log_queue = match logs::start(&settings.log, &settings.vm.name) {
        Ok(log_queue) => log_queue,
        Err(error) => return report_failure(&error),
    };
    let code = smol::block_on(run_daemon(settings, path, log_queue.clone()));
    log_queue.flush(logs::FLUSH_LIMIT);
    code
}

/// Runs the gateway until SIGTERM or SIGINT; reloads the settings on SIGHUP.
async fn run_daemon(settings: Gateway, path: &Path, log_queue: logs::Queue) -> ExitCode {
    let signals = Signals::new([Signal::Term, Signal::Int, Signal::Hup]);
    let mut signals = match signals {
        Ok(signals) => signals,
        Err(error) => return report_failure(&error),
    };
    let daemon = match Daemon::start(settings, log_queue).await {
        Ok(daemon) => daemon,
        Err(error) => return report_failure(&error),
    };
    while let Some(signal) = signals.next().await {
        match signal {
            Ok(Signal::Hup) => match read_settings(path) {
                Ok(settings) => daemon.reload(settings),
                Err(_) => {
                    log::error!(target: "reload", "reload failed; keeping the previous settings");
                }
            },
            Ok(_) => break,
            Err(error) => return report_failure(&error),
        }
    }
    daemon.stop().await;
    ExitCode::SUCCESS
}

/// Prints an error and returns the exit code of a failure.
fn report_failure(error: &dyn Error) -> ExitCode {
    eprintln!("error: {error}");
    ExitCode::FAILURE
}
