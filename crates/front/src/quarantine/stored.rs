//! Encoding of the list of suspected and quarantined causes in the store.

use super::Listed;
use route::quarantine::Cause;
use serde::{Deserialize, Serialize};
use unit::Fingerprint;

/// Key of the list. Operators clear the whole quarantine by removing it.
pub const KEY: &str = "coveford/quarantine";

/// Key of a list, written like the other one, of causes that an operator clears. It counts when it is written.
pub const LIFTED: &str = "coveford/quarantine-lifted";

/// Entry of the list, named as in the logs.
#[derive(Serialize, Deserialize)]
struct Entry {
    #[serde(flatten)]
    cause: Name,
    /// Further causes: only requests that hold all of them are meant.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    with: Vec<Name>,
    #[serde(default)]
    kept_out: bool,
}

/// Cause as the logs name it.
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Name {
    /// Fingerprint of a request.
    Request(String),
    /// ID of a segment.
    Segment(String),
}

#[derive(Debug)]
pub(super) struct DecodeError(String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

pub(super) fn encode(listed: &Listed) -> Vec<u8> {
    let entries = listed.iter().filter_map(|(causes, kept_out)| {
        let mut names = causes.iter().map(name);
        Some(Entry {
            cause: names.next()?,
            with: names.collect(),
            kept_out: *kept_out,
        })
    });
    let entries: Vec<Entry> = entries.collect();
    serde_json::to_vec(&entries).expect("entries are serializable")
}

pub(super) fn decode(value: &[u8]) -> Result<Listed, DecodeError> {
    let entries: Vec<Entry> =
        serde_json::from_slice(value).map_err(|why| DecodeError(why.to_string()))?;
    entries.iter().map(read).collect()
}

fn read(entry: &Entry) -> Result<(Vec<Cause>, bool), DecodeError> {
    let names = std::iter::once(&entry.cause).chain(&entry.with);
    let causes: Result<Vec<Cause>, _> = names.map(cause).collect();
    let mut causes = causes?;
    causes.sort_unstable();
    Ok((causes, entry.kept_out))
}

fn name(cause: &Cause) -> Name {
    match cause {
        Cause::Request(fingerprint) => Name::Request(fingerprint.to_string()),
        Cause::Segment(id) => Name::Segment(format!("{id:x}")),
    }
}

fn cause(name: &Name) -> Result<Cause, DecodeError> {
    let (Name::Request(text) | Name::Segment(text)) = name;
    let id = u64::from_str_radix(text, 16)
        .map_err(|why| DecodeError(format!("{text:?} is no hexadecimal number: {why}.")))?;
    Ok(match name {
        Name::Request(_) => Cause::Request(Fingerprint(id)),
        Name::Segment(_) => Cause::Segment(id),
    })
}
