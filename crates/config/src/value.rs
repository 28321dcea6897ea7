//! Parsers of values in deployment and settings files.
//!
//! The error of each parser and the constants here describe the permitted values to operators.

use {
    crate::{
        deployment::{Fencing, Kind},
        unit,
    },
    base64::{Engine, engine::general_purpose::URL_SAFE_NO_PAD},
    std::{net::SocketAddr, path::PathBuf, str::FromStr, time::Duration},
};

/// Maximum length of a name in characters.
const MAX_NAME_LENGTH: usize = 64;

pub(crate) const NAME: &str = "1 to 64 of the characters A-Z, a-z, 0-9, `-`, `_` and `.`";
pub(crate) const SPACED_NAME: &str =
    "1 to 64 of the characters A-Z, a-z, 0-9, `-`, `_`, `.` and inner spaces";
pub(crate) const ADDRESS: &str = "an IP address with a port, such as 127.0.0.1:9000";
pub(crate) const DIGEST: &str =
    "the SHA-256 of the key: 64 hexadecimal digits, or 43 characters of unpadded URL-safe base64";
pub(crate) const KIND: &str = "model or plain";
pub(crate) const METHOD: &str = "GET, HEAD, OPTIONS, POST, PUT, PATCH or DELETE";
pub(crate) const PATH: &str = "a path that begins with /";
pub(crate) const POSITIVE: &str = "a whole number from 1";

/// Parses a name.
pub(crate) fn name(value: &str) -> Result<Box<str>, &'static str> {
    let is_permitted = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte);
    if value.is_empty() || value.len() > MAX_NAME_LENGTH || !value.bytes().all(is_permitted) {
        return Err(NAME);
    }
    Ok(value.into())
}

/// Checks the name of a section of the given kind.
///
/// Names of data centres may contain spaces. Names of classes and routes include the service and
/// are checked with it.
pub(crate) fn section_name(kind: &str, value: &str) -> Result<(), &'static str> {
    if kind == "data_centre" {
        let words = value.replace(' ', "-");
        return name(&words).map(drop).map_err(|_name| SPACED_NAME);
    }
    name(value).map(drop)
}

/// Parses a non-empty text.
pub(crate) fn text(value: &str) -> Result<Box<str>, &'static str> {
    if value.is_empty() {
        return Err("a name");
    }
    Ok(value.into())
}

/// Parses a URL path.
pub(crate) fn path(value: &str) -> Result<Box<str>, &'static str> {
    if value.starts_with('/') {
        return Ok(value.into());
    }
    Err(PATH)
}

/// Parses a file path.
pub(crate) fn file(value: &str) -> Result<PathBuf, &'static str> {
    if value.is_empty() {
        return Err("a path");
    }
    Ok(value.into())
}

/// Parses an HTTP method.
pub(crate) fn method(value: &str) -> Result<Box<str>, &'static str> {
    match value {
        "GET" | "HEAD" | "OPTIONS" | "POST" | "PUT" | "PATCH" | "DELETE" => Ok(value.into()),
        _ => Err(METHOD),
    }
}

/// Parses a comma-separated list of names.
pub(crate) fn list(value: &str) -> Result<Vec<Box<str>>, &'static str> {
    let items = value.split(',').map(|item| text(item.trim()));
    items
        .collect::<Result<_, _>>()
        .map_err(|_name| "names with commas between them")
}

/// Parses an integer.
pub(crate) fn number<T: FromStr>(value: &str) -> Result<T, &'static str> {
    value.parse().map_err(|_error| "a whole number")
}

/// Parses the priority of a class.
pub(crate) fn priority(value: &str) -> Result<u8, &'static str> {
    value
        .parse()
        .map_err(|_error| "a whole number from 0 to 255")
}

/// Parses a positive integer.
pub(crate) fn positive(value: &str) -> Result<u32, &'static str> {
    match value.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err(POSITIVE),
    }
}

/// Parses a configuration version.
pub(crate) fn version(value: &str) -> Result<u64, &'static str> {
    match value.parse() {
        Ok(value) if value > 0 => Ok(value),
        _ => Err(POSITIVE),
    }
}

/// Parses a positive duration.
pub(crate) fn duration(value: &str) -> Result<Duration, Box<str>> {
    let duration = unit::duration(value)?;
    if duration.is_zero() {
        return Err("a duration above zero, such as 250ms, 15s or 5m".into());
    }
    Ok(duration)
}

/// Parses a rate in requests per second, such as `20/s`.
pub(crate) fn rate(value: &str) -> Result<f64, &'static str> {
    let number = value.strip_suffix("/s").unwrap_or("").trim();
    match number.parse::<f64>() {
        Ok(value) if value > 0.0 && value.is_finite() => Ok(value),
        _ => Err("a rate with its unit, such as 20/s"),
    }
}

/// Parses an IP address with a port.
pub(crate) fn address(value: &str) -> Result<SocketAddr, &'static str> {
    value.parse().map_err(|_error| ADDRESS)
}

/// Parses the kind of a service.
pub(crate) fn kind(value: &str) -> Result<Kind, &'static str> {
    match value {
        "model" => Ok(Kind::Model),
        "plain" => Ok(Kind::Plain),
        _ => Err(KIND),
    }
}

/// Parses how a target treats fencing tokens.
pub(crate) fn fencing(value: &str) -> Result<Fencing, &'static str> {
    match value {
        "checked" => Ok(Fencing::Checked),
        "ignored" => Ok(Fencing::Ignored),
        _ => Err("checked or ignored"),
    }
}

/// Parses a SHA-256 digest in hexadecimal or unpadded URL-safe base64.
pub(crate) fn digest(value: &str) -> Result<[u8; 32], &'static str> {
    if value.len() == 64 {
        return hexadecimal(value.as_bytes()).ok_or(DIGEST);
    }
    let bytes = URL_SAFE_NO_PAD.decode(value).map_err(|_error| DIGEST)?;
    bytes.try_into().map_err(|_bytes| DIGEST)
}

fn hexadecimal(digits: &[u8]) -> Option<[u8; 32]> {
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(digits.chunks_exact(2)) {
        let high = char::from(pair[0]).to_digit(16)?;
        let low = char::from(pair[1]).to_digit(16)?;
        *byte = (high * 16 + low) as u8;
    }
    Some(digest)
}
