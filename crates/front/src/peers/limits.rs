//! Telling which replicas name limits: each host tells the leader what it heard itself, the leader tells all.

use super::Peers;
use crate::message::limit::MAX_LIMITS;
use crate::message::{LimitDigest, LimitReport, Message, ReplicaLimit};
use crate::rate_limit;
use std::sync::Arc;
use std::time::Duration;
use unit::Name;

/// Pause in which changes are told together: a leader of many replicas in need hears of some each moment. What is out of
/// date here for as long is known to the leader, which is asked before each sending.
const TOGETHER: Duration = Duration::from_millis(50);

impl Peers {
    /// Tells each change at once, until the daemon ends.
    pub async fn send_limit_changes(self: Arc<Self>) {
        loop {
            self.state.limits_changed.notified().await;
            tokio::time::sleep(TOGETHER).await;
            if !self.state.leads() {
                self.tell_heard_limits().await;
                continue;
            }
            let now = self.state.now();
            let changed = self.state.table.lock().take_changed_limits(now);
            for message in self.messages(&changed) {
                self.broadcast(&message).await;
            }
            self.tell_newcomers().await;
        }
    }

    /// Tells hosts that have just begun all limits.
    async fn tell_newcomers(&self) {
        let newcomers = std::mem::take(&mut *self.newcomers.lock());
        if newcomers.is_empty() {
            return;
        }
        let now = self.state.now();
        let limits = self.state.table.lock().limits(now);
        for message in self.messages(&limits) {
            for newcomer in &newcomers {
                self.send(&message, *newcomer).await;
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
        let limits = self.state.table.lock().own_limits(now);
        for limits in limits.chunks(MAX_LIMITS) {
            let heard = LimitReport {
                host: self.state.settings.name.clone(),
                limits: limits.to_vec(),
            };
            self.send(&Message::LimitReport(heard), leader.peers).await;
        }
    }

    /// Tells all hosts, as the leader, which limits hold or are over since a while ago.
    pub async fn broadcast_limits(&self) {
        let now = self.state.now();
        let limits = self.state.table.lock().limits(now);
        for message in self.messages(&limits) {
            self.broadcast(&message).await;
        }
    }

    /// Limits as this host tells them while it leads, in datagrams.
    fn messages(&self, limits: &[ReplicaLimit]) -> Vec<Message> {
        let leader = self.state.leader.lock();
        let Some(term) = leader.as_ref().map(|l| l.term) else {
            return Vec::new();
        };
        let message = |limits: &[ReplicaLimit]| {
            Message::LimitDigest(LimitDigest {
                term,
                host: self.state.settings.name.clone(),
                limits: limits.to_vec(),
            })
        };
        limits.chunks(MAX_LIMITS).map(message).collect()
    }

    /// Takes in what another host heard, and has it told on if it is news.
    pub(super) fn join_limits(&self, told: &[ReplicaLimit], by: &Name) {
        let now = self.state.now();
        let changes = self.state.table.lock().merge_limits(told, now);
        if changes.is_empty() {
            return;
        }
        if self.state.leads() {
            self.state.limits_changed.notify_one();
        }
        for (replica, rate, change) in changes {
            rate_limit::log_change(&self.state, &replica, rate, change, by);
        }
        self.state.changed.notify_waiters();
    }
}
