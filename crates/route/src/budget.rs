//! Retry budget: retries are a share of recent successes, so that an outage cannot multiply load.

/// Retries that may be saved up; a burst of failures spends no more than this.
const MOST_SAVED: f64 = 20.0;

/// Retries that a caller with no successes yet may spend.
const START: f64 = 3.0;

/// Budget of one caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    saved: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget { saved: START }
    }
}

impl Budget {
    /// Notes a success, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.saved = (self.saved + f64::from(percent) / 100.0).min(MOST_SAVED);
    }

    /// Spends one retry if there is one.
    pub fn spend(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn an_outage_exhausts_the_budget() {
        let mut budget = Budget::default();
        for _ in 0..1_000 {
            budget.earn(20);
        }
        let spent = (0..1_000).filter(|_| budget.spend()).count();
        assert_eq!(spent, MOST_SAVED as usize);
    }
}
