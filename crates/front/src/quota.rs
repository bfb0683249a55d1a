//! Whether a client account may have one more request run, by what it may use over all hosts.
//!
//! The host that leads gives out what accounts may use, and is asked before a request takes a place in a
//! queue: what is over the limit is turned away at once, so that other accounts do not feel it. While
//! that host does not answer, this one goes on by its share of what was given out lately.

use crate::attempt::Call;
use crate::grant::{self, Claim, Decision, Grant, Source};
use crate::message::Subject;
use crate::peers::Peers;
use crate::peers::quota::{LAST_TRY_TIMEOUTS, TIMEOUTS};
use crate::respond::Rejection;
use crate::shares;
use crate::state::State;
use hyper::StatusCode;
use platform::account::{Account, Quota};
use std::sync::Arc;
use unit::Span;

/// When a client may come back whose account has no share here, while nobody gives out: about the time
/// until another host leads.
const RETRY_AFTER_NO_SHARE: Span = Span::from_ms(1_000);

/// Least time after which a refused client is asked to come back.
const MIN_RETRY_AFTER: Span = Span::from_ms(100);

/// Lets a request in if its account may have it run; none where the account has no limit.
pub async fn admit(
    state: &State,
    peers: &Arc<Peers>,
    call: &Call,
) -> Result<Option<Grant>, Rejection> {
    let account = call.caller.account.as_deref();
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota?))) else {
        return Ok(None);
    };
    let wanted = Claim {
        subject: Subject::Account(account.name.clone()),
        limit: shares::limit(&quota),
        units: quota.cost(call.ask.tokens()),
        reserved: 0.0,
        will_retry: true,
    };
    let asked = state.now();
    let decided = decide(state, peers, account, &quota, &wanted).await;
    let decision = decided
        .as_ref()
        .map_or_else(|fault| fault.reason, |_| "let_in");
    state
        .log
        .metrics
        .record_account_decision(&account.name, decision);
    decided.map(|source| Some(wanted.into_grant(peers, asked, source)))
}

/// Asks the host that gives out; goes by this host's share where it does not answer, and asks once more
/// before a request is refused for want of a share.
async fn decide(
    state: &State,
    peers: &Arc<Peers>,
    account: &Account,
    quota: &Quota,
    wanted: &Claim,
) -> Result<Source, Rejection> {
    let decided = |answer| match answer {
        Decision::Granted(_) | Decision::Unlimited => Ok(Source::Limiter),
        Decision::Denied(told) => Err(over(account, quota, wanted.units, told.retry_after)),
    };
    if state.shares.may_ask(state.now())
        && let Some(answer) = grant::ask(state, peers, wanted, TIMEOUTS).await
    {
        return decided(answer);
    }
    let Err(wait) = grant::spend_share(state, wanted) else {
        return Ok(Source::Share);
    };
    match grant::ask(state, peers, wanted, LAST_TRY_TIMEOUTS).await {
        Some(answer) => decided(answer),
        None => Err(without_share(account, wait)),
    }
}

/// Answer to a request whose account's share here is used up while nobody answers that gives out.
fn without_share(account: &Account, wait: Option<Span>) -> Rejection {
    let message = format!(
        "What account {} may use is not confirmed at the moment, and its share here is used up.",
        account.name
    );
    let wait = wait.unwrap_or(RETRY_AFTER_NO_SHARE);
    Rejection::not_run("quota_unconfirmed", message, wait.max(MIN_RETRY_AFTER))
}

/// Answer to a request whose account is over its limit.
fn over(account: &Account, quota: &Quota, units: f64, wait: Span) -> Rejection {
    let (name, rate, burst) = (&account.name, quota.rate, quota.burst);
    let message = format!(
        "Account {name} is over its limit of {rate} a second and {burst} at once; this request uses {units}."
    );
    Rejection {
        retry_after: Some(wait.max(MIN_RETRY_AFTER)),
        ..Rejection::client_error(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
    }
}
