//! Comparison of two bundles: additions, removals and changes, and the loads they require.

use crate::intent::Intent;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt::Debug;
use unit::{Bytes, Name};

/// One difference between two bundles.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// Kind of section, such as `model`.
    pub kind: Name,
    /// Name of the section; empty for a section without a name.
    pub name: Name,
    /// Description of the change, as a predicate of the section.
    pub text: String,
}

/// Differences between two bundles, with their effect on replicas.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diff {
    /// Changed sections.
    pub changes: Vec<Change>,
    /// Minimum number of replicas to load.
    pub loads: u32,
    /// Minimum number of replicas to unload.
    pub unloads: u32,
    /// Memory of the replicas to load. Old versions stay loaded until the new ones are ready.
    pub memory_added: Bytes,
    /// Memory of the replicas to unload.
    pub memory_freed: Bytes,
}

/// Compares the parsed content of two bundles.
pub fn diff(old: &Intent, new: &Intent) -> Diff {
    let mut diff = Diff::default();
    compare_models(old, new, &mut diff);
    compare(&mut diff, "adapter", &old.adapters, &new.adapters);
    compare(&mut diff, "class", &old.classes, &new.classes);
    compare(&mut diff, "caller", &old.callers, &new.callers);
    compare(&mut diff, "service", &old.services, &new.services);
    compare_section(&mut diff, "weights", &old.weights, &new.weights);
    compare_section(&mut diff, "limits", &old.limits, &new.limits);
    compare_section(&mut diff, "upstreams", &old.upstreams, &new.upstreams);
    compare_section(&mut diff, "revoked", &old.revoked, &new.revoked);
    diff
}

fn compare_models(old: &Intent, new: &Intent, diff: &mut Diff) {
    for (name, model) in &new.models {
        let memory = Bytes(model.memory.0 * u64::from(model.least));
        let previous = old.models.get(name);
        let replaced = previous.is_none_or(|b| b.version != model.version);
        if replaced {
            diff.loads += model.least;
            diff.memory_added += memory;
        }
        match previous {
            None => diff.note(
                "model",
                name,
                format!(
                    "is new: {} replicas of {} will be loaded.",
                    model.least, model.memory
                ),
            ),
            Some(b) if b.version != model.version => {
                diff.unloads += b.least;
                diff.memory_freed += Bytes(b.memory.0 * u64::from(b.least));
                diff.note("model", name, format!("goes from version {} to {}: the new is loaded before the old is unloaded where memory allows.", b.version, model.version));
            }
            Some(b) if b != model => {
                diff.note("model", name, format!("changes from {b:?} to {model:?}."))
            }
            Some(_) => {}
        }
    }
    for (name, model) in &old.models {
        if !new.models.contains_key(name) {
            diff.unloads += model.least;
            diff.memory_freed += Bytes(model.memory.0 * u64::from(model.least));
            diff.note(
                "model",
                name,
                "is removed: its replicas will be unloaded.".into(),
            );
        }
    }
}

fn compare<T: PartialEq + Debug>(
    diff: &mut Diff,
    kind: &str,
    old: &BTreeMap<Name, T>,
    new: &BTreeMap<Name, T>,
) {
    for (name, value) in new {
        match old.get(name) {
            None => diff.note(kind, name, "is new.".into()),
            Some(previous) if previous != value => diff.note(
                kind,
                name,
                format!("changes from {previous:?} to {value:?}."),
            ),
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        diff.note(kind, name, "is removed.".into());
    }
}

fn compare_section<T: PartialEq + Debug>(diff: &mut Diff, kind: &str, old: &T, new: &T) {
    if old != new {
        diff.note(kind, "", format!("changes from {old:?} to {new:?}."));
    }
}

impl Diff {
    fn note(&mut self, kind: &str, name: &str, text: String) {
        self.changes.push(Change {
            kind: kind.into(),
            name: name.into(),
            text,
        });
    }
}
