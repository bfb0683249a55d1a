//! What daemons tell each other in datagrams.

pub mod departures;
pub mod limit;
mod quarantine;
mod quota;

pub use departures::Departures;
pub use limit::{LimitDigest, LimitReport, ReplicaLimit};
pub use quarantine::{CrashReport, QuarantineEntry, QuarantineList, TrialResponse};
pub use quota::{QuotaRequest, QuotaResponse, Refund, Subject};

use crate::contact::Ages;
use crate::readers::Reader;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use unit::{Fingerprint, Name};

/// Ranks of urgency that sums are kept apart for; less urgent ones share the last.
pub const PRIORITY_LEVELS: usize = 4;

/// Longest datagram, in bytes, so that it fits the usual packet.
pub const MAX_DATAGRAM: usize = 1_400;

/// Datagram between daemons.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// A host's sums, to the leader.
    #[serde(rename = "Sums")]
    Report(LoadReport),
    /// A host's requests in flight, to every other host.
    #[serde(rename = "Direct")]
    PeerLoads(LoadReport),
    /// A host's requests in flight, to the leader, between two rounds of sums.
    Loads(LoadReport),
    /// The sums of all hosts, from the leader.
    Digest(Digest),
    /// A host needs an adapter somewhere.
    #[serde(rename = "Want")]
    AdapterRequest(AdapterRequest),
    /// A host has a request for a model that is on no replica.
    #[serde(rename = "Missing")]
    ModelRequest(ModelRequest),
    /// The leader says where an adapter is.
    #[serde(rename = "Placed")]
    AdapterPlacement(AdapterPlacement),
    /// Where the hosts of a part of the fleet take datagrams, from the leader to the one that passes
    /// on to them.
    #[serde(rename = "Part")]
    FanoutGroup(Vec<SocketAddr>),
    /// A host asks the leader for units of a limit over all hosts.
    #[serde(rename = "Question")]
    QuotaRequest(QuotaRequest),
    /// The leader's answer to the question of that number.
    #[serde(rename = "Verdict")]
    QuotaResponse(u32, QuotaResponse),
    /// A host gives back what a request did not use.
    Refund(Refund),
    /// Limits that replicas named to a host, to the leader.
    #[serde(rename = "Heard")]
    LimitReport(LimitReport),
    /// Limits that replicas name, from the leader.
    #[serde(rename = "Limits")]
    LimitDigest(LimitDigest),
    /// Replicas that leave by their own word: to the leader, and from it to all; where hosts are few, to all.
    #[serde(rename = "Leaving")]
    Departures(Departures),
    /// A host saw a replica fall, to the leader; where hosts are few, to all.
    #[serde(rename = "Fallen")]
    CrashReport(CrashReport),
    /// A run of a request that is listed has ended well, to the leader.
    #[serde(rename = "Sound")]
    Succeeded(Fingerprint),
    /// A trial of a request has ended, and not well, to the leader: whether it broke off.
    #[serde(rename = "Tried")]
    TrialFailed(Fingerprint, bool),
    /// A host asks the leader for a trial: number of the question, request, and who asks.
    #[serde(rename = "Trial")]
    TrialRequest(u32, Fingerprint, u64),
    /// The leader's answer to the question of that number.
    #[serde(rename = "Permit")]
    TrialResponse(u32, TrialResponse),
    /// Requests that are suspected or kept out, from the leader.
    #[serde(rename = "Listing")]
    QuarantineList(QuarantineList),
    /// A datagram of the leader, to be taken in and passed on to the hosts of that part.
    #[serde(rename = "Pass")]
    Forward(Bytes),
}

impl Message {
    /// Word for it in metrics.
    pub fn kind(&self) -> &'static str {
        match self {
            Message::Report(_) => "sums",
            Message::PeerLoads(_) => "direct",
            Message::Loads(_) => "loads",
            Message::Digest(Digest {
                planner: Some(_), ..
            }) => "plans",
            Message::Digest(_) => "digest",
            Message::AdapterRequest(_) => "want",
            Message::ModelRequest(_) => "missing",
            Message::AdapterPlacement(_) => "placed",
            Message::FanoutGroup(_) => "part",
            Message::QuotaRequest(_) => "question",
            Message::QuotaResponse(..) => "verdict",
            Message::Refund(_) => "refund",
            Message::LimitReport(_) => "heard",
            Message::LimitDigest(_) => "limits",
            Message::Departures(_) => "leaving",
            Message::CrashReport(_) => "fallen",
            Message::Succeeded(_) => "sound",
            Message::TrialFailed(..) => "tried",
            Message::TrialRequest(..) => "trial",
            Message::TrialResponse(..) => "permit",
            Message::QuarantineList(_) => "listing",
            Message::Forward(_) => "pass",
        }
    }
}

/// What one host has seen and has in flight.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadReport {
    /// The host.
    pub host: Name,
    /// Its hall.
    pub hall: Name,
    /// Its processor, in cores.
    pub cores: f32,
    /// Round of telling; parts of one round add up.
    pub round: u32,
    /// Demand by model.
    pub demand: Vec<Demand>,
    /// Requests in flight by replica.
    pub loads: Vec<PackedLoad>,
    /// Adapters that requests were sent to since the round before.
    pub adapter_uses: Vec<AdapterUse>,
    /// Short names of replicas that this host leaves alone, since it could not reach them.
    pub unreachable: Vec<u32>,
    /// Short names of replicas that want nothing from this host now.
    pub backing_off: Vec<u32>,
    /// Whether the store failed this host a moment ago.
    pub store_failed: bool,
    /// Time through which this host heard from the store, if it ever did.
    pub store_uptime: Option<Ages>,
}

/// Rows of sums that fit one datagram: each takes at most 40 bytes.
const ROWS: usize = MAX_DATAGRAM / 40;

/// Least rows of a datagram, however many replicas are absent: a larger packet than usual is cut into
/// fragments, and arrives.
const LEAST_ROWS: usize = 8;

impl LoadReport {
    /// Cuts them into parts that fit a datagram each.
    pub fn split(self) -> Vec<LoadReport> {
        // Words of absent and resting replicas are in each part, so they take their room first.
        let named = self.unreachable.len() + self.backing_off.len();
        let rows = ROWS.saturating_sub(named).max(LEAST_ROWS);
        if self.demand.len() + self.loads.len() + self.adapter_uses.len() <= rows {
            return vec![self];
        }
        let part = |demand: &[Demand], loads: &[PackedLoad], used: &[AdapterUse]| LoadReport {
            demand: demand.to_vec(),
            loads: loads.to_vec(),
            adapter_uses: used.to_vec(),
            host: self.host.clone(),
            hall: self.hall.clone(),
            unreachable: self.unreachable.clone(),
            backing_off: self.backing_off.clone(),
            cores: self.cores,
            round: self.round,
            store_failed: self.store_failed,
            store_uptime: self.store_uptime,
        };
        let demand = self.demand.chunks(rows).map(|rows| part(rows, &[], &[]));
        let loads = self.loads.chunks(rows).map(|rows| part(&[], rows, &[]));
        let used = self
            .adapter_uses
            .chunks(rows)
            .map(|rows| part(&[], &[], rows));
        demand.chain(loads).chain(used).collect()
    }
}

/// Use of an adapter at a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterUse {
    /// Short name of the replica.
    pub replica: u32,
    /// Its model.
    pub model: Name,
    /// The adapter.
    pub adapter: Name,
}

/// Demand for one model at one host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Demand {
    /// Service that serves it.
    pub service: Name,
    /// The model.
    pub model: Name,
    /// Requests a second.
    pub rate: f32,
    /// Prompt tokens a second.
    pub tokens: f32,
}

/// Requests in flight at one replica, in the few bytes that a large fleet allows.
///
/// A replica is named by 32 bits of its identity's hash; that two of some thousands share them is
/// unlikely, and costs no more than a worse choice.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PackedLoad(u32, u16, u16, [u16; PRIORITY_LEVELS]);

/// Tokens that one step of a row's reserved memory stands for.
const TOKEN_STEP: f32 = 64.0;

/// Short name of a replica in a row.
pub fn replica_hash(replica: &str) -> u32 {
    (unit::rendezvous::hash(replica.as_bytes()) >> 32) as u32
}

impl PackedLoad {
    /// Row of a replica's load.
    pub fn new(replica: &str, load: &Load) -> PackedLoad {
        let reserved = (load.reserved_tokens / TOKEN_STEP).round() as u16;
        let unread = load.prefill_ms.map(|ms| ms.ceil() as u16);
        PackedLoad(
            replica_hash(replica),
            load.requests as u16,
            reserved,
            unread,
        )
    }

    /// Short name of the replica.
    pub fn replica(&self) -> u32 {
        self.0
    }

    /// The load.
    pub fn load(&self) -> Load {
        Load {
            requests: f32::from(self.1),
            reserved_tokens: f32::from(self.2) * TOKEN_STEP,
            prefill_ms: self.3.map(f32::from),
        }
    }
}

/// Requests in flight at one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Requests.
    pub requests: f32,
    /// Tokens that they need at the most.
    pub reserved_tokens: f32,
    /// Time to read the prompts that are not read yet, in milliseconds, by rank of urgency.
    pub prefill_ms: [f32; PRIORITY_LEVELS],
}

impl Load {
    /// Adds another load.
    pub fn add(&mut self, other: &Load) {
        self.requests += other.requests;
        self.reserved_tokens += other.reserved_tokens;
        for (sum, more) in self.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *sum += more;
        }
    }

    /// The lesser of two loads, part by part.
    pub fn min(&self, other: &Load) -> Load {
        let mut least = *self;
        least.requests = least.requests.min(other.requests);
        least.reserved_tokens = least.reserved_tokens.min(other.reserved_tokens);
        for (mine, its) in least.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *mine = mine.min(its);
        }
        least
    }

    /// What remains without another load; never below nothing.
    pub fn saturating_sub(&self, other: &Load) -> Load {
        let mut rest = *self;
        rest.requests = (rest.requests - other.requests).max(0.0);
        rest.reserved_tokens = (rest.reserved_tokens - other.reserved_tokens).max(0.0);
        for (left, less) in rest.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *left = (*left - less).max(0.0);
        }
        rest
    }
}

/// Sums of all hosts, in one or more datagrams.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// Hosts whose sums are in it.
    pub hosts: u32,
    /// Requests in flight by replica: those that changed since the digest before, or all.
    pub loads: Vec<PackedLoad>,
    /// Adapters that the leader has had loaded, by replica.
    pub adapters: Vec<(Name, Vec<(Name, Name)>)>,
    /// What the planner is about, in one datagram of each round.
    pub planner: Option<PlannerStatus>,
}

/// What the planner is about.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct PlannerStatus {
    /// Models on their way, with the time left in milliseconds.
    pub loading: Vec<(Name, u32)>,
    /// Replicas and a model that each has just loaded: its entry may not show it yet.
    pub loaded: Vec<(Name, Name)>,
    /// Replicas and the model that each is about to give up: it gets no new work.
    pub unloading: Vec<(Name, Name)>,
    /// Short names of replicas that several hosts could not reach, and none does.
    pub unreachable: Vec<u32>,
    /// Hosts that read the store for their halls.
    pub readers: Vec<Reader>,
    /// Where all hosts take datagrams, while they are few enough to tell each other directly.
    pub direct_hosts: Vec<SocketAddr>,
    /// Time through which hosts heard from the store.
    pub store_uptime: Option<Ages>,
}

/// Request for an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Service that serves the model.
    pub service: Name,
    /// The model.
    pub model: Name,
    /// Its adapter.
    pub adapter: Name,
    /// Whether it is wanted on one more replica, since those that hold it have too much to do.
    pub additional: bool,
}

/// Request for a model that is on no replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelRequest {
    /// Service that serves the model.
    pub service: Name,
    /// The model.
    pub model: Name,
}

/// Place of an adapter.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdapterPlacement {
    /// The model.
    pub model: Name,
    /// Its adapter.
    pub adapter: Name,
    /// Replica that holds it, or none when there is no room for it now.
    pub replica: Option<Name>,
}

/// Reads a datagram; an error when it is not one of ours.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Writes a datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("a message is plain data")
}
