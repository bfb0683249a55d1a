//! Groups interrupted requests by replica and detects whether the replica crashed.
//!
//! An interrupted response alone proves little: a connection may have been reset, or the replica may have failed single
//! requests. It counts as a crash if the replica then refuses connections or has restarted. Interruptions that are seen
//! together at one incarnation belong to one incident.

use super::Cause;
use super::crashes::{IncidentId, Window};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time for which an unconfirmed incident is kept; a crashed replica restarts within seconds.
const UNCONFIRMED_RETENTION: Span = Span::from_secs(10);

/// Time for which a crash is reported to each new leader.
pub(super) const CONFIRMED_RETENTION: Span = Span::from_secs(60);

/// Number of times that a crash is reported to the same leader, since datagrams may be lost.
const MAX_REPORTS: u32 = 3;

/// Maximum number of incidents kept.
const MAX_INCIDENTS: usize = 256;

/// Maximum number of possible causes kept per incident, so that a report fits into one datagram.
const MAX_IN_FLIGHT: usize = 96;

/// Time after the first interruption of an incident in which others join it: a process that ends closes all of its
/// connections at once.
const JOIN_WITHIN: Span = Span::from_ms(500);

/// Instance of a replica: its identity and, if known, its incarnation as the store tells it.
pub type Instance = (Name, Option<u64>);

/// Request whose answer broke off.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Interruption {
    /// What may have caused the crash: the request itself, and segments of its prompt.
    pub causes: Vec<Cause>,
    /// Those of them with which requests have succeeded here before.
    pub succeeded: Vec<Cause>,
    /// When the connection that it was sent over was opened.
    pub connected_at: Time,
    /// Whether it ran on trial and its answer had not begun, so that a crash is attributed to the trial.
    pub on_trial: bool,
}

/// Requests interrupted together at one replica instance.
#[derive(Debug, Clone)]
pub struct Incident {
    pub id: IncidentId,
    pub instance: Instance,
    /// Time in which the replica crashed, if it did.
    pub window: Window,
    /// Number of interrupted requests.
    pub requests: usize,
    /// What may have caused the crash.
    pub in_flight: Vec<Cause>,
    /// Those that ran on trial.
    pub on_trial: Vec<Cause>,
    /// Those with which requests have succeeded here before.
    pub succeeded: Vec<Cause>,
    /// Whether the crash is known only by the end of the instance.
    pub is_replaced: bool,
    is_confirmed: bool,
    /// Whether only a probe of the replica can confirm it: the instance had crashed before, so that a new entry may
    /// describe the very process that interrupted the requests.
    pub needs_probe: bool,
    /// Term of the leader that the crash was last reported to, and the number of reports.
    reported: (u64, u32),
}

impl Incident {
    fn add(&mut self, interruption: Interruption) {
        self.window.opened_at = self.window.opened_at.max(interruption.connected_at);
        self.requests += 1;
        for cause in interruption.causes {
            add_bounded(&mut self.in_flight, cause);
            if interruption.on_trial {
                add_bounded(&mut self.on_trial, cause);
            }
        }
        for cause in interruption.succeeded {
            add_bounded(&mut self.succeeded, cause);
        }
        // Earlier reports lack this request.
        self.reported = (0, 0);
    }
}

/// Adds a cause that is not known yet, as long as there is room.
fn add_bounded(causes: &mut Vec<Cause>, cause: Cause) {
    if causes.len() < MAX_IN_FLIGHT && !causes.contains(&cause) {
        causes.push(cause);
    }
}

/// Recent incidents by replica instance, oldest first.
#[derive(Debug, Default)]
pub struct Incidents {
    incidents: HashMap<Instance, Vec<Incident>>,
}

impl Incidents {
    /// Records an interruption that is seen now; returns the incident if it is the first of one, so that
    /// the replica should be probed.
    pub fn record_interruption(
        &mut self,
        instance: &Instance,
        interruption: Interruption,
        now: Time,
    ) -> Option<Incident> {
        self.expire(now);
        let count: usize = self.incidents.values().map(Vec::len).sum();
        let known = self.incidents.entry(instance.clone()).or_default();
        let joined = known.iter_mut().rev().find(|incident| {
            interruption.connected_at <= incident.window.broke_at
                && now.since(incident.window.broke_at) <= JOIN_WITHIN
        });
        if let Some(incident) = joined {
            incident.add(interruption);
            return None;
        }
        if count >= MAX_INCIDENTS {
            return None;
        }
        let mut incident = Incident {
            id: IncidentId(rand::random()),
            instance: instance.clone(),
            window: Window {
                opened_at: interruption.connected_at,
                broke_at: now,
            },
            requests: 0,
            in_flight: Vec::new(),
            on_trial: Vec::new(),
            succeeded: Vec::new(),
            is_replaced: false,
            is_confirmed: false,
            needs_probe: known
                .iter()
                .any(|i| i.is_confirmed && i.window.broke_at < interruption.connected_at),
            reported: (0, 0),
        };
        incident.add(interruption);
        known.push(incident.clone());
        Some(incident)
    }

    /// Confirms that an incident was a crash; returns it unless it was already confirmed.
    pub fn confirm_crash(&mut self, instance: &Instance, id: IncidentId) -> Option<Incident> {
        let known = self.incidents.get_mut(instance)?;
        let incident = known
            .iter_mut()
            .find(|incident| incident.id == id && !incident.is_confirmed)?;
        incident.is_confirmed = true;
        Some(incident.clone())
    }

    /// Confirms the crashes of all former instances of a replica, given the present one, and returns their incidents.
    ///
    /// The process of an instance ended once, and any of its incidents may be due to that: they are reported as one
    /// crash, unless a probe has confirmed which one it was.
    pub fn confirm_replaced(&mut self, replica: &str, present: Option<&Instance>) -> Vec<Incident> {
        let mut confirmed = Vec::new();
        for (instance, incidents) in &mut self.incidents {
            if *instance.0 != *replica || Some(instance) == present {
                continue;
            }
            let is_known = incidents.iter().any(|incident| incident.is_confirmed);
            let is_open = |incident: &Incident| !incident.needs_probe && !incident.is_confirmed;
            if is_known {
                incidents.retain(|incident| !is_open(incident));
                continue;
            }
            for incident in incidents.iter_mut().filter(|incident| is_open(incident)) {
                incident.is_confirmed = true;
                incident.is_replaced = true;
                confirmed.push(incident.clone());
            }
        }
        confirmed
    }

    /// Crashes that are to be reported to the leader of the given term.
    pub fn due_reports(&mut self, term: u64, now: Time) -> Vec<Incident> {
        self.expire(now);
        let mut due = Vec::new();
        let all = self.incidents.values_mut().flatten();
        for incident in all.filter(|incident| incident.is_confirmed) {
            if incident.reported.0 != term {
                incident.reported = (term, 0);
            }
            if incident.reported.1 < MAX_REPORTS {
                incident.reported.1 += 1;
                due.push(incident.clone());
            }
        }
        due
    }

    fn expire(&mut self, now: Time) {
        self.incidents.retain(|_, incidents| {
            incidents.retain(|incident| {
                let retention = if incident.is_confirmed {
                    CONFIRMED_RETENTION
                } else {
                    UNCONFIRMED_RETENTION
                };
                now.since(incident.window.broke_at) < retention
            });
            !incidents.is_empty()
        });
    }
}
