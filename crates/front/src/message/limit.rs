//! What hosts tell each other of the limits that replicas name.

use super::{MAX_DATAGRAM, replica_hash};
use platform::replica::{Entry, Incarnation};
use route::quota::Advertisement;
use serde::{Deserialize, Serialize};
use unit::{Name, Span, Time};

/// Size of a row, in bytes, at the most.
const ROW_SIZE: usize = 22;

/// Limits that fit one datagram, beside what stands before them.
pub const MAX_LIMITS: usize = (MAX_DATAGRAM - HEAD_SIZE) / ROW_SIZE;

/// Size of what stands before the rows, in bytes, with the longest name of a host.
const HEAD_SIZE: usize = 100;

/// What was heard of the limit of one incarnation of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ReplicaLimit {
    /// Short name of the incarnation.
    pub replica: u32,
    /// Requests a second that it named last.
    pub rate: f32,
    /// Time since it did, in milliseconds.
    pub advertised_ms: u32,
    /// Time since the first answer after that which named none, in milliseconds.
    pub withdrawn_ms: Option<u32>,
}

/// Limits that a host has heard itself, to the leader.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitReport {
    /// The host.
    pub host: Name,
    /// The limits.
    pub limits: Vec<ReplicaLimit>,
}

/// Limits that hold, or are over since a while ago, from the leader to all.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LimitDigest {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// The leader.
    pub host: Name,
    /// The limits.
    pub limits: Vec<ReplicaLimit>,
}

/// Short name of one incarnation of a replica.
fn incarnation(id: &str, incarnation: Incarnation) -> u32 {
    replica_hash(&format!("{id}/{}", incarnation.unwrap_or_default()))
}

impl ReplicaLimit {
    /// What was heard, as it is told now.
    pub fn new(entry: &Entry, notice: &Advertisement, now: Time) -> ReplicaLimit {
        let age_ms = |at: Time| now.since(at).ms() as u32;
        ReplicaLimit {
            replica: ReplicaLimit::incarnation_hash(entry),
            rate: notice.rate as f32,
            advertised_ms: age_ms(notice.advertised_at),
            withdrawn_ms: notice.withdrawn_at.map(age_ms),
        }
    }

    /// Short name of the incarnation that wrote an entry.
    pub fn incarnation_hash(entry: &Entry) -> u32 {
        incarnation(&entry.id, entry.incarnation)
    }

    /// What was heard, by this host's time; none where its number cannot be counted.
    pub fn advertisement(&self, now: Time) -> Option<Advertisement> {
        let at = |ms: u32| now - Span::from_ms(u64::from(ms));
        let is_sound = self.rate.is_finite() && self.rate >= 0.0;
        is_sound.then(|| Advertisement {
            rate: f64::from(self.rate),
            advertised_at: at(self.advertised_ms),
            withdrawn_at: self.withdrawn_ms.map(at),
        })
    }
}
