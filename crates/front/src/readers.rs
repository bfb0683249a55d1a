//! Reading the store through a few hosts: in a large fleet two hosts, the heads, read it; some hosts of
//! each hall, the readers, hear of its changes from them, and all others from a reader of their hall.
//!
//! Each call on the store is priced, and its rates do not grow with the fleet. The leader names heads
//! and readers. A host whose reader is silent, or has itself not heard from the store for a while, asks
//! another one, and then reads the store on its own; a host that cannot reach the store hears of it
//! from any reader that can.
//!
//! This module knows whom a host hears from. Its parts: `selection` is how the leader names readers,
//! `client` how a host asks one, `server` how a reader answers, `message` what passes between them.

mod client;
mod message;
mod selection;
mod server;

pub use client::{Error, StoreUpdate, ask};
pub use selection::{Candidate, choose};
pub use server::answer;

use crate::changelog::Changelog;
use crate::state::State;
use conn::Pool;
use parking_lot::Mutex;
use platform::store::{Change, Item};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use tokio::sync::Notify;
use unit::{Name, Span, Time, rendezvous};

/// Hosts up to which each reads the store itself: their calls cost less than the detour. At 16 hosts heads
/// and readers are worth 0.050 of what callers are owed, standard error 0.013, eight days played both ways.
const MOST_DIRECT: usize = 8;

/// Time for which a reader that failed, or the store, is not asked.
const AVOIDED: Span = Span::from_ms(2_000);

/// Time for which a reader is not asked whose own news are old: it is there, and has newer ones as soon as
/// the store is back.
const OLD_AVOIDED: Span = Span::from_ms(300);

/// Who reads the store, and what this host has heard of it.
#[derive(Default)]
pub struct Readers {
    /// What this host can pass on.
    pub recent: Mutex<Changelog>,
    /// Notified when there is something new to pass on.
    pub updated: Notify,
    /// Notified when this host is named as one that reads the store for others.
    pub promoted: Notify,
    /// Readers of all halls, as the leader told last.
    known: Mutex<Vec<Reader>>,
    /// Readers that failed, and the store's own address if it did, and until when none is asked.
    avoided: Mutex<HashMap<SocketAddr, Time>>,
    /// Connections to readers.
    pool: Pool,
}

/// Host that tells others what has changed in the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reader {
    /// Its hall, whose hosts ask it.
    pub hall: Name,
    /// Where it answers other hosts.
    pub addr: SocketAddr,
    /// Whether it reads the store; the other readers ask those that do.
    pub root: bool,
}

/// What a host has to do with reading the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// It reads the store.
    Head,
    /// It asks the heads, and its hall asks it.
    Reader,
    /// It asks the readers of its hall.
    Other,
}

impl Readers {
    /// Takes in who reads, by the leader, at the host of that address.
    ///
    /// A list that names nobody else is that of a leader whom no other host tells anything, as when it is cut off:
    /// the one before stays, so that it can still ask those hosts.
    pub fn assign(&self, readers: Vec<Reader>, own: SocketAddr) {
        if readers.iter().all(|r| r.addr == own) && self.role(own) != Role::Other {
            return;
        }
        let before = self.role(own);
        *self.known.lock() = readers;
        if before != Role::Head && self.role(own) == Role::Head {
            self.promoted.notify_waiters();
        }
    }

    /// Does not ask a reader, or the store, for a while.
    pub fn mark_failed(&self, addr: SocketAddr, now: Time) {
        self.avoided.lock().insert(addr, now + AVOIDED);
    }

    /// Does not ask a reader that failed in some way for a while.
    pub fn mark_reader_failed(&self, addr: SocketAddr, why: &Error, now: Time) {
        let span = match why {
            Error::Old { .. } => OLD_AVOIDED,
            _ => AVOIDED,
        };
        self.avoided.lock().insert(addr, now + span);
    }

    /// Whether a reader, or the store, failed this host a moment ago.
    pub fn failed_recently(&self, addr: &SocketAddr, now: Time) -> bool {
        let mut avoided = self.avoided.lock();
        avoided.retain(|_, until| now < *until);
        avoided.contains_key(addr)
    }

    /// When the first of those that failed may be asked again.
    pub fn next_retry(&self) -> Option<Time> {
        self.avoided.lock().values().min().copied()
    }

    /// Who reads, as the leader told last.
    pub fn assigned(&self) -> Vec<Reader> {
        self.known.lock().clone()
    }

    /// What a host at that address has to do with reading the store, by the leader's word.
    fn role(&self, addr: SocketAddr) -> Role {
        let known = self.known.lock();
        match known.iter().find(|r| r.addr == addr) {
            Some(reader) if reader.root => Role::Head,
            Some(_) => Role::Reader,
            None => Role::Other,
        }
    }
}

/// Whether this host reads the store for others, by what the leader told last.
pub fn is_root(state: &State) -> bool {
    state.readers.role(state.settings.peers) == Role::Head
}

/// Whether so few hosts are there that each reads the store itself.
pub fn is_small_fleet(state: &State) -> bool {
    state.table.lock().host_count <= MOST_DIRECT
}

/// Whether the store failed this host a moment ago.
pub fn store_failed_recently(state: &State) -> bool {
    state
        .readers
        .failed_recently(&state.settings.store, state.now())
}

/// Reader that this host hears from now; none when it reads the store itself.
pub fn source(state: &State) -> Option<SocketAddr> {
    let now = state.now();
    let is_cut = store_failed_recently(state);
    let settings = &state.settings;
    let role = state.readers.role(settings.peers);
    if !is_cut && (is_small_fleet(state) || state.leads() || role == Role::Head) {
        return None;
    }
    let known = state.readers.known.lock();
    let sound =
        |r: &&Reader| r.addr != settings.peers && !state.readers.failed_recently(&r.addr, now);
    // Heads and readers ask heads only: if they asked those that ask them, news would go in a circle
    // and grow old, while the store is there.
    let fits = |r: &&Reader| match role {
        Role::Other => is_cut || r.root || r.hall == settings.hall,
        Role::Head | Role::Reader => r.root,
    };
    // In its own hall a host asks any reader, so that a head does not answer all of its hall.
    let rank = |r: &&Reader| {
        let words = format!("{} {}", settings.name, r.addr);
        let own_hall = r.hall == settings.hall;
        (
            own_hall,
            !own_hall && r.root,
            rendezvous::hash(words.as_bytes()),
        )
    };
    let fitting = known.iter().filter(|r| sound(r) && fits(r));
    fitting.max_by_key(rank).map(|r| r.addr)
}

/// Keeps changes up to a revision, at which the store stood at `confirmed`, to pass them on.
pub fn record_changes(state: &State, changes: &[Change], revision: u64, confirmed: Time) {
    let mut recent = state.readers.recent.lock();
    let is_news = revision > recent.revision();
    recent.extend(changes.iter().cloned(), revision, confirmed);
    drop(recent);
    if is_news {
        state.readers.updated.notify_waiters();
    }
}

/// Keeps the whole store as a reader told it, to pass it on.
pub fn record_snapshot(state: &State, items: &[Item], revision: u64, confirmed: Time) {
    let mut recent = state.readers.recent.lock();
    recent.reset(items, revision, confirmed);
    drop(recent);
    state.readers.updated.notify_waiters();
}
