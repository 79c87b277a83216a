//! A retry budget that limits retries to a share of recent successes.
//!
//! When most requests fail, retries would multiply the load on an overloaded service; the budget
//! is then exhausted.

/// The cost of one retry, in hundredths of a retry.
const RETRY_COST: u32 = 100;

/// The maximum credit.
const MAX_CREDIT: u32 = 20 * RETRY_COST;

/// The initial credit, so that failures right after a start can be retried.
const INITIAL_CREDIT: u32 = 3 * RETRY_COST;

/// Limits retries to a share of recent successes.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    credit: u32,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { credit: INITIAL_CREDIT }
    }
}

impl RetryBudget {
    /// Adds `percent` hundredths of a retry for a success.
    pub fn earn(&mut self, percent: u32) {
        self.credit = self.credit.saturating_add(percent).min(MAX_CREDIT);
    }

    /// Withdraws one retry; false if the budget is exhausted.
    pub fn spend(&mut self) -> bool {
        let has_credit = self.credit >= RETRY_COST;
        if has_credit {
            self.credit -= RETRY_COST;
        }
        has_credit
    }
}
