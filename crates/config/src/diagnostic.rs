//! Renders faults for operators with the file, the line and the permitted values.

use {
    crate::{Fault, Source},
    miette::{GraphicalReportHandler, GraphicalTheme, LabeledSpan, NamedSource, SourceCode},
    std::fmt,
};

/// Renders each fault with the line of the source that it is in.
pub fn render(faults: &[Fault], sources: &[Source], colour: bool) -> String {
    let theme = if colour {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::unicode_nocolor()
    };
    let handler = GraphicalReportHandler::new_themed(theme)
        .with_links(false)
        .with_width(LINE_WIDTH)
        .with_context_lines(0);
    let mut text = String::new();
    for fault in faults {
        let diagnostic = Diagnostic::new(fault, sources);
        if handler.render_report(&mut text, &diagnostic).is_err() {
            text.push_str(&fault.to_string());
        }
    }
    text
}

/// Width of the rendered text in columns.
const LINE_WIDTH: usize = 100;

/// A fault with the text of the file that it is in.
#[derive(Debug, derive_more::Error)]
struct Diagnostic<'a> {
    fault: &'a Fault,
    #[error(not(source))]
    text: Option<NamedSource<String>>,
}

impl<'a> Diagnostic<'a> {
    fn new(fault: &'a Fault, sources: &[Source]) -> Self {
        let text = sources
            .iter()
            .find(|source| source.file == fault.file && fault.line > 0)
            .map(|source| NamedSource::new(&source.file, source.text.to_string()));
        Self { fault, text }
    }

    /// Returns the byte offset and length of the faulty line.
    fn span(&self) -> Option<(usize, usize)> {
        let text = self.text.as_ref()?.inner();
        let mut offset = 0;
        for (index, line) in text.split_inclusive('\n').enumerate() {
            if index + 1 == self.fault.line {
                return Some((offset, line.trim_end().len()));
            }
            offset += line.len();
        }
        None
    }
}

impl fmt::Display for Diagnostic<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Fault {
            file,
            section,
            key,
            message,
            ..
        } = self.fault;
        if self.span().is_none() && !file.is_empty() {
            write!(f, "{file}: ")?;
        }
        if !section.is_empty() {
            write!(f, "[{section}] ")?;
        }
        if !key.is_empty() {
            write!(f, "{key}: ")?;
        }
        f.write_str(message)
    }
}

impl miette::Diagnostic for Diagnostic<'_> {
    fn help<'h>(&'h self) -> Option<Box<dyn fmt::Display + 'h>> {
        if self.fault.permitted.is_empty() {
            return None;
        }
        Some(Box::new(format!("permitted: {}", self.fault.permitted)))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        self.text.as_ref().map(|text| text as &dyn SourceCode)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let (offset, length) = self.span()?;
        let label = LabeledSpan::new(Some("here".into()), offset, length);
        Some(Box::new(std::iter::once(label)))
    }
}
