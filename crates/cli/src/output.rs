//! Output of the subcommands: plain text and JSON.

use {
    serde_json::Value,
    std::{
        io::{ErrorKind, Write, stdout},
        process::ExitCode,
    },
};

/// Prints a text to standard output; a pipe that its reader has closed is not a failure.
pub fn print(text: &str) -> ExitCode {
    match stdout().write_all(text.as_bytes()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) if error.kind() == ErrorKind::BrokenPipe => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("error: cannot write to standard output: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints a JSON value on one line.
pub fn print_json(value: &Value) -> ExitCode {
    print(&format!("{value}\n"))
}

/// Formats bytes as lowercase hexadecimal digits.
pub fn hex(bytes: &[u8]) -> String {
    let digits: Vec<_> = bytes.iter().map(|byte| format!("{byte:02x}")).collect();
    digits.concat()
}

/// Returns whether a JSON value is printed on one line: a scalar, or an array or object of scalars.
pub fn is_flat(value: &Value) -> bool {
    let is_scalar = |value: &Value| !value.is_array() && !value.is_object();
    match value {
        Value::Array(items) => items.iter().all(is_scalar),
        Value::Object(fields) => fields.values().all(is_scalar),
        _ => true,
    }
}

/// Formats a JSON value on one line, without JSON's quotes and brackets.
pub fn format_inline(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(items) => items
            .iter()
            .map(format_inline)
            .collect::<Vec<_>>()
            .join(", "),
        Value::Object(fields) => {
            let pairs = fields
                .iter()
                .map(|(key, value)| format!("{key}={}", format_inline(value)));
            pairs.collect::<Vec<_>>().join(" ")
        }
        other => other.to_string(),
    }
}

/// Formats a count with its noun, such as `1 file` or `2 files`.
pub fn format_count(count: usize, noun: &str) -> String {
    let suffix = if count == 1 { "" } else { "s" };
    format!("{count} {noun}{suffix}")
}
