//! Messages about fleet-wide quotas.

use super::ReplicaLimit;
use serde::{Deserialize, Serialize};
use unit::Name;

/// Owner of the quota.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// Client account, in its own units.
    Account(Name),
    /// Replica with a rate limit in requests per second, as this host knows it.
    Replica(ReplicaLimit),
}

/// Request to the leader for the units of one request.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number that the response refers to.
    pub number: u32,
    /// Sender.
    pub host: Name,
    /// Owner of the quota.
    pub subject: Subject,
    /// Upper bound of the units that the request uses.
    pub units: f32,
    /// Units to leave for requests of higher priority.
    pub reserved: f32,
    /// Whether no other replica can take the request, so that the host asks again after a refusal.
    pub will_retry: bool,
    /// Units that the host used from its local share since the last response.
    pub local_use: f32,
}

impl QuotaRequest {
    /// Whether all numbers are finite and not negative.
    pub fn is_valid(&self) -> bool {
        is_valid(self.units) && is_valid(self.reserved) && is_valid(self.local_use)
    }
}

fn is_valid(units: f32) -> bool {
    units.is_finite() && units >= 0.0
}

/// Response to a quota request.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum QuotaResponse {
    #[serde(rename = "Given")]
    Granted {
        /// Units granted to all hosts in the current window.
        granted: f32,
        /// Units available now.
        available: f32,
    },
    /// The quota is exhausted.
    Refused {
        /// Time until enough units are available, in milliseconds.
        retry_after_ms: u32,
        /// Units available now.
        available: f32,
    },
    /// The replica advertises no limit any more.
    Unlimited,
    /// The receiver is not the leader.
    #[serde(rename = "Elsewhere")]
    NotLeader,
}

/// Units granted for a request that did not run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refund {
    /// Sender.
    pub host: Name,
    /// Owner of the quota.
    pub subject: Subject,
    pub units: f32,
    /// Time since the grant, in milliseconds.
    pub age_ms: u32,
}

impl Refund {
    /// Whether the number is finite and not negative.
    pub fn is_valid(&self) -> bool {
        is_valid(self.units)
    }
}
