//! What is wrong with a file, and where.

use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// One fault in an INI file.
#[derive(Clone, Debug, Display, Eq, Error, PartialEq, Serialize)]
#[display("{file}:{line}: [{section}] {key}: {message}; permitted: {permitted}")]
pub struct Fault {
    /// Path of the file, or a name for a published value.
    pub file: Box<str>,
    /// Line number, from 1; 0 if the whole file is meant.
    pub line: usize,
    /// The section, without brackets.
    pub section: Box<str>,
    /// The key; empty if the section is meant.
    pub key: Box<str>,
    /// What is wrong.
    pub message: Box<str>,
    /// What would be accepted.
    pub permitted: Box<str>,
}
