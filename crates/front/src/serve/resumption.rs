//! Binds a request that takes up a stream to the software version that began it.

use super::{Context, RETRY_AFTER_DEFAULT};
use crate::attempt::Call;
use crate::message::replica_hash;
use crate::respond::Rejection;
use crate::state::State;
use crate::streams;
use route::streams::{Run, content_key, key};
use tracing::info;

/// By whose word a run is known.
enum Source {
    /// This host keeps it.
    Own,
    /// Another host keeps it.
    Host(String),
    /// All replicas of the service have run one version for longer than a stream lasts.
    SoleVersion,
}

/// Binds a request that takes up a stream to the run that began it; rejects it if no host knows that run.
pub(super) async fn bind(context: &Context, call: &mut Call) -> Result<(), Rejection> {
    if !streams::is_resumption(call) {
        return Ok(());
    }
    let state = &context.state;
    let Some((run, source)) = find(context, call).await else {
        count_failure(state, "unknown");
        let message = "No host knows which software version began the stream.";
        return Err(Rejection::not_run(
            "stream_unknown",
            message,
            RETRY_AFTER_DEFAULT,
        ));
    };
    log_bound(state, call, &run, &source);
    if !bind_to(call, run) {
        count_failure(state, "other_service");
        let message = "The route no longer leads to the service that began the stream.";
        return Err(Rejection::not_run(
            "stream_moved",
            message,
            RETRY_AFTER_DEFAULT,
        ));
    }
    Ok(())
}

/// Binds a call to a run; false if its route does not lead to the service of the run.
pub fn bind_to(call: &mut Call, run: Run) -> bool {
    let mut services = call.route.services.iter();
    if !services.any(|(service, _)| *service == run.service) {
        return false;
    }
    call.service = run.service.clone();
    // The cell is empty: a call is bound once, before it is placed.
    let _ = call.run.set(Some(run));
    true
}

/// Counts a stream that cannot go on, by cause.
pub fn count_failure(state: &State, cause: &'static str) {
    let labels = [("cause", cause)];
    let metrics = &state.log.metrics;
    metrics
        .counter("coveford_streams_not_resumed_total", &labels)
        .increment(1);
}

async fn find(context: &Context, call: &Call) -> Option<(Run, Source)> {
    let state = &context.state;
    let first = call.metadata.resumes.as_ref();
    let key = first.map_or_else(|| content_key(call.fingerprint()), |first| key(first));
    if let Some(run) = state.streams.find(key, state.now()) {
        return Some((run, Source::Own));
    }
    if let Some((run, host)) = context.peers.find_run(key).await {
        return Some((run, Source::Host(host.to_string())));
    }
    let software = state.table.lock().sole_software(&call.service, state.now());
    let run = Run {
        service: call.service.clone(),
        software: software?,
        replica: replica_hash(""),
        incarnation: None,
        is_stale: false,
    };
    Some((run, Source::SoleVersion))
}

fn log_bound(state: &State, call: &Call, run: &Run, source: &Source) {
    let (label, host) = match source {
        Source::Own => ("own", None),
        Source::Host(host) => ("host", Some(&**host)),
        Source::SoleVersion => ("sole_version", None),
    };
    let labels = [("source", label)];
    let metrics = &state.log.metrics;
    metrics
        .counter("coveford_streams_taken_up_total", &labels)
        .increment(1);
    state.log.rate_limited(|| {
        let ms = state.now().since(call.arrived).ms();
        let resumes = call.metadata.resumes.as_deref();
        info!(target: "request", event = "bound", id = &*call.id, route = &*call.route.name, resumes, last_event = call.metadata.last_event, service = &*run.service, software = &*run.software, source = label, host, ms, "a client takes up a stream, which goes on at the software version that began it")
    });
}
