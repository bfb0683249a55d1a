//! Adapters that are fetched before they are asked for, into places that are free.

use super::adapters::job;
use super::{Fleet, Planner};
use crate::fleet::Record;
use place::adapters::{self, Replica};
use platform::config::Engine;
use platform::replica::Operation;
use unit::Name;

/// Adapters fetched ahead in one plan; the store's links are shared by all fetches.
const MAX_PREFETCHES: usize = 8;

impl Planner {
    /// Queues the fetches of adapters that are on no replica, those of models in demand first.
    pub(super) fn prefetch_adapters(&self, service: &Name, engine: &Engine) {
        let Some((_, entries)) = self.active_replicas(service) else {
            return;
        };
        let mut book = self.fleet.lock();
        let replicas: Vec<Replica> = entries
            .iter()
            .map(|e| {
                book.records
                    .get(&e.id)
                    .map_or_else(Replica::default, |k| adapter_slots(k, engine))
            })
            .collect();
        let counts: Vec<u32> = engine.models.iter().map(|m| m.adapters).collect();
        let order = by_demand(&book, service, engine);
        for (replica, model, number) in adapters::plan(&replicas, &counts, &order, MAX_PREFETCHES) {
            let model = &engine.models[model];
            if let Some(known) = book.records.get_mut(&entries[replica].id) {
                let load = job(Operation::Load, &model.name, &model.adapter(number));
                known.queue.push_back(load);
            }
        }
    }
}

/// Models that have adapters, those in demand first.
fn by_demand(book: &Fleet, service: &Name, engine: &Engine) -> Vec<usize> {
    let demand = |m: &usize| {
        let key = (service.clone(), engine.models[*m].name.clone());
        book.demand.get(&key).map_or(0.0, |d| d.current + d.recent)
    };
    let mut order: Vec<usize> = (0..engine.models.len())
        .filter(|m| engine.models[*m].adapters > 0)
        .collect();
    order.sort_by(|a, b| demand(b).total_cmp(&demand(a)));
    order
}

/// A replica's places for adapters; none while it is about to change what it holds.
fn adapter_slots(known: &Record, engine: &Engine) -> Replica {
    let index = |name: &Name| engine.models.iter().position(|m| m.name == *name);
    let held = known.adapters().into_iter().filter_map(|(model, adapter)| {
        let at = index(&model)?;
        Some((at, engine.models[at].adapter_number(&adapter)?))
    });
    Replica {
        models: known.held.iter().filter_map(|h| index(&h.model)).collect(),
        free_slots: (engine.adapters as usize).saturating_sub(known.adapters_expected()),
        adapters: held.collect(),
        accepts_orders: known.accepts_orders(),
    }
}
