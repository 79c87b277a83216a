//! A budget for retries: a share of recent successes.
//!
//! Retries help while few requests fail. While most fail they multiply the load on what is already
//! overloaded, so the budget dries up exactly then.

/// What one retry costs, in the hundredths that successes earn.
const RETRY_COST: u32 = 100;

/// What a budget may hold at the most: twenty retries.
const MOST_CREDIT: u32 = 20 * RETRY_COST;

/// What a fresh budget holds, so that the first failures after a start may be retried.
const FIRST_CREDIT: u32 = 3 * RETRY_COST;

/// A budget for retries.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit: FIRST_CREDIT }
    }
}

impl RetryBudget {
    /// Counts a success, which earns `percent` hundredths of a retry.
    pub fn earn(&mut self, percent: u32) {
        self.credit = self.credit.saturating_add(percent).min(MOST_CREDIT);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        let has_credit = self.credit >= RETRY_COST;
        if has_credit {
            self.credit -= RETRY_COST;
        }
        has_credit
    }
}
