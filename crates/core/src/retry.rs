//! A budget for retries: a share of recent successes.
//!
//! Retries help while few requests fail. While most fail they multiply the load on what is already
//! overloaded, so the budget dries up exactly then.

/// What a budget may hold at the most, in retries.
const MOST_CREDIT: f64 = 20.0;

/// What a fresh budget holds, so that the first failure after a start may be retried.
const FIRST_CREDIT: f64 = 3.0;

/// A budget for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit: FIRST_CREDIT }
    }
}

impl RetryBudget {
    /// Counts a success, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.credit = (self.credit + f64::from(percent) / 100.0).min(MOST_CREDIT);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let has_credit = self.credit >= 1.0;
        if has_credit {
            self.credit -= 1.0;
        }
        has_credit
    }
}
