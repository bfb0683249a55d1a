//! Runs of a stand-in engine and their streams.

use super::state::{Fault, Running, Started, State, token};
use crate::web::{self, Body};
use bytes::Bytes;
use conn::Cut;
use futures::stream;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::borrow::Cow;
use std::io;
use std::sync::Arc;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};
use unit::Name;
use upstream::engine::{Attempt, End, Event, Refusal, RefusalReason, Run};

/// Starts or resumes a run and streams it.
pub(super) async fn run(
    state: Arc<State>,
    request: Request<Incoming>,
) -> Result<Response<Body>, Cut> {
    let run: Run = web::read(request).await.ok_or(Cut)?;
    if let Some(offset) = run.resume_at {
        return Ok(match follow(&state, &run.attempt, offset, None) {
            Some(body) => Response::new(body),
            None => refuse(&run.attempt, RefusalReason::UnknownStream),
        });
    }
    let faults = state.inner.lock().faults.clone();
    let fault = faults.lock().pop_front();
    match fault {
        Some(Fault::CloseBefore) => return Err(Cut),
        Some(Fault::Refuse) => return Ok(refuse(&run.attempt, RefusalReason::Full)),
        _ => {}
    }
    if let Err(cause) = start(&state, &run) {
        return Ok(refuse(&run.attempt, cause));
    }
    match fault {
        Some(Fault::CloseAfter) => return Err(Cut),
        Some(Fault::Garbage) => {
            let mut response = Response::new(web::full("oops"));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            return Ok(response);
        }
        Some(Fault::Late(by)) => sleep(by).await,
        _ => {}
    }
    let body = follow(&state, &run.attempt, run.given_tokens, fault).ok_or(Cut)?;
    Ok(Response::new(body))
}

fn refuse(attempt: &Attempt, cause: RefusalReason) -> Response<Body> {
    let refusal = Refusal {
        attempt: attempt.clone(),
        refused: cause,
    };
    web::json(StatusCode::SERVICE_UNAVAILABLE, &refusal)
}

/// Starts a run; it goes on by itself.
fn start(state: &Arc<State>, run: &Run) -> Result<(), RefusalReason> {
    let mut inner = state.inner.lock();
    if inner.leaving && inner.refuses_when_leaving {
        return Err(RefusalReason::Leaving);
    }
    if !inner.holds(&run.model, run.adapter.as_ref()) {
        return Err(RefusalReason::NotLoaded);
    }
    let leaving = inner.leaving;
    inner.started.push(Started {
        attempt: run.attempt.clone(),
        prompt: run.prompt.clone(),
        at: Instant::now(),
        leaving,
    });
    let (done, _) = watch::channel(run.given_tokens);
    inner.runs.insert(
        run.attempt.clone(),
        Running {
            done,
            from: run.given_tokens,
            total: run.max_tokens,
            model: run.model.clone(),
            prompt: run.prompt.clone(),
            cancelled: false,
        },
    );
    inner.prune();
    inner.waiting += 1;
    let cached = inner.cache(&run.model, &run.prompt);
    let incarnation = inner.incarnation;
    inner.changed();
    drop(inner);
    tokio::spawn(generate(
        state.clone(),
        run.attempt.clone(),
        cached,
        incarnation,
    ));
    Ok(())
}

async fn generate(state: Arc<State>, attempt: Attempt, cached: bool, incarnation: u64) {
    let slot = state.slots.acquire().await;
    let counted = |running: i64, waiting: i64| {
        let mut inner = state.inner.lock();
        if inner.incarnation == incarnation {
            inner.running = (i64::from(inner.running) + running) as u32;
            inner.waiting = (i64::from(inner.waiting) + waiting) as u32;
            inner.changed();
        }
    };
    counted(1, -1);
    if !cached {
        sleep(state.prefill).await;
    }
    while step(&state, &attempt, incarnation) {
        sleep(state.token).await;
        state.thawed().await;
    }
    counted(-1, 0);
    drop(slot);
}

/// Generates a token; tells whether there are more to come.
fn step(state: &State, attempt: &Attempt, incarnation: u64) -> bool {
    let inner = state.inner.lock();
    if inner.incarnation != incarnation {
        return false;
    }
    let Some(run) = inner.runs.get(attempt) else {
        return false;
    };
    if run.cancelled {
        return false;
    }
    run.done
        .send_modify(|done| *done = (*done + 1).min(run.total));
    *run.done.borrow() < run.total
}

/// Cancels a run.
pub(super) fn cancel(state: &State, attempt: &Attempt) {
    let mut inner = state.inner.lock();
    let Some(run) = inner.runs.get_mut(attempt) else {
        return;
    };
    let ended = *run.done.borrow() >= run.total;
    if !ended && !run.cancelled {
        run.cancelled = true;
        inner.cancelled += 1;
    }
}

/// Stream of a run from an offset, as far as it is written.
struct Reader {
    state: Arc<State>,
    attempt: Attempt,
    done: watch::Receiver<u32>,
    next: u32,
    total: u32,
    model: Name,
    prompt: Name,
    fault: Option<Fault>,
    ended: bool,
}

fn follow(
    state: &Arc<State>,
    attempt: &Attempt,
    offset: u32,
    fault: Option<Fault>,
) -> Option<Body> {
    let inner = state.inner.lock();
    let run = inner.runs.get(attempt)?;
    if run.cancelled || offset < run.from {
        return None;
    }
    let reader = Reader {
        state: state.clone(),
        attempt: attempt.clone(),
        done: run.done.subscribe(),
        next: offset,
        total: run.total,
        model: run.model.clone(),
        prompt: run.prompt.clone(),
        fault,
        ended: false,
    };
    let frames = stream::unfold(reader, |mut reader| async move {
        let frame = reader.frame().await?;
        Some((frame, reader))
    });
    Some(BodyExt::boxed_unsync(StreamBody::new(frames)))
}

impl Reader {
    async fn frame(&mut self) -> Option<Result<Frame<Bytes>, io::Error>> {
        if self.ended {
            return None;
        }
        let from = self.next;
        let done = self
            .done
            .wait_for(|done| *done > from || from >= self.total)
            .await;
        let Ok(done) = done.map(|done| *done) else {
            return Some(Err(io::Error::other("the run is gone")));
        };
        self.state.thawed().await;
        if let Some(broken) = self.broken(done) {
            return broken;
        }
        let mut lines = Vec::new();
        while self.next < done {
            self.line(&mut lines);
        }
        if self.next >= self.total {
            self.end(&mut lines);
        }
        Some(Ok(Frame::data(lines.into())))
    }

    /// Applies the fault that falls due, if one does.
    fn broken(&mut self, done: u32) -> Option<Option<Result<Frame<Bytes>, io::Error>>> {
        let cut = || Some(Some(Err(io::Error::other("cut"))));
        match self.fault {
            Some(Fault::CloseAt(n)) if done >= n => cut(),
            Some(Fault::DieAt(n)) if done >= n => {
                self.state.inner.lock().runs.remove(&self.attempt);
                cut()
            }
            Some(Fault::NoEndAt(n)) if done >= n => Some(None),
            _ => None,
        }
    }

    fn line(&mut self, lines: &mut Vec<u8>) {
        let text = token(&self.model, &self.prompt, self.next);
        let own = Event {
            request: Cow::Borrowed(&self.attempt.request),
            number: self.attempt.number,
            offset: self.next,
            text: Cow::Owned(text),
            tokens: 1,
            end: None,
        };
        match self.fault {
            Some(Fault::Crossed) => {
                let other = Event {
                    request: "somebody-else".into(),
                    text: "NOT YOURS ".into(),
                    ..own.clone()
                };
                write(lines, &other);
                let earlier = Event {
                    number: 0,
                    text: "AN EARLIER ATTEMPT'S ".into(),
                    ..own.clone()
                };
                write(lines, &earlier);
                write(lines, &own);
            }
            Some(Fault::Doubled) => {
                write(lines, &own);
                write(lines, &own);
            }
            Some(Fault::Gap) if self.next == 1 => {}
            _ => write(lines, &own),
        }
        self.next += 1;
    }

    fn end(&mut self, lines: &mut Vec<u8>) {
        self.ended = true;
        let load = self.state.inner.lock().load();
        let event = Event {
            request: Cow::Borrowed(&self.attempt.request),
            number: self.attempt.number,
            offset: self.next,
            text: "".into(),
            tokens: 0,
            end: Some(End {
                finish: "length".into(),
                prompt_tokens: self.prompt.len() as u32 / 4,
                load,
            }),
        };
        write(lines, &event);
    }
}

fn write(lines: &mut Vec<u8>, event: &Event) {
    serde_json::to_writer(&mut *lines, event).expect("it can always be written");
    lines.push(b'\n');
}
