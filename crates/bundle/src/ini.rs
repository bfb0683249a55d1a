//! INI documents with the line of each entry, and typed reading of their fields.

use ini_core::{Item, Parser};
use std::collections::HashSet;
use std::fmt;
use std::ops::RangeInclusive;
use std::str::FromStr;
use unit::Name;

/// INI document.
#[derive(Debug, Clone, Default)]
pub struct Document {
    /// Its sections in order.
    pub sections: Vec<Section>,
}

impl Document {
    /// The first section of a kind, or an empty one whose reading reports what is missing.
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
    /// The rest of the header; empty for a section without a name.
    pub name: Name,
    /// Line of the header, from 1.
    pub line: u32,
    /// Its entries in order.
    pub entries: Vec<Entry>,
}

/// Line `key = value`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Key without blanks around it.
    pub key: Name,
    /// Value without blanks around it.
    pub value: Name,
    /// Line, from 1.
    pub line: u32,
}

/// Something wrong in a file, with its place.
#[derive(Debug, Clone, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Problem {
    /// File as the user named it.
    pub file: Name,
    /// Line, from 1.
    pub line: u32,
    /// What is wrong and what is allowed, as a full sentence.
    pub text: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.file, self.line, self.text)
    }
}

/// Problems as indented text, one a line.
pub fn format_problems(problems: &[Problem]) -> String {
    let lines: Vec<String> = problems.iter().map(|p| format!("  {p}")).collect();
    lines.join("\n")
}

/// Collects what is wrong in one file.
#[derive(Debug)]
pub struct Problems {
    file: Name,
    found: Vec<Problem>,
}

impl Problems {
    /// Starts a list for the file of that name.
    pub fn new(file: &str) -> Problems {
        Problems {
            file: file.into(),
            found: Vec::new(),
        }
    }

    /// Notes a problem.
    pub fn add(&mut self, line: u32, text: impl Into<String>) {
        self.found.push(Problem {
            file: self.file.clone(),
            line,
            text: text.into(),
        });
    }

    /// The value when nothing was wrong, else all that was, by line.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Vec<Problem>> {
        if self.found.is_empty() {
            return Ok(value);
        }
        self.found.sort_by_key(|p| p.line);
        Err(self.found)
    }
}

/// Reads a document; malformed lines are noted as problems.
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
                    format!("'{key}' stands before any section; put it below a [section]."),
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

/// Typed reading of one section; keys never asked for are reported as unknown.
pub struct Fields<'a> {
    section: &'a Section,
    problems: &'a mut Problems,
    asked: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Starts reading a section; a key that stands twice is reported.
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
            asked: Vec::new(),
        }
    }

    /// The entry of a key, if it stands there.
    pub fn entry(&mut self, key: &'static str) -> Option<&'a Entry> {
        if !self.asked.contains(&key) {
            self.asked.push(key);
        }
        self.section.entries.iter().find(|e| &*e.key == key)
    }

    /// Notes a problem with a key's value, at its line or else at the section's.
    pub fn report(&mut self, key: &'static str, text: impl fmt::Display) {
        let entry = self.section.entries.iter().find(|e| &*e.key == key);
        let line = entry.map_or(self.section.line, |e| e.line);
        self.problems.add(line, format!("{key}: {text}"));
    }

    /// Text of a key, if it stands there and is not empty.
    pub fn text(&mut self, key: &'static str) -> Option<Name> {
        let entry = self.entry(key)?;
        if entry.value.is_empty() {
            self.report(key, "the value is empty; give one or leave the key out.");
            return None;
        }
        Some(entry.value.clone())
    }

    /// Text of a key that must stand there.
    pub fn required(&mut self, key: &'static str) -> Option<Name> {
        if self.entry(key).is_none() {
            let line = self.section.line;
            let text = format!("'{key}' is missing in [{}]; add it.", header(self.section));
            self.problems.add(line, text);
            return None;
        }
        self.text(key)
    }

    /// Comma-separated list; empty when the key is missing.
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

    /// Value of a key within a range, or the default.
    pub fn value<T>(&mut self, key: &'static str, default: T, allowed: RangeInclusive<T>) -> T
    where
        T: FromStr + PartialOrd + fmt::Display + Copy,
    {
        self.optional(key, allowed).unwrap_or(default)
    }

    /// Value of a key within a range, if one is given.
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

    /// Value of any readable type that must stand there.
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

    /// `yes` or `no`, or the default.
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

    /// Reports each key that was never asked for.
    pub fn finish(self) {
        for entry in &self.section.entries {
            if !self.asked.contains(&&*entry.key) {
                let known = self.asked.join(", ");
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

/// Header of a section as it stands between the brackets.
pub fn header(section: &Section) -> String {
    match &*section.name {
        "" => section.kind.to_string(),
        name => format!("{} {name}", section.kind),
    }
}
