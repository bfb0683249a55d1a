//! Units of a limit over all hosts, as this host asks for them, is given them, and gives them back.
//!
//! The host that leads gives out. While it does not answer, this one goes on by its share of what was given out lately.

use crate::message::{QuotaRequest, QuotaResponse, Subject};
use crate::peers::Peers;
use crate::state::State;
use route::quota::{Limit, REFUND_WINDOW, Refusal, Usage};
use std::sync::Arc;
use std::time::Duration;
use unit::{Span, Time};

/// Units that are wanted for one request.
pub struct Claim {
    /// Whose limit it is.
    pub subject: Subject,
    /// The limit, as this host knows it.
    pub limit: Limit,
    /// How many.
    pub units: f64,
    /// Units that are to be left for what is more urgent.
    pub reserved: f64,
    /// Whether nothing else can take the request, so that it comes again.
    pub will_retry: bool,
}

/// Units that were given for one request.
pub struct Grant {
    peers: Arc<Peers>,
    subject: Subject,
    units: f64,
    /// When they were asked for.
    requested: Time,
    source: Source,
}

/// Where units came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Source {
    /// The host that gives out.
    Limiter,
    /// This host's share.
    Share,
}

/// What the host that gives out says.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// They are given.
    Granted(Usage),
    /// There are not enough.
    Denied(Refusal),
    /// There is no limit.
    Unlimited,
}

/// Asks the host that gives out, once for each time that a try may take; none when it did not answer.
pub async fn ask(
    state: &State,
    peers: &Peers,
    wanted: &Claim,
    tries: &[Duration],
) -> Option<Decision> {
    let asked = state.now();
    let untold = state
        .shares
        .with(&wanted.subject, |share| share.unreported());
    let question = QuotaRequest {
        number: 0,
        host: state.settings.name.clone(),
        subject: wanted.subject.clone(),
        units: wanted.units as f32,
        reserved: wanted.reserved as f32,
        will_retry: wanted.will_retry,
        local_use: untold as f32,
    };
    let answer = peers.request_quota(question, tries).await.and_then(answer);
    let Some(answer) = answer else {
        state.shares.note_no_answer(state.now());
        return None;
    };
    state.shares.with(&wanted.subject, |share| {
        share.record_answer(asked, untold);
        if let Decision::Granted(told) = answer {
            share.record_grant(wanted.units, told, asked);
        }
    });
    Some(answer)
}

/// What a verdict says; none where the host that was asked does not give out.
fn answer(verdict: QuotaResponse) -> Option<Decision> {
    match verdict {
        QuotaResponse::Granted {
            granted: all,
            available: left,
        } => Some(Decision::Granted(Usage {
            granted: f64::from(all),
            available: f64::from(left),
        })),
        QuotaResponse::Refused {
            retry_after_ms: wait_ms,
            available: left,
        } => Some(Decision::Denied(Refusal {
            retry_after: Span::from_ms(u64::from(wait_ms)),
            available: f64::from(left),
        })),
        QuotaResponse::Unlimited => Some(Decision::Unlimited),
        QuotaResponse::NotLeader => None,
    }
}

/// Uses units of this host's own share; otherwise the time after which there will be enough, if ever.
pub fn spend_share(state: &State, wanted: &Claim) -> Result<(), Option<Span>> {
    let now = state.now();
    state.shares.with(&wanted.subject, |share| {
        share.acquire_local(wanted.limit, wanted.units, now)
    })
}

impl Claim {
    /// Units that were given for a question of `asked`.
    pub fn into_grant(self, peers: &Arc<Peers>, asked: Time, source: Source) -> Grant {
        Grant {
            peers: peers.clone(),
            subject: self.subject,
            units: self.units,
            requested: asked,
            source,
        }
    }
}

impl Grant {
    /// Gives the units back: the request did not use them.
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
