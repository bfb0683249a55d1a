//! Speed of each replica with each of its models, learnt from requests at all hosts.
//!
//! A speed is that of the model times the factor of the replica. A replica has few requests of one model, but many of
//! all its models; a model has many over all its replicas. So both parts are known soon after a start, and a replica
//! that turns slow is recognized by whatever model is asked for. Speeds are kept as logarithms, so that a sample twice
//! too high weighs as much as one twice too low.
//!
//! `level` is a decaying mean, `estimator` holds the levels and learns from samples, `exchange` passes levels between
//! hosts as rows of a few bytes, `progress` follows the prompts that a replica has begun, and
//! `sample` is what one request tells.

mod estimator;
mod exchange;
mod level;
mod progress;
mod sample;

pub use estimator::{Estimator, Transition};
pub use exchange::{Kind, Row};
pub use progress::Progress;
pub use sample::{Expectation, Model};

use unit::Span;

/// Speed of a replica with one model.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Speed {
    /// Prompt tokens prefilled per millisecond.
    pub prefill: f64,
    /// Duration of one decode step without prefill.
    pub step: Span,
    /// Time from the first token of a request to its last.
    pub decode: Span,
}

impl Speed {
    /// Speed of a replica that takes `1 / factor` times as long.
    pub fn scaled(&self, factor: f64) -> Speed {
        Speed {
            prefill: self.prefill * factor,
            step: self.step * (1.0 / factor),
            decode: self.decode * (1.0 / factor),
        }
    }

    /// Time to prefill this many tokens.
    pub fn prefill_time(&self, tokens: u64) -> Span {
        Span((tokens as f64 / self.prefill * 1e3) as u64)
    }
}

/// Fraction of the pauses between a stream's events that are shorter than the one taken as undisturbed by prefill.
const UNDISTURBED_FRACTION: f64 = 0.25;

/// Fewest pauses from which a decode step is measured.
const MIN_PAUSES: usize = 4;

/// Duration of one decode step without prefill, from the pauses between the events of a stream, each of `stride`
/// tokens. The shorter pauses are those without prefill.
pub fn undisturbed_step(pauses: &mut [Span], stride: u32) -> Option<Span> {
    if pauses.len() < MIN_PAUSES {
        return None;
    }
    let at = (pauses.len() as f64 * UNDISTURBED_FRACTION) as usize;
    let (_, pause, _) = pauses.select_nth_unstable(at);
    Some(*pause * (1.0 / f64::from(stride.max(1))))
}
