//! Whether a client account may have one more request run, by what it may use over all hosts.
//!
//! The host that leads gives out what accounts may use, and is asked before a request takes a place in a
//! queue: what is over the limit is turned away at once, so that other accounts do not feel it. While
//! that host does not answer, this one goes on by its share of what was given out lately.

use crate::attempt::Call;
use crate::message::Verdict;
use crate::peers::Peers;
use crate::peers::quota::{PATIENT, QUICK};
use crate::respond::Fault;
use crate::shares;
use crate::state::State;
use hyper::StatusCode;
use platform::account::{Account, Quota};
use route::quota::{GIVEN_BACK_WITHIN, Given};
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span, Time};

/// When a client may come back whose account has no share here, while nobody gives out: about the time
/// until another host leads.
const RETURN_WITHOUT_SHARE: Span = Span::from_ms(1_000);

/// Least time after which a refused client is asked to come back.
const LEAST_WAIT: Span = Span::from_ms(100);

/// Units of an account that a request was let in with.
pub struct Grant {
    peers: Arc<Peers>,
    account: Name,
    units: f64,
    /// When they were asked for.
    asked: Time,
    source: Source,
}

/// Where units came from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    /// The host that gives out.
    Limiter,
    /// This host's share.
    Share,
}

/// Lets a request in if its account may have it run; none where the account has no limit.
pub async fn admit(state: &State, peers: &Arc<Peers>, call: &Call) -> Result<Option<Grant>, Fault> {
    let account = call.caller.account.as_deref();
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota?))) else {
        return Ok(None);
    };
    let units = quota.cost(call.ask.tokens());
    let asked = state.now();
    let decided = decide(state, peers, account, &quota, units).await;
    let decision = decided
        .as_ref()
        .map_or_else(|fault| fault.reason, |_| "let_in");
    state.log.metrics.account(&account.name, decision);
    decided.map(|source| {
        Some(Grant {
            peers: peers.clone(),
            account: account.name.clone(),
            units,
            asked,
            source,
        })
    })
}

/// Asks the host that gives out; goes by this host's share where it does not answer, and asks once more
/// before a request is refused for want of a share.
async fn decide(
    state: &State,
    peers: &Arc<Peers>,
    account: &Account,
    quota: &Quota,
    units: f64,
) -> Result<Source, Fault> {
    let over = |wait| over(account, quota, units, wait);
    if state.shares.may_ask(state.now())
        && let Some(answer) = ask(state, peers, account, units, QUICK).await
    {
        return answer.map(|()| Source::Limiter).map_err(over);
    }
    let Err(without_share) = use_alone(state, account, quota, units) else {
        return Ok(Source::Share);
    };
    match ask(state, peers, account, units, PATIENT).await {
        Some(answer) => answer.map(|()| Source::Limiter).map_err(over),
        None => Err(without_share),
    }
}

/// Asks the host that gives out, and notes what it says: that the request may run, or the time after which
/// there will be enough. None when it did not answer.
async fn ask(
    state: &State,
    peers: &Arc<Peers>,
    account: &Account,
    units: f64,
    tries: &[Duration],
) -> Option<Result<(), Span>> {
    let asked = state.now();
    let untold = state.shares.with(&account.name, |share| share.untold());
    let verdict = peers.ask_for(&account.name, units, untold, tries).await;
    let answer = match verdict {
        Some(Verdict::Given { all, left }) => Ok(Given {
            all: f64::from(all),
            left: f64::from(left),
        }),
        Some(Verdict::Refused { wait_ms }) => Err(Span::from_ms(u64::from(wait_ms))),
        Some(Verdict::Elsewhere) | None => {
            state.shares.not_answered(state.now());
            return None;
        }
    };
    state.shares.with(&account.name, |share| {
        share.answered(asked, untold);
        if let Ok(told) = answer {
            share.given(units, told, asked);
        }
    });
    Some(answer.map(|_| ()))
}

/// Uses units of this host's own share.
fn use_alone(state: &State, account: &Account, quota: &Quota, units: f64) -> Result<(), Fault> {
    let now = state.now();
    let used = state.shares.with(&account.name, |share| {
        share.use_alone(shares::limit(quota), units, now)
    });
    used.map_err(|wait| {
        let message = format!(
            "What account {} may use is not confirmed at the moment, and its share here is used up.",
            account.name
        );
        let wait = wait.unwrap_or(RETURN_WITHOUT_SHARE);
        Fault::not_run("quota_unconfirmed", message, wait.max(LEAST_WAIT))
    })
}

/// Answer to a request whose account is over its limit.
fn over(account: &Account, quota: &Quota, units: f64, wait: Span) -> Fault {
    let (name, rate, burst) = (&account.name, quota.rate, quota.burst);
    let message = format!(
        "Account {name} is over its limit of {rate} a second and {burst} at once; this request uses {units}."
    );
    Fault {
        retry_after: Some(wait.max(LEAST_WAIT)),
        ..Fault::refused(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
    }
}

impl Grant {
    /// Gives the units back: the request did not run.
    pub async fn give_back(self, state: &State) {
        let age = state.now().since(self.asked);
        if self.source == Source::Share || age > GIVEN_BACK_WITHIN {
            return;
        }
        state.shares.with(&self.account, |share| {
            share.take_back(self.units, self.asked);
        });
        self.peers.give_back(&self.account, self.units, age).await;
    }
}
