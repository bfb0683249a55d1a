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
    pub ahead: Span,
    /// Time to read all prompts sent there and not read yet.
    pub backlog: Span,
    /// Time to read what it does not keep of this prompt.
    pub reading: Span,
    /// Tokens that the requests in flight there need at the most.
    pub reserved: f64,
    /// Tokens that its memory holds; 0 when it is not limited.
    pub memory: f64,
    /// Time of one request there from its first token to its last.
    pub run: Span,
    /// Whether it stands in this host's hall.
    pub near: bool,
    /// Smoothed share of its answers that failed.
    pub failing: f64,
    /// Smoothed mark of long pauses in its streams, from 0 to 1: it is slow, or has too much to do.
    pub lagging: f64,
}

/// What is asked of a replica.
#[derive(Debug, Clone, Copy)]
pub struct Ask {
    /// Tokens that prompt and answer need together.
    pub tokens: f64,
    /// Time of reading that a replica may have before it at once, so that the streams which run
    /// there make no longer pauses than they may; none when there is no such bound.
    pub pace: Option<Span>,
    /// Width of the random part of a cost, so that hosts with equal tables do not choose alike: about
    /// the work that other hosts may have sent since the tables were told.
    pub blur: Span,
}

impl Candidate {
    /// Expected time to the first token.
    pub fn first_token(&self, ask: &Ask) -> Span {
        self.ahead + self.reading + self.place_wait(ask)
    }

    /// Time until the batch and the memory have room.
    fn place_wait(&self, ask: &Ask) -> Span {
        let slots = f64::from(self.slots.max(1));
        let beyond = (self.in_flight + 1.0 - slots).max(0.0);
        let places = self.run * (beyond / slots);
        if self.memory <= 0.0 {
            return places;
        }
        let over = (self.reserved + ask.tokens - self.memory).max(0.0);
        places.max(self.run * (over / self.memory))
    }

    /// Whether a place of the batch is free, so that a request would not wait for one.
    pub fn has_place(&self) -> bool {
        self.in_flight + 1.0 <= f64::from(self.slots)
    }

    /// Whether a request would neither wait for a place there nor hold up those that run.
    pub fn takes(&self, ask: &Ask) -> bool {
        self.is_paced(ask) && self.has_place()
    }

    /// Whether the prompt can be read there now without a long pause for those that run.
    pub fn is_paced(&self, ask: &Ask) -> bool {
        let fits = |pace| self.backlog + self.reading <= pace;
        self.backlog == Span::ZERO || ask.pace.is_none_or(fits)
    }

    /// Whether what is to be read there already holds up those that run for as long as it may, however
    /// long the prompt of the request itself is.
    pub fn is_held_up(&self, ask: &Ask) -> bool {
        ask.pace.is_some_and(|pace| self.backlog > pace)
    }

    /// Cost of sending the request there.
    fn cost(&self, ask: &Ask, rng: &mut impl Rng) -> Span {
        let distance = match self.near {
            true => Span::ZERO,
            false => OTHER_HALL,
        };
        let late = match self.is_paced(ask) {
            true => Span::ZERO,
            false => self.backlog,
        };
        let jitter = Span(rng.random_range(0..=ask.blur.0));
        let lagging = LAGGING * self.lagging;
        let taken = (self.in_flight / f64::from(self.slots.max(1))).min(1.0);
        let taken = TAKEN * (taken * taken);
        let failing = 1.0 + FAILING_CHARGE * self.failing;
        (self.first_token(ask) + late + taken + lagging + distance + jitter) * failing
    }
}

/// Part of its target that a refused request should wait yet when its client comes back.
const BACK_WITHIN: f64 = 0.5;

/// Time after which the client of a request that would wait too long may come back: when that wait
/// has mostly passed, but not before one more copy of its model is there, if one is on its way.
pub fn return_after(expected: Span, target: Span, coming: Option<Span>) -> Span {
    let passed = expected.saturating_sub(target * BACK_WITHIN);
    passed.max(coming.unwrap_or(Span::ZERO))
}

/// Index of the cheapest candidate, and its expected time to the first token.
pub fn choose(ask: &Ask, candidates: &[Candidate], rng: &mut impl Rng) -> Option<(usize, Span)> {
    let sound = candidates.iter().any(|c| c.failing < FAILING);
    let mut best: Option<(usize, Span)> = None;
    for (i, candidate) in candidates.iter().enumerate() {
        if sound && candidate.failing >= FAILING {
            continue;
        }
        let cost = candidate.cost(ask, rng);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((i, cost));
        }
    }
    best.map(|(i, _)| (i, candidates[i].first_token(ask)))
}
