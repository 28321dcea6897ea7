//! Files given on the command line, and what is wrong with them.

use {
    crate::cli::BAD_INPUT,
    clap::{Arg, ArgAction, ArgMatches, value_parser},
    config::{Fault, Source, diagnostic},
    std::{
        fs,
        io::{IsTerminal, stderr},
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Describes the argument of one or more deployment files.
pub fn files() -> Arg {
    Arg::new("files")
        .value_name("FILES")
        .help("Files that together form one deployment")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
}

/// Describes the switch to output for programs.
pub fn json() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints JSON for programs")
        .action(ArgAction::SetTrue)
}

/// Returns the paths of an argument.
pub fn paths<'a>(arguments: &'a ArgMatches, name: &str) -> Vec<&'a Path> {
    let paths = arguments.get_many::<PathBuf>(name);
    paths.unwrap_or_default().map(PathBuf::as_path).collect()
}

/// Reads files whole.
///
/// # Errors
/// Returns a fault for each file that can't be read as UTF-8 text.
pub fn read(paths: &[&Path]) -> Result<Vec<Source>, Vec<Fault>> {
    let mut sources = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        let file = path.to_string_lossy();
        match fs::read_to_string(path) {
            Ok(text) => sources.push(Source::new(&*file, text)),
            Err(error) => faults.push(Fault {
                file: file.into(),
                line: 0,
                section: Box::default(),
                key: Box::default(),
                message: error.to_string().into(),
                permitted: "a readable file of UTF-8 text".into(),
            }),
        }
    }
    if faults.is_empty() {
        return Ok(sources);
    }
    Err(faults)
}

/// Prints faults for a person and returns the exit code of bad input.
pub fn reject(faults: &[Fault], sources: &[Source]) -> ExitCode {
    let text = diagnostic::render(faults, sources, stderr().is_terminal());
    eprint!("{text}");
    eprintln!("{} faults", faults.len());
    ExitCode::from(BAD_INPUT)
}
