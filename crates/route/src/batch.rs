//! Choice among replicas that run many requests in one batch, and whether a request is admitted.
//!
//! Cost = expected time to the first token there, from the prompts that wait before it, the free
//! places of the batch and the prompt's parts that are kept; with small charges for places that are
//! taken and for another hall.

use rand::{Rng, RngExt};
use unit::Span;

/// Charge for a replica in another hall: bytes between halls are paid for.
const OTHER_HALL: Span = Span::from_ms(4);

/// Charge for a replica whose streams all pause too long: about what one more prompt costs there.
const LAGGING: Span = Span::from_ms(150);

/// Charge for a replica whose places are all taken, beside the wait for one: what is known of it is
/// some 50 ms old, and each prompt that is read there holds up all streams that run. It grows with
/// the square of the share of places taken. About the time to read one prompt of 1,200 tokens.
const TAKEN: Span = Span::from_ms(60);

/// Share of failures above which a replica is chosen only when no other is left.
const FAILING: f64 = 0.3;

/// Part of a cost that is added to it for a replica whose answers all fail.
const FAILING_CHARGE: f64 = 4.0;

/// Replica that could take the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Requests that it runs at once.
    pub slots: u32,
    /// Requests in flight there, as far as they are known here.
    pub in_flight: f64,
    /// Time to read the prompts sent there that are as urgent or more, and not read yet.
    pub prefill_ahead: Span,
    /// Time to read all prompts sent there and not read yet.
    pub prefill_backlog: Span,
    /// Time to read what it does not keep of this prompt.
    pub prefill: Span,
    /// Tokens that the requests in flight there need at the most.
    pub reserved_tokens: f64,
    /// Tokens that its memory holds; 0 when it is not limited.
    pub token_capacity: f64,
    /// Time of one request there from its first token to its last.
    pub decode: Span,
    /// Whether it stands in this host's hall.
    pub same_hall: bool,
    /// Smoothed share of its answers that failed.
    pub failure_rate: f64,
    /// Smoothed mark of long pauses in its streams, from 0 to 1: it is slow, or has too much to do.
    pub stall_rate: f64,
}

/// What is asked of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Tokens that prompt and answer need together.
    pub tokens: f64,
    /// Time of reading that a replica may have before it at once, so that the streams which run
    /// there make no longer pauses than they may; none when there is no such bound.
    pub prefill_limit: Option<Span>,
    /// Width of the random part of a cost, so that hosts with equal tables do not choose alike: about
    /// the work that other hosts may have sent since the tables were told.
    pub jitter: Span,
}

impl Candidate {
    /// Expected time to the first token.
    pub fn ttft(&self, ask: &Request) -> Span {
        self.prefill_ahead + self.prefill + self.slot_wait(ask)
    }

    /// Time until the batch and the memory have room.
    fn slot_wait(&self, ask: &Request) -> Span {
        let slots = f64::from(self.slots.max(1));
        let beyond = (self.in_flight + 1.0 - slots).max(0.0);
        let places = self.decode * (beyond / slots);
        if self.token_capacity <= 0.0 {
            return places;
        }
        let over = (self.reserved_tokens + ask.tokens - self.token_capacity).max(0.0);
        places.max(self.decode * (over / self.token_capacity))
    }

    /// Whether a place of the batch is free, so that a request would not wait for one.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight + 1.0 <= f64::from(self.slots)
    }

    /// Whether a request would neither wait for a place there nor hold up those that run.
    pub fn is_available(&self, ask: &Request) -> bool {
        self.fits_prefill_limit(ask) && self.has_free_slot()
    }

    /// Whether the prompt can be read there now without a long pause for those that run.
    pub fn fits_prefill_limit(&self, ask: &Request) -> bool {
        let fits = |pace| self.prefill_backlog + self.prefill <= pace;
        self.prefill_backlog == Span::ZERO || ask.prefill_limit.is_none_or(fits)
    }

    /// Whether what is to be read there already holds up those that run for as long as it may, however
    /// long the prompt of the request itself is.
    pub fn exceeds_prefill_limit(&self, ask: &Request) -> bool {
        ask.prefill_limit
            .is_some_and(|pace| self.prefill_backlog > pace)
    }

    /// Cost of sending the request there.
    fn cost(&self, ask: &Request, rng: &mut impl Rng) -> Span {
        let distance = match self.same_hall {
            true => Span::ZERO,
            false => OTHER_HALL,
        };
        let late = match self.fits_prefill_limit(ask) {
            true => Span::ZERO,
            false => self.prefill_backlog,
        };
        let jitter = Span(rng.random_range(0..=ask.jitter.0));
        let lagging = LAGGING * self.stall_rate;
        let taken = (self.in_flight / f64::from(self.slots.max(1))).min(1.0);
        let taken = TAKEN * (taken * taken);
        let failing = 1.0 + FAILING_CHARGE * self.failure_rate;
        (self.ttft(ask) + late + taken + lagging + distance + jitter) * failing
    }
}

/// Part of its target that a refused request should wait yet when its client comes back.
const BACK_WITHIN: f64 = 0.5;

/// Time after which the client of a request that would wait too long may come back: when that wait
/// has mostly passed, but not before one more copy of its model is there, if one is on its way.
pub fn retry_after(expected: Span, target: Span, coming: Option<Span>) -> Span {
    let passed = expected.saturating_sub(target * BACK_WITHIN);
    passed.max(coming.unwrap_or(Span::ZERO))
}

/// Index of the cheapest candidate, and its expected time to the first token.
pub fn choose(
    ask: &Request,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<(usize, Span)> {
    let sound = candidates.iter().any(|c| c.failure_rate < FAILING);
    let mut best: Option<(usize, Span)> = None;
    for (i, candidate) in candidates.iter().enumerate() {
        if sound && candidate.failure_rate >= FAILING {
            continue;
        }
        let cost = candidate.cost(ask, rng);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((i, cost));
        }
    }
    best.map(|(i, _)| (i, candidates[i].ttft(ask)))
}
