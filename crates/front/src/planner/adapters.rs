//! Places for the adapters that hosts want.

use super::{Book, Planner, entries, taken};
use crate::message::{Load, Message, Placed, Want};
use crate::orders::{Job, Known};
use platform::config::Engine;
use platform::replica::{Entry, Operation};
use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use unit::{Name, Span, Time};

/// Time after its last use before which an adapter is not given up.
const ADAPTER_KEPT: Span = Span::from_ms(1_500);

/// Cost of giving up an adapter for another, as a share of a replica's places.
const GIVE_UP: f64 = 0.5;

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
        let loads = self.peers.loads(now);
        for want in self.peers.inbox.wants() {
            if let Some(id) = self.place_adapter(&want, &loads, now) {
                self.drive(id);
            }
        }
    }

    /// Queues the orders for one adapter; gives the replica that gets them.
    fn place_adapter(
        self: &Arc<Self>,
        want: &Want,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<Name> {
        let (engine, entries) = self.staying(&want.service)?;
        let mut book = self.book.lock();
        match book.find(&entries, &want.model, &want.adapter) {
            Some(Place::Held(id)) => {
                let known = book.known.get_mut(&id)?;
                known.use_adapter(&want.model, &want.adapter, now);
                let (model, adapter) = (want.model.clone(), want.adapter.clone());
                self.tell_placed(model, adapter, id, Duration::ZERO);
                return None;
            }
            Some(Place::Queued) => return None,
            None => {}
        }
        let id = book.cheapest(&entries, &want.model, &engine, loads, now)?;
        let known = book.known.get_mut(&id)?;
        if known.adapters_due() >= engine.adapters as usize {
            let ((model, adapter), _) = known.oldest_adapter()?;
            let unload = job(Operation::Unload, &model, &adapter);
            known.queue.push_back(unload);
        }
        let load = job(Operation::Load, &want.model, &want.adapter);
        known.queue.push_back(load);
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
        let placed = Placed {
            model,
            adapter,
            replica: Some(replica),
        };
        let planner = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(after).await;
            planner.peers.send_all(&Message::Placed(placed)).await;
        });
    }
}

impl Book {
    /// Where an adapter is already: at the first replica that holds it or has it queued.
    fn find(&self, entries: &[Entry], model: &Name, adapter: &Name) -> Option<Place> {
        let queued = |j: &Job| j.model == *model && j.adapter.as_ref() == Some(adapter);
        let held = |k: &Known| k.adapters().iter().any(|(m, a)| m == model && a == adapter);
        entries.iter().find_map(|entry| {
            let known = self.known.get(&entry.id)?;
            if held(known) {
                return Some(Place::Held(entry.id.clone()));
            }
            known.queue.iter().any(queued).then_some(Place::Queued)
        })
    }

    /// The replica at which one more adapter of a model costs least.
    fn cheapest(
        &self,
        entries: &[Entry],
        model: &Name,
        engine: &Engine,
        loads: &HashMap<u32, Load>,
        now: Time,
    ) -> Option<Name> {
        let mut best: Option<(f64, &Name)> = None;
        for entry in entries {
            let Some(known) = self.known.get(&entry.id).filter(|k| may_take(k, model)) else {
                continue;
            };
            let full = known.adapters_due() >= engine.adapters as usize;
            if full && !may_give_up(known, now) {
                continue;
            }
            let cost = taken(entry, loads) + f64::from(u8::from(full)) * GIVE_UP;
            if best.is_none_or(|(least, _)| cost < least) {
                best = Some((cost, &entry.id));
            }
        }
        best.map(|(_, id)| id.clone())
    }
}

/// Whether a replica holds a model, and goes on holding it, so that an adapter of it may come.
fn may_take(known: &Known, model: &Name) -> bool {
    let holds = known.held.iter().any(|h| h.model == *model);
    let closes = known.closing.as_ref().is_some_and(|(m, _)| m == model);
    let pending = known.pending.as_ref();
    let unloading = pending.is_some_and(|p| p.job.operation == Operation::Unload);
    holds && !closes && !unloading
}

/// Whether a replica has an adapter that was not used for a while.
fn may_give_up(known: &Known, now: Time) -> bool {
    let oldest = known.oldest_adapter();
    oldest.is_some_and(|(_, at)| now.since(at) >= ADAPTER_KEPT)
}

/// Order about an adapter; it takes effect at once.
pub(super) fn job(operation: Operation, model: &Name, adapter: &Name) -> Job {
    Job {
        operation,
        model: model.clone(),
        adapter: Some(adapter.clone()),
        from_store: false,
        takes: Span::ZERO,
    }
}
