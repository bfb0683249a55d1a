//! What one request tells of speeds: the time to its first token that was expected, and what it took.

use super::Speed;
use super::exchange::Kind;
use unit::Span;

/// Prefill at which a sample has half its weight: with less, other delays prevail.
const HALF_WEIGHT_PREFILL: Span = Span::from_ms(20);

/// Part of the expected prefill below which a request's own prompt does not make its sample count less: how far the
/// first prompt ahead is done matters little then.
const MIN_OWN_PART: f64 = 0.3;

/// Greatest part of a measured time that is taken as other than prefill.
const MAX_START_PART: f64 = 0.75;

/// Least weight of a sample that is recorded.
const MIN_SAMPLE_WEIGHT: f64 = 0.1;

/// Furthest that a sample is from what was expected, as a logarithm.
const MAX_ERROR: f64 = 3.0;

/// Longest prefill of a request, without prompts ahead, that the rest of its time to first token is measured on.
const MAX_START_PREFILL: Span = Span::from_ms(15);

/// Identity of a model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Model {
    /// Hash of its service and name.
    pub key: u32,
    /// Hash of its service.
    pub service: u32,
    /// Size of its weights in MB; models of a service are compared by it.
    pub size: f64,
}

impl Model {
    /// What makes the levels of models of different sizes comparable: prefill and decode steps take time in proportion
    /// to the weights.
    pub(super) fn size_term(&self, kind: Kind) -> f64 {
        let size = self.size.max(1.0).ln();
        match kind {
            Kind::Prefill => size,
            Kind::Step => -size,
            Kind::Decode | Kind::Start | Kind::Recent | Kind::Lasting => 0.0,
        }
    }
}

/// Time to first token that is expected of a request when it is sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Expectation {
    /// Prefill that is left of the prompts ahead.
    pub ahead: Span,
    /// Prefill of the request's own prompt.
    pub prefill: Span,
    /// Rest: the way there and back, and decode steps that run on arrival.
    pub start: Span,
    /// Speed that the prefill was computed with.
    pub speed: Speed,
    /// Whether a slot and memory were free; without, the time tells nothing of the speed.
    pub has_room: bool,
}

impl Expectation {
    /// Expected time to first token.
    pub fn total(&self) -> Span {
        self.ahead + self.prefill + self.start
    }

    /// Weight of the sample: the more of the expected time is the request's own prefill, the more it tells. None if it
    /// tells nothing.
    pub(super) fn weight(&self) -> Option<f64> {
        let own = self.prefill.ms();
        let of_prompts = own / (self.ahead.ms() + own).max(1.0);
        let weight = of_prompts.max(MIN_OWN_PART) * own / (own + HALF_WEIGHT_PREFILL.ms());
        (self.has_room && weight >= MIN_SAMPLE_WEIGHT).then_some(weight)
    }

    /// Time besides prefill, if the request tells that: one of few tokens without prompts ahead.
    pub(super) fn measured_start(&self, took: Span) -> Option<Span> {
        let is_short =
            self.has_room && self.ahead == Span::ZERO && self.prefill <= MAX_START_PREFILL;
        let start = took.saturating_sub(self.prefill).max(Span::from_ms(1));
        is_short.then_some(start)
    }

    /// Logarithm of the expected prefill through the real one, where the first token took `took`.
    pub(super) fn error(&self, took: Span) -> f64 {
        let start = self.start.min(took * MAX_START_PART);
        let prefill = took.saturating_sub(start).max(Span::from_ms(1));
        let error = ((self.ahead + self.prefill).ms() / prefill.ms()).ln();
        error.clamp(-MAX_ERROR, MAX_ERROR)
    }
}
