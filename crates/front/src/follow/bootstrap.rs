//! First read of the whole store, also when many hosts start at once.
//!
//! The first page holds the configuration and the leader's entry. If there are more pages, most hosts get the rest
//! from readers, which the leader assigns once it knows the host: a large fleet that read all pages at once, for
//! example after a power failure, would saturate the store's link until calls time out. A host that gets the rest
//! from no reader in time reads it from the store.

use super::apply::{apply_changes, apply_written};
use super::{Next, fetch_from_reader, record_answer};
use crate::startup::Step;
use crate::state::State;
use crate::{leader, quarantine, readers};
use platform::names;
use platform::store::{Freshness, Item};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::info;
use unit::rendezvous;

/// Time for a leader to be elected and to assign readers, and for a reader to respond.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Period over which the hosts that read the rest from the store are spread.
const SPREAD: Duration = Duration::from_millis(4_000);

/// Interval at which a host checks for assigned readers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of coveford's own keys.
const OWN_KEYS: &str = "coveford/";

/// Reads the whole store; a host that has read it up to revision `after` before asks readers for the changes only.
pub(super) async fn read(state: &State, after: u64) -> Next {
    // The response is as of when it was requested; it may have been queued during a pause of this host.
    let sent_at = state.now();
    state.startup.set_step(Step::FirstPage, sent_at);
    let page = state.store.page("", None, Freshness::Linearizable).await;
    let Some(page) = record_answer(state, page, sent_at) else {
        state.startup.record_failure();
        return Next::Failed;
    };
    state.startup.set_pages(1);
    if page.has_more {
        apply_first_page(
            state,
            page.items.iter().filter(|item| is_needed_first(item)),
        );
        state.startup.set_step(Step::Readers, state.now());
        if let Some(next) = fetch_rest(state, after, page.revision).await {
            return next;
        }
    }
    state.startup.set_step(Step::FurtherPages, state.now());
    let rest = state
        .store
        .remaining_pages("", page, Freshness::Linearizable)
        .await;
    match record_answer(state, rest, sent_at) {
        Some(snapshot) => {
            readers::record_snapshot(state, &snapshot.items, snapshot.revision, sent_at);
            Next::Snapshot(snapshot)
        }
        None => {
            state.startup.record_failure();
            Next::Failed
        }
    }
}

/// Whether an item is applied before the other pages are read: the configuration, the leader or the quarantine list.
fn is_needed_first(item: &Item) -> bool {
    [names::CONFIG, leader::KEY, quarantine::KEY].contains(&&*item.key)
}

/// Applies items of a first page, so that this host can find the leader or become it, and passes them on: the other
/// pages may take seconds, in which the hosts that follow this one would keep an old configuration.
fn apply_first_page<'a>(state: &State, items: impl Iterator<Item = &'a Item>) {
    let items: Vec<Item> = items.cloned().collect();
    readers::record_ahead(state, &items);
    for item in items {
        apply_written(state, item);
    }
}

/// Waits for a snapshot, or the changes after a revision, from a reader; none if this host must read the store itself.
async fn fetch_rest(state: &State, after: u64, revision: u64) -> Option<Next> {
    let delay = rendezvous::hash(state.settings.name.as_bytes()) % SPREAD.as_millis() as u64;
    let until = Instant::now() + ASSIGNMENT_TIMEOUT + Duration::from_millis(delay);
    let next = tokio::select! {
        next = poll_readers(state, after, until) => next,
        () = watch_leader(state, revision, until) => None,
    };
    let read = if next.is_some() { "reader" } else { "store" };
    info!(target: "store", event = "begun", read, "first read of the store: done by a reader, or continued from the store");
    next
}

/// Polls readers once they are assigned; none if this host is to read the store itself or the time is over.
async fn poll_readers(state: &State, after: u64, until: Instant) -> Option<Next> {
    while Instant::now() < until {
        if reads_itself(state) {
            return None;
        }
        if let Some(next) = fetch_from_reader(state, after).await {
            return Some(next);
        }
        // The hosts that follow a reader wait for it.
        if after > 0 && readers::is_reader(state) {
            return None;
        }
        sleep(POLL_INTERVAL).await;
    }
    None
}

/// Whether this host is to read the store itself.
fn reads_itself(state: &State) -> bool {
    let knows_host_count = state.table.lock().knows_host_count;
    state.leads() || readers::is_root(state) || (knows_host_count && readers::is_small_fleet(state))
}

/// Watches for the leader's entry for at most a time.
pub(super) async fn await_leader(state: &State, revision: u64, limit: Duration) {
    let end = Instant::now() + limit;
    let watched = tokio::time::timeout(limit, state.store.watch(OWN_KEYS, revision, limit)).await;
    match watched {
        Ok(Ok(changes)) => apply_changes(state, changes.items),
        // The next watch of all keys reports what is wrong.
        Ok(Err(why)) => {
            info!(target: "store", event = "not_watched", why = %why, "cannot watch for the leader");
            tokio::time::sleep_until(end).await;
        }
        Err(_) => {}
    }
}

/// Applies changes of the leader until the time is over.
async fn watch_leader(state: &State, mut revision: u64, until: Instant) {
    while Instant::now() < until {
        let remaining = until.saturating_duration_since(Instant::now());
        let result = timeout_at(until, state.store.watch(OWN_KEYS, revision, remaining)).await;
        match result {
            Ok(Ok(changes)) => {
                revision = changes.revision;
                apply_changes(state, changes.items);
            }
            Ok(Err(why)) => {
                info!(target: "store", event = "not_watched", why = %why, "cannot watch for the leader");
                sleep(POLL_INTERVAL).await;
            }
            Err(_) => return,
        }
    }
}
