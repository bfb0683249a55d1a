//! Telling the crash of a replica from a broken connection.

use super::Report;
use crate::attempt::{Call, Reservation};
use crate::probe;
use crate::state::State;
use crate::view::Replica;
use route::quarantine::{Cause, Incident, IncidentId, Instance, Interruption};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};
use tracing::info;

/// Time after the first broken connection for the others to break: a process that ends closes all
/// of them within milliseconds.
const PROBE_DELAY: Duration = Duration::from_millis(15);

/// Timeout for a connection to be opened or refused; hosts and replicas are milliseconds apart. A
/// timeout proves nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Records that a request was interrupted at a replica, and probes the replica once for all
/// requests that are interrupted together.
pub fn note_interrupted(state: &Arc<State>, call: &Call, reservation: &Reservation) {
    let now = state.now();
    let listed = (reservation.replica.clone(), reservation.incarnation);
    let trial = call.trial.get();
    if let Some(trial) = trial {
        trial.mark_interrupted();
    }
    let causes = match call.has_sound_segments.load(Ordering::Relaxed) {
        true => vec![Cause::Request(call.fingerprint())],
        false => call.causes(),
    };
    let to_probe = {
        let mut registry = state.quarantine.registry.lock();
        let interruption = Interruption {
            succeeded: registry.known_sound(&causes),
            causes,
            connected_at: reservation.connected_at.unwrap_or(reservation.reserved_at),
            on_trial: trial.is_some() && !call.has_begun.load(Ordering::Relaxed),
        };
        registry.alert(now);
        registry
            .incidents
            .record_interruption(&listed, interruption, now)
    };
    let Some(incident) = to_probe else {
        return;
    };
    let replica = state.table.lock().view.get(&reservation.replica).cloned();
    let must_probe =
        |replica: &Replica| incident.needs_probe || replica.entry.incarnation == listed.1;
    let Some(replica) = replica.filter(must_probe) else {
        return report_crash(state, &listed, incident.id);
    };
    let state = state.clone();
    tokio::spawn(async move {
        sleep(PROBE_DELAY).await;
        if refuses(replica.entry.addr).await {
            report_crash(&state, &listed, incident.id);
        }
    });
}

/// Whether the replica to which a request was sent has crashed since. A crash ends an answer with neither a length nor
/// chunks as its sound end does.
///
/// A replica that leaves may end after a whole answer, so it counts as sound, unless it is taken away at a set time, whatever
/// it runs. A connection that opens is kept.
pub async fn has_crashed(state: &State, (id, incarnation): &Instance) -> bool {
    sleep(PROBE_DELAY).await;
    let Some(replica) = state.table.lock().view.get(id).cloned() else {
        return false;
    };
    if replica.entry.leaving && replica.entry.departs_in.is_none() {
        return false;
    }
    if replica.entry.incarnation != *incarnation {
        return true;
    }
    match probe::open(state, id, replica.entry.addr, PROBE_TIMEOUT).await {
        Err(conn::Error::Connect { source, .. }) => source.kind() == ErrorKind::ConnectionRefused,
        Ok(()) | Err(_) => false,
    }
}

/// Whether an address refuses connections.
async fn refuses(addr: SocketAddr) -> bool {
    let opened = timeout(PROBE_TIMEOUT, TcpStream::connect(addr)).await;
    matches!(opened, Ok(Err(why)) if why.kind() == ErrorKind::ConnectionRefused)
}

/// Reports a crash, unless it has been reported.
fn report_crash(state: &State, instance: &Instance, id: IncidentId) {
    let incidents = &mut state.quarantine.registry.lock().incidents;
    let incident = incidents.confirm_crash(instance, id);
    if let Some(incident) = incident {
        report_incident(state, incident);
    }
}

/// Records that a replica has left or restarted: interrupted requests there were interrupted by a
/// crash.
pub fn note_replaced(state: &State, replica: &str) {
    let current = state.table.lock().view.get(replica).cloned();
    let present = current.map(|s| (s.entry.id.clone(), s.entry.incarnation));
    let incidents = {
        let known = &mut state.quarantine.registry.lock().incidents;
        known.confirm_replaced(replica, present.as_ref())
    };
    for incident in incidents {
        report_incident(state, incident);
    }
}

fn report_incident(state: &State, incident: Incident) {
    let replica = &*incident.instance.0;
    let in_flight = incident.requests;
    let segments = incident.in_flight.iter().filter(|c| c.segment().is_some());
    let segments = segments.count();
    state.log.rate_limited(|| {
        info!(target: "quarantine", event = "fell", replica, in_flight, segments, "replica crashed with requests of this host in flight; their failed attempts name them")
    });
    state.quarantine.report(Report::Crashed(incident));
}
