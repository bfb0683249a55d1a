//! Telling a replica's fall from a connection that broke.

use super::Report;
use crate::attempt::{Call, Reservation};
use crate::state::State;
use route::quarantine::Incident;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Time after the first break in which the others come: all connections of a process that ends are closed within
/// some milliseconds.
const PROBE_DELAY: Duration = Duration::from_millis(15);

/// Time for a connection to be opened or refused: hosts and replicas are milliseconds apart. Silence proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Notes that a request broke at a replica, and looks whether that has fallen, once for all that break together.
pub fn note_broken(state: &Arc<State>, call: &Call, place: &Reservation) {
    let now = state.now();
    let start = (place.replica.clone(), place.incarnation);
    let print = call.fingerprint();
    if let Some(trial) = call.trial.get() {
        trial.mark_broken();
    }
    let is_first = {
        let mut board = state.quarantine.registry.lock();
        board.alert(now);
        board.falls.record_failure(&start, print, now)
    };
    if !is_first {
        return;
    }
    let seen = state.table.lock().view.get(&place.replica).cloned();
    let Some(seen) = seen.filter(|s| s.entry.incarnation == place.incarnation) else {
        return report_crash(state, &start);
    };
    let state = state.clone();
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if refuses(seen.entry.addr).await {
            report_crash(&state, &start);
        }
    });
}

/// Whether nobody listens at an address.
async fn refuses(addr: SocketAddr) -> bool {
    let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(opened, Ok(Err(why)) if why.kind() == ErrorKind::ConnectionRefused)
}

/// Tells of a fall, unless it is known.
fn report_crash(state: &State, start: &route::quarantine::Instance) {
    let group = state.quarantine.registry.lock().falls.confirm_crash(start);
    if let Some(group) = group {
        tell(state, &start.0, group);
    }
}

/// Takes in that a replica is gone, or has started again: what broke there broke in a fall.
pub fn note_replaced(state: &State, replica: &str) {
    let seen = state.table.lock().view.get(replica).cloned();
    let present = seen.map(|s| (s.entry.id.clone(), s.entry.incarnation));
    let groups = {
        let falls = &mut state.quarantine.registry.lock().falls;
        falls.confirm_replaced(replica, present.as_ref())
    };
    for group in groups {
        tell(state, replica, group);
    }
}

fn tell(state: &State, replica: &str, group: Incident) {
    let in_flight = group.in_flight.len();
    state.log.rate_limited(|| {
        info!(target: "quarantine", event = "fell", replica, in_flight, "a replica fell with requests of this host in flight; the failed sendings tell which")
    });
    state.quarantine.report(Report::Crashed(group));
}
