//! What daemons tell each other over UDP: each host tells the leader, the leader tells all.
//!
//! A star, so that datagrams grow with the hosts and not with their square; what a leader tells all is
//! passed on by a host of each part of the fleet. Few hosts tell each other directly as well, which is
//! sooner. A lost datagram only makes a sum older; sums past their
//! age are not used.
//!
//! Its parts: `inbox` is what hosts told the leader, `quota` what is asked for and given of limits over all hosts, `limits` which of these replicas name, `departures` which replicas leave, `load_reports` when this host tells what it has in
//! flight, `fanout` which hosts pass on what the leader tells all, `quarantine` which requests end replicas, `pending`
//! what waits for an answer. The datagrams themselves are in [`message`].

mod departures;
pub mod fanout;
mod inbox;
mod limits;
mod load_reports;
mod pending;
mod quarantine;
pub mod quota;

pub use inbox::Inbox;

use crate::message::{self, AdapterPlacement, Digest, Message, TrialResponse};
use crate::readers::Candidate;
use crate::state::{PlacementRequest, PlacementRequests, State};
use bytes::Bytes;
use fanout::Group;
use parking_lot::Mutex;
use pending::Questions;
use quota::Quotas;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use tokio::net::UdpSocket;
use unit::{Span, Time};

/// Time in which one adapter or model is asked for only once.
const ASKED_ONCE: Span = Span::from_ms(60);

/// Age at which a host no longer passes on by what the leader named: it names several times in that.
const PART_AGE: Span = Span::from_ms(3_000);

/// Longest datagram that is received, in bytes.
const BUFFER: usize = 8 * 1_024;

/// Hosts up to which each tells all others directly; beyond, the leader's sums must do.
const MOST_DIRECT: usize = 16;

/// Exchange of sums with other daemons.
pub struct Peers {
    state: Arc<State>,
    socket: UdpSocket,
    /// What others told this host while it leads.
    pub inbox: Inbox,
    /// Other hosts, while they are few enough to be told directly.
    others: Mutex<Vec<SocketAddr>>,
    /// Tellings between two rounds so far.
    tellings: AtomicU32,
    /// Parts of a large fleet, while this host leads.
    parts: Mutex<Vec<Group>>,
    /// Limits over all hosts.
    quotas: Quotas,
    /// Hosts that have just begun, and are to be told of limits.
    newcomers: Mutex<Vec<SocketAddr>>,
    /// Questions for trials that wait for an answer.
    trials: Questions<TrialResponse>,
    /// Hosts that this one passes on to, and when the leader named them.
    passes_to: Mutex<(Vec<SocketAddr>, Time)>,
}

/// Makes the exchange over a bound socket.
pub fn open(state: Arc<State>, socket: UdpSocket) -> Arc<Peers> {
    Arc::new(Peers {
        state,
        socket,
        inbox: Inbox::default(),
        others: Mutex::default(),
        tellings: AtomicU32::new(0),
        parts: Mutex::default(),
        quotas: Quotas::default(),
        newcomers: Mutex::default(),
        trials: Questions::default(),
        passes_to: Mutex::default(),
    })
}

impl Peers {
    /// Receives until the daemon ends.
    pub async fn receive(self: Arc<Self>) {
        let mut buffer = vec![0; BUFFER];
        let mut returns = self.state.clock.resume_count();
        loop {
            let Ok((length, from)) = self.socket.recv_from(&mut buffer).await else {
                // An earlier datagram met a closed port; the next one may arrive.
                tokio::task::yield_now().await;
                continue;
            };
            // The look at the clock finds a return before the first datagram that waited meanwhile is taken in.
            self.state.now();
            let seen = std::mem::replace(&mut returns, self.state.clock.resume_count());
            if seen != returns {
                self.drop_waiting(&mut buffer);
                continue;
            }
            match message::decode(&buffer[..length]) {
                Ok(Message::Forward(bytes)) => self.pass(bytes, from).await,
                Ok(Message::QuotaRequest(question)) => self.answer(question, from).await,
                Ok(Message::TrialRequest(number, print, ticket)) => {
                    self.answer_trial(number, print, ticket, from).await
                }
                Ok(message) => self.take(message, from),
                Err(why) => self.state.log.rate_limited(|| {
                    tracing::warn!(target: "peers", event = "malformed", from = %from, why = %why, "a datagram cannot be read")
                }),
            }
        }
    }

    /// Drops the datagrams that waited while this process stood still: what they tell of ages is as much older, and
    /// what matters is told again.
    fn drop_waiting(&self, buffer: &mut [u8]) {
        let mut dropped = 1;
        while self.socket.try_recv_from(buffer).is_ok() {
            dropped += 1;
        }
        tracing::info!(target: "peers", event = "returned", dropped, "this process stood still, or its host was suspended; datagrams that waited are dropped");
    }

    fn take(&self, message: Message, from: SocketAddr) {
        let now = self.state.now();
        match message {
            Message::Report(sums) => {
                self.heard(&sums.host, now);
                if self.inbox.record_report(sums, from, now) {
                    self.newcomers.lock().push(from);
                    self.state.limits_changed.notify_one();
                }
            }
            Message::Loads(sums) => {
                self.heard(&sums.host, now);
                self.inbox.record_loads(sums, now);
            }
            Message::PeerLoads(sums) => {
                let mut table = self.state.table.lock();
                table.set_host_loads(&sums.host, &sums.loads, now);
                if let Some(word) = sums.store_uptime {
                    table.view.contact.merge(word, now);
                }
                drop(table);
                self.state.changed.notify_waiters();
            }
            Message::AdapterRequest(want) => self.inbox.want(want),
            Message::ModelRequest(missing) => self.inbox.miss(missing),
            Message::Digest(digest) => self.digest(digest, now),
            Message::AdapterPlacement(placed) => self.placed(placed),
            Message::FanoutGroup(hosts) => *self.passes_to.lock() = (hosts, now),
            Message::QuotaResponse(number, verdict) => self.answered(number, verdict),
            Message::Refund(refund) => self.take_back(&refund),
            Message::LimitReport(heard) => self.join_limits(&heard.limits, &heard.host),
            Message::LimitDigest(limits) if self.is_of_former_term(limits.term) => {}
            Message::LimitDigest(limits) => self.join_limits(&limits.limits, &limits.host),
            Message::Departures(told) => self.join_leaving(&told),
            Message::CrashReport(fallen) => self.take_fall(&fallen),
            Message::Succeeded(print) => self.state.quarantine.note_success_anywhere(print),
            Message::TrialFailed(print, broke) => self.state.quarantine.note_trial_ended(print, broke, now),
            Message::TrialResponse(number, permit) => self.trials.answered(number, permit),
            Message::QuarantineList(listing) if self.is_of_former_term(listing.term) => {}
            Message::QuarantineList(listing) => self.state.quarantine.apply_listing(listing, now),
            Message::Forward(_) | Message::QuotaRequest(_) | Message::TrialRequest(..) => self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "malformed", from = %from, "a datagram to be passed on holds one that is not for all")
            }),
        }
    }

    /// Takes a datagram of the leader in, and passes it on to the hosts of this one's part.
    async fn pass(&self, bytes: Bytes, from: SocketAddr) {
        let Ok(message) = message::decode(&bytes) else {
            self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "malformed", from = %from, "a datagram to be passed on cannot be read")
            });
            return;
        };
        let kind = message.kind();
        self.take(message, from);
        let (hosts, named) = self.passes_to.lock().clone();
        if self.state.now().since(named) < PART_AGE {
            for host in hosts {
                self.send_bytes(&bytes, kind, host).await;
            }
        }
    }

    /// Whether a leader of a later term is known.
    fn is_of_former_term(&self, term: u64) -> bool {
        let leader = self.state.leader.lock();
        leader.as_ref().is_some_and(|known| term < known.term)
    }

    /// Takes in the sums and plans of the leader, unless a later one is known.
    fn digest(&self, digest: Digest, now: Time) {
        if self.is_of_former_term(digest.term) {
            return;
        }
        let mut table = self.state.table.lock();
        table.host_count = (digest.hosts as usize).max(1);
        table.knows_host_count = true;
        table.set_fleet_loads(&digest.loads, now);
        for (replica, adapters) in digest.adapters {
            table.set_adapters(&replica, adapters, now);
        }
        if let Some(plans) = digest.planner {
            let own = self.state.settings.peers;
            let others = plans.direct_hosts.into_iter().filter(|p| *p != own);
            *self.others.lock() = others.collect();
            self.state.readers.assign(plans.readers, own);
            if let Some(word) = plans.store_uptime {
                table.view.contact.merge(word, now);
            }
            table.set_unreachable(plans.unreachable, now);
            table.set_model_etas(&plans.loading, now);
            table.set_loaded(plans.loaded, now);
            table.set_unloading(plans.unloading, now);
        }
    }

    /// Takes in where an adapter is.
    fn placed(&self, placed: AdapterPlacement) {
        if let Some(replica) = &placed.replica {
            let mut table = self.state.table.lock();
            table.add_adapter(replica, &placed.model, &placed.adapter);
        }
        self.state.changed.notify_waiters();
    }

    /// Where all hosts take datagrams, while they are few enough to tell each other directly.
    pub fn direct_hosts(&self) -> Vec<SocketAddr> {
        let hosts = self.inbox.hosts();
        match hosts.len() <= MOST_DIRECT {
            true => hosts,
            false => Vec::new(),
        }
    }

    /// Whether hosts are few enough to tell each other directly.
    pub fn is_direct(&self) -> bool {
        self.inbox.host_count() <= MOST_DIRECT
    }

    /// Sends one datagram; a failure counts as a lost one.
    pub async fn send(&self, message: &Message, to: SocketAddr) {
        let bytes = message::encode(message);
        self.send_bytes(&bytes, message.kind(), to).await;
    }

    /// Sends a datagram that is encoded already.
    async fn send_bytes(&self, bytes: &[u8], kind: &'static str, to: SocketAddr) {
        self.state.log.metrics.record_datagram(kind, bytes.len());
        if let Err(why) = self.socket.send_to(bytes, to).await {
            self.state.log.rate_limited(|| {
                tracing::warn!(target: "peers", event = "not_sent", to = %to, why = %why, "a datagram could not be sent")
            });
        }
    }

    /// Tells a message to all hosts; this one takes it in directly.
    pub async fn broadcast(&self, message: &Message) {
        let own = self.state.settings.peers;
        self.take(message.clone(), own);
        let kind = message.kind();
        let bytes = message::encode(message);
        if self.is_direct() {
            let others = self.inbox.hosts().into_iter().filter(|h| *h != own);
            return self.send_each(&bytes, kind, others).await;
        }
        let parts = self.parts.lock().clone();
        let pass = message::encode(&Message::Forward(bytes.clone().into()));
        for part in parts {
            if part.relay == own {
                self.send_each(&bytes, kind, part.members.into_iter()).await;
            } else if part.members.is_empty() {
                self.send_bytes(&bytes, kind, part.relay).await;
            } else {
                self.send_bytes(&pass, "pass", part.relay).await;
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

    /// Cuts a large fleet into parts anew, and tells the hosts that pass on to whom.
    pub async fn assign_fanout_groups(&self, hosts: Vec<Candidate>) {
        if self.is_direct() {
            return;
        }
        let parts = fanout::plan(hosts);
        *self.parts.lock() = parts.clone();
        let own = self.state.settings.peers;
        for part in parts {
            if part.relay != own && !part.members.is_empty() {
                let others = part.members.into_iter().filter(|h| *h != own).collect();
                self.send(&Message::FanoutGroup(others), part.relay).await;
            }
        }
    }

    /// Passes the adapters and models that requests here lack on to the leader.
    pub async fn forward_placement_requests(self: Arc<Self>, mut wanted: PlacementRequests) {
        let mut asked: HashMap<PlacementRequest, Time> = HashMap::new();
        while let Some(wish) = wanted.recv().await {
            let now = self.state.now();
            asked.retain(|_, at| now.since(*at) < ASKED_ONCE);
            if asked.contains_key(&wish) {
                continue;
            }
            let Some(leader) = self.state.leader.lock().clone() else {
                continue;
            };
            asked.insert(wish.clone(), now);
            let message = match wish {
                PlacementRequest::Adapter(want) => Message::AdapterRequest(want),
                PlacementRequest::Model(missing) => Message::ModelRequest(missing),
            };
            match leader.peers == self.state.settings.peers {
                true => self.take(message, leader.peers),
                false => self.send(&message, leader.peers).await,
            }
        }
    }
}
