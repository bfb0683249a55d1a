//! Reports that the leader has received from the hosts.

use crate::contact::{self, Ages};
use crate::message::{AdapterRequest, AdapterUse, Load, LoadReport, ModelRequest, PackedLoad};
use crate::readers::Candidate;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time};

/// Age after which a host's report expires.
const REPORT_MAX_AGE: Span = Span::from_ms(3_000);

/// Time without a report after which a host counts as silent; hosts send at least three times a second.
const SILENT_AFTER: Span = Span::from_ms(1_000);

/// Time for which a host whose store calls failed is not chosen to read the store for others.
const STORE_FAILURE_MAX_AGE: Span = Span::from_secs(5);

/// Minimum number of hosts that must find a replica unreachable before all hosts avoid it.
const MIN_UNREACHABLE_VOTES: usize = 2;

#[derive(Default)]
pub struct Inbox {
    /// Last report of each host, by name.
    hosts: Mutex<HashMap<Name, HostState>>,
    /// Adapters requested since the last call of [`Inbox::take_adapter_requests`].
    adapter_requests: Mutex<Vec<AdapterRequest>>,
    /// Models requested since the last call of [`Inbox::take_model_requests`].
    model_requests: Mutex<Vec<ModelRequest>>,
    /// Adapters used since the last call of [`Inbox::take_adapter_uses`].
    adapter_uses: Mutex<Vec<AdapterUse>>,
    /// Notified when an adapter or a model is requested.
    pub request_received: Notify,
}

struct HostState {
    report: LoadReport,
    /// Sequence number of the load message that the loads are from; none if they are from the report.
    sequence: Option<u32>,
    /// Address of its datagram socket.
    from: SocketAddr,
    /// When its last report or load message arrived.
    reported_at: Time,
    /// When it last reported that the store failed it.
    store_failed_at: Option<Time>,
}

impl Inbox {
    /// Reports that have not expired.
    pub fn reports(&self, now: Time) -> Vec<LoadReport> {
        let mut hosts = self.hosts.lock();
        hosts.retain(|_, host| now.since(host.reported_at) < REPORT_MAX_AGE);
        hosts.values().map(|host| host.report.clone()).collect()
    }

    /// Addresses of the hosts' datagram sockets.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        self.hosts.lock().values().map(|host| host.from).collect()
    }

    /// Number of hosts with a report that has not been removed.
    pub fn host_count(&self) -> usize {
        self.hosts.lock().len()
    }

    /// Candidates for reading the store and for relaying.
    pub fn candidates(&self, now: Time) -> Vec<Candidate> {
        let hosts = self.hosts.lock();
        let candidates = hosts.values().map(|host| Candidate {
            hall: host.report.hall.clone(),
            addr: host.from,
            cores: host.report.cores,
            store_failed: host
                .store_failed_at
                .is_some_and(|at| now.since(at) < STORE_FAILURE_MAX_AGE),
            silent: now.since(host.reported_at) > SILENT_AFTER,
        });
        candidates.collect()
    }

    pub fn take_adapter_requests(&self) -> Vec<AdapterRequest> {
        std::mem::take(&mut *self.adapter_requests.lock())
    }

    pub fn take_model_requests(&self) -> Vec<ModelRequest> {
        std::mem::take(&mut *self.model_requests.lock())
    }

    pub fn take_adapter_uses(&self) -> Vec<AdapterUse> {
        std::mem::take(&mut *self.adapter_uses.lock())
    }

    /// Records one datagram of a report; datagrams of the same round are merged. Returns whether the host is new.
    pub fn record_report(&self, mut report: LoadReport, from: SocketAddr, now: Time) -> bool {
        self.adapter_uses.lock().append(&mut report.adapter_uses);
        let mut hosts = self.hosts.lock();
        let state = hosts.get_mut(&report.host);
        let is_new = state.is_none();
        let store_failed_at = state.as_ref().and_then(|state| state.store_failed_at);
        let store_failed_at = if report.store_failed {
            Some(now)
        } else {
            store_failed_at
        };
        match state {
            Some(state) if state.report.round == report.round => {
                state.report.demand.extend(report.demand);
                state.report.loads.extend(report.loads);
                state.reported_at = now;
                state.store_failed_at = store_failed_at;
            }
            _ => {
                let host = report.host.clone();
                let state = HostState {
                    report,
                    sequence: None,
                    from,
                    reported_at: now,
                    store_failed_at,
                };
                hosts.insert(host, state);
            }
        }
        is_new
    }

    /// Records one datagram of a host's loads between two rounds; datagrams with the same sequence number are merged.
    /// The rest of the host's last report is kept.
    pub fn record_loads(&self, report: LoadReport, now: Time) {
        if let Some(state) = self.hosts.lock().get_mut(&report.host) {
            match state.sequence == Some(report.round) {
                true => state.report.loads.extend(report.loads),
                false => state.report.loads = report.loads,
            }
            state.report.store_uptime = report.store_uptime;
            state.sequence = Some(report.round);
            state.reported_at = now;
        }
    }

    pub(super) fn push_adapter_request(&self, request: AdapterRequest) {
        self.adapter_requests.lock().push(request);
        self.request_received.notify_one();
    }

    pub(super) fn push_model_request(&self, request: ModelRequest) {
        self.model_requests.lock().push(request);
        self.request_received.notify_one();
    }

    /// Hashes of replicas that several hosts could not reach and that fewer hosts have requests on.
    ///
    /// The second condition distinguishes a replica that is down from a network fault of some hosts.
    pub fn unreachable(&self, now: Time) -> Vec<u32> {
        // By replica: hosts that could not reach it, and other hosts that have requests on it.
        let mut votes: HashMap<u32, (usize, usize)> = HashMap::new();
        for report in self.reports(now) {
            for replica in &report.unreachable {
                votes.entry(*replica).or_default().0 += 1;
            }
            let reached = report.loads.iter().map(PackedLoad::replica);
            for replica in reached.filter(|r| !report.unreachable.contains(r)) {
                votes.entry(replica).or_default().1 += 1;
            }
        }
        let down = |(unreachable, reached): &(usize, usize)| {
            *unreachable >= MIN_UNREACHABLE_VOTES && unreachable > reached
        };
        let down = votes.into_iter().filter(|(_, votes)| down(votes));
        down.map(|(replica, _)| replica).collect()
    }

    /// Hashes of replicas that asked most hosts to back off.
    pub fn backing_off(&self, now: Time) -> HashSet<u32> {
        let reports = self.reports(now);
        let mut votes: HashMap<u32, usize> = HashMap::new();
        for replica in reports.iter().flat_map(|report| &report.backing_off) {
            *votes.entry(*replica).or_default() += 1;
        }
        let majority = votes
            .into_iter()
            .filter(|(_, count)| *count * 2 > reports.len());
        majority.map(|(replica, _)| replica).collect()
    }

    /// Period for which the hosts have been in contact with the store, if replicas write to it each `heartbeat`.
    pub fn store_uptime(&self, heartbeat: Span, now: Time) -> Option<Ages> {
        let max_gap = contact::max_gap_between_hosts(heartbeat);
        let hosts = self.hosts.lock();
        let uptime = |host: &HostState| Some(host.report.store_uptime?.uptime(host.reported_at));
        let uptimes = hosts.values().filter_map(uptime);
        uptimes
            .reduce(|a, b| a.join(b, max_gap))
            .map(|r| r.ages(now))
    }

    /// Total load of all hosts by replica hash.
    pub fn loads(&self, now: Time) -> HashMap<u32, Load> {
        let mut loads: HashMap<u32, Load> = HashMap::new();
        let mut hosts = self.hosts.lock();
        hosts.retain(|_, host| now.since(host.reported_at) < REPORT_MAX_AGE);
        for load in hosts.values().flat_map(|host| &host.report.loads) {
            loads.entry(load.replica()).or_default().add(&load.load());
        }
        loads
    }
}
