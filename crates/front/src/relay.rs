//! Passing a replica's answer on: whole bodies at once, streams event by event.
//!
//! A stream that breaks is taken up at another replica behind its last whole event, if its route
//! allows that (`resume`); otherwise the client's connection breaks, so that the answer never looks whole.

mod resume;

use crate::attempt::{Call, Exchange, Failure, History, Reservation};
use crate::events::Splitter;
use crate::peers::Peers;
use crate::quarantine;
use crate::respond::{Body, full_body};
use crate::state::{InFlight, State};
use bytes::Bytes;
use conn::Line;
use futures::stream;
use http_body_util::{BodyExt, Limited, StreamBody};
use hyper::Response;
use hyper::body::{Frame, Incoming};
use hyper::header::{self, HeaderMap};
use platform::answer::Said;
use platform::ingress;
use std::io;
use std::sync::Arc;
use tracing::info;
use unit::{Span, Time};

/// Longest answer that is not a stream, in bytes.
const MOST_ANSWER: usize = 16 << 20;

/// Silence of a stream that may be resumed after which is looked whether its replica is gone.
const SILENCE: Span = Span::from_ms(1_000);

/// Part of the longest pause in time from which a pause tells that a replica is slow.
const LONG_PART: f64 = 0.7;

/// Whether the replica of a place is in the view, has not started again, and its entry is not missing.
fn is_there(state: &State, place: &Reservation) -> bool {
    let table = state.table.lock();
    let seen = table.view.get(&place.replica);
    seen.is_some_and(|s| s.missing.is_none() && s.entry.incarnation == place.incarnation)
}

/// Reads an answer that is not a stream whole.
pub async fn read_whole(
    state: &Arc<State>,
    call: &Call,
    sent: Exchange,
) -> Result<Response<Body>, Failure> {
    let Exchange {
        mut place,
        line,
        response,
        said,
    } = sent;
    let (head, body) = response.into_parts();
    let read = Limited::new(body, MOST_ANSWER).collect();
    let read = state.clock.timeout_at(call.deadline, read).await;
    let body = match read {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(e)) => {
            let failed = Failure::Lost(format!("its answer broke off: {e}"));
            place.ended(call, &failed);
            return Err(failed);
        }
        Err(_) => {
            place.failed();
            return Err(Failure::TimedOut);
        }
    };
    let failed = head.status.is_server_error();
    place.answered(failed);
    if !failed {
        quarantine::note_success(state, call);
    }
    keep(state, &place, line, &said);
    let mut response = Response::new(full_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = returned(&head.headers);
    Ok(response)
}

/// Gives a connection back once its answer was read whole, if the replica keeps it.
fn keep(state: &State, place: &Reservation, line: Line, said: &Said) {
    if said.keeps_connection {
        state
            .pool
            .give(&place.replica, line, said.keeps_for, state.now());
    }
}

/// Answer that comes as events.
struct Relay {
    state: Arc<State>,
    peers: Arc<Peers>,
    call: Arc<Call>,
    source: Option<Source>,
    splitter: Splitter,
    first: Option<Bytes>,
    tried: History,
    last_event: Time,
    /// Time to the first event.
    first_after: Span,
    /// Longest pause between two events so far.
    longest: Pause,
    _in_flight: InFlight,
}

/// Pause between two events of a stream, and what stood at the replica when it ended.
#[derive(Default)]
struct Pause {
    took: Span,
    /// Requests in flight at the replica, as far as they were known here.
    in_flight: f64,
    /// Time to read the prompts that were not read there.
    unread: Span,
}

/// Where the events come from now.
struct Source {
    place: Reservation,
    line: Line,
    said: Said,
    body: Incoming,
}

/// Waits for the first whole event of an answer, then gives the answer that passes all on.
pub async fn open_stream(
    state: &Arc<State>,
    peers: &Arc<Peers>,
    call: &Arc<Call>,
    sent: Exchange,
    tried: History,
) -> Result<Response<Body>, Failure> {
    let mut answer = Response::new(());
    *answer.status_mut() = sent.response.status();
    *answer.headers_mut() = returned(sent.response.headers());
    let source = Source::from(sent);
    let mut relay = Relay {
        state: state.clone(),
        peers: peers.clone(),
        call: call.clone(),
        source: Some(source),
        splitter: Splitter::default(),
        first: None,
        tried,
        last_event: state.now(),
        first_after: Span::ZERO,
        longest: Pause::default(),
        _in_flight: state.enter(),
    };
    relay.start().await?;
    let events = stream::unfold(relay, |mut relay| async move {
        let event = relay.step().await?;
        Some((event, relay))
    });
    Ok(answer.map(|()| StreamBody::new(events).boxed_unsync()))
}

/// Header fields of an answer as they go on; the length is set anew by what is passed on.
fn returned(headers: &HeaderMap) -> HeaderMap {
    let mut headers = ingress::returned(headers);
    headers.remove(header::CONTENT_LENGTH);
    headers
}

impl Source {
    /// The events of an answer whose head has come.
    fn from(sent: Exchange) -> Source {
        Source {
            place: sent.place,
            line: sent.line,
            said: sent.said,
            body: sent.response.into_body(),
        }
    }
}

impl Relay {
    /// Waits for the first whole event; a failure before it may be made good elsewhere.
    async fn start(&mut self) -> Result<(), Failure> {
        self.first = match self.read().await {
            Ok(first) => first,
            Err(why) => {
                if let Some(source) = self.source.take() {
                    source.place.ended(&self.call, &why);
                }
                return Err(why);
            }
        };
        self.last_event = self.state.now();
        if let Some(source) = &mut self.source {
            source.place.started();
            let took = self.state.now().since(self.call.arrived);
            self.first_after = took;
            let metrics = &self.state.log.metrics;
            metrics.record_first_byte(&self.call.route.name, took);
        }
        Ok(())
    }

    /// Next piece for the client; none at the end.
    async fn step(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        if let Some(first) = self.first.take() {
            return Some(Ok(Frame::data(first)));
        }
        loop {
            match self.read().await {
                Ok(Some(events)) => {
                    self.note_pause();
                    return Some(Ok(Frame::data(events)));
                }
                Ok(None) => return self.end(),
                Err(why) => match self.resume(&why).await {
                    true => continue,
                    false => return Some(Err(self.cut(&why))),
                },
            }
        }
    }

    /// Learns from the pause before an event, if it was long.
    fn note_pause(&mut self) {
        let now = self.state.now();
        let pause = now.since(self.last_event);
        self.last_event = now;
        let gap = self.call.route.gap.map(Span::from);
        let long = gap.is_some_and(|gap| pause > gap * LONG_PART);
        if let Some(source) = self.source.as_ref().filter(|_| long) {
            let mut table = self.state.table.lock();
            table.record_slow_event(&source.place.replica, now);
            if pause > self.longest.took {
                let (in_flight, unread) = table.load(&source.place.replica, now);
                self.longest = Pause {
                    took: pause,
                    in_flight,
                    unread,
                };
            }
        }
    }

    /// Tells that the stream is complete.
    fn end(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        self.state
            .log
            .metrics
            .record_outcome(&self.call.route.name, "complete");
        let id = &self.call.id;
        let ms = self.state.now().since(self.call.arrived).ms();
        let route = &self.call.route;
        let model = self.call.ask.model.as_deref();
        let target_ms = Span::from(route.target).ms();
        let gap_ms = route.gap.map(|gap| Span::from(gap).ms());
        let (first_ms, pause_ms) = (self.first_after.ms(), self.longest.took.ms());
        let (in_flight, unread_ms) = (self.longest.in_flight, self.longest.unread.ms());
        self.state.log.sampled(id, || {
            info!(target: "request", event = "answered", id = &**id, route = &*route.name, model, ms, first_ms, target_ms, pause_ms, gap_ms, in_flight, unread_ms, "the stream is complete; pause_ms is its longest long pause, with what stood at the replica then")
        });
        None
    }

    /// Reads whole events, or none when the answer has ended well.
    async fn read(&mut self) -> Result<Option<Bytes>, Failure> {
        while self.source.is_some() {
            let Some(frame) = self.frame().await? else {
                return self.ended().map(|()| None);
            };
            let Ok(data) = frame.into_data() else {
                continue;
            };
            let events = self.splitter.push(data);
            let events = events.map_err(|_| Failure::Lost("an event was too long".into()))?;
            if events.is_some() {
                return Ok(events);
            }
        }
        Ok(None)
    }

    /// Reads one frame of the answer, or none at its end.
    async fn frame(&mut self) -> Result<Option<Frame<Bytes>>, Failure> {
        let deadline = self.call.deadline;
        let clock = &self.state.clock;
        let resumable = self.call.route.kind.is_repeatable();
        let Some(source) = &mut self.source else {
            return Ok(None);
        };
        loop {
            let silence = clock.now() + SILENCE;
            let until = match resumable {
                true => deadline.min(silence),
                false => deadline,
            };
            match clock.timeout_at(until, source.body.frame()).await {
                Ok(frame) => {
                    let broken = |e| Failure::Lost(format!("its stream broke off: {e}"));
                    return frame.transpose().map_err(broken);
                }
                Err(_) if until == deadline => return Err(Failure::TimedOut),
                // Silence alone is no reason to give a replica up: it may just be slow.
                Err(_) if is_there(&self.state, &source.place) => {}
                Err(_) => {
                    return Err(Failure::Lost("the replica was silent, and is gone".into()));
                }
            }
        }
    }

    /// Notes that the answer has ended, unless it ended inside an event.
    fn ended(&mut self) -> Result<(), Failure> {
        if self.splitter.is_partial() {
            return Err(Failure::Lost("its stream ended inside an event".into()));
        }
        if let Some(mut source) = self.source.take() {
            source.place.answered(false);
            quarantine::note_success(&self.state, &self.call);
            keep(&self.state, &source.place, source.line, &source.said);
        }
        Ok(())
    }

    /// Breaks the answer off, so that it does not look whole.
    fn cut(&mut self, why: &Failure) -> io::Error {
        self.source = None;
        let call = &self.call;
        self.state
            .log
            .metrics
            .record_outcome(&call.route.name, "broken");
        let age = self.state.now().since(call.arrived).ms();
        let tried = self.tried.replicas.join(",");
        let last = self.splitter.last_id();
        self.state.log.rate_limited(|| {
            tracing::warn!(target: "request", event = "broken", id = &*call.id, print = %call.fingerprint(), route = &*call.route.name, tried, last, ms = age, why = %why, "the stream is broken off")
        });
        io::Error::other(why.to_string())
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
            info!(target: "request", event = "cancelled", id = &*call.id, route = &*call.route.name, replica = &*source.place.replica, ms, "the client left; the replica's connection is closed")
        });
    }
}
