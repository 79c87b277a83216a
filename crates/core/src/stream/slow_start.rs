//! The rate limit on new streams while a backend server warms up after its start.
//!
//! An empty backend server that has just started looks like the best choice to every balancer at
//! once. The agent enforces the limit, since each balancer sees only its own share of the load.

use std::collections;

use crate::ids;
use crate::manifest;

/// The window of the rate limit, in milliseconds: a second and some tolerance for delivery jitter.
///
/// The backend server counts its own second, which begins and ends some milliseconds apart from the
/// agent's on a busy machine.
const WINDOW_MS: u64 = 1_050;

/// How many reports are needed to show that a backend server is not slow after the end of an
/// evacuation; the first one may have been sent before its restart.
const CONFIRMING_REPORTS: u8 = 2;

/// The margin that operators allow on the slow-start rate of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStartMargin {
    /// The factor on the rate.
    pub overage: f64,
    /// Additional streams a second.
    pub slack: f64,
}

impl Default for SlowStartMargin {
    fn default() -> SlowStartMargin {
        SlowStartMargin { overage: 1.0, slack: 0.0 }
    }
}

/// The slow-start state of one backend server.
#[derive(Debug, Default)]
pub struct SlowStart {
    /// The end of the slow start, by the last report.
    slow_until: ids::UnixMillis,
    /// The end of the assumed slow start.
    assumed_until: ids::UnixMillis,
    /// How many reports are still needed before the assumption is dropped.
    reports_needed: u8,
    /// When openings were delivered within the window.
    delivered: collections::VecDeque<ids::UnixMillis>,
}

impl SlowStart {
    /// Records a report of the backend server, which is slow for another `slow_ms` milliseconds.
    pub fn on_report(&mut self, slow_ms: u64, now: ids::UnixMillis) {
        self.slow_until = now.plus(slow_ms);
        self.reports_needed = self.reports_needed.saturating_sub(1);
    }

    /// Assumes that the backend server is slow until its reports show whether it is.
    ///
    /// It may have restarted shortly before the end of its data centre's evacuation.
    pub fn assume_slow(&mut self, rules: &manifest::ServiceRules, now: ids::UnixMillis) {
        self.reports_needed = CONFIRMING_REPORTS;
        self.assumed_until = now.plus(1_000 * u64::from(rules.slow_start_s));
    }

    /// Records the delivery of an opening.
    pub fn record_delivery(&mut self, now: ids::UnixMillis) {
        while self.delivered.front().is_some_and(|first| now.since(*first) >= WINDOW_MS) {
            self.delivered.pop_front();
        }
        self.delivered.push_back(now);
    }
}

impl SlowStart {
    /// Whether the backend server is slow and has reached its rate limit.
    pub fn is_limit_reached(
        &self,
        rules: &manifest::ServiceRules,
        margin: SlowStartMargin,
        now: ids::UnixMillis,
    ) -> bool {
        let is_assumed = self.reports_needed > 0 && now < self.assumed_until;
        let is_slow = now < self.slow_until || is_assumed;
        match limit(rules, margin) {
            Some(limit) if is_slow => self.delivered_in_window(now) >= limit,
            _ => false,
        }
    }

    /// The time since the backend server's start, derived from its remaining slow start; `None` if it
    /// is not slow, or slow for longer than its service's rules say.
    pub fn age_ms(&self, rules: &manifest::ServiceRules, now: ids::UnixMillis) -> Option<u64> {
        let left_ms = self.slow_until.since(now);
        let whole_ms = 1_000 * u64::from(rules.slow_start_s);
        whole_ms.checked_sub(left_ms).filter(|_| left_ms > 0)
    }

    fn delivered_in_window(&self, now: ids::UnixMillis) -> usize {
        self.delivered.iter().rev().take_while(|at| now.since(**at) < WINDOW_MS).count()
    }
}

/// The number of streams a second that a slow backend server accepts; `None` if the service has no
/// rate.
fn limit(rules: &manifest::ServiceRules, margin: SlowStartMargin) -> Option<usize> {
    match rules.slow_start_per_1000_s {
        0 => None,
        rate => {
            let most = f64::from(rate) / 1_000.0 * margin.overage + margin.slack;
            Some((most as usize).max(1))
        }
    }
}
