//! Adapters of a replica, and which one is evicted next.

use super::{Job, Record};
use platform::replica::Operation;
use unit::{Name, Time};

impl Record {
    /// Adapters that are loaded or being loaded, with their models.
    pub fn adapters(&self) -> Vec<(Name, Name)> {
        let held = self.held.iter().flat_map(|h| {
            let model = h.model.clone();
            h.adapters.iter().map(move |a| (model.clone(), a.clone()))
        });
        held.collect()
    }

    /// Whether an adapter is loaded or being loaded.
    pub fn holds_adapter(&self, model: &Name, adapter: &Name) -> bool {
        let mut of_model = self.held.iter().filter(|h| h.model == *model);
        of_model.any(|h| h.adapters.contains(adapter))
    }

    /// Whether an order about an adapter is queued.
    pub fn has_queued_adapter(&self, model: &Name, adapter: &Name) -> bool {
        let is_about = |job: &Job| job.model == *model && job.adapter.as_ref() == Some(adapter);
        self.queue.iter().any(is_about)
    }

    /// Number of adapters once all queued orders have been executed.
    pub fn adapters_expected(&self) -> usize {
        let mut expected = self.adapters();
        for job in &self.queue {
            let Some(adapter) = &job.adapter else {
                continue;
            };
            let key = (job.model.clone(), adapter.clone());
            match job.operation {
                Operation::Load if !expected.contains(&key) => expected.push(key),
                Operation::Load => {}
                Operation::Unload => expected.retain(|k| *k != key),
            }
        }
        expected.len()
    }

    /// Records a use of an adapter.
    pub fn touch_adapter(&mut self, model: &Name, adapter: &Name, now: Time) {
        let key = (model.clone(), adapter.clone());
        self.last_used.insert(key, now);
    }

    /// Least recently used adapter that is not queued for unloading, and its last use.
    pub fn least_recent_adapter(&self) -> Option<((Name, Name), Time)> {
        let is_unloading = |key: &(Name, Name)| {
            self.queue.iter().any(|job| {
                job.operation == Operation::Unload
                    && job.model == key.0
                    && job.adapter.as_ref() == Some(&key.1)
            })
        };
        let last_used = |key: &(Name, Name)| self.last_used.get(key).copied().unwrap_or_default();
        self.adapters()
            .into_iter()
            .filter(|key| !is_unloading(key))
            .map(|key| {
                let at = last_used(&key);
                (key, at)
            })
            .min_by_key(|(_, at)| *at)
    }
}
