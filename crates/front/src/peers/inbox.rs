//! Reports that the leader has received from the hosts.

use super::totals::Totals;
use crate::contact::{self, Ages};
use crate::detour;
use crate::message::conditions::MAX_DETOURS;
use crate::message::{
    AdapterRequest, AdapterUse, Brittle, Demand, Detour, HostConditions, Load, LoadReport,
    ModelRequest, PackedLoad,
};
use crate::readers::Candidate;
use crate::rounds;
use parking_lot::Mutex;
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time, rendezvous};

/// Least time without a report after which a host counts as silent.
const MIN_SILENT_AFTER: Span = Span::from_ms(1_000);

/// Rounds without a report after which a host counts as silent.
const SILENT_ROUNDS: f64 = 2.5;

/// Time for which a host whose store calls failed is not chosen to read the store for others.
const STORE_FAILURE_MAX_AGE: Span = Span::from_secs(5);

/// Minimum number of hosts that must find a replica unreachable before all hosts avoid it.
const MIN_UNREACHABLE_VOTES: usize = 2;

/// Least number of unreachable replicas from which their share of all tells anything.
const MIN_UNREACHABLE: usize = 3;

/// Hosts of a large fleet that keep the runs of streams.
const MAX_STREAM_HOSTS: usize = 32;

/// Whether a host that cannot reach `unreachable` of `known` replicas is a witness against them, rather than at fault
/// itself.
pub fn is_witness(unreachable: usize, known: usize) -> bool {
    unreachable < MIN_UNREACHABLE || unreachable * 2 < known
}

#[derive(Default)]
pub struct Inbox {
    hosts: Mutex<Hosts>,
    /// Adapters requested since the last call of [`Inbox::take_adapter_requests`], each with the host to answer.
    adapter_requests: Mutex<Vec<(AdapterRequest, SocketAddr)>>,
    /// Models requested since the last call of [`Inbox::take_model_requests`], each with the host to answer.
    model_requests: Mutex<Vec<(ModelRequest, SocketAddr)>>,
    /// Adapters used since the last call of [`Inbox::take_adapter_uses`].
    adapter_uses: Mutex<Vec<AdapterUse>>,
    /// Notified when an adapter or a model is requested.
    pub request_received: Notify,
}

/// Reports of the hosts.
#[derive(Default)]
struct Hosts {
    /// Last report of each host, by name.
    by_name: HashMap<Name, HostState>,
    /// Sum of the loads in the reports.
    totals: Totals,
    /// Tolerances of brittle replicas, and when each was last reported.
    brittle: HashMap<u32, (u16, Time)>,
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
    /// Exceptional conditions that it reported, and when.
    conditions: Option<(HostConditions, Time)>,
}

impl HostState {
    /// Exceptional conditions, if it has reported any lately.
    fn conditions(&self, max_age: Span, now: Time) -> Option<&HostConditions> {
        let (conditions, at) = self.conditions.as_ref()?;
        (now.since(*at) <= max_age).then_some(conditions)
    }

    fn is_isolated(&self, max_age: Span, now: Time) -> bool {
        self.conditions(max_age, now).is_some_and(|c| c.is_isolated)
    }
}

impl Hosts {
    /// Time without a report after which a host counts as silent.
    fn silent_after(&self) -> Span {
        rounds::at_least_rounds(MIN_SILENT_AFTER, SILENT_ROUNDS, self.by_name.len())
    }

    /// Drops reports that have expired, with their loads.
    fn expire(&mut self, now: Time) {
        let max_age = rounds::max_age(self.by_name.len());
        let totals = &mut self.totals;
        self.by_name.retain(|_, host| {
            let is_current = now.since(host.reported_at) < max_age;
            if !is_current {
                totals.subtract(&host.report.loads);
            }
            is_current
        });
    }

    /// Reports that have not expired.
    fn current(&mut self, now: Time) -> impl Iterator<Item = &LoadReport> {
        self.expire(now);
        self.by_name.values().map(|host| &host.report)
    }
}

impl Inbox {
    /// Calls `visit` with the demand of each host.
    pub fn for_each_demand(&self, now: Time, visit: impl FnMut(&Demand)) {
        let mut hosts = self.hosts.lock();
        hosts.current(now).flat_map(|r| &r.demand).for_each(visit);
    }

    /// Addresses of the hosts' datagram sockets.
    pub fn hosts(&self) -> Vec<SocketAddr> {
        let hosts = self.hosts.lock();
        hosts.by_name.values().map(|host| host.from).collect()
    }

    /// Number of hosts with a report that has not been removed.
    pub fn host_count(&self) -> usize {
        self.hosts.lock().by_name.len()
    }

    /// Candidates for reading the store and for relaying.
    pub fn candidates(&self, now: Time) -> Vec<Candidate> {
        let hosts = self.hosts.lock();
        let silent_after = hosts.silent_after();
        let candidates = hosts.by_name.values().map(|host| Candidate {
            hall: host.report.hall.clone(),
            addr: host.from,
            cores: host.report.cores,
            store_failed: host
                .store_failed_at
                .is_some_and(|at| now.since(at) < STORE_FAILURE_MAX_AGE),
            silent: now.since(host.reported_at) > silent_after,
            is_isolated: host.is_isolated(silent_after, now),
        });
        candidates.collect()
    }

    /// Adapters requested since the last call, each with the host to answer.
    pub fn take_adapter_requests(&self) -> Vec<(AdapterRequest, SocketAddr)> {
        std::mem::take(&mut *self.adapter_requests.lock())
    }

    /// Models requested since the last call, each with the host to answer.
    pub fn take_model_requests(&self) -> Vec<(ModelRequest, SocketAddr)> {
        std::mem::take(&mut *self.model_requests.lock())
    }

    pub fn take_adapter_uses(&self) -> Vec<AdapterUse> {
        std::mem::take(&mut *self.adapter_uses.lock())
    }

    /// Records one datagram of a report; datagrams of the same round are merged. Returns whether the host is new.
    pub fn record_report(&self, mut report: LoadReport, from: SocketAddr, now: Time) -> bool {
        self.adapter_uses.lock().append(&mut report.adapter_uses);
        let hosts = &mut *self.hosts.lock();
        hosts.totals.add(&report.loads);
        let Some(state) = hosts.by_name.get_mut(&report.host) else {
            let state = HostState {
                sequence: None,
                from,
                reported_at: now,
                store_failed_at: report.store_failed.then_some(now),
                conditions: None,
                report,
            };
            hosts.by_name.insert(state.report.host.clone(), state);
            return true;
        };
        state.from = from;
        state.reported_at = now;
        if report.store_failed {
            state.store_failed_at = Some(now);
        }
        if state.report.round == report.round {
            state.report.demand.extend(report.demand);
            state.report.loads.extend(report.loads);
        } else {
            hosts.totals.subtract(&state.report.loads);
            state.sequence = None;
            state.report = report;
        }
        false
    }

    /// Records one datagram of a host's loads between two rounds; datagrams with the same sequence number are merged.
    /// The rest of the host's last report is kept.
    pub fn record_loads(&self, report: LoadReport, now: Time) {
        let hosts = &mut *self.hosts.lock();
        let Some(state) = hosts.by_name.get_mut(&report.host) else {
            return;
        };
        hosts.totals.add(&report.loads);
        if state.sequence == Some(report.round) {
            state.report.loads.extend(report.loads);
        } else {
            hosts.totals.subtract(&state.report.loads);
            state.report.loads = report.loads;
        }
        state.report.store_uptime = report.store_uptime;
        state.sequence = Some(report.round);
        state.reported_at = now;
    }

    pub(super) fn push_adapter_request(&self, request: AdapterRequest, from: SocketAddr) {
        self.adapter_requests.lock().push((request, from));
        self.request_received.notify_one();
    }

    pub(super) fn push_model_request(&self, request: ModelRequest, from: SocketAddr) {
        self.model_requests.lock().push((request, from));
        self.request_received.notify_one();
    }

    /// Records exceptional conditions of a host.
    pub fn record_conditions(&self, conditions: HostConditions, now: Time) {
        let hosts = &mut *self.hosts.lock();
        let brittle = conditions.brittle.iter();
        let brittle = brittle.map(|(replica, tolerance)| (*replica, (*tolerance, now)));
        hosts.brittle.extend(brittle);
        if let Some(host) = hosts.by_name.get_mut(&conditions.host) {
            host.conditions = Some((conditions, now));
        }
    }

    /// Brittle replicas that any host has reported lately.
    pub fn brittle(&self, now: Time) -> Vec<Brittle> {
        let hosts = &mut *self.hosts.lock();
        let max_age = hosts.silent_after();
        hosts.brittle.retain(|_, (_, at)| now.since(*at) <= max_age);
        let rows = hosts.brittle.iter();
        rows.map(|(replica, (tolerance, _))| (*replica, *tolerance))
            .collect()
    }

    /// Whether any other host than `own` reaches replicas.
    pub fn is_any_connected(&self, own: &str, now: Time) -> bool {
        let mut hosts = self.hosts.lock();
        hosts.expire(now);
        let max_age = hosts.silent_after();
        let mut others = hosts.by_name.iter().filter(|(name, _)| ***name != *own);
        others.any(|(_, host)| !host.is_isolated(max_age, now))
    }

    /// Whether any host may need others for its requests.
    pub fn wants_detours(&self, now: Time) -> bool {
        let hosts = self.hosts.lock();
        let max_age = hosts.silent_after();
        let wants = |host: &HostState| {
            host.conditions(max_age, now)
                .is_some_and(|c| c.wants_detours)
        };
        hosts.by_name.values().any(wants)
    }

    /// Hosts that take requests of those without paths.
    pub fn detours(&self, now: Time) -> Vec<Detour> {
        let mut hosts = self.hosts.lock();
        hosts.expire(now);
        let max_age = hosts.silent_after();
        let is_sound = |host: &&HostState| {
            !host.is_isolated(max_age, now) && now.since(host.reported_at) <= max_age
        };
        let sound = hosts.by_name.values().filter(is_sound);
        let mut sound: Vec<&HostState> = sound.collect();
        // The same hosts in each round, whatever their room.
        sound.sort_by_key(|host| rendezvous::hash(host.report.host.as_bytes()));
        sound.truncate(MAX_DETOURS);
        let detour = |host: &HostState| {
            let conditions = host.conditions(max_age, now);
            let room = conditions.map_or_else(|| detour::max_room(host.report.cores), |c| c.room);
            (host.from, host.report.hall.clone(), room)
        };
        sound.into_iter().map(detour).collect()
    }

    /// Hosts that keep the runs of streams: the same ones in each round, as long as they report.
    pub fn stream_hosts(&self, now: Time) -> Vec<SocketAddr> {
        let hosts = self.hosts.lock();
        let max_age = hosts.silent_after();
        let current = hosts.by_name.iter();
        let current = current.filter(|(_, host)| now.since(host.reported_at) <= max_age);
        let mut current: Vec<_> = current.collect();
        current.sort_by_key(|(name, _)| rendezvous::hash(name.as_bytes()));
        current.truncate(MAX_STREAM_HOSTS);
        current.into_iter().map(|(_, host)| host.from).collect()
    }

    /// Hashes of replicas that several hosts could not reach and that fewer hosts have requests on. `known` is the number
    /// of replicas.
    ///
    /// The second condition distinguishes a replica that is down from a network fault of some hosts. A host that cannot
    /// reach half of the replicas is itself at fault, and no witness.
    pub fn unreachable(&self, known: usize, now: Time) -> Vec<u32> {
        let mut hosts = self.hosts.lock();
        let mut votes: HashMap<u32, usize> = HashMap::new();
        hosts.expire(now);
        let max_age = hosts.silent_after();
        let is_witness = |host: &&HostState| {
            !host.is_isolated(max_age, now) && is_witness(host.report.unreachable.len(), known)
        };
        let witnesses = hosts.by_name.values().filter(is_witness);
        for replica in witnesses.flat_map(|host| &host.report.unreachable) {
            *votes.entry(*replica).or_default() += 1;
        }
        votes.retain(|_, unreachable| *unreachable >= MIN_UNREACHABLE_VOTES);
        if votes.is_empty() {
            return Vec::new();
        }
        let mut reached: HashMap<u32, usize> = HashMap::new();
        for report in hosts.current(now) {
            let voted = report.loads.iter().map(PackedLoad::replica);
            for replica in
                voted.filter(|r| votes.contains_key(r) && !report.unreachable.contains(r))
            {
                *reached.entry(replica).or_default() += 1;
            }
        }
        votes.retain(|replica, unreachable| {
            *unreachable > reached.get(replica).copied().unwrap_or_default()
        });
        votes.into_keys().collect()
    }

    /// Hashes of replicas that asked most hosts to back off.
    pub fn backing_off(&self, now: Time) -> HashSet<u32> {
        let mut hosts = self.hosts.lock();
        let mut votes: HashMap<u32, usize> = HashMap::new();
        for replica in hosts.current(now).flat_map(|report| &report.backing_off) {
            *votes.entry(*replica).or_default() += 1;
        }
        let reports = hosts.by_name.len();
        votes.retain(|_, count| *count * 2 > reports);
        votes.into_keys().collect()
    }

    /// Period for which the hosts have been in contact with the store, if replicas write to it each `heartbeat`.
    pub fn store_uptime(&self, heartbeat: Span, now: Time) -> Option<Ages> {
        let max_gap = contact::max_gap_between_hosts(heartbeat);
        let hosts = self.hosts.lock();
        let uptime = |host: &HostState| Some(host.report.store_uptime?.uptime(host.reported_at));
        let uptimes = hosts.by_name.values().filter_map(uptime);
        uptimes
            .reduce(|a, b| a.join(b, max_gap))
            .map(|r| r.ages(now))
    }

    /// Total load of all hosts by replica hash.
    pub fn loads(&self, now: Time) -> HashMap<u32, Load> {
        let mut hosts = self.hosts.lock();
        hosts.expire(now);
        hosts.totals.all().clone()
    }

    /// Total load of the replicas for which it may have changed since the last call.
    pub fn take_changed_loads(&self, now: Time) -> Vec<PackedLoad> {
        let mut hosts = self.hosts.lock();
        hosts.expire(now);
        hosts.totals.take_changed()
    }
}
