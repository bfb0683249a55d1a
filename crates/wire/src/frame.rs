//! Messages between daemons. Variants are encoded by name, fields by position.

use serde::{Deserialize, Serialize};
use unit::{Name, Span};

/// Request or response.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Long poll for a bundle head newer than `after`.
    Follow {
        /// Sequence active at the requester.
        after: u64,
        /// Maximum wait in milliseconds.
        wait_ms: u64,
    },
    /// Response to `Follow` with the whole head.
    Head {
        /// Sequence active at the responder; 0 before the first bundle.
        sequence: u64,
        /// Active head as JSON; none if it is not newer than the requested sequence.
        head: Option<Name>,
    },
    /// Response to `Follow` with the difference to the requester's head.
    Delta {
        /// Sequence active at the responder.
        sequence: u64,
        /// Difference as JSON.
        delta: Name,
    },
    /// Requests bundle parts by hash.
    Fetch {
        /// Hex-encoded hashes.
        hashes: Vec<Name>,
    },
    /// Response to `Fetch` with the requested parts that the responder has.
    Parts {
        /// Contents of the parts; the requester verifies their hashes.
        texts: Vec<Name>,
    },
    /// Requests the recent demand at a daemon.
    #[serde(rename = "AskDemand")]
    GetDemand,
    /// Response to `GetDemand`.
    Demands {
        /// One entry per model.
        demands: Vec<Demand>,
    },
    /// Requests the upstream loads that a daemon has observed itself.
    #[serde(rename = "AskLoads")]
    GetLoads,
    /// Response to `GetLoads`.
    Loads {
        /// One entry per upstream.
        loads: Vec<Load>,
    },
    /// Requests that a daemon drain and exit, as on SIGTERM.
    Drain,
    /// Response to `Drain`: the daemon is draining.
    Draining {
        /// Requests in flight.
        in_flight: u64,
    },
    /// The responder cannot serve the request.
    Refused {
        /// Reason, as a full sentence.
        reason: String,
    },
}

/// Demand for one model at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    pub model: Name,
    /// Smoothed arrival rate in requests per second.
    pub rate: f64,
    /// Smoothed fraction of requests that met their latency targets.
    pub attainment: f64,
    /// Requests currently queued.
    pub waiting: u32,
}

/// Load of one upstream, as last reported to the sender.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    pub upstream: Name,
    /// Age of the report at the sender.
    pub age: Span,
    /// Requests running at the upstream.
    pub running: u32,
    /// Requests queued at the upstream.
    pub waiting: u32,
}
