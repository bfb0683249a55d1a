//! Time that one request takes of an upstream, apart from its waiting there.

use unit::Span;

/// Weight of the newest sample.
const NEWEST: f64 = 0.1;

/// Factor by which the least first-token delay is forgotten with each sample, so that a change of
/// model or prompt is followed.
const FORGET: f64 = 1.02;

/// Smoothed service time: generation, plus the least delay to the first token.
///
/// The delay to the first token holds the wait in the upstream's queue; its least value over
/// recent requests is what the prompt alone takes. Without this an overloaded upstream would seem
/// to need ever more capacity for each request.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct ServiceTime {
    generation: Span,
    first: Span,
}

impl ServiceTime {
    /// Learns from a whole answer: its delay to the first token, and its whole time.
    pub fn record(&mut self, first: Span, whole: Span) {
        let generation = whole.saturating_sub(first);
        if self.generation == Span::ZERO && self.first == Span::ZERO {
            (self.generation, self.first) = (generation, first);
            return;
        }
        self.generation = self.generation * (1.0 - NEWEST) + generation * NEWEST;
        self.first = first.min(self.first * FORGET);
    }

    /// The service time; zero when not known.
    pub fn estimate(&self) -> Span {
        self.generation + self.first
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn waiting_does_not_count_as_service() {
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
