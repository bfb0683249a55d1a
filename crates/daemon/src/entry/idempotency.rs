//! Claims of unrepeatable requests: acquired before dispatch, settled when the request ends.

use super::error::ApiError;
use super::render::Output;
use super::request::Metadata;
use crate::claim::{self, Acquisition, HeldClaim, State, StoredResponse};
use crate::core::Core;
use conn::Reply;
use hyper::Method;
use hyper::header::CONTENT_TYPE;
use route::retry::Outcome;
use std::sync::Arc;
use unit::Name;

/// Acquires the claim of an unrepeatable request that has an idempotency key.
///
/// Returns `None` if the request needs no claim.
pub(super) async fn acquire_claim(
    core: &Arc<Core>,
    meta: &Metadata,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<Option<Acquisition>, ApiError> {
    let Some(key) = meta.idempotency_key.as_ref().filter(|_| !meta.repeatable) else {
        return Ok(None);
    };
    let content_hash = claim::content_hash(method.as_str(), path, body);
    let acquired = claim::acquire(core, &meta.caller, key, &meta.id, content_hash).await;
    let counter = |result| {
        core.metrics
            .counter("coveford_claims_total", &[("how", result)])
    };
    match acquired {
        Ok(Acquisition::Granted(claim)) => {
            counter("taken").increment(1);
            Ok(Some(Acquisition::Granted(claim)))
        }
        Ok(replay) => {
            counter("replayed").increment(1);
            core.request_log.record_outcome(
                &meta.id,
                Outcome::Complete,
                "The first sending's answer was given again.",
            );
            Ok(Some(replay))
        }
        Err(error) => {
            counter("refused").increment(1);
            core.request_log
                .record_outcome(&meta.id, Outcome::NotRun, &error.message);
            Err(error)
        }
    }
}

/// Settles the claim of a request, if there is one; as lost if dropped before.
pub(super) struct ClaimGuard {
    core: Arc<Core>,
    claim: Option<HeldClaim>,
}

impl ClaimGuard {
    pub(super) fn new(core: &Arc<Core>, claim: Option<HeldClaim>) -> ClaimGuard {
        ClaimGuard {
            core: core.clone(),
            claim,
        }
    }

    pub(super) fn has_claim(&self) -> bool {
        self.claim.is_some()
    }

    pub(super) fn complete(mut self, response: Option<StoredResponse>) {
        self.settle(State::Done { answer: response });
    }

    pub(super) fn fail(mut self, error: &ApiError) {
        self.settle(match error.outcome {
            Outcome::NotRun => State::Released,
            _ => State::Lost,
        });
    }

    fn settle(&mut self, state: State) {
        if let Some(claim) = self.claim.take() {
            claim::settle(&self.core, claim, state);
        }
    }
}

impl Drop for ClaimGuard {
    /// A request whose caller disconnected may have run.
    fn drop(&mut self) {
        self.settle(State::Lost);
    }
}

pub(super) fn stored_output(output: &Output) -> Option<StoredResponse> {
    let output = serde_json::to_string(output).ok()?;
    Some(StoredResponse::Model {
        output: output.into(),
    })
}

pub(super) fn stored_reply(reply: &Reply) -> Option<StoredResponse> {
    let content_type = reply
        .headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    Some(StoredResponse::Plain {
        status: reply.status.as_u16(),
        content_type: content_type.map(Name::from),
        body: std::str::from_utf8(&reply.body).ok()?.into(),
    })
}
