//! The list of suspected and kept out requests as it stands in the store.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::ParseIntError;
use unit::Fingerprint;

/// Key of the list. Operators lift all of it by removing the key.
pub const KEY: &str = "coveford/quarantine";

/// Request in the list; its fingerprint reads as in the logs.
#[derive(Serialize, Deserialize)]
struct Entry {
    request: String,
    kept_out: bool,
}

/// Why a list cannot be read.
#[derive(Debug)]
pub(super) struct DecodeError(String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

pub(super) fn encode(listed: &BTreeMap<Fingerprint, bool>) -> Vec<u8> {
    let entries = listed.iter().map(|(print, kept_out)| Entry {
        request: print.to_string(),
        kept_out: *kept_out,
    });
    let entries: Vec<Entry> = entries.collect();
    serde_json::to_vec(&entries).expect("entries are plain data")
}

pub(super) fn decode(value: &[u8]) -> Result<BTreeMap<Fingerprint, bool>, DecodeError> {
    let entries: Vec<Entry> =
        serde_json::from_slice(value).map_err(|why| DecodeError(why.to_string()))?;
    let read = |entry: &Entry| -> Result<_, ParseIntError> {
        let print = u64::from_str_radix(&entry.request, 16)?;
        Ok((Fingerprint(print), entry.kept_out))
    };
    let listed: Result<_, _> = entries.iter().map(read).collect();
    listed.map_err(|why| DecodeError(format!("An entry holds no fingerprint: {why}.")))
}
