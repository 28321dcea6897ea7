//! The files that form one deployment.

use crate::{
    Fault,
    ini::{self, Section},
};

/// One file and its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Path of the file, or a name for a published value.
    pub file: Box<str>,
    /// Its whole text.
    pub text: Box<str>,
}

impl Source {
    /// Makes a source of a path and a text.
    pub fn new(file: impl Into<Box<str>>, text: impl Into<Box<str>>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }
}

/// Reads the sections of all files.
///
/// # Errors
/// Returns the first syntax error of each file.
pub fn sections(sources: &[Source]) -> Result<Vec<Section>, Vec<Fault>> {
    let mut sections = Vec::new();
    let mut faults = Vec::new();
    for source in sources {
        match ini::sections(&source.file, &source.text) {
            Ok(found) => sections.extend(found),
            Err(found) => faults.extend(found),
        }
    }
    if faults.is_empty() {
        return Ok(sections);
    }
    Err(faults)
}

/// Joins files into the one value to publish, without comments and blank lines.
pub fn render(sources: &[Source]) -> Box<str> {
    let mut value = String::new();
    for line in sources.iter().flat_map(|source| source.text.lines()) {
        let line = line.trim();
        if line.is_empty() || line.starts_with([';', '#']) {
            continue;
        }
        value.push_str(line);
        value.push('\n');
    }
    value.into()
}
