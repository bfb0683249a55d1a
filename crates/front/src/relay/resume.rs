//! Resumption of a broken stream at another replica.

use super::{Relay, Source};
use crate::attempt::{Exchange, Failure, Reservation, send};
use crate::detour;
use crate::dispatch::Place;
use crate::grant::Grant;
use crate::serve::{self, resumption};
use crate::state::State;
use crate::streams;
use crate::table::{Choice, Criteria, Unplaceable};
use crate::{quarantine, rate_limit};
use route::admission::Standing;
use std::net::SocketAddr;
use tracing::info;
use unit::Span;

async fn refund(state: &State, grant: Option<Grant>) {
    if let Some(grant) = grant {
        grant.refund(state).await;
    }
}

/// Time for which a broken stream waits for capacity: clients abandon a stream after a gap of two
/// seconds.
const RESUME_TIMEOUT: Span = Span::from_ms(1_500);

/// Interval at which a broken stream looks for a replica that has loaded its adapter.
const ADAPTER_POLL: Span = Span::from_ms(60);

/// Most sends to resume one stream, including refused ones.
const MAX_SENDS: usize = 5;

impl Relay {
    /// Resumes the stream at another replica; returns whether that succeeded.
    pub(super) async fn resume(&mut self, cause: &Failure) -> bool {
        self.broken_at = None;
        if let Some(source) = self.source.take() {
            let software = source.origin.software().cloned();
            self.broken_at = source.origin.replica().cloned().zip(software);
            source.origin.record_failure(&self.call, cause);
            source.origin.close_idle(&self.state);
        }
        let (state, call) = (self.state.clone(), self.call.clone());
        if !self.may_go_on() {
            return false;
        }
        let is_idempotent = call.route.kind.is_idempotent();
        if *cause == Failure::TimedOut || !is_idempotent || !quarantine::may_retry(&state, &call) {
            return false;
        }
        self.splitter.discard_partial();
        self.memory = state.answer_memory.reserve();
        self.pauses.clear();
        let last = self.splitter.last_id().or(call.metadata.last_event);
        for _ in 0..MAX_SENDS {
            if !self.history.may_run_again(&call) || state.now() >= call.deadline {
                return false;
            }
            if let Some(host) = detour::choose(&state, &call) {
                if self.resume_by_host(host, last, cause).await {
                    return true;
                }
                continue;
            }
            let (choice, grant, place) = match self.next_replica().await {
                Ok(next) => next,
                Err(Unplaceable::Unreachable(witnesses)) if witnesses.own > 0 => {
                    match detour::choose_for_unreached(&state, &call) {
                        Some(host) if self.resume_by_host(host, last, cause).await => return true,
                        Some(_) => continue,
                        None => return false,
                    }
                }
                Err(reason) => {
                    if reason == Unplaceable::OtherSoftware {
                        resumption::count_failure(&state, "no_replica");
                    }
                    return false;
                }
            };
            let now = state.now();
            if !state.table.lock().spend_retry(&call.service, now) {
                if let Some(grant) = grant {
                    grant.refund(&state).await;
                }
                return false;
            }
            let mut reservation = Reservation::open(&state, &call, &choice);
            reservation.place = place;
            let result = send(&state, &call, &choice, reservation, last).await;
            if let (Some(grant), Err(failure)) = (grant, &result)
                && failure.proves_unsent()
            {
                grant.refund(&state).await;
            }
            self.history.record(&choice.replica, &result);
            self.log_resumption(Some(&choice), last, cause, &result);
            match result {
                Ok(exchange) if exchange.response.status().is_success() => {
                    self.source = Some(Source::from(exchange));
                    return true;
                }
                Err(Failure::Unauthorized(_) | Failure::Quarantined(_)) => return false,
                _ => {}
            }
        }
        false
    }

    /// Whether it is known which software began the stream, so that another replica may take it up.
    fn may_go_on(&self) -> bool {
        let began_at = self.call.arrived + self.ttft;
        let run = self.call.run.get().and_then(Option::as_ref);
        // A stream that its client took up was bound for good then.
        let is_certain = |run| {
            streams::is_resumption(&self.call) || self.state.streams.is_certain(run, began_at)
        };
        let is_known = run.is_some_and(is_certain);
        if !is_known && self.call.route.kind.is_idempotent() {
            resumption::count_failure(&self.state, "unknown");
        }
        is_known
    }

    /// Resumes the stream by way of another host; returns whether that succeeded.
    async fn resume_by_host(
        &mut self,
        host: SocketAddr,
        last: Option<u64>,
        cause: &Failure,
    ) -> bool {
        let (state, call) = (self.state.clone(), self.call.clone());
        if !state.table.lock().spend_retry(&call.service, state.now()) {
            return false;
        }
        let result = detour::send(&state, &call, host, &mut self.history, last).await;
        self.log_resumption(None, last, cause, &result);
        match result {
            Ok(exchange) if exchange.response.status().is_success() => {
                self.source = Some(Source::from(exchange));
                true
            }
            _ => false,
        }
    }

    fn log_resumption(
        &self,
        choice: Option<&Choice>,
        last: Option<u64>,
        cause: &Failure,
        result: &Result<Exchange, Failure>,
    ) {
        let id = &self.call.id;
        self.state.log.rate_limited(|| {
            let outcome = match result {
                Ok(exchange) => format!("status {}", exchange.response.status()),
                Err(failure) => failure.to_string(),
            };
            let (replica, software) = choice.map(|c| (&*c.replica, &*c.software)).unzip();
            let (from, from_software) = self.broken_at.as_ref().map(|(r, s)| (&**r, &**s)).unzip();
            info!(target: "request", event = "continued", id = &**id, replica, software, from, from_software, last, why = %cause, outcome, "resuming a broken stream at another replica")
        });
    }

    /// Chooses a replica to resume at and claims a unit of its rate limit, if it has one. Waits if all eligible
    /// replicas are without capacity, or have to load the adapter.
    async fn next_replica(&self) -> Result<(Choice, Option<Grant>, Option<Place>), Unplaceable> {
        let (state, call) = (&self.state, &self.call);
        let deadline = state.now() + RESUME_TIMEOUT;
        *call.standing.lock() = Standing::Timely;
        loop {
            let now = state.now();
            let criteria = Criteria {
                is_resumption: true,
                ..call.criteria(&self.history.attempted)
            };
            let chosen = state.table.lock().choose(&criteria, now);
            match chosen {
                Ok(choice) => {
                    let admitted = rate_limit::admit(state, &self.peers, &criteria, &choice);
                    if let Ok(grant) = admitted.await {
                        match serve::claim(state, &self.peers, call, &choice).await {
                            Ok(place) => return Ok((choice, grant, place)),
                            Err(_) => refund(state, grant).await,
                        }
                    }
                }
                Err(Unplaceable::Saturated(saturation))
                    if now + saturation.wait < deadline.min(call.deadline) =>
                {
                    let _ =
                        tokio::time::timeout(saturation.wait.std(), state.changed.notified()).await;
                }
                Err(Unplaceable::NoAdapter) if now + ADAPTER_POLL < deadline.min(call.deadline) => {
                    serve::request_adapter_beside(state, call, false, &self.history.attempted);
                    let _ =
                        tokio::time::timeout(ADAPTER_POLL.std(), state.changed.notified()).await;
                }
                Err(reason) => return Err(reason),
            }
        }
    }
}
