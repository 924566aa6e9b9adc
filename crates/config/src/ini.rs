//! Parser for INI text that keeps the line of each section and key.

use ini::{Ini, ParseOption};

/// `key = value` line.
#[derive(Debug, Clone)]
pub(crate) struct Entry {
    pub(crate) line: usize,
    pub(crate) key: String,
    pub(crate) value: String,
}

/// Section. Entries before the first header form a section with an empty name.
#[derive(Debug, Clone)]
pub(crate) struct Section {
    pub(crate) line: usize,
    pub(crate) name: String,
    pub(crate) entries: Vec<Entry>,
}

/// Syntax error.
#[derive(Debug)]
pub(crate) struct Error {
    pub(crate) line: usize,
    pub(crate) message: String,
}

/// Parses `text`. Sections and keys keep their order, duplicates included.
///
/// Each section is passed to the library separately, because the library merges sections of the
/// same name and does not report lines.
pub(crate) fn parse(text: &str) -> Result<Vec<Section>, Error> {
    let mut sections = Vec::new();
    let mut start = 0;
    let lines: Vec<&str> = text.lines().collect();
    for end in 1..=lines.len() {
        let is_section_end = end == lines.len() || lines[end].trim_start().starts_with('[');
        if !is_section_end {
            continue;
        }
        sections.extend(parse_section(&lines[start..end], start + 1)?);
        start = end;
    }
    Ok(sections)
}

fn parse_section(lines: &[&str], first: usize) -> Result<Option<Section>, Error> {
    let options =
        ParseOption { enabled_quote: false, enabled_escape: false, ..ParseOption::default() };
    let parsed = Ini::load_from_str_opt(&lines.join("\n"), options)
        .map_err(|e| Error { line: first + e.line, message: e.msg.to_string() })?;
    let has_header = lines[0].trim_start().starts_with('[');
    let mut section = Section { line: first, name: String::new(), entries: Vec::new() };
    for (name, properties) in parsed.iter() {
        section.name = name.unwrap_or_default().trim().to_owned();
        let mut from = 0;
        for (key, value) in properties.iter() {
            let offset = line_of(lines, from, key);
            from = offset + 1;
            let entry =
                Entry { line: first + offset, key: key.to_owned(), value: value.trim().to_owned() };
            section.entries.push(entry);
        }
    }
    Ok((has_header || !section.entries.is_empty()).then_some(section))
}

/// Returns the index of the line that sets `key`, searching from index `from`.
fn line_of(lines: &[&str], from: usize, key: &str) -> usize {
    let is_key = |line: &str| line.split(['=', ':']).next().is_some_and(|k| k.trim() == key);
    let found = lines.iter().skip(from).position(|line| is_key(line));
    found.map_or(from.min(lines.len() - 1), |i| from + i)
}
