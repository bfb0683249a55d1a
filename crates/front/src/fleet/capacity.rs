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
                    .late_loads()
                    .filter(|late| late.adapter.is_some() && !late.is_same(job))
                    .count();
                is_held || self.adapters().len() + late_loads < engine.adapter_slots as usize
            }
            None => {
                let model = engine.models.iter().find(|m| m.name == job.model);
                // A late load of the same model takes no further memory.
                let is_reserved = self.late_loads().any(|late| late.is_same(job));
                model.is_some_and(|m| is_reserved || m.memory_mb <= self.free_mb(engine))
            }
        }
    }

    /// Loads without an answer that may still be executed beside the next order: those sent to an earlier incarnation,
    /// and those that expect more orders than the replica has accepted.
    fn late_loads(&self) -> impl Iterator<Item = &Job> {
        let of_this = self.unanswered.jobs_beyond(self.orders_accepted);
        self.unanswered_before.jobs().chain(of_this)
    }

    /// Whether an order about an adapter would change nothing. A replica answers it without counting it.
    pub fn is_redundant(&self, job: &Job) -> bool {
        let Some(adapter) = &job.adapter else {
            return false;
        };
        let is_held = self.holds_adapter(&job.model, adapter);
        is_held == (job.operation == Operation::Load)
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
        let held: f64 = self.resident.iter().map(|h| size(&h.model)).sum();
        let loading = self.pending.iter().map(|p| &p.job);
        let loading = loading
            .chain(&self.queue)
            .chain(self.late_loads())
            .filter(|j| j.operation == Operation::Load && j.adapter.is_none())
            .filter(|j| !self.resident.iter().any(|h| h.model == j.model));
        let incoming: f64 = loading.map(|j| size(&j.model)).sum();
        engine.memory_mb - held - incoming - largest * f64::from(engine.adapter_slots)
    }
}
