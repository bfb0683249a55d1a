//! How far a replica is with the prompts that it was sent: a prompt counts in full until its first token.

use unit::{Span, Time};

/// Greatest part of the pending prompts that is taken as done before a first token shows it.
const MAX_DONE: f64 = 0.8;

/// Progress of a replica with its pending prompts.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Progress {
    /// Prefill of all pending prompts, in milliseconds.
    pending: f64,
    /// When the prompt that is prefilled now was begun, as far as known.
    since: Time,
}

impl Progress {
    /// Records the prefill of all pending prompts, in milliseconds. It shrinks with each first token, when the next
    /// prompt is begun.
    pub fn observe(&mut self, pending: f64, now: Time) {
        if pending < self.pending || self.pending <= 0.0 {
            self.since = now;
        }
        self.pending = pending;
    }

    /// Part of the prompts ahead that is left, given their prefill on a replica of this factor.
    pub fn remaining(&self, ahead: Span, factor: f64, now: Time) -> Span {
        let pending = Span::from_secs_f64(self.pending / factor / 1e3);
        let done = now.since(self.since).min(pending * MAX_DONE);
        ahead.saturating_sub(done.min(ahead * MAX_DONE))
    }
}
