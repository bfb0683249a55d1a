//! Limits that replicas in need name in their answers: the requests a second that they take from all hosts together.

use crate::attempt::{Call, Place};
use crate::state::State;
use crate::table::Change;
use hyper::header::HeaderMap;
use platform::ingress::{self, Intake};
use tracing::{info, warn};
use unit::Name;

/// Takes in what an answer says of its replica's limit. One that the replica `ran` the request for and that names no
/// limit says that none holds any more; a refusal without one says nothing.
pub fn heard(state: &State, place: &Place, headers: &HeaderMap, ran: bool) {
    let replica = &*place.replica;
    let rate = match ingress::intake(headers) {
        // Hosts tell each other rates in this precision, and compare them.
        Intake::Limited(rate) => Some(f64::from((rate as f32).min(f32::MAX))),
        Intake::Open if ran => None,
        Intake::Open => return,
        Intake::Unreadable(value) => {
            state.log.notable(|| {
                warn!(target: "limit", event = "unreadable", replica, value, "what the replica names is no number of requests a second; it counts as not named")
            });
            return;
        }
    };
    let now = state.now();
    let heard = state
        .table
        .lock()
        .heard_limit(&place.replica, place.incarnation, rate, now);
    let Some(change) = heard else { return };
    let by = &*state.settings.name;
    state.log.notable(|| match change {
        Change::First => info!(target: "limit", event = "named", replica, rate, by, "a replica in need takes so many requests a second from all hosts together"),
        Change::Other(before) => info!(target: "limit", event = "changed", replica, rate, before, by, "a replica in need names another limit"),
        Change::Over => info!(target: "limit", event = "over", replica, by, "a replica names no limit any more"),
    });
}

/// Counts and tells a sending to a replica that has named a limit.
pub fn note_sending(state: &State, call: &Call, replica: &Name, last_event: Option<u64>) {
    let Some(rate) = state.table.lock().limit_of(replica, state.now()) else {
        return;
    };
    state
        .log
        .metrics
        .counter("coveford_limited_sendings_total", &[])
        .increment(1);
    state.log.notable(|| {
        info!(target: "limit", event = "sent", id = &*call.id, replica = &**replica, rate, last_event, priority = call.priority, "a request goes to a replica in need")
    });
}
