//! Reading all that stands in the store, where many hosts may begin at once.
//!
//! The first page holds the configuration and the leader's entry. Where there is more, most hosts hear
//! the rest from readers, whom the leader names as soon as it knows of this host: if all of a large
//! fleet read all pages at once, as after a loss of power, the store's link would be full for so long
//! that calls run out of time and are made anew. A host to which nobody gives the rest in time reads it.

use super::apply::{apply, written};
use super::{Next, hear, heard};
use crate::state::State;
use crate::{leader, quarantine, readers};
use platform::names;
use platform::store::{Freshness, Item, Page};
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::info;
use unit::rendezvous;

/// Time in which the leader is elected, has heard of this host and has named readers, and one of these has
/// answered.
const NAMED_WITHIN: Duration = Duration::from_millis(2_000);

/// Time over which hosts spread that read the rest themselves, where nobody has named readers.
const SPREAD: Duration = Duration::from_millis(4_000);

/// Pause between two looks whether a reader is named.
const LOOK: Duration = Duration::from_millis(50);

/// Beginning of the keys of coveford's own.
const OWN_KEYS: &str = "coveford/";

/// Reads all that stands in the store.
pub(super) async fn read(state: &State) -> Next {
    // An answer tells what stood when it was asked for; it may have waited for this host since.
    let asked = state.now();
    let page = state.store.page("", None, Freshness::Newest).await;
    let Some(page) = heard(state, page, asked) else {
        return Next::Failed;
    };
    if page.more {
        take_first(state, &page);
        if let Some(heard) = from_readers(state, page.revision).await {
            return heard;
        }
    }
    let rest = state.store.rest("", page, Freshness::Newest).await;
    match heard(state, rest, asked) {
        Some(listing) => {
            readers::record_snapshot(state, &listing.found, listing.revision, asked);
            Next::Whole(listing)
        }
        None => Next::Failed,
    }
}

/// Takes in the configuration and the leader of a first page, by which this host can lead or find who does, and which
/// requests are kept out.
fn take_first(state: &State, page: &Page) {
    let counts = |item: &&Item| [names::CONFIG, leader::KEY, quarantine::KEY].contains(&&*item.key);
    for item in page.found.iter().filter(counts) {
        written(state, item.clone());
    }
}

/// Waits until a reader tells all that stands; none when this host must read it itself.
async fn from_readers(state: &State, revision: u64) -> Option<Next> {
    let part = rendezvous::hash(state.settings.name.as_bytes()) % SPREAD.as_millis() as u64;
    let until = Instant::now() + NAMED_WITHIN + Duration::from_millis(part);
    let told = tokio::select! {
        told = ask_readers(state, until) => told,
        () = watch_leader(state, revision, until) => None,
    };
    let read = if told.is_some() { "reader" } else { "store" };
    info!(target: "store", event = "begun", read, "all that stands in the store is known, or read now");
    told
}

/// Asks readers once some are named; none when this host is one of those that read the store, or the time
/// is over.
async fn ask_readers(state: &State, until: Instant) -> Option<Next> {
    while Instant::now() < until {
        if reads_itself(state) {
            return None;
        }
        if let Some(heard) = hear(state, 0).await {
            return Some(heard);
        }
        sleep(LOOK).await;
    }
    None
}

/// Whether this host is to read the store itself, by the word of a leader.
fn reads_itself(state: &State) -> bool {
    let is_told = state.table.lock().knows_host_count;
    state.leads() || readers::is_root(state) || (is_told && readers::is_small_fleet(state))
}

/// Takes in who leads, as it changes, until the time is over.
async fn watch_leader(state: &State, mut revision: u64, until: Instant) {
    while Instant::now() < until {
        let left = until.saturating_duration_since(Instant::now());
        let watched = timeout_at(until, state.store.watch(OWN_KEYS, revision, left)).await;
        match watched {
            Ok(Ok(changes)) => {
                revision = changes.revision;
                apply(state, changes.found);
            }
            Ok(Err(why)) => {
                info!(target: "store", event = "not_watched", why = %why, "who leads cannot be watched at the moment");
                sleep(LOOK).await;
            }
            Err(_) => return,
        }
    }
}
