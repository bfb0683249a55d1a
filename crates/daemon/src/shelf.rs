//! Heads and parts of bundles in the key-value service.

use backing::keys;
use backing::kv::{Error as KvError, Kv, SwapOutcome};
use bundle::part::{self, Part, Ref};
use bundle::{Draft, Head};
use serde::de::DeserializeOwned;
use snafu::Snafu;
use std::collections::HashMap;
use unit::Name;

/// Why something could not be read from or written to the service.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The service could not be used.
    #[snafu(display("{source}"), context(false))]
    Kv {
        /// Its error.
        source: KvError,
    },
    /// A value is not what it should be.
    #[snafu(display("The value at {key} cannot be read: {reason}."))]
    Corrupt {
        /// Where.
        key: Name,
        /// What is wrong.
        reason: String,
    },
    /// A part is missing.
    #[snafu(display("Part {hash} is missing from the key-value service."))]
    Missing {
        /// Its hash.
        hash: Name,
    },
}

/// Value with the revision it was read at; revision 0 means absent.
#[derive(Debug, Clone)]
pub struct At<T> {
    /// The value.
    pub value: Option<T>,
    /// Revision for the next compare-and-swap.
    pub revision: u64,
}

/// Reads a JSON value.
pub async fn read<T: DeserializeOwned>(kv: &Kv, key: &str) -> Result<At<T>, Error> {
    match kv.get(key).await? {
        None => Ok(At {
            value: None,
            revision: 0,
        }),
        Some(found) => Ok(At {
            value: Some(parse(key, &found.value)?),
            revision: found.revision,
        }),
    }
}

/// Reads a JSON text that came from `key`.
pub fn parse<T: DeserializeOwned>(key: &str, text: &str) -> Result<T, Error> {
    serde_json::from_str(text).map_err(|e| Error::Corrupt {
        key: key.into(),
        reason: e.to_string(),
    })
}

/// Reads the head in force.
pub async fn head(kv: &Kv) -> Result<At<Head>, Error> {
    read(kv, keys::HEAD).await
}

/// Reads all drafts.
pub async fn drafts(kv: &Kv) -> Result<Vec<Draft>, Error> {
    let found = kv.list(keys::DRAFTS).await?;
    found.iter().map(|v| parse(&v.key, &v.value)).collect()
}

/// Reads the texts of parts, those in `have` without asking the service; hashes are checked.
pub async fn parts(
    kv: &Kv,
    refs: &[Ref],
    have: &HashMap<Name, Name>,
) -> Result<HashMap<Name, Name>, Error> {
    let mut texts = HashMap::new();
    for at in refs {
        let text = match have.get(&at.hash) {
            Some(text) => text.clone(),
            None => fetch(kv, &at.hash).await?,
        };
        texts.insert(at.hash.clone(), text);
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
            reason: "its content does not have this hash".into(),
        });
    }
    Ok(found.value)
}

/// Tries to write a part before giving up.
const PART_TRIES: u32 = 5;

/// Writes parts that are not there yet; a part's key is its hash, so a repeat is harmless.
pub async fn put_parts(kv: &Kv, parts: &[Part]) -> Result<(), Error> {
    for part in parts {
        put_part(kv, part).await?;
    }
    Ok(())
}

async fn put_part(kv: &Kv, part: &Part) -> Result<(), Error> {
    let key = keys::part(&part.reference.hash);
    let mut tries = 1;
    loop {
        match kv.compare_and_swap(&key, 0, Some(&part.text), None).await {
            Ok(SwapOutcome::Written(_)) => return Ok(()),
            Ok(SwapOutcome::Conflict(Some(found))) if found.value == part.text => return Ok(()),
            Ok(SwapOutcome::Conflict(_)) => {
                return Err(Error::Corrupt {
                    key: key.into(),
                    reason: "another content stands there".into(),
                });
            }
            Err(source) if tries >= PART_TRIES => return Err(Error::Kv { source }),
            Err(_) => tries += 1,
        }
    }
}
