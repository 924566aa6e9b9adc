//! Reads typed fields from INI sections and collects every error with its file, line and field.

use std::{fmt, ops::RangeInclusive, str::FromStr, time::Duration};

use base::unit::TimeSpan;

use crate::ini;

/// Error in one field of a file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Error {
    /// Name of the file as given by the operator.
    pub file: String,
    /// Line, counted from 1.
    pub line: usize,
    /// Section and key, such as `[service maps] slots`.
    pub field: String,
    /// Rejected text; empty if the field is missing.
    pub input: String,
    /// Description of the accepted values.
    pub allowed: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Error { file, line, field, input, allowed } = self;
        if input.is_empty() {
            return write!(f, "{file}:{line}: {field}: missing, allowed {allowed}");
        }
        write!(f, "{file}:{line}: {field}: read {input:?}, allowed {allowed}")
    }
}

impl std::error::Error for Error {}

/// All errors of a file, in line order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Errors(pub Vec<Error>);

impl fmt::Display for Errors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, error) in self.0.iter().enumerate() {
            let separator = if i == 0 { "" } else { "\n" };
            write!(f, "{separator}{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Errors {}

/// Parsed file whose sections are taken one by one.
#[derive(Debug)]
pub(crate) struct File {
    name: String,
    sections: Vec<ini::Section>,
    errors: Vec<Error>,
}

impl File {
    pub(crate) fn parse(name: &str, text: &str) -> Result<File, Errors> {
        let sections = ini::parse(text).map_err(|e| {
            Errors(vec![Error {
                file: name.to_owned(),
                line: e.line,
                field: "file".to_owned(),
                input: text.lines().nth(e.line.saturating_sub(1)).unwrap_or("?").to_owned(),
                allowed: format!("INI text ({})", e.message),
            }])
        })?;
        Ok(File { name: name.to_owned(), sections, errors: Vec::new() })
    }

    /// Removes and returns the sections whose header starts with the word `kind`, in file order.
    pub(crate) fn take(&mut self, kind: &str) -> Vec<Section> {
        let is_kind = |s: &ini::Section| s.name.split_whitespace().next().unwrap_or("") == kind;
        let (taken, rest) = std::mem::take(&mut self.sections).into_iter().partition(is_kind);
        self.sections = rest;
        let taken: Vec<ini::Section> = taken;
        let mut sections = Vec::new();
        for section in taken {
            let duplicate = sections.iter().any(|s: &Section| s.header == section.name);
            if duplicate {
                let allowed = "each section once";
                self.error(section.line, &format!("[{}]", section.name), &section.name, allowed);
            }
            sections.push(self.section(section));
        }
        sections
    }

    /// Removes and returns the section named `kind`, or an empty section if there is none. A
    /// missing section is an error if `required`.
    pub(crate) fn take_one(&mut self, kind: &str, required: bool) -> Section {
        let taken = self.take(kind);
        if taken.is_empty() && required {
            self.error(1, &format!("[{kind}]"), "", "this section once");
        }
        let absent = Section { line: 1, header: kind.to_owned(), entries: Vec::new() };
        taken.into_iter().next().unwrap_or(absent)
    }

    /// Converts a section, reporting duplicate keys; the first value of a key counts.
    fn section(&mut self, section: ini::Section) -> Section {
        let mut entries: Vec<ini::Entry> = Vec::new();
        for entry in section.entries {
            if entries.iter().any(|e| e.key == entry.key) {
                let field = format!("[{}] {}", section.name, entry.key);
                self.error(entry.line, &field, &entry.value, "each field once");
                continue;
            }
            entries.push(entry);
        }
        Section { line: section.line, header: section.name, entries }
    }

    pub(crate) fn error(&mut self, line: usize, field: &str, input: &str, allowed: &str) {
        self.errors.push(Error {
            file: self.name.clone(),
            line,
            field: field.to_owned(),
            input: input.to_owned(),
            allowed: allowed.to_owned(),
        });
    }

    /// Reports each section that was not taken as an error, and returns all errors if there are
    /// any. `sections` lists the accepted sections.
    pub(crate) fn finish(mut self, sections: &str) -> Result<(), Errors> {
        for section in std::mem::take(&mut self.sections) {
            let input =
                if section.name.is_empty() { "fields before any section" } else { &section.name };
            self.error(section.line, "section", input, sections);
        }
        if self.errors.is_empty() {
            return Ok(());
        }
        self.errors.sort_by_key(|e| e.line);
        Err(Errors(self.errors))
    }
}

/// Section whose fields are taken one by one.
#[derive(Debug)]
pub(crate) struct Section {
    pub(crate) line: usize,
    pub(crate) header: String,
    entries: Vec<ini::Entry>,
}

impl Section {
    /// Parses the second word of the header, and reports an error at the header's line if it is
    /// invalid or followed by further words.
    pub(crate) fn name<T>(&self, file: &mut File) -> Option<T>
    where
        T: FromStr<Err = base::id::Error>,
    {
        let name = self.header.split_whitespace().nth(1).unwrap_or("");
        let extra_words = self.header.split_whitespace().count() > 2;
        let input = if extra_words { self.header.as_str() } else { name };
        match input.parse() {
            Ok(value) => Some(value),
            Err(e) => {
                file.error(self.line, &format!("[{}]", self.header), input, e.allowed);
                None
            }
        }
    }

    /// Returns the path of `key` for errors, such as `[service maps] slots`.
    pub(crate) fn field(&self, key: &str) -> String {
        format!("[{}] {key}", self.header)
    }

    /// Removes the entry of `key` and returns its line and unparsed value.
    pub(crate) fn take_raw(&mut self, key: &str) -> Option<(usize, String)> {
        let index = self.entries.iter().position(|e| e.key == key)?;
        let entry = self.entries.remove(index);
        Some((entry.line, entry.value))
    }

    /// Removes the entry of `key` and parses its value.
    ///
    /// A missing entry gives `default`; without a default it is reported. An invalid value is
    /// reported and gives `None`.
    pub(crate) fn take<T>(
        &mut self,
        file: &mut File,
        key: &str,
        allowed: &str,
        default: Option<T>,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Option<T> {
        let field = self.field(key);
        let Some((line, value)) = self.take_raw(key) else {
            if default.is_none() {
                file.error(self.line, &field, "", allowed);
            }
            return default;
        };
        let parsed = parse(&value);
        if parsed.is_none() {
            let input = if value.is_empty() { "(empty)" } else { &value };
            file.error(line, &field, input, allowed);
        }
        parsed
    }

    /// Takes an integer within `range`.
    pub(crate) fn take_integer(
        &mut self,
        file: &mut File,
        key: &str,
        range: RangeInclusive<u64>,
        default: Option<u64>,
    ) -> Option<u64> {
        let allowed = format!("{} to {}", range.start(), range.end());
        let parse = |v: &str| v.parse().ok().filter(|n| range.contains(n));
        self.take(file, key, &allowed, default, parse)
    }

    /// Takes a duration within `range_ms`, in milliseconds.
    pub(crate) fn take_duration(
        &mut self,
        file: &mut File,
        key: &str,
        range_ms: RangeInclusive<u64>,
        default_ms: Option<u64>,
    ) -> Option<Duration> {
        let (allowed, parse) = (allowed_span(&range_ms), |v: &str| parse_span(v, &range_ms));
        self.take(file, key, &allowed, default_ms.map(Duration::from_millis), parse)
    }

    /// Takes a duration that may be absent.
    pub(crate) fn take_optional_duration(
        &mut self,
        file: &mut File,
        key: &str,
        range_ms: RangeInclusive<u64>,
    ) -> Option<Option<Duration>> {
        let parse = |v: &str| parse_span(v, &range_ms).map(Some);
        self.take(file, key, &allowed_span(&range_ms), Some(None), parse)
    }

    /// Takes `yes` or `no`.
    pub(crate) fn take_bool(&mut self, file: &mut File, key: &str, default: bool) -> bool {
        let parse = |v: &str| match v {
            "yes" => Some(true),
            "no" => Some(false),
            _ => None,
        };
        self.take(file, key, "yes or no", Some(default), parse).unwrap_or(default)
    }

    /// Takes a comma-separated list of distinct names; a missing entry is reported.
    pub(crate) fn take_names<T>(&mut self, file: &mut File, key: &str) -> Vec<T>
    where
        T: FromStr<Err = base::id::Error> + PartialEq,
    {
        let allowed = "names separated by commas, each once";
        let parse = |v: &str| {
            let mut names = Vec::new();
            for part in v.split(',') {
                let name = part.trim().parse::<T>().ok().filter(|n| !names.contains(n))?;
                names.push(name);
            }
            Some(names)
        };
        self.take(file, key, allowed, None, parse).unwrap_or_default()
    }

    /// Takes all remaining entries as pairs of names. Invalid ones are reported.
    pub(crate) fn take_pairs<K, V>(&mut self, file: &mut File, allowed: &str) -> Vec<(K, V)>
    where
        K: FromStr<Err = base::id::Error>,
        V: FromStr<Err = base::id::Error>,
    {
        let mut pairs = Vec::new();
        for entry in std::mem::take(&mut self.entries) {
            match (entry.key.parse(), entry.value.parse()) {
                (Ok(key), Ok(value)) => pairs.push((key, value)),
                _ => file.error(entry.line, &self.field(&entry.key), &entry.value, allowed),
            }
        }
        pairs
    }

    /// Reports each field that was not taken as an error. `fields` lists the accepted fields.
    pub(crate) fn finish(self, file: &mut File, fields: &str) {
        for entry in &self.entries {
            let field = self.field(&entry.key);
            file.error(entry.line, &field, &entry.key, &format!("one of {fields}"));
        }
    }
}

fn allowed_span(range_ms: &RangeInclusive<u64>) -> String {
    let span = |ms: u64| TimeSpan(Duration::from_millis(ms));
    format!("{} to {}", span(*range_ms.start()), span(*range_ms.end()))
}

/// Parses a duration within `range_ms`.
fn parse_span(text: &str, range_ms: &RangeInclusive<u64>) -> Option<Duration> {
    let allowed_ms = |d: &Duration| range_ms.contains(&(d.as_millis() as u64));
    text.parse::<TimeSpan>().ok().map(|s| s.0).filter(allowed_ms)
}
