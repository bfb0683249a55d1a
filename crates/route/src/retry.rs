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
    pub fn unanswered(may_have_run: bool) -> Outcome {
        match may_have_run {
            true => Outcome::Unknown,
            false => Outcome::NotRun,
        }
    }

    /// The word in the outcome header.
    pub fn word(self) -> &'static str {
        match self {
            Outcome::Complete => "complete",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Nothing was sent, or the upstream documented that it ran nothing.
    NotRun,
    /// It was sent, and its answer broke off or never came.
    Lost,
    /// The upstream knows nothing of the stream that was to be resumed.
    Forgotten,
}

/// What is known of a request when an attempt has failed.
#[derive(Debug, Clone, Copy)]
pub struct Known {
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
pub enum Next {
    /// Resume the attempt's stream at the same upstream.
    Resume,
    /// Make another attempt, elsewhere if possible, if the retry budget allows.
    Again,
    /// Tell the caller.
    GiveUp(Outcome),
}

/// Decides what follows a failed attempt.
pub fn next(known: &Known, end: End, now: Time) -> Next {
    let ran = known.may_have_run || end != End::NotRun;
    let verdict = Outcome::unanswered(ran);
    if now >= known.deadline {
        return Next::GiveUp(verdict);
    }
    if end == End::Lost && known.resumes < MOST_RESUMES {
        return Next::Resume;
    }
    let may = known.repeatable || !ran;
    if may && known.attempts < MOST_ATTEMPTS {
        return Next::Again;
    }
    Next::GiveUp(verdict)
}

#[cfg(test)]
mod tests {
    use super::*;

    const KNOWN: Known = Known {
        repeatable: false,
        attempts: 1,
        resumes: 0,
        may_have_run: false,
        deadline: Time(10),
    };

    #[test]
    fn unrepeatable_is_attempted_again_only_when_nothing_ran() {
        assert_eq!(next(&KNOWN, End::NotRun, Time(1)), Next::Again);
        let ran = Known {
            may_have_run: true,
            ..KNOWN
        };
        assert_eq!(
            next(&ran, End::NotRun, Time(1)),
            Next::GiveUp(Outcome::Unknown)
        );
        assert_eq!(
            next(&KNOWN, End::Forgotten, Time(1)),
            Next::GiveUp(Outcome::Unknown)
        );
    }

    #[test]
    fn a_lost_stream_is_resumed_then_given_up_or_continued() {
        assert_eq!(next(&KNOWN, End::Lost, Time(1)), Next::Resume);
        let resumed = Known {
            resumes: MOST_RESUMES,
            ..KNOWN
        };
        assert_eq!(
            next(&resumed, End::Lost, Time(1)),
            Next::GiveUp(Outcome::Unknown)
        );
        let repeatable = Known {
            repeatable: true,
            ..resumed
        };
        assert_eq!(next(&repeatable, End::Lost, Time(1)), Next::Again);
    }

    #[test]
    fn nothing_follows_the_deadline() {
        assert_eq!(
            next(&KNOWN, End::NotRun, Time(10)),
            Next::GiveUp(Outcome::NotRun)
        );
        assert_eq!(
            next(&KNOWN, End::Lost, Time(10)),
            Next::GiveUp(Outcome::Unknown)
        );
    }
}
