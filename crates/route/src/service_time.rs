//! Service time of an upstream, without the wait in its queue.

use unit::Span;

/// Weight of the newest sample in the moving average.
const SMOOTHING: f64 = 0.1;

/// Growth of the minimum TTFT with each sample, so that it follows changes of models or prompts.
const MIN_GROWTH: f64 = 1.02;

/// Smoothed decode time plus the minimum recent TTFT.
///
/// TTFT includes the wait in the upstream's queue; its recent minimum approximates the prefill time. With the average
/// instead, an overloaded upstream would appear to need ever more capacity per request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceTime {
    decode: Span,
    min_ttft: Span,
}

impl ServiceTime {
    /// Records a complete response by its TTFT and total time.
    pub fn record(&mut self, ttft: Span, total: Span) {
        let decode = total.saturating_sub(ttft);
        if self.decode == Span::ZERO && self.min_ttft == Span::ZERO {
            (self.decode, self.min_ttft) = (decode, ttft);
            return;
        }
        self.decode = self.decode * (1.0 - SMOOTHING) + decode * SMOOTHING;
        self.min_ttft = ttft.min(self.min_ttft * MIN_GROWTH);
    }

    /// Estimated service time; zero before the first sample.
    pub fn estimate(&self) -> Span {
        self.decode + self.min_ttft
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn queueing_does_not_count_as_service_time() {
        let mut service = ServiceTime::default();
        service.record(Span::from_ms(300), Span::from_ms(1_300));
        for _ in 0..10 {
            service.record(Span::from_secs(8), Span::from_secs(9));
        }
        assert!(
            service.estimate() < Span::from_ms(1_400),
            "{}",
            service.estimate()
        );
    }
}
