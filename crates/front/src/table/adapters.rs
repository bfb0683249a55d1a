//! Adapters: which replica holds which, by the leader's word or its entry, and which are used here.

use super::replica::State;
use super::{Criteria, SUMS_AGE, Table};
use crate::message::{AdapterUse, replica_hash};
use platform::replica::Entry;
use unit::{Name, Time};

/// Uses of adapters remembered between two tellings; while there is no leader they would add up.
const MOST_USES: usize = 256;

impl Table {
    /// Notes that a request uses an adapter, to tell the leader.
    pub(super) fn note_use(&mut self, replica: &Name, want: &Criteria) {
        let (Some(model), Some(adapter)) = (&want.ask.model, &want.ask.adapter) else {
            return;
        };
        if self.used.len() < MOST_USES {
            self.used.insert(AdapterUse {
                replica: replica_hash(replica),
                model: model.clone(),
                adapter: adapter.clone(),
            });
        }
    }

    /// Adapters that requests of this host used since the last call.
    pub fn take_adapter_uses(&mut self) -> Vec<AdapterUse> {
        self.used.drain().collect()
    }

    /// Takes in where adapters are, by the leader.
    pub fn set_adapters(&mut self, replica: &Name, adapters: Vec<(Name, Name)>, now: Time) {
        if self.view.get(replica).is_some() {
            let state = self.replica(replica);
            state.adapters = adapters;
            state.adapters_at = now;
        }
    }

    /// Notes that a replica holds an adapter.
    pub fn add_adapter(&mut self, replica: &Name, model: &Name, adapter: &Name) {
        if self.view.get(replica).is_some() {
            let state = self.replica(replica);
            let key = (model.clone(), adapter.clone());
            if !state.adapters.contains(&key) {
                state.adapters.push(key);
            }
        }
    }

    /// Notes that a replica turned a request for an adapter away: it is not there.
    pub fn remove_adapter(&mut self, replica: &str, model: &Name, adapter: &Name) {
        if let Some(state) = self.replicas.get_mut(replica) {
            state.adapters.retain(|(m, a)| m != model || a != adapter);
        }
    }
}

/// Whether a replica holds an adapter: by the leader's word while that is fresh, else by its entry.
pub(super) fn holds_adapter(
    entry: &Entry,
    state: Option<&State>,
    model: &Name,
    adapter: &Name,
    now: Time,
) -> bool {
    let told = |s: &State| s.adapters.iter().any(|(m, a)| m == model && a == adapter);
    if let Some(state) = state.filter(|s| now.since(s.adapters_at) < SUMS_AGE) {
        return told(state);
    }
    let in_entry = entry
        .held
        .iter()
        .any(|h| h.model == *model && h.adapters.contains(adapter));
    in_entry || state.is_some_and(told)
}
