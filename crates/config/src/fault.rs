//! Errors in a deployment or settings file.

use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// An error in an INI file.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[display("{file}:{line}: [{section}] {key}: {message}; permitted: {permitted}")]
pub struct Fault {
    /// Path of the file, or a name for a published value.
    pub file: Box<str>,
    /// Line number from 1, or 0 if the fault concerns the whole file.
    pub line: usize,
    /// The section header, without brackets.
    pub section: Box<str>,
    /// The key; empty if the fault concerns the section.
    pub key: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
    /// Values or forms that are permitted.
    pub permitted: Box<str>,
}
