//! Whether this host reaches the replicas, by what its requests and probes find.

use crate::state::State;
use parking_lot::Mutex;
use route::isolation::{Detector, Reach};
use std::sync::Arc;
use tokio::sync::watch;
use tracing::{info, warn};
use unit::{Name, Span, Time};

/// Paths of this host to the replicas.
pub struct Paths {
    detector: Mutex<Detector>,
    reach: watch::Sender<Reach>,
    /// When this host last found itself isolated.
    isolated_at: Mutex<Time>,
}

impl Default for Paths {
    fn default() -> Paths {
        Paths {
            detector: Mutex::default(),
            reach: watch::Sender::new(Reach::Sound),
            isolated_at: Mutex::default(),
        }
    }
}

/// Counts a request at a replica until it is dropped.
pub struct Waiting(Arc<State>);

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.paths.detector.lock().finish();
    }
}

/// Counts a request as being at a replica.
pub fn enter(state: &Arc<State>) -> Waiting {
    state.paths.detector.lock().begin(state.now());
    Waiting(state.clone())
}

/// Records that something arrived from a replica.
pub fn record_arrival(state: &State) {
    let now = state.now();
    let ends_failures = state.paths.detector.lock().record_arrival(now);
    if ends_failures {
        update(state, now);
    }
}

/// Records that no connection to a replica could be opened. The table must not be locked.
pub fn record_failure(state: &State, replica: &Name) {
    let now = state.now();
    state.paths.detector.lock().record_failure(replica, now);
    update(state, now);
}

/// Whether to probe paths now, and records that this is done. The table must not be locked.
pub fn take_probe(state: &State, now: Time) -> bool {
    if !state.paths.detector.lock().is_in_doubt(now) {
        return false;
    }
    update(state, now);
    let known = replica_count(state);
    state.paths.detector.lock().take_probe(known, now)
}

/// State of this host's paths.
pub fn reach(state: &State) -> Reach {
    *state.paths.reach.borrow()
}

/// Whether no replica is reached.
pub fn is_isolated(state: &State) -> bool {
    reach(state) == Reach::Isolated
}

/// Time without paths after which requests in flight are given up that may be repeated. Replicas may be silent for a
/// second and go on, and callers leave a stream that pauses for two.
const LOST_AFTER: Span = Span::from_ms(1_000);

/// Whether the paths have been lost for so long that requests in flight are given up.
pub fn are_lost(state: &State) -> bool {
    let isolated_at = *state.paths.isolated_at.lock();
    is_isolated(state) && state.now().since(isolated_at) >= LOST_AFTER
}

/// Waits until the paths have been lost for so long that requests in flight are given up.
pub async fn lost(state: &State) {
    let mut reach = state.paths.reach.subscribe();
    loop {
        // The sender lives as long as the state.
        let _ = reach.wait_for(|reach| *reach == Reach::Isolated).await;
        tokio::time::sleep(LOST_AFTER.std()).await;
        if are_lost(state) {
            return;
        }
    }
}

fn replica_count(state: &State) -> usize {
    state.table.lock().view.all().count()
}

/// Updates the state of the paths, and logs when the host finds itself isolated and when that is over.
fn update(state: &State, now: Time) {
    let known = replica_count(state);
    let reach = state.paths.detector.lock().reach(known, now);
    let before = state.paths.reach.send_replace(reach);
    if before == reach {
        return;
    }
    if reach == Reach::Sound {
        state.changed.notify_waiters();
    }
    match (before, reach) {
        (_, Reach::Isolated) => {
            *state.paths.isolated_at.lock() = now;
            warn!(target: "paths", event = "isolated", known, "this host reaches no replica; requests go by way of other hosts")
        }
        (Reach::Isolated, _) => {
            info!(target: "paths", event = "connected", known, "this host reaches replicas again")
        }
        _ => {}
    }
}
