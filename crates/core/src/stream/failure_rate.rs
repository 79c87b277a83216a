//! Detection of a backend server that fails part of its requests.
//!
//! A host that breaks off requests at once, while its reports and health checks look fine, appears
//! less loaded than the others and would attract ever more callers.

/// The weight of one request in the moving average, which covers about ten requests.
const SAMPLE_WEIGHT: f64 = 0.1;

/// The share of failed requests from which on a backend server counts as failing: two of the last
/// ten, since a single broken request proves nothing.
const FAILING_SHARE: f64 = 0.2;

/// The decay of the share per second, so that a failing backend server is tried again.
const DECAY_PER_S: f64 = 0.7;

/// The share of recent requests that a backend server has failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failed_share: f64,
}

impl FailureRate {
    /// Records the outcome of one request.
    pub fn record(&mut self, is_failure: bool) {
        let outcome = if is_failure { 1.0 } else { 0.0 };
        self.failed_share += SAMPLE_WEIGHT * (outcome - self.failed_share);
    }

    /// Decays the share over `elapsed_ms` milliseconds.
    pub fn decay(&mut self, elapsed_ms: u64) {
        self.failed_share *= DECAY_PER_S.powf(elapsed_ms as f64 / 1_000.0);
    }

    /// Clears the share, for a new run of the backend server.
    pub fn reset(&mut self) {
        self.failed_share = 0.0;
    }
}

impl FailureRate {
    /// Whether the share of failed requests is too high.
    pub fn is_failing(&self) -> bool {
        self.failed_share >= FAILING_SHARE
    }
}
