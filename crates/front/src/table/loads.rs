//! Loads exchanged with other hosts: what this host has in flight, and what the others have.

use super::Table;
use crate::message::{Demand, Load, PackedLoad, replica_hash};
use unit::{Name, Span, Time};

/// Time within which a report of this host is included in the leader's digest: the way there, the
/// leader's interval and the way back.
const REPORT_LATENCY: Span = Span::from_ms(60);

/// What the load of a replica is taken from, besides the requests of this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadSource {
    /// Loads that other hosts sent directly.
    Direct,
    /// The leader's digest.
    Digest,
    /// Nothing: neither is recent.
    Own,
}

impl Table {
    /// Demand at this host.
    pub fn demand(&mut self, now: Time) -> Vec<Demand> {
        self.demand.rows(now)
    }

    /// Requests that this host has in flight, sorted by replica.
    pub fn own_loads(&self) -> Vec<PackedLoad> {
        let busy = self.replicas.iter().filter(|(_, s)| s.own.requests > 0.0);
        let mut rows: Vec<PackedLoad> = busy.map(|(id, s)| PackedLoad::new(id, &s.own)).collect();
        rows.sort_unstable_by_key(PackedLoad::replica);
        rows
    }

    /// Hashes of replicas that this host recently found unreachable.
    pub fn unreachable_replicas(&self, now: Time) -> Vec<u32> {
        let unreachable = self
            .replicas
            .iter()
            .filter(|(_, s)| s.reachability.is_suspected(now));
        unreachable.map(|(id, _)| replica_hash(id)).collect()
    }

    /// Requests that this host has in flight, remembered as reported to the leader.
    pub fn report_own_loads(&mut self, now: Time) -> Vec<PackedLoad> {
        let is_rotating = now.since(self.rotated_at) >= REPORT_LATENCY;
        if is_rotating {
            self.rotated_at = now;
        }
        for state in self.replicas.values_mut() {
            if is_rotating {
                state.reported_before = state.reported;
            }
            state.reported = state.own;
        }
        self.own_loads()
    }

    /// Sets the load of other hosts from the digest, which includes that of this one. Loads that it does not list
    /// have not changed.
    pub fn set_fleet_loads(&mut self, rows: &[PackedLoad], now: Time) {
        self.digest_at = now;
        let source = self.load_source(now);
        for (id, load) in self.resolve(rows) {
            let state = self.replicas.entry(id).or_default();
            // The digest may include either of the last two reports: subtracting the smaller one
            // counts some of this host's requests twice for a moment, which is better than missing
            // them.
            let own = state.reported.min(&state.reported_before);
            state.fleet = load.saturating_sub(&own);
            state.observe(now, source);
        }
    }

    /// Sets what another host has in flight, as it sent it directly.
    pub fn set_host_loads(&mut self, host: &Name, rows: &[PackedLoad], now: Time) {
        self.direct_at = now;
        for state in self.replicas.values_mut() {
            state.by_host.remove(host);
        }
        for (id, load) in self.resolve(rows) {
            let state = self.replicas.entry(id).or_default();
            state.by_host.insert(host.clone(), (load, now));
        }
        for state in self.replicas.values_mut() {
            state.observe(now, LoadSource::Direct);
        }
    }

    /// Loads of the replicas known here, by identity.
    fn resolve(&self, rows: &[PackedLoad]) -> Vec<(Name, Load)> {
        let known = |row: &PackedLoad| {
            let id = self.view.id_of_hash(row.replica())?;
            Some((id.clone(), row.load()))
        };
        rows.iter().filter_map(known).collect()
    }

    /// What is known of the loads of other hosts. Loads that they send directly are newer than the leader's digest.
    pub(super) fn load_source(&self, now: Time) -> LoadSource {
        match () {
            () if self.has_direct_loads(now) => LoadSource::Direct,
            () if now.since(self.digest_at) < self.max_digest_age() => LoadSource::Digest,
            () => LoadSource::Own,
        }
    }
}
