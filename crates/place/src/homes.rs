//! Which halls keep each model reachable.
//!
//! A hall that is a home of a model never unloads its last replica. Only the
//! hall itself joins (once it holds the model ready) and leaves (while another
//! home remains), each by compare-and-swap on one value, so that two halls can
//! never each rely on the other.

use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use unit::{Bytes, Name, rendezvous};

/// Homes of each model, as they stand in the key-value service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Homes {
    /// Halls by model.
    pub halls: BTreeMap<Name, BTreeSet<Name>>,
    /// Planner that wrote it, with a number of this write: the nonce of a lost answer.
    pub writer: Name,
}

/// Hall with the accelerator memory that the host list gives it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Hall {
    /// Its name.
    pub name: Name,
    /// Memory of its upstreams that are not leaving.
    pub memory: Bytes,
}

/// Model that must be kept reachable.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Requirement {
    /// Its name.
    pub model: Name,
    /// Memory of one replica, with its adapters.
    pub memory: Bytes,
    /// Replicas in the whole fleet.
    pub min_replicas: u32,
}

/// Share of a hall's memory given to floors, in percent; the rest follows demand.
const FLOOR_PERCENT: u64 = 85;

impl Homes {
    /// Whether a hall is a home of a model.
    pub fn is_home(&self, model: &str, hall: &str) -> bool {
        self.halls
            .get(model)
            .is_some_and(|halls| halls.contains(hall))
    }

    /// Whether a model has a home at all.
    pub fn has_home(&self, model: &str) -> bool {
        self.halls.get(model).is_some_and(|halls| !halls.is_empty())
    }

    /// A hall joins the homes of a model.
    pub fn join(&mut self, model: &Name, hall: &Name) -> bool {
        self.halls
            .entry(model.clone())
            .or_default()
            .insert(hall.clone())
    }

    /// A hall leaves the homes of a model, while another remains.
    pub fn leave(&mut self, model: &str, hall: &str) -> bool {
        let Some(halls) = self.halls.get_mut(model) else {
            return false;
        };
        halls.len() > 1 && halls.remove(hall)
    }
}

/// Halls that should hold each model: the same at every planner with the same host list.
///
/// The largest models choose first; each goes to the first hall of its own
/// order that has room, each further replica to the next.
pub fn assign(models: &[Requirement], halls: &[Hall]) -> BTreeMap<Name, Vec<Name>> {
    let mut left: BTreeMap<&Name, u64> = halls
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
            let open = ranked.into_iter().filter(|hall| !chosen.contains(hall));
            let open: Vec<&Name> = open.collect();
            let roomy = open
                .iter()
                .find(|hall| left[**hall] >= requirement.memory.0);
            // Every model has one hall at least, and be it the least full one.
            let least_full = open
                .iter()
                .max_by_key(|hall| left[**hall])
                .filter(|_| round == 0);
            if let Some(hall) = roomy.or(least_full) {
                let left = left.get_mut(*hall).expect("ranked halls are known");
                *left = left.saturating_sub(requirement.memory.0);
                chosen.push((*hall).clone());
            }
        }
    }
    assigned
}
