//! Taking in what the store tells: configurations, replicas, the leader, and requests that are kept out.

use crate::state::{self, State};
use crate::view::Update;
use crate::{leader, quarantine, routes};
use platform::names;
use platform::store::{Change, Item, Listing};
use platform::{config, replica};
use std::sync::atomic::Ordering;
use tracing::{error, info};
use unit::{Name, Span};

/// Takes in the whole store.
pub(super) fn compare(state: &State, listing: Listing<Item>) {
    let present: Vec<Name> = listing
        .found
        .iter()
        .filter(|item| item.key.starts_with(names::REPLICAS))
        .map(|item| replica::id(&item.key).into())
        .collect();
    let now = state.now();
    let stands = |key: &str| listing.found.iter().any(|item| &*item.key == key);
    let (has_leader, has_quarantine) = (stands(leader::KEY), stands(quarantine::KEY));
    for item in listing.found {
        written(state, item);
    }
    let news = {
        let mut table = state.table.lock();
        let news = table.view.reconcile(&present, listing.revision, now);
        table.apply(&news);
        news
    };
    state.knows_replicas.store(true, Ordering::Relaxed);
    report_updates(state, news, listing.revision);
    if !has_leader {
        set_leader(state, None);
    }
    if !has_quarantine {
        quarantine::note_not_stored(state, listing.revision);
    }
    state.changed.notify_waiters();
}

/// Takes in changes of the store.
pub(super) fn apply(state: &State, changes: Vec<Change>) {
    for change in changes {
        match change {
            Change::Written(item) => written(state, item),
            Change::Removed { key, revision } => removed(state, &key, revision),
        }
    }
    state.changed.notify_waiters();
}

/// Takes in what was written: the configuration, a replica's entry, or the leader's.
pub(super) fn written(state: &State, item: Item) {
    if &*item.key == names::CONFIG {
        configured(state, &item);
    } else if item.key.starts_with(names::REPLICAS) {
        match replica::decode(&item.key, &item.value) {
            Ok(entry) => {
                let mut table = state.table.lock();
                let news: Vec<Update> = table.view.put(entry, item.revision).into_iter().collect();
                table.apply(&news);
                drop(table);
                report_updates(state, news, item.revision);
            }
            Err(why) => {
                state.log.rate_limited(|| {
                    error!(target: "view", event = "malformed", key = &*item.key, revision = item.revision, why = %why, "an entry cannot be read: it names no replica to use")
                });
                let id = replica::id(&item.key);
                let news = state.table.lock().view.mark_overwritten(id, item.revision);
                report_updates(state, news.into_iter().collect(), item.revision);
            }
        }
    } else if &*item.key == leader::KEY {
        match leader::decode(&item) {
            Ok(leader) => set_leader(state, Some(leader)),
            Err(why) => {
                error!(target: "leader", event = "malformed", why = %why, "the leader's entry cannot be read")
            }
        }
    } else if &*item.key == quarantine::KEY {
        quarantine::apply_stored(state, &item);
    }
}

/// Takes in that a replica's entry or the leader's was removed.
fn removed(state: &State, key: &str, revision: u64) {
    if key.starts_with(names::REPLICAS) {
        let now = state.now();
        let mut table = state.table.lock();
        let news: Vec<Update> = table
            .view
            .remove(replica::id(key), revision, now)
            .into_iter()
            .collect();
        table.apply(&news);
        drop(table);
        report_updates(state, news, revision);
    } else if key == leader::KEY {
        set_leader(state, None);
    } else if key == quarantine::KEY {
        quarantine::note_removed(state, revision);
    }
}

/// Takes in a configuration, unless it cannot be read or one as new is in force.
fn configured(state: &State, item: &Item) {
    let config = match config::decode(&item.value) {
        Ok(config) => config,
        Err(why) => {
            error!(target: "config", event = "malformed", revision = item.revision, why = %why, "the last good configuration stays in force");
            return;
        }
    };
    let version = config.version;
    let count = config.routes.len();
    if state
        .table
        .lock()
        .set_routes(routes::build(config, item.revision))
    {
        info!(target: "config", event = "in_force", version, revision = item.revision, routes = count, "a configuration is in force");
    }
}

/// Makes known who leads.
pub fn set_leader(state: &State, leader: Option<state::Leader>) {
    let mut known = state.leader.lock();
    if *known == leader {
        return;
    }
    if leader.is_some() {
        state.leader_seen.store(true, Ordering::Relaxed);
    }
    match &leader {
        Some(leader) => {
            info!(target: "leader", event = "known", name = &*leader.name, term = leader.term, "a leader is known")
        }
        None => info!(target: "leader", event = "gone", "no host leads"),
    }
    *known = leader;
    drop(known);
    state.changed.notify_waiters();
}

/// Tells what the news did to the view, and closes connections to replicas that are gone or have
/// started again.
pub fn report_updates(state: &State, mut news: Vec<Update>, revision: u64) {
    news.retain(|one| !matches!(one, Update::Changed(_)));
    if news.is_empty() {
        return;
    }
    let settling = state.table.lock().view.contact.since_recovery(state.now());
    // Why an entry that vanished is missing and not gone: the store came back so long ago.
    let store_back_ms = settling.map(Span::ms);
    for one in news {
        let (event, id) = match &one {
            Update::Changed(_) => continue,
            Update::Added(id) => ("seen", id),
            Update::Restarted(id) => ("restarted", id),
            Update::Leaving(id) => ("leaving", id),
            Update::Overwritten(id) => ("overwritten", id),
            Update::Missing(id) => ("missing", id),
            Update::Removed(id) => ("gone", id),
        };
        match &one {
            Update::Removed(_) | Update::Restarted(_) => {
                state.pool.close_all(id);
                quarantine::note_replaced(state, id);
            }
            Update::Missing(_) => state.entry_missing.notify_one(),
            _ => {}
        }
        state.log.rate_limited(
            || info!(target: "view", event, replica = &**id, revision, store_back_ms, "news of a replica"),
        );
    }
}
