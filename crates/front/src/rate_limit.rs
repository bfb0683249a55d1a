//! Limits that replicas in need name in their answers: the requests a second that they take from all hosts together.
//!
//! A limit is known to all hosts within parts of a second. From then on each sending to the replica needs one request of
//! the limit, which the leader gives out ([`crate::grant`]); a host that gets no answer goes on by its share, or sends
//! nothing there. A refusal keeps the replica out of this host's choice until there may be room again.

use crate::attempt::Call;
use crate::feedback;
use crate::grant::{self, Claim, Decision, Grant, Source};
use crate::message::Subject;
use crate::peers::Peers;
use crate::peers::quota::TIMEOUTS;
use crate::state::State;
use crate::table::{Change, Choice, Criteria, LimitTerms};
use platform::answer::Reading;
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::Name;

/// Time for the one try of a question: another replica may take the request sooner than a second try would be answered.
const TRY: &[Duration] = TIMEOUTS.split_at(1).0;

/// Takes in what an answer says of its replica's limit. One that the replica `ran` the request for and that names no
/// limit says that none holds any more; a refusal without one says nothing.
pub fn apply(state: &State, from: &feedback::Source, limit: &Reading<f64>, ran: bool) {
    let rate = match limit {
        // Hosts tell each other rates in this precision, and compare them.
        Reading::Value(rate) => Some(f64::from((*rate as f32).min(f32::MAX))),
        Reading::Absent if ran => None,
        Reading::Absent => return,
        Reading::Unreadable(value) => {
            state.log.rate_limited(|| {
                warn!(target: "limit", event = "unreadable", replica = &*from.replica, value, "what the replica names is no number of requests a second; it counts as not named")
            });
            return;
        }
    };
    let now = state.now();
    let change = state
        .table
        .lock()
        .record_limit(&from.replica, from.incarnation, rate, now);
    if let Some(change) = change {
        state.limits_changed.notify_one();
        let rate = rate.unwrap_or_default();
        log_change(state, &from.replica, rate, change, &state.settings.name);
    }
}

/// Tells of a change of what is known of a limit, and which host said so.
pub fn log_change(state: &State, replica: &Name, rate: f64, change: Change, by: &Name) {
    let (replica, by) = (&**replica, &**by);
    state.log.rate_limited(|| match change {
        Change::First => info!(target: "limit", event = "named", replica, rate, by, "a replica in need takes so many requests a second from all hosts together"),
        Change::Other(before) => info!(target: "limit", event = "changed", replica, rate, before, by, "a replica in need names another limit"),
        Change::Over => info!(target: "limit", event = "over", replica, by, "a replica names no limit any more"),
    });
}

/// A replica in need has no room for a request.
#[derive(Debug)]
pub struct Full;

/// Gets a request of a replica's limit, if that has named one.
pub async fn admit(
    state: &State,
    peers: &Arc<Peers>,
    want: &Criteria<'_>,
    choice: &Choice,
) -> Result<Option<Grant>, Full> {
    let asked = state.now();
    let replica = &choice.replica;
    let met = {
        let mut table = state.table.lock();
        let Some(met) = table.limit_for(replica, want, asked) else {
            return Ok(None);
        };
        table.record_claim(replica, asked);
        met
    };
    let wanted = wanted(&met, choice);
    let answer = match state.shares.may_ask(asked) {
        true => grant::ask(state, peers, &wanted, TRY).await,
        false => None,
    };
    let now = state.now();
    let source = {
        let mut table = state.table.lock();
        match answer {
            Some(Decision::Granted(given)) => {
                table.record_limiter_answer(replica, Some(Ok(given.available)), now);
                Some(Source::Limiter)
            }
            Some(Decision::Denied(over)) => {
                table.record_limiter_answer(replica, Some(Err(over)), now);
                None
            }
            Some(Decision::Unlimited) => {
                table.clear_limit(replica);
                return Ok(None);
            }
            None => {
                table.record_limiter_answer(replica, None, now);
                let used = grant::spend_share(state, &wanted);
                used.is_ok().then_some(Source::Share)
            }
        }
    };
    match source {
        Some(source) => Ok(Some(wanted.into_grant(peers, asked, source))),
        None => {
            state
                .log
                .metrics
                .counter("coveford_limit_refusals_total", &[])
                .increment(1);
            Err(Full)
        }
    }
}

fn wanted(met: &LimitTerms, choice: &Choice) -> Claim {
    Claim {
        subject: Subject::Replica(met.limited),
        limit: met.notice.limit(1.0),
        units: 1.0,
        reserved: met.kept,
        will_retry: choice.candidates == 1,
    }
}

/// Request that waits for room at a replica in need; dropping it counts it out.
pub struct Waiter {
    state: Arc<State>,
    replica: Name,
}

/// Counts a request in that waits for room at a replica.
pub fn register_waiter(state: &Arc<State>, replica: &Name) -> Waiter {
    state.table.lock().count_waiter(replica, true);
    Waiter {
        state: state.clone(),
        replica: replica.clone(),
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        self.state.table.lock().count_waiter(&self.replica, false);
    }
}

/// Counts and tells a sending to a replica that has named a limit.
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
        info!(target: "limit", event = "sent", id = &*call.id, replica = &**replica, rate, last_event, priority = call.priority, "a request goes to a replica in need")
    });
}
