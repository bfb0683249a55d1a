//! Messages between daemons.

use serde::{Deserialize, Serialize};
use unit::{Name, Span};

/// One message; a request or its answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Asks for a head past `after`, waiting at most `wait_ms` for one.
    Follow {
        /// Sequence already in force at the asker.
        after: u64,
        /// Longest wait in milliseconds.
        wait_ms: u64,
    },
    /// Head in force at the answerer, as JSON; none when not past the asked one.
    Head {
        /// Sequence in force at the answerer; 0 before the first.
        sequence: u64,
        /// The head.
        head: Option<Name>,
    },
    /// What the head in force at the answerer changes against the asker's, as JSON.
    Delta {
        /// Sequence in force at the answerer.
        sequence: u64,
        /// The changes.
        delta: Name,
    },
    /// Asks for parts by hash.
    Fetch {
        /// Hashes in hex.
        hashes: Vec<Name>,
    },
    /// Texts of the asked parts that the answerer holds.
    Parts {
        /// Texts; the asker checks their hashes.
        texts: Vec<Name>,
    },
    /// Asks for the demand seen at a daemon in its last window.
    #[serde(rename = "AskDemand")]
    GetDemand,
    /// Demand seen at a daemon.
    Demands {
        /// By model.
        demands: Vec<Demand>,
    },
    /// Asks for the loads of upstreams that a daemon has seen itself.
    #[serde(rename = "AskLoads")]
    GetLoads,
    /// Loads of upstreams.
    Loads {
        /// By upstream.
        loads: Vec<Load>,
    },
    /// Asks a daemon to drain and end, as SIGTERM does.
    Drain,
    /// The daemon drains.
    Draining {
        /// Requests in flight.
        in_flight: u64,
    },
    /// The answerer cannot serve the message.
    Refused {
        /// Why, as a full sentence.
        reason: String,
    },
}

/// Demand for one model at one daemon.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: Name,
    /// Requests a second that arrived, smoothed.
    pub rate: f64,
    /// Share of them that met their targets, smoothed.
    pub attainment: f64,
    /// Requests that wait now.
    pub waiting: u32,
}

/// Load of one upstream.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Load {
    /// The upstream.
    pub upstream: Name,
    /// Age of the report at the sender.
    pub age: Span,
    /// Requests that run there.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
}
