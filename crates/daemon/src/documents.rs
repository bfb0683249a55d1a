//! JSON documents and parts of bundles in the key-value service.

use backing::keys;
use backing::kv::{Error as KvError, Kv, SwapOutcome};
use bundle::part::{self, Part, Ref};
use bundle::{Draft, Head};
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::collections::HashMap;
use unit::Name;

/// Error of reading from or writing to the key-value service.
#[derive(Debug, Snafu)]
pub enum Error {
    /// A call of the key-value service failed.
    #[snafu(display("{source}"), context(false))]
    Kv { source: KvError },
    /// A value is malformed or differs from its hash.
    #[snafu(display("The value at {key} cannot be read: {reason}."))]
    Corrupt { key: Name, reason: String },
    #[snafu(display("Part {hash} is missing from the key-value service."))]
    Missing { hash: Name },
}

/// Value with its revision.
#[derive(Debug, Clone)]
pub struct Versioned<T> {
    /// `None` if the key does not exist.
    pub value: Option<T>,
    /// Revision to expect in the next compare-and-swap; 0 if the key does not exist.
    pub revision: u64,
}

/// Reads and parses the JSON value at `key`.
pub async fn read<T: DeserializeOwned>(kv: &Kv, key: &str) -> Result<Versioned<T>, Error> {
    match kv.get(key).await? {
        None => Ok(Versioned {
            value: None,
            revision: 0,
        }),
        Some(found) => Ok(Versioned {
            value: Some(parse(key, &found.value)?),
            revision: found.revision,
        }),
    }
}

/// Parses a JSON value; `key` is named in the error.
pub fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|e| Error::Corrupt {
        key: key.into(),
        reason: e.to_string(),
    })
}

/// Reads the head of the bundle in force.
pub async fn head(kv: &Kv) -> Result<Versioned<Head>, Error> {
    read(kv, keys::HEAD).await
}

/// Reads all drafts.
pub async fn drafts(kv: &Kv) -> Result<Vec<Draft>, Error> {
    let found = kv.list(keys::DRAFTS).await?;
    found.iter().map(|v| parse(&v.key, &v.value)).collect()
}

/// Returns the texts of parts by hash. Parts missing from `cached` are fetched and their hashes
/// verified.
pub async fn parts(
    kv: &Kv,
    refs: &[Ref],
    cached: &HashMap<Name, Name>,
) -> Result<HashMap<Name, Name>, Error> {
    let mut texts = HashMap::new();
    for reference in refs {
        let text = match cached.get(&reference.hash) {
            Some(text) => text.clone(),
            None => fetch(kv, &reference.hash).await?,
        };
        texts.insert(reference.hash.clone(), text);
    }
    Ok(texts)
}

async fn fetch(kv: &Kv, hash: &Name) -> Result<Name, Error> {
    let key = keys::part(hash);
    let found = kv.get(&key).await?;
    let found = found.ok_or_else(|| Error::Missing { hash: hash.clone() })?;
    if part::hash(found.value.as_bytes()) != *hash {
        return Err(Error::Corrupt {
            key: key.into(),
            reason: "its content does not match its hash".into(),
        });
    }
    Ok(found.value)
}

/// Attempts to write a part.
const PART_ATTEMPTS: u32 = 5;

/// Writes parts that do not exist yet. A part's key is its hash, so retries are idempotent.
pub async fn put_parts(kv: &Kv, parts: &[Part]) -> Result<(), Error> {
    for part in parts {
        put_part(kv, part).await?;
    }
    Ok(())
}

async fn put_part(kv: &Kv, part: &Part) -> Result<(), Error> {
    let key = keys::part(&part.reference.hash);
    let mut attempt = 1;
    loop {
        match kv.compare_and_swap(&key, 0, Some(&part.text), None).await {
            Ok(SwapOutcome::Written(_)) => return Ok(()),
            Ok(SwapOutcome::Conflict(Some(found))) if found.value == part.text => return Ok(()),
            Ok(SwapOutcome::Conflict(_)) => {
                return Err(Error::Corrupt {
                    key: key.into(),
                    reason: "it exists with different content".into(),
                });
            }
            Err(source) if attempt >= PART_ATTEMPTS => return Err(Error::Kv { source }),
            Err(_) => attempt += 1,
        }
    }
}
