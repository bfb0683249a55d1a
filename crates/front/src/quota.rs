//! Admission of requests by the quota of their client account, over all hosts.
//!
//! The limiter on the leader is asked before a request is queued: what exceeds the quota is
//! rejected immediately, so that other accounts are not affected. While the limiter does not
//! answer, this host falls back to its share of the recent grants.

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

/// Retry-After without a share while there is no limiter: about the time until another host leads.
const RETRY_AFTER_NO_SHARE: Span = Span::from_ms(1_000);

/// Minimum Retry-After of a rejected request.
const MIN_RETRY_AFTER: Span = Span::from_ms(100);

/// Admits a request if its account's quota allows; `None` if the account has no quota.
pub async fn admit(
    state: &State,
    peers: &Arc<Peers>,
    call: &Call,
) -> Result<Option<Grant>, Rejection> {
    let account = call.caller.account.as_deref();
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota?))) else {
        return Ok(None);
    };
    let claim = Claim {
        subject: Subject::Account(account.name.clone()),
        limit: shares::limit(&quota),
        units: quota.cost(call.metadata.total_tokens()),
        reserved: 0.0,
        will_retry: true,
    };
    let requested = state.now();
    let source = decide(state, peers, account, &quota, &claim).await;
    let decision = source
        .as_ref()
        .map_or_else(|rejection| rejection.reason, |_| "let_in");
    state
        .log
        .metrics
        .record_account_decision(&account.name, decision);
    source.map(|source| Some(claim.into_grant(peers, requested, source)))
}

/// Asks the limiter. Without an answer it falls back to this host's share, and asks once more
/// before it rejects for lack of a share.
async fn decide(
    state: &State,
    peers: &Arc<Peers>,
    account: &Account,
    quota: &Quota,
    claim: &Claim,
) -> Result<Source, Rejection> {
    let to_source = |decision| match decision {
        Decision::Granted(_) | Decision::Unlimited => Ok(Source::Limiter),
        Decision::Denied(refusal) => Err(over(account, quota, claim.units, refusal.retry_after)),
    };
    if state.shares.may_ask(state.now())
        && let Some(decision) = grant::ask(state, peers, claim, TIMEOUTS).await
    {
        return to_source(decision);
    }
    let Err(retry_after) = grant::spend_share(state, claim) else {
        return Ok(Source::Share);
    };
    match grant::ask(state, peers, claim, LAST_TRY_TIMEOUTS).await {
        Some(decision) => to_source(decision),
        None => Err(without_share(account, retry_after)),
    }
}

/// Rejection when this host's share is used up and the limiter does not answer.
fn without_share(account: &Account, retry_after: Option<Span>) -> Rejection {
    let message = format!(
        "What account {} may use is not confirmed at the moment, and its share here is used up.",
        account.name
    );
    let retry_after = retry_after.unwrap_or(RETRY_AFTER_NO_SHARE);
    Rejection::not_run(
        "quota_unconfirmed",
        message,
        retry_after.max(MIN_RETRY_AFTER),
    )
}

/// Rejection when the account is over its quota.
fn over(account: &Account, quota: &Quota, units: f64, retry_after: Span) -> Rejection {
    let (name, rate, burst) = (&account.name, quota.rate, quota.burst);
    let message = format!(
        "Account {name} is over its limit of {rate} a second and {burst} at once; this request uses {units}."
    );
    Rejection {
        retry_after: Some(retry_after.max(MIN_RETRY_AFTER)),
        ..Rejection::client_error(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
    }
}
