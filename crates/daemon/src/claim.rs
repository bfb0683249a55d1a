//! Claims on idempotency keys: resends of an unrepeatable request, also to
//! another daemon, never run it twice.
//!
//! A claim is created in the key-value service before dispatch. A create whose
//! response was lost may still be applied later. An abandoned claim is therefore
//! not deleted but marked as released: its revision then differs from the one
//! that a late create expects.

use crate::core::Core;
use crate::documents;
use crate::entry::ApiError;
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

/// Time to live of claims.
const CLAIM_TTL: Duration = Duration::from_secs(24 * 3_600);

/// Age at which a daemon requests a new lease; claims share a lease until then.
const MAX_LEASE_AGE: Span = Span::from_secs(600);

/// Attempts to write a claim before the request is rejected.
const ACQUIRE_ATTEMPTS: u32 = 3;

/// Attempts to settle a claim in the background.
const SETTLE_ATTEMPTS: u32 = 120;
/// Pause between attempts to settle a claim.
const SETTLE_INTERVAL: Duration = Duration::from_secs(5);

/// `Retry-After` while a request with the same key runs, or during an outage of the key-value
/// service.
const RETRY_AFTER: Span = Span::from_secs(1);

/// Maximum size of a stored response.
const MAX_STORED_BYTES: usize = 64 * 1_024;

/// State of a claim.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum State {
    /// A daemon has dispatched or is about to dispatch the request, and may have crashed since.
    Held,
    /// The request certainly did not run; a resend may run.
    Released,
    /// The request ran to its end.
    Done {
        /// Its response, unless it was too large or not text.
        answer: Option<StoredResponse>,
    },
    /// The request may have run; its response is lost.
    Lost,
}

/// Response stored for resends.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum StoredResponse {
    /// Output of a model.
    Model {
        /// JSON of `entry::render::Output`.
        #[serde(rename = "whole")]
        output: Name,
    },
    /// Response of a plain service.
    Plain {
        status: u16,
        content_type: Option<Name>,
        body: Name,
    },
}

impl StoredResponse {
    fn len(&self) -> usize {
        match self {
            StoredResponse::Model { output } => output.len(),
            StoredResponse::Plain { body, .. } => body.len(),
        }
    }
}

/// Claim as stored in the key-value service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Id of the request that holds the claim; a daemon recognizes its own writes by it.
    pub request: Name,
    /// Result of [`content_hash`], which detects a key that is reused for another request.
    pub content: Name,
    #[serde(flatten)]
    pub state: State,
}

/// Claim held by this daemon.
pub struct HeldClaim {
    key: String,
    revision: u64,
    claim: Claim,
}

/// Result of acquiring a claim.
pub enum Acquisition {
    /// The request holds the claim and may be dispatched.
    Granted(HeldClaim),
    /// An earlier request with this key ran; this is its response.
    Replay(StoredResponse),
}

/// Lease in the key-value service that the claims of one daemon share.
#[derive(Default)]
pub struct Lease {
    current: Mutex<Option<(u64, Time)>>,
}

impl Lease {
    async fn get(&self, core: &Core) -> Result<u64, Error> {
        let now = core.now();
        let current = *self.current.lock();
        if let Some((lease, at)) = current
            && now.since(at) < MAX_LEASE_AGE
        {
            return Ok(lease);
        }
        let lease = core.kv.grant(CLAIM_TTL).await?;
        *self.current.lock() = Some((lease, now));
        Ok(lease)
    }
}

/// SHA-256 of a request's method, path and body, each prefixed with its length.
pub fn content_hash(method: &str, path: &str, body: &[u8]) -> Name {
    let mut hash = Sha256::new();
    for field in [method.as_bytes(), path.as_bytes(), body] {
        hash.update((field.len() as u64).to_be_bytes());
        hash.update(field);
    }
    hex::encode(hash.finalize()).into()
}

/// Acquires the claim on a caller's idempotency key for a request.
///
/// # Errors
///
/// Fails if another request holds the claim, ran without a stored response, or differs in
/// content; and if the key-value service does not answer.
pub async fn acquire(
    core: &Arc<Core>,
    caller: &Name,
    key: &Name,
    request: &Name,
    content: Name,
) -> Result<Acquisition, ApiError> {
    let hash = bundle::part::hash(format!("{caller}\0{key}").as_bytes());
    let mut held = HeldClaim {
        key: keys::claim(&hash),
        revision: 0,
        claim: Claim {
            request: request.clone(),
            content,
            state: State::Held,
        },
    };
    let lease = core
        .claim_lease
        .get(core)
        .await
        .map_err(|_| kv_unavailable())?;
    for _ in 0..ACQUIRE_ATTEMPTS {
        match write(core, &held, Some(lease)).await {
            Ok(SwapOutcome::Written(revision)) => {
                held.revision = revision;
                return Ok(Acquisition::Granted(held));
            }
            Ok(SwapOutcome::Conflict(found)) => {
                let found = found.ok_or_else(kv_unavailable)?;
                let claim: Claim =
                    documents::parse(&held.key, &found.value).map_err(|_| kv_unavailable())?;
                if claim.request == *request {
                    held.revision = found.revision;
                    return Ok(Acquisition::Granted(held));
                }
                if let Some(stored) = check_existing(&claim, &held.claim.content)? {
                    return Ok(Acquisition::Replay(stored));
                }
                held.revision = found.revision;
            }
            Err(Error::Indeterminate { .. }) => {}
            Err(Error::Unavailable { .. }) => sleep(Duration::from_millis(50)).await,
            Err(Error::Lapsed) => *core.claim_lease.current.lock() = None,
        }
    }
    // The write may have been applied or may be yet, but the request is not dispatched.
    settle_in_background(core, held, State::Released);
    Err(kv_unavailable())
}

async fn write(core: &Core, held: &HeldClaim, lease: Option<u64>) -> Result<SwapOutcome, Error> {
    let value = serde_json::to_string(&held.claim).expect("a claim serializes to JSON");
    core.kv
        .compare_and_swap(&held.key, held.revision, Some(&value), lease)
        .await
}

/// Decides on a request whose key another request has claimed: replays the stored response, or
/// returns `None` if the claim may be taken over.
fn check_existing(claim: &Claim, content: &Name) -> Result<Option<StoredResponse>, ApiError> {
    let conflict = |outcome, code, message: &str| ApiError {
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
        return Err(ApiError::client_error(
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
        State::Held => Err(ApiError {
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

fn kv_unavailable() -> ApiError {
    ApiError::unavailable(
        "claims_unavailable",
        "The request was not run: its idempotency key cannot be claimed while the key-value service does not answer.",
        RETRY_AFTER,
    )
}

/// Records in the background how a claimed request ended.
pub fn settle(core: &Arc<Core>, held: HeldClaim, state: State) {
    let state = match state {
        State::Done {
            answer: Some(response),
        } if response.len() > MAX_STORED_BYTES => State::Done { answer: None },
        state => state,
    };
    settle_in_background(core, held, state);
}

fn settle_in_background(core: &Arc<Core>, mut held: HeldClaim, state: State) {
    held.claim.state = state;
    let core = core.clone();
    tokio::spawn(async move {
        for _ in 0..SETTLE_ATTEMPTS {
            if try_settle(&core, &mut held).await {
                return;
            }
            sleep(SETTLE_INTERVAL).await;
        }
    });
}

/// Attempts once to write the state. Returns whether the claim needs no further attempt.
async fn try_settle(core: &Core, held: &mut HeldClaim) -> bool {
    loop {
        let Ok(lease) = core.claim_lease.get(core).await else {
            return false;
        };
        match write(core, held, Some(lease)).await {
            Ok(SwapOutcome::Written(_)) => return true,
            Ok(SwapOutcome::Conflict(None)) => return true,
            Ok(SwapOutcome::Conflict(Some(found))) => {
                let Ok(claim) = documents::parse::<Claim>(&held.key, &found.value) else {
                    return true;
                };
                let is_own = claim.request == held.claim.request;
                if !is_own || claim.state == held.claim.state {
                    return true;
                }
                held.revision = found.revision;
            }
            Err(_) => return false,
        }
    }
}
