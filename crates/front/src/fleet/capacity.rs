//! Room at a replica, by what is believed of it.

use super::{Job, Record};
use platform::config::Engine;
use platform::replica::Operation;
use unit::Name;

impl Record {
    /// Whether there is room for what an order loads, by what is believed now.
    pub fn fits(&self, job: &Job, engine: &Engine) -> bool {
        if job.operation == Operation::Unload {
            return true;
        }
        match &job.adapter {
            Some(adapter) => {
                let there = self.holds_adapter(&job.model, adapter);
                let strays = self
                    .unanswered_before
                    .jobs()
                    .filter(|job| job.adapter.is_some())
                    .count();
                there || self.adapters().len() + strays < engine.adapters as usize
            }
            None => {
                let model = engine.models.iter().find(|m| m.name == job.model);
                model.is_some_and(|m| m.memory_mb <= self.free_mb(engine))
            }
        }
    }

    /// Memory that nothing takes, in MB, with room kept for all adapters it may hold.
    pub fn free_mb(&self, engine: &Engine) -> f64 {
        let largest = engine
            .models
            .iter()
            .map(|m| m.adapter_mb)
            .fold(0.0, f64::max);
        let size = |name: &Name| {
            let model = engine.models.iter().find(|m| m.name == *name);
            // A model that the configuration no longer names takes an unknown room: all of it.
            model.map_or(engine.memory_mb, |m| m.memory_mb)
        };
        let held: f64 = self.held.iter().map(|h| size(&h.model)).sum();
        let loading = self.pending.iter().map(|p| &p.job);
        let loading = loading
            .chain(&self.queue)
            .chain(self.unanswered_before.jobs())
            .filter(|j| j.operation == Operation::Load && j.adapter.is_none())
            .filter(|j| !self.held.iter().any(|h| h.model == j.model));
        let coming: f64 = loading.map(|j| size(&j.model)).sum();
        engine.memory_mb - held - coming - largest * f64::from(engine.adapters)
    }
}
