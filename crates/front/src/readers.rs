//! Fan-out of store changes: in a large fleet only two hosts, the roots, read the store. Some hosts of each hall, the
//! readers, poll the roots, and all other hosts poll a reader of their hall.
//!
//! Store calls are charged and rate limited regardless of the size of the fleet. The leader assigns roots and
//! readers. A host whose reader does not respond or has outdated data polls another one and then reads the store
//! itself; a host that cannot reach the store polls any reader that can.
//!
//! This module chooses the source of a host. `selection` chooses the readers on the leader, `client` polls a reader,
//! `server` answers polls, and `message` defines their messages.

mod client;
mod message;
mod selection;
mod server;

pub use client::{Error, StoreUpdate, poll};
pub use selection::{Candidate, choose};
pub use server::respond;

use crate::changelog::Changelog;
use crate::state::State;
use conn::Pool;
use parking_lot::Mutex;
use platform::store::{Change, Item};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use tokio::sync::Notify;
use unit::{Name, Span, Time, rendezvous};

/// Maximum number of hosts that each read the store themselves; for so few the calls cost less than the delay.
const MAX_SMALL_FLEET: usize = 8;

/// Time for which a failed reader, or the store after a failure, is not used.
const FAILURE_RETRY: Span = Span::from_ms(2_000);

/// Time for which a reader with outdated data is not used; it responds and recovers as soon as the store does.
const STALE_RETRY: Span = Span::from_ms(300);

/// Readers of the fleet, and the changes that this host can serve.
#[derive(Default)]
pub struct Readers {
    /// Changes that this host can serve.
    pub changelog: Mutex<Changelog>,
    /// Notified when there are new changes to serve.
    pub updated: Notify,
    /// Notified when this host becomes a root.
    pub promoted: Notify,
    /// Whether it has become a root and not called the store since.
    newly_root: AtomicBool,
    /// Readers of all halls, as last assigned by the leader.
    assignment: Mutex<Vec<Reader>>,
    /// When a failed reader, or the store, may be used again, by address.
    failed_until: Mutex<HashMap<SocketAddr, Time>>,
    /// Connections to readers.
    pool: Pool,
}

/// Host that serves store changes to others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reader {
    /// Data hall whose hosts poll it.
    pub hall: Name,
    /// Address where it answers polls.
    pub addr: SocketAddr,
    /// Whether it is a root, which reads the store; other readers poll the roots.
    pub root: bool,
}

/// Role of a host in the fan-out of store changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Role {
    /// Reads the store.
    Root,
    /// Polls the roots and serves its hall.
    Reader,
    /// Polls the readers of its hall.
    Follower,
}

impl Readers {
    /// Applies an assignment of readers by the leader, on the host with the address `own`.
    ///
    /// An assignment without any other host is ignored if this host is a reader: it comes from a leader that receives
    /// no reports, for example behind a partition, and the previous readers may still be reachable.
    pub fn assign(&self, readers: Vec<Reader>, own: SocketAddr) {
        if readers.iter().all(|r| r.addr == own) && self.role(own) != Role::Follower {
            return;
        }
        let before = self.role(own);
        *self.assignment.lock() = readers;
        if before != Role::Root && self.role(own) == Role::Root {
            self.newly_root.store(true, Ordering::Relaxed);
            self.promoted.notify_waiters();
        }
    }

    /// Whether this host has become a root since the last call.
    pub fn take_newly_root(&self) -> bool {
        self.newly_root.swap(false, Ordering::Relaxed)
    }

    /// Avoids a reader, or the store, for `FAILURE_RETRY`.
    pub fn mark_failed(&self, addr: SocketAddr, now: Time) {
        self.failed_until.lock().insert(addr, now + FAILURE_RETRY);
    }

    /// Avoids a reader for a time that depends on its error.
    pub fn mark_reader_failed(&self, addr: SocketAddr, why: &Error, now: Time) {
        let span = match why {
            Error::Stale { .. } => STALE_RETRY,
            _ => FAILURE_RETRY,
        };
        self.failed_until.lock().insert(addr, now + span);
    }

    /// Whether a reader, or the store, is being avoided after a failure.
    pub fn failed_recently(&self, addr: &SocketAddr, now: Time) -> bool {
        let mut failed_until = self.failed_until.lock();
        failed_until.retain(|_, until| now < *until);
        failed_until.contains_key(addr)
    }

    /// When the first of those avoided may be used again.
    pub fn next_retry(&self) -> Option<Time> {
        self.failed_until.lock().values().min().copied()
    }

    /// Readers as last assigned by the leader.
    pub fn assigned(&self) -> Vec<Reader> {
        self.assignment.lock().clone()
    }

    /// Role of the host with the address `addr` in the current assignment.
    fn role(&self, addr: SocketAddr) -> Role {
        let readers = self.assignment.lock();
        match readers.iter().find(|r| r.addr == addr) {
            Some(reader) if reader.root => Role::Root,
            Some(_) => Role::Reader,
            None => Role::Follower,
        }
    }
}

/// Whether this host is a root in the current assignment.
pub fn is_root(state: &State) -> bool {
    state.readers.role(state.settings.peers) == Role::Root
}

/// Whether this host is a reader in the current assignment, and no root.
pub fn is_reader(state: &State) -> bool {
    state.readers.role(state.settings.peers) == Role::Reader
}

/// Whether other hosts may poll this one for changes of the store.
pub fn serves_others(state: &State) -> bool {
    state.readers.role(state.settings.peers) != Role::Follower
}

/// Whether other hosts are assigned to read the store for this one.
pub fn is_follower(state: &State) -> bool {
    let readers = &state.readers;
    !readers.assignment.lock().is_empty() && readers.role(state.settings.peers) == Role::Follower
}

/// Whether the fleet is so small that each host reads the store itself.
pub fn is_small_fleet(state: &State) -> bool {
    state.table.lock().host_count <= MAX_SMALL_FLEET
}

/// Whether the store failed this host within `FAILURE_RETRY`.
pub fn store_failed_recently(state: &State) -> bool {
    state
        .readers
        .failed_recently(&state.settings.store, state.now())
}

/// Reader that this host polls now; none if it reads the store itself.
pub fn source(state: &State) -> Option<SocketAddr> {
    let now = state.now();
    let store_failed = store_failed_recently(state);
    let settings = &state.settings;
    let role = state.readers.role(settings.peers);
    if !store_failed && (is_small_fleet(state) || state.leads() || role == Role::Root) {
        return None;
    }
    let readers = state.readers.assignment.lock();
    let usable =
        |r: &&Reader| r.addr != settings.peers && !state.readers.failed_recently(&r.addr, now);
    // Roots and readers poll roots only, since changes passed around in a cycle would hide how old they are.
    let suitable = |r: &&Reader| match role {
        Role::Follower => store_failed || r.root || r.hall == settings.hall,
        Role::Root | Role::Reader => r.root,
    };
    // In its own hall a host prefers no root over other readers, which spreads the load.
    let rank = |r: &&Reader| {
        let key = format!("{} {}", settings.name, r.addr);
        let own_hall = r.hall == settings.hall;
        (
            own_hall,
            !own_hall && r.root,
            rendezvous::hash(key.as_bytes()),
        )
    };
    let candidates = readers.iter().filter(|r| usable(r) && suitable(r));
    candidates.max_by_key(rank).map(|r| r.addr)
}

/// Records changes up to a revision, read from the store at `confirmed`, to serve them.
pub fn record_changes(state: &State, changes: &[Change], revision: u64, confirmed: Time) {
    let mut changelog = state.readers.changelog.lock();
    let is_new = revision > changelog.revision();
    changelog.extend(changes.iter().cloned(), revision, confirmed);
    drop(changelog);
    if is_new {
        state.readers.updated.notify_waiters();
    }
}

/// Records items that were read ahead of the rest of the store, to serve them with the next changes.
pub fn record_ahead(state: &State, items: &[Item]) {
    state.readers.changelog.lock().add_ahead(items);
}

/// Records a snapshot of the store, read at `confirmed`, to serve it.
pub fn record_snapshot(state: &State, items: &[Item], revision: u64, confirmed: Time) {
    let mut changelog = state.readers.changelog.lock();
    changelog.merge_snapshot(items, revision, confirmed);
    drop(changelog);
    state.readers.updated.notify_waiters();
}
