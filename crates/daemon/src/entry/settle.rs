//! Claims of requests: taken before dispatch, settled when the request has ended.

use super::ask::Asker;
use super::fault::Fault;
use super::render::Whole;
use crate::claim::{self, Held, State, Stored, Taken};
use crate::core::Core;
use conn::Reply;
use hyper::Method;
use hyper::header::CONTENT_TYPE;
use route::retry::Outcome;
use std::sync::Arc;
use unit::Name;

/// Takes the claim of an unrepeatable request with a key.
pub(super) async fn take_claim(
    core: &Arc<Core>,
    asker: &Asker,
    method: &Method,
    path: &str,
    body: &[u8],
) -> Result<Option<Taken>, Fault> {
    let Some(key) = asker.key.as_ref().filter(|_| !asker.repeatable) else {
        return Ok(None);
    };
    let content = claim::content(method.as_str(), path, body);
    let taken = claim::take(core, &asker.caller, key, &asker.request, content).await;
    let counter = |how| {
        core.metrics
            .counter("coveford_claims_total", &[("how", how)])
    };
    match taken {
        Ok(Taken::Ours(held)) => {
            counter("taken").increment(1);
            Ok(Some(Taken::Ours(held)))
        }
        Ok(answer) => {
            counter("replayed").increment(1);
            core.request_log.record_outcome(
                &asker.request,
                Outcome::Complete,
                "The first sending's answer was given again.",
            );
            Ok(Some(answer))
        }
        Err(fault) => {
            counter("refused").increment(1);
            core.request_log
                .record_outcome(&asker.request, Outcome::NotRun, &fault.message);
            Err(fault)
        }
    }
}

/// Claim to be settled when its request has ended.
pub(super) struct Settle {
    core: Arc<Core>,
    held: Option<Held>,
}

impl Settle {
    /// Starts with the claim that was taken, if there was one.
    pub(super) fn new(core: &Arc<Core>, held: Option<Held>) -> Settle {
        Settle {
            core: core.clone(),
            held,
        }
    }

    /// Whether there is a claim to settle.
    pub(super) fn holds(&self) -> bool {
        self.held.is_some()
    }

    pub(super) fn done(mut self, answer: Option<Stored>) {
        self.settle(State::Done { answer });
    }

    pub(super) fn failed(mut self, fault: &Fault) {
        self.settle(match fault.outcome {
            Outcome::NotRun => State::Released,
            _ => State::Lost,
        });
    }

    fn settle(&mut self, state: State) {
        if let Some(held) = self.held.take() {
            claim::settle(&self.core, held, state);
        }
    }
}

impl Drop for Settle {
    /// A caller that went away mid-answer leaves a request that may have run.
    fn drop(&mut self) {
        self.settle(State::Lost);
    }
}

pub(super) fn stored(whole: &Whole) -> Option<Stored> {
    let whole = serde_json::to_string(whole).ok()?;
    Some(Stored::Model {
        whole: whole.into(),
    })
}

pub(super) fn stored_plain(reply: &Reply) -> Option<Stored> {
    let content_type = reply
        .headers
        .get(CONTENT_TYPE)
        .and_then(|v| v.to_str().ok());
    Some(Stored::Plain {
        status: reply.status.as_u16(),
        content_type: content_type.map(Name::from),
        body: std::str::from_utf8(&reply.body).ok()?.into(),
    })
}
