//! What follows a failed attempt.
//!
//! A request that may not be repeated is attempted again only while it is
//! proven that no attempt ran. A stream is resumed where it runs, or, when the
//! request may be repeated, continued elsewhere from the text so far.

use serde::{Deserialize, Serialize};
use unit::Time;

/// Attempts at one request, resumptions not counted.
const MOST_ATTEMPTS: u32 = 4;

/// Resumptions of one attempt's stream.
const MOST_RESUMES: u32 = 2;

/// What the caller is told of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer was given.
    Complete,
    /// Proven not to have run.
    NotRun,
    /// It may have run; its answer is lost.
    Unknown,
}

impl Outcome {
    /// What is true of a request that has no answer.
    pub fn without_answer(may_have_run: bool) -> Outcome {
        match may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// The word in the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// Nothing was sent, or the upstream documented that it ran nothing.
    NotRun,
    /// It was sent, and its answer broke off or never came.
    Lost,
    /// The upstream knows nothing of the stream that was to be resumed.
    UnknownStream,
}

/// What is known of a request when an attempt has failed.
#[derive(Debug, Clone, Copy)]
pub struct Context {
    /// Whether the request may be repeated.
    pub repeatable: bool,
    /// Attempts so far.
    pub attempts: u32,
    /// Resumptions of the last attempt so far.
    pub resumes: u32,
    /// Whether an earlier attempt, or this one, may have run.
    pub may_have_run: bool,
    /// When nobody needs the answer any more.
    pub deadline: Time,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Resume the attempt's stream at the same upstream.
    Resume,
    /// Make another attempt, elsewhere if possible, if the retry budget allows.
    Retry,
    /// Tell the caller.
    GiveUp(Outcome),
}

/// Decides what follows a failed attempt.
pub fn decide(known: &Context, end: Failure, now: Time) -> Action {
    let ran = known.may_have_run || end != Failure::NotRun;
    let verdict = Outcome::without_answer(ran);
    if now >= known.deadline {
        return Action::GiveUp(verdict);
    }
    if end == Failure::Lost && known.resumes < MOST_RESUMES {
        return Action::Resume;
    }
    let may = known.repeatable || !ran;
    if may && known.attempts < MOST_ATTEMPTS {
        return Action::Retry;
    }
    Action::GiveUp(verdict)
}

#[cfg(test)]
mod tests {
    use super::*;

    const KNOWN: Context = Context {
        repeatable: false,
        attempts: 1,
        resumes: 0,
        may_have_run: false,
        deadline: Time(10),
    };

    #[test]
    fn unrepeatable_is_attempted_again_only_when_nothing_ran() {
        assert_eq!(decide(&KNOWN, Failure::NotRun, Time(1)), Action::Retry);
        let ran = Context {
            may_have_run: true,
            ..KNOWN
        };
        assert_eq!(
            decide(&ran, Failure::NotRun, Time(1)),
            Action::GiveUp(Outcome::Unknown)
        );
        assert_eq!(
            decide(&KNOWN, Failure::UnknownStream, Time(1)),
            Action::GiveUp(Outcome::Unknown)
        );
    }

    #[test]
    fn a_lost_stream_is_resumed_then_given_up_or_continued() {
        assert_eq!(decide(&KNOWN, Failure::Lost, Time(1)), Action::Resume);
        let resumed = Context {
            resumes: MOST_RESUMES,
            ..KNOWN
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
    fn nothing_follows_the_deadline() {
        assert_eq!(
            decide(&KNOWN, Failure::NotRun, Time(10)),
            Action::GiveUp(Outcome::NotRun)
        );
        assert_eq!(
            decide(&KNOWN, Failure::Lost, Time(10)),
            Action::GiveUp(Outcome::Unknown)
        );
    }
}
