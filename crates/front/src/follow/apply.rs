//! Applies store data: configuration, replicas, the leader, and the quarantine list.

use crate::log::Topic;
use crate::startup::Step;
use crate::state::{self, State};
use crate::view::{Origin, Update};
use crate::{leader, quarantine, routes, streams};
use platform::names;
use platform::replica::Entry;
use platform::store::{Change, Item, Listing};
use platform::{config, replica};
use std::sync::atomic::Ordering;
use tracing::{error, info};
use unit::{Name, Span};

/// Applies a snapshot of the store.
pub(super) fn apply_snapshot(state: &State, snapshot: Listing<Item>) {
    let present: Vec<Name> = snapshot
        .items
        .iter()
        .filter(|item| item.key.starts_with(names::REPLICAS))
        .map(|item| replica::id(&item.key).into())
        .collect();
    let now = state.now();
    let contains = |key: &str| snapshot.items.iter().any(|item| &*item.key == key);
    let (has_leader, has_quarantine) = (contains(leader::KEY), contains(quarantine::KEY));
    for item in snapshot.items {
        apply_written(state, item);
    }
    let updates = {
        let mut table = state.table.lock();
        let updates = table.view.reconcile(&present, snapshot.revision, now);
        table.apply(&updates);
        updates
    };
    state.knows_replicas.store(true, Ordering::Relaxed);
    state.knows_all_replicas.store(true, Ordering::Relaxed);
    state.startup.set_step(Step::Configuration, now);
    report_updates(state, updates, snapshot.revision);
    if !has_leader {
        set_leader(state, None);
    }
    if !has_quarantine {
        quarantine::note_not_stored(state, snapshot.revision);
    }
    state.changed.notify_waiters();
}

/// Applies changes of the store.
pub(super) fn apply_changes(state: &State, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Written(item) if &*item.key == quarantine::LIFTED => {
                quarantine::apply_lifted(state, &item);
            }
            Change::Written(item) => apply_written(state, item),
            Change::Removed { key, revision } => apply_removed(state, &key, revision),
        }
    }
    state.changed.notify_waiters();
}

/// Applies a written item.
pub(super) fn apply_written(state: &State, item: Item) {
    if &*item.key == names::CONFIG {
        apply_configuration(state, &item);
    } else if item.key.starts_with(names::REPLICAS) {
        match replica::decode(&item.key, &item.value) {
            Ok(entry) => apply_entry(state, entry, item.revision),
            Err(why) => {
                state.log.rate_limited(|| {
                    error!(target: "view", event = "malformed", key = &*item.key, revision = item.revision, why = %why, "malformed replica entry; the replica gets no requests")
                });
                let id = replica::id(&item.key);
                let updates = state.table.lock().view.mark_overwritten(id, item.revision);
                report_updates(state, updates.into_iter().collect(), item.revision);
            }
        }
    } else if &*item.key == leader::KEY {
        match leader::decode(&item) {
            Ok(leader) => set_leader(state, Some(leader)),
            Err(why) => {
                error!(target: "leader", event = "malformed", why = %why, "malformed leader entry")
            }
        }
    } else if &*item.key == quarantine::KEY {
        quarantine::apply_stored(state, &item);
    }
}

/// Applies the entry of a replica. Its word that it leaves holds for the incarnation, also once the entry has gone.
fn apply_entry(state: &State, entry: Entry, revision: u64) {
    let now = state.now();
    let departure = entry.leaving.then(|| (entry.id.clone(), entry.incarnation));
    let mut table = state.table.lock();
    let updates: Vec<Update> = table.view.put(entry, revision).into_iter().collect();
    table.apply(&updates);
    let is_new_departure = departure.is_some_and(|(id, incarnation)| {
        let view = &mut table.view;
        view.record_departure(&id, incarnation, Origin::Entry, now)
    });
    drop(table);
    if is_new_departure {
        state.departure_heard.notify_one();
    }
    report_updates(state, updates, revision);
}

/// Applies a removal.
fn apply_removed(state: &State, key: &str, revision: u64) {
    if key.starts_with(names::REPLICAS) {
        let now = state.now();
        let mut table = state.table.lock();
        let updates: Vec<Update> = table
            .view
            .remove(replica::id(key), revision, now)
            .into_iter()
            .collect();
        table.apply(&updates);
        drop(table);
        report_updates(state, updates, revision);
    } else if key == leader::KEY {
        set_leader(state, None);
    } else if key == quarantine::KEY {
        quarantine::note_removed(state, revision);
    }
}

/// Applies a configuration, unless it is malformed or not newer than the one in force.
fn apply_configuration(state: &State, item: &Item) {
    let config = match config::decode(&item.value) {
        Ok(config) => config,
        Err(why) => {
            error!(target: "config", event = "malformed", revision = item.revision, why = %why, "malformed configuration; the last valid one stays in force");
            return;
        }
    };
    let version = config.version;
    let count = config.routes.len();
    let known = state.table.lock().routes.clone();
    let is_new = state
        .table
        .lock()
        .set_routes(routes::build(config, item.revision));
    if is_new {
        info!(target: "config", event = "in_force", version, revision = item.revision, routes = count, "new configuration in force");
    } else if let Some(known) = known.filter(|known| known.version != version) {
        info!(target: "config", event = "older", version, revision = item.revision, known_version = known.version, known_revision = known.revision, "the store holds another configuration than the one in force, which stays");
    }
}

/// Sets the current leader.
pub fn set_leader(state: &State, leader: Option<state::Leader>) {
    let mut current = state.leader.lock();
    if *current == leader {
        return;
    }
    if leader.is_some() {
        state.leader_seen.store(true, Ordering::Relaxed);
    }
    match &leader {
        Some(leader) => {
            info!(target: "leader", event = "known", name = &*leader.name, term = leader.term, "new leader")
        }
        None => info!(target: "leader", event = "gone", "no leader"),
    }
    *current = leader;
    drop(current);
    state.changed.notify_waiters();
}

/// Logs changes of the view, and closes connections to replicas that are gone or restarted.
pub fn report_updates(state: &State, mut updates: Vec<Update>, revision: u64) {
    updates.retain(|update| !matches!(update, Update::Changed(_)));
    if updates.is_empty() {
        return;
    }
    let since_recovery = state.table.lock().view.contact.since_recovery(state.now());
    // Logged because entries that vanish shortly after the store's recovery count as missing instead of gone.
    let store_back_ms = since_recovery.map(Span::ms);
    for update in updates {
        let (event, id) = match &update {
            Update::Changed(_) => continue,
            Update::Added(id) => ("seen", id),
            Update::Restarted(id) => ("restarted", id),
            Update::Leaving(id) => ("leaving", id),
            Update::Overwritten(id) => ("overwritten", id),
            Update::Missing(id) => ("missing", id),
            Update::Removed(id) => ("gone", id),
        };
        if let Update::Added(id) | Update::Restarted(id) = &update {
            streams::record_incarnation(state, id);
        }
        match &update {
            Update::Removed(_) | Update::Restarted(_) => {
                state.pool.close_all(id);
                quarantine::note_replaced(state, id);
            }
            Update::Missing(_) => state.entry_missing.notify_one(),
            _ => {}
        }
        state.log.rate_limited_by(Topic::Replicas, || {
            let leaves = state.table.lock().view.leaves(id);
            info!(target: "view", event, replica = &**id, revision, leaves, store_back_ms, "replica changed")
        });
    }
}
