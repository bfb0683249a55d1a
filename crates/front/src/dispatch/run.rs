//! Exchange of datagrams with dispatchers and, as a dispatcher, with hosts.

use super::Dispatch;
use crate::message::Message;
use crate::message::dispatch::{Answer, Dispatch as Wire};
use crate::peers::Peers;
use crate::state::State;
use route::dispatch::Notice;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout};

/// Delay in which requests that end are batched.
const REPORT_DELAY: Duration = Duration::from_millis(2);

/// Interval at which a dispatcher looks for waits and grants that are over.
const TICK: Duration = Duration::from_millis(10);

/// Interval at which a host that stops tells the leader so.
const WITHDRAWN_INTERVAL: Duration = Duration::from_millis(300);

/// Sends reports, and watches over what this host dispatches, until the daemon ends.
pub async fn run(state: Arc<State>, peers: Arc<Peers>) {
    tokio::join!(
        send_reports(&state, &peers),
        watch(&state, &peers),
        announce_stop(&state, &peers),
    );
}

/// Handles a datagram.
pub async fn handle(state: &State, peers: &Peers, message: Wire, from: SocketAddr) {
    let dispatch = &state.dispatch;
    let now = state.now();
    let notices = match message {
        Wire::Ask(ask) if state.is_draining() => {
            let answer = Wire::Answer(ask.number, Answer::Unable);
            return send(dispatch, peers, from, answer).await;
        }
        Wire::Ask(ask) => dispatch.server.ask(&state.table, ask, from, now),
        Wire::Report(report) => dispatch.server.report(&state.table, report, from, now),
        Wire::Answer(number, answer) => return dispatch.client.answer(number, answer),
        Wire::Withdrawn => return dispatch.withdraw(from, now),
    };
    tell(dispatch, peers, notices).await;
}

/// Sends decisions to the hosts that asked.
async fn tell(dispatch: &Dispatch, peers: &Peers, notices: Vec<Notice>) {
    for Notice { ticket, decision } in notices {
        let answer = Wire::Answer(ticket.number, decision.into());
        send(dispatch, peers, ticket.host, answer).await;
    }
}

/// Sends an answer; this host takes its own directly.
async fn send(dispatch: &Dispatch, peers: &Peers, to: SocketAddr, answer: Wire) {
    match answer {
        Wire::Answer(number, answer) if to == dispatch.own => {
            dispatch.client.answer(number, answer)
        }
        answer => peers.send(&Message::Dispatch(answer), to).await,
    }
}

/// Sends a message to a dispatcher, which may be this host.
pub(super) async fn tell_dispatcher(state: &State, peers: &Peers, message: Wire, to: SocketAddr) {
    match to == state.dispatch.own {
        true => handle(state, peers, message, to).await,
        false => peers.send(&Message::Dispatch(message), to).await,
    }
}

/// Tells dispatchers what has ended, and what is in flight.
async fn send_reports(state: &State, peers: &Peers) {
    let dispatch = &state.dispatch;
    loop {
        let due = dispatch.report_due.notified();
        match dispatch.client.next_report() {
            // The report is due either way.
            Some(interval) => drop(timeout(interval, due).await),
            None => due.await,
        }
        sleep(REPORT_DELAY).await;
        for (dispatcher, report) in dispatch.client.take_reports() {
            tell_dispatcher(state, peers, Wire::Report(report), dispatcher).await;
        }
    }
}

/// Lets time pass for the services that this host dispatches.
async fn watch(state: &State, peers: &Peers) {
    let dispatch = &state.dispatch;
    loop {
        let notices = dispatch.server.advance(&state.table, state.now());
        match notices {
            Some(notices) => {
                tell(dispatch, peers, notices).await;
                sleep(TICK).await;
            }
            None => dispatch.server.is_active.notified().await,
        }
    }
}

/// Tells the leader that this host stops, so that it names another dispatcher.
async fn announce_stop(state: &State, peers: &Peers) {
    state.drain_started().await;
    loop {
        let leader = state.leader.lock().clone();
        let is_dispatched = !state.dispatch.assigned().is_empty();
        if let Some(leader) = leader.filter(|_| is_dispatched) {
            tell_dispatcher(state, peers, Wire::Withdrawn, leader.peers).await;
        }
        sleep(WITHDRAWN_INTERVAL).await;
    }
}
