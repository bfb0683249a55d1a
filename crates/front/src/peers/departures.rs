//! Telling which replicas leave by their own word: the answer comes to one host, and the others would each send that
//! replica a request of their own to learn it.

use super::Peers;
use crate::feedback;
use crate::message::departures::ROWS;
use crate::message::{Departures, Message};
use platform::replica::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span};

/// Pause in which words are told together: a release lets several replicas leave at once.
const TOGETHER: Duration = Duration::from_millis(10);

/// Time for which a host tells the leader again what it heard itself, so that the next leader hears it too.
const TOLD_AGAIN: Span = Span::from_secs(5);

impl Peers {
    /// Tells each word at once, until the daemon ends.
    pub async fn send_departures(self: Arc<Self>) {
        loop {
            self.state.departure_heard.notified().await;
            tokio::time::sleep(TOGETHER).await;
            let untold = self.state.table.lock().view.take_unannounced_departures();
            if self.state.leads() {
                self.tell_all_leaving(&untold).await;
                continue;
            }
            let others = self.others.lock().clone();
            for message in self.leaving(&untold) {
                for other in &others {
                    self.send(&message, *other).await;
                }
                if others.is_empty() {
                    self.send_to_leader(message).await;
                }
            }
        }
    }

    /// Tells the leader once more what this host has heard itself.
    pub(super) async fn repeat_leaving(&self) {
        if self.state.leads() {
            return;
        }
        let now = self.state.now();
        let lately = self
            .state
            .table
            .lock()
            .view
            .recent_departures(TOLD_AGAIN, now);
        for message in self.leaving(&lately) {
            self.send_to_leader(message).await;
        }
    }

    /// Tells all hosts, as the leader, which replicas that are there leave by their word.
    pub async fn broadcast_departures(&self) {
        let known = self.state.table.lock().view.departures();
        self.tell_all_leaving(&known).await;
    }

    async fn tell_all_leaving(&self, replicas: &[(Name, Incarnation)]) {
        for message in self.leaving(replicas) {
            self.broadcast(&message).await;
        }
    }

    /// Words as this host tells them, in datagrams.
    fn leaving(&self, replicas: &[(Name, Incarnation)]) -> Vec<Message> {
        let message = |replicas: &[(Name, Incarnation)]| {
            Message::Departures(Departures {
                host: self.state.settings.name.clone(),
                replicas: replicas.to_vec(),
            })
        };
        replicas.chunks(ROWS).map(message).collect()
    }

    /// Takes in what another host heard.
    pub(super) fn join_leaving(&self, told: &Departures) {
        for (replica, incarnation) in &told.replicas {
            feedback::record_reported_departure(&self.state, replica, *incarnation, &told.host);
        }
    }
}
