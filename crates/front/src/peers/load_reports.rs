//! Reports this host's load: to the leader each round, and between rounds as soon as a request is added or a prompt
//! is prefilled.

use super::Peers;
use crate::message::{Demand, LoadReport, Message, PackedLoad, replica_hash};
use crate::readers;
use crate::rounds;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Delay in which added requests are batched.
const LOAD_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Maximum delay of a report that load was reduced, after a report of added load.
const LOAD_REDUCED_WAIT: Duration = Duration::from_millis(50);

/// Number of hosts up to which all send unchanged loads again: some 1,700 datagrams a second for the leader.
const MAX_RESENDING_HOSTS: usize = 300;

/// Interval of load messages while no request is added.
const LOAD_IDLE_INTERVAL: Duration = Duration::from_millis(300);

impl Peers {
    /// Sends reports until the daemon ends.
    pub async fn send_reports(self: Arc<Self>) {
        let mut round = 0;
        loop {
            tokio::time::sleep(self.report_interval()).await;
            round += 1;
            self.send_report(round).await;
            self.send_conditions().await;
            self.report_limits().await;
            self.resend_departures().await;
            self.resend_crashes().await;
        }
    }

    /// Interval of rounds.
    pub fn report_interval(&self) -> Duration {
        rounds::interval(self.state.table.lock().host_count)
    }

    /// Sends loads as soon as a request is added: to all other hosts in a small fleet, otherwise to the leader.
    pub async fn send_loads(self: Arc<Self>) {
        loop {
            let load_added = self.state.load_added.notified();
            let _ = tokio::time::timeout(LOAD_IDLE_INTERVAL, load_added).await;
            tokio::time::sleep(LOAD_BATCH_DELAY).await;
            let others = self.direct_hosts.lock().clone();
            if others.is_empty() {
                self.send_loads_to_leader().await;
                let _ = tokio::time::timeout(LOAD_REDUCED_WAIT, self.state.load_reduced.notified())
                    .await;
                self.send_loads_to_leader().await;
                continue;
            }
            let loads = self.state.table.lock().own_loads();
            let message = Message::PeerLoads(self.new_report(0, Vec::new(), loads));
            for other in others {
                self.send(&message, other).await;
            }
        }
    }

    /// Sends loads to the leader, between two rounds, if they differ from those that it was last sent.
    async fn send_loads_to_leader(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let now = self.state.now();
        let loads = self.state.table.lock().report_own_loads(now);
        if !self.take_as_sent(leader.term, &loads) && !self.resends_loads() {
            return;
        }
        let sequence = self.load_sequence.fetch_add(1, Ordering::Relaxed);
        let report = self.new_report(sequence, Vec::new(), loads);
        if leader.peers == self.state.settings.peers {
            self.inbox.record_loads(report, now);
            return;
        }
        for part in report.split() {
            self.send(&Message::Loads(part), leader.peers).await;
        }
    }

    /// Whether unchanged loads are sent again: as a heartbeat of a host that holds a share of a quota, and where the
    /// fleet is small enough, to replace a lost datagram before the next round.
    fn resends_loads(&self) -> bool {
        let hosts = self.state.table.lock().host_count;
        hosts <= MAX_RESENDING_HOSTS || self.state.shares.is_any_held()
    }

    /// Records loads as sent to the leader of a term; returns whether they differ from those recorded before.
    fn take_as_sent(&self, term: u64, loads: &[PackedLoad]) -> bool {
        let mut sent = self.sent_loads.lock();
        let is_new = sent.0 != term || sent.1 != loads;
        if is_new {
            *sent = (term, loads.to_vec());
        }
        is_new
    }

    /// Sends this round's report to the leader.
    async fn send_report(&self, round: u32) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let now = self.state.now();
        let is_leader = leader.peers == self.state.settings.peers;
        let (demand, loads, adapter_uses, unreachable, backing_off, speeds) = {
            let mut table = self.state.table.lock();
            let (demand, loads) = (table.demand(now), table.report_own_loads(now));
            let backing_off = table
                .backing_off(now)
                .iter()
                .map(|id| replica_hash(id))
                .collect();
            (
                demand,
                loads,
                table.take_adapter_uses(),
                table.unreachable_replicas(now),
                backing_off,
                table.take_speed_samples(is_leader),
            )
        };
        self.take_as_sent(leader.term, &loads);
        let report = LoadReport {
            adapter_uses,
            unreachable,
            backing_off,
            speeds,
            ..self.new_report(round, demand, loads)
        };
        if is_leader {
            self.inbox.record_report(report, leader.peers, now);
            return;
        }
        for part in report.split() {
            self.send(&Message::Report(part), leader.peers).await;
        }
    }

    /// Report of this host without adapter uses and replica states. The table must not be locked.
    fn new_report(&self, round: u32, demand: Vec<Demand>, loads: Vec<PackedLoad>) -> LoadReport {
        let settings = &self.state.settings;
        let now = self.state.now();
        let store = self.state.table.lock().view.contact.ages(now);
        LoadReport {
            host: settings.name.clone(),
            hall: settings.hall.clone(),
            cores: settings.limits.cores as f32,
            round,
            demand,
            loads,
            adapter_uses: Vec::new(),
            unreachable: Vec::new(),
            backing_off: Vec::new(),
            store_failed: readers::store_failed_recently(&self.state),
            store_uptime: store,
            speeds: Vec::new(),
        }
    }
}
