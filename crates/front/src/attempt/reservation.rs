//! Place of a request at a replica: what the table counts and learns of it.

use super::{Call, Failure};
use crate::feedback::Source;
use crate::quarantine;
use crate::state::State;
use crate::table::{Choice, Footprint};
use platform::replica::Incarnation;
use std::sync::Arc;
use unit::{Name, Time};

/// Place of a request at a replica; dropping it counts the request out.
pub struct Reservation {
    state: Arc<State>,
    /// The replica.
    pub replica: Name,
    /// Which start of it the request was placed at.
    pub incarnation: Incarnation,
    /// Its share in the table's sums.
    print: Footprint,
    service: Name,
    model: Option<Name>,
    /// Whether the request names no adapter.
    whole: bool,
    /// When the request was counted in.
    pub reserved_at: Time,
    /// Prompt tokens to be read for it, if no other prompt stood before it then.
    alone: Option<f64>,
    /// When the first token came.
    started: Option<Time>,
}

impl Reservation {
    /// Counts a request in.
    pub fn take(state: &Arc<State>, call: &Call, choice: &Choice) -> Reservation {
        let now = state.now();
        let mut table = state.table.lock();
        let alone = table.unqueued_tokens(&choice.replica, &call.ask, now);
        let print = table.begin(&choice.replica, &call.criteria(&[]), now);
        let seen = table.view.get(&choice.replica);
        let incarnation = seen.and_then(|s| s.entry.incarnation);
        drop(table);
        state.load_added.notify_one();
        Reservation {
            state: state.clone(),
            replica: choice.replica.clone(),
            incarnation,
            print,
            service: call.service.clone(),
            model: call.ask.model.clone(),
            whole: call.ask.adapter.is_none(),
            reserved_at: now,
            alone,
            started: None,
        }
    }

    /// Notes that the first token has come.
    pub fn started(&mut self) {
        let now = self.state.now();
        self.started = Some(now);
        let mut table = self.state.table.lock();
        table.record_first_token(&self.replica, &mut self.print);
        if let (Some(model), Some(tokens)) = (&self.model, self.alone) {
            table.record_speed(&self.service, model, tokens, now.since(self.reserved_at));
        }
        drop(table);
        self.state.changed.notify_waiters();
        self.state.load_reduced.notify_one();
    }

    /// Notes that the whole answer has come.
    pub fn answered(&mut self, failed: bool) {
        let now = self.state.now();
        let mut table = self.state.table.lock();
        table.record_outcome(&self.replica, failed, now);
        if let (Some(model), Some(started)) = (&self.model, self.started) {
            table.record_run(&self.service, model, now.since(started));
        }
    }

    /// Notes that the replica took no connection.
    pub(super) fn unreachable(&self) {
        let now = self.state.now();
        self.state
            .table
            .lock()
            .record_unreachable(&self.replica, now);
    }

    /// Where an answer to the request comes from.
    pub(super) fn source(&self, call: &Call) -> Source {
        Source {
            replica: self.replica.clone(),
            incarnation: self.incarnation,
            subject: call.id.clone(),
            whole: self.whole,
        }
    }

    /// Notes that the replica gave no whole answer, and why: one that broke off may have been its fall.
    pub fn ended(&self, call: &Call, why: &Failure) {
        self.failed();
        if let Failure::Lost(_) = why {
            quarantine::note_broken(&self.state, call, self);
        }
    }

    /// Notes that the replica gave no good answer.
    pub fn failed(&self) {
        let now = self.state.now();
        self.state
            .table
            .lock()
            .record_outcome(&self.replica, true, now);
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.state.table.lock().finish(&self.replica, &self.print);
        self.state.changed.notify_waiters();
        self.state.load_reduced.notify_one();
    }
}
