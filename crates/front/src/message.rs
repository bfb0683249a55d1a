//! Datagrams exchanged between daemons.

pub mod conditions;
pub mod departures;
pub mod dispatch;
pub mod limit;
mod quarantine;
mod quota;
pub mod status;
pub mod streams;

pub use conditions::{Brittle, Detour, HostConditions};
pub use departures::Departures;
pub use limit::{LimitDigest, LimitReport, ReplicaLimit};
pub use quarantine::{CrashReport, QuarantineEntry, QuarantineList, TrialResponse};
pub use quota::{QuotaRequest, QuotaResponse, Refund, Subject};
pub use status::PlannerStatus;

use crate::contact::Ages;
use bytes::Bytes;
use route::quarantine::Cause;
use route::speed;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use unit::Name;

/// Number of priority levels that loads are kept apart for; lower priorities share the last one.
pub const PRIORITY_LEVELS: usize = 4;

/// Longest datagram, in bytes; fits an Ethernet frame with its headers.
pub const MAX_DATAGRAM: usize = 1_400;

#[derive(Debug, Clone, Serialize, Deserialize)]
pub enum Message {
    /// Load and demand of a host, sent to the leader each round.
    #[serde(rename = "Sums")]
    Report(LoadReport),
    /// Requests in flight of a host, sent to all other hosts of a small fleet.
    #[serde(rename = "Direct")]
    PeerLoads(LoadReport),
    /// Requests in flight of a host, sent to the leader between two rounds.
    Loads(LoadReport),
    /// Loads of all hosts and the planner's status, sent by the leader.
    Digest(Digest),
    /// Asks the leader to load an adapter.
    #[serde(rename = "Want")]
    AdapterRequest(AdapterRequest),
    /// Asks the leader to load a model that no replica holds.
    #[serde(rename = "Missing")]
    ModelRequest(ModelRequest),
    /// Tells on which replica an adapter was placed, sent by the leader.
    #[serde(rename = "Placed")]
    AdapterPlacement(AdapterPlacement),
    /// Tells a host that requested a model where it is or when it is expected, sent by the leader.
    #[serde(rename = "Coming")]
    ModelPlacement(ModelPlacement),
    /// Addresses that a relay forwards the leader's datagrams to, sent by the leader.
    #[serde(rename = "Part")]
    FanoutGroup(Vec<SocketAddr>),
    /// Asks the leader for units of a fleet-wide quota.
    #[serde(rename = "Question")]
    QuotaRequest(QuotaRequest),
    /// Leader's response to the quota request of that number.
    #[serde(rename = "Verdict")]
    QuotaResponse(u32, QuotaResponse),
    /// Returns unused units to the leader.
    Refund(Refund),
    /// Rate limits that replicas advertised to a host, sent to the leader.
    #[serde(rename = "Heard")]
    LimitReport(LimitReport),
    /// Rate limits of replicas, sent by the leader.
    #[serde(rename = "Limits")]
    LimitDigest(LimitDigest),
    /// Replicas that announced their departure: sent to the leader, which sends them to all; in a small fleet, to
    /// all.
    #[serde(rename = "Leaving")]
    Departures(Departures),
    /// A replica crashed: sent to the leader; in a small fleet, to all.
    #[serde(rename = "Fallen")]
    CrashReport(CrashReport),
    /// A request with these causes succeeded, against which crashes count; sent to the leader.
    #[serde(rename = "Sound")]
    Succeeded(Vec<Cause>),
    /// A trial of a request with these causes did not succeed, sent to the leader; true if the connection broke.
    #[serde(rename = "Tried")]
    TrialFailed(Vec<Cause>, bool),
    /// Asks the leader for a trial: number of the request, and causes and id of the request that would run.
    #[serde(rename = "Trial")]
    TrialRequest(u32, Vec<Cause>, u64),
    /// Leader's response to the trial request of that number.
    #[serde(rename = "Permit")]
    TrialResponse(u32, TrialResponse),
    /// What is suspected or quarantined, sent by the leader.
    #[serde(rename = "Listing")]
    QuarantineList(QuarantineList),
    /// Exchange with the dispatcher of a service.
    Dispatch(dispatch::Dispatch),
    /// Exceptional conditions at a host, sent to the leader.
    HostConditions(HostConditions),
    /// Hosts that take requests of those without paths to the replicas, sent by the leader of this term.
    Detours(u64, Vec<Detour>),
    /// Brittle replicas, sent by the leader of this term.
    Brittle(u64, Vec<Brittle>),
    /// Exchange about the runs that began streams.
    Streams(streams::Streams),
    /// Datagram of the leader that the relay handles and forwards to its fan-out group.
    #[serde(rename = "Pass")]
    Forward(Bytes),
}

impl Message {
    /// Label of the message in metrics.
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
            Message::ModelPlacement(_) => "coming",
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
            Message::Dispatch(dispatch::Dispatch::Ask(_)) => "dispatch_ask",
            Message::Dispatch(dispatch::Dispatch::Answer(..)) => "dispatch_answer",
            Message::Dispatch(_) => "dispatch_report",
            Message::HostConditions(_) => "conditions",
            Message::Detours(..) => "detours",
            Message::Brittle(..) => "brittle",
            Message::Streams(streams::Streams::Keep(_)) => "streams_keep",
            Message::Streams(_) => "streams_ask",
            Message::Forward(_) => "pass",
        }
    }
}

/// Load and demand of one host.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct LoadReport {
    pub host: Name,
    /// Data hall of the host.
    pub hall: Name,
    /// CPU of the host, in cores.
    pub cores: f32,
    /// Number of the round; datagrams of one round are merged.
    pub round: u32,
    pub demand: Vec<Demand>,
    /// Requests in flight by replica.
    pub loads: Vec<PackedLoad>,
    /// Adapters used by requests since the last round.
    pub adapter_uses: Vec<AdapterUse>,
    /// Hashes of replicas that this host avoids because it could not reach them.
    pub unreachable: Vec<u32>,
    /// Hashes of replicas that asked this host to back off.
    pub backing_off: Vec<u32>,
    /// Whether the store failed this host recently.
    pub store_failed: bool,
    /// Period for which this host has been in contact with the store, if it ever was.
    pub store_uptime: Option<Ages>,
    /// Samples of the speeds of replicas and models since the last round.
    #[serde(default)]
    pub speeds: Vec<speed::Row>,
}

/// Rows that fit one datagram; a row takes at most 40 bytes.
const MAX_ROWS: usize = MAX_DATAGRAM / 40;

/// Minimum rows of a datagram, however many replicas are unreachable; a longer datagram is fragmented by IP.
const MIN_ROWS: usize = 8;

impl LoadReport {
    /// Splits the report so that each part fits one datagram.
    pub fn split(self) -> Vec<LoadReport> {
        // Unreachable replicas and backoffs are repeated in each part, so their size is reserved first.
        let repeated = self.unreachable.len() + self.backing_off.len();
        let rows = MAX_ROWS.saturating_sub(repeated).max(MIN_ROWS);
        if self.demand.len() + self.loads.len() + self.adapter_uses.len() + self.speeds.len()
            <= rows
        {
            return vec![self];
        }
        let part = || LoadReport {
            demand: Vec::new(),
            loads: Vec::new(),
            adapter_uses: Vec::new(),
            speeds: Vec::new(),
            host: self.host.clone(),
            hall: self.hall.clone(),
            unreachable: self.unreachable.clone(),
            backing_off: self.backing_off.clone(),
            cores: self.cores,
            round: self.round,
            store_failed: self.store_failed,
            store_uptime: self.store_uptime,
        };
        let demand = self.demand.chunks(rows).map(|rows| LoadReport {
            demand: rows.to_vec(),
            ..part()
        });
        let loads = self.loads.chunks(rows).map(|rows| LoadReport {
            loads: rows.to_vec(),
            ..part()
        });
        let uses = self.adapter_uses.chunks(rows).map(|rows| LoadReport {
            adapter_uses: rows.to_vec(),
            ..part()
        });
        let speeds = self.speeds.chunks(rows).map(|rows| LoadReport {
            speeds: rows.to_vec(),
            ..part()
        });
        demand.chain(loads).chain(uses).chain(speeds).collect()
    }
}

/// Use of an adapter on a replica.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterUse {
    /// Hash of the replica's id.
    pub replica: u32,
    pub model: Name,
    pub adapter: Name,
}

/// Demand for one model on one host.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Demand {
    /// Service of the model.
    pub service: Name,
    pub model: Name,
    /// Requests per second.
    pub rate: f32,
    /// Prompt tokens per second.
    pub tokens: f32,
}

/// [`Load`] of one replica, packed into a few bytes.
///
/// A replica is identified by 32 bits of the hash of its id. A collision merges the loads of two replicas, which only
/// makes routing less accurate.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct PackedLoad(u32, u16, u16, [u16; PRIORITY_LEVELS]);

/// Tokens per unit of the packed `reserved_tokens`.
const TOKENS_PER_UNIT: f32 = 64.0;

/// Upper 32 bits of the hash of a replica's id.
pub fn replica_hash(replica: &str) -> u32 {
    (unit::rendezvous::hash(replica.as_bytes()) >> 32) as u32
}

impl PackedLoad {
    pub fn new(replica: &str, load: &Load) -> PackedLoad {
        PackedLoad::of_hash(replica_hash(replica), load)
    }

    /// Load of the replica whose id has this hash.
    pub fn of_hash(replica: u32, load: &Load) -> PackedLoad {
        let reserved = (load.reserved_tokens / TOKENS_PER_UNIT).round() as u16;
        let prefill = load.prefill_ms.map(|ms| ms.ceil() as u16);
        PackedLoad(replica, load.requests as u16, reserved, prefill)
    }

    /// Hash of the replica's id.
    pub fn replica(&self) -> u32 {
        self.0
    }

    pub fn load(&self) -> Load {
        Load {
            requests: f32::from(self.1),
            reserved_tokens: f32::from(self.2) * TOKENS_PER_UNIT,
            prefill_ms: self.3.map(f32::from),
        }
    }
}

/// Requests in flight on one replica.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Load {
    /// Number of requests.
    pub requests: f32,
    /// Upper bound of the tokens that the requests need.
    pub reserved_tokens: f32,
    /// Time to prefill the remaining prompts, in milliseconds, by priority level.
    pub prefill_ms: [f32; PRIORITY_LEVELS],
}

impl Load {
    pub fn add(&mut self, other: &Load) {
        self.requests += other.requests;
        self.reserved_tokens += other.reserved_tokens;
        for (sum, more) in self.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *sum += more;
        }
    }

    /// Component-wise minimum.
    pub fn min(&self, other: &Load) -> Load {
        let mut min = *self;
        min.requests = min.requests.min(other.requests);
        min.reserved_tokens = min.reserved_tokens.min(other.reserved_tokens);
        for (value, other) in min.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *value = value.min(other);
        }
        min
    }

    /// Component-wise difference, at least zero.
    pub fn saturating_sub(&self, other: &Load) -> Load {
        let mut difference = *self;
        difference.requests = (difference.requests - other.requests).max(0.0);
        difference.reserved_tokens = (difference.reserved_tokens - other.reserved_tokens).max(0.0);
        for (value, other) in difference.prefill_ms.iter_mut().zip(other.prefill_ms) {
            *value = (*value - other).max(0.0);
        }
        difference
    }
}

/// Loads of all hosts; one round may take several datagrams.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Digest {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// Number of hosts that reported.
    pub hosts: u32,
    /// Requests in flight by replica: those that changed since the last digest, or all.
    pub loads: Vec<PackedLoad>,
    /// Adapters that the leader had loaded, by replica.
    pub adapters: Vec<(Name, Vec<(Name, Name)>)>,
    /// Planner's status, or a part of it, sent each round.
    pub planner: Option<PlannerStatus>,
    /// Speeds of replicas and models, by the samples of all hosts.
    #[serde(default)]
    pub speeds: Vec<speed::Row>,
}

/// Request to load an adapter.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AdapterRequest {
    /// Service of the model.
    pub service: Name,
    pub model: Name,
    pub adapter: Name,
    /// Whether to load it on one more replica because those that hold it are overloaded.
    pub additional: bool,
    /// Version of the software that the replica must run, if a stream goes on.
    pub software: Option<Name>,
    /// Hashes of replicas at which the stream broke off.
    pub excluded: Vec<u32>,
}

/// Request to load a model that no replica holds.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ModelRequest {
    /// Service of the model.
    pub service: Name,
    pub model: Name,
}

/// Placement of an adapter.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct AdapterPlacement {
    pub model: Name,
    pub adapter: Name,
    /// Replica that holds it; none if there is no capacity now.
    pub replica: Option<Name>,
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<Message, rmp_serde::decode::Error> {
    rmp_serde::from_slice(bytes)
}

/// Placement of a model.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct ModelPlacement {
    pub model: Name,
    /// Replica that holds it; none while it is being loaded.
    pub replica: Option<Name>,
    /// Time until a copy is expected, in milliseconds.
    pub eta_ms: u32,
}

/// Encoded size of a part of a datagram, in bytes.
pub fn encoded_size(part: &impl Serialize) -> usize {
    rmp_serde::to_vec(part)
        .expect("a message is serializable")
        .len()
}

/// Encodes a datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    rmp_serde::to_vec(message).expect("a message is serializable")
}
