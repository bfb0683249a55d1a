//! Claims on idempotency keys: resends of an unrepeatable request, perhaps to
//! another daemon, never run it twice.
//!
//! A claim is created in the key-value service before dispatch. A creation
//! whose answer was lost may land later, so a claim that was given up is not
//! removed but marked as released: its revision is then past the one that a
//! late creation expects.

use crate::core::Core;
use crate::entry::Fault;
use crate::shelf;
use backing::keys;
use backing::kv::{Error, SwapOutcome};
use hyper::StatusCode;
use parking_lot::Mutex;
use route::retry::Outcome;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use unit::{Name, Span, Time};

/// Time for which claims are kept.
const KEPT: Duration = Duration::from_secs(24 * 3_600);

/// Age at which a daemon takes a new lease for its claims; one lease serves many.
const LEASE_AGE: Span = Span::from_secs(600);

/// Tries to settle a write whose answer was lost, before the request is given up.
const TRIES: u32 = 3;

/// Tries to settle a claim in the background, and the pause between them.
const LATER_TRIES: u32 = 120;
const LATER_PAUSE: Duration = Duration::from_secs(5);

/// When a caller may come back after a conflict or an outage.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Longest answer that is kept for resends, in bytes.
const MOST_KEPT: usize = 64 * 1_024;

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// A daemon dispatches the request, or was lost doing so.
    Held,
    /// The request was proven not to have run; a resend may run.
    Released,
    /// The request ran to its end.
    Done {
        /// Its answer, unless it was too long to keep.
        answer: Option<Stored>,
    },
    /// The request may have run; its answer is lost.
    Lost,
}

/// Answer kept for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Stored {
    /// Answer of a model.
    Model {
        /// Text and counts, as JSON.
        whole: Name,
    },
    /// Answer of a plain service.
    Plain {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: Option<Name>,
        /// Body, when it is text.
        body: Name,
    },
}

impl Stored {
    fn len(&self) -> usize {
        match self {
            Stored::Model { whole } => whole.len(),
            Stored::Plain { body, .. } => body.len(),
        }
    }
}

/// Claim as it stands in the service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Request that holds it; also the nonce by which a daemon knows its own write.
    pub request: Name,
    /// Hash of what was asked, so that a key is not used for another request.
    pub content: Name,
    /// State.
    #[serde(flatten)]
    pub state: State,
}

/// Claim held by this daemon.
pub struct Held {
    key: String,
    revision: u64,
    claim: Claim,
}

/// What a resend or first sending meets.
pub enum Taken {
    /// The claim is ours: the request may be dispatched.
    Ours(Held),
    /// The first sending ran; this is its answer.
    Answer(Stored),
}

/// Lease that claims of one daemon share for a while.
#[derive(Default)]
pub struct Lease {
    current: Mutex<Option<(u64, Time)>>,
}

impl Lease {
    async fn get(&self, core: &Core) -> Result<u64, Error> {
        let now = core.now();
        let current = *self.current.lock();
        if let Some((lease, at)) = current
            && now.since(at) < LEASE_AGE
        {
            return Ok(lease);
        }
        let lease = core.kv.grant(KEPT).await?;
        *self.current.lock() = Some((lease, now));
        Ok(lease)
    }
}

/// Hash of what a request asks, for telling a resend from another request.
pub fn content(method: &str, path: &str, body: &[u8]) -> Name {
    let mut hash = Sha256::new();
    for piece in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((piece.len() as u64).to_be_bytes());
        hash.update(piece);
    }
    hex::encode(hash.finalize()).into()
}

/// Takes the claim on a caller's key for a request.
pub async fn take(
    core: &Arc<Core>,
    caller: &Name,
    key: &Name,
    request: &Name,
    content: Name,
) -> Result<Taken, Fault> {
    let hash = bundle::part::hash(format!("{caller}\0{key}").as_bytes());
    let mut held = Held {
        key: keys::claim(&hash),
        revision: 0,
        claim: Claim {
            request: request.clone(),
            content,
            state: State::Held,
        },
    };
    let lease = core.claims.get(core).await.map_err(|_| down())?;
    for _ in 0..TRIES {
        match write(core, &held, Some(lease)).await {
            Ok(SwapOutcome::Written(revision)) => {
                held.revision = revision;
                return Ok(Taken::Ours(held));
            }
            Ok(SwapOutcome::Conflict(found)) => {
                let found = found.ok_or_else(down)?;
                let claim: Claim = shelf::parse(&held.key, &found.value).map_err(|_| down())?;
                if claim.request == *request {
                    held.revision = found.revision;
                    return Ok(Taken::Ours(held));
                }
                if let Some(taken) = met(&claim, &held.claim.content)? {
                    return Ok(Taken::Answer(taken));
                }
                held.revision = found.revision;
            }
            Err(Error::Indeterminate { .. }) => {}
            Err(Error::Unavailable { .. }) => sleep(Duration::from_millis(50)).await,
            Err(Error::Lapsed) => *core.claims.current.lock() = None,
        }
    }
    // Our write may have landed or land yet; nothing was or will be dispatched.
    settle_later(core, held, State::Released);
    Err(down())
}

async fn write(core: &Core, held: &Held, lease: Option<u64>) -> Result<SwapOutcome, Error> {
    let value = serde_json::to_string(&held.claim).expect("a claim can always be written");
    core.kv
        .compare_and_swap(&held.key, held.revision, Some(&value), lease)
        .await
}

/// What another's claim means for a resend; none when it may be taken over.
fn met(claim: &Claim, content: &Name) -> Result<Option<Stored>, Fault> {
    let conflict = |outcome, code, message: &str| Fault {
        status: StatusCode::CONFLICT,
        outcome,
        code,
        message: message.into(),
        retry_after: None,
    };
    if claim.state == State::Released {
        return Ok(None);
    }
    if claim.content != *content {
        return Err(Fault::refused(
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "This idempotency key was used for another request; choose a new one.",
        ));
    }
    match &claim.state {
        State::Done {
            answer: Some(stored),
        } => Ok(Some(stored.clone())),
        State::Done { answer: None } => Err(conflict(
            Outcome::Complete,
            "already_run",
            "The request ran to its end; its answer was too long to keep for a resend.",
        )),
        State::Held => Err(Fault {
            retry_after: Some(RETRY_AFTER),
            ..conflict(
                Outcome::Unknown,
                "in_progress",
                "The first sending of this request runs, or was lost running; this one was not run.",
            )
        }),
        State::Lost => Err(conflict(
            Outcome::Unknown,
            "outcome_unknown",
            "The first sending of this request may have run and its answer is lost; this one was not run.",
        )),
        State::Released => Ok(None),
    }
}

fn down() -> Fault {
    Fault::busy(
        "claims_unavailable",
        "The request was not run: its idempotency key cannot be claimed while the key-value service does not answer.",
        RETRY_AFTER,
    )
}

/// Writes how a claimed request ended, in the background.
pub fn settle(core: &Arc<Core>, held: Held, state: State) {
    let state = match state {
        State::Done { answer: Some(a) } if a.len() > MOST_KEPT => State::Done { answer: None },
        state => state,
    };
    settle_later(core, held, state);
}

fn settle_later(core: &Arc<Core>, mut held: Held, state: State) {
    held.claim.state = state;
    let core = core.clone();
    tokio::spawn(async move {
        for _ in 0..LATER_TRIES {
            if try_settle(&core, &mut held).await {
                return;
            }
            sleep(LATER_PAUSE).await;
        }
    });
}

/// Tries once to write the state; tells whether nothing is left to do.
async fn try_settle(core: &Core, held: &mut Held) -> bool {
    loop {
        let Ok(lease) = core.claims.get(core).await else {
            return false;
        };
        match write(core, held, Some(lease)).await {
            Ok(SwapOutcome::Written(_)) => return true,
            Ok(SwapOutcome::Conflict(None)) => return true,
            Ok(SwapOutcome::Conflict(Some(found))) => {
                let Ok(claim) = shelf::parse::<Claim>(&held.key, &found.value) else {
                    return true;
                };
                let ours = claim.request == held.claim.request;
                if !ours || claim.state == held.claim.state {
                    return true;
                }
                held.revision = found.revision;
            }
            Err(_) => return false,
        }
    }
}
