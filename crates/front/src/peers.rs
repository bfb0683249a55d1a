//! Exchange of datagrams between daemons over UDP.
//!
//! Each host reports to the leader and the leader sends digests to all hosts, so that traffic grows linearly with the
//! number of hosts; in a large fleet one relay per fan-out group forwards the digests. Hosts of a small fleet also
//! exchange loads directly, which is faster. A lost datagram only delays an update, and reports expire.
//!
//! `inbox` holds the reports that the leader received and `totals` their sums, `quota` requests and grants units of fleet-wide quotas,
//! `limits` exchanges rate limits of replicas, `conditions` isolated hosts and brittle replicas, `departures` replicas that are leaving, `load_reports` sends the loads
//! of this host, `fanout` chooses relays, `quarantine` reports crashes and requests trials, `streams` exchanges the runs
//! that began streams, and `pending` matches responses to requests. The datagrams are defined in [`message`].

mod conditions;
mod departures;
pub mod fanout;
mod inbox;
mod limits;
mod load_reports;
mod pending;
mod quarantine;
pub mod quota;
mod streams;
mod totals;

pub use inbox::{Inbox, is_witness};

use crate::dispatch;
use crate::message::{
    self, AdapterPlacement, Digest, Message, ModelPlacement, PackedLoad, TrialResponse, status,
};
use crate::readers;
use crate::rounds::{self, MAX_DIRECT_HOSTS};
use crate::state::{PlacementRequest, PlacementRequests, State};
use bytes::Bytes;
use fanout::Group;
use parking_lot::Mutex;
use pending::PendingRequests;
use quota::QuotaState;
use route::streams::Run;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use tokio::net::UdpSocket;
use unit::{Span, Time};

/// Time within which a repeated request for the same adapter or model is dropped.
const REQUEST_DEDUP: Span = Span::from_ms(60);

/// Longest datagram that is received, in bytes.
const BUFFER_SIZE: usize = 8 * 1_024;

/// Datagram exchange with other daemons.
pub struct Peers {
    state: Arc<State>,
    socket: UdpSocket,
    /// Reports received while this host is the leader.
    pub inbox: Inbox,
    /// Other hosts, if the fleet is small enough for direct exchange.
    direct_hosts: Mutex<Vec<SocketAddr>>,
    /// Term of the leader that all known departures were last sent to, and the number of times.
    sent_departures: Mutex<(u64, u32)>,
    /// Sequence number of load messages between two rounds.
    load_sequence: AtomicU32,
    /// Loads last sent between two rounds, and the term of the leader that they were sent to.
    sent_loads: Mutex<(u64, Vec<PackedLoad>)>,
    /// Fan-out groups, while this host is the leader.
    fanout_groups: Mutex<Vec<Group>>,
    /// Fleet-wide quotas.
    quota: QuotaState,
    /// Hosts that have just started and have not received the limits yet.
    new_hosts: Mutex<Vec<SocketAddr>>,
    /// Trial requests that wait for a response.
    trials: PendingRequests<TrialResponse>,
    /// Questions for the runs of streams that wait for an answer.
    runs: PendingRequests<Option<Run>>,
    /// Parts of the planner's status that have arrived.
    assembly: Mutex<status::Assembly>,
    /// Hosts that this one forwards digests to, and when the leader assigned them.
    fanout_members: Mutex<(Vec<SocketAddr>, Time)>,
}

pub fn open(state: Arc<State>, socket: UdpSocket) -> Arc<Peers> {
    Arc::new(Peers {
        state,
        socket,
        inbox: Inbox::default(),
        direct_hosts: Mutex::default(),
        sent_departures: Mutex::default(),
        load_sequence: AtomicU32::new(0),
        sent_loads: Mutex::default(),
        fanout_groups: Mutex::default(),
        quota: QuotaState::default(),
        new_hosts: Mutex::default(),
        trials: PendingRequests::default(),
        runs: PendingRequests::default(),
        assembly: Mutex::default(),
        fanout_members: Mutex::default(),
    })
}

impl Peers {
    /// Receives datagrams until the daemon ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; BUFFER_SIZE];
        let mut resumes = self.state.clock.resume_count();
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram was sent to a closed port; the socket itself still works.
                tokio::task::yield_now().await;
                continue;
            };
            // Reading the clock detects a pause before the first datagram that was queued during it is handled.
            self.state.now();
            let last_resumes = std::mem::replace(&mut resumes, self.state.clock.resume_count());
            if last_resumes != resumes {
                self.discard_queued(&mut buffer);
                continue;
            }
            match message::decode(&buffer[..length]) {
                Ok(Message::Forward(bytes)) => self.forward(bytes, from).await,
                Ok(Message::QuotaRequest(request)) => self.answer_quota_request(request, from).await,
                Ok(Message::TrialRequest(number, causes, request_id)) => {
                    self.answer_trial(number, &causes, request_id, from).await
                }
                Ok(Message::Streams(message)) => self.handle_streams(message, from).await,
                Ok(Message::Dispatch(message)) => dispatch::handle(&self.state, &self, message, from).await,
                Ok(message) => self.handle(message, from),
                Err(why) => self.state.log.rate_limited(|| {
                    tracing::warn!(target: "peers", event = "malformed", from = %from, why = %why, "datagram cannot be decoded")
                }),
            }
        }
    }

    /// Drops the datagrams that were queued while the process was paused: the ages in them are too low by the length
    /// of the pause, and anything important is sent again.
    fn discard_queued(&self, buffer: &mut [u8]) {
        let mut dropped = 1;
        while self.socket.try_recv_from(buffer).is_ok() {
            dropped += 1;
        }
        tracing::info!(target: "peers", event = "returned", dropped, "the process or its host was suspended; queued datagrams are dropped");
    }

    fn handle(&self, message: Message, from: SocketAddr) {
        let now = self.state.now();
        match message {
            Message::Report(mut report) => {
                self.record_heartbeat(&report.host, now);
                let speeds = std::mem::take(&mut report.speeds);
                self.state.table.lock().merge_speed_samples(&speeds, now);
                if self.inbox.record_report(report, from, now) {
                    self.new_hosts.lock().push(from);
                    self.state.limits_changed.notify_one();
                }
            }
            Message::Loads(report) => {
                self.record_heartbeat(&report.host, now);
                self.inbox.record_loads(report, now);
            }
            Message::PeerLoads(report) => {
                let mut table = self.state.table.lock();
                table.set_host_loads(&report.host, &report.loads, now);
                if let Some(ages) = report.store_uptime {
                    table.view.contact.merge(ages, now);
                }
                drop(table);
                self.state.changed.notify_waiters();
            }
            Message::AdapterRequest(request) => self.inbox.push_adapter_request(request, from),
            Message::ModelRequest(request) => self.inbox.push_model_request(request, from),
            Message::Digest(digest) => self.apply_digest(digest, now),
            Message::AdapterPlacement(placement) => self.apply_placement(placement),
            Message::ModelPlacement(placement) => self.apply_model_placement(placement, now),
            Message::FanoutGroup(hosts) => *self.fanout_members.lock() = (hosts, now),
            Message::QuotaResponse(number, response) => self.complete_quota_request(number, response),
            Message::Refund(refund) => self.apply_refund(&refund),
            Message::LimitReport(report) => self.merge_limits(&report.limits, &report.host),
            Message::LimitDigest(limits) if self.is_from_earlier_term(limits.term) => {}
            Message::LimitDigest(limits) => self.merge_limits(&limits.limits, &limits.host),
            Message::Departures(departures) => self.merge_departures(&departures),
            Message::CrashReport(report) => self.merge_crash(report),
            Message::Succeeded(causes) => self.state.quarantine.note_success_anywhere(&causes, now),
            Message::TrialFailed(causes, broke) => self.state.quarantine.note_trial_ended(&causes, broke, now),
            Message::TrialResponse(number, response) => self.trials.complete(number, response),
            Message::QuarantineList(list) if self.is_from_earlier_term(list.term) => {}
            Message::QuarantineList(list) => {
                self.state.quarantine.apply_listing(list, now);
                self.state.changed.notify_waiters();
            }
            Message::HostConditions(conditions) => self.inbox.record_conditions(conditions, now),
            Message::Detours(term, _) | Message::Brittle(term, _) if self.is_from_earlier_term(term) => {}
            Message::Detours(_, listed) => self.assign_detours(listed, now),
            Message::Brittle(_, rows) => self.state.table.lock().merge_brittle(&rows, now),
            Message::Forward(_) | Message::QuotaRequest(_) | Message::TrialRequest(..) | Message::Dispatch(_) | Message::Streams(_) => self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "malformed", from = %from, "forwarded datagram holds a message that is not for all hosts")
            }),
        }
    }

    /// Handles a datagram of the leader and forwards it to this relay's fan-out group.
    async fn forward(&self, bytes: Bytes, from: SocketAddr) {
        let Ok(message) = message::decode(&bytes) else {
            self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "malformed", from = %from, "forwarded datagram cannot be decoded")
            });
            return;
        };
        let kind = message.kind();
        self.handle(message, from);
        let (hosts, assigned_at) = self.fanout_members.lock().clone();
        let host_count = self.state.table.lock().host_count;
        if self.state.now().since(assigned_at) < rounds::max_age(host_count) {
            for host in hosts {
                self.send_bytes(&bytes, kind, host).await;
            }
        }
    }

    /// Whether the leader of a later term is known.
    fn is_from_earlier_term(&self, term: u64) -> bool {
        let leader = self.state.leader.lock();
        leader.as_ref().is_some_and(|known| term < known.term)
    }

    /// Applies the leader's loads and planner status, unless a later leader is known.
    fn apply_digest(&self, digest: Digest, now: Time) {
        if self.is_from_earlier_term(digest.term) {
            return;
        }
        let is_own = self.state.leads();
        let mut table = self.state.table.lock();
        if !is_own {
            table.apply_speeds(&digest.speeds, now);
        }
        table.host_count = (digest.hosts as usize).max(1);
        table.knows_host_count = true;
        table.set_fleet_loads(&digest.loads, now);
        for (replica, adapters) in digest.adapters {
            table.set_adapters(&replica, adapters, now);
        }
        let part = digest.planner;
        let status = part.and_then(|part| self.assembly.lock().add(digest.term, part));
        if let Some(status) = status {
            let own = self.state.settings.peers;
            let keepers = match status.direct_hosts.is_empty() {
                true => status.stream_hosts,
                false => status.direct_hosts.clone(),
            };
            self.state.streams.assign(keepers, own, now);
            let others = status.direct_hosts.into_iter().filter(|p| *p != own);
            *self.direct_hosts.lock() = others.collect();
            self.state.readers.assign(status.readers, own);
            self.state.dispatch.assign(status.dispatchers);
            if let Some(ages) = status.store_uptime {
                table.view.contact.merge(ages, now);
            }
            table.set_unreachable(status.unreachable, now);
            table.set_model_etas(&status.loading, now);
            table.set_loaded(status.loaded, now);
            table.set_unloading(status.unloading, now);
        }
    }

    fn apply_placement(&self, placement: AdapterPlacement) {
        if let Some(replica) = &placement.replica {
            let mut table = self.state.table.lock();
            table.add_adapter(replica, &placement.model, &placement.adapter);
        }
        self.state.changed.notify_waiters();
    }

    fn apply_model_placement(&self, placement: ModelPlacement, now: Time) {
        let mut table = self.state.table.lock();
        match placement.replica {
            Some(replica) => table.add_loaded(replica, placement.model, now),
            None => table.add_model_eta(placement.model, placement.eta_ms, now),
        }
        drop(table);
        self.state.changed.notify_waiters();
    }

    /// Addresses of all hosts, or none if the fleet is too large for direct exchange.
    pub fn direct_hosts(&self) -> Vec<SocketAddr> {
        let hosts = self.inbox.hosts();
        match hosts.len() <= MAX_DIRECT_HOSTS {
            true => hosts,
            false => Vec::new(),
        }
    }

    /// Whether the fleet is small enough for direct exchange.
    pub fn is_direct(&self) -> bool {
        self.inbox.host_count() <= MAX_DIRECT_HOSTS
    }

    /// Sends one datagram to a host; this host handles it directly.
    pub async fn answer(&self, message: Message, to: SocketAddr) {
        match to == self.state.settings.peers {
            true => self.handle(message, to),
            false => self.send(&message, to).await,
        }
    }

    /// Sends one datagram; send errors are logged and treated as loss.
    pub async fn send(&self, message: &Message, to: SocketAddr) {
        let bytes = message::encode(message);
        self.send_bytes(&bytes, message.kind(), to).await;
    }

    async fn send_bytes(&self, bytes: &[u8], kind: &'static str, to: SocketAddr) {
        self.state.log.metrics.record_datagram(kind, bytes.len());
        if let Err(why) = self.socket.send_to(bytes, to).await {
            self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "not_sent", to = %to, why = %why, "datagram could not be sent")
            });
        }
    }

    /// Sends a message to all hosts; this one handles it directly.
    pub async fn broadcast(&self, message: &Message) {
        let own = self.state.settings.peers;
        self.handle(message.clone(), own);
        let kind = message.kind();
        let bytes = message::encode(message);
        if self.is_direct() {
            let others = self.inbox.hosts().into_iter().filter(|h| *h != own);
            return self.send_each(&bytes, kind, others).await;
        }
        let groups = self.fanout_groups.lock().clone();
        let forward = message::encode(&Message::Forward(bytes.clone().into()));
        for group in groups {
            if group.relay == own {
                self.send_each(&bytes, kind, group.members.into_iter())
                    .await;
            } else if group.members.is_empty() {
                self.send_bytes(&bytes, kind, group.relay).await;
            } else {
                self.send_bytes(&forward, "pass", group.relay).await;
            }
        }
    }

    async fn send_each(
        &self,
        bytes: &[u8],
        kind: &'static str,
        hosts: impl Iterator<Item = SocketAddr>,
    ) {
        for host in hosts {
            self.send_bytes(bytes, kind, host).await;
        }
    }

    /// Recomputes the fan-out groups of a large fleet and informs their relays.
    pub async fn assign_fanout_groups(&self, hosts: Vec<readers::Candidate>) {
        if self.is_direct() {
            return;
        }
        let groups = fanout::plan(hosts);
        *self.fanout_groups.lock() = groups.clone();
        let own = self.state.settings.peers;
        for group in groups {
            if group.relay != own && !group.members.is_empty() {
                let members = group.members.into_iter().filter(|h| *h != own).collect();
                self.send(&Message::FanoutGroup(members), group.relay).await;
            }
        }
    }

    /// Forwards requests for adapters and models to the leader.
    pub async fn forward_placement_requests(self: Arc<Self>, mut requests: PlacementRequests) {
        let mut sent: HashMap<PlacementRequest, Time> = HashMap::new();
        while let Some(request) = requests.recv().await {
            let now = self.state.now();
            sent.retain(|_, at| now.since(*at) < REQUEST_DEDUP);
            if sent.contains_key(&request) {
                continue;
            }
            let Some(leader) = self.state.leader.lock().clone() else {
                continue;
            };
            sent.insert(request.clone(), now);
            let message = match request {
                PlacementRequest::Adapter(request) => Message::AdapterRequest(request),
                PlacementRequest::Model(request) => Message::ModelRequest(request),
            };
            self.answer(message, leader.peers).await;
        }
    }
}
