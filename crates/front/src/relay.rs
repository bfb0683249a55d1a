//! Forwarding of a replica's answer: a body as a whole, a stream event by event.
//!
//! A broken stream is resumed at another replica after its last complete event, if its route allows
//! that (`resume`). Otherwise the client's connection is aborted, so that a truncated answer never
//! looks complete.

mod resume;
mod whole;

pub use whole::read_whole;

use crate::attempt::{Call, Exchange, Failure, History, Origin};
use crate::events::Splitter;
use crate::memory;
use crate::paths;
use crate::peers::Peers;
use crate::pool::Line;
use crate::quarantine;
use crate::respond::Body;
use crate::state::{InFlight, State};
use crate::streams;
use bytes::Bytes;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::{self, HeaderMap};
use platform::ingress;
use platform::response::Feedback;
use route::pause::Batch;
use route::quarantine::Instance;
use std::io;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use tracing::info;
use unit::{Name, Span, Time};

/// Time without data of a resumable stream after which its replica is checked.
const SILENCE_CHECK: Span = Span::from_ms(1_000);

/// Interval of further checks while it stays silent.
const SILENCE_INTERVAL: Span = Span::from_ms(250);

/// Fraction of the longest allowed pause from which a pause counts as long.
const LONG_PAUSE_FRACTION: f64 = 0.7;

/// Most pauses of a stream from which its decode step is measured.
const MAX_PAUSES: usize = 64;

/// Why an answer that ends with its connection counts as lost.
const ENDED_BEFORE_BEGIN: &str = "its connection ended before the answer had begun";

/// Why an answer that ends with its connection counts as lost if its replica has crashed.
const CRASHED_AT_END: &str = "its connection ended, and the replica has crashed";

/// Fails if the replica of an answer that ended with its connection has crashed. It may then have been cut short.
async fn confirm_end(state: &State, instance: Option<Instance>) -> Result<(), Failure> {
    match instance {
        Some(instance) if quarantine::has_crashed(state, &instance).await => {
            Err(Failure::Lost(CRASHED_AT_END.into()))
        }
        _ => Ok(()),
    }
}

/// Forwarded event stream.
struct Relay {
    state: Arc<State>,
    peers: Arc<Peers>,
    call: Arc<Call>,
    source: Option<Source>,
    splitter: Splitter,
    /// Memory for the bytes after the last complete event.
    memory: memory::Reservation,
    first_chunk: Option<Bytes>,
    history: History,
    last_event_at: Time,
    /// Streams at the replica when the last event arrived, if pauses are expected by replica.
    beside: Option<Batch>,
    /// Time from the arrival of the request to the first event.
    ttft: Span,
    /// Ratio of the expected time to first token to the real one, from the send on.
    forecast_ratio: Option<f64>,
    /// Longest of the long pauses between two events.
    longest_pause: Pause,
    /// Pauses between the first events.
    pauses: Vec<Span>,
    /// Replica at which the stream broke off last, and the version of its software.
    broken_at: Option<(Name, Name)>,
    _in_flight: InFlight,
}

/// Pause between two events, and the load of the replica at its end.
#[derive(Default)]
struct Pause {
    duration: Span,
    /// Requests in flight at the replica, as far as known here.
    in_flight: f64,
    /// Time to prefill the prompts that waited there.
    prefill_backlog: Span,
    /// What was expected of it when it began.
    expected: Option<Span>,
}

/// Answer that events are read from.
struct Source {
    origin: Origin,
    line: Line,
    feedback: Feedback,
    body: Incoming,
    /// When its first event arrived.
    began_at: Option<Time>,
}

/// Waits for the first complete event of an answer, then returns an answer that forwards the
/// stream.
pub async fn open_stream(
    state: &Arc<State>,
    peers: &Arc<Peers>,
    call: &Arc<Call>,
    exchange: Exchange,
    history: History,
) -> Result<Response<Body>, Failure> {
    let mut answer = Response::new(());
    *answer.status_mut() = exchange.response.status();
    *answer.headers_mut() = returned(exchange.response.headers());
    let source = Source::from(exchange);
    let mut relay = Relay {
        state: state.clone(),
        peers: peers.clone(),
        call: call.clone(),
        source: Some(source),
        splitter: Splitter::default(),
        memory: state.answer_memory.reserve(),
        first_chunk: None,
        history,
        last_event_at: state.now(),
        beside: None,
        ttft: Span::ZERO,
        forecast_ratio: None,
        longest_pause: Pause::default(),
        pauses: Vec::new(),
        broken_at: None,
        _in_flight: state.enter(),
    };
    relay.read_first_event().await?;
    let events = stream::unfold(relay, |mut relay| async move {
        let event = relay.next_chunk().await?;
        Some((event, relay))
    });
    Ok(answer.map(|()| StreamBody::new(events).boxed_unsync()))
}

/// Failure of a stream whose event was the longest when the memory for answers was used up.
fn exhausted() -> Failure {
    Failure::Lost("an event was the longest when the memory for answers was used up".into())
}

/// Header fields that are forwarded, without the length.
fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut headers = ingress::response_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

impl Source {
    fn from(exchange: Exchange) -> Source {
        Source {
            origin: exchange.origin,
            line: exchange.line,
            feedback: exchange.feedback,
            body: exchange.response.into_body(),
            began_at: None,
        }
    }
}

impl Relay {
    /// Reads the first event. Until it has arrived, the request may be retried elsewhere.
    async fn read_first_event(&mut self) -> Result<(), Failure> {
        self.first_chunk = match self.read_events().await {
            Ok(first) => first,
            Err(failure) => {
                if let Some(source) = self.source.take() {
                    source.origin.record_failure(&self.call, &failure);
                }
                return Err(failure);
            }
        };
        self.last_event_at = self.state.now();
        self.record_run()?;
        if let Some(source) = &mut self.source {
            source.origin.record_first_token();
            self.forecast_ratio = source.origin.forecast_ratio();
            let took = self.state.now().since(self.call.arrived);
            self.ttft = took;
            let metrics = &self.state.log.metrics;
            metrics.record_first_byte(&self.call.route.name, took);
        }
        self.beside = self.streams_beside();
        Ok(())
    }

    /// Records which software gave the first event, before the client gets it; fails if the stream needs other software.
    fn record_run(&mut self) -> Result<(), Failure> {
        if !streams::is_resumable(&self.call) || self.first_chunk.is_none() {
            return Ok(());
        }
        let run = self.source.as_ref().and_then(|s| s.origin.run(&self.state));
        let (needed, actual) = (self.call.software(), run.as_ref().map(|r| &r.software));
        if needed.is_some() && actual.is_some() && needed != actual {
            let failure = Failure::Lost("other software answered than began the stream".into());
            if let Some(source) = self.source.take() {
                source.origin.record_failure(&self.call, &failure);
            }
            return Err(failure);
        }
        streams::record_first_event(&self.state, &self.call, run);
        Ok(())
    }

    /// Next data for the client; `None` at the end of the stream.
    async fn next_chunk(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        if let Some(first) = self.first_chunk.take() {
            return Some(Ok(Frame::data(first)));
        }
        loop {
            match self.read_events().await {
                Ok(Some(events)) => {
                    self.record_pause();
                    return Some(Ok(Frame::data(events)));
                }
                Ok(None) => return self.complete(),
                Err(failure) => match self.resume(&failure).await {
                    true => continue,
                    false => return Some(Err(self.abort(&failure))),
                },
            }
        }
    }

    /// Records the pause before an event, if it was long.
    fn record_pause(&mut self) {
        let now = self.state.now();
        let pause = now.since(self.last_event_at);
        self.last_event_at = now;
        if self.pauses.len() < MAX_PAUSES {
            self.pauses.push(pause);
        }
        if let Some(batch) = self.beside {
            let mut table = self.state.table.lock();
            table.record_pause(&self.call.service, &batch, pause);
        }
        let gap = self.call.route.max_gap.map(Span::from);
        let is_long = gap.is_some_and(|gap| pause > gap * LONG_PAUSE_FRACTION);
        let replica = self.source.as_ref().and_then(|s| s.origin.replica());
        if let Some(replica) = replica.filter(|_| is_long) {
            let mut table = self.state.table.lock();
            table.record_stall(replica, now);
            if pause > self.longest_pause.duration {
                let (in_flight, prefill_backlog) = table.load(replica, now);
                self.longest_pause = Pause {
                    duration: pause,
                    in_flight,
                    prefill_backlog,
                    expected: self.beside.map(|b| b.pause(b.pending)),
                };
            }
        }
        self.beside = self.streams_beside();
    }

    /// Streams at the replica now.
    fn streams_beside(&self) -> Option<Batch> {
        let source = self.source.as_ref()?;
        let model = self.call.metadata.model.as_ref()?;
        let table = self.state.table.lock();
        let replica = source.origin.replica()?;
        table.streams_at(replica, &self.call.service, model, self.last_event_at)
    }

    /// Logs the end of a complete stream.
    fn complete(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        self.state
            .log
            .metrics
            .record_outcome(&self.call.route.name, "complete");
        let id = &self.call.id;
        let ms = self.state.now().since(self.call.arrived).ms();
        let route = &self.call.route;
        let model = self.call.metadata.model.as_deref();
        let target_ms = Span::from(route.target_latency).ms();
        let gap_ms = route.max_gap.map(|gap| Span::from(gap).ms());
        let (first_ms, pause_ms) = (self.ttft.ms(), self.longest_pause.duration.ms());
        let (in_flight, unread_ms) = (
            self.longest_pause.in_flight,
            self.longest_pause.prefill_backlog.ms(),
        );
        let forecast = self.forecast_ratio;
        let expected_pause_ms = self.longest_pause.expected.map(Span::ms);
        self.state.log.sampled(id, || {
            info!(target: "request", event = "answered", id = &**id, route = &*route.name, model, ms, first_ms, forecast, target_ms, pause_ms, gap_ms, in_flight, unread_ms, expected_pause_ms, "stream complete; forecast is the expected by the real time from the send to the first token, pause_ms is its longest long pause, in_flight and unread_ms the load of the replica then")
        });
        None
    }

    /// Reads complete events; `None` if the answer has ended properly.
    async fn read_events(&mut self) -> Result<Option<Bytes>, Failure> {
        while self.source.is_some() {
            let Some(frame) = self.next_frame().await? else {
                return self.finish_source().await.map(|()| None);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(data);
            let events = events.map_err(|_| Failure::Lost("an event was too long".into()))?;
            let reserved = self.memory.resize(self.splitter.capacity());
            reserved.map_err(|_| exhausted())?;
            if events.is_some() {
                self.record_progress();
                return Ok(events);
            }
        }
        Ok(None)
    }

    /// Records that events have arrived.
    fn record_progress(&mut self) {
        let now = self.state.now();
        if let Some(source) = &mut self.source {
            let began_at = *source.began_at.get_or_insert(now);
            self.call.has_begun.store(true, Ordering::Relaxed);
            if now.since(began_at) >= quarantine::PROOF_TIME {
                quarantine::note_sound_segments(&self.state, &self.call);
            }
        }
    }

    /// Reads one frame of the answer; `None` at its end.
    async fn next_frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        let deadline = self.call.deadline;
        let clock = &self.state.clock;
        let is_resumable = self.call.route.kind.is_idempotent();
        let Some(source) = &mut self.source else {
            return Ok(None);
        };
        let mut silence = SILENCE_CHECK;
        loop {
            let silent_until = clock.now() + silence;
            let until = match is_resumable {
                true => deadline.min(silent_until),
                false => deadline,
            };
            let frame = clock.timeout_at(until, source.body.frame());
            let frame = tokio::select! {
                biased;
                () = self.memory.revoked() => return Err(exhausted()),
                frame = frame => frame,
            };
            silence = SILENCE_INTERVAL;
            match frame {
                Ok(frame) => {
                    if source.origin.replica().is_some() {
                        paths::record_arrival(&self.state);
                    }
                    let to_failure =
                        |error| Failure::Lost(format!("its stream broke off: {error}"));
                    return frame.transpose().map_err(to_failure);
                }
                Err(_) if until == deadline => return Err(Failure::TimedOut),
                // Silence alone is no failure: the replica may be slow.
                Err(_) if source.origin.replica().is_some() && paths::are_lost(&self.state) => {
                    let why = "this host reaches no replica any more";
                    return Err(Failure::Lost(why.into()));
                }
                Err(_) if source.origin.is_present(&self.state) => {}
                Err(_) => {
                    return Err(Failure::Lost("the replica was silent, and is gone".into()));
                }
            }
        }
    }

    /// Records the end of the answer; fails if it ended within an event, with its connection before it began, or with a
    /// crash.
    async fn finish_source(&mut self) -> Result<(), Failure> {
        if self.splitter.is_partial() {
            return Err(Failure::Lost("its stream ended inside an event".into()));
        }
        // A crash ends such an answer too, and a replica crashes when it begins one.
        let is_empty = |source: &Source| source.began_at.is_none() && !source.feedback.is_framed;
        if self.source.as_ref().is_some_and(is_empty) {
            return Err(Failure::Lost(ENDED_BEFORE_BEGIN.into()));
        }
        let unframed = self.source.as_ref().filter(|s| !s.feedback.is_framed);
        let instance = unframed.and_then(|source| source.origin.instance());
        confirm_end(&self.state, instance).await?;
        if let Some(mut source) = self.source.take() {
            source.origin.record_answer(false);
            source.origin.record_pauses(&mut self.pauses);
            source
                .origin
                .return_connection(&self.state, &self.call, source.line, &source.feedback);
            quarantine::note_success(&self.state, &self.call);
        }
        Ok(())
    }

    /// Aborts the answer, so that it does not look complete.
    fn abort(&mut self, failure: &Failure) -> io::Error {
        self.source = None;
        let call = &self.call;
        self.state
            .log
            .metrics
            .record_outcome(&call.route.name, "broken");
        let age = self.state.now().since(call.arrived).ms();
        let attempted = self.history.attempted.join(",");
        let last = self.splitter.last_id();
        self.state.log.rate_limited(|| {
            tracing::warn!(target: "request", event = "broken", id = &*call.id, print = %call.fingerprint(), segments = call.metadata.segment_ids(), route = &*call.route.name, tried = attempted, last, ms = age, why = %failure, "stream aborted")
        });
        io::Error::other(failure.to_string())
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        let Some(source) = &self.source else { return };
        let call = &self.call;
        let ms = self.state.now().since(call.arrived).ms();
        self.state
            .log
            .metrics
            .record_outcome(&call.route.name, "cancelled");
        self.state.log.sampled(&call.id, || {
            info!(target: "request", event = "cancelled", id = &*call.id, route = &*call.route.name, replica = source.origin.replica().map(|r| &**r), ms, "client disconnected; the connection to the replica is closed")
        });
    }
}
