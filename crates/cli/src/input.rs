//! Input files of the command line, and the report of their faults.

use {
    crate::{cli::BAD_INPUT, output},
    clap::{Arg, ArgAction, ArgMatches, value_parser},
    config::{Fault, Snapshot, Source, diagnostic, parse},
    std::{
        fs,
        io::{self, IsTerminal, stderr},
        path::{Path, PathBuf},
        process::ExitCode,
    },
};

/// Defines the argument of one or more deployment files.
pub fn files_argument() -> Arg {
    Arg::new("files")
        .value_name("FILES")
        .help("INI files, or folders of .ini files, that together form one deployment")
        .required(true)
        .num_args(1..)
        .value_parser(value_parser!(PathBuf))
}

/// Defines the `--json` flag.
pub fn json_flag() -> Arg {
    Arg::new("json")
        .long("json")
        .help("Prints JSON instead of text")
        .action(ArgAction::SetTrue)
}

/// Returns the paths given for the argument `name`; none if it is absent.
pub fn paths<'a>(arguments: &'a ArgMatches, name: &str) -> Vec<&'a Path> {
    let paths = arguments.get_many::<PathBuf>(name);
    paths.unwrap_or_default().map(PathBuf::as_path).collect()
}

/// Reads files, and the `.ini` files of folders in the order of their names.
///
/// # Errors
/// Returns one fault for each path that can't be read as UTF-8 text.
pub fn read(paths: &[&Path]) -> Result<Vec<Source>, Vec<Fault>> {
    let mut sources = Vec::new();
    let mut faults = Vec::new();
    for path in paths {
        match expand_path(path) {
            Ok(files) => {
                for file in files {
                    match fs::read_to_string(&file) {
                        Ok(text) => sources.push(Source::new(&*file.to_string_lossy(), text)),
                        Err(error) => faults.push(unreadable_fault(&file, &error)),
                    }
                }
            }
            Err(error) => faults.push(unreadable_fault(path, &error)),
        }
    }
    if faults.is_empty() {
        return Ok(sources);
    }
    Err(faults)
}

/// Reads and validates the files of one deployment.
///
/// # Errors
/// Prints the faults of the files and returns the exit code of bad input.
pub fn read_deployment(paths: &[&Path]) -> Result<Snapshot, ExitCode> {
    let sources = read(paths).map_err(|faults| reject(&faults, &[]))?;
    parse::deployment(&sources).map_err(|faults| reject(&faults, &sources))
}

/// Returns a file as it is, and a folder as its `.ini` files.
fn expand_path(path: &Path) -> io::Result<Vec<PathBuf>> {
    if !path.is_dir() {
        return Ok(vec![path.into()]);
    }
    let mut files = Vec::new();
    for entry in fs::read_dir(path)? {
        let file = entry?.path();
        if file.extension().is_some_and(|extension| extension == "ini") {
            files.push(file);
        }
    }
    files.sort();
    Ok(files)
}

fn unreadable_fault(path: &Path, error: &io::Error) -> Fault {
    Fault {
        file: path.to_string_lossy().into(),
        line: 0,
        section: Box::default(),
        key: Box::default(),
        message: error.to_string().into(),
        permitted: "a readable file of UTF-8 text, or a folder of .ini files".into(),
    }
}

/// Prints faults to standard error, with excerpts of their sources, and returns [`BAD_INPUT`].
pub fn reject(faults: &[Fault], sources: &[Source]) -> ExitCode {
    let text = diagnostic::render(faults, sources, stderr().is_terminal());
    eprint!("{text}");
    eprintln!("{}", output::format_count(faults.len(), "fault"));
    ExitCode::from(BAD_INPUT)
}
