//! Takes in what the head of an answer says of its replica, wherever one is read.

use crate::attempt::{Call, Reservation};
use crate::rate_limit;
use crate::state::State;
use crate::table::{BackoffUpdate, Permit, Unavailable};
use crate::view::Origin;
use conn::Body;
use hyper::Request;
use platform::answer::{self, Reading, Said};
use platform::replica::Incarnation;
use std::sync::Arc;
use tracing::{info, warn};
use unit::{Name, Span};

/// Where an answer came from, and what it answers.
#[derive(Debug, Clone)]
pub struct Source {
    /// The replica.
    pub replica: Name,
    /// Which start of it was asked.
    pub incarnation: Incarnation,
    /// The request's identity, or what else was asked.
    pub subject: Name,
    /// Whether what was asked names no adapter.
    pub whole: bool,
}

/// Takes in all that an answer says of its replica.
pub fn apply(state: &State, from: &Source, said: &Said) {
    if said.leaves {
        record_departure(state, from);
    }
    match &said.rest {
        Reading::Value(rest) => rests(state, from, Span::from_secs_f64(rest.as_secs_f64())),
        Reading::Absent if said.is_turned_away() => rests(state, from, Span::ZERO),
        Reading::Unreadable(value) => state.log.rate_limited(|| {
            warn!(target: "replica", event = "unreadable", replica = &*from.replica, id = &*from.subject, value, "what the replica asks for is no time; it counts as not asked")
        }),
        Reading::Absent => {}
    }
    let answers = said.answers(&from.subject);
    let ran = answers && said.signed && !said.not_run;
    rate_limit::apply(state, from, &said.limit, ran);
    let now = state.now();
    if answers && said.misdirected {
        let mut table = state.table.lock();
        table.record_misdirected(&from.replica, from.whole, now);
    } else if answers && (said.signed || said.not_run) {
        state.table.lock().record_reached(&from.replica, now);
    }
}

/// Takes in that a replica leaves, and has it told to other hosts.
pub fn record_departure(state: &State, from: &Source) {
    let now = state.now();
    let is_news = {
        let view = &mut state.table.lock().view;
        view.record_departure(&from.replica, from.incarnation, Origin::Answer, now)
    };
    if is_news {
        let by = &state.settings.name;
        tell_leaving(state, &from.replica, Some(&from.subject), by);
    }
}

/// Takes in that a replica has told another host that it leaves.
pub fn record_reported_departure(
    state: &State,
    replica: &Name,
    incarnation: Incarnation,
    by: &Name,
) {
    let now = state.now();
    let origin = match state.leads() {
        true => Origin::Host,
        false => Origin::Leader,
    };
    let is_news = {
        let view = &mut state.table.lock().view;
        view.record_departure(replica, incarnation, origin, now)
    };
    if is_news {
        tell_leaving(state, replica, None, by);
    }
}

fn tell_leaving(state: &State, replica: &Name, id: Option<&str>, by: &Name) {
    state.departure_heard.notify_one();
    state.changed.notify_waiters();
    state.log.rate_limited(|| {
        info!(target: "replica", event = "leaving", replica = &**replica, id, by = &**by, "a replica says in an answer that it leaves")
    });
}

/// Takes in that a replica wants nothing from this host for a time.
fn rests(state: &State, from: &Source, rest: Span) {
    let now = state.now();
    let asked = state
        .table
        .lock()
        .record_backoff(&from.replica, from.incarnation, rest, now);
    if let Some(BackoffUpdate { first, left }) = asked {
        state
            .log
            .metrics
            .counter("coveford_rests_total", &[])
            .increment(1);
        let (asked_ms, left_ms) = (rest.ms(), left.ms());
        state.log.rate_limited(|| {
            info!(target: "replica", event = "rests", replica = &*from.replica, id = &*from.subject, by = &*state.settings.name, asked_ms, left_ms, first, "a replica turned a request away and wants nothing from this host for a time")
        });
    }
}

/// Lets a request be sent to the replica of its place, unless that takes none now by its own word.
pub fn permit(state: &State, call: &Call, place: &Reservation) -> Result<Permit, Unavailable> {
    let now = state.now();
    let permit = state.table.lock().permit(&place.replica, now);
    if let Err(closed) = &permit {
        let word = closed.label();
        let labels = [("why", word)];
        let metrics = &state.log.metrics;
        metrics
            .counter("coveford_kept_back_total", &labels)
            .increment(1);
        let placed_ms = now.since(place.reserved_at).ms();
        state.log.rate_limited(|| {
            info!(target: "replica", event = "kept_back", id = &*call.id, replica = &*place.replica, why = word, placed_ms, "a request was not sent to a replica that wants none")
        });
    }
    permit
}

/// Takes in the answers that come to a request before the one with the result.
pub fn observe_informational(state: &Arc<State>, request: &mut Request<Body>, from: Source) {
    let state = state.clone();
    hyper::ext::on_informational(request, move |response| {
        let said = answer::read(response.status(), response.headers());
        apply(&state, &from, &said);
    });
}
