//! INI documents with line numbers, and typed access to their fields.

use ini_core::{Item, Parser};
use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use unit::Name;

/// INI document.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// Sections in order.
    pub sections: Vec<Section>,
}

impl Document {
    /// Returns the first section of a kind, or else an empty one, so that its missing keys are reported.
    pub fn section(&self, kind: &str) -> Section {
        let found = self.sections.iter().find(|s| &*s.kind == kind);
        found.cloned().unwrap_or_else(|| Section {
            kind: kind.into(),
            name: "".into(),
            line: 1,
            entries: Vec::new(),
        })
    }
}

/// Section such as `[model panel-judge]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Section {
    /// First word of the header.
    pub kind: Name,
    /// Rest of the header; empty for a section without a name.
    pub name: Name,
    /// Line number of the header, from 1.
    pub line: u32,
    /// Entries in order.
    pub entries: Vec<Entry>,
}

/// Line `key = value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key without surrounding whitespace.
    pub key: Name,
    /// Value without surrounding whitespace.
    pub value: Name,
    /// Line number, from 1.
    pub line: u32,
}

/// Error in a file, with its location.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// Name of the file as given by the user.
    pub file: Name,
    /// Line number, from 1.
    pub line: u32,
    /// What is wrong and what is allowed.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// Formats problems as indented lines.
pub fn format_problems(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}

/// Collects the problems of one file.
#[derive(Debug)]
pub struct Problems {
    file: Name,
    found: Vec<Problem>,
}

impl Problems {
    /// Creates an empty collection for a file name.
    pub fn new(file: &str) -> Problems {
        Problems {
            file: file.into(),
            found: Vec::new(),
        }
    }

    /// Adds a problem.
    pub fn add(&mut self, line: u32, text: impl Into<String>) {
        self.found.push(Problem {
            file: self.file.clone(),
            line,
            text: text.into(),
        });
    }

    /// Returns the value if there are no problems, else the problems sorted by line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<Problem>> {
        if self.found.is_empty() {
            return Ok(value);
        }
        self.found.sort_by_key(|p| p.line);
        Err(self.found)
    }
}

/// Parses a document. Malformed lines are added to `problems`.
pub fn parse(text: &str, problems: &mut Problems) -> Document {
    let mut document = Document::default();
    let mut parser = Parser::new(text).comment_char(b'#').auto_trim(true);
    loop {
        let line = parser.line() + 1;
        let Some(item) = parser.next() else {
            return document;
        };
        match item {
            Item::Section(header) => document.sections.push(section(header, line)),
            Item::Property(key, Some(value)) => match document.sections.last_mut() {
                Some(section) => section.entries.push(Entry {
                    key: key.into(),
                    value: value.into(),
                    line,
                }),
                None => problems.add(
                    line,
                    format!("'{key}' is outside any section; move it below a [section] header."),
                ),
            },
            Item::Property(key, None) => problems.add(
                line,
                format!("'{key}' is not 'key = value', a [section] or a # comment."),
            ),
            Item::Error(bad) => problems.add(
                line,
                format!("'{bad}' is not a section; it must end with ']'."),
            ),
            Item::SectionEnd | Item::Comment(_) | Item::Blank => {}
        }
    }
}

fn section(header: &str, line: u32) -> Section {
    let (kind, name) = header
        .split_once(char::is_whitespace)
        .unwrap_or((header, ""));
    Section {
        kind: kind.into(),
        name: name.trim().into(),
        line,
        entries: Vec::new(),
    }
}

/// Typed access to the fields of one section. Each key that is read becomes a known key.
pub struct Fields<'a> {
    section: &'a Section,
    problems: &'a mut Problems,
    known: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Wraps a section and reports duplicate keys.
    pub fn new(section: &'a Section, problems: &'a mut Problems) -> Fields<'a> {
        let mut seen = HashSet::new();
        for entry in &section.entries {
            if !seen.insert(&entry.key) {
                problems.add(
                    entry.line,
                    format!("'{}' stands twice in this section; keep one.", entry.key),
                );
            }
        }
        Fields {
            section,
            problems,
            known: Vec::new(),
        }
    }

    /// Returns the entry of a key, if there is one.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        if !self.known.contains(&key) {
            self.known.push(key);
        }
        self.section.entries.iter().find(|e| &*e.key == key)
    }

    /// Reports a problem with a key, at its line or, if it is missing, at the section header.
    pub fn report(&mut self, key: &'static str, text: impl fmt::Display) {
        let entry = self.section.entries.iter().find(|e| &*e.key == key);
        let line = entry.map_or(self.section.line, |e| e.line);
        self.problems.add(line, format!("{key}: {text}"));
    }

    /// Returns the value of a key, if there is one. An empty value is reported.
    pub fn text(&mut self, key: &'static str) -> Option<Name> {
        let entry = self.entry(key)?;
        if entry.value.is_empty() {
            self.report(key, "the value is empty; give one or leave the key out.");
            return None;
        }
        Some(entry.value.clone())
    }

    /// Returns the value of a key; a missing or empty one is reported.
    pub fn required(&mut self, key: &'static str) -> Option<Name> {
        if self.entry(key).is_none() {
            let line = self.section.line;
            let text = format!("'{key}' is missing in [{}]; add it.", header(self.section));
            self.problems.add(line, text);
            return None;
        }
        self.text(key)
    }

    /// Parses a comma-separated list; a missing key gives an empty one.
    pub fn list(&mut self, key: &'static str) -> Vec<Name> {
        let Some(text) = self.text(key) else {
            return Vec::new();
        };
        text.split(',')
            .map(str::trim)
            .filter(|item| !item.is_empty())
            .map(Name::from)
            .collect()
    }

    /// Parses the value of a key within a range; gives the default if it is missing or invalid.
    pub fn value<T>(&mut self, key: &'static str, default: T, allowed: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        self.optional(key, allowed).unwrap_or(default)
    }

    /// Parses the value of a key within a range, if there is one. An invalid value is reported.
    pub fn optional<T>(&mut self, key: &'static str, allowed: RangeInclusive<T>) -> Option<T>
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        let text = self.text(key)?;
        let (low, high) = (*allowed.start(), *allowed.end());
        match text.parse::<T>() {
            Ok(value) if allowed.contains(&value) => Some(value),
            _ => {
                self.report(
                    key,
                    format!("'{text}' is not allowed; give a value from {low} to {high}."),
                );
                None
            }
        }
    }

    /// Parses the value of a required key; a missing or invalid one is reported.
    pub fn parsed<T>(&mut self, key: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: fmt::Display,
    {
        let text = self.required(key)?;
        match text.parse() {
            Ok(value) => Some(value),
            Err(why) => {
                self.report(key, why);
                None
            }
        }
    }

    /// Parses `yes` or `no`; gives the default if the key is missing or invalid.
    pub fn flag(&mut self, key: &'static str, default: bool) -> bool {
        let Some(text) = self.text(key) else {
            return default;
        };
        match &*text {
            "yes" => true,
            "no" => false,
            other => {
                self.report(key, format!("'{other}' is not allowed; give yes or no."));
                default
            }
        }
    }

    /// Reports each key that has not been read as unknown.
    pub fn finish(self) {
        for entry in &self.section.entries {
            if !self.known.contains(&&*entry.key) {
                let known = self.known.join(", ");
                self.problems.add(
                    entry.line,
                    format!(
                        "'{}' is not a key of [{}]; known are: {known}.",
                        entry.key, self.section.kind
                    ),
                );
            }
        }
    }
}

/// Header of a section, without the brackets.
pub fn header(section: &Section) -> String {
    match &*section.name {
        "" => section.kind.to_string(),
        name => format!("{} {name}", section.kind),
    }
}
