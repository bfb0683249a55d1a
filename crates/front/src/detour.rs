//! Requests that a host without paths to the replicas passes on to another host.
//!
//! The host that the caller asked keeps the request: it reads it, checks its key and quota, and answers the caller. The
//! other host sends it to a replica as it does its own requests, by its own knowledge of keys, limits, departures and the
//! quarantine. A request is passed on once; what comes by the listener for hosts never is.
//!
//! `client` passes requests on and `server` takes them; `route::detour` chooses the host.

mod client;
mod message;
mod server;

pub use client::{Hop, send};
pub use message::PATH;
pub use server::respond;

use crate::attempt::Call;
use crate::paths;
use crate::routes::Edition;
use crate::settings::Limits;
use crate::state::State;
use conn::Pool;
use parking_lot::Mutex;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use route::detour::{Candidate, Hosts};
use route::isolation::Reach;
use std::net::SocketAddr;
use std::sync::Arc;
use tokio::sync::Semaphore;
use unit::{Span, Time};

/// Requests of other hosts that a host takes at once, per core. Each is read and written twice more than a host's own.
const MAX_PER_CORE: f64 = 800.0;

/// Divisor of the descriptors that gives the most requests of other hosts: each takes two of them.
const DESCRIPTOR_DIVISOR: usize = 8;

/// Hosts that a request is passed on to at most, one after the other.
const MAX_HOSTS: usize = 3;

/// Time after a request could not be sent for lack of paths for which this host asks the leader for other hosts.
const WANTED_FOR: Span = Span::from_ms(5_000);

/// Most requests of other hosts that a host takes at once.
pub fn max_taken(limits: &Limits) -> usize {
    let by_cores = usize::from(max_room(limits.cores as f32));
    by_cores.min(limits.descriptors / DESCRIPTOR_DIVISOR)
}

/// What a host knows and bears of requests that are passed on.
pub struct Detours {
    hosts: Mutex<(Hosts, SmallRng)>,
    /// Connections to other hosts.
    pool: Pool,
    /// Requests of other hosts that may be taken.
    slots: Arc<Semaphore>,
    /// When a request last could not be sent for lack of paths.
    wanted_at: Mutex<Option<Time>>,
    /// Newest configuration by which another host has handled a request of this one, until this one has it in force.
    newest_used: Mutex<Option<Edition>>,
}

/// Opens the detours of a host; `seed` makes hosts choose differently.
pub fn open(limits: &Limits, seed: u64) -> Detours {
    Detours {
        hosts: Mutex::new((Hosts::default(), SmallRng::seed_from_u64(seed))),
        pool: Pool::default(),
        slots: Arc::new(Semaphore::new(max_taken(limits))),
        wanted_at: Mutex::default(),
        newest_used: Mutex::default(),
    }
}

impl Detours {
    /// Replaces the hosts that take requests, as the leader lists them.
    pub fn assign(&self, listed: Vec<Candidate>, now: Time) {
        self.hosts.lock().0.assign(listed, now);
    }

    /// Records a configuration by which another host has handled a request of this one.
    fn record_used(&self, edition: Edition) {
        let mut newest = self.newest_used.lock();
        if newest.is_none_or(|known| edition.replaces(&known)) {
            *newest = Some(edition);
        }
    }

    /// Requests of other hosts in progress here.
    pub fn taken(&self, limits: &Limits) -> usize {
        max_taken(limits) - self.slots.available_permits()
    }
}

/// Requests of other hosts that this one takes beyond those that it has.
pub fn room(state: &State) -> u16 {
    match state.is_draining() || paths::reach(state) != Reach::Sound {
        true => 0,
        false => state.detours.slots.available_permits() as u16,
    }
}

/// Whether it takes fewer requests of other hosts than it could.
pub fn is_room_reduced(state: &State) -> bool {
    usize::from(room(state)) < max_taken(&state.settings.limits)
}

/// Requests of other hosts that a host with this many cores takes at once at most.
pub fn max_room(cores: f32) -> u16 {
    (f64::from(cores) * MAX_PER_CORE) as u16
}

/// Newest configuration by which requests of this host were handled, or that it has in force.
fn newest_edition(state: &State) -> Edition {
    let own = own_edition(state).unwrap_or_default();
    let used = *state.detours.newest_used.lock();
    used.filter(|used| own.is_older_than(used)).unwrap_or(own)
}

/// Configuration in force on this host.
fn own_edition(state: &State) -> Option<Edition> {
    let table = state.table.lock();
    table.routes.as_ref().map(|routes| routes.edition())
}

/// Whether requests of this host were handled by a newer configuration than it has in force itself.
pub fn is_behind(state: &State) -> bool {
    let mut newest = state.detours.newest_used.lock();
    // Most hosts never pass a request on: they need no look at the table.
    let Some(used) = *newest else {
        return false;
    };
    let is_behind = own_edition(state).is_none_or(|own| own.is_older_than(&used));
    if !is_behind {
        *newest = None;
    }
    is_behind
}

/// Whether this host may need other hosts for its requests.
pub fn is_wanted(state: &State) -> bool {
    let now = state.now();
    let wanted_at = *state.detours.wanted_at.lock();
    paths::reach(state) != Reach::Sound || wanted_at.is_some_and(|at| now.since(at) < WANTED_FOR)
}

/// Host for a request while the paths of this one are in doubt, or while it would serve the request by an older
/// configuration than others before.
pub fn choose(state: &State, call: &Call) -> Option<SocketAddr> {
    match paths::reach(state) == Reach::Sound && !is_behind(state) {
        true => None,
        false => choose_for_unreached(state, call),
    }
}

/// Host for a request whose replicas this one does not reach.
pub fn choose_for_unreached(state: &State, call: &Call) -> Option<SocketAddr> {
    let now = state.now();
    *state.detours.wanted_at.lock() = Some(now);
    let mut tried = call.detours.lock();
    if call.passed_on_by.is_some() || tried.len() >= MAX_HOSTS {
        return None;
    }
    let (hosts, rng) = &mut *state.detours.hosts.lock();
    let host = hosts.choose(&state.settings.hall, &tried, rng, now)?;
    tried.push(host);
    Some(host)
}

/// Whether a request can be passed on to another host.
pub fn is_possible(state: &State, call: &Call) -> bool {
    call.passed_on_by.is_none()
        && call.detours.lock().len() < MAX_HOSTS
        && state.detours.hosts.lock().0.has_room(state.now())
}
