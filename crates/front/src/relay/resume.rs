//! Taking a broken stream up at another replica.

use super::{Relay, Source};
use crate::attempt::{Failure, Reservation, send};
use crate::grant::Grant;
use crate::table::{Choice, Criteria, Unplaceable};
use crate::{quarantine, rate_limit};
use tracing::info;
use unit::Span;

/// Time for which a broken stream waits for room at a replica in need or at rest: clients give a stream up after a gap of two seconds.
const RESUMES_WITHIN: Span = Span::from_ms(1_500);

/// Sendings of one stream that broke, the refused ones included.
const MOST_SENDINGS: usize = 5;

impl Relay {
    /// Takes the stream up at another replica; tells whether that was possible.
    pub(super) async fn resume(&mut self, why: &Failure) -> bool {
        if let Some(source) = self.source.take() {
            source.place.ended(&self.call, why);
            self.state.pool.close_all(&source.place.replica);
        }
        let (state, call) = (self.state.clone(), self.call.clone());
        let repeatable = call.route.kind.is_repeatable();
        if *why == Failure::TimedOut || !repeatable || !quarantine::may_retry(&state, &call) {
            return false;
        }
        self.splitter.take_remainder();
        let last = self.splitter.last_id().or(call.ask.last_event);
        for _ in 0..MOST_SENDINGS {
            if !self.tried.may_run(&call) || state.now() >= call.deadline {
                return false;
            }
            let Some((choice, grant)) = self.next_replica().await else {
                return false;
            };
            let now = state.now();
            if !state.table.lock().spend_retry(&call.service, now) {
                if let Some(grant) = grant {
                    grant.refund(&state).await;
                }
                return false;
            }
            let place = Reservation::take(&state, &call, &choice);
            let sent = send(&state, &call, &choice, place, last).await;
            if let (Some(grant), Err(failed)) = (grant, &sent)
                && failed.proves_unsent()
            {
                grant.refund(&state).await;
            }
            self.tried.note(&choice.replica, &sent);
            state.log.rate_limited(|| {
                let outcome = match &sent {
                    Ok(sent) => format!("status {}", sent.response.status()),
                    Err(failed) => failed.to_string(),
                };
                info!(target: "request", event = "continued", id = &*call.id, replica = &*choice.replica, last, why = %why, outcome, "a broken stream is taken up elsewhere")
            });
            match sent {
                Ok(sent) if sent.response.status().is_success() => {
                    self.source = Some(Source::from(sent));
                    return true;
                }
                Err(Failure::Unauthorized(_) | Failure::Quarantined(_)) => return false,
                _ => {}
            }
        }
        false
    }

    /// Replica that may take the stream up, with a part of its limit where it has named one; waits shortly for room where
    /// all that could are in need.
    async fn next_replica(&self) -> Option<(Choice, Option<Grant>)> {
        let (state, call) = (&self.state, &self.call);
        let give_up = state.now() + RESUMES_WITHIN;
        loop {
            let now = state.now();
            let want = Criteria {
                is_resumption: true,
                ..call.criteria(&self.tried.replicas)
            };
            let chosen = state.table.lock().choose(&want, now);
            match chosen {
                Ok(choice) => {
                    if let Ok(grant) = rate_limit::admit(state, &self.peers, &want, &choice).await {
                        return Some((choice, grant));
                    }
                }
                Err(Unplaceable::Saturated(full))
                    if now + full.turn < give_up.min(call.deadline) =>
                {
                    let _ = tokio::time::timeout(full.turn.std(), state.changed.notified()).await;
                }
                Err(_) => return None,
            }
        }
    }
}
