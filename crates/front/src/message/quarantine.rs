//! Messages about requests that crash replicas.

use route::quarantine::{Cause, Incident, IncidentId, Report, Window};
use serde::{Deserialize, Serialize};
use unit::{Name, Span, Time};

/// Crash of a replica, as observed by a host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Identity of the host's incident, the same in each report of it.
    pub incident: u64,
    pub replica: Name,
    /// Incarnation of the replica that the host knew.
    pub incarnation: Option<u64>,
    /// Time since the newest of the interrupted connections was opened, in milliseconds.
    pub opened_ms: u32,
    /// Time since the first of them was seen interrupted, in milliseconds.
    pub broke_ms: u32,
    /// Whether the crash is known only by the end of the incarnation.
    pub is_replaced: bool,
    /// Requests of the host that were in flight on the replica, and segments of their prompts.
    pub in_flight: Vec<Cause>,
    /// Those that ran on trial.
    pub on_trial: Vec<Cause>,
    /// Positions in `in_flight` of those with which requests have succeeded at the host before.
    pub succeeded: Vec<u8>,
}

impl CrashReport {
    /// Report of an incident, with its ages at `now`.
    pub fn new(incident: Incident, now: Time) -> CrashReport {
        let age_ms = |at| u32::try_from(now.since(at).0 / 1_000).unwrap_or(u32::MAX);
        let (replica, incarnation) = incident.instance;
        let in_flight = incident.in_flight.iter().zip(0..=u8::MAX);
        let succeeded = in_flight.filter(|(cause, _)| incident.succeeded.contains(cause));
        CrashReport {
            succeeded: succeeded.map(|(_, position)| position).collect(),
            incident: incident.id.0,
            replica,
            incarnation,
            opened_ms: age_ms(incident.window.opened_at),
            broke_ms: age_ms(incident.window.broke_at),
            is_replaced: incident.is_replaced,
            in_flight: incident.in_flight,
            on_trial: incident.on_trial,
        }
    }

    /// The report in times of the receiver's clock, where it arrived at `now`.
    pub fn received(self, now: Time) -> Report {
        let at = |age_ms| now - Span::from_ms(u64::from(age_ms));
        let positions = self.succeeded.iter();
        let succeeded = positions.filter_map(|position| self.in_flight.get(usize::from(*position)));
        Report {
            succeeded: succeeded.copied().collect(),
            id: IncidentId(self.incident),
            instance: (self.replica, self.incarnation),
            window: Window {
                opened_at: at(self.opened_ms),
                broke_at: at(self.broke_ms),
            },
            is_replaced: self.is_replaced,
            in_flight: self.in_flight,
            on_trial: self.on_trial,
        }
    }
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

/// Suspected and quarantined causes of crashes, sent by the leader.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineList {
    /// Fencing token of the leader's term.
    pub term: u64,
    /// Version of the list within the term, incremented on change.
    pub number: u32,
    pub entries: Vec<QuarantineEntry>,
}

/// Suspected or quarantined causes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineEntry {
    /// One, or several that only together are quarantined.
    pub causes: Vec<Cause>,
    /// Whether requests that hold all causes are quarantined; otherwise they are suspected.
    pub is_quarantined: bool,
    /// Time since the first crash that counts against them, in milliseconds; a success after that crash clears them.
    pub since_ms: u32,
}
