//! Placement of adapters that hosts request.

use super::{Fleet, Planner, entries, utilization};
use crate::fleet::{Job, Record};
use crate::message::{AdapterPlacement, AdapterRequest, Message, replica_hash};
use platform::config::Engine;
use platform::replica::{Entry, Operation};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;
use unit::{Name, Span, Time};

/// Minimum time since an adapter's last use before it may be evicted.
const MIN_IDLE: Span = Span::from_ms(1_500);

/// Cost of evicting an adapter, as a fraction of a replica's slots.
const EVICTION_COST: f64 = 0.5;

/// Minimum interval between additional copies of an adapter, in which hosts learn of the last one.
const SPREAD_INTERVAL: Span = Span::from_ms(300);

/// Minimum difference in utilization between an adapter's holders and another replica for an
/// additional copy to be loaded there.
const MIN_UTILIZATION_GAP: f64 = 0.2;

/// Where an adapter already is.
enum Location {
    Held(Name),
    /// Its load is queued.
    Queued,
}

/// Replica that holds a model.
struct Holder {
    id: Name,
    /// Version of its software.
    software: Name,
    /// Fraction of its slots in use.
    utilization: f64,
}

impl Planner {
    /// Places the adapters that hosts request.
    pub(super) fn place_adapters(self: &Arc<Self>) {
        let now = self.state.now();
        let mut by_model: HashMap<(Name, Name), Vec<(AdapterRequest, SocketAddr)>> = HashMap::new();
        for (request, from) in self.peers.inbox.take_adapter_requests() {
            let key = (request.service.clone(), request.model.clone());
            by_model.entry(key).or_default().push((request, from));
        }
        if by_model.is_empty() {
            return;
        }
        let routes = self.state.table.lock().routes.clone();
        let mut holders = self.holders(by_model.keys());
        for ((service, model), requests) in by_model {
            let holders = holders
                .remove(&(service.clone(), model))
                .unwrap_or_default();
            let service = routes.as_ref().and_then(|r| r.service(&service));
            let Some(engine) = service.and_then(|s| s.engine.as_ref()) else {
                continue;
            };
            for (request, from) in requests {
                let software = request.software.as_ref();
                let fits = |h: &&Holder| {
                    software.is_none_or(|s| *s == h.software)
                        && !request.excluded.contains(&replica_hash(&h.id))
                };
                let holders: Vec<&Holder> = holders.iter().filter(fits).collect();
                if let Some(id) = self.place_adapter(&request, from, &holders, engine, now) {
                    self.dispatch(id);
                }
            }
        }
    }

    /// Replicas that hold each of these models, by service and model, and are not leaving. One pass over all replicas
    /// serves all requests that arrived together.
    fn holders<'a>(
        &self,
        models: impl Iterator<Item = &'a (Name, Name)>,
    ) -> HashMap<(Name, Name), Vec<Holder>> {
        let mut holders: HashMap<(Name, Name), Vec<Holder>> =
            models.map(|key| (key.clone(), Vec::new())).collect();
        let loads = self.peers.inbox.loads(self.state.now());
        let table = self.state.table.lock();
        let fleet = self.fleet.lock();
        for replica in table.view.all().filter(|r| !r.entry.leaving) {
            let Some(record) = fleet.records.get(&replica.entry.id) else {
                continue;
            };
            for resident in &record.resident {
                let key = (replica.entry.service.clone(), resident.model.clone());
                if let Some(holders) = holders.get_mut(&key) {
                    holders.push(Holder {
                        id: replica.entry.id.clone(),
                        software: replica.entry.software.clone(),
                        utilization: utilization(&replica.entry, &loads),
                    });
                }
            }
        }
        holders
    }

    /// Queues the orders for one adapter, and returns the replica that they are for.
    fn place_adapter(
        self: &Arc<Self>,
        request: &AdapterRequest,
        from: SocketAddr,
        holders: &[&Holder],
        engine: &Engine,
        now: Time,
    ) -> Option<Name> {
        let mut fleet = self.fleet.lock();
        if request.additional {
            let id = fleet.additional_replica(holders, request, engine, now)?;
            fleet.queue_adapter(&id, request, engine);
            return Some(id);
        }
        match fleet.locate(holders, &request.model, &request.adapter) {
            Some(Location::Held(id)) => {
                let record = fleet.records.get_mut(&id)?;
                record.touch_adapter(&request.model, &request.adapter, now);
                self.answer_placed(request, id, from);
                return None;
            }
            Some(Location::Queued) => return None,
            None => {}
        }
        let (id, _) = fleet.cheapest(holders.iter().copied(), &request.model, engine, now)?;
        fleet.queue_adapter(&id, request, engine);
        Some(id)
    }

    /// Tells the host that requested an adapter which replica holds it.
    fn answer_placed(self: &Arc<Self>, request: &AdapterRequest, replica: Name, to: SocketAddr) {
        let placement = Message::AdapterPlacement(AdapterPlacement {
            model: request.model.clone(),
            adapter: request.adapter.clone(),
            replica: Some(replica),
        });
        self.answer(placement, to);
    }

    /// Engine of a service, and the entries of its replicas that are not leaving.
    pub(super) fn active_replicas(&self, service: &Name) -> Option<(Engine, Vec<Entry>)> {
        let table = self.state.table.lock();
        let mut entries = entries(&table, service);
        let routes = table.routes.clone()?;
        drop(table);
        entries.retain(|e| !e.leaving);
        let engine = routes.service(service)?.engine.clone()?;
        Some((engine, entries))
    }

    /// Tells all hosts, after a delay, that a replica holds an adapter.
    pub(super) fn announce_placed(
        self: &Arc<Self>,
        model: Name,
        adapter: Name,
        replica: Name,
        delay: Duration,
    ) {
        let placement = AdapterPlacement {
            model,
            adapter,
            replica: Some(replica),
        };
        let planner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(delay).await;
            planner
                .peers
                .broadcast(&Message::AdapterPlacement(placement))
                .await;
        });
    }
}

impl Fleet {
    /// First replica that holds an adapter or has it queued.
    fn locate(&self, holders: &[&Holder], model: &Name, adapter: &Name) -> Option<Location> {
        holders.iter().find_map(|holder| {
            let record = self.records.get(&holder.id)?;
            if record.holds_adapter(model, adapter) {
                return Some(Location::Held(holder.id.clone()));
            }
            let is_queued = record.has_queued_adapter(model, adapter);
            is_queued.then_some(Location::Queued)
        })
    }

    /// Queues the load of an adapter, and the eviction of the least recently used one if all slots
    /// are taken.
    fn queue_adapter(&mut self, id: &Name, request: &AdapterRequest, engine: &Engine) {
        let Some(record) = self.records.get_mut(id) else {
            return;
        };
        if record.adapters_expected() >= engine.adapter_slots as usize
            && let Some(((model, adapter), _)) = record.least_recent_adapter()
        {
            record
                .queue
                .push_back(job(Operation::Unload, &model, &adapter));
        }
        record
            .queue
            .push_back(job(Operation::Load, &request.model, &request.adapter));
    }

    /// Replica for an additional copy of an adapter, if one is clearly less utilized than its
    /// holders.
    fn additional_replica(
        &mut self,
        replicas: &[&Holder],
        request: &AdapterRequest,
        engine: &Engine,
        now: Time,
    ) -> Option<Name> {
        let key = (request.model.clone(), request.adapter.clone());
        self.last_spread
            .retain(|_, at| now.since(*at) < SPREAD_INTERVAL);
        if self.last_spread.contains_key(&key) {
            return None;
        }
        let (holders, others): (Vec<&Holder>, Vec<&Holder>) = replicas
            .iter()
            .copied()
            .partition(|r| self.holds_or_queues(&r.id, &request.model, &request.adapter));
        let utilizations = holders.iter().map(|h| h.utilization);
        let lowest = utilizations.fold(f64::INFINITY, f64::min);
        let (id, cost) = self.cheapest(others.into_iter(), &request.model, engine, now)?;
        if cost > lowest - MIN_UTILIZATION_GAP {
            return None;
        }
        self.last_spread.insert(key, now);
        info!(target: "planner", event = "spread", model = &*request.model, adapter = &*request.adapter, replica = &*id, holders = holders.len(), least_taken = lowest, cost, "loading an additional copy of an adapter");
        Some(id)
    }

    fn holds_or_queues(&self, id: &Name, model: &Name, adapter: &Name) -> bool {
        let matches =
            |r: &Record| r.holds_adapter(model, adapter) || r.has_queued_adapter(model, adapter);
        self.records.get(id).is_some_and(matches)
    }

    /// Replica with the lowest cost for another adapter of a model, and that cost.
    fn cheapest<'a>(
        &self,
        replicas: impl Iterator<Item = &'a Holder>,
        model: &Name,
        engine: &Engine,
        now: Time,
    ) -> Option<(Name, f64)> {
        let mut best: Option<(f64, &Name)> = None;
        for replica in replicas {
            let Some(record) = self
                .records
                .get(&replica.id)
                .filter(|r| can_load_adapter(r, model))
            else {
                continue;
            };
            let is_full = record.adapters_expected() >= engine.adapter_slots as usize;
            if is_full && !can_evict(record, now) {
                continue;
            }
            let cost = replica.utilization + f64::from(u8::from(is_full)) * EVICTION_COST;
            if best.is_none_or(|(lowest, _)| cost < lowest) {
                best = Some((cost, &replica.id));
            }
        }
        best.map(|(cost, id)| (id.clone(), cost))
    }
}

/// Whether a replica holds a model and is not about to unload it.
fn can_load_adapter(record: &Record, model: &Name) -> bool {
    let holds = record.resident.iter().any(|h| h.model == *model);
    let will_unload = record.will_unload(model);
    let pending = record.pending.as_ref();
    let is_unloading = pending.is_some_and(|p| p.job.operation == Operation::Unload);
    holds && !will_unload && !is_unloading
}

/// Whether a replica has an adapter that has been unused long enough.
fn can_evict(record: &Record, now: Time) -> bool {
    let candidate = record.least_recent_adapter();
    candidate.is_some_and(|(_, at)| now.since(at) >= MIN_IDLE)
}

/// Order about an adapter, which takes effect immediately.
pub(super) fn job(operation: Operation, model: &Name, adapter: &Name) -> Job {
    Job {
        operation,
        model: model.clone(),
        adapter: Some(adapter.clone()),
        from_store: false,
        duration: Span::ZERO,
    }
}
