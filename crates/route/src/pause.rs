//! Pauses of streams that run beside prompts at one replica, and what follows for the prompts sent there.
//!
//! An engine prefills the pending prompts in chunks, one in each decode step, and a step with a chunk takes the time of
//! both. An event of a stream holds several tokens, one a step. So the streams at a replica pause for several chunks
//! per event while prompts are pending: on a fast replica within what their routes allow, on a slow one beyond it. A
//! single limit on the pending prompts of all replicas either stalls the streams of the slow ones or leaves the fast
//! ones idle.
//!
//! The decision weighs waits: what a prompt sent now costs the running streams, against its own wait until the pending
//! prompts are prefilled ([`Batch::defers`]).

mod profile;

pub use profile::{Profile, Slowdown};

use crate::speed::Speed;
use unit::Span;

/// Probability of a long pause that a replica's room for prompts keeps to.
const ROOM_RISK: f64 = 0.05;

/// Steps in which [`Batch::room`] is searched for, by halving.
const ROOM_STEPS: usize = 8;

/// Requests running at a replica, and how its engine interleaves prompts with them.
#[derive(Debug, Clone, Copy)]
pub struct Batch {
    /// Speed of the replica.
    pub speed: Speed,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Most prompt tokens that the engine prefills in one step.
    pub chunk: f64,
    /// Ratio of real pauses to expected ones.
    pub slowdown: Slowdown,
    /// Time to prefill the pending prompts.
    pub pending: Span,
    /// Running streams.
    pub streams: f64,
    /// Shortest pause that the routes of the running streams allow.
    pub max_pause: Span,
}

/// What a prompt is expected to cost the streams that run at a replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Forecast {
    /// Running streams.
    pub streams: f64,
    /// Their longest pause while it is prefilled.
    pub pause: Span,
    /// Its cost to them, see [`Batch::harm`].
    pub harm: Span,
    /// Prefill time that may be pending there; `None` for no limit.
    pub room: Option<Span>,
}

impl Batch {
    /// What a prompt of this prefill time is expected to cost the running streams.
    pub fn forecast(&self, prefill: Span) -> Forecast {
        Forecast {
            streams: self.streams,
            pause: self.pause(self.pending + prefill),
            harm: self.harm(prefill),
            room: self.room(),
        }
    }

    /// Expected longest pause of the running streams while prompts of this prefill time are pending.
    pub fn pause(&self, pending: Span) -> Span {
        self.decode_pause() + pending.min(self.full_chunks())
    }

    /// Time between two events without prompts.
    fn decode_pause(&self) -> Span {
        self.speed.step * f64::from(self.tokens_per_event.max(1))
    }

    /// Prefill time of the full chunks that fit between two events.
    fn full_chunks(&self) -> Span {
        let tokens = self.chunk * f64::from(self.tokens_per_event.max(1));
        let ms = tokens / self.speed.prefill;
        match ms.is_finite() && ms >= 0.0 {
            true => Span((ms * 1e3) as u64),
            // An unknown speed bounds nothing.
            false => Span(u64::MAX),
        }
    }

    /// Probability that a pause is longer than allowed while prompts of this prefill time are pending.
    pub fn risk(&self, pending: Span) -> f64 {
        let expected = self.pause(pending).ms();
        match expected > 0.0 {
            true => self.slowdown.exceeds(self.max_pause.ms() / expected),
            false => 0.0,
        }
    }

    /// Cost to streams of a prompt that is added to those pending: for each stream that it makes late, the pause that
    /// its route allows. Late are streams that run now and would not pause long without it, and streams that begin
    /// while it is prefilled.
    pub fn harm(&self, prefill: Span) -> Span {
        let risk = self.risk(self.pending + prefill);
        let added = (risk - self.risk(self.pending)).max(0.0);
        let begun = prefill.ms() / self.speed.decode.ms().max(1.0);
        let beside = (risk - self.risk(Span::ZERO)).max(0.0);
        self.max_pause * (self.streams * (added + beside * begun))
    }

    /// Cost to a stream that starts there while prompts of this prefill time are still pending. A replica that decodes
    /// too slowly for the stream even without prompts is left to the speeds of replicas.
    pub fn own_harm(&self, pending: Span) -> Span {
        let added = self.risk(pending) - self.risk(Span::ZERO);
        self.max_pause * added.max(0.0)
    }

    /// Whether a prompt should wait until the pending ones are prefilled: sent now, it costs the running streams more
    /// than it would later, by more than its wait.
    pub fn defers(&self, prefill: Span) -> bool {
        if self.pending == Span::ZERO || self.streams <= 0.0 {
            return false;
        }
        let later = Batch {
            pending: Span::ZERO,
            ..*self
        };
        self.harm(prefill) > later.harm(prefill) + self.pending
    }

    /// Most prefill time that may be pending without long pauses; `None` for no limit.
    pub fn room(&self) -> Option<Span> {
        let is_safe = |pending| self.risk(pending) <= ROOM_RISK;
        if self.streams <= 0.0 || is_safe(Span(u64::MAX)) {
            return None;
        }
        let (mut safe, mut unsafe_from) = (Span::ZERO, self.max_pause);
        for _ in 0..ROOM_STEPS {
            let middle = (safe + unsafe_from) * 0.5;
            match is_safe(middle) {
                true => safe = middle,
                false => unsafe_from = middle,
            }
        }
        Some(safe)
    }

    /// Whether the pending prompts alone leave no room.
    pub fn is_beyond_room(&self) -> bool {
        self.room().is_some_and(|room| self.pending > room)
    }
}

/// Largest difference in cost between the copies of a model by kind of work, as a fraction of the allowed pause.
const DIVISION: f64 = 0.25;

/// Cost of a replica by how well it suits the kind of a request.
///
/// `position` orders the replicas from those for streams (0) to those for prompts (1), the same at all hosts;
/// `prompt_share` tells the kind of the request from a stream with hardly a prompt (0) to a long prompt (1). The fewer
/// of the replicas' slots are in use (`utilization`), the less one kind of work meets the other.
pub fn division(position: f64, prompt_share: f64, utilization: f64, max_pause: Span) -> Span {
    let fit = (2.0 * position - 1.0) * (2.0 * prompt_share - 1.0);
    max_pause * (DIVISION * utilization.clamp(0.0, 1.0) * (1.0 - fit) / 2.0)
}
