//! What hosts and the leader tell each other of requests that end replicas.

use serde::{Deserialize, Serialize};
use unit::{Fingerprint, Span};

/// Fall of a replica, as a host saw it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the fall, alike on all hosts.
    pub crash: u64,
    /// Requests of the host that broke there.
    pub in_flight: Vec<Fingerprint>,
}

/// Leader's answer to a host that asks what may be done with a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum TrialResponse {
    /// Send it as any other.
    Free,
    /// Send it once, and tell how that ended.
    Trial,
    /// Not send it now.
    Wait,
    /// Not send it for so many seconds.
    #[serde(rename = "KeptOut")]
    Quarantined(u32),
    /// The host that was asked does not lead.
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
            Decided::Quarantined(left) => TrialResponse::Quarantined(left.secs().ceil() as u32),
        }
    }
}

impl TrialResponse {
    /// The decision; none where the host that was asked made none.
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

/// Requests that are suspected or kept out, from the leader to all.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// Number of the list in that term, which rises as it changes.
    pub number: u32,
    /// The requests.
    pub entries: Vec<QuarantineEntry>,
}

/// Request in the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// The request.
    pub fingerprint: Fingerprint,
    /// Whether it is kept out; it is suspected otherwise.
    pub is_quarantined: bool,
    /// Time since its first fall that counts, in milliseconds: a good end after that clears it.
    pub since_ms: u32,
}
