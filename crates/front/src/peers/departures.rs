//! Spreads departures of replicas: only one host receives the announcement, and each other host would otherwise have
//! to send the replica a request to learn of it.

use super::Peers;
use crate::feedback;
use crate::message::departures::MAX_DEPARTURES;
use crate::message::{Departures, Message};
use platform::replica::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span};

/// Delay in which departures are batched; a release makes several replicas leave at once.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a host repeats a departure that it received itself to the leader, so that a new leader learns of
/// it.
const RESEND_FOR: Span = Span::from_secs(5);

impl Peers {
    /// Sends new departures as they are received, until the daemon ends.
    pub async fn send_departures(self: Arc<Self>) {
        loop {
            self.state.departure_heard.notified().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let unannounced = self.state.table.lock().view.take_unannounced_departures();
            if self.state.leads() {
                self.broadcast_departure_list(&unannounced).await;
                continue;
            }
            let others = self.direct_hosts.lock().clone();
            for message in self.departure_messages(&unannounced) {
                for other in &others {
                    self.send(&message, *other).await;
                }
                if others.is_empty() {
                    self.send_to_leader(message).await;
                }
            }
        }
    }

    /// Sends recent departures to the leader again.
    pub(super) async fn resend_departures(&self) {
        if self.state.leads() {
            return;
        }
        let now = self.state.now();
        let recent = self
            .state
            .table
            .lock()
            .view
            .recent_departures(RESEND_FOR, now);
        for message in self.departure_messages(&recent) {
            self.send_to_leader(message).await;
        }
    }

    /// Sends all departures of known replicas to all hosts; called by the leader.
    pub async fn broadcast_departures(&self) {
        let known = self.state.table.lock().view.departures();
        self.broadcast_departure_list(&known).await;
    }

    async fn broadcast_departure_list(&self, replicas: &[(Name, Incarnation)]) {
        for message in self.departure_messages(replicas) {
            self.broadcast(&message).await;
        }
    }

    /// Departures as datagrams of this host.
    fn departure_messages(&self, replicas: &[(Name, Incarnation)]) -> Vec<Message> {
        let message = |replicas: &[(Name, Incarnation)]| {
            Message::Departures(Departures {
                host: self.state.settings.name.clone(),
                replicas: replicas.to_vec(),
            })
        };
        replicas.chunks(MAX_DEPARTURES).map(message).collect()
    }

    /// Merges departures that another host received.
    pub(super) fn merge_departures(&self, departures: &Departures) {
        for (replica, incarnation) in &departures.replicas {
            feedback::record_reported_departure(
                &self.state,
                replica,
                *incarnation,
                &departures.host,
            );
        }
    }
}
