//! INI text with line numbers, and a reader that collects every fault.
//!
//! The syntax is `rust-ini`'s; it keeps no positions, so lines are found again in the text.

use {
    crate::Fault,
    ini::{Ini, ParseOption},
    std::{cell::RefCell, collections::HashSet, fmt::Display},
};

/// One section; `[customer anna]` has the kind `customer` and the name `anna`.
#[derive(Clone, Debug)]
pub struct Section {
    /// Path of the file that the section stands in.
    pub file: Box<str>,
    /// First word of the header.
    pub kind: Box<str>,
    /// The rest of the header.
    pub name: Box<str>,
    /// Line of the header, from 1.
    pub line: usize,
    /// Keys in order.
    pub entries: Vec<Entry>,
}

/// One key with its value.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The key.
    pub key: Box<str>,
    /// The value, trimmed.
    pub value: Box<str>,
    /// Line of the key, from 1.
    pub line: usize,
}

const SYNTAX: &str = "[section] headers, `key = value` lines, and comments on lines of their own";

/// Reads INI text into sections.
///
/// # Errors
/// Returns the places of a syntax error, of a key outside any section, or of lines without `=`.
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
            return Err(vec![stray_key(file, text)]);
        };
        let line = next_line(&mut lines, |line| is_header(line, header));
        let mut entries = Vec::new();
        for (key, value) in properties {
            // A line without `=` becomes part of the next key.
            let (stray, key) = key.rsplit_once('\n').unwrap_or(("", key));
            let line = next_line(&mut lines, |line| is_key(line, key));
            if !stray.is_empty() {
                faults.push(stray_line(
                    file,
                    header,
                    line - stray.lines().count().min(line),
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

/// Notes each header that isn't closed on its line, since `rust-ini` reads on to the next `]`.
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

fn stray_line(file: &str, header: &str, line: usize) -> Fault {
    Fault {
        file: file.into(),
        line,
        section: header.into(),
        key: Box::default(),
        message: "the line has no `=`".into(),
        permitted: SYNTAX.into(),
    }
}

fn stray_key(file: &str, text: &str) -> Fault {
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

/// Advances to the next line that matches and returns its number; stays put if there is none.
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

/// Reads the keys of one section and collects faults.
#[derive(Debug)]
pub struct Reader<'a> {
    file: &'a str,
    section: &'a Section,
    faults: &'a RefCell<Vec<Fault>>,
    seen: RefCell<HashSet<&'static str>>,
}

impl<'a> Reader<'a> {
    /// Starts to read a section.
    pub fn new(file: &'a str, section: &'a Section, faults: &'a RefCell<Vec<Fault>>) -> Self {
        Self {
            file,
            section,
            faults,
            seen: RefCell::default(),
        }
    }

    /// Reads a key that must be there; a fault is noted and the default returned otherwise.
    pub fn required<T: Default, P: Display>(
        &self,
        key: &'static str,
        permitted: &str,
        parse: impl Fn(&str) -> Result<T, P>,
    ) -> T {
        self.required_or(key, permitted, T::default(), parse)
    }

    /// Reads a key that must be there; a fault is noted and the fallback returned otherwise.
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
            self.fault(self.section.line, key, "the key is missing", permitted);
        }
        fallback
    }

    /// Reads a key if it is there; `parse` returns what is permitted as its error.
    pub fn optional<T, P: Display>(
        &self,
        key: &'static str,
        parse: impl Fn(&str) -> Result<T, P>,
    ) -> Option<T> {
        self.seen.borrow_mut().insert(key);
        let entry = self.entry(key)?;
        match parse(&entry.value) {
            Ok(value) => Some(value),
            Err(permitted) => {
                let message = format!("`{}` is not permitted", entry.value);
                self.fault(entry.line, key, &message, &permitted.to_string());
                None
            }
        }
    }

    /// Reads a key into its place if it is there; the place keeps its value otherwise.
    pub fn update<T, P: Display>(
        &self,
        key: &'static str,
        place: &mut T,
        parse: impl Fn(&str) -> Result<T, P>,
    ) {
        if let Some(value) = self.optional(key, parse) {
            *place = value;
        }
    }

    /// Notes a fault of a key's value that only shows beside other sections.
    pub fn reject(&self, key: &'static str, message: &str, permitted: &str) {
        let line = self
            .entry(key)
            .map_or(self.section.line, |entry| entry.line);
        self.fault(line, key, message, permitted);
    }

    /// Notes a fault of one line of a section whose keys are names.
    pub fn reject_entry(&self, entry: &Entry, message: &str, permitted: &str) {
        self.fault(entry.line, &entry.key, message, permitted);
    }

    /// Notes a fault for each key that was not asked for, and each one given twice.
    pub fn finish(self) {
        let seen = self.seen.borrow();
        let mut names: Vec<_> = seen.iter().copied().collect();
        names.sort_unstable();
        let permitted = names.join(", ");
        let mut given = HashSet::new();
        for entry in &self.section.entries {
            if !seen.contains(&*entry.key) {
                self.fault(entry.line, &entry.key, "the key is unknown", &permitted);
            } else if !given.insert(&entry.key) {
                self.fault(
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

    fn fault(&self, line: usize, key: &str, message: &str, permitted: &str) {
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
