//! Loading of adapters into free slots before they are requested.

use super::adapters::job;
use super::service::{Indices, indices};
use super::{Fleet, Planner};
use crate::fleet::Record;
use place::adapters::{self, Replica};
use platform::config::Engine;
use platform::replica::Operation;
use unit::Name;

/// Limit on prefetches per plan: all of them share the store's links.
const MAX_PREFETCHES: usize = 8;

impl Planner {
    /// Queues loads of adapters that no replica holds, for models in demand first.
    pub(super) fn prefetch_adapters(&self, service: &Name, engine: &Engine) {
        let Some((_, entries)) = self.active_replicas(service) else {
            return;
        };
        let indices = indices(engine);
        let mut fleet = self.fleet.lock();
        let replicas: Vec<Replica> = entries
            .iter()
            .map(|e| {
                fleet
                    .records
                    .get(&e.id)
                    .map_or_else(Replica::default, |r| adapter_slots(r, engine, &indices))
            })
            .collect();
        let counts: Vec<u32> = engine.models.iter().map(|m| m.adapter_count).collect();
        let order = by_demand(&fleet, service, engine);
        for (replica, model, number) in adapters::plan(&replicas, &counts, &order, MAX_PREFETCHES) {
            let model = &engine.models[model];
            if let Some(record) = fleet.records.get_mut(&entries[replica].id) {
                let load = job(Operation::Load, &model.name, &model.adapter_name(number));
                record.queue.push_back(load);
            }
        }
    }
}

/// Models that have adapters, in descending order of demand.
fn by_demand(fleet: &Fleet, service: &Name, engine: &Engine) -> Vec<usize> {
    let demand = |m: &usize| {
        let key = (service.clone(), engine.models[*m].name.clone());
        fleet.demand.get(&key).map_or(0.0, |d| d.current + d.recent)
    };
    let mut order: Vec<usize> = (0..engine.models.len())
        .filter(|m| engine.models[*m].adapter_count > 0)
        .collect();
    order.sort_by(|a, b| demand(b).total_cmp(&demand(a)));
    order
}

/// Adapter slots of a replica, as the plan sees them.
fn adapter_slots(record: &Record, engine: &Engine, indices: &Indices) -> Replica {
    let index = |name: &Name| indices.get(&**name).copied();
    let held = record
        .adapters()
        .into_iter()
        .filter_map(|(model, adapter)| {
            let model_index = index(&model)?;
            Some((
                model_index,
                engine.models[model_index].adapter_number(&adapter)?,
            ))
        });
    Replica {
        models: record
            .resident
            .iter()
            .filter_map(|h| index(&h.model))
            .collect(),
        free_slots: (engine.adapter_slots as usize).saturating_sub(record.adapters_expected()),
        adapters: held.collect(),
        accepts_orders: record.accepts_orders(),
    }
}
