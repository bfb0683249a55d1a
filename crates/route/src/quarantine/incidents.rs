//! Groups interrupted requests by replica and detects whether the replica crashed.
//!
//! An interrupted response alone proves little: a connection may have been reset, or the replica may have failed single
//! requests. It counts as a crash if the replica then refuses connections or has restarted. All interruptions at one
//! incarnation belong to the same crash.

use super::Crash;
use std::collections::HashMap;
use unit::{Fingerprint, Name, Span, Time, rendezvous};

/// Time for which an unconfirmed incident is kept; a crashed replica restarts within seconds.
const UNCONFIRMED_RETENTION: Span = Span::from_secs(10);

/// Time for which a crash is reported to each new leader.
const CONFIRMED_RETENTION: Span = Span::from_secs(60);

/// Number of times that a crash is reported to the same leader, since datagrams may be lost.
const MAX_REPORTS: u32 = 3;

/// Maximum number of incidents kept.
const MAX_INCIDENTS: usize = 256;

/// Maximum number of requests kept per incident.
const MAX_IN_FLIGHT: usize = 128;

/// Instance of a replica: its identity and, if known, its incarnation.
pub type Instance = (Name, Option<u64>);

/// Requests interrupted at one replica instance.
#[derive(Debug, Clone)]
pub struct Incident {
    /// Identity of the crash, if it is confirmed.
    pub crash: Crash,
    /// Interrupted requests.
    pub in_flight: Vec<Fingerprint>,
    /// Time of the first interruption.
    pub at: Time,
    /// When the crash was confirmed, if it is.
    confirmed_at: Option<Time>,
    /// Whether only a probe of the replica can confirm it.
    needs_probe: bool,
    /// Term of the leader that the crash was last reported to, and the number of reports.
    reported: (u64, u32),
}

/// Incidents by replica instance.
#[derive(Debug, Default)]
pub struct Incidents {
    incidents: HashMap<Instance, Incident>,
}

impl Incidents {
    /// Records a request that was sent at `sent_at` and interrupted; returns the instance if it is the first there, so
    /// that the replica should be probed.
    ///
    /// A replica that is back before its new entry is known runs requests under an incarnation whose crash is
    /// confirmed. What is sent after that belongs to another crash, which gets an identity of its own.
    pub fn record_failure(
        &mut self,
        instance: &Instance,
        fingerprint: Fingerprint,
        sent_at: Time,
        now: Time,
    ) -> Option<Instance> {
        self.expire(now);
        let current = self.instance_at(instance, sent_at);
        if self.incidents.len() >= MAX_INCIDENTS && !self.incidents.contains_key(&current) {
            return None;
        }
        let is_first = !self.incidents.contains_key(&current);
        let incident = self.incidents.entry(current.clone()).or_insert(Incident {
            crash: identity(&current),
            in_flight: Vec::new(),
            at: now,
            confirmed_at: None,
            needs_probe: current != *instance,
            reported: (0, 0),
        });
        if incident.in_flight.len() < MAX_IN_FLIGHT && !incident.in_flight.contains(&fingerprint) {
            incident.in_flight.push(fingerprint);
            // Earlier reports lack this request.
            incident.reported = (0, 0);
        }
        is_first.then_some(current)
    }

    /// Instance that a request sent at a time ran at: the given one, or one after its confirmed crashes.
    fn instance_at(&self, instance: &Instance, sent_at: Time) -> Instance {
        let crashed_before = |instance: &Instance| {
            let incident = self.incidents.get(instance);
            incident.is_some_and(|i| i.confirmed_at.is_some_and(|at| at < sent_at))
        };
        let mut current = instance.clone();
        while crashed_before(&current) {
            current.1 = Some(current.1.unwrap_or(0).wrapping_add(1));
        }
        current
    }

    /// Confirms that the instance crashed; returns the incident unless it was already confirmed.
    pub fn confirm_crash(&mut self, instance: &Instance, now: Time) -> Option<Incident> {
        let incident = self
            .incidents
            .get_mut(instance)
            .filter(|incident| incident.confirmed_at.is_none())?;
        incident.confirmed_at = Some(now);
        Some(incident.clone())
    }

    /// Confirms the crashes of all former instances of a replica, given the present one, and returns their incidents.
    pub fn confirm_replaced(
        &mut self,
        replica: &str,
        present: Option<&Instance>,
        now: Time,
    ) -> Vec<Incident> {
        let former = self.incidents.iter().filter(|(instance, incident)| {
            *instance.0 == *replica && Some(*instance) != present && !incident.needs_probe
        });
        let former: Vec<Instance> = former.map(|(instance, _)| instance.clone()).collect();
        former
            .iter()
            .filter_map(|instance| self.confirm_crash(instance, now))
            .collect()
    }

    /// Crashes that are to be reported to the leader of the given term.
    pub fn due_reports(&mut self, term: u64, now: Time) -> Vec<Incident> {
        self.expire(now);
        let mut due = Vec::new();
        for incident in self
            .incidents
            .values_mut()
            .filter(|incident| incident.confirmed_at.is_some())
        {
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

    /// Whether there are any recent incidents, confirmed or not.
    pub fn has_recent(&self) -> bool {
        !self.incidents.is_empty()
    }

    fn expire(&mut self, now: Time) {
        self.incidents.retain(|_, incident| {
            let retention = if incident.confirmed_at.is_some() {
                CONFIRMED_RETENTION
            } else {
                UNCONFIRMED_RETENTION
            };
            now.since(incident.at) < retention
        });
    }
}

/// Identity of the crash of an instance, equal on all hosts.
fn identity((replica, instance): &Instance) -> Crash {
    Crash(rendezvous::weight(instance.unwrap_or(0), replica))
}
