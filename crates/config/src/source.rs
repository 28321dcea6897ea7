//! The files of a deployment.

use crate::{
    Fault,
    ini::{self, Section},
};

/// A file and its text.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Source {
    /// Path of the file, or a name for a published value.
    pub file: Box<str>,
    /// Text of the file.
    pub text: Box<str>,
}

impl Source {
    /// Creates a source from a path and a text.
    pub fn new(file: impl Into<Box<str>>, text: impl Into<Box<str>>) -> Self {
        Self {
            file: file.into(),
            text: text.into(),
        }
    }
}

/// Parses the sections of all files.
///
/// # Errors
/// Returns the syntax errors of all files.
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

/// Joins the files into the value to publish, without comments and blank lines.
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
