//! Follows the store: a single watch over all keys yields the configuration, replicas and leader.
//!
//! A watch returns at the first change and each call is charged, so the next one starts after a pause that batches
//! changes. In a large fleet most hosts receive changes from [`readers`]. `bootstrap` does the first read; `apply`
//! applies changes.

mod apply;
mod bootstrap;

pub use apply::{report_updates, set_leader};

use crate::contact::Contact;
use crate::readers;
use crate::readers::StoreUpdate;
use crate::state::State;
use apply::{apply_changes, apply_snapshot};
use bootstrap::Pages;
use platform::store::{Change, Item, Listing, era};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::Instant;
use tracing::{info, warn};
use unit::{Span, Time};

/// Pause of the leader between two watches; its orders depend on current data.
const LEADER_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two watches, as a fraction of the propagation bound; leaves time for two failed watches.
const PAUSE_FRACTION: f64 = 1.0 / 3.0;

/// Longest wait of a host that has just started for the assignment of readers, as a fraction of the propagation bound:
/// until then each change of any replica would end a watch.
const ASSIGNMENT_FRACTION: f64 = 0.5;

/// Interval at which it looks for the assignment.
const ASSIGNMENT_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Time that a watch waits for a change, as a fraction of the propagation bound; limits how long a watch lost in a
/// network outage delays the recovery.
const WATCH_FRACTION: f64 = 0.75;

/// Limit of the same time as a fraction of the revocation bound: a response is as old as its request, and keys are
/// trusted for 0.8 of the bound.
const WATCH_FRACTION_OF_WITHDRAWAL: f64 = 0.25;

/// Time that a watch of a root waits, and the pause after it, each as a fraction of the propagation bound. Its
/// readers see a change, or that the root lost the store, after both at most.
const ROOT_FRACTION: f64 = 1.0 / 6.0;

/// Pause after a failed call. The return of the store must be noticed within a fraction of a second.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Maximum pause of a host of a large fleet after a failed store call, as a fraction of the propagation bound: the return
/// of the store is noticed within half of it.
const MAX_FAILURE_PAUSE_FRACTION: f64 = 0.25;

/// Readers tried before a host reads the store itself; each may take a quarter of the propagation bound to time out.
const MAX_READERS_TRIED: usize = 2;

/// Follows the store until the daemon ends.
pub async fn run(state: Arc<State>) {
    let mut position = Position::default();
    let mut pages = None;
    loop {
        match fetch(&state, position, &mut pages).await {
            Next::Relayed(changes) => {
                note_era(&state, position.revision, changes.revision);
                position.advance(changes.revision);
                apply_changes(&state, changes.items);
            }
            Next::Watched(changes) => {
                note_era(&state, position.revision, changes.revision);
                position.advance(changes.revision);
                let has_changes = !changes.items.is_empty();
                apply_changes(&state, changes.items);
                if has_changes {
                    pause_after_changes(&state, position.revision).await;
                }
            }
            Next::Snapshot(snapshot) => {
                note_era(&state, position.revision, snapshot.revision);
                position = Position::at(snapshot.revision);
                apply_snapshot(&state, snapshot);
            }
            Next::Compacted => position.is_compacted = true,
            Next::Failed => pause_after_failure(&state).await,
        }
    }
}

/// Notes that the store has come back from a copy, before what it holds now is applied.
fn note_era(state: &State, known: u64, revision: u64) {
    state.store.learn_era(revision);
    if known > 0 && era::of(revision) > era::of(known) {
        let now = state.now();
        state.table.lock().view.contact.record_copy(now);
        info!(target: "store", event = "back", era = era::of(revision), revision, known, "the store holds a copy of an earlier state; what it lacks has some time to be written again");
    }
}

/// How far this host has followed the store.
#[derive(Clone, Copy, Default)]
struct Position {
    /// Revision up to which changes were applied; 0 before the first snapshot.
    revision: u64,
    /// Whether the store no longer has the changes after it. Readers keep them for longer.
    is_compacted: bool,
}

impl Position {
    /// Position after a snapshot.
    fn at(revision: u64) -> Position {
        Position {
            revision,
            is_compacted: false,
        }
    }

    fn advance(&mut self, revision: u64) {
        if revision > self.revision {
            self.revision = revision;
            self.is_compacted = false;
        }
    }

    /// Whether the whole store must be read unless a reader has the changes.
    fn needs_snapshot(self) -> bool {
        self.revision == 0 || self.is_compacted
    }
}

/// Result of one read.
enum Next {
    /// Changes from a reader, possibly none.
    Relayed(Listing<Change>),
    /// Changes from the store, possibly none.
    Watched(Listing<Change>),
    /// Snapshot of the store.
    Snapshot(Listing<Item>),
    /// The store no longer has the changes after the requested revision.
    Compacted,
    /// No source responded.
    Failed,
}

/// Reads from a reader if there is one, otherwise from the store.
///
/// `pages` are those of the store that a failed read left, for the next one.
async fn fetch(state: &State, position: Position, pages: &mut Option<Pages>) -> Next {
    let promoted = state.readers.promoted.notified();
    let relayed = tokio::select! {
        relayed = fetch_from_reader(state, position.revision) => relayed,
        // The roots of before may have lost the store.
        _ = promoted => None,
    };
    if let Some(next) = relayed {
        return next;
    }
    match position.needs_snapshot() {
        true => bootstrap::read(state, position.revision, pages).await,
        false => watch(state, position.revision).await,
    }
}

/// Waits for changes in the store.
async fn watch(state: &State, after: u64) -> Next {
    let promoted = state.readers.promoted.notified();
    let sent_at = state.now();
    let changes = tokio::select! {
        changes = watch_store(state, after) => changes,
        // As a root this host must answer with current data, so a long watch is cancelled.
        _ = promoted => return Next::Relayed(Listing { items: Vec::new(), revision: after }),
    };
    if let Err(platform::Error::Compacted { after }) = changes {
        info!(target: "store", event = "compacted", after, "the store has compacted the watched revision; reading a snapshot");
        return Next::Compacted;
    }
    let Some(changes) = record_answer(state, changes, sent_at) else {
        return Next::Failed;
    };
    readers::record_changes(state, &changes.items, changes.revision, sent_at);
    Next::Watched(changes)
}

/// Watches the store, and once more without waiting if the watch is cut while it waits. The store may cut all watches at
/// once and be there; roots that took that for an outage would poll each other, and no host would hear of changes.
async fn watch_store(state: &State, after: u64) -> Result<Listing<Change>, platform::Error> {
    let (wait, sent_at) = (watch_wait(state), state.now());
    let changes = state.store.watch("", after, wait).await;
    let is_cut = matches!(changes, Err(platform::Error::Indeterminate { .. }))
        && state.now().since(sent_at) < Span::from(wait);
    match is_cut && !readers::store_failed_recently(state) {
        true => state.store.watch("", after, Duration::ZERO).await,
        false => changes,
    }
}

/// Polls readers for the changes after a revision; none if this host must read the store itself.
async fn fetch_from_reader(state: &State, after: u64) -> Option<Next> {
    for _ in 0..MAX_READERS_TRIED {
        let reader = readers::source(state)?;
        match readers::poll(state, reader, after, state.settings.bounds.propagation()).await {
            Ok(update) => {
                return Some(match update {
                    StoreUpdate::Changes(changes) => Next::Relayed(changes),
                    StoreUpdate::Snapshot(snapshot) => Next::Snapshot(snapshot),
                });
            }
            Err(why) => {
                state.readers.mark_reader_failed(reader, &why, state.now());
                state.log.rate_limited(|| {
                    warn!(target: "store", event = "reader_failed", reader = %reader, after, why = %why, "reader failed; it is avoided for a while")
                });
            }
        }
    }
    None
}

/// Time that a watch of this host waits for a change. Zero after a recent failure, so that the recovery is seen at
/// once, and for the first one of a root, which may find that the store fails it as well.
fn watch_wait(state: &State) -> Duration {
    if readers::store_failed_recently(state) || state.readers.take_newly_root() {
        return Duration::ZERO;
    }
    let fraction = match readers::is_root(state) {
        true => ROOT_FRACTION,
        false => WATCH_FRACTION,
    };
    let wait = state.settings.bounds.propagation().mul_f64(fraction);
    match state.settings.bounds.withdrawal {
        Some(bound) => wait.min(bound.mul_f64(WATCH_FRACTION_OF_WITHDRAWAL)),
        None => wait,
    }
}

/// Pauses after a watch that returned changes up to a revision. While no leader is known the host watches for its entry
/// meanwhile: one that does not see it tries to become the leader, in three calls.
async fn pause_after_changes(state: &State, revision: u64) {
    let bound = state.settings.bounds.propagation();
    if state.leader.lock().is_none() {
        bootstrap::await_leader(state, revision, bound.mul_f64(PAUSE_FRACTION)).await;
    }
    if !state.leads() && !state.table.lock().knows_host_count {
        wait_for_assignment(state, bound.mul_f64(ASSIGNMENT_FRACTION)).await;
        return;
    }
    let pause = match (state.leads(), readers::is_root(state)) {
        (true, _) => LEADER_PAUSE,
        (false, true) => bound.mul_f64(ROOT_FRACTION),
        (false, false) => bound.mul_f64(PAUSE_FRACTION),
    };
    tokio::time::sleep(pause).await;
}

/// Waits for the leader's first digest, which tells whether there are readers to poll.
async fn wait_for_assignment(state: &State, limit: Duration) {
    let end = Instant::now() + limit;
    while Instant::now() < end && !state.table.lock().knows_host_count {
        tokio::time::sleep(ASSIGNMENT_POLL_INTERVAL).await;
    }
}

/// Pauses after all sources failed. Roots and hosts without a configuration retry quickly; the many others rarely.
async fn pause_after_failure(state: &State) {
    let is_unconfigured = state.table.lock().routes.is_none();
    let is_small_fleet = readers::is_small_fleet(state);
    if is_unconfigured || is_small_fleet || state.leads() || readers::is_root(state) {
        tokio::time::sleep(FAILURE_PAUSE).await;
        return;
    }
    let max_pause = state
        .settings
        .bounds
        .propagation()
        .mul_f64(MAX_FAILURE_PAUSE_FRACTION);
    let retry_at = state.readers.next_retry().unwrap_or_default();
    let until_retry = retry_at.since(state.now()).std();
    tokio::time::sleep(until_retry.clamp(FAILURE_PAUSE, max_pause.max(FAILURE_PAUSE))).await;
}

/// Whether another host can be polled although the store failed this one. Entries do not lapse in this case.
fn is_served_elsewhere(state: &State) -> bool {
    state.readers.mark_failed(state.settings.store, state.now());
    readers::source(state).is_some()
}

/// Records whether the store responded to a request sent at `asked`, and returns the response.
fn record_answer<T>(state: &State, answer: Result<T, platform::Error>, sent_at: Time) -> Option<T> {
    match answer {
        Ok(answer) => {
            let now = state.now();
            update_contact(state, now, |contact| contact.answered(sent_at, now));
            Some(answer)
        }
        Err(error) if is_served_elsewhere(state) => {
            state.log.rate_limited(|| {
                info!(target: "store", event = "turned_away", why = %error, "the store does not respond to this host; a reader is polled")
            });
            None
        }
        Err(error) => {
            let mut table = state.table.lock();
            let was_away = table.view.contact.is_unreachable();
            table.view.contact.failed();
            drop(table);
            if !was_away {
                warn!(target: "store", event = "lost", why = %error, "the store does not respond; the last view stays in force");
            }
            None
        }
    }
}

/// Records contact with the store, direct or through another host, and logs a recovery.
pub fn update_contact(state: &State, now: Time, note: impl FnOnce(&mut Contact)) {
    let (was_away, silent, since_recovery) = {
        let contact = &mut state.table.lock().view.contact;
        let before = (contact.is_unreachable(), contact.silence(now));
        note(contact);
        (before.0, before.1, contact.since_recovery(now))
    };
    if was_away {
        let (silent_ms, store_back_ms) = (silent.map(Span::ms), since_recovery.map(Span::ms));
        info!(target: "store", event = "regained", silent_ms, store_back_ms, "contact with the store is restored; silent_ms is the time without any");
    }
}
