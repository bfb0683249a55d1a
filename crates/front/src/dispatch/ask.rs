//! Question to the dispatcher for one request, until it grants a place or refuses.

use super::run::tell_dispatcher;
use super::{Dispatch, Place};
use crate::message::dispatch::account_hash;
use crate::message::dispatch::{self as wire, Dispatch as Wire};
use crate::metrics::Metrics;
use crate::peers::Peers;
use crate::state::State;
use route::dispatch::{Outcome, ReplicaKey};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::timeout;
use unit::{Name, Span, Time};

/// Interval at which a waiting request is asked for again: its grant may be lost, or the dispatcher gone.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// Questions without an answer after which a dispatcher counts as silent.
const MAX_UNANSWERED: u32 = 2;

/// What a request needs.
#[derive(Debug, Clone)]
pub struct Query {
    pub service: Name,
    /// Priority, 0 is the most urgent.
    pub priority: u8,
    /// When its answer is due.
    pub target: Time,
    /// When its client stops waiting.
    pub deadline: Time,
    /// Name of the client's account, if it has one.
    pub account: Option<Name>,
    /// Replicas that must not be chosen.
    pub avoid: Vec<ReplicaKey>,
    /// Replica that this host has chosen, if only a place there is asked for.
    pub only: Option<ReplicaKey>,
}

/// Result of a question.
pub enum Answer {
    /// The request may be sent to the replica of this place.
    Granted(Place),
    /// The request cannot be served before its deadline; time after which room is expected.
    Refused(Span),
    /// There is no dispatcher, it is silent, or it has no replica to give out: this host chooses.
    Alone,
}

/// Request that waits for the dispatcher; dropping it gives the request up.
struct Waiter {
    dispatch: Arc<Dispatch>,
    service: Name,
    number: u32,
    is_open: bool,
}

impl Waiter {
    /// Ends the wait: the dispatcher has no place for the request, or its place is now held.
    fn close(&mut self) {
        self.is_open = false;
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        let client = &self.dispatch.client;
        client.unregister(self.number);
        if self.is_open {
            client.end(&self.service, self.number, Outcome::Unused);
            self.dispatch.report_due.notify_one();
        }
    }
}

/// Asks the dispatcher of a service for a place.
pub async fn ask(state: &State, peers: &Peers, query: Query) -> Answer {
    let (dispatch, metrics) = (&state.dispatch, &state.log.metrics);
    let service = &query.service;
    if dispatch
        .client
        .dispatcher(service, dispatch.now())
        .is_none()
    {
        return Answer::Alone;
    }
    let number = dispatch.client.number();
    let mut answers = dispatch.client.register(number);
    let mut waiter = Waiter {
        dispatch: dispatch.clone(),
        service: service.clone(),
        number,
        is_open: true,
    };
    let (mut unanswered, mut is_first) = (0, true);
    while unanswered < MAX_UNANSWERED {
        let asked_at = dispatch.now();
        // Another request may have found it silent, or the leader may have named another host.
        let Some((addr, limit)) = dispatch.client.dispatcher(service, asked_at) else {
            return Answer::Alone;
        };
        tell_dispatcher(state, peers, question(&query, number, asked_at), addr).await;
        count(metrics, "asked");
        let Ok(Some(answer)) = timeout(limit.std(), answers.recv()).await else {
            (unanswered, is_first) = (unanswered + 1, false);
            count(metrics, "timed_out");
            if unanswered == MAX_UNANSWERED {
                dispatch
                    .client
                    .record_silence(service, addr, dispatch.now());
                count(metrics, "silent");
            }
            continue;
        };
        let took = dispatch.now().since(asked_at);
        // The answer to a repeated question may be that to an earlier one.
        let round_trip = is_first.then_some(took);
        record_answer(dispatch, metrics, service, addr, round_trip);
        (unanswered, is_first) = (0, false);
        let answer = match answer {
            wire::Answer::Wait => next(&mut answers).await,
            answer => Some(answer),
        };
        if let Some(answer) = answer {
            waiter.close();
            count(metrics, label(answer));
            return resolve(dispatch, &query, number, answer);
        }
    }
    Answer::Alone
}

/// Next answer to a request that waits, if one comes before it is to be asked for again.
async fn next(answers: &mut UnboundedReceiver<wire::Answer>) -> Option<wire::Answer> {
    let next = async {
        loop {
            match answers.recv().await {
                Some(wire::Answer::Wait) => {}
                answer => return answer,
            }
        }
    };
    timeout(ASK_AGAIN, next).await.ok().flatten()
}

fn question(query: &Query, number: u32, now: Time) -> Wire {
    let ms = |time: Time| time.since(now).ms() as u32;
    Wire::Ask(wire::Ask {
        number,
        service: query.service.clone(),
        priority: query.priority,
        target_ms: ms(query.target),
        deadline_ms: ms(query.deadline),
        account: query.account.as_deref().map_or(0, account_hash),
        avoid: query.avoid.clone(),
        only: query.only,
    })
}

fn resolve(dispatch: &Arc<Dispatch>, query: &Query, number: u32, answer: wire::Answer) -> Answer {
    match answer {
        wire::Answer::Grant(replica) => {
            Answer::Granted(Place::open(dispatch, &query.service, number, replica))
        }
        wire::Answer::Refuse(ms) => Answer::Refused(Span::from_ms(u64::from(ms))),
        wire::Answer::Wait | wire::Answer::Unable => Answer::Alone,
    }
}

fn record_answer(
    dispatch: &Dispatch,
    metrics: &Metrics,
    service: &Name,
    addr: SocketAddr,
    round_trip: Option<Span>,
) {
    let now = dispatch.now();
    dispatch
        .client
        .record_answer(service, addr, round_trip, now);
    if let Some(took) = round_trip {
        metrics.record_dispatch_round_trip(took);
    }
}

fn label(answer: wire::Answer) -> &'static str {
    match answer {
        wire::Answer::Grant(_) => "granted",
        wire::Answer::Wait => "waits",
        wire::Answer::Refuse(_) => "refused",
        wire::Answer::Unable => "unable",
    }
}

fn count(metrics: &Metrics, event: &'static str) {
    metrics
        .counter("coveford_dispatch_questions_total", &[("event", event)])
        .increment(1);
}
