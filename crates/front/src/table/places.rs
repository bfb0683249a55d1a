//! Places of a service's replicas, for the host that gives them out.

use super::Table;
use crate::message::replica_hash;
use std::collections::BTreeSet;
use unit::{Name, Time};

/// Places of one replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Places {
    /// Hash of the replica's id.
    pub key: u32,
    pub slots: u32,
    /// Whether requests may be sent to it: it is not leaving, asked for no backoff and can be reached.
    pub is_serving: bool,
    /// Requests that it may turn away within a second, if it is brittle.
    pub tolerance: Option<u32>,
    /// Requests in flight of all hosts, as far as known.
    pub in_flight: u32,
}

impl Table {
    /// Services whose places one host gives out.
    pub fn dispatched_services(&self, now: Time) -> Vec<Name> {
        let services: BTreeSet<&Name> = self.view.all().map(|r| &r.entry.service).collect();
        let is_dispatched = |s: &&Name| self.is_dispatched(s) || self.is_brittle_service(s, now);
        let dispatched = services.into_iter().filter(is_dispatched);
        dispatched.cloned().collect()
    }

    /// Whether one host gives out the places of a service. Those of services that run models are not given out.
    pub fn is_dispatched(&self, service: &Name) -> bool {
        let configuration = self.service(service);
        configuration.is_some_and(|s| s.engine.is_none()) && self.features(service).dispatch
    }

    /// Places of the replicas of a service.
    pub fn places(&self, service: &str, now: Time) -> Vec<Places> {
        let source = self.load_source(now);
        let replicas = self.view.all().filter(|r| *r.entry.service == *service);
        let places = replicas.map(|replica| {
            let id = &replica.entry.id;
            let state = self.replicas.get(id);
            let load = state.map(|s| s.total_load(now, source)).unwrap_or_default();
            let is_serving = self.unavailable(id, now).is_none() && !self.is_unreachable(id, now);
            Places {
                key: replica_hash(id),
                slots: replica.entry.slots,
                tolerance: self.tolerance(id, now),
                is_serving,
                in_flight: load.requests as u32,
            }
        });
        places.collect()
    }
}
