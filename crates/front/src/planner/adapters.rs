//! Places for the adapters that hosts want.

use super::{Fleet, Planner, entries, taken};
use crate::fleet::{Job, Record};
use crate::message::{AdapterPlacement, AdapterRequest, Load, Message};
use platform::config::Engine;
use platform::replica::{Entry, Operation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use tracing::info;
use unit::{Name, Span, Time};

/// Time after its last use before which an adapter is not given up.
const ADAPTER_KEPT: Span = Span::from_ms(1_500);

/// Cost of giving up an adapter for another, as a share of a replica's places.
const GIVE_UP: f64 = 0.5;

/// Time after one more copy of an adapter before another is added: hosts hear of it in that time.
const SPREAD_PAUSE: Span = Span::from_ms(300);

/// Share of its places by which a replica must have less to do than the holders of an adapter for
/// one more copy to be loaded there.
const LIGHTER: f64 = 0.2;

/// Where an adapter is already.
enum Place {
    /// A replica holds it.
    Held(Name),
    /// It is to be ordered.
    Queued,
}

impl Planner {
    /// Finds places for the adapters that hosts want.
    pub(super) fn place_adapters(self: &Arc<Self>) {
        let now = self.state.now();
        let loads = self.peers.inbox.loads(now);
        for want in self.peers.inbox.take_adapter_requests() {
            if let Some(id) = self.place_adapter(&want, &loads, now) {
                self.drive(id);
            }
        }
    }

    /// Queues the orders for one adapter; gives the replica that gets them.
    fn place_adapter(
        self: &Arc<Self>,
        want: &AdapterRequest,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<Name> {
        let (engine, entries) = self.staying(&want.service)?;
        let mut book = self.fleet.lock();
        if want.additional {
            let id = book.beside(&entries, want, &engine, loads, now)?;
            book.queue_adapter(&id, want, &engine);
            return Some(id);
        }
        match book.find(&entries, &want.model, &want.adapter) {
            Some(Place::Held(id)) => {
                let known = book.records.get_mut(&id)?;
                known.touch_adapter(&want.model, &want.adapter, now);
                let (model, adapter) = (want.model.clone(), want.adapter.clone());
                self.tell_placed(model, adapter, id, Duration::ZERO);
                return None;
            }
            Some(Place::Queued) => return None,
            None => {}
        }
        let (id, _) = book.cheapest(&entries, &want.model, &engine, loads, now)?;
        book.queue_adapter(&id, want, &engine);
        Some(id)
    }

    /// Engine of a service and the entries of its replicas that do not leave.
    pub(super) fn staying(&self, service: &Name) -> Option<(Engine, Vec<Entry>)> {
        let table = self.state.table.lock();
        let mut entries = entries(&table, service);
        let routes = table.routes.clone()?;
        drop(table);
        entries.retain(|e| !e.leaving);
        let engine = routes.service(service)?.engine.clone()?;
        Some((engine, entries))
    }

    /// Tells all hosts, after a while, that a replica holds an adapter.
    pub(super) fn tell_placed(
        self: &Arc<Self>,
        model: Name,
        adapter: Name,
        replica: Name,
        after: Duration,
    ) {
        let placed = AdapterPlacement {
            model,
            adapter,
            replica: Some(replica),
        };
        let planner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            planner
                .peers
                .broadcast(&Message::AdapterPlacement(placed))
                .await;
        });
    }
}

impl Fleet {
    /// Where an adapter is already: at the first replica that holds it or has it queued.
    fn find(&self, entries: &[Entry], model: &Name, adapter: &Name) -> Option<Place> {
        entries.iter().find_map(|entry| {
            let known = self.records.get(&entry.id)?;
            if known.holds_adapter(model, adapter) {
                return Some(Place::Held(entry.id.clone()));
            }
            let queues = known.has_queued_adapter(model, adapter);
            queues.then_some(Place::Queued)
        })
    }

    /// Queues the load of an adapter at a replica; the one used longest ago makes room.
    fn queue_adapter(&mut self, id: &Name, want: &AdapterRequest, engine: &Engine) {
        let Some(known) = self.records.get_mut(id) else {
            return;
        };
        if known.adapters_expected() >= engine.adapters as usize
            && let Some(((model, adapter), _)) = known.least_recent_adapter()
        {
            known
                .queue
                .push_back(job(Operation::Unload, &model, &adapter));
        }
        known
            .queue
            .push_back(job(Operation::Load, &want.model, &want.adapter));
    }

    /// The replica for one more copy of an adapter, if one has clearly less to do than its holders.
    fn beside(
        &mut self,
        entries: &[Entry],
        want: &AdapterRequest,
        engine: &Engine,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<Name> {
        let key = (want.model.clone(), want.adapter.clone());
        self.last_spread
            .retain(|_, at| now.since(*at) < SPREAD_PAUSE);
        if self.last_spread.contains_key(&key) {
            return None;
        }
        let (holders, others): (Vec<Entry>, Vec<Entry>) = entries
            .iter()
            .cloned()
            .partition(|e| self.has(&e.id, &want.model, &want.adapter));
        let taken = holders.iter().map(|e| taken(e, loads));
        let least = taken.fold(f64::INFINITY, f64::min);
        let (id, cost) = self.cheapest(&others, &want.model, engine, loads, now)?;
        if cost > least - LIGHTER {
            return None;
        }
        self.last_spread.insert(key, now);
        info!(target: "planner", event = "spread", model = &*want.model, adapter = &*want.adapter, replica = &*id, holders = holders.len(), least_taken = least, cost, "one more copy of an adapter");
        Some(id)
    }

    /// Whether a replica holds an adapter or has it queued.
    fn has(&self, id: &Name, model: &Name, adapter: &Name) -> bool {
        let has =
            |k: &Record| k.holds_adapter(model, adapter) || k.has_queued_adapter(model, adapter);
        self.records.get(id).is_some_and(has)
    }

    /// The replica at which one more adapter of a model costs least, and that cost.
    fn cheapest(
        &self,
        entries: &[Entry],
        model: &Name,
        engine: &Engine,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<(Name, f64)> {
        let mut best: Option<(f64, &Name)> = None;
        for entry in entries {
            let Some(known) = self.records.get(&entry.id).filter(|k| may_take(k, model)) else {
                continue;
            };
            let full = known.adapters_expected() >= engine.adapters as usize;
            if full && !may_give_up(known, now) {
                continue;
            }
            let cost = taken(entry, loads) + f64::from(u8::from(full)) * GIVE_UP;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, &entry.id));
            }
        }
        best.map(|(cost, id)| (id.clone(), cost))
    }
}

/// Whether a replica holds a model, and goes on holding it, so that an adapter of it may come.
fn may_take(known: &Record, model: &Name) -> bool {
    let holds = known.held.iter().any(|h| h.model == *model);
    let closes = known.will_unload(model);
    let pending = known.pending.as_ref();
    let unloading = pending.is_some_and(|p| p.job.operation == Operation::Unload);
    holds && !closes && !unloading
}

/// Whether a replica has an adapter that was not used for a while.
fn may_give_up(known: &Record, now: Time) -> bool {
    let oldest = known.least_recent_adapter();
    oldest.is_some_and(|(_, at)| now.since(at) >= ADAPTER_KEPT)
}

/// Order about an adapter; it takes effect at once.
pub(super) fn job(operation: Operation, model: &Name, adapter: &Name) -> Job {
    Job {
        operation,
        model: model.clone(),
        adapter: Some(adapter.clone()),
        from_store: false,
        duration: Span::ZERO,
    }
}
