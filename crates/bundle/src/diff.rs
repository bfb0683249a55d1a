//! What a change of bundle means: what is added, removed and changed, and the loads it asks for.

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
    /// Name of what differs.
    pub name: Name,
    /// What happens to it, as a full sentence.
    pub text: String,
}

/// Meaning of a change of bundle.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Diff {
    /// Differences by kind and name.
    pub changes: Vec<Change>,
    /// Replicas that must be loaded at least.
    pub loads: u32,
    /// Replicas that may be unloaded at least.
    pub unloads: u32,
    /// Memory that the floors need more than before (old versions stay until the new are ready).
    pub memory_added: Bytes,
    /// Memory that the floors need less than before, once settled.
    pub memory_freed: Bytes,
}

/// Compares two bundles by meaning.
pub fn diff(old: &Intent, new: &Intent) -> Diff {
    let mut diff = Diff::default();
    compare_models(old, new, &mut diff);
    compare(&mut diff, "adapter", &old.adapters, &new.adapters);
    compare(&mut diff, "class", &old.classes, &new.classes);
    compare(&mut diff, "caller", &old.callers, &new.callers);
    compare(&mut diff, "service", &old.services, &new.services);
    whole(&mut diff, "weights", &old.weights, &new.weights);
    whole(&mut diff, "limits", &old.limits, &new.limits);
    whole(&mut diff, "upstreams", &old.upstreams, &new.upstreams);
    whole(&mut diff, "revoked", &old.revoked, &new.revoked);
    diff
}

fn compare_models(old: &Intent, new: &Intent, diff: &mut Diff) {
    for (name, model) in &new.models {
        let cost = Bytes(model.memory.0 * u64::from(model.least));
        let before = old.models.get(name);
        let replaced = before.is_none_or(|b| b.version != model.version);
        if replaced {
            diff.loads += model.least;
            diff.memory_added += cost;
        }
        match before {
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
                "is served no more: its replicas will be unloaded.".into(),
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
            Some(before) if before != value => {
                diff.note(kind, name, format!("changes from {before:?} to {value:?}."))
            }
            Some(_) => {}
        }
    }
    for name in old.keys().filter(|name| !new.contains_key(*name)) {
        diff.note(kind, name, "is gone.".into());
    }
}

fn whole<T: PartialEq + Debug>(diff: &mut Diff, kind: &str, old: &T, new: &T) {
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
