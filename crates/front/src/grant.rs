//! Units of limits over all hosts: claiming them, using them and refunding them.
//!
//! The limiter on the leader grants them. While it does not answer, this host falls back to its
//! share of the recent grants.

use crate::message::{QuotaRequest, QuotaResponse, Subject};
use crate::peers::Peers;
use crate::state::State;
use route::quota::{Limit, REFUND_WINDOW, Refusal, Usage};
use std::sync::Arc;
use std::time::Duration;
use unit::{Span, Time};

/// Claim of units for one request.
pub struct Claim {
    /// Subject of the limit.
    pub subject: Subject,
    /// The limit as this host knows it.
    pub limit: Limit,
    pub units: f64,
    /// Units to leave for requests of higher priority.
    pub reserved: f64,
    /// Whether a denied claim will be repeated, since nothing else can take the request.
    pub will_retry: bool,
}

/// Units granted for one request.
pub struct Grant {
    peers: Arc<Peers>,
    subject: Subject,
    units: f64,
    /// When they were claimed.
    requested: Time,
    source: Source,
}

/// Source of granted units.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The limiter on the leader.
    Limiter,
    /// This host's share.
    Share,
}

/// Decision about a claim.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The units are granted.
    Granted(Usage),
    /// The limiter has too few units.
    Denied(Refusal),
    /// There is no limit.
    Unlimited,
}

/// Asks the limiter, once per timeout; `None` if it did not answer.
pub async fn ask(
    state: &State,
    peers: &Peers,
    claim: &Claim,
    timeouts: &[Duration],
) -> Option<Decision> {
    let requested = state.now();
    let unreported = state
        .shares
        .with(&claim.subject, |share| share.unreported());
    let request = QuotaRequest {
        number: 0,
        host: state.settings.name.clone(),
        subject: claim.subject.clone(),
        units: claim.units as f32,
        reserved: claim.reserved as f32,
        will_retry: claim.will_retry,
        local_use: unreported as f32,
    };
    let decision = peers
        .request_quota(request, timeouts)
        .await
        .and_then(decision);
    let Some(decision) = decision else {
        state.shares.note_no_answer(state.now());
        return None;
    };
    state.shares.with(&claim.subject, |share| {
        share.record_answer(requested, unreported);
        if let Decision::Granted(usage) = decision {
            share.record_grant(claim.units, usage, requested);
        }
    });
    Some(decision)
}

/// Decision in a response; `None` if the host that was asked is not the limiter.
fn decision(response: QuotaResponse) -> Option<Decision> {
    match response {
        QuotaResponse::Granted { granted, available } => Some(Decision::Granted(Usage {
            granted: f64::from(granted),
            available: f64::from(available),
        })),
        QuotaResponse::Refused {
            retry_after_ms,
            available,
        } => Some(Decision::Denied(Refusal {
            retry_after: Span::from_ms(u64::from(retry_after_ms)),
            available: f64::from(available),
        })),
        QuotaResponse::Unlimited => Some(Decision::Unlimited),
        QuotaResponse::NotLeader => None,
    }
}

/// Takes units from this host's share. The error is the time until there are enough, if ever.
pub fn spend_share(state: &State, claim: &Claim) -> Result<(), Option<Span>> {
    let now = state.now();
    state.shares.with(&claim.subject, |share| {
        share.acquire_local(claim.limit, claim.units, now)
    })
}

impl Claim {
    /// Turns a claim made at `requested` into a grant.
    pub fn into_grant(self, peers: &Arc<Peers>, requested: Time, source: Source) -> Grant {
        Grant {
            peers: peers.clone(),
            subject: self.subject,
            units: self.units,
            requested,
            source,
        }
    }
}

impl Grant {
    /// Refunds units that the request did not use.
    pub async fn refund(self, state: &State) {
        let age = state.now().since(self.requested);
        if self.source == Source::Share || age > REFUND_WINDOW {
            return;
        }
        state.shares.with(&self.subject, |share| {
            share.refund(self.units, self.requested);
        });
        self.peers.refund(self.subject, self.units, age).await;
    }
}
