//! Versions of software that the replicas of each service run, or ran lately.

use super::Table;
use route::streams::RETENTION;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Longest time between two looks at the replicas in which no version can come and go unseen.
const MAX_GAP: Span = Span::from_ms(2_000);

/// Versions of each service, and when each was last seen.
#[derive(Debug, Default)]
pub(super) struct Versions {
    seen: HashMap<Name, HashMap<Name, Time>>,
    /// Since when no version can have come and gone unseen.
    complete_since: Time,
    looked_at: Time,
}

impl Table {
    /// Records the versions that replicas run now; called often enough to see each version.
    pub fn record_software(&mut self, now: Time) {
        let is_blind = self.view.contact.is_unreachable() || self.view.all().next().is_none();
        let versions = &mut self.versions;
        if is_blind || now.since(versions.looked_at) > MAX_GAP {
            versions.complete_since = now;
        }
        versions.looked_at = now;
        for replica in self.view.all() {
            let entry = &replica.entry;
            let seen = versions.seen.get_mut(&entry.service);
            match seen.and_then(|seen| seen.get_mut(&entry.software)) {
                Some(at) => *at = now,
                None => {
                    let seen = versions.seen.entry(entry.service.clone()).or_default();
                    seen.insert(entry.software.clone(), now);
                }
            }
        }
        versions.seen.retain(|_, seen| {
            seen.retain(|_, at| now.since(*at) < RETENTION);
            !seen.is_empty()
        });
    }

    /// Whether replicas of a service run several versions, or did lately.
    pub fn runs_several_versions(&self, service: &str) -> bool {
        let seen = self.versions.seen.get(service);
        seen.is_some_and(|seen| seen.len() > 1)
    }

    /// Version that all replicas of a service run, and did for as long as a stream may have been running.
    pub fn sole_software(&self, service: &str, now: Time) -> Option<Name> {
        let versions = &self.versions;
        let is_complete = now.since(versions.complete_since) >= RETENTION
            && now.since(versions.looked_at) <= MAX_GAP
            && !self.view.contact.is_unreachable();
        let mut seen = versions.seen.get(service)?.keys();
        let sole = seen.next().filter(|_| is_complete)?;
        seen.next().is_none().then(|| sole.clone())
    }
}
