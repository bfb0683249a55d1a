//! Free memory and adapter slots of a replica.

use super::{Job, Record};
use platform::config::Engine;
use platform::replica::Operation;
use unit::Name;

impl Record {
    /// Whether the replica has the memory or the adapter slot that an order needs.
    pub fn fits(&self, job: &Job, engine: &Engine) -> bool {
        if job.operation == Operation::Unload {
            return true;
        }
        match &job.adapter {
            Some(adapter) => {
                let is_held = self.holds_adapter(&job.model, adapter);
                let late_loads = self
                    .unanswered_before
                    .jobs()
                    .filter(|job| job.adapter.is_some())
                    .count();
                is_held || self.adapters().len() + late_loads < engine.adapters as usize
            }
            None => {
                let model = engine.models.iter().find(|m| m.name == job.model);
                model.is_some_and(|m| m.memory_mb <= self.free_mb(engine))
            }
        }
    }

    /// Free memory in MB, after the reserve for as many adapters as the replica may hold.
    pub fn free_mb(&self, engine: &Engine) -> f64 {
        let largest = engine
            .models
            .iter()
            .map(|m| m.adapter_mb)
            .fold(0.0, f64::max);
        let size = |name: &Name| {
            let model = engine.models.iter().find(|m| m.name == *name);
            // The size of a model that the configuration no longer names is unknown: assume all
            // memory.
            model.map_or(engine.memory_mb, |m| m.memory_mb)
        };
        let held: f64 = self.held.iter().map(|h| size(&h.model)).sum();
        let loading = self.pending.iter().map(|p| &p.job);
        let loading = loading
            .chain(&self.queue)
            .chain(self.unanswered_before.jobs())
            .filter(|j| j.operation == Operation::Load && j.adapter.is_none())
            .filter(|j| !self.held.iter().any(|h| h.model == j.model));
        let incoming: f64 = loading.map(|j| size(&j.model)).sum();
        engine.memory_mb - held - incoming - largest * f64::from(engine.adapters)
    }
}
