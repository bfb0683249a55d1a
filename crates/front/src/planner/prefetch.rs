//! Loading of adapters into free slots before they are requested, and further copies of busy ones.

use super::adapters::job;
use super::service::{Indices, indices};
use super::{Fleet, Planner};
use crate::fleet::Record;
use place::adapters::{self, Replica};
use platform::config::Engine;
use platform::replica::Operation;
use std::collections::HashMap;
use unit::{Name, Span, Time};

/// Limit on prefetches per plan: all of them share the store's links.
const MAX_PREFETCHES: usize = 8;

/// Time constant over which uses of an adapter are summed.
const USES_PERIOD: Span = Span::from_secs(4);

/// Recent uses below which an adapter is forgotten.
const MIN_USES: f64 = 0.1;

impl Planner {
    /// Queues loads of adapters that no replica holds, for models in demand first, then of further copies of busy
    /// adapters where the service calls for early copies.
    pub(super) fn prefetch_adapters(&self, service: &Name, engine: &Engine) {
        let Some((_, entries)) = self.active_replicas(service) else {
            return;
        };
        let indices = indices(engine);
        let early_copies = self.has_early_copies(service);
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
        let mut fetches = adapters::plan(&replicas, &counts, &order, MAX_PREFETCHES);
        if fetches.is_empty() && early_copies {
            let uses = fleet.adapter_uses.of_engine(engine, self.state.now());
            fetches = adapters::spread(&replicas, &uses, MAX_PREFETCHES);
        }
        for (replica, model, number) in fetches {
            let model = &engine.models[model];
            if let Some(record) = fleet.records.get_mut(&entries[replica].id) {
                let load = job(Operation::Load, &model.name, &model.adapter_name(number));
                record.queue.push_back(load);
            }
        }
    }
}

/// Uses of adapters that hosts reported, decaying.
#[derive(Default)]
pub(super) struct Uses(HashMap<(Name, Name), (f64, Time)>);

impl Uses {
    pub(super) fn record(&mut self, model: &Name, adapter: &Name, now: Time) {
        let key = (model.clone(), adapter.clone());
        let entry = self.0.entry(key).or_insert((0.0, now));
        *entry = (decayed(*entry, now) + 1.0, now);
    }

    /// Recent uses of each adapter of an engine's models, by model index and adapter number. Forgets adapters that
    /// are no longer used.
    fn of_engine(&mut self, engine: &Engine, now: Time) -> Vec<((usize, u32), f64)> {
        self.0.retain(|_, entry| decayed(*entry, now) > MIN_USES);
        let indices = indices(engine);
        let of = |((model, adapter), entry): (&(Name, Name), &(f64, Time))| {
            let index = *indices.get(&**model)?;
            let number = engine.models[index].adapter_number(adapter)?;
            Some(((index, number), decayed(*entry, now)))
        };
        self.0.iter().filter_map(of).collect()
    }
}

fn decayed((uses, at): (f64, Time), now: Time) -> f64 {
    uses * (-now.since(at).secs() / USES_PERIOD.secs()).exp()
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
