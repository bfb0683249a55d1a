//! Smoothed prefill speed and decode time of each model, as measured on requests of this host.

use super::DECODE_STEP;
use platform::ingress::Metadata;
use std::collections::HashMap;
use unit::{Name, Span};

/// Weight of a new sample.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Prefill speed of a model without samples, in prompt tokens per millisecond. Typical of one accelerator with a model of
/// 70 GB.
const DEFAULT_SPEED: f64 = 15.0;

/// Decode time of a model without samples.
const DEFAULT_DECODE: Span = Span::from_ms(2_000);

/// Least and greatest sample of the prefill speed, in prompt tokens per millisecond.
const SPEED_RANGE: (f64, f64) = (0.5, 1_000.0);

/// Smoothed speed of one model.
#[derive(Debug, Clone, Copy)]
pub(super) struct Pace {
    /// Prompt tokens prefilled per millisecond.
    pub(super) prefill_speed: f64,
    /// Time from the first token of a request to its last.
    pub(super) decode: Span,
}

impl Pace {
    /// Time to prefill a prompt of which `cached` tokens are cached; zero without a model.
    pub(super) fn prefill(&self, model: Option<&Name>, metadata: &Metadata, cached: u64) -> Span {
        if model.is_none() {
            return Span::ZERO;
        }
        let tokens = metadata.prompt_tokens.saturating_sub(cached) as f64;
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
    /// Pace of a model; the default one if it has no samples.
    pub(super) fn get(&self, service: &Name, model: Option<&Name>) -> Pace {
        let model = model.cloned().unwrap_or_else(|| "".into());
        let known = self.0.get(&(service.clone(), model));
        known.copied().unwrap_or_default()
    }

    /// Records that a prompt of `tokens` tokens, which waited for no other, had its first token
    /// after `took`.
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

    /// Records the time from the first token of a request to its last.
    pub(super) fn record_decode(&mut self, service: &Name, model: &Name, decode: Span) {
        let pace = self.entry(service, model);
        pace.decode = pace.decode * (1.0 - SAMPLE_WEIGHT) + decode * SAMPLE_WEIGHT;
    }

    fn entry(&mut self, service: &Name, model: &Name) -> &mut Pace {
        let key = (service.clone(), model.clone());
        self.0.entry(key).or_default()
    }
}
