//! Rate limits that replicas advertise in their answers: the requests per second that they take
//! from all hosts together.
//!
//! Hosts learn of a limit from each other within a fraction of a second. Each send to a limited
//! replica then needs one unit, which the limiter at the leader grants ([`crate::grant`]). A host
//! without an answer from the limiter uses its local share, or sends nothing. After a denial the
//! replica is not chosen until a unit may be available again.

use crate::attempt::Call;
use crate::feedback;
use crate::grant::{self, Claim, Decision, Grant, Source};
use crate::message::Subject;
use crate::peers::Peers;
use crate::peers::quota::TIMEOUTS;
use crate::state::State;
use crate::table::{Choice, Criteria, LimitChange, LimitTerms};
use platform::response::Field;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::Name;

/// Timeout of a claim, which is tried once: another replica can take the request sooner than a
/// retry is answered.
const SINGLE_TRY: &[Duration] = TIMEOUTS.split_at(1).0;

/// Records the limit that an answer advertises. An answer without one withdraws the limit if the
/// replica `ran` the request; a refusal without one changes nothing.
pub fn apply(state: &State, source: &feedback::Source, limit: &Field<f64>, ran: bool) {
    let rate = match limit {
        // Hosts exchange rates as `f32` and compare them.
        Field::Value(rate) => Some(f64::from((*rate as f32).min(f32::MAX))),
        Field::Absent if ran => None,
        Field::Absent => return,
        Field::Invalid(value) => {
            state.log.rate_limited(|| {
                warn!(target: "limit", event = "unreadable", replica = &*source.replica, value, "invalid rate limit in an answer; ignored")
            });
            return;
        }
    };
    let now = state.now();
    let change = state
        .table
        .lock()
        .record_limit(&source.replica, source.incarnation, rate, now);
    if let Some(change) = change {
        state.limits_changed.notify_one();
        let rate = rate.unwrap_or_default();
        log_change(state, &source.replica, rate, change, &state.settings.name);
    }
}

/// Logs a change of a replica's limit, and the host that reported it.
pub fn log_change(state: &State, replica: &Name, rate: f64, change: LimitChange, by: &Name) {
    let (replica, by) = (&**replica, &**by);
    state.log.rate_limited(|| match change {
        LimitChange::Advertised => info!(target: "limit", event = "named", replica, rate, by, "replica advertises a limit in requests per second over all hosts"),
        LimitChange::Changed(before) => info!(target: "limit", event = "changed", replica, rate, before, by, "replica advertises another limit"),
        LimitChange::Withdrawn => info!(target: "limit", event = "over", replica, by, "replica withdrew its limit"),
    });
}

/// The limit of the chosen replica has no unit left for the request.
#[derive(Debug)]
pub struct Exhausted;

/// Claims one unit of a replica's limit; `None` if the replica has no limit.
pub async fn admit(
    state: &State,
    peers: &Arc<Peers>,
    criteria: &Criteria<'_>,
    choice: &Choice,
) -> Result<Option<Grant>, Exhausted> {
    let asked_at = state.now();
    let replica = &choice.replica;
    let terms = {
        let mut table = state.table.lock();
        let Some(terms) = table.limit_for(replica, criteria, asked_at) else {
            return Ok(None);
        };
        table.record_claim(replica, asked_at);
        terms
    };
    let claim = claim(&terms, choice);
    let decision = match state.shares.may_ask(asked_at) {
        true => grant::ask(state, peers, &claim, SINGLE_TRY).await,
        false => None,
    };
    let now = state.now();
    let source = {
        let mut table = state.table.lock();
        match decision {
            Some(Decision::Granted(usage)) => {
                table.record_limiter_answer(replica, Some(Ok(usage.available)), now);
                Some(Source::Limiter)
            }
            Some(Decision::Denied(refusal)) => {
                table.record_limiter_answer(replica, Some(Err(refusal)), now);
                None
            }
            Some(Decision::Unlimited) => {
                table.clear_limit(replica);
                return Ok(None);
            }
            None => {
                table.record_limiter_answer(replica, None, now);
                let spent = grant::spend_share(state, &claim);
                spent.is_ok().then_some(Source::Share)
            }
        }
    };
    match source {
        Some(source) => Ok(Some(claim.into_grant(peers, asked_at, source))),
        None => {
            state
                .log
                .metrics
                .counter("coveford_limit_refusals_total", &[])
                .increment(1);
            Err(Exhausted)
        }
    }
}

fn claim(terms: &LimitTerms, choice: &Choice) -> Claim {
    Claim {
        subject: Subject::Replica(terms.limit),
        limit: terms.advertisement.limit(1.0),
        units: 1.0,
        reserved: terms.reserved,
        will_retry: choice.candidate_count == 1,
    }
}

/// Guard of a request that waits for a unit of a replica's limit.
pub struct WaitGuard {
    state: Arc<State>,
    replica: Name,
}

/// Counts a request as waiting for a replica until the guard is dropped.
pub fn register_waiter(state: &Arc<State>, replica: &Name) -> WaitGuard {
    state.table.lock().count_waiter(replica, true);
    WaitGuard {
        state: state.clone(),
        replica: replica.clone(),
    }
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        self.state.table.lock().count_waiter(&self.replica, false);
    }
}

/// Counts and logs a send to a replica that has a limit.
pub fn record_send(state: &State, call: &Call, replica: &Name, last_event: Option<u64>) {
    let Some(rate) = state.table.lock().limit_of(replica, state.now()) else {
        return;
    };
    state
        .log
        .metrics
        .counter("coveford_limited_sendings_total", &[])
        .increment(1);
    state.log.rate_limited(|| {
        info!(target: "limit", event = "sent", id = &*call.id, replica = &**replica, rate, last_event, priority = call.priority, "request sent to a replica with a rate limit")
    });
}
