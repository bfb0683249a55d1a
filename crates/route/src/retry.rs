//! Retry policy after a failed attempt.
//!
//! A request that is not repeatable is retried only if no attempt can have run. An interrupted stream is resumed at
//! the same upstream or, if the request is repeatable, continued at another one from the text generated so far.

use serde::{Deserialize, Serialize};
use unit::Time;

/// Maximum number of attempts per request, not counting resumptions.
const MAX_ATTEMPTS: u32 = 4;

/// Maximum number of resumptions per attempt.
const MAX_RESUMES: u32 = 2;

/// Outcome of a request as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The complete response was delivered.
    Complete,
    /// The request did certainly not run.
    NotRun,
    /// The request may have run; its response is lost.
    Unknown,
}

impl Outcome {
    /// Outcome of a request without a response.
    pub fn without_answer(may_have_run: bool) -> Outcome {
        match may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, or the upstream confirmed that the request did not run.
    NotRun,
    /// The request was sent, and its response is incomplete or missing.
    Lost,
    /// The stream to be resumed does not exist at the upstream.
    UnknownStream,
}

/// State of a request after a failed attempt.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Whether the request may run more than once.
    pub repeatable: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Resumptions of the last attempt.
    pub resumes: u32,
    /// Whether any attempt may have run.
    pub may_have_run: bool,
    /// Time after which the response is of no use.
    pub deadline: Time,
}

/// Next step for the request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Resume the stream at the same upstream.
    Resume,
    /// Retry, preferably at another upstream, if the retry budget allows.
    Retry,
    /// Report the outcome to the caller.
    GiveUp(Outcome),
}

/// Decides how to proceed after a failed attempt.
pub fn decide(context: &Context, failure: Failure, now: Time) -> Action {
    let ran = context.may_have_run || failure != Failure::NotRun;
    let outcome = Outcome::without_answer(ran);
    if now >= context.deadline {
        return Action::GiveUp(outcome);
    }
    if failure == Failure::Lost && context.resumes < MAX_RESUMES {
        return Action::Resume;
    }
    let may_retry = context.repeatable || !ran;
    if may_retry && context.attempts < MAX_ATTEMPTS {
        return Action::Retry;
    }
    Action::GiveUp(outcome)
}

#[cfg(test)]
mod tests {
    use super::*;

    const CONTEXT: Context = Context {
        repeatable: false,
        attempts: 1,
        resumes: 0,
        may_have_run: false,
        deadline: Time(10),
    };

    #[test]
    fn unrepeatable_requests_are_retried_only_if_nothing_ran() {
        assert_eq!(decide(&CONTEXT, Failure::NotRun, Time(1)), Action::Retry);
        let ran = Context {
            may_have_run: true,
            ..CONTEXT
        };
        assert_eq!(
            decide(&ran, Failure::NotRun, Time(1)),
            Action::GiveUp(Outcome::Unknown)
        );
        assert_eq!(
            decide(&CONTEXT, Failure::UnknownStream, Time(1)),
            Action::GiveUp(Outcome::Unknown)
        );
    }

    #[test]
    fn a_lost_stream_is_resumed_then_given_up_or_retried() {
        assert_eq!(decide(&CONTEXT, Failure::Lost, Time(1)), Action::Resume);
        let resumed = Context {
            resumes: MAX_RESUMES,
            ..CONTEXT
        };
        assert_eq!(
            decide(&resumed, Failure::Lost, Time(1)),
            Action::GiveUp(Outcome::Unknown)
        );
        let repeatable = Context {
            repeatable: true,
            ..resumed
        };
        assert_eq!(decide(&repeatable, Failure::Lost, Time(1)), Action::Retry);
    }

    #[test]
    fn nothing_is_retried_past_the_deadline() {
        assert_eq!(
            decide(&CONTEXT, Failure::NotRun, Time(10)),
            Action::GiveUp(Outcome::NotRun)
        );
        assert_eq!(
            decide(&CONTEXT, Failure::Lost, Time(10)),
            Action::GiveUp(Outcome::Unknown)
        );
    }
}
