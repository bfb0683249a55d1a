//! Opens connections to replicas that could not be reached, so that requests go there again as soon as that succeeds.

use crate::paths;
use crate::pool::Line;
use crate::state::State;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;
use unit::{Name, Span};

/// Interval at which due probes are started.
const INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a probe; hosts and replicas are milliseconds apart.
const TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of probes started at once, some 320 a second; a whole hall may be unreachable.
const MAX_STARTED: usize = 16;

/// Replicas that are probed at once while the paths of this host are in doubt.
const MAX_IN_DOUBT: usize = 4;

/// Starts probes as they become due, until the daemon ends.
pub async fn run(state: Arc<State>) {
    loop {
        sleep(INTERVAL).await;
        let now = state.now();
        let in_doubt = paths::take_probe(&state, now);
        let mut due = state
            .table
            .lock()
            .start_probes(MAX_STARTED, Span::from(TIMEOUT), now);
        if in_doubt {
            due.extend(state.table.lock().draw_replicas(MAX_IN_DOUBT));
        }
        for (replica, addr) in due {
            tokio::spawn(probe(state.clone(), replica, addr));
        }
    }
}

/// Probes one replica.
async fn probe(state: Arc<State>, replica: Name, addr: SocketAddr) {
    let is_open = open(&state, &replica, addr, TIMEOUT).await.is_ok();
    let now = state.now();
    state.table.lock().record_probe(&replica, is_open, now);
    match is_open {
        true => paths::record_arrival(&state),
        false => paths::record_failure(&state, &replica),
    }
    if is_open {
        state.changed.notify_waiters();
    }
}

/// Opens a connection to a replica and keeps it for the next request.
pub async fn open(
    state: &State,
    replica: &Name,
    addr: SocketAddr,
    timeout: Duration,
) -> Result<(), conn::Error> {
    let connection = state.pool.open(addr, timeout).await?;
    let metrics = &state.log.metrics;
    metrics
        .counter("coveford_connections_opened_total", &[])
        .increment(1);
    let line = Line::new(connection);
    state.pool.give(replica, line, None, state.now());
    Ok(())
}
