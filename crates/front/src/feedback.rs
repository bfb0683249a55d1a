//! Applies what the head of an answer says about its replica: departure, backoff, rate limit,
//! reachability.

use crate::attempt::{Call, Reservation};
use crate::paths;
use crate::rate_limit;
use crate::state::State;
use crate::table::{BackoffUpdate, Permit, Unavailable};
use crate::view::Origin;
use conn::Body;
use hyper::Request;
use platform::replica::Incarnation;
use platform::response::{self, Feedback, Field};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::Notify;
use tracing::{info, warn};
use unit::{Name, Span};

/// Origin of an answer.
#[derive(Debug, Clone)]
pub struct Source {
    /// Replica that answered.
    pub replica: Name,
    /// Incarnation of the replica that the request was sent to.
    pub incarnation: Incarnation,
    /// Identity of the request, or the kind of call if it was none.
    pub subject: Name,
    /// Whether the request named no adapter.
    pub without_adapter: bool,
}

/// Applies what an answer says about its replica: what keeps requests away from it in any case, the rest only if it
/// `answers` the call that was sent.
pub fn apply(state: &State, source: &Source, feedback: &Feedback, answers: bool) {
    paths::record_arrival(state);
    if feedback.leaving {
        record_departure(state, source);
    }
    match &feedback.backoff {
        Field::Value(requested) => record_backoff(state, source, Span::from_secs_f64(requested.as_secs_f64())),
        Field::Absent if feedback.is_shed() => record_backoff(state, source, Span::ZERO),
        Field::Invalid(value) => state.log.rate_limited(|| {
            warn!(target: "replica", event = "unreadable", replica = &*source.replica, id = &*source.subject, value, "invalid backoff duration in a refusal; ignored")
        }),
        Field::Absent => {}
    }
    if answers && (feedback.signed || feedback.not_executed) {
        record_brittle(state, source, &feedback.brittle);
    }
    let ran = answers && feedback.signed && !feedback.not_executed;
    rate_limit::apply(state, source, &feedback.rate_limit, ran);
    let now = state.now();
    if answers && feedback.misdirected {
        let mut table = state.table.lock();
        table.record_misdirected(&source.replica, source.without_adapter, now);
    } else if answers && (feedback.signed || feedback.not_executed) {
        state.table.lock().record_reached(&source.replica, now);
    }
}

/// Records whether a replica says that it is brittle.
fn record_brittle(state: &State, source: &Source, brittle: &Field<u32>) {
    let tolerance = match brittle {
        Field::Value(tolerance) => Some(*tolerance),
        Field::Absent => None,
        Field::Invalid(value) => {
            state.log.rate_limited(|| {
                warn!(target: "replica", event = "unreadable", replica = &*source.replica, id = &*source.subject, value, "invalid tolerance of a brittle replica; ignored")
            });
            return;
        }
    };
    let now = state.now();
    let is_change = {
        let mut table = state.table.lock();
        table.record_brittle(&source.replica, source.incarnation, tolerance, now)
    };
    if is_change {
        state.log.rate_limited(|| {
            info!(target: "replica", event = "brittle", replica = &*source.replica, tolerance, id = &*source.subject, "the replica falls over if it turns more requests away within a second than this; none if that is over")
        });
    }
}

/// Records that a replica announced its departure in an answer, and passes it on to other hosts.
pub fn record_departure(state: &State, source: &Source) {
    let now = state.now();
    let is_new = {
        let view = &mut state.table.lock().view;
        view.record_departure(&source.replica, source.incarnation, Origin::Answer, now)
    };
    if is_new {
        let by = &state.settings.name;
        announce_departure(state, &source.replica, Some(&source.subject), by);
    }
}

/// Records a departure that another host reported.
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
    let is_new = {
        let view = &mut state.table.lock().view;
        view.record_departure(replica, incarnation, origin, now)
    };
    if is_new {
        announce_departure(state, replica, None, by);
    }
}

fn announce_departure(state: &State, replica: &Name, id: Option<&str>, by: &Name) {
    state.departure_heard.notify_one();
    state.changed.notify_waiters();
    state.log.rate_limited(|| {
        info!(target: "replica", event = "leaving", replica = &**replica, id, by = &**by, "replica announced its departure")
    });
}

/// Records that a replica refused a request and asks this host for a backoff.
fn record_backoff(state: &State, source: &Source, requested: Span) {
    let now = state.now();
    let update =
        state
            .table
            .lock()
            .record_backoff(&source.replica, source.incarnation, requested, now);
    if let Some(BackoffUpdate { is_new, remaining }) = update {
        state
            .log
            .metrics
            .counter("coveford_rests_total", &[])
            .increment(1);
        let (asked_ms, left_ms) = (requested.ms(), remaining.ms());
        state.log.rate_limited(|| {
            info!(target: "replica", event = "rests", replica = &*source.replica, id = &*source.subject, by = &*state.settings.name, asked_ms, left_ms, first = is_new, "replica refused a request and asked this host for a backoff")
        });
    }
}

/// Grants the send of a reserved request unless its replica takes none now.
pub fn permit(
    state: &State,
    call: &Call,
    reservation: &Reservation,
) -> Result<Permit, Unavailable> {
    let now = state.now();
    let permit = state.table.lock().permit(&reservation.replica, now);
    if let Err(unavailable) = &permit {
        let why = unavailable.label();
        let labels = [("why", why)];
        let metrics = &state.log.metrics;
        metrics
            .counter("coveford_kept_back_total", &labels)
            .increment(1);
        let placed_ms = now.since(reservation.reserved_at).ms();
        state.log.rate_limited(|| {
            info!(target: "replica", event = "kept_back", id = &*call.id, replica = &*reservation.replica, why, placed_ms, "request not sent: the chosen replica takes no requests now")
        });
    }
    permit
}

/// Most informational answers to one send.
const MAX_INFORMATIONAL: usize = 64;

/// Applies informational (1xx) answers, which come before the final one. The result is notified once there are too many.
pub fn observe_informational(
    state: &Arc<State>,
    request: &mut Request<Body>,
    source: Source,
) -> Arc<Notify> {
    let state = state.clone();
    let excess = Arc::new(Notify::new());
    let (count, exceeded) = (AtomicUsize::new(0), excess.clone());
    hyper::ext::on_informational(request, move |response| {
        if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
            exceeded.notify_one();
            return;
        }
        let feedback = response::parse(response.status(), response.headers());
        let answers = feedback.matches_request(&source.subject);
        apply(&state, &source, &feedback, answers);
    });
    excess
}
