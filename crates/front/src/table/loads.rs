//! Sums that are exchanged with other hosts: what is in flight here, and what is elsewhere.

use super::Table;
use crate::message::{Demand, Load, PackedLoad, replica_hash};
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Time after which what this host told the leader is in the sums that come from there: the way
/// there, the leader's pause, and the way back.
const UNDER_WAY: Span = Span::from_ms(60);

impl Table {
    /// Demand seen here.
    pub fn demand(&mut self, now: Time) -> Vec<Demand> {
        self.demand.rows(now)
    }

    /// What this host has in flight.
    pub fn own_loads(&self) -> Vec<PackedLoad> {
        let busy = self.replicas.iter().filter(|(_, s)| s.mine.requests > 0.0);
        busy.map(|(id, s)| PackedLoad::new(id, &s.mine)).collect()
    }

    /// Short names of replicas that this host found unreachable lately.
    pub fn unreachable_replicas(&self, now: Time) -> Vec<u32> {
        let absent = self
            .replicas
            .iter()
            .filter(|(_, s)| s.absence.is_suspected(now));
        absent.map(|(id, _)| replica_hash(id)).collect()
    }

    /// What this host has in flight, remembered as told.
    pub fn report_own_loads(&mut self, now: Time) -> Vec<PackedLoad> {
        let set_aside = now.since(self.told_before_at) >= UNDER_WAY;
        if set_aside {
            self.told_before_at = now;
        }
        for state in self.replicas.values_mut() {
            if set_aside {
                state.told_before = state.told;
            }
            state.told = state.mine;
        }
        self.own_loads()
    }

    /// Takes in the sums of all hosts.
    pub fn set_fleet_loads(&mut self, rows: &[PackedLoad], now: Time) {
        for (id, load) in self.named(rows) {
            let state = self.replicas.entry(id).or_default();
            // Whether the sums hold what was told last is not known; to count some of this host's own
            // requests twice for a moment is better than to miss them.
            let own = state.told.min(&state.told_before);
            state.others = load.saturating_sub(&own);
            state.others_at = now;
        }
    }

    /// Takes in what another host has in flight, as it tells itself.
    pub fn set_host_loads(&mut self, host: &Name, rows: &[PackedLoad], now: Time) {
        self.direct_at = now;
        for state in self.replicas.values_mut() {
            state.hosts.remove(host);
        }
        for (id, load) in self.named(rows) {
            let state = self.replicas.entry(id).or_default();
            state.hosts.insert(host.clone(), (load, now));
        }
    }

    /// Rows of replicas that are known, with their identities.
    fn named(&self, rows: &[PackedLoad]) -> Vec<(Name, Load)> {
        let rows: HashMap<u32, &PackedLoad> = rows.iter().map(|r| (r.replica(), r)).collect();
        let ids = self.view.all().map(|s| &s.entry.id);
        ids.filter_map(|id| {
            rows.get(&replica_hash(id))
                .map(|row| (id.clone(), row.load()))
        })
        .collect()
    }
}
