//! Parsers of values with units, such as `250ms` or `64MiB`, and of shares and flags.

use std::time::Duration;

/// Size units with their factors; `B` comes last, since the other units end in it.
const SIZE_UNITS: [(&str, u64); 7] = [
    ("GiB", 1 << 30),
    ("MiB", 1 << 20),
    ("KiB", 1 << 10),
    ("GB", 1_000_000_000),
    ("MB", 1_000_000),
    ("KB", 1_000),
    ("B", 1),
];

/// Parses a duration such as `15s` or `250ms`.
///
/// # Errors
/// Returns a description of the permitted values.
pub fn duration(text: &str) -> Result<Duration, Box<str>> {
    humantime::parse_duration(text)
        .map_err(|_error| "a duration with a unit, such as 250ms, 15s or 5m".into())
}

/// Parses a size such as `64MiB`.
///
/// # Errors
/// Returns a description of the permitted values.
pub fn size(text: &str) -> Result<u64, Box<str>> {
    let permitted = || Box::from("a size with a unit, such as 512B, 64KiB, 64MiB or 16GiB");
    let text = text.trim();
    let (number, factor) = SIZE_UNITS
        .iter()
        .find_map(|(unit, factor)| Some((text.strip_suffix(unit)?, *factor)))
        .ok_or_else(permitted)?;
    let number: u64 = number.trim().parse().map_err(|_error| permitted())?;
    number.checked_mul(factor).ok_or_else(permitted)
}

/// Formats a size in a unit that divides it, binary units first; [`size`] parses the result.
pub fn format_size(bytes: u64) -> Box<str> {
    let (unit, factor) = SIZE_UNITS
        .iter()
        .find(|(_, factor)| bytes >= *factor && bytes.is_multiple_of(*factor))
        .unwrap_or(&("B", 1));
    format!("{}{unit}", bytes / factor).into()
}

/// Parses a share from 0 to 1.
///
/// # Errors
/// Returns a description of the permitted values.
pub fn share(text: &str) -> Result<f64, Box<str>> {
    match text.trim().parse::<f64>() {
        Ok(value) if (0.0..=1.0).contains(&value) => Ok(value),
        _ => Err("a number from 0 to 1".into()),
    }
}

/// Parses `yes` or `no`, or `true` or `false`.
///
/// # Errors
/// Returns a description of the permitted values.
pub fn flag(text: &str) -> Result<bool, Box<str>> {
    match text.trim() {
        "yes" | "true" => Ok(true),
        "no" | "false" => Ok(false),
        _ => Err("yes or no".into()),
    }
}
