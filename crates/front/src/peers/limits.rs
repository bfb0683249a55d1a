//! Spreads rate limits that replicas advertise: each host reports those it received to the leader, which sends them
//! to all.

use super::Peers;
use crate::message::limit::MAX_LIMITS;
use crate::message::{LimitDigest, LimitReport, Message, ReplicaLimit};
use crate::rate_limit;
use std::sync::Arc;
use std::time::Duration;
use unit::Name;

/// Delay in which changes are batched, since limits of many overloaded replicas change all the time. The limits of
/// this host may be outdated by as much, but the leader, which is asked before each request, knows the current ones.
const BATCH_DELAY: Duration = Duration::from_millis(50);

impl Peers {
    /// Sends changed limits until the daemon ends.
    pub async fn send_limit_changes(self: Arc<Self>) {
        loop {
            self.state.limits_changed.notified().await;
            tokio::time::sleep(BATCH_DELAY).await;
            if !self.state.leads() {
                self.report_limits().await;
                continue;
            }
            let now = self.state.now();
            let changed = self.state.table.lock().take_changed_limits(now);
            for message in self.limit_messages(&changed) {
                self.broadcast(&message).await;
            }
            self.send_limits_to_new_hosts().await;
        }
    }

    /// Sends all limits to hosts that have just started.
    async fn send_limits_to_new_hosts(&self) {
        let new_hosts = std::mem::take(&mut *self.new_hosts.lock());
        if new_hosts.is_empty() {
            return;
        }
        let now = self.state.now();
        let limits = self.state.table.lock().limits(now);
        for message in self.limit_messages(&limits) {
            for host in &new_hosts {
                self.send(&message, *host).await;
            }
        }
    }

    /// Reports the limits that this host received recently to the leader.
    pub(super) async fn report_limits(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        if leader.peers == self.state.settings.peers {
            return;
        }
        let now = self.state.now();
        let limits = self.state.table.lock().own_limits(now);
        for limits in limits.chunks(MAX_LIMITS) {
            let report = LimitReport {
                host: self.state.settings.name.clone(),
                limits: limits.to_vec(),
            };
            self.send(&Message::LimitReport(report), leader.peers).await;
        }
    }

    /// Sends all limits that are in force or ended recently to all hosts; called by the leader.
    pub async fn broadcast_limits(&self) {
        let now = self.state.now();
        let limits = self.state.table.lock().limits(now);
        for message in self.limit_messages(&limits) {
            self.broadcast(&message).await;
        }
    }

    /// Limits as datagrams of the leader.
    fn limit_messages(&self, limits: &[ReplicaLimit]) -> Vec<Message> {
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

    /// Merges limits that another host received and, on the leader, has the changed ones sent to all.
    pub(super) fn merge_limits(&self, limits: &[ReplicaLimit], by: &Name) {
        let now = self.state.now();
        let changes = self.state.table.lock().merge_limits(limits, now);
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
