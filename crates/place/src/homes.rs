//! Home halls of each model, which keep it available.
//!
//! A home of a model never unloads its last replica there. A hall joins once the model is ready in it,
//! and leaves only while another home remains. Both are compare-and-swap writes of one value, so two
//! halls cannot leave at the same time in reliance on each other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::{Bytes, Name, rendezvous};

/// Homes of each model, as stored in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// Home halls by model.
    pub halls: BTreeMap<Name, BTreeSet<Name>>,
    /// Planner and number of the last write; identifies a write whose answer was lost.
    pub writer: Name,
}

/// Hall with its accelerator memory by the host list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hall {
    /// Its name.
    pub name: Name,
    /// Total memory of its upstreams that are not leaving.
    pub memory: Bytes,
}

/// Replicas that a model must have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    /// Name of the model.
    pub model: Name,
    /// Memory of one replica with its adapters.
    pub memory: Bytes,
    /// Minimum number of replicas in the whole fleet.
    pub min_replicas: u32,
}

/// Share of a hall's memory for minimum replicas, in percent; the rest is left to demand.
const FLOOR_PERCENT: u64 = 85;

impl Homes {
    /// Whether a hall is a home of a model.
    pub fn is_home(&self, model: &str, hall: &str) -> bool {
        self.halls
            .get(model)
            .is_some_and(|halls| halls.contains(hall))
    }

    /// Whether a model has any home.
    pub fn has_home(&self, model: &str) -> bool {
        self.halls.get(model).is_some_and(|halls| !halls.is_empty())
    }

    /// Adds a hall to the homes of a model; returns whether it was not one already.
    pub fn join(&mut self, model: &Name, hall: &Name) -> bool {
        self.halls
            .entry(model.clone())
            .or_default()
            .insert(hall.clone())
    }

    /// Removes a hall from the homes of a model unless it is the last one; returns whether it was removed.
    pub fn leave(&mut self, model: &str, hall: &str) -> bool {
        let Some(halls) = self.halls.get_mut(model) else {
            return false;
        };
        halls.len() > 1 && halls.remove(hall)
    }
}

/// Assigns each model to halls, one for each of its minimum replicas. Planners with the same host list get the
/// same result.
///
/// The largest models come first. Each replica goes to the next hall with enough memory in the model's
/// rendezvous order.
pub fn assign(models: &[Requirement], halls: &[Hall]) -> BTreeMap<Name, Vec<Name>> {
    let mut remaining: BTreeMap<&Name, u64> = halls
        .iter()
        .map(|h| (&h.name, h.memory.0 / 100 * FLOOR_PERCENT))
        .collect();
    let names: Vec<Name> = halls.iter().map(|h| h.name.clone()).collect();
    let mut ordered: Vec<&Requirement> = models.iter().collect();
    ordered.sort_by(|a, b| b.memory.cmp(&a.memory).then(a.model.cmp(&b.model)));
    let mut assigned: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    for round in 0..halls.len() {
        for requirement in &ordered {
            if round >= requirement.min_replicas as usize {
                continue;
            }
            let chosen = assigned.entry(requirement.model.clone()).or_default();
            let key = rendezvous::hash(requirement.model.as_bytes());
            let ranked = rendezvous::top(key, &names, names.len());
            let candidates = ranked.into_iter().filter(|hall| !chosen.contains(hall));
            let candidates: Vec<&Name> = candidates.collect();
            let with_room = candidates
                .iter()
                .find(|hall| remaining[**hall] >= requirement.memory.0);
            // A model that fits nowhere still gets one hall: the one with the most memory left.
            let least_full = candidates
                .iter()
                .max_by_key(|hall| remaining[**hall])
                .filter(|_| round == 0);
            if let Some(hall) = with_room.or(least_full) {
                let remaining = remaining.get_mut(*hall).expect("ranked halls are known");
                *remaining = remaining.saturating_sub(requirement.memory.0);
                chosen.push((*hall).clone());
            }
        }
    }
    assigned
}
