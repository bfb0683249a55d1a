//! Following the store: one watch over all keys tells configuration, replicas and leader.
//!
//! A watch is answered at the first change and is priced, so the next one starts only after a pause;
//! changes of that time come together. In a large fleet most hosts hear of the changes from
//! [`readers`]. Its parts: `bootstrap` reads the store for the first time, `apply` takes in what it tells.

mod apply;
mod bootstrap;

pub use apply::{report_updates, set_leader};

use crate::contact::Contact;
use crate::readers;
use crate::readers::StoreUpdate;
use crate::state::State;
use apply::{apply, compare};
use platform::store::{Change, Item, Listing};
use std::sync::Arc;
use std::time::Duration;
use tracing::{info, warn};
use unit::{Span, Time};

/// Pause between two watches of the leader, whose orders rest on what it knows.
const LEADER_PAUSE: Duration = Duration::from_millis(250);

/// Pause between two watches, as a part of the shortest bound on following the store: two more
/// watches may fail within the bound.
const BOUND_PART: f64 = 1.0 / 3.0;

/// Time that a watch waits for a change, as a part of the shortest bound on following the store: a
/// watch that a silent outage swallowed must not hang on long after the store's return.
const WAIT_PART: f64 = 0.75;

/// Time that a watch waits for a change, as a part of the bound on withdrawals of keys: what it tells is
/// as old as the question, and keys are rested on for 0.8 of the bound.
const WAIT_PART_OF_WITHDRAWAL: f64 = 0.25;

/// Time that a watch of a host that reads the store for others waits, and the pause after it, each
/// as a part of the same bound: these hear of a change after both at the most, and must hear as soon
/// that their reader is cut off.
const READER_PART: f64 = 1.0 / 6.0;

/// Pause after a call that failed; the store's return must be noticed within a part of a second.
const PAUSE: Duration = Duration::from_millis(200);

/// Longest pause of a host of a large fleet after a call on the store that failed, as a part of the
/// shortest bound on following the store: the return is seen within half of it.
const SELDOM_PART: f64 = 0.25;

/// Readers that are asked in turn before a host reads the store itself: each may be silent for a
/// quarter of the bound.
const ASKED: usize = 2;

/// Follows the store until the daemon ends.
pub async fn run(state: Arc<State>) {
    // Revision up to which this host has heard; none while all of the store must be read.
    let mut after = None;
    loop {
        match next(&state, after).await {
            Next::Heard(changes) => {
                after = after.max(Some(changes.revision));
                apply(&state, changes.found);
            }
            Next::Watched(changes) => {
                after = after.max(Some(changes.revision));
                let is_news = !changes.found.is_empty();
                apply(&state, changes.found);
                if is_news {
                    pause(&state).await;
                }
            }
            Next::Whole(listing) => {
                after = Some(listing.revision);
                compare(&state, listing);
            }
            Next::Forgotten => after = None,
            Next::Failed => pause_after_failure(&state).await,
        }
    }
}

/// What was heard next.
enum Next {
    /// Changes that a reader told; there may be none.
    Heard(Listing<Change>),
    /// Changes that the store told; there may be none.
    Watched(Listing<Change>),
    /// All that stands in the store.
    Whole(Listing<Item>),
    /// The store has forgotten what changed after that revision.
    Forgotten,
    /// Nothing: no call was answered.
    Failed,
}

/// Hears from the readers, or else reads the store.
async fn next(state: &State, after: Option<u64>) -> Next {
    if let Some(heard) = hear(state, after.unwrap_or(0)).await {
        return heard;
    }
    match after {
        Some(after) => watch(state, after).await,
        None => bootstrap::read(state).await,
    }
}

/// Waits for the store's next changes.
async fn watch(state: &State, after: u64) -> Next {
    let named = state.readers.promoted.notified();
    let asked = state.now();
    let changes = tokio::select! {
        changes = state.store.watch("", after, wait(state)) => changes,
        // From now on others rest on this host's news: a long watch would let them grow old.
        _ = named => return Next::Heard(Listing { found: Vec::new(), revision: after }),
    };
    if let Err(platform::Error::Compacted { after }) = changes {
        info!(target: "store", event = "compacted", after, "the watch's history is gone; the whole range is read");
        return Next::Forgotten;
    }
    let Some(changes) = heard(state, changes, asked) else {
        return Next::Failed;
    };
    readers::record_changes(state, &changes.found, changes.revision, asked);
    Next::Watched(changes)
}

/// Hears from other hosts what has changed after a revision; none when this host must read the store
/// itself.
async fn hear(state: &State, after: u64) -> Option<Next> {
    for _ in 0..ASKED {
        let reader = readers::source(state)?;
        match readers::ask(state, reader, after, state.settings.bounds.propagation()).await {
            Ok(news) => {
                return Some(match news {
                    StoreUpdate::Changes(changes) => Next::Heard(changes),
                    StoreUpdate::Snapshot(listing) => Next::Whole(listing),
                });
            }
            Err(why) => {
                state.readers.mark_reader_failed(reader, &why, state.now());
                state.log.rate_limited(|| {
                    warn!(target: "store", event = "reader_failed", reader = %reader, after, why = %why, "a host that reads the store for this one cannot be rested on; it is not asked for a while")
                });
            }
        }
    }
    None
}

/// Time that a watch of this host waits for a change. Where the store failed a moment ago it does not
/// wait, so that the answer tells at once that the store is back.
fn wait(state: &State) -> Duration {
    if readers::store_failed_recently(state) {
        return Duration::ZERO;
    }
    let part = match readers::is_root(state) {
        true => READER_PART,
        false => WAIT_PART,
    };
    let wait = state.settings.bounds.propagation().mul_f64(part);
    match state.settings.bounds.withdrawal {
        Some(bound) => wait.min(bound.mul_f64(WAIT_PART_OF_WITHDRAWAL)),
        None => wait,
    }
}

/// Pauses after a watch that told changes, before the next one.
async fn pause(state: &State) {
    let bound = state.settings.bounds.propagation();
    let pause = match (state.leads(), readers::is_root(state)) {
        (true, _) => LEADER_PAUSE,
        (false, true) => bound.mul_f64(READER_PART),
        (false, false) => bound.mul_f64(BOUND_PART),
    };
    tokio::time::sleep(pause).await;
}

/// Pauses after no call was answered. The store's return is seen at once by those that read it for all,
/// and by hosts that cannot work without; the others, which are many, ask it seldom.
async fn pause_after_failure(state: &State) {
    let has_nothing = state.table.lock().routes.is_none();
    let is_direct = readers::is_small_fleet(state);
    if has_nothing || is_direct || state.leads() || readers::is_root(state) {
        tokio::time::sleep(PAUSE).await;
        return;
    }
    let most = state.settings.bounds.propagation().mul_f64(SELDOM_PART);
    let until = state.readers.next_retry().unwrap_or_default();
    let chance = until.since(state.now()).std();
    tokio::time::sleep(chance.clamp(PAUSE, most.max(PAUSE))).await;
}

/// Whether the store, which failed a call just now, may be away for this host only: another one that
/// reads it can be asked. Nothing is taken as lapsed then.
fn turned_away(state: &State) -> bool {
    state.readers.mark_failed(state.settings.store, state.now());
    readers::source(state).is_some()
}

/// Notes whether the store answers what it was asked at a time, and gives back what it said.
fn heard<T>(state: &State, answer: Result<T, platform::Error>, asked: Time) -> Option<T> {
    match answer {
        Ok(answer) => {
            let now = state.now();
            update_contact(state, now, |contact| contact.answered(asked, now));
            Some(answer)
        }
        Err(error) if turned_away(state) => {
            state.log.rate_limited(|| {
                info!(target: "store", event = "turned_away", why = %error, "the store does not answer this host; another one is asked")
            });
            None
        }
        Err(error) => {
            let mut table = state.table.lock();
            let was_away = table.view.contact.is_unreachable();
            table.view.contact.failed();
            drop(table);
            if !was_away {
                warn!(target: "store", event = "lost", why = %error, "the store does not answer; the last view stays in force");
            }
            None
        }
    }
}

/// Notes that the store answers, or another host tells of it, and tells so if it did not before.
pub fn update_contact(state: &State, now: Time, note: impl FnOnce(&mut Contact)) {
    let (was_away, silent, settling) = {
        let contact = &mut state.table.lock().view.contact;
        let before = (contact.is_unreachable(), contact.silence(now));
        note(contact);
        (before.0, before.1, contact.since_recovery(now))
    };
    if was_away {
        let (silent_ms, store_back_ms) = (silent.map(Span::ms), settling.map(Span::ms));
        info!(target: "store", event = "regained", silent_ms, store_back_ms, "the store answers again, or another host tells of it; silent_ms is for how long this one had heard nothing");
    }
}
