//! Text for persons and programs on standard output.

use {
    serde_json::Value,
    std::{
        io::{ErrorKind, Write, stdout},
        process::ExitCode,
    },
};

/// Prints a text; a reader that has closed the pipe has seen enough and is no failure.
pub fn print(text: &str) -> ExitCode {
    match stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("standard output: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a JSON value on one line.
pub fn print_json(value: &Value) -> ExitCode {
    print(&format!("{value}\n"))
}

/// Writes bytes in hexadecimal.
pub fn hexadecimal(bytes: &[u8]) -> String {
    let digits: Vec<_> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.concat()
}

/// Returns whether a JSON value fits on one line: a scalar, or an array or object of scalars.
pub fn is_flat(value: &Value) -> bool {
    let is_scalar = |value: &Value| !value.is_array() && !value.is_object();
    match value {
        Value::Array(items) => items.iter().all(is_scalar),
        Value::Object(fields) => fields.values().all(is_scalar),
        _ => true,
    }
}

/// Writes a JSON value for a person on one line.
pub fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items.iter().map(plain).collect::<Vec<_>>().join(", "),
        Value::Object(fields) => {
            let pairs = fields
                .iter()
                .map(|(key, value)| format!("{key}={}", plain(value)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}

/// Writes a number of things, such as `1 file` or `2 files`.
pub fn count(number: usize, thing: &str) -> String {
    let ending = if number == 1 { "" } else { "s" };
    format!("{number} {thing}{ending}")
}
