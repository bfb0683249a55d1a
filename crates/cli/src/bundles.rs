//! Operations on bundles: check, diff, propose, approve, roll, history.

use crate::client::{CALL_ATTEMPTS, Client};
use crate::error::Error;
use backing::hosts::Kind;
use backing::keys;
use backing::kv::{Error as KvError, SwapOutcome};
use bundle::diff::{Diff, diff};
use bundle::key::{Purpose, public_key, sign};
use bundle::part::{self, Part};
use bundle::{Draft, Head, Intent};
use daemon::clock::wall_ms;
use daemon::documents::{self, Versioned};
use ed25519_dalek::SigningKey;
use place::fit::{self, Bin, Fit};
use place::homes::Requirement;
use serde::Serialize;
use std::collections::HashMap;
use std::time::Duration;
use tokio::time::sleep;
use unit::Name;

/// Pause between two attempts at a write.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);

/// An operator with its signing key.
pub struct Signer<'a> {
    /// Its name in the settings.
    pub operator: &'a Name,
    pub key: &'a SigningKey,
}

/// Parses and validates the text of a bundle; `file` names it in the problems found.
pub fn parse(file: &str, text: &str) -> Result<Intent, Error> {
    bundle::parse(file, text).map_err(|problems| Error::Bundle { problems })
}

/// Checks whether the replicas that a bundle requires fit the accelerators in the host list.
pub async fn check_fit(client: &Client, intent: &Intent) -> Result<Fit, Error> {
    let bins: Vec<Bin> = client
        .hosts()
        .await?
        .into_iter()
        .filter(|h| !h.leaving)
        .filter_map(|h| match h.kind {
            Kind::Engine { memory } => Some(Bin {
                upstream: h.name,
                memory,
            }),
            _ => None,
        })
        .collect();
    Ok(fit::check(&requirements(intent), &bins))
}

/// Replicas that a bundle requires; the memory of a model includes its adapters.
fn requirements(intent: &Intent) -> Vec<Requirement> {
    let total_memory = |name: &Name, model: &bundle::intent::Model| {
        let adapters = intent.adapters.values().filter(|a| a.model == *name);
        model.memory + adapters.map(|a| a.memory).sum()
    };
    let requirements = intent.models.iter().map(|(name, model)| Requirement {
        model: name.clone(),
        memory: total_memory(name, model),
        min_replicas: model.least,
    });
    requirements.collect()
}

/// Fails if a bundle does not fit.
async fn ensure_fit(client: &Client, intent: &Intent) -> Result<(), Error> {
    let fit = check_fit(client, intent).await?;
    match fit.fits() {
        true => Ok(()),
        false => Err(Error::InsufficientMemory { fit }),
    }
}

/// Validates a bundle and checks that it fits the host list.
pub async fn check_with_fleet(client: &Client, file: &str, text: &str) -> Result<Fit, Error> {
    let intent = parse(file, text)?;
    let fit = check_fit(client, &intent).await?;
    match fit.fits() {
        true => Ok(fit),
        false => Err(Error::InsufficientMemory { fit }),
    }
}

/// Compares a bundle with the one in force.
pub async fn compare(client: &Client, file: &str, text: &str) -> Result<Diff, Error> {
    let new = parse(file, text)?;
    let head = documents::head(&client.kv).await?;
    let old = match head.value {
        Some(head) => load_intent(client, &head).await?,
        None => Intent::default(),
    };
    Ok(diff(&old, &new))
}

/// Reads and parses the bundle of a head.
async fn load_intent(client: &Client, head: &Head) -> Result<Intent, Error> {
    let text = load_text(client, head).await?;
    parse(&format!("bundle {}", head.sequence), &text)
}

/// Reads the text of a head's bundle.
pub async fn load_text(client: &Client, head: &Head) -> Result<String, Error> {
    let parts = &head.draft.parts;
    let texts = documents::parts(&client.kv, parts, &HashMap::new()).await?;
    let ordered = parts.iter().map(|part| &*texts[&part.hash]);
    Ok(part::concat(ordered))
}

/// Writes a signed draft of a bundle to the key-value service and returns it.
pub async fn propose(
    client: &Client,
    file: &str,
    text: &str,
    signer: &Signer<'_>,
) -> Result<Draft, Error> {
    let intent = parse(file, text)?;
    ensure_fit(client, &intent).await?;
    ensure_key_matches(client, signer)?;
    let parts: Vec<Part> =
        part::split(file, text).map_err(|problems| Error::Bundle { problems })?;
    let head = documents::head(&client.kv).await?;
    let replaces = head.value.map_or(0, |h| h.sequence);
    let refs: Vec<_> = parts.iter().map(|p| p.reference.clone()).collect();
    let root = part::content_hash(&refs);
    let draft = Draft {
        id: draft_id(&root),
        replaces,
        title: intent.title.clone(),
        parts: refs,
        proposal: sign(
            signer.key,
            signer.operator,
            Purpose::Propose,
            &root,
            replaces,
        ),
        approvals: Vec::new(),
    };
    documents::put_parts(&client.kv, &parts).await?;
    let text = to_json(&draft);
    let key = keys::draft(&draft.id);
    // The id is unique, so a retry after a lost response can only conflict with this draft itself.
    write(client, &key, 0, &text, "the proposal").await?;
    Ok(draft)
}

/// Id of a new draft: its time in seconds, a prefix of its content hash and a random suffix.
fn draft_id(root: &str) -> Name {
    let suffix: u16 = rand::random();
    format!("{:x}-{}-{suffix:04x}", wall_ms() / 1_000, &root[..8]).into()
}

/// Fails if the signer's key is not the operator's key in the settings.
fn ensure_key_matches(client: &Client, signer: &Signer) -> Result<(), Error> {
    let registered = client.settings.trust.operators.get(signer.operator);
    match registered == Some(&public_key(signer.key)) {
        true => Ok(()),
        false => Err(Error::KeyMismatch {
            operator: signer.operator.clone(),
        }),
    }
}

fn to_json<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("the value serializes to JSON")
}

/// Reads a draft; it has a value.
pub async fn draft(client: &Client, id: &Name) -> Result<Versioned<Draft>, Error> {
    let stored: Versioned<Draft> = documents::read(&client.kv, &keys::draft(id)).await?;
    match stored.value {
        Some(_) => Ok(stored),
        None => Err(Error::DraftNotFound { id: id.clone() }),
    }
}

/// Adds an operator's approval to a draft.
pub async fn approve(client: &Client, id: &Name, signer: &Signer<'_>) -> Result<Draft, Error> {
    ensure_key_matches(client, signer)?;
    loop {
        let stored = draft(client, id).await?;
        let mut draft = stored.value.expect("a draft that was read has a value");
        if draft.proposal.operator == *signer.operator {
            return Err(Error::OwnProposal {
                operator: signer.operator.clone(),
            });
        }
        let head = documents::head(&client.kv).await?;
        ensure_current(&draft, head.value.as_ref())?;
        let root = draft.content_hash();
        draft.approvals.retain(|a| a.operator != *signer.operator);
        let approval = sign(
            signer.key,
            signer.operator,
            Purpose::Approve,
            &root,
            draft.replaces,
        );
        draft.approvals.push(approval);
        let text = to_json(&draft);
        let written = write(
            client,
            &keys::draft(id),
            stored.revision,
            &text,
            "the approval",
        )
        .await?;
        if written {
            return Ok(draft);
        }
        // Another operator's approval was written first: retry on top of it.
    }
}

/// Fails if the bundle that a draft replaces is not the one in force.
fn ensure_current(draft: &Draft, head: Option<&Head>) -> Result<(), Error> {
    let current = head.map_or(0, |h| h.sequence);
    if draft.replaces == current {
        return Ok(());
    }
    Err(Error::Superseded {
        id: draft.id.clone(),
        replaces: draft.replaces,
        current,
        title: head.map_or("nothing".into(), |h| h.draft.title.clone()),
        proposer: head.map_or("nobody".into(), |h| h.draft.proposal.operator.clone()),
    })
}

/// Puts an approved draft in force and returns its head.
pub async fn roll(client: &Client, id: &Name) -> Result<Head, Error> {
    let draft = draft(client, id)
        .await?
        .value
        .expect("a draft that was read has a value");
    let stored = documents::head(&client.kv).await?;
    ensure_current(&draft, stored.value.as_ref())?;
    let revoked = match &stored.value {
        Some(head) => load_intent(client, head).await?.revoked,
        None => Default::default(),
    };
    draft.verify(&client.settings.trust, &revoked)?;
    let texts = documents::parts(&client.kv, &draft.parts, &HashMap::new()).await?;
    let intent = part::parse(draft.parts.iter().map(|p| &*texts[&p.hash]))
        .map_err(|problems| Error::Bundle { problems })?;
    ensure_fit(client, &intent).await?;
    if let Some(head) = &stored.value {
        archive(client, head).await?;
    }
    let head = Head {
        sequence: draft.replaces + 1,
        rolled_ms: wall_ms(),
        draft,
    };
    let what = format!("the roll of bundle {}", head.sequence);
    let written = write(client, keys::HEAD, stored.revision, &to_json(&head), &what).await?;
    if !written && !was_in_force(client, &head).await? {
        let now = documents::head(&client.kv).await?;
        ensure_current(&head.draft, now.value.as_ref())?;
    }
    let _ = archive(client, &head).await;
    Ok(head)
}

/// Whether a head took effect by a write whose response was lost, and has been superseded since.
///
/// Rolling a bundle first writes the one that it replaces to the history.
async fn was_in_force(client: &Client, head: &Head) -> Result<bool, Error> {
    let archived: Result<Versioned<Head>, _> =
        documents::read(&client.kv, &keys::history(head.sequence)).await;
    let archived = archived.map_err(|_| Error::Indeterminate {
        what: format!("the roll of bundle {}", head.sequence),
    })?;
    Ok(archived
        .value
        .is_some_and(|archived| archived.draft.id == head.draft.id))
}

/// Writes a head to the history. Its sequence is the key, so a repeated write has no effect.
async fn archive(client: &Client, head: &Head) -> Result<(), Error> {
    let key = keys::history(head.sequence);
    let what = format!("writing bundle {} to the history", head.sequence);
    write(client, &key, 0, &to_json(head), &what).await?;
    Ok(())
}

/// Writes a value if its key is at the expected revision, and retries after a lost response.
///
/// Returns true if the write took effect, false if another write came first, and
/// [`Error::Indeterminate`] if that is still unknown after all attempts.
async fn write(
    client: &Client,
    key: &str,
    expected: u64,
    text: &str,
    what: &str,
) -> Result<bool, Error> {
    let mut in_doubt = false;
    for _ in 0..CALL_ATTEMPTS {
        match client
            .kv
            .compare_and_swap(key, expected, Some(text), None)
            .await
        {
            Ok(SwapOutcome::Written(_)) => return Ok(true),
            Ok(SwapOutcome::Conflict(current)) => {
                return Ok(current.is_some_and(|c| &*c.value == text));
            }
            Err(KvError::Indeterminate { .. }) => in_doubt = true,
            Err(source) if !in_doubt => return Err(documents::Error::Kv { source }.into()),
            Err(_) => {}
        }
        sleep(RETRY_INTERVAL).await;
    }
    Err(Error::Indeterminate { what: what.into() })
}

/// Heads of the bundles in the history, oldest first.
pub async fn history(client: &Client) -> Result<Vec<Head>, Error> {
    let entries = client.kv.list(keys::HISTORY).await;
    let entries = entries.map_err(|source| documents::Error::Kv { source })?;
    let mut heads = Vec::new();
    for entry in &entries {
        heads.push(documents::parse::<Head>(&entry.key, &entry.value)?);
    }
    Ok(heads)
}

/// Head of the bundle with a sequence, or of the one in force.
pub async fn find(client: &Client, sequence: Option<u64>) -> Result<Head, Error> {
    let head = documents::head(&client.kv).await?.value;
    match (sequence, head) {
        (None, Some(head)) => Ok(head),
        (None, None) => Err(Error::NoBundle),
        (Some(n), Some(head)) if head.sequence == n => Ok(head),
        (Some(n), _) => {
            let stored: Versioned<Head> = documents::read(&client.kv, &keys::history(n)).await?;
            stored.value.ok_or_else(|| Error::NotFound {
                text: format!(
                    "There is no bundle {n}; 'coveford bundle history' lists past bundles."
                ),
            })
        }
    }
}
