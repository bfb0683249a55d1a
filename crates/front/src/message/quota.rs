//! What hosts and the one that gives out tell each other of limits over all hosts.

use super::ReplicaLimit;
use serde::{Deserialize, Serialize};
use unit::Name;

/// Whose limit it is.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Subject {
    /// A client account, which uses units of its own.
    Account(Name),
    /// A replica that takes so many requests a second, with what the host knows of its limit.
    Replica(ReplicaLimit),
}

/// Question of a host: may one more request run, or go to a replica?
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct QuotaRequest {
    /// Number under which it is answered.
    pub number: u32,
    /// The host.
    pub host: Name,
    /// Whose limit it is.
    pub subject: Subject,
    /// Units that the request uses at the most.
    pub units: f32,
    /// Units that are to be left for what is more urgent.
    pub reserved: f32,
    /// Whether nothing else can take the request, so that it comes again.
    pub will_retry: bool,
    /// Units that the host used by its share since it was answered last.
    pub local_use: f32,
}

impl QuotaRequest {
    /// Whether its numbers can be counted.
    pub fn is_valid(&self) -> bool {
        is_valid(self.units) && is_valid(self.reserved) && is_valid(self.local_use)
    }
}

/// Whether a number of units can be counted.
fn is_valid(units: f32) -> bool {
    units.is_finite() && units >= 0.0
}

/// Answer to a question.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub enum QuotaResponse {
    /// It may run.
    #[serde(rename = "Given")]
    Granted {
        /// Units that all hosts were given in the last window.
        granted: f32,
        /// Units that could be given out at once.
        available: f32,
    },
    /// It is over the limit.
    Refused {
        /// Time after which there will be enough, in milliseconds.
        retry_after_ms: u32,
        /// Units that are there.
        available: f32,
    },
    /// The replica names no limit any more.
    Unlimited,
    /// The host that was asked does not give out.
    #[serde(rename = "Elsewhere")]
    NotLeader,
}

/// Units of a request that did not run.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Refund {
    /// The host.
    pub host: Name,
    /// Whose limit it is.
    pub subject: Subject,
    /// How many.
    pub units: f32,
    /// Time since they were given, in milliseconds.
    pub age_ms: u32,
}

impl Refund {
    /// Whether its number can be counted.
    pub fn is_valid(&self) -> bool {
        is_valid(self.units)
    }
}
