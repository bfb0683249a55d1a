//! What the pauses of a service's streams tell of its engines: the chunk, and by how much real pauses differ from
//! expected ones.

use super::Batch;
use unit::Span;

/// Chunk of a service without samples, in tokens; engines commonly take 2,048 to 8,192.
const DEFAULT_CHUNK: f64 = 2_048.0;

/// Least and greatest chunk, in tokens.
const CHUNK_RANGE: (f64, f64) = (256.0, 16_384.0);

/// Relative change of the chunk with one sample.
const CHUNK_STEP: f64 = 0.02;

/// Fraction of the samples below the chunk: in some of the steps of a pause the prompts end.
const CHUNK_QUANTILE: f64 = 0.75;

/// Pending prefill time, as a multiple of a pause, from which all steps of the pause had full chunks.
const MIN_PENDING: f64 = 1.5;

/// Weight of a new sample of the mean prompts.
const PROMPT_WEIGHT: f64 = 0.02;

/// Lower bounds of the buckets of ratios; the first bucket begins at 0, the last one ends at twice its bound.
const BOUNDS: [f64; 12] = [
    0.0, 0.7, 0.85, 1.0, 1.2, 1.45, 1.75, 2.1, 2.5, 3.1, 4.0, 5.5,
];

/// Samples in the buckets before the first one: speeds differ and vary, and loads are known late.
const DEFAULT_COUNTS: [f32; 12] = [
    30.0, 10.0, 10.0, 15.0, 10.0, 8.0, 6.0, 5.0, 3.0, 2.0, 1.0, 0.0,
];

/// Fraction of the earlier samples that remains with each new one.
const RETENTION: f32 = 0.998;

/// Distribution of the ratio of real pauses to expected ones.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Slowdown {
    counts: [f32; 12],
}

impl Default for Slowdown {
    fn default() -> Self {
        Slowdown {
            counts: DEFAULT_COUNTS,
        }
    }
}

impl Slowdown {
    /// Pauses that are as long as expected.
    pub const EXACT: Slowdown = Slowdown {
        counts: [0.0, 0.0, 1.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0, 0.0],
    };

    /// Fraction of the pauses that are longer than expected by more than this factor.
    pub fn exceeds(&self, factor: f64) -> f64 {
        let total: f32 = self.counts.iter().sum();
        let mut above = 0.0;
        for (i, count) in self.counts.iter().enumerate() {
            let lower = BOUNDS[i];
            let upper = BOUNDS.get(i + 1).copied().unwrap_or(lower * 2.0);
            let share = (upper - factor) / (upper - lower);
            above += f64::from(*count) * share.clamp(0.0, 1.0);
        }
        above / f64::from(total)
    }

    /// Records one ratio.
    pub fn record(&mut self, ratio: f64) {
        for count in &mut self.counts {
            *count *= RETENTION;
        }
        let bucket = BOUNDS.partition_point(|bound| *bound <= ratio);
        self.counts[bucket.saturating_sub(1)] += 1.0;
    }
}

/// Learned properties of a service's engines.
#[derive(Debug, Clone, Copy)]
pub struct Profile {
    /// Most prompt tokens that an engine prefills in one step.
    pub chunk: f64,
    /// Ratio of real pauses beside prompts to expected ones.
    pub slowdown: Slowdown,
    /// Mean length of a prompt, in tokens; 0 before the first one.
    pub mean_prompt: f64,
    /// Mean prompt tokens that are not cached where a request is sent; 0 before the first one.
    pub mean_prefill: f64,
    /// Sum of the pauses beside prompts.
    pub seen: Span,
    /// Sum of what was expected of them.
    pub expected: Span,
}

impl Default for Profile {
    fn default() -> Self {
        Profile {
            chunk: DEFAULT_CHUNK,
            slowdown: Slowdown::default(),
            mean_prompt: 0.0,
            mean_prefill: 0.0,
            seen: Span::ZERO,
            expected: Span::ZERO,
        }
    }
}

impl Profile {
    /// Records the length of a prompt and its part that is not cached, in tokens.
    pub fn record_prompt(&mut self, length: f64, prefill: f64) {
        self.mean_prompt = smoothed(self.mean_prompt, length);
        self.mean_prefill = smoothed(self.mean_prefill, prefill);
    }

    /// How much of a request is its prompt, against the mean of the service, from 0 to 1.
    pub fn prompt_share(&self, length: f64) -> f64 {
        match self.mean_prompt > 0.0 {
            true => length / (length + self.mean_prompt),
            false => 0.5,
        }
    }

    /// Records the pause between two events of a stream, by the batch as it was known at the first of them.
    pub fn record_pause(&mut self, batch: &Batch, seen: Span) {
        let expected = batch.pause(batch.pending);
        if batch.pending == Span::ZERO || expected == Span::ZERO {
            return;
        }
        self.seen += seen;
        self.expected += expected;
        self.slowdown.record(seen.ms() / expected.ms());
        if batch.pending >= seen * MIN_PENDING {
            self.record_full_chunks(batch, seen);
        }
    }

    fn record_full_chunks(&mut self, batch: &Batch, seen: Span) {
        let step = seen.ms() / f64::from(batch.tokens_per_event.max(1));
        let tokens = (step - batch.speed.step.ms()).max(0.0) * batch.speed.prefill;
        let change = match tokens > self.chunk {
            true => CHUNK_STEP * CHUNK_QUANTILE,
            false => -CHUNK_STEP * (1.0 - CHUNK_QUANTILE),
        };
        self.chunk = (self.chunk * (1.0 + change)).clamp(CHUNK_RANGE.0, CHUNK_RANGE.1);
    }
}

/// Mean after a new sample; the first one is taken whole.
fn smoothed(mean: f64, sample: f64) -> f64 {
    match mean > 0.0 {
        true => mean + (sample - mean) * PROMPT_WEIGHT,
        false => sample,
    }
}
