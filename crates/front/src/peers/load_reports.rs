//! Sums of this host, and when it tells them: round by round to the leader, and between rounds as
//! soon as a request is counted in or a prompt is read.

use super::{MOST_DIRECT, Peers};
use crate::message::{Demand, LoadReport, Message, PackedLoad, replica_hash};
use crate::readers;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Pause between two rounds of sums, where hosts tell each other directly.
const ROUND: Duration = Duration::from_millis(250);

/// Least pause between two rounds, where hosts are too many to tell each other.
const STAR_ROUND: Duration = Duration::from_millis(100);

/// Time that each host adds to the pause, so that the leader's work does not grow with them.
const ROUND_PER_HOST: Duration = Duration::from_micros(1_500);

/// Pause in which requests that are counted in are told together.
const DIRECT_PAUSE: Duration = Duration::from_millis(5);

/// Time for which a host waits to tell that prompts were read, after it told of a request.
const EASED_PAUSE: Duration = Duration::from_millis(50);

/// Time after which sums are told directly although nothing was counted in.
const DIRECT_IDLE: Duration = Duration::from_millis(300);

impl Peers {
    /// Tells this host's sums round by round until the daemon ends.
    pub async fn send_reports(self: Arc<Self>) {
        let mut round = 0;
        loop {
            tokio::time::sleep(self.report_interval()).await;
            round += 1;
            self.tell_round(round).await;
            self.tell_heard_limits().await;
            self.repeat_leaving().await;
            self.repeat_falls().await;
        }
    }

    /// Pause between two rounds.
    pub fn report_interval(&self) -> Duration {
        let hosts = self.state.table.lock().host_count;
        match hosts <= MOST_DIRECT {
            true => ROUND,
            false => STAR_ROUND.max(ROUND_PER_HOST * hosts as u32),
        }
    }

    /// Tells what is in flight as soon as a request is counted in: all other hosts directly, or the
    /// leader, where they are too many.
    pub async fn send_loads(self: Arc<Self>) {
        loop {
            let entered = self.state.load_added.notified();
            let _ = tokio::time::timeout(DIRECT_IDLE, entered).await;
            tokio::time::sleep(DIRECT_PAUSE).await;
            let others = self.others.lock().clone();
            if others.is_empty() {
                self.tell_leader().await;
                let _ = tokio::time::timeout(EASED_PAUSE, self.state.load_reduced.notified()).await;
                self.tell_leader().await;
                continue;
            }
            let loads = self.state.table.lock().own_loads();
            let message = Message::PeerLoads(self.sums(0, Vec::new(), loads));
            for other in others {
                self.send(&message, other).await;
            }
        }
    }

    /// Tells the leader what is in flight, between two rounds of sums.
    async fn tell_leader(&self) {
        let Some(leader) = self.state.leader.lock().clone() else {
            return;
        };
        let now = self.state.now();
        let loads = self.state.table.lock().report_own_loads(now);
        let telling = self.tellings.fetch_add(1, Ordering::Relaxed);
        let sums = self.sums(telling, Vec::new(), loads);
        if leader.peers == self.state.settings.peers {
            self.inbox.record_loads(sums, now);
            return;
        }
        for part in sums.split() {
            self.send(&Message::Loads(part), leader.peers).await;
        }
    }

    /// Tells the leader what this host has seen and has in flight.
    async fn tell_round(&self, round: u32) {
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
            ..self.sums(round, demand, loads)
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
    fn sums(&self, round: u32, demand: Vec<Demand>, loads: Vec<PackedLoad>) -> LoadReport {
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
