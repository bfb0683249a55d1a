//! Retry budget: each success earns a fraction of a retry, so that retries cannot multiply the load of an outage.

/// Maximum balance, and so the maximum number of retries in a burst of failures.
const MAX_BALANCE: f64 = 20.0;

/// Balance of a caller without any success yet.
const INITIAL_BALANCE: f64 = 3.0;

/// Retry budget of one caller.
#[derive(Debug, Clone, PartialEq)]
pub struct Budget {
    balance: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            balance: INITIAL_BALANCE,
        }
    }
}

impl Budget {
    /// Records a success, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.balance = (self.balance + f64::from(percent) / 100.0).min(MAX_BALANCE);
    }

    /// Spends one retry; returns false if the balance is less than one.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
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
        assert_eq!(spent, MAX_BALANCE as usize);
    }
}
