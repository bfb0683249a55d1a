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
use crate::state::State;
use hyper::StatusCode;
use platform::account::{Account, Quota};
use route::quota::{GIVEN_BACK_WITHIN, Given, Limit};
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
    /// Whether they are of this host's share.
    alone: bool,
}

/// Lets a request in if its account may have it run; none where the account has no limit.
pub async fn admit(state: &State, peers: &Arc<Peers>, call: &Call) -> Result<Option<Grant>, Fault> {
    let account = call.caller.account.as_deref();
    let Some((account, quota)) = account.and_then(|a| Some((a, a.quota?))) else {
        return Ok(None);
    };
    let units = quota.cost(call.ask.tokens());
    let asked = state.now();
    let quick = match state.shares.may_ask(asked) {
        true => ask(state, peers, account, units, QUICK).await,
        false => None,
    };
    let (verdict, alone) = match quick {
        Some(verdict) => (Some(verdict), None),
        None => match use_alone(state, account, &quota, units) {
            Ok(()) => (None, None),
            Err(fault) => (
                ask(state, peers, account, units, PATIENT).await,
                Some(fault),
            ),
        },
    };
    let alone = match (verdict, alone) {
        (Some(Verdict::Refused { wait_ms }), _) => {
            count(state, account, "over_quota");
            return Err(over(account, &quota, units, wait_ms));
        }
        (Some(Verdict::Given { .. }), _) => false,
        (_, None) => true,
        (_, Some(fault)) => {
            count(state, account, "quota_unconfirmed");
            return Err(fault);
        }
    };
    count(state, account, "let_in");
    Ok(Some(Grant {
        peers: peers.clone(),
        account: account.name.clone(),
        units,
        asked,
        alone,
    }))
}

/// Asks the host that gives out, and notes what it says.
async fn ask(
    state: &State,
    peers: &Arc<Peers>,
    account: &Account,
    units: f64,
    tries: &[Duration],
) -> Option<Verdict> {
    let asked = state.now();
    let untold = state.shares.with(&account.name, |share| share.untold());
    let verdict = peers.ask_for(&account.name, units, untold, tries).await;
    let Some(verdict) = verdict else {
        state.shares.not_answered(state.now());
        return None;
    };
    state.shares.with(&account.name, |share| {
        share.answered(asked, untold);
        if let Verdict::Given { all, left } = verdict {
            let told = Given {
                all: f64::from(all),
                left: f64::from(left),
            };
            share.given(units, told, asked);
        }
    });
    Some(verdict)
}

/// Uses units of this host's own share.
fn use_alone(state: &State, account: &Account, quota: &Quota, units: f64) -> Result<(), Fault> {
    let now = state.now();
    let used = state.shares.with(&account.name, |share| {
        share.use_alone(limit(quota), units, now)
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

/// Limit of a quota.
pub fn limit(quota: &Quota) -> Limit {
    Limit {
        rate: quota.rate,
        burst: quota.burst,
    }
}

/// Answer to a request whose account is over its limit.
fn over(account: &Account, quota: &Quota, units: f64, wait_ms: u32) -> Fault {
    let (name, rate, burst) = (&account.name, quota.rate, quota.burst);
    let message = format!(
        "Account {name} is over its limit of {rate} a second and {burst} at once; this request uses {units}."
    );
    let wait = Span::from_ms(u64::from(wait_ms));
    Fault {
        retry_after: Some(wait.max(LEAST_WAIT)),
        ..Fault::refused(StatusCode::TOO_MANY_REQUESTS, "over_quota", message)
    }
}

fn count(state: &State, account: &Account, outcome: &'static str) {
    state.log.metrics.account(&account.name, outcome);
}

impl Grant {
    /// Gives the units back: the request did not run.
    pub async fn give_back(self, state: &State) {
        let age = state.now().since(self.asked);
        if self.alone || age > GIVEN_BACK_WITHIN {
            return;
        }
        state.shares.with(&self.account, |share| {
            share.take_back(self.units, self.asked);
        });
        self.peers.give_back(&self.account, self.units, age).await;
    }
}
