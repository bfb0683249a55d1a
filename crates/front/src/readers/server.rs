//! Answering other hosts' questions about what has changed in the store.

use super::client::is_old;
use super::message::{Answer, MOST_QUESTION, News, PATH, Question, Row};
use crate::respond::{Body, full_body};
use crate::state::State;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{Instant, timeout};
use unit::Time;

/// Time in which the body of a question must have come: it is some bytes in one packet with its head.
const QUESTION_LIMIT: Duration = Duration::from_secs(1);

/// Answers another host's question, at the latest when its time to wait is over.
pub async fn answer(state: Arc<State>, request: Request<Incoming>) -> Response<Body> {
    let mut response = Response::new(full_body(Bytes::new()));
    if request.uri().path() != PATH {
        *response.status_mut() = StatusCode::NOT_FOUND;
        return response;
    }
    let Some(question) = question(request).await else {
        *response.status_mut() = StatusCode::BAD_REQUEST;
        return response;
    };
    let begin = state.now();
    wait_for_news(&state, &question).await;
    let answer = rmp_serde::to_vec(&current(&state, question.after, begin));
    let answer = answer.expect("an answer is plain data");
    *response.body_mut() = full_body(answer.into());
    response
}

/// Reads a question; none when it is not one, or does not come in time.
async fn question(request: Request<Incoming>) -> Option<Question> {
    let body = Limited::new(request.into_body(), MOST_QUESTION);
    let body = timeout(QUESTION_LIMIT, body.collect()).await.ok()?.ok()?;
    rmp_serde::from_slice(&body.to_bytes()).ok()
}

/// Waits until something has changed after the question's revision.
async fn wait_for_news(state: &State, question: &Question) {
    let end = Instant::now() + Duration::from_millis(u64::from(question.wait_ms));
    loop {
        let news = state.readers.updated.notified();
        let left = end.saturating_duration_since(Instant::now());
        if left.is_zero() || has_answer(state, question) {
            return;
        }
        let _ = timeout(left, news).await;
    }
}

/// Whether a question need not wait: there is news, or what this host knows is too old to rest on, which
/// the one that asks had better hear at once.
fn has_answer(state: &State, question: &Question) -> bool {
    let recent = state.readers.recent.lock();
    let age = recent.age(state.now());
    recent.revision() > question.after || is_old(age, state.settings.bounds.propagation())
}

/// What this host can say now of the changes after a revision, to a question that came at `begin`.
fn current(state: &State, after: u64, begin: Time) -> Answer {
    let now = state.now();
    let store = state.table.lock().view.contact.ages(now);
    let recent = state.readers.recent.lock();
    let news = match recent.since(after) {
        Some(changes) => News::Changes(changes.into_iter().map(Row::from).collect()),
        None => News::Whole(recent.snapshot().into_iter().map(Row::from).collect()),
    };
    Answer {
        revision: recent.revision(),
        age_ms: recent.age(now).ms().ceil() as u32,
        held_ms: now.since(begin).ms() as u32,
        store,
        news,
    }
}
