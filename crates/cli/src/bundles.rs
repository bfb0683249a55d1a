//! Life of a bundle: check, diff, propose, approve, roll.

use crate::client::Client;
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

/// Tries to settle a roll whose answer was lost.
const TRIES: u32 = 10;

/// Pause between two such tries.
const PAUSE: Duration = Duration::from_millis(300);

/// Operator with its key.
pub struct Signer<'a> {
    /// Name in the settings.
    pub operator: &'a Name,
    /// Key.
    pub key: &'a SigningKey,
}

/// Reads and checks the text of a bundle.
pub fn check(file: &str, text: &str) -> Result<Intent, Error> {
    bundle::parse(file, text).map_err(|problems| Error::Bundle { problems })
}

/// Whether a bundle's floors fit the accelerators in the host list.
pub async fn fit(client: &Client, intent: &Intent) -> Result<Fit, Error> {
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

/// What a bundle wants kept, each model with its adapters.
fn requirements(intent: &Intent) -> Vec<Requirement> {
    let whole = |name: &Name, model: &bundle::intent::Model| {
        let adapters = intent.adapters.values().filter(|a| a.model == *name);
        model.memory + adapters.map(|a| a.memory).sum()
    };
    let requirements = intent.models.iter().map(|(name, model)| Requirement {
        model: name.clone(),
        memory: whole(name, model),
        min_replicas: model.least,
    });
    requirements.collect()
}

/// Refuses a bundle that does not fit.
async fn must_fit(client: &Client, intent: &Intent) -> Result<(), Error> {
    let fit = fit(client, intent).await?;
    match fit.fits() {
        true => Ok(()),
        false => Err(Error::InsufficientMemory { fit }),
    }
}

/// Checks a bundle, and with `fleet` that it fits.
pub async fn check_fleet(client: &Client, file: &str, text: &str) -> Result<Fit, Error> {
    let intent = check(file, text)?;
    let fit = fit(client, &intent).await?;
    match fit.fits() {
        true => Ok(fit),
        false => Err(Error::InsufficientMemory { fit }),
    }
}

/// What rolling a bundle would mean.
pub async fn compare(client: &Client, file: &str, text: &str) -> Result<Diff, Error> {
    let new = check(file, text)?;
    let head = documents::head(&client.kv).await?;
    let old = match head.value {
        Some(head) => load_intent(client, &head).await?,
        None => Intent::default(),
    };
    Ok(diff(&old, &new))
}

/// Content of a head.
async fn load_intent(client: &Client, head: &Head) -> Result<Intent, Error> {
    let text = load_text(client, head).await?;
    check(&format!("bundle {}", head.sequence), &text)
}

/// Text of a head.
pub async fn load_text(client: &Client, head: &Head) -> Result<String, Error> {
    let parts = &head.draft.parts;
    let texts = documents::parts(&client.kv, parts, &HashMap::new()).await?;
    let ordered = parts.iter().map(|at| &*texts[&at.hash]);
    Ok(part::concat(ordered))
}

/// Makes a signed draft; gives it as it stands in the service.
pub async fn propose(
    client: &Client,
    file: &str,
    text: &str,
    signer: &Signer<'_>,
) -> Result<Draft, Error> {
    let intent = check(file, text)?;
    must_fit(client, &intent).await?;
    check_key(client, signer)?;
    let parts: Vec<Part> =
        part::split(file, text).map_err(|problems| Error::Bundle { problems })?;
    let head = documents::head(&client.kv).await?;
    let replaces = head.value.map_or(0, |h| h.sequence);
    let refs: Vec<_> = parts.iter().map(|p| p.reference.clone()).collect();
    let root = part::content_hash(&refs);
    let draft = Draft {
        id: id(&root),
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
    let text = to_text(&draft);
    let key = keys::draft(&draft.id);
    // The id is fresh, so a repeat after a lost answer can only meet this very draft.
    settle(client, &key, 0, &text, "the proposal").await?;
    Ok(draft)
}

/// Identity of a draft: the time and the content, and a little chance.
fn id(root: &str) -> Name {
    let chance: u16 = rand::random();
    format!("{:x}-{}-{chance:04x}", wall_ms() / 1_000, &root[..8]).into()
}

fn check_key(client: &Client, signer: &Signer) -> Result<(), Error> {
    let known = client.settings.trust.operators.get(signer.operator);
    match known == Some(&public_key(signer.key)) {
        true => Ok(()),
        false => Err(Error::KeyMismatch {
            operator: signer.operator.clone(),
        }),
    }
}

fn to_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it can always be written")
}

/// Reads a draft.
pub async fn draft(client: &Client, id: &Name) -> Result<Versioned<Draft>, Error> {
    let at: Versioned<Draft> = documents::read(&client.kv, &keys::draft(id)).await?;
    match at.value {
        Some(_) => Ok(at),
        None => Err(Error::DraftNotFound { id: id.clone() }),
    }
}

/// Adds an operator's approval to a draft.
pub async fn approve(client: &Client, id: &Name, signer: &Signer<'_>) -> Result<Draft, Error> {
    check_key(client, signer)?;
    loop {
        let at = draft(client, id).await?;
        let mut draft = at.value.expect("a draft that was found is there");
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
        let text = to_text(&draft);
        let written = settle(client, &keys::draft(id), at.revision, &text, "the approval").await?;
        if written {
            return Ok(draft);
        }
        // Another operator approved meanwhile: add ours to what stands there now.
    }
}

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

/// Puts an approved draft in force; gives its head.
pub async fn roll(client: &Client, id: &Name) -> Result<Head, Error> {
    let draft = draft(client, id)
        .await?
        .value
        .expect("a draft that was found is there");
    let at = documents::head(&client.kv).await?;
    ensure_current(&draft, at.value.as_ref())?;
    let revoked = match &at.value {
        Some(head) => load_intent(client, head).await?.revoked,
        None => Default::default(),
    };
    draft.verify(&client.settings.trust, &revoked)?;
    let texts = documents::parts(&client.kv, &draft.parts, &HashMap::new()).await?;
    let intent = part::parse(draft.parts.iter().map(|p| &*texts[&p.hash]))
        .map_err(|problems| Error::Bundle { problems })?;
    must_fit(client, &intent).await?;
    if let Some(head) = &at.value {
        keep(client, head).await?;
    }
    let head = Head {
        sequence: draft.replaces + 1,
        rolled_ms: wall_ms(),
        draft,
    };
    let what = format!("the roll of bundle {}", head.sequence);
    let written = settle(client, keys::HEAD, at.revision, &to_text(&head), &what).await?;
    if !written && !was_in_force(client, &head).await? {
        let now = documents::head(&client.kv).await?;
        ensure_current(&head.draft, now.value.as_ref())?;
    }
    let _ = keep(client, &head).await;
    Ok(head)
}

/// Whether a head took effect by a write whose answer was lost, and was overtaken since.
///
/// Whoever rolls the next bundle keeps the one before it in the history first.
async fn was_in_force(client: &Client, head: &Head) -> Result<bool, Error> {
    let kept: Result<Versioned<Head>, _> =
        documents::read(&client.kv, &keys::history(head.sequence)).await;
    let kept = kept.map_err(|_| Error::Indeterminate {
        what: format!("the roll of bundle {}", head.sequence),
    })?;
    Ok(kept
        .value
        .is_some_and(|kept| kept.draft.id == head.draft.id))
}

/// Keeps a head in the history; its key is its sequence, so a repeat is harmless.
async fn keep(client: &Client, head: &Head) -> Result<(), Error> {
    let key = keys::history(head.sequence);
    match client
        .kv
        .compare_and_swap(&key, 0, Some(&to_text(head)), None)
        .await
    {
        Ok(_) => Ok(()),
        Err(source) => Err(documents::Error::Kv { source }.into()),
    }
}

/// Writes a value and settles a lost answer: true when it took effect, false when another's
/// write stands there, an error when it is not known.
async fn settle(
    client: &Client,
    key: &str,
    expected: u64,
    text: &str,
    what: &str,
) -> Result<bool, Error> {
    let mut in_doubt = false;
    for _ in 0..TRIES {
        match client
            .kv
            .compare_and_swap(key, expected, Some(text), None)
            .await
        {
            Ok(SwapOutcome::Written(_)) => return Ok(true),
            Ok(SwapOutcome::Conflict(found)) => {
                return Ok(found.is_some_and(|f| &*f.value == text));
            }
            Err(KvError::Indeterminate { .. }) => in_doubt = true,
            Err(source) if !in_doubt => return Err(documents::Error::Kv { source }.into()),
            Err(_) => {}
        }
        sleep(PAUSE).await;
    }
    Err(Error::Indeterminate { what: what.into() })
}

/// Past bundles, oldest first.
pub async fn history(client: &Client) -> Result<Vec<Head>, Error> {
    let found = client.kv.list(keys::HISTORY).await;
    let found = found.map_err(|source| documents::Error::Kv { source })?;
    let mut heads = Vec::new();
    for value in &found {
        heads.push(documents::parse::<Head>(&value.key, &value.value)?);
    }
    Ok(heads)
}

/// A bundle by sequence, or the one in force.
pub async fn find(client: &Client, sequence: Option<u64>) -> Result<Head, Error> {
    let head = documents::head(&client.kv).await?.value;
    match (sequence, head) {
        (None, Some(head)) => Ok(head),
        (None, None) => Err(Error::NoBundle),
        (Some(n), Some(head)) if head.sequence == n => Ok(head),
        (Some(n), _) => {
            let at: Versioned<Head> = documents::read(&client.kv, &keys::history(n)).await?;
            at.value.ok_or_else(|| Error::NotFound {
                text: format!(
                    "There is no bundle {n}; 'coveford bundle history' lists those there were."
                ),
            })
        }
    }
}
