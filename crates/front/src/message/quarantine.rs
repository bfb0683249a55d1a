//! Messages about requests that crash replicas.

use serde::{Deserialize, Serialize};
use unit::{Fingerprint, Span};

/// Crash of a replica, as observed by a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Id of the crash, the same on all hosts.
    pub crash: u64,
    /// Requests of the host that were in flight on the replica.
    pub in_flight: Vec<Fingerprint>,
}

/// Leader's decision on a suspected request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialResponse {
    /// Send it like any other request.
    Free,
    /// Send it once and report the outcome.
    Trial,
    /// Do not send it now.
    Wait,
    /// Do not send it for this many seconds.
    #[serde(rename = "KeptOut")]
    Quarantined(u32),
    /// The receiver is not the leader.
    #[serde(rename = "Elsewhere")]
    NotLeader,
}

impl From<route::quarantine::Permit> for TrialResponse {
    fn from(permit: route::quarantine::Permit) -> TrialResponse {
        use route::quarantine::Permit as Decided;
        match permit {
            Decided::Free => TrialResponse::Free,
            Decided::Trial => TrialResponse::Trial,
            Decided::Wait => TrialResponse::Wait,
            Decided::Quarantined(remaining) => {
                TrialResponse::Quarantined(remaining.secs().ceil() as u32)
            }
        }
    }
}

impl TrialResponse {
    /// The decision; none if the receiver was not the leader.
    pub fn decision(self) -> Option<route::quarantine::Permit> {
        use route::quarantine::Permit as Decided;
        match self {
            TrialResponse::Free => Some(Decided::Free),
            TrialResponse::Trial => Some(Decided::Trial),
            TrialResponse::Wait => Some(Decided::Wait),
            TrialResponse::Quarantined(secs) => {
                Some(Decided::Quarantined(Span::from_secs(u64::from(secs))))
            }
            TrialResponse::NotLeader => None,
        }
    }
}

/// Suspected and quarantined requests, sent by the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// Version of the list within the term, incremented on change.
    pub number: u32,
    pub entries: Vec<QuarantineEntry>,
}

/// Suspected or quarantined request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    pub fingerprint: Fingerprint,
    /// Whether the request is quarantined; otherwise it is suspected.
    pub is_quarantined: bool,
    /// Time since the first crash that counts against it, in milliseconds; a success after that crash clears it.
    pub since_ms: u32,
}
