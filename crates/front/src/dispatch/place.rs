//! Place of a request at a replica, from its grant to its end.

use super::Dispatch;
use crate::message::replica_hash;
use route::dispatch::{Outcome, ReplicaKey};
use std::sync::Arc;
use unit::{Name, Time};

/// Place of a request at a replica; dropping it tells the dispatcher how the request ended.
pub struct Place {
    dispatch: Arc<Dispatch>,
    service: Name,
    number: u32,
    /// Hash of the replica's id.
    pub replica: ReplicaKey,
    opened_at: Time,
    outcome: Outcome,
}

impl Place {
    pub(super) fn open(
        dispatch: &Arc<Dispatch>,
        service: &Name,
        number: u32,
        replica: ReplicaKey,
    ) -> Place {
        dispatch.client.begin(service, number, replica);
        Place {
            dispatch: dispatch.clone(),
            service: service.clone(),
            number,
            replica,
            opened_at: dispatch.now(),
            outcome: Outcome::Unused,
        }
    }

    /// Place of a request that was sent without the dispatcher.
    pub(super) fn alone(dispatch: &Arc<Dispatch>, service: &Name, replica: &str) -> Place {
        let number = dispatch.client.number();
        Place::open(dispatch, service, number, replica_hash(replica))
    }

    /// Records an answer of the replica.
    pub fn record_answer(&mut self, failed: bool) {
        let took = self.dispatch.now().since(self.opened_at);
        self.outcome = match failed {
            true => Outcome::Failed,
            false => Outcome::Served(took),
        };
    }

    /// Records that the replica turned the request away or could not be reached.
    pub fn record_turned_away(&mut self) {
        self.outcome = Outcome::TurnedAway;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let client = &self.dispatch.client;
        client.end(&self.service, self.number, self.outcome);
        self.dispatch.report_due.notify_one();
    }
}
