//! Life of a bundle: check, diff, propose, approve, roll.

use crate::error::Error;
use crate::platform_tool::Tool;
use backing::hosts::Kind;
use backing::keys;
use backing::kv::{Error as KvError, SwapOutcome};
use bundle::diff::{Diff, diff};
use bundle::key::{Purpose, public_key, sign};
use bundle::part::{self, Part};
use bundle::{Draft, Head, Intent};
use daemon::clock::wall_ms;
use daemon::shelf::{self, At};
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
pub struct Signing<'a> {
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
pub async fn fit(tool: &Tool, intent: &Intent) -> Result<Fit, Error> {
    let bins: Vec<Bin> = tool
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
async fn must_fit(tool: &Tool, intent: &Intent) -> Result<(), Error> {
    let fit = fit(tool, intent).await?;
    match fit.fits() {
        true => Ok(()),
        false => Err(Error::Unfit { fit }),
    }
}

/// Checks a bundle, and with `fleet` that it fits.
pub async fn check_fleet(tool: &Tool, file: &str, text: &str) -> Result<Fit, Error> {
    let intent = check(file, text)?;
    let fit = fit(tool, &intent).await?;
    match fit.fits() {
        true => Ok(fit),
        false => Err(Error::Unfit { fit }),
    }
}

/// What rolling a bundle would mean.
pub async fn compare(tool: &Tool, file: &str, text: &str) -> Result<Diff, Error> {
    let new = check(file, text)?;
    let head = shelf::head(&tool.kv).await?;
    let old = match head.value {
        Some(head) => content(tool, &head).await?,
        None => Intent::default(),
    };
    Ok(diff(&old, &new))
}

/// Content of a head.
async fn content(tool: &Tool, head: &Head) -> Result<Intent, Error> {
    let text = text(tool, head).await?;
    check(&format!("bundle {}", head.sequence), &text)
}

/// Text of a head.
pub async fn text(tool: &Tool, head: &Head) -> Result<String, Error> {
    let parts = &head.draft.parts;
    let texts = shelf::parts(&tool.kv, parts, &HashMap::new()).await?;
    let ordered = parts.iter().map(|at| &*texts[&at.hash]);
    Ok(part::concat(ordered))
}

/// Makes a signed draft; gives it as it stands in the service.
pub async fn propose(
    tool: &Tool,
    file: &str,
    text: &str,
    signing: &Signing<'_>,
) -> Result<Draft, Error> {
    let intent = check(file, text)?;
    must_fit(tool, &intent).await?;
    check_key(tool, signing)?;
    let parts: Vec<Part> =
        part::split(file, text).map_err(|problems| Error::Bundle { problems })?;
    let head = shelf::head(&tool.kv).await?;
    let replaces = head.value.map_or(0, |h| h.sequence);
    let refs: Vec<_> = parts.iter().map(|p| p.reference.clone()).collect();
    let root = part::content_hash(&refs);
    let draft = Draft {
        id: id(&root),
        replaces,
        title: intent.title.clone(),
        parts: refs,
        proposal: sign(
            signing.key,
            signing.operator,
            Purpose::Propose,
            &root,
            replaces,
        ),
        approvals: Vec::new(),
    };
    shelf::put_parts(&tool.kv, &parts).await?;
    let text = to_text(&draft);
    let key = keys::draft(&draft.id);
    // The id is fresh, so a repeat after a lost answer can only meet this very draft.
    settle(tool, &key, 0, &text, "the proposal").await?;
    Ok(draft)
}

/// Identity of a draft: the time and the content, and a little chance.
fn id(root: &str) -> Name {
    let chance: u16 = rand::random();
    format!("{:x}-{}-{chance:04x}", wall_ms() / 1_000, &root[..8]).into()
}

fn check_key(tool: &Tool, signing: &Signing) -> Result<(), Error> {
    let known = tool.settings.trust.operators.get(signing.operator);
    match known == Some(&public_key(signing.key)) {
        true => Ok(()),
        false => Err(Error::KeyForeign {
            operator: signing.operator.clone(),
        }),
    }
}

fn to_text<T: Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("it can always be written")
}

/// Reads a draft.
pub async fn draft(tool: &Tool, id: &Name) -> Result<At<Draft>, Error> {
    let at: At<Draft> = shelf::read(&tool.kv, &keys::draft(id)).await?;
    match at.value {
        Some(_) => Ok(at),
        None => Err(Error::NoDraft { id: id.clone() }),
    }
}

/// Adds an operator's approval to a draft.
pub async fn approve(tool: &Tool, id: &Name, signing: &Signing<'_>) -> Result<Draft, Error> {
    check_key(tool, signing)?;
    loop {
        let at = draft(tool, id).await?;
        let mut draft = at.value.expect("a draft that was found is there");
        if draft.proposal.operator == *signing.operator {
            return Err(Error::OwnProposal {
                operator: signing.operator.clone(),
            });
        }
        let head = shelf::head(&tool.kv).await?;
        check_overtaken(&draft, head.value.as_ref())?;
        let root = draft.content_hash();
        draft.approvals.retain(|a| a.operator != *signing.operator);
        let approval = sign(
            signing.key,
            signing.operator,
            Purpose::Approve,
            &root,
            draft.replaces,
        );
        draft.approvals.push(approval);
        let text = to_text(&draft);
        let written = settle(tool, &keys::draft(id), at.revision, &text, "the approval").await?;
        if written {
            return Ok(draft);
        }
        // Another operator approved meanwhile: add ours to what stands there now.
    }
}

fn check_overtaken(draft: &Draft, head: Option<&Head>) -> Result<(), Error> {
    let current = head.map_or(0, |h| h.sequence);
    if draft.replaces == current {
        return Ok(());
    }
    Err(Error::Overtaken {
        id: draft.id.clone(),
        replaces: draft.replaces,
        current,
        title: head.map_or("nothing".into(), |h| h.draft.title.clone()),
        proposer: head.map_or("nobody".into(), |h| h.draft.proposal.operator.clone()),
    })
}

/// Puts an approved draft in force; gives its head.
pub async fn roll(tool: &Tool, id: &Name) -> Result<Head, Error> {
    let draft = draft(tool, id)
        .await?
        .value
        .expect("a draft that was found is there");
    let at = shelf::head(&tool.kv).await?;
    check_overtaken(&draft, at.value.as_ref())?;
    let revoked = match &at.value {
        Some(head) => content(tool, head).await?.revoked,
        None => Default::default(),
    };
    draft.verify(&tool.settings.trust, &revoked)?;
    let texts = shelf::parts(&tool.kv, &draft.parts, &HashMap::new()).await?;
    let intent = part::parse(draft.parts.iter().map(|p| &*texts[&p.hash]))
        .map_err(|problems| Error::Bundle { problems })?;
    must_fit(tool, &intent).await?;
    if let Some(head) = &at.value {
        keep(tool, head).await?;
    }
    let head = Head {
        sequence: draft.replaces + 1,
        rolled_ms: wall_ms(),
        draft,
    };
    let what = format!("the roll of bundle {}", head.sequence);
    let written = settle(tool, keys::HEAD, at.revision, &to_text(&head), &what).await?;
    if !written && !was_in_force(tool, &head).await? {
        let now = shelf::head(&tool.kv).await?;
        check_overtaken(&head.draft, now.value.as_ref())?;
    }
    let _ = keep(tool, &head).await;
    Ok(head)
}

/// Whether a head took effect by a write whose answer was lost, and was overtaken since.
///
/// Whoever rolls the next bundle keeps the one before it in the history first.
async fn was_in_force(tool: &Tool, head: &Head) -> Result<bool, Error> {
    let kept: Result<At<Head>, _> = shelf::read(&tool.kv, &keys::history(head.sequence)).await;
    let kept = kept.map_err(|_| Error::NotYetKnown {
        what: format!("the roll of bundle {}", head.sequence),
    })?;
    Ok(kept
        .value
        .is_some_and(|kept| kept.draft.id == head.draft.id))
}

/// Keeps a head in the history; its key is its sequence, so a repeat is harmless.
async fn keep(tool: &Tool, head: &Head) -> Result<(), Error> {
    let key = keys::history(head.sequence);
    match tool
        .kv
        .compare_and_swap(&key, 0, Some(&to_text(head)), None)
        .await
    {
        Ok(_) => Ok(()),
        Err(source) => Err(shelf::Error::Kv { source }.into()),
    }
}

/// Writes a value and settles a lost answer: true when it took effect, false when another's
/// write stands there, an error when it is not known.
async fn settle(
    tool: &Tool,
    key: &str,
    expected: u64,
    text: &str,
    what: &str,
) -> Result<bool, Error> {
    let mut in_doubt = false;
    for _ in 0..TRIES {
        match tool
            .kv
            .compare_and_swap(key, expected, Some(text), None)
            .await
        {
            Ok(SwapOutcome::Written(_)) => return Ok(true),
            Ok(SwapOutcome::Conflict(found)) => {
                return Ok(found.is_some_and(|f| &*f.value == text));
            }
            Err(KvError::Indeterminate { .. }) => in_doubt = true,
            Err(source) if !in_doubt => return Err(shelf::Error::Kv { source }.into()),
            Err(_) => {}
        }
        sleep(PAUSE).await;
    }
    Err(Error::NotYetKnown { what: what.into() })
}

/// Past bundles, oldest first.
pub async fn history(tool: &Tool) -> Result<Vec<Head>, Error> {
    let found = tool.kv.list(keys::HISTORY).await;
    let found = found.map_err(|source| shelf::Error::Kv { source })?;
    let mut heads = Vec::new();
    for value in &found {
        heads.push(shelf::parse::<Head>(&value.key, &value.value)?);
    }
    Ok(heads)
}

/// A bundle by sequence, or the one in force.
pub async fn find(tool: &Tool, sequence: Option<u64>) -> Result<Head, Error> {
    let head = shelf::head(&tool.kv).await?.value;
    match (sequence, head) {
        (None, Some(head)) => Ok(head),
        (None, None) => Err(Error::NothingInForce),
        (Some(n), Some(head)) if head.sequence == n => Ok(head),
        (Some(n), _) => {
            let at: At<Head> = shelf::read(&tool.kv, &keys::history(n)).await?;
            at.value.ok_or_else(|| Error::NotFound {
                text: format!(
                    "There is no bundle {n}; 'coveford bundle history' lists those there were."
                ),
            })
        }
    }
}
