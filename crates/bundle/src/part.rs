//! Content-hashed parts of a bundle, so that a small change transfers little data.

use crate::ini::{self, Problem, Problems, Section};
use crate::intent::Intent;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use unit::Name;

/// Number of parts that the named sections of one kind are distributed over. With 1,700 models a part holds about 27 of
/// them, or 4 KB: a change of one model transfers that much and a list of some 130 hashes.
const BUCKETS: u8 = 64;

/// Maximum size of a part in bytes, below the maximum value size of the key-value service.
pub const MAX_BYTES: usize = 900_000;

/// Reference to a part by the hash of its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ref {
    /// Group of sections that the part holds, such as `model-17`.
    pub group: Name,
    /// SHA-256 of the text of the part, in hex.
    pub hash: Name,
}

/// Part of a bundle: canonical INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Group and hash.
    pub reference: Ref,
    /// Its text.
    pub text: Name,
}

/// SHA-256 in hex.
pub fn hash(bytes: &[u8]) -> Name {
    hex::encode(Sha256::digest(bytes)).into()
}

/// Hash over the groups and hashes of all parts, which identifies the content of a bundle.
pub fn content_hash(parts: &[Ref]) -> Name {
    let mut list = String::new();
    for part in parts {
        let _ = writeln!(list, "{} {}", part.group, part.hash);
    }
    hash(list.as_bytes())
}

/// Splits the text of a bundle into parts. An invalid bundle gives its problems.
pub fn split(file: &str, text: &str) -> Result<Vec<Part>, Vec<Problem>> {
    crate::parse(file, text)?;
    let mut problems = Problems::new(file);
    let document = ini::parse(text, &mut problems);
    let mut groups: BTreeMap<Name, Vec<&Section>> = BTreeMap::new();
    for section in &document.sections {
        groups.entry(group(section)).or_default().push(section);
    }
    let parts = groups.into_iter().map(|(group, mut sections)| {
        sections.sort_by_key(|s| ini::header(s));
        let text: Name = sections
            .iter()
            .map(|s| canonical(s))
            .collect::<String>()
            .into();
        Part {
            reference: Ref {
                group,
                hash: hash(text.as_bytes()),
            },
            text,
        }
    });
    problems.into_result(parts.collect())
}

/// Group that a section belongs to.
fn group(section: &Section) -> Name {
    match &*section.name {
        "" => "general".into(),
        name => {
            let bucket = Sha256::digest(name.as_bytes())[0] % BUCKETS;
            format!("{}-{bucket:02}", section.kind).into()
        }
    }
}

/// Canonical text of a section: entries sorted by key.
fn canonical(section: &Section) -> String {
    let mut entries: Vec<_> = section.entries.iter().collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    let mut text = format!("[{}]\n", ini::header(section));
    for entry in entries {
        let _ = writeln!(text, "{} = {}", entry.key, entry.value);
    }
    text
}

/// Parses the texts of all parts as one bundle.
pub fn parse<'a>(texts: impl Iterator<Item = &'a str>) -> Result<Intent, Vec<Problem>> {
    crate::parse("bundle", &concat(texts))
}

/// Concatenates the texts of parts into one document.
pub fn concat<'a>(texts: impl Iterator<Item = &'a str>) -> String {
    texts.collect::<Vec<_>>().join("\n")
}
