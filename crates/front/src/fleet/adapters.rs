//! Adapters that a replica is believed to hold, and which of them gives way.

use super::{Job, Record};
use platform::replica::Operation;
use unit::{Name, Time};

impl Record {
    /// Adapters that it holds or that are on their way to it, as model and adapter.
    pub fn adapters(&self) -> Vec<(Name, Name)> {
        let held = self.held.iter().flat_map(|h| {
            let model = h.model.clone();
            h.adapters.iter().map(move |a| (model.clone(), a.clone()))
        });
        held.collect()
    }

    /// Whether it holds an adapter, or one is on its way to it.
    pub fn holds_adapter(&self, model: &Name, adapter: &Name) -> bool {
        let mut of_model = self.held.iter().filter(|h| h.model == *model);
        of_model.any(|h| h.adapters.contains(adapter))
    }

    /// Whether an order about an adapter is to be given.
    pub fn has_queued_adapter(&self, model: &Name, adapter: &Name) -> bool {
        let about = |job: &Job| job.model == *model && job.adapter.as_ref() == Some(adapter);
        self.queue.iter().any(about)
    }

    /// Adapters that it will hold when its queue is done.
    pub fn adapters_expected(&self) -> usize {
        let mut due = self.adapters();
        for job in &self.queue {
            let Some(adapter) = &job.adapter else {
                continue;
            };
            let key = (job.model.clone(), adapter.clone());
            match job.operation {
                Operation::Load if !due.contains(&key) => due.push(key),
                Operation::Load => {}
                Operation::Unload => due.retain(|k| *k != key),
            }
        }
        due.len()
    }

    /// Notes that an adapter is used.
    pub fn touch_adapter(&mut self, model: &Name, adapter: &Name, now: Time) {
        let key = (model.clone(), adapter.clone());
        self.last_used.insert(key, now);
    }

    /// The adapter that was asked for least lately, with when; not one that is queued to go.
    pub fn least_recent_adapter(&self) -> Option<((Name, Name), Time)> {
        let going = |key: &(Name, Name)| {
            self.queue.iter().any(|job| {
                job.operation == Operation::Unload
                    && job.model == key.0
                    && job.adapter.as_ref() == Some(&key.1)
            })
        };
        let used = |key: &(Name, Name)| self.last_used.get(key).copied().unwrap_or_default();
        self.adapters()
            .into_iter()
            .filter(|key| !going(key))
            .map(|key| {
                let at = used(&key);
                (key, at)
            })
            .min_by_key(|(_, at)| *at)
    }
}
