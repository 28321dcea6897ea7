//! INI sections with line numbers, and a reader that collects all faults.
//!
//! Parsing is done by `rust-ini`, which reports no positions; line numbers are found by a search of
//! the text.

use {
    crate::Fault,
    ini::{Ini, ParseOption},
    std::{cell::RefCell, collections::HashSet, fmt::Display},
};

/// A section; `[customer anna]` has the kind `customer` and the name `anna`.
#[derive(Clone, Debug)]
pub struct Section {
    /// Path of the file that contains the section.
    pub file: Box<str>,
    /// First word of the header.
    pub kind: Box<str>,
    /// The rest of the header.
    pub name: Box<str>,
    /// Line number of the header, from 1.
    pub line: usize,
    /// Entries in the order of the file.
    pub entries: Vec<Entry>,
}

/// A key with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub key: Box<str>,
    /// The value, trimmed.
    pub value: Box<str>,
    /// Line number of the key, from 1.
    pub line: usize,
}

const SYNTAX: &str = "[section] headers, `key = value` lines, and comments on lines of their own";

/// Parses INI text into sections.
///
/// # Errors
/// Returns a fault for a syntax error, for a key outside any section, or for each line without `=`.
pub fn sections(file: &str, text: &str) -> Result<Vec<Section>, Vec<Fault>> {
    check_headers(file, text)?;
    let options = ParseOption {
        enabled_quote: false,
        enabled_escape: false,
        ..ParseOption::default()
    };
    let parsed = Ini::load_from_str_opt(text, options).map_err(|error| {
        vec![Fault {
            file: file.into(),
            line: error.line.min(text.lines().count()),
            section: Box::default(),
            key: Box::default(),
            message: format!("the line is not INI: {}", error.msg).into(),
            permitted: SYNTAX.into(),
        }]
    })?;
    let mut lines = text.lines().enumerate();
    let mut sections = Vec::new();
    let mut faults = Vec::new();
    for (header, properties) in &parsed {
        let Some(header) = header else {
            if properties.is_empty() {
                continue;
            }
            return Err(vec![key_before_sections(file, text)]);
        };
        let line = next_line(&mut lines, |line| is_header(line, header));
        let mut entries = Vec::new();
        for (key, value) in properties {
            // `rust-ini` joins a line without `=` to the key on the next line.
            let (prefix, key) = key.rsplit_once('\n').unwrap_or(("", key));
            let line = next_line(&mut lines, |line| is_key(line, key));
            if !prefix.is_empty() {
                faults.push(line_without_value(
                    file,
                    header,
                    line - prefix.lines().count().min(line),
                ));
            }
            entries.push(Entry {
                key: key.trim().into(),
                value: value.trim().into(),
                line,
            });
        }
        let (kind, name) = header
            .trim()
            .split_once(char::is_whitespace)
            .unwrap_or((header.trim(), ""));
        sections.push(Section {
            file: file.into(),
            kind: kind.into(),
            name: name.trim().into(),
            line,
            entries,
        });
    }
    if faults.is_empty() {
        return Ok(sections);
    }
    Err(faults)
}

/// Checks that each header is closed on its line, since `rust-ini` reads on to the next `]`.
fn check_headers(file: &str, text: &str) -> Result<(), Vec<Fault>> {
    let faults: Vec<_> = text
        .lines()
        .enumerate()
        .filter(|(_, line)| line.trim_start().starts_with('[') && !line.contains(']'))
        .map(|(index, line)| Fault {
            file: file.into(),
            line: index + 1,
            section: line.trim().trim_start_matches('[').into(),
            key: Box::default(),
            message: "the header has no `]`".into(),
            permitted: SYNTAX.into(),
        })
        .collect();
    if faults.is_empty() {
        return Ok(());
    }
    Err(faults)
}

fn line_without_value(file: &str, header: &str, line: usize) -> Fault {
    Fault {
        file: file.into(),
        line,
        section: header.into(),
        key: Box::default(),
        message: "the line has no `=`".into(),
        permitted: SYNTAX.into(),
    }
}

fn key_before_sections(file: &str, text: &str) -> Fault {
    let line = text
        .lines()
        .position(|line| line.contains(['=', ':']))
        .unwrap_or(0);
    Fault {
        file: file.into(),
        line: line + 1,
        section: Box::default(),
        key: Box::default(),
        message: "a key stands before the first section".into(),
        permitted: "keys below a [section] header".into(),
    }
}

/// Advances past the next matching line and returns its number, or 0 without advancing if none
/// matches.
fn next_line<'a, I>(lines: &mut I, matches: impl Fn(&str) -> bool) -> usize
where
    I: Iterator<Item = (usize, &'a str)> + Clone,
{
    let start = lines.clone();
    if let Some((index, _)) = lines.find(|(_, line)| matches(line)) {
        return index + 1;
    }
    *lines = start;
    0
}

fn is_header(line: &str, header: &str) -> bool {
    let Some(inner) = line.trim().strip_prefix('[') else {
        return false;
    };
    inner
        .split(']')
        .next()
        .is_some_and(|found| found.trim() == header.trim())
}

fn is_key(line: &str, key: &str) -> bool {
    line.split(['=', ':'])
        .next()
        .is_some_and(|found| found.trim() == key.trim())
}

/// Reads the keys of one section and collects its faults.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    faults: &'a RefCell<Vec<Fault>>,
    /// Keys that were read, which are the keys that the section may have.
    known: RefCell<HashSet<&'static str>>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a section.
    pub fn new(file: &'a str, section: &'a Section, faults: &'a RefCell<Vec<Fault>>) -> Self {
        Self {
            file,
            section,
            faults,
            known: RefCell::default(),
        }
    }

    /// Reads a required key; if it is missing or invalid, adds a fault and returns the default.
    pub fn required<T: Default, P: Display>(
        &self,
        key: &'static str,
        permitted: &str,
        parse: impl Fn(&str) -> Result<T, P>,
    ) -> T {
        self.required_or(key, permitted, T::default(), parse)
    }

    /// Reads a required key; if it is missing or invalid, adds a fault and returns `fallback`.
    pub fn required_or<T, P: Display>(
        &self,
        key: &'static str,
        permitted: &str,
        fallback: T,
        parse: impl Fn(&str) -> Result<T, P>,
    ) -> T {
        if let Some(value) = self.optional(key, parse) {
            return value;
        }
        if self.entry(key).is_none() {
            self.push(self.section.line, key, "the key is missing", permitted);
        }
        fallback
    }

    /// Reads an optional key; if it is invalid, adds a fault.
    ///
    /// The error of `parse` describes the permitted values.
    pub fn optional<T, P: Display>(
        &self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, P>,
    ) -> Option<T> {
        self.known.borrow_mut().insert(key);
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(permitted) => {
                let message = format!("`{}` is not permitted", entry.value);
                self.push(entry.line, key, &message, &permitted.to_string());
                None
            }
        }
    }

    /// Reads an optional key into `field`, which keeps its value if the key is missing or invalid.
    pub fn update<T, P: Display>(
        &self,
        key: &'static str,
        field: &mut T,
        parse: impl Fn(&str) -> Result<T, P>,
    ) {
        if let Some(value) = self.optional(key, parse) {
            *field = value;
        }
    }

    /// Adds a fault of the key, or of the section if it does not have the key.
    pub fn reject(&self, key: &'static str, message: &str, permitted: &str) {
        let line = self
            .entry(key)
            .map_or(self.section.line, |entry| entry.line);
        self.push(line, key, message, permitted);
    }

    /// Adds a fault of an entry, for sections whose keys are names.
    pub fn reject_entry(&self, entry: &Entry, message: &str, permitted: &str) {
        self.push(entry.line, &entry.key, message, permitted);
    }

    /// Adds a fault for each unknown or duplicate key.
    pub fn finish(self) {
        let known = self.known.borrow();
        let mut names: Vec<_> = known.iter().copied().collect();
        names.sort_unstable();
        let permitted = names.join(", ");
        let mut found = HashSet::new();
        for entry in &self.section.entries {
            if !known.contains(&*entry.key) {
                self.push(entry.line, &entry.key, "the key is unknown", &permitted);
            } else if !found.insert(&entry.key) {
                self.push(
                    entry.line,
                    &entry.key,
                    "the key is given twice",
                    "each key once",
                );
            }
        }
    }

    fn entry(&self, key: &str) -> Option<&'a Entry> {
        self.section.entries.iter().find(|entry| &*entry.key == key)
    }

    fn push(&self, line: usize, key: &str, message: &str, permitted: &str) {
        let header = format!("{} {}", self.section.kind, self.section.name);
        self.faults.borrow_mut().push(Fault {
            file: self.file.into(),
            line,
            section: header.trim_end().into(),
            key: key.into(),
            message: message.into(),
            permitted: permitted.into(),
        });
    }
}
