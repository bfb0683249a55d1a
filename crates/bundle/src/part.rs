//! Content-hashed parts, so that a small change moves a small part.

use crate::ini::{self, Problem, Problems, Section};
use crate::intent::Intent;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::BTreeMap;
use std::fmt::Write;
use unit::Name;

/// Buckets that the sections of one kind are spread over.
///
/// At 1,700 models a bucket holds about 27 models or 4 KB: a change of one
/// model moves that much and a list of some 130 hashes.
const BUCKETS: u8 = 64;

/// Longest part in bytes; the key-value service holds values up to a megabyte.
pub const MOST_BYTES: usize = 900_000;

/// Reference to a part by the hash of its content.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ref {
    /// Group of sections it holds, such as `model-17`.
    pub group: Name,
    /// SHA-256 of its text, in hex.
    pub hash: Name,
}

/// Part of a bundle: canonical INI text.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Part {
    /// Where it belongs.
    pub reference: Ref,
    /// Its text.
    pub text: Name,
}

/// SHA-256 in hex.
pub fn hash(bytes: &[u8]) -> Name {
    hex::encode(Sha256::digest(bytes)).into()
}

/// Hash over the list of parts: it names the whole content.
pub fn content_hash(parts: &[Ref]) -> Name {
    let mut list = String::new();
    for part in parts {
        let _ = writeln!(list, "{} {}", part.group, part.hash);
    }
    hash(list.as_bytes())
}

/// Cuts the text of a checked bundle into parts.
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

fn group(section: &Section) -> Name {
    match &*section.name {
        "" => "general".into(),
        name => {
            let bucket = Sha256::digest(name.as_bytes())[0] % BUCKETS;
            format!("{}-{bucket:02}", section.kind).into()
        }
    }
}

fn canonical(section: &Section) -> String {
    let mut entries: Vec<_> = section.entries.iter().collect();
    entries.sort_by(|a, b| a.key.cmp(&b.key));
    let mut text = format!("[{}]\n", ini::header(section));
    for entry in entries {
        let _ = writeln!(text, "{} = {}", entry.key, entry.value);
    }
    text
}

/// Joins the texts of parts and reads them as one bundle.
pub fn parse<'a>(texts: impl Iterator<Item = &'a str>) -> Result<Intent, Vec<Problem>> {
    crate::parse("bundle", &concat(texts))
}

/// Joins the texts of parts into one document.
pub fn concat<'a>(texts: impl Iterator<Item = &'a str>) -> String {
    texts.collect::<Vec<_>>().join("\n")
}
