//! What the head of an answer proves about the request that was sent last on its connection.
//!
//! A request counts as not run only by a proof that belongs to this send and to no other:
//!
//! - nothing of it was written to a connection ([`conn::Error::proves_unsent`]);
//! - a refusal that names it: it is sent to a replica only once, so no copy of an earlier refusal can come;
//! - a refusal that names no request, on a connection that has carried nothing else;
//! - the word of another host that it was passed on to, over a connection of its own.
//!
//! A replica may send bytes after a whole answer, which belong to no request whatever they look like. And it may run a
//! request and answer with a status that is a promise when a host gives it, as 503 and 429 are.

use platform::response::Feedback;
use std::ops::Range;

/// Verdict on an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// It is the answer to the request.
    Answered,
    /// The replica has not run the request and will not.
    NotRun,
    /// It answers the request with a status that would tell the caller that it has not run, which the replica does not
    /// state.
    Unproven,
    /// It may belong to another request or to none; the reason, for logs.
    Foreign(&'static str),
}

impl Verdict {
    /// Label for logs.
    pub fn label(self) -> &'static str {
        match self {
            Verdict::Answered => "answered",
            Verdict::NotRun => "not_run",
            Verdict::Unproven => "unproven",
            Verdict::Foreign(_) => "foreign",
        }
    }
}

/// Statuses that end a request; others are invalid (RFC 9110, section 15), or no answer to what hosts send.
const FINAL_STATUSES: Range<u16> = 200..600;

/// Judges an answer by its head. `is_first` is whether its connection has carried no request before.
pub fn judge(feedback: &Feedback, request: &str, is_first: bool) -> Verdict {
    if !FINAL_STATUSES.contains(&feedback.status) {
        return Verdict::Foreign("an answer with an invalid status came");
    }
    match feedback.request_id() {
        Some(_) if !feedback.matches_request(request) => {
            return Verdict::Foreign("an answer to another request came");
        }
        None if !is_first => {
            let why =
                "an answer that names no request came on a connection that had carried another";
            return Verdict::Foreign(why);
        }
        _ => {}
    }
    match feedback.not_executed {
        true => Verdict::NotRun,
        false if feedback.signed && feedback.claims_not_run() => Verdict::Unproven,
        false => Verdict::Answered,
    }
}
