//! Sums of this host, and when it tells them: round by round to the leader, and between rounds as
//! soon as a request is counted in or a prompt is read.

use super::{MAX_DIRECT_HOSTS, Peers};
use crate::message::{Demand, LoadReport, Message, PackedLoad, replica_hash};
use crate::readers;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause between two rounds of sums, where hosts tell each other directly.
const MESH_INTERVAL: Duration = Duration::from_millis(250);

/// Least pause between two rounds, where hosts are too many to tell each other.
const MIN_STAR_INTERVAL: Duration = Duration::from_millis(100);

/// Time that each host adds to the pause, so that the leader's work does not grow with them.
const INTERVAL_PER_HOST: Duration = Duration::from_micros(1_500);

/// Pause in which requests that are counted in are told together.
const LOAD_BATCH_DELAY: Duration = Duration::from_millis(5);

/// Time for which a host waits to tell that prompts were read, after it told of a request.
const LOAD_REDUCED_WAIT: Duration = Duration::from_millis(50);

/// Time after which sums are told directly although nothing was counted in.
const LOAD_IDLE_INTERVAL: Duration = Duration::from_millis(300);

impl Peers {
    /// Tells this host's sums round by round until the daemon ends.
    pub async fn send_reports(self: Arc<Self>) {
        let mut round = 0;
        loop {
            tokio::time::sleep(self.report_interval()).await;
            round += 1;
            self.send_report(round).await;
            self.report_limits().await;
            self.resend_departures().await;
            self.resend_crashes().await;
        }
    }

    /// Pause between two rounds.
    pub fn report_interval(&self) -> Duration {
        let hosts = self.state.table.lock().host_count;
        match hosts <= MAX_DIRECT_HOSTS {
            true => MESH_INTERVAL,
            false => MIN_STAR_INTERVAL.max(INTERVAL_PER_HOST * hosts as u32),
        }
    }

    /// Tells what is in flight as soon as a request is counted in: all other hosts directly, or the
    /// leader, where they are too many.
    pub async fn send_loads(self: Arc<Self>) {
        loop {
            let entered = self.state.load_added.notified();
            let _ = tokio::time::timeout(LOAD_IDLE_INTERVAL, entered).await;
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

    /// Tells the leader what is in flight, between two rounds of sums.
    async fn send_loads_to_leader(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let now = self.state.now();
        let loads = self.state.table.lock().report_own_loads(now);
        let telling = self.load_sequence.fetch_add(1, Ordering::Relaxed);
        let sums = self.new_report(telling, Vec::new(), loads);
        if leader.peers == self.state.settings.peers {
            self.inbox.record_loads(sums, now);
            return;
        }
        for part in sums.split() {
            self.send(&Message::Loads(part), leader.peers).await;
        }
    }

    /// Tells the leader what this host has seen and has in flight.
    async fn send_report(&self, round: u32) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let now = self.state.now();
        let (demand, loads, used, absent, resting) = {
            let mut table = self.state.table.lock();
            let (demand, loads) = (table.demand(now), table.report_own_loads(now));
            let resting = table
                .backing_off(now)
                .iter()
                .map(|id| replica_hash(id))
                .collect();
            (
                demand,
                loads,
                table.take_adapter_uses(),
                table.unreachable_replicas(now),
                resting,
            )
        };
        let sums = LoadReport {
            adapter_uses: used,
            unreachable: absent,
            backing_off: resting,
            ..self.new_report(round, demand, loads)
        };
        if leader.peers == self.state.settings.peers {
            self.inbox.record_report(sums, leader.peers, now);
            return;
        }
        for part in sums.split() {
            self.send(&Message::Report(part), leader.peers).await;
        }
    }

    /// This host's sums. The table must not be locked.
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
        }
    }
}
