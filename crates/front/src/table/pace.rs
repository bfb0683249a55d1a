//! Smoothed pace of each model, learned from the requests that ran here.

use super::DECODE_STEP;
use platform::ingress::Ask;
use std::collections::HashMap;
use unit::{Name, Span};

/// Weight of the newest sample in a model's pace.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Prompt tokens read in a millisecond while nothing is known of a model; of the order of one
/// accelerator with a model of 70 GB.
const DEFAULT_SPEED: f64 = 15.0;

/// Time of a run while nothing is known of a model.
const DEFAULT_DECODE: Span = Span::from_ms(2_000);

/// Least and greatest speed that one sample counts as, in prompt tokens a millisecond.
const SPEED_RANGE: (f64, f64) = (0.5, 1_000.0);

/// Smoothed pace of one model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Prompt tokens read in a millisecond.
    pub(super) prefill_speed: f64,
    /// Time of a run from its first token to its last.
    pub(super) decode: Span,
}

impl Pace {
    /// Time to read what is not kept of a prompt.
    pub(super) fn prefill(&self, model: Option<&Name>, ask: &Ask, kept: u64) -> Span {
        if model.is_none() {
            return Span::ZERO;
        }
        let tokens = ask.prompt.saturating_sub(kept) as f64;
        Span((tokens / self.prefill_speed * 1e3) as u64)
    }
}

impl Default for Pace {
    fn default() -> Self {
        Pace {
            prefill_speed: DEFAULT_SPEED,
            decode: DEFAULT_DECODE,
        }
    }
}

/// Paces by service and model.
#[derive(Default)]
pub(super) struct Paces(HashMap<(Name, Name), Pace>);

impl Paces {
    /// Pace of a model, or of a service that runs none.
    pub(super) fn get(&self, service: &Name, model: Option<&Name>) -> Pace {
        let model = model.cloned().unwrap_or_else(|| "".into());
        let known = self.0.get(&(service.clone(), model));
        known.copied().unwrap_or_default()
    }

    /// Learns how fast prompts are read, from one that none stood before: it took that time.
    pub(super) fn record_prefill_speed(
        &mut self,
        service: &Name,
        model: &Name,
        tokens: f64,
        took: Span,
    ) {
        let ms = took.saturating_sub(DECODE_STEP).ms().max(1.0);
        let sample = (tokens / ms).clamp(SPEED_RANGE.0, SPEED_RANGE.1);
        let pace = self.entry(service, model);
        pace.prefill_speed += (sample - pace.prefill_speed) * SAMPLE_WEIGHT;
    }

    /// Learns how long a run takes after its first token.
    pub(super) fn record_decode(&mut self, service: &Name, model: &Name, run: Span) {
        let pace = self.entry(service, model);
        pace.decode = pace.decode * (1.0 - SAMPLE_WEIGHT) + run * SAMPLE_WEIGHT;
    }

    fn entry(&mut self, service: &Name, model: &Name) -> &mut Pace {
        let key = (service.clone(), model.clone());
        self.0.entry(key).or_default()
    }
}
