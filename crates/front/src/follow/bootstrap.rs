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
use platform::store::{Freshness, Item, Listing, Page, era};
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout_at};
use tracing::{info, warn};
use unit::{Name, Span, Time, rendezvous};

/// Time for a leader to be elected and to assign readers, and for a reader to respond.
const ASSIGNMENT_TIMEOUT: Duration = Duration::from_millis(2_000);

/// Period over which the hosts that read the rest from the store are spread.
const SPREAD: Duration = Duration::from_millis(4_000);

/// Interval at which a host checks for assigned readers.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Prefix of coveford's own keys.
const OWN_KEYS: &str = "coveford/";

/// Time after the first page from which a host that knows no replicas serves by the pages that it has. It is longer than
/// the time within which most hosts have all pages, from a reader or the store.
const PARTIAL_VIEW_AFTER: Span = Span::from_ms(6_000);

/// Maximum number of pages; a store that has more is read anew.
const MAX_PAGES: usize = 1_000;

/// Age of the first page up to which pages are kept after a failure. The store keeps the changes since then for longer.
const MAX_KEPT_AGE: Span = Span::from_secs(15);

/// Pages of the store that were read so far. A read that fails leaves them for the next one.
pub(super) struct Pages {
    items: Vec<Item>,
    count: usize,
    /// Key after which the next page begins; none if all have been read.
    next_after: Option<Name>,
    /// Revision of the store when the first page was read.
    revision: u64,
    /// When the first page was requested. The response is as of then; it may have been queued during a pause of this host.
    requested_at: Time,
    /// Number of items whose replicas were applied.
    applied: usize,
}

impl Pages {
    fn begin(page: Page, requested_at: Time) -> Pages {
        Pages {
            revision: page.revision,
            next_after: page.next_after,
            items: page.items,
            count: 1,
            requested_at,
            applied: 0,
        }
    }

    fn extend(&mut self, page: Page) {
        self.items.extend(page.items);
        self.next_after = page.next_after;
        self.count += 1;
    }

    /// Prefix of the keys to read next, and the key after which to read; none from the first one on. Entries of others
    /// between the configuration and the replicas are passed over. None if all pages have been read.
    fn position(&self) -> Option<(&'static str, Option<Name>)> {
        let last = self.next_after.clone()?;
        Some(match &*last {
            key if key.starts_with(names::REPLICAS) => (names::REPLICAS, Some(last)),
            key if key >= names::CONFIG.max(OWN_KEYS) => (names::REPLICAS, None),
            _ => ("", Some(last)),
        })
    }

    /// Whether further pages may be read after them: they are not too old, and not older than what the host has read since
    /// from another source, up to revision `after`.
    fn is_usable(&self, state: &State, after: u64) -> bool {
        state.now().since(self.requested_at) < MAX_KEPT_AGE
            && self.revision >= after
            && era::of(self.revision) == state.store.era()
    }
}

/// Reads the whole store, on from the pages that an earlier read left in `kept`; a host that has read it up to revision
/// `after` before asks readers for the changes only.
pub(super) async fn read(state: &State, after: u64, kept: &mut Option<Pages>) -> Next {
    let usable = kept.take().filter(|pages| pages.is_usable(state, after));
    let (mut pages, is_new) = match usable {
        Some(pages) => (pages, false),
        None => match first_page(state).await {
            Some(pages) => (pages, true),
            None => return Next::Failed,
        },
    };
    if is_new && pages.next_after.is_some() {
        apply_first_page(
            state,
            pages.items.iter().filter(|item| is_needed_first(item)),
        );
        state.startup.set_step(Step::Readers, state.now());
        if let Some(next) = fetch_rest(state, after, pages.revision).await {
            return next;
        }
    }
    state.startup.set_step(Step::FurtherPages, state.now());
    while let Some(position) = pages.position() {
        if pages.count == MAX_PAGES {
            warn!(target: "store", event = "endless", pages = pages.count, "the store has too many pages; reading anew");
            return Next::Failed;
        }
        match next_page(state, &mut pages, position).await {
            Some(page) => pages.extend(page),
            None => {
                state.startup.record_failure();
                *kept = Some(pages);
                return Next::Failed;
            }
        }
        state.startup.set_pages(pages.count);
    }
    let (items, revision) = (pages.items, pages.revision);
    readers::record_snapshot(state, &items, revision, pages.requested_at);
    Next::Snapshot(Listing { items, revision })
}

async fn first_page(state: &State) -> Option<Pages> {
    let requested_at = state.now();
    state.startup.set_step(Step::FirstPage, requested_at);
    let page = state.store.page("", None, Freshness::Linearizable).await;
    let Some(page) = record_answer(state, page, requested_at) else {
        state.startup.record_failure();
        return None;
    };
    state.startup.set_pages(1);
    Some(Pages::begin(page, requested_at))
}

/// Reads the page at a position after the ones so far, whose replicas are applied if it does not come in time.
async fn next_page(
    state: &State,
    pages: &mut Pages,
    (prefix, after): (&str, Option<Name>),
) -> Option<Page> {
    let sent_at = pages.requested_at;
    let partial_view_at = sent_at + PARTIAL_VIEW_AFTER;
    let items = &pages.items;
    let read = state.store.next_page(
        prefix,
        after.as_deref(),
        pages.revision,
        Freshness::Linearizable,
    );
    let mut read = std::pin::pin!(read);
    let page = tokio::select! {
        page = &mut read => page,
        () = state.clock.sleep_until(partial_view_at), if pages.applied < items.len() => {
            apply_replicas(state, &items[pages.applied..]);
            pages.applied = items.len();
            read.await
        }
    };
    record_answer(state, page, sent_at)
}

/// Applies the replicas among items, so that requests to them are served, unless all replicas were known before.
fn apply_replicas(state: &State, items: &[Item]) {
    let knows_all = state.knows_all_replicas.load(Ordering::Relaxed);
    let replicas = items.iter().filter(|i| i.key.starts_with(names::REPLICAS));
    let count = replicas.clone().count();
    if knows_all || count == 0 {
        return;
    }
    replicas
        .cloned()
        .for_each(|item| apply_written(state, item));
    state.knows_replicas.store(true, Ordering::Relaxed);
    state.changed.notify_waiters();
    info!(target: "store", event = "partial", count, "pages of the store are late; requests are served by the replicas that are known");
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
