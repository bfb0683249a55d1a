//! Encoding of the list of suspected and quarantined requests in the store.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::num::ParseIntError;
use unit::Fingerprint;

/// Key of the list. Operators clear the quarantine by removing it.
pub const KEY: &str = "coveford/quarantine";

/// Request in the list, with its fingerprint as in the logs.
#[derive(Serialize, Deserialize)]
struct Entry {
    request: String,
    kept_out: bool,
}

#[derive(Debug)]
pub(super) struct DecodeError(String);

impl std::fmt::Display for DecodeError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(&self.0)
    }
}

pub(super) fn encode(listed: &BTreeMap<Fingerprint, bool>) -> Vec<u8> {
    let entries = listed.iter().map(|(fingerprint, kept_out)| Entry {
        request: fingerprint.to_string(),
        kept_out: *kept_out,
    });
    let entries: Vec<Entry> = entries.collect();
    serde_json::to_vec(&entries).expect("entries are serializable")
}

pub(super) fn decode(value: &[u8]) -> Result<BTreeMap<Fingerprint, bool>, DecodeError> {
    let entries: Vec<Entry> =
        serde_json::from_slice(value).map_err(|why| DecodeError(why.to_string()))?;
    let read = |entry: &Entry| -> Result<_, ParseIntError> {
        let hash = u64::from_str_radix(&entry.request, 16)?;
        Ok((Fingerprint(hash), entry.kept_out))
    };
    let listed: Result<_, _> = entries.iter().map(read).collect();
    listed.map_err(|why| DecodeError(format!("An entry holds no fingerprint: {why}.")))
}
