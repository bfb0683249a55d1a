//! Selection among replicas with continuous batching, and the admission criteria for a request.
//!
//! The cost of a replica is the expected time to first token (TTFT), from queued prefill work, free batch slots and the
//! cached part of the prompt, plus penalties for occupied slots, stalling streams, failures and another hall.

use crate::pause::{Batch, Forecast};
use rand::{Rng, RngExt};
use unit::Span;

/// Cost of a replica in another hall, since traffic between halls is billed.
const CROSS_HALL_PENALTY: Span = Span::from_ms(4);

/// Cost of a replica whose streams all stall; roughly the prefill time of one prompt.
const STALL_PENALTY: Span = Span::from_ms(150);

/// Cost of a replica with all slots occupied, in addition to the wait for one; scales with the square of the slot
/// utilization. Load data is about 50 ms old, and each prefill delays all streams running at the replica. About the time
/// to prefill a prompt of 1,200 tokens.
const UTILIZATION_PENALTY: Span = Span::from_ms(60);

/// Failure rate from which a replica is chosen only if all others fail as often.
const MAX_FAILURE_RATE: f64 = 0.3;

/// Relative cost increase of a replica whose responses all fail.
const FAILURE_PENALTY: f64 = 4.0;

/// Replica that could serve the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// Maximum batch size.
    pub slots: u32,
    /// Known requests in flight at the replica.
    pub in_flight: f64,
    /// Prefill time of the queued prompts of equal or higher priority.
    pub prefill_ahead: Span,
    /// Prefill time of all queued prompts.
    pub prefill_backlog: Span,
    /// Prefill time of the part of this prompt that is not cached.
    pub prefill: Span,
    /// Upper bound of the tokens needed by the requests in flight.
    pub reserved_tokens: f64,
    /// Tokens that fit into its memory; 0 if unlimited.
    pub token_capacity: f64,
    /// Time of one request from its first token to its last.
    pub decode: Span,
    /// Whether it is in this host's hall.
    pub same_hall: bool,
    /// Smoothed fraction of responses that failed.
    pub failure_rate: f64,
    /// Smoothed rate of stalls in its streams, from 0 to 1; high on slow or overloaded replicas.
    pub stall_rate: f64,
    /// Streams that run there beside prompts, if pauses are expected by replica; they limit prompts in addition to the
    /// request's prefill limit, and take the place of the stall rate.
    pub beside: Option<Batch>,
    /// Cost by how well the replica suits the kind of the request.
    pub division: Span,
}

/// Requirements of one request.
#[derive(Debug, Clone, Copy)]
pub struct Request {
    /// Tokens of prompt and output together.
    pub tokens: f64,
    /// Maximum prefill work pending at a replica, so that its running streams do not stall; `None` for no limit.
    pub prefill_limit: Option<Span>,
    /// Upper bound of the random addend of the cost. It keeps hosts with identical load data from choosing the same
    /// replica, and should match the work that other hosts can have sent since that data was exchanged.
    pub jitter: Span,
}

impl Candidate {
    /// Expected time to first token.
    pub fn ttft(&self, request: &Request) -> Span {
        self.prefill_ahead + self.prefill + self.slot_wait(request)
    }

    /// Expected wait for a batch slot and for memory.
    fn slot_wait(&self, request: &Request) -> Span {
        let slots = f64::from(self.slots.max(1));
        let excess = (self.in_flight + 1.0 - slots).max(0.0);
        let slot_wait = self.decode * (excess / slots);
        if self.token_capacity <= 0.0 {
            return slot_wait;
        }
        let excess = (self.reserved_tokens + request.tokens - self.token_capacity).max(0.0);
        slot_wait.max(self.decode * (excess / self.token_capacity))
    }

    /// Whether a request would get a batch slot without waiting.
    pub fn has_free_slot(&self) -> bool {
        self.in_flight + 1.0 <= f64::from(self.slots)
    }

    /// Whether the request would start at once without stalling running streams.
    pub fn is_available(&self, request: &Request) -> bool {
        self.fits_prefill_limit(request) && self.has_free_slot()
    }

    /// Whether the pending prefill work, including this prompt, is within the limit. A replica without pending work
    /// accepts a prompt of any length.
    pub fn fits_prefill_limit(&self, request: &Request) -> bool {
        if self.beside.is_some_and(|batch| batch.defers(self.prefill)) {
            return false;
        }
        let fits = |limit| self.prefill_backlog + self.prefill <= limit;
        self.prefill_backlog == Span::ZERO || request.prefill_limit.is_none_or(fits)
    }

    /// Whether the pending prefill work exceeds the limit even without this prompt.
    pub fn exceeds_prefill_limit(&self, request: &Request) -> bool {
        if self.beside.is_some_and(|batch| batch.is_beyond_room()) {
            return true;
        }
        request
            .prefill_limit
            .is_some_and(|limit| self.prefill_backlog > limit)
    }

    /// What the prompt is expected to cost the streams that run there, if pauses are expected by replica.
    pub fn pause_forecast(&self) -> Option<Forecast> {
        let batch = self.beside.as_ref()?;
        Some(batch.forecast(self.prefill))
    }

    fn cost(&self, request: &Request, rng: &mut impl Rng) -> Span {
        let distance = match self.same_hall {
            true => Span::ZERO,
            false => CROSS_HALL_PENALTY,
        };
        let jitter = Span(rng.random_range(0..=request.jitter.0));
        let used = (self.in_flight / f64::from(self.slots.max(1))).min(1.0);
        let used = UTILIZATION_PENALTY * (used * used);
        let failure = 1.0 + FAILURE_PENALTY * self.failure_rate;
        let streams = self.stream_cost(request) + self.division;
        (self.ttft(request) + streams + used + distance + jitter) * failure
    }

    /// Cost to the streams that run there, and to the request's own stream.
    fn stream_cost(&self, request: &Request) -> Span {
        if let Some(batch) = &self.beside {
            let behind = self.prefill_backlog.saturating_sub(self.prefill_ahead);
            return batch.harm(self.prefill) + batch.own_harm(behind);
        }
        let overload = match self.fits_prefill_limit(request) {
            true => Span::ZERO,
            false => self.prefill_backlog,
        };
        overload + STALL_PENALTY * self.stall_rate
    }
}

/// Remaining wait, as a fraction of the TTFT target, at which a refused client should retry.
const RETRY_AT_WAIT: f64 = 0.5;

/// `Retry-After` for a request whose expected TTFT is too long: the time until the wait is mostly over, but not before
/// a further copy of the model is loaded, if one is expected after `eta`.
pub fn retry_after(expected: Span, target: Span, eta: Option<Span>) -> Span {
    let delay = expected.saturating_sub(target * RETRY_AT_WAIT);
    delay.max(eta.unwrap_or(Span::ZERO))
}

/// Returns the index of the cheapest candidate and its expected TTFT.
pub fn choose(
    request: &Request,
    candidates: &[Candidate],
    rng: &mut impl Rng,
) -> Option<(usize, Span)> {
    let any_healthy = candidates.iter().any(|c| c.failure_rate < MAX_FAILURE_RATE);
    let mut best: Option<(usize, Span)> = None;
    for (i, candidate) in candidates.iter().enumerate() {
        if any_healthy && candidate.failure_rate >= MAX_FAILURE_RATE {
            continue;
        }
        let cost = candidate.cost(request, rng);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((i, cost));
        }
    }
    best.map(|(i, _)| (i, candidates[i].ttft(request)))
}
