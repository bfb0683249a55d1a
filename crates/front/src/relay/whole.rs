//! Answers that are not streams: read whole, then forwarded.

use super::{ENDED_BEFORE_BEGIN, confirm_end, returned};
use crate::attempt::{Call, Exchange, Failure};
use crate::memory;
use crate::paths;
use crate::quarantine;
use crate::respond::{Body, full_body};
use crate::state::State;
use hyper::{Method, Response, StatusCode};
use std::sync::Arc;

/// Longest answer that is not a stream, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// Whether a successful answer to the request has a body, so that one that ends with its connection is not empty.
fn must_have_body(call: &Call, status: StatusCode) -> bool {
    status.is_success() && status != StatusCode::NO_CONTENT && call.method != Method::HEAD
}

/// Reads and forwards an answer that is not a stream.
pub async fn read_whole(
    state: &Arc<State>,
    call: &Arc<Call>,
    exchange: Exchange,
) -> Result<Response<Body>, Failure> {
    let Exchange {
        mut origin,
        line,
        response,
        feedback,
    } = exchange;
    let (head, body) = response.into_parts();
    let read = memory::read(&state.answer_memory, body, MAX_ANSWER);
    let read = state.clock.timeout_at(call.deadline, read);
    let read = tokio::select! {
        biased;
        read = read => read,
        () = paths::lost(state), if call.route.kind.is_idempotent() && origin.replica().is_some() => {
            let failure = Failure::Lost("this host reaches no replica any more".into());
            origin.record_failure(call, &failure);
            return Err(failure);
        }
    };
    let body = match read {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => {
            let failure = Failure::Lost(format!("its answer could not be read whole: {error}"));
            origin.record_failure(call, &failure);
            return Err(failure);
        }
        Err(_) => {
            origin.record_failure(call, &Failure::TimedOut);
            return Err(Failure::TimedOut);
        }
    };
    if body.is_empty() && must_have_body(call, head.status) && !feedback.is_framed {
        let failure = Failure::Lost(ENDED_BEFORE_BEGIN.into());
        origin.record_failure(call, &failure);
        return Err(failure);
    }
    if !body.is_empty() && !feedback.is_framed {
        let confirmed = confirm_end(state, origin.instance()).await;
        confirmed.inspect_err(|failure| origin.record_failure(call, failure))?;
    }
    let failed = head.status.is_server_error();
    origin.record_answer(failed);
    origin.return_connection(state, call, line, &feedback);
    match head.status.is_success() {
        true => quarantine::note_success(state, call),
        false if !failed => quarantine::note_end(state, call),
        false => {}
    }
    let mut response = Response::new(full_body(body));
    *response.status_mut() = head.status;
    *response.headers_mut() = returned(&head.headers);
    Ok(response)
}
