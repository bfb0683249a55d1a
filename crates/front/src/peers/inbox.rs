//! What other hosts have told the leader, while this host leads.

use crate::contact::{self, Ages};
use crate::message::{AdapterRequest, AdapterUse, Load, LoadReport, ModelRequest, PackedLoad};
use crate::readers::Candidate;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time};

/// Age at which a host's sums no longer count.
const SUMS_AGE: Span = Span::from_ms(3_000);

/// Age of a host's last word at which it counts as silent: it tells some three times a second at least.
const SILENT_AFTER: Span = Span::from_ms(1_000);

/// Time for which a host that told that the store fails it is not to read it for others.
const CUT_KEPT: Span = Span::from_secs(5);

/// Hosts that must find a replica unreachable for all to leave it alone.
const LEAST_ABSENT: usize = 2;

/// What other hosts have told the leader.
#[derive(Default)]
pub struct Inbox {
    /// What each host told last, by its name.
    hosts: Mutex<HashMap<Name, Told>>,
    /// Adapters wanted since they were taken out last.
    wants: Mutex<Vec<AdapterRequest>>,
    /// Models that are on no replica and were asked for, since they were taken out last.
    missing: Mutex<Vec<ModelRequest>>,
    /// Uses of adapters since they were taken out last.
    uses: Mutex<Vec<AdapterUse>>,
    /// Notified when an adapter or a model is wanted.
    pub request_received: Notify,
}

/// What one host has told.
struct Told {
    sums: LoadReport,
    /// Number of the telling between two rounds that its loads are from, if they are.
    telling: Option<u32>,
    /// Where it takes datagrams.
    from: SocketAddr,
    /// When its sums or loads came last.
    at: Time,
    /// When it told last that the store fails it.
    cut: Option<Time>,
}

impl Inbox {
    /// Sums that still count.
    pub fn reports(&self, now: Time) -> Vec<LoadReport> {
        let mut hosts = self.hosts.lock();
        hosts.retain(|_, told| now.since(told.at) < SUMS_AGE);
        hosts.values().map(|told| told.sums.clone()).collect()
    }

    /// Where the hosts take datagrams.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        self.hosts.lock().values().map(|told| told.from).collect()
    }

    /// Hosts that have told anything and are not forgotten yet.
    pub fn host_count(&self) -> usize {
        self.hosts.lock().len()
    }

    /// Hosts among which are chosen those that read the store or pass on to others.
    pub fn candidates(&self, now: Time) -> Vec<Candidate> {
        let hosts = self.hosts.lock();
        let candidates = hosts.values().map(|told| Candidate {
            hall: told.sums.hall.clone(),
            addr: told.from,
            cores: told.sums.cores,
            store_failed: told.cut.is_some_and(|at| now.since(at) < CUT_KEPT),
            silent: now.since(told.at) > SILENT_AFTER,
        });
        candidates.collect()
    }

    /// Takes out the adapters that are wanted.
    pub fn take_adapter_requests(&self) -> Vec<AdapterRequest> {
        std::mem::take(&mut *self.wants.lock())
    }

    /// Takes out the models that are on no replica and were asked for.
    pub fn take_model_requests(&self) -> Vec<ModelRequest> {
        std::mem::take(&mut *self.missing.lock())
    }

    /// Takes out the adapters that were used.
    pub fn take_adapter_uses(&self) -> Vec<AdapterUse> {
        std::mem::take(&mut *self.uses.lock())
    }

    /// Takes in a part of what a host tells in one round; parts of the same round add up. Tells whether the host is new.
    pub fn record_report(&self, mut sums: LoadReport, from: SocketAddr, now: Time) -> bool {
        self.uses.lock().append(&mut sums.adapter_uses);
        let mut hosts = self.hosts.lock();
        let known = hosts.get_mut(&sums.host);
        let is_new = known.is_none();
        let cut = known.as_ref().and_then(|told| told.cut);
        let cut = if sums.store_failed { Some(now) } else { cut };
        match known {
            Some(told) if told.sums.round == sums.round => {
                told.sums.demand.extend(sums.demand);
                told.sums.loads.extend(sums.loads);
                told.at = now;
                told.cut = cut;
            }
            _ => {
                let host = sums.host.clone();
                let told = Told {
                    sums,
                    telling: None,
                    from,
                    at: now,
                    cut,
                };
                hosts.insert(host, told);
            }
        }
        is_new
    }

    /// Takes in a part of what a host has in flight between two rounds; parts of the same telling add
    /// up, and all else it told in its last round stays.
    pub fn record_loads(&self, sums: LoadReport, now: Time) {
        if let Some(told) = self.hosts.lock().get_mut(&sums.host) {
            match told.telling == Some(sums.round) {
                true => told.sums.loads.extend(sums.loads),
                false => told.sums.loads = sums.loads,
            }
            told.sums.store_uptime = sums.store_uptime;
            told.telling = Some(sums.round);
            told.at = now;
        }
    }

    /// Takes in that a host needs an adapter.
    pub(super) fn want(&self, want: AdapterRequest) {
        self.wants.lock().push(want);
        self.request_received.notify_one();
    }

    /// Takes in that a host has a request for a model that is on no replica.
    pub(super) fn miss(&self, missing: ModelRequest) {
        self.missing.lock().push(missing);
        self.request_received.notify_one();
    }

    /// Short names of replicas that several hosts could not reach, and that fewer hosts have requests at.
    ///
    /// The second part tells a replica that is down from hosts whose links are.
    pub fn absent(&self, now: Time) -> Vec<u32> {
        // By replica: hosts that could not reach it, and other hosts that have requests there.
        let mut votes: HashMap<u32, (usize, usize)> = HashMap::new();
        for sums in self.reports(now) {
            for replica in &sums.unreachable {
                votes.entry(*replica).or_default().0 += 1;
            }
            let reached = sums.loads.iter().map(PackedLoad::replica);
            for replica in reached.filter(|r| !sums.unreachable.contains(r)) {
                votes.entry(replica).or_default().1 += 1;
            }
        }
        let down = |(absent, reached): &(usize, usize)| *absent >= LEAST_ABSENT && absent > reached;
        let down = votes.into_iter().filter(|(_, votes)| down(votes));
        down.map(|(replica, _)| replica).collect()
    }

    /// Short names of replicas that want nothing from most hosts now.
    pub fn resting(&self, now: Time) -> HashSet<u32> {
        let sums = self.reports(now);
        let mut votes: HashMap<u32, usize> = HashMap::new();
        for replica in sums.iter().flat_map(|sums| &sums.backing_off) {
            *votes.entry(*replica).or_default() += 1;
        }
        let most = votes
            .into_iter()
            .filter(|(_, count)| *count * 2 > sums.len());
        most.map(|(replica, _)| replica).collect()
    }

    /// Time through which hosts heard from the store, where replicas write each `heartbeat`.
    pub fn store(&self, heartbeat: Span, now: Time) -> Option<Ages> {
        let silence = contact::max_gap_between_hosts(heartbeat);
        let hosts = self.hosts.lock();
        let run = |told: &Told| Some(told.sums.store_uptime?.uptime(told.at));
        let runs = hosts.values().filter_map(run);
        runs.reduce(|a, b| a.join(b, silence)).map(|r| r.ages(now))
    }

    /// Sums of all hosts by replica's short name.
    pub fn loads(&self, now: Time) -> HashMap<u32, Load> {
        let mut loads: HashMap<u32, Load> = HashMap::new();
        let mut hosts = self.hosts.lock();
        hosts.retain(|_, told| now.since(told.at) < SUMS_AGE);
        for row in hosts.values().flat_map(|told| &told.sums.loads) {
            loads.entry(row.replica()).or_default().add(&row.load());
        }
        loads
    }
}
