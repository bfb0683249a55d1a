//! Spreads departures of replicas. An announcement in an answer reaches one host only, and one in the store does not reach
//! hosts that the store turns away, or that start after the entry has gone.

use super::Peers;
use crate::feedback;
use crate::message::departures::MAX_DEPARTURES;
use crate::message::{Departures, Message};
use crate::readers;
use platform::replica::Incarnation;
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span};

/// Delay in which departures are batched; a release makes several replicas leave at once.
const BATCH_DELAY: Duration = Duration::from_millis(10);

/// Time for which a host repeats a departure that it received itself to the leader, since datagrams may be lost.
const RESEND_FOR: Span = Span::from_secs(5);

/// Number of rounds in which a host sends all departures that it knows to a new leader.
const SENDS_TO_NEW_LEADER: u32 = 3;

impl Peers {
    /// Sends new departures as they are received, until the daemon ends.
    pub async fn send_departures(self: Arc<Self>) {
        loop {
            self.state.departure_heard.notified().await;
            tokio::time::sleep(BATCH_DELAY).await;
            let tells_entries = self.tells_entries();
            let unannounced = {
                let view = &mut self.state.table.lock().view;
                view.take_unannounced_departures(tells_entries)
            };
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

    /// Whether this host passes on what it reads in the store: in a large fleet only the leader and the hosts that read for
    /// others do, since all hear of a departure at once.
    fn tells_entries(&self) -> bool {
        let is_direct = !self.direct_hosts.lock().is_empty();
        self.state.leads() || is_direct || readers::serves_others(&self.state)
    }

    /// Sends departures to the leader again: all that are known to a new one, which may have started after they were
    /// announced, and else those that this host received recently.
    pub(super) async fn resend_departures(&self) {
        let Some(term) = self.state.leader.lock().as_ref().map(|l| l.term) else {
            return;
        };
        if self.state.leads() {
            return;
        }
        let is_new = self.take_send_to(term);
        let tells_entries = self.tells_entries();
        let departures = {
            let view = &self.state.table.lock().view;
            match is_new {
                true => view.departures(tells_entries),
                false => view.recent_departures(RESEND_FOR, self.state.now()),
            }
        };
        for message in self.departure_messages(&departures) {
            self.send_to_leader(message).await;
        }
    }

    /// Counts a round as one in which the leader of this term is sent all departures; false if there were enough.
    fn take_send_to(&self, term: u64) -> bool {
        let mut sent = self.sent_departures.lock();
        if sent.0 != term {
            *sent = (term, 0);
        }
        let is_due = sent.1 < SENDS_TO_NEW_LEADER;
        sent.1 += u32::from(is_due);
        is_due
    }

    /// Sends all departures of known replicas to all hosts; called by the leader.
    pub async fn broadcast_departures(&self) {
        let known = self.state.table.lock().view.departures(true);
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

    /// Merges departures that another host knows.
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
