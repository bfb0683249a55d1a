//! Telling which replicas name limits: each host tells the leader what it heard itself, the leader tells all.

use super::Peers;
use crate::limits;
use crate::message::limit::ROW_SIZE;
use crate::message::{Heard, Limited, Limits, MOST_DATAGRAM, Message};
use std::sync::Arc;
use std::time::Duration;
use unit::Name;

/// Pause in which changes are told together.
const TOGETHER: Duration = Duration::from_millis(5);

/// Limits that fit one datagram.
const ROWS: usize = MOST_DATAGRAM / ROW_SIZE - 2;

impl Peers {
    /// Tells each change at once, until the daemon ends.
    pub async fn tell_limit_changes(self: Arc<Self>) {
        loop {
            self.state.limited.notified().await;
            tokio::time::sleep(TOGETHER).await;
            match self.state.leads() {
                true => self.tell_limits().await,
                false => self.tell_heard_limits().await,
            }
        }
    }

    /// Tells the leader which limits this host has heard itself lately.
    pub(super) async fn tell_heard_limits(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        if leader.peers == self.state.settings.peers {
            return;
        }
        let now = self.state.now();
        let limits = self.state.table.lock().heard_limits(now);
        for limits in limits.chunks(ROWS) {
            let heard = Heard {
                host: self.state.settings.name.clone(),
                limits: limits.to_vec(),
            };
            self.send(&Message::Heard(heard), leader.peers).await;
        }
    }

    /// Tells all hosts, as the leader, which limits hold or are over since a while ago.
    pub async fn tell_limits(&self) {
        let Some(term) = self.state.leader.lock().as_ref().map(|l| l.term) else {
            return;
        };
        let now = self.state.now();
        let limits = self.state.table.lock().limits(now);
        for limits in limits.chunks(ROWS) {
            let limits = Limits {
                term,
                host: self.state.settings.name.clone(),
                limits: limits.to_vec(),
            };
            self.send_all(&Message::Limits(limits)).await;
        }
    }

    /// Takes in what another host heard, and has it told on if it is news.
    pub(super) fn join_limits(&self, told: &[Limited], by: &Name) {
        let now = self.state.now();
        let changes = self.state.table.lock().join_limits(told, now);
        if changes.is_empty() {
            return;
        }
        if self.state.leads() {
            self.state.limited.notify_one();
        }
        for (replica, rate, change) in changes {
            limits::tell(&self.state, &replica, rate, change, by);
        }
        self.state.changed.notify_waiters();
    }
}
