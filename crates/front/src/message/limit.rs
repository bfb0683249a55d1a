//! Messages about rate limits that replicas advertise.

use super::{MAX_DATAGRAM, replica_hash};
use platform::replica::{Entry, Incarnation};
use route::quota::Advertisement;
use serde::{Deserialize, Serialize};
use unit::{Name, Span, Time};

/// Maximum encoded size of one limit, in bytes.
const ROW_SIZE: usize = 22;

/// Limits that fit one datagram.
pub const MAX_LIMITS: usize = (MAX_DATAGRAM - HEADER_SIZE) / ROW_SIZE;

/// Maximum encoded size of the fields before the limits, in bytes, with the longest host name.
const HEADER_SIZE: usize = 100;

/// Rate limit advertised by one incarnation of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLimit {
    /// Hash of the replica's id and incarnation.
    pub replica: u32,
    /// Advertised rate, in requests per second.
    pub rate: f32,
    /// Time since the last response that advertised it, in milliseconds.
    pub advertised_ms: u32,
    /// Time since the first later response without a limit, in milliseconds.
    pub withdrawn_ms: Option<u32>,
}

/// Limits that a host read from responses itself, sent to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// Sender.
    pub host: Name,
    pub limits: Vec<ReplicaLimit>,
}

/// Limits that are in force or ended recently, sent by the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitDigest {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// The leader.
    pub host: Name,
    pub limits: Vec<ReplicaLimit>,
}

/// Hash of a replica's id and incarnation.
fn incarnation_key(id: &str, incarnation: Incarnation) -> u32 {
    replica_hash(&format!("{id}/{}", incarnation.unwrap_or_default()))
}

impl ReplicaLimit {
    /// Limit with its ages as of `now`.
    pub fn new(entry: &Entry, advertisement: &Advertisement, now: Time) -> ReplicaLimit {
        let age_ms = |at: Time| now.since(at).ms() as u32;
        ReplicaLimit {
            replica: ReplicaLimit::incarnation_hash(entry),
            rate: advertisement.rate as f32,
            advertised_ms: age_ms(advertisement.advertised_at),
            withdrawn_ms: advertisement.withdrawn_at.map(age_ms),
        }
    }

    /// Hash that identifies the incarnation of an entry.
    pub fn incarnation_hash(entry: &Entry) -> u32 {
        incarnation_key(&entry.id, entry.incarnation)
    }

    /// Limit in this host's time; none if the rate is invalid.
    pub fn advertisement(&self, now: Time) -> Option<Advertisement> {
        let at = |ms: u32| now - Span::from_ms(u64::from(ms));
        let is_valid = self.rate.is_finite() && self.rate >= 0.0;
        is_valid.then(|| Advertisement {
            rate: f64::from(self.rate),
            advertised_at: at(self.advertised_ms),
            withdrawn_at: self.withdrawn_ms.map(at),
        })
    }
}
