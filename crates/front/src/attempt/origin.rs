//! What an answer comes from: a replica, or another host that the request was passed on to.

use super::{Call, Failure, Reservation};
use crate::detour::Hop;
use crate::pool::Line;
use crate::state::State;
use crate::streams;
use platform::response::Feedback;
use route::quarantine::Instance;
use route::streams::Run;
use unit::{Name, Span};

pub enum Origin {
    /// A replica, at which the request has a reservation.
    Replica(Box<Reservation>),
    /// A host that sends the request to replicas.
    Host(Hop),
}

impl Origin {
    /// Replica that answers, if this host sent the request there.
    pub fn replica(&self) -> Option<&Name> {
        self.reservation().map(|reservation| &reservation.replica)
    }

    /// Run that answers; none if it is not certain which software runs it.
    pub fn run(&self, state: &State) -> Option<Run> {
        match self {
            Origin::Replica(reservation) => streams::run_at(state, reservation),
            Origin::Host(hop) => hop.run.clone(),
        }
    }

    /// Version of the replica's software, by its entry when the request was placed.
    pub fn software(&self) -> Option<&Name> {
        self.reservation()?.software.as_ref()
    }

    /// Ratio of the expected time to first token to the real one, where the former is known.
    pub fn forecast_ratio(&self) -> Option<f64> {
        self.reservation()?.forecast_ratio
    }

    fn reservation(&self) -> Option<&Reservation> {
        match self {
            Origin::Replica(reservation) => Some(reservation),
            Origin::Host(_) => None,
        }
    }

    /// Replica that answers and its incarnation, if this host sent the request there.
    pub fn instance(&self) -> Option<Instance> {
        let reservation = self.reservation()?;
        Some((reservation.replica.clone(), reservation.incarnation))
    }

    /// Whether it is still there, as far as the store or the leader tells.
    pub fn is_present(&self, state: &State) -> bool {
        let reservation = match self {
            Origin::Replica(reservation) => reservation,
            Origin::Host(hop) => return hop.is_present(),
        };
        let table = state.table.lock();
        let listed = table.view.get(&reservation.replica);
        listed.is_some_and(|s| {
            s.missing_since.is_none() && s.entry.incarnation == reservation.incarnation
        })
    }

    /// Records the first token.
    pub fn record_first_token(&mut self) {
        if let Origin::Replica(reservation) = self {
            reservation.record_first_token();
        }
    }

    /// Records the pauses between the first events of its stream.
    pub fn record_pauses(&self, pauses: &mut [Span]) {
        if let Some(reservation) = self.reservation() {
            reservation.record_pauses(pauses);
        }
    }

    /// Records a complete answer.
    pub fn record_answer(&mut self, failed: bool) {
        match self {
            Origin::Replica(reservation) => reservation.record_answer(failed),
            Origin::Host(hop) => hop.record_answer(),
        }
    }

    /// Records that no complete answer arrived.
    pub fn record_failure(&self, call: &Call, failure: &Failure) {
        match self {
            Origin::Replica(reservation) => reservation.record_failure(call, failure),
            Origin::Host(hop) if matches!(failure, Failure::Lost(_)) => hop.record_failure(),
            Origin::Host(_) => {}
        }
    }

    /// Returns a connection to the pool after a complete answer, if the other end keeps it open.
    pub fn return_connection(&self, state: &State, call: &Call, line: Line, feedback: &Feedback) {
        match self {
            Origin::Host(hop) => hop.return_connection(line.connection),
            Origin::Replica(reservation) => {
                super::keep_connection(state, call, &reservation.replica, line, feedback)
            }
        }
    }

    /// Closes all idle connections to the replica.
    pub fn close_idle(&self, state: &State) {
        if let Some(replica) = self.replica() {
            state.pool.close_all(replica);
        }
    }
}
