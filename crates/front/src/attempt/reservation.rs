//! Reservation of a request at a replica: its load in the table, and what the table learns from its
//! outcome.

use super::{Call, Failure};
use crate::dispatch::Place;
use crate::feedback::Source;
use crate::paths::{self, Waiting};
use crate::quarantine;
use crate::state::State;
use crate::table::{Choice, Footprint, Forecast};
use platform::replica::Incarnation;
use std::sync::Arc;
use unit::{Name, Span, Time};

/// Reservation of a request at a replica; dropping it removes the request from the replica's load.
pub struct Reservation {
    state: Arc<State>,
    /// Identity of the replica.
    pub replica: Name,
    /// Incarnation of the replica when the request was placed.
    pub incarnation: Incarnation,
    /// Version of its software by the entry of that incarnation.
    pub software: Option<Name>,
    /// Contribution to the replica's load.
    footprint: Footprint,
    pub service: Name,
    model: Option<Name>,
    /// Whether the request names no adapter.
    without_adapter: bool,
    /// When the reservation was opened.
    pub reserved_at: Time,
    /// When the connection that the request is sent over was opened, once there is one.
    pub connected_at: Option<Time>,
    /// What was expected of its first token.
    forecast: Forecast,
    /// When the first token arrived.
    first_token_at: Option<Time>,
    /// Place that the dispatcher of the service gave out.
    pub place: Option<Place>,
    /// Ratio of the expected time to first token to the real one, where the former is known.
    pub forecast_ratio: Option<f64>,
    _waiting: Waiting,
}

impl Reservation {
    /// Adds a request to the load of the chosen replica.
    pub fn open(state: &Arc<State>, call: &Call, choice: &Choice) -> Reservation {
        let now = state.now();
        let mut table = state.table.lock();
        let criteria = call.criteria(&[]);
        let forecast = table.forecast(&choice.replica, &criteria, now);
        let footprint = table.begin(&choice.replica, &criteria, now);
        let listed = table.view.get(&choice.replica);
        let incarnation = listed.and_then(|s| s.entry.incarnation);
        let software = listed.map(|s| s.entry.software.clone());
        drop(table);
        state.load_added.notify_one();
        Reservation {
            _waiting: paths::enter(state),
            state: state.clone(),
            replica: choice.replica.clone(),
            incarnation,
            software,
            footprint,
            service: call.service.clone(),
            model: call.metadata.model.clone(),
            without_adapter: call.metadata.adapter.is_none(),
            reserved_at: now,
            connected_at: None,
            forecast,
            first_token_at: None,
            place: None,
            forecast_ratio: None,
        }
    }

    /// Records the first token.
    pub fn record_first_token(&mut self) {
        let now = self.state.now();
        self.first_token_at = Some(now);
        let mut table = self.state.table.lock();
        table.record_first_token(&self.replica, &mut self.footprint, now);
        let took = now.since(self.reserved_at);
        let ratio = self.model.as_ref().and_then(|model| {
            table.record_speed(
                &self.replica,
                &self.service,
                model,
                &self.forecast,
                took,
                now,
            )
        });
        drop(table);
        if let Some(ratio) = ratio {
            self.state.log.metrics.record_forecast(ratio);
        }
        self.forecast_ratio = ratio;
        self.state.changed.notify_waiters();
        self.state.load_reduced.notify_one();
    }

    /// Records a complete answer.
    pub fn record_answer(&mut self, failed: bool) {
        if let Some(place) = &mut self.place {
            place.record_answer(failed);
        }
        let now = self.state.now();
        let mut table = self.state.table.lock();
        table.record_outcome(&self.replica, failed, now);
        if let (Some(model), Some(first_token_at)) = (&self.model, self.first_token_at) {
            let decode = now.since(first_token_at);
            table.record_decode(&self.replica, &self.service, model, decode, now);
        }
    }

    /// Records the pauses between the first events of its stream.
    pub fn record_pauses(&self, pauses: &mut [Span]) {
        let now = self.state.now();
        let mut table = self.state.table.lock();
        if let Some(model) = &self.model {
            table.record_pauses(&self.replica, &self.service, model, pauses, now);
        }
    }

    /// Records that the replica refused the connection.
    pub(super) fn record_unreachable(&mut self) {
        self.record_turned_away();
        let now = self.state.now();
        self.state
            .table
            .lock()
            .record_unreachable(&self.replica, now);
        paths::record_failure(&self.state, &self.replica);
    }

    /// Records that the replica did not take the request.
    pub(super) fn record_turned_away(&mut self) {
        if let Some(place) = &mut self.place {
            place.record_turned_away();
        }
    }

    /// Origin of answers to the request.
    pub(super) fn source(&self, call: &Call) -> Source {
        Source {
            replica: self.replica.clone(),
            incarnation: self.incarnation,
            subject: call.id.clone(),
            without_adapter: self.without_adapter,
        }
    }

    /// Records that no complete answer arrived. A lost answer may be due to a crash of the replica.
    pub fn record_failure(&self, call: &Call, failure: &Failure) {
        self.record_bad_answer();
        if let Failure::Lost(_) = failure {
            quarantine::note_interrupted(&self.state, call, self);
        }
    }

    /// Records a failed answer.
    pub fn record_bad_answer(&self) {
        let now = self.state.now();
        self.state
            .table
            .lock()
            .record_outcome(&self.replica, true, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state
            .table
            .lock()
            .finish(&self.replica, &self.footprint);
        self.state.changed.notify_waiters();
        self.state.load_reduced.notify_one();
    }
}
