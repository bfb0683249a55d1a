//! Adapters: which replica holds which, and which are used by requests of this host.

use super::replica::State;
use super::{Criteria, Table};
use crate::message::{AdapterUse, replica_hash};
use platform::replica::Entry;
use unit::{Name, Time};

/// Most adapter uses kept between two reports; without a leader nothing drains them.
const MAX_USES: usize = 256;

impl Table {
    /// Records the adapter that a request uses, for the next report to the leader.
    pub(super) fn record_adapter_use(&mut self, replica: &Name, criteria: &Criteria) {
        let (Some(model), Some(adapter)) = (&criteria.ask.model, &criteria.ask.adapter) else {
            return;
        };
        if self.adapter_uses.len() < MAX_USES {
            self.adapter_uses.insert(AdapterUse {
                replica: replica_hash(replica),
                model: model.clone(),
                adapter: adapter.clone(),
            });
        }
    }

    /// Adapters used by requests of this host since the last call.
    pub fn take_adapter_uses(&mut self) -> Vec<AdapterUse> {
        self.adapter_uses.drain().collect()
    }

    /// Sets a replica's adapters, as model and adapter, from the leader's digest.
    pub fn set_adapters(&mut self, replica: &Name, adapters: Vec<(Name, Name)>, now: Time) {
        if self.view.get(replica).is_some() {
            let state = self.replica_mut(replica);
            state.adapters = adapters;
            state.adapters_at = now;
        }
    }

    /// Adds an adapter to those that a replica holds.
    pub fn add_adapter(&mut self, replica: &Name, model: &Name, adapter: &Name) {
        if self.view.get(replica).is_some() {
            let state = self.replica_mut(replica);
            let key = (model.clone(), adapter.clone());
            if !state.adapters.contains(&key) {
                state.adapters.push(key);
            }
        }
    }

    /// Removes an adapter from a replica that refused a request for it.
    pub fn remove_adapter(&mut self, replica: &str, model: &Name, adapter: &Name) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.adapters.retain(|(m, a)| m != model || a != adapter);
        }
    }

    /// Whether a replica holds an adapter: by the leader's digest while that is recent, else by its entry.
    pub(super) fn holds_adapter(
        &self,
        entry: &Entry,
        model: &Name,
        adapter: &Name,
        now: Time,
    ) -> bool {
        let state = self.replicas.get(&entry.id);
        let is_reported = |s: &State| s.adapters.iter().any(|(m, a)| m == model && a == adapter);
        if let Some(state) = state.filter(|s| now.since(s.adapters_at) < self.max_digest_age()) {
            return is_reported(state);
        }
        let in_entry = entry
            .resident
            .iter()
            .any(|h| h.model == *model && h.adapters.contains(adapter));
        in_entry || state.is_some_and(is_reported)
    }
}
