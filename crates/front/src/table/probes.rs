//! Probes of replicas: of those that refused this host a connection, and on the leader of those that
//! other hosts cannot reach.

use super::Table;
use rand::seq::IteratorRandom;
use std::collections::HashMap;
use std::net::SocketAddr;
use unit::{Name, Span, Time};

/// Replicas that hosts report as unreachable, by hash, and since when.
pub(super) type Reported = HashMap<u32, Time>;

impl Table {
    /// Starts up to `max` probes that are due, each of which ends within `limit`; returns the replicas and their
    /// addresses.
    pub fn start_probes(&mut self, max: usize, limit: Span, now: Time) -> Vec<(Name, SocketAddr)> {
        let replicas = &self.replicas;
        let reachability = |id: &Name| replicas.get(id).map(|state| &state.reachability);
        self.to_probe
            .retain(|id| reachability(id).is_some_and(|r| r.needs_probe(now)));
        let is_due = |id: &&Name| reachability(id).is_some_and(|r| r.is_probe_due(now));
        let due = self.to_probe.iter().filter(is_due);
        let due = due.filter_map(|id| Some((id.clone(), self.view.get(id)?.entry.addr)));
        let due: Vec<_> = due.take(max).collect();
        for (id, _) in &due {
            self.replica_mut(id).reachability.record_probe(limit, now);
        }
        due
    }

    /// Draws up to `count` replicas at random.
    pub fn draw_replicas(&mut self, count: usize) -> Vec<(Name, SocketAddr)> {
        let all = self.view.all().map(|r| (r.entry.id.clone(), r.entry.addr));
        all.sample(&mut self.rng, count)
    }

    /// Records whether a probe opened a connection to a replica.
    pub fn record_probe(&mut self, replica: &Name, is_open: bool, now: Time) {
        let reachability = &mut self.replica_mut(replica).reachability;
        match is_open {
            true => reachability.record_connected(now),
            false => {
                reachability.record_refused(now);
                self.to_probe.insert(replica.clone());
            }
        }
    }

    /// Of the replicas that several hosts report as unreachable, those that this host has not reached since; it
    /// verifies them by probes. A fault between some hosts and a replica must not take it from all others, which may
    /// have no requests there at the moment that show it.
    pub fn confirm_unreachable(&mut self, mut reported: Vec<u32>, now: Time) -> Vec<u32> {
        self.reported_unreachable
            .retain(|hash, _| reported.contains(hash));
        reported.retain(|hash| {
            let since = *self.reported_unreachable.entry(*hash).or_insert(now);
            let Some(id) = self.view.id_of_hash(*hash).cloned() else {
                return true;
            };
            let reachability = &mut self.replica_mut(&id).reachability;
            reachability.verify(since, now);
            let is_verified = reachability.is_verified(since, now);
            self.to_probe.insert(id);
            !is_verified
        });
        reported
    }
}
