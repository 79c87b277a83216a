//! Value that an ideal scheduler would earn in an outage, as a reference for measured runs.
//!
//! The scheduler knows each request's age and service time, leaves no slot idle while a request
//! waits, and loses no request in transit.

use std::collections;

use serde::Deserialize;

/// When a caller sends a request and its retries, relative to the start of the request.
const ATTEMPTS_MS: [f64; 3] = [0.0, 200.0, 600.0];

/// An outage and the load during it. Times are in milliseconds from the start of the simulation.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OutageScenario {
    /// Concurrent requests over all hosts of the service.
    pub slots: usize,
    /// Start of the outage, in which all processes are down.
    #[serde(rename = "dark_from_ms")]
    pub outage_start_ms: f64,
    /// End of the outage.
    #[serde(rename = "back_at_ms")]
    pub outage_end_ms: f64,
    /// Until when restarted hosts are slow.
    pub slow_until_ms: f64,
    /// Factor on service times while hosts are slow.
    pub slow_factor: f64,
    /// Length of a reporting window.
    pub window_ms: f64,
    /// When the last request starts.
    #[serde(rename = "until_ms")]
    pub end_ms: f64,
    /// Classes of requests.
    pub requests: Vec<RequestClass>,
}

/// Requests of one kind, evenly spaced.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestClass {
    /// Requests per second.
    #[serde(rename = "a_second")]
    pub rate_per_s: f64,
    /// Service time on a host that is not slow.
    #[serde(rename = "work_ms")]
    pub service_time_ms: f64,
    /// Network round-trip time.
    #[serde(rename = "way_ms")]
    pub round_trip_ms: f64,
    /// Latency up to which an answer earns its full value.
    pub aim_ms: f64,
    /// Latency after which the caller gives up.
    pub deadline_ms: f64,
    /// Value of an answer within `aim_ms`.
    #[serde(rename = "worth")]
    pub value: f64,
    /// Value of an answer after `aim_ms` and within `deadline_ms`.
    #[serde(rename = "late_worth")]
    pub late_value: f64,
}

/// Outcomes of the requests that started in one window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowTotals {
    /// Requests started.
    pub started: usize,
    /// Requests answered within their aim.
    pub in_time: usize,
    /// Requests answered after their aim and within their deadline.
    pub late: usize,
    /// Value of all requests, had they been answered in time.
    pub offered_value: f64,
    /// Value of the answers.
    pub earned_value: f64,
}

impl WindowTotals {
    /// Earned value as a share of the offered value; 1 if none was offered.
    pub fn value_ratio(&self) -> f64 {
        if self.offered_value > 0.0 { self.earned_value / self.offered_value } else { 1.0 }
    }
}

#[derive(Clone, Copy, Debug)]
struct RequestArrival<'a> {
    class: &'a RequestClass,
    started_ms: f64,
    /// When an attempt first reaches a running process; infinite if none does.
    arrives_ms: f64,
}

impl OutageScenario {
    /// Validates the scenario; returns one message for each invalid field.
    pub fn check(&self) -> Vec<String> {
        let mut faults = Vec::new();
        let mut require = |holds: bool, fault: &str| {
            if !holds {
                faults.push(fault.to_owned());
            }
        };
        require(self.slots > 0, "slots: is zero; must be at least 1");
        require(
            self.outage_end_ms >= self.outage_start_ms,
            "back_at_ms: is before dark_from_ms; swap them",
        );
        require(
            self.slow_factor >= 1.0,
            "slow_factor: is below 1; use 1 for hosts that are never slow",
        );
        require(self.window_ms > 0.0, "window_ms: is not positive; give the length of a window");
        require(
            (0.0..=600_000.0).contains(&self.end_ms),
            "until_ms: is out of range; use 0 to 600000",
        );
        for (index, class) in self.requests.iter().enumerate() {
            let is_in_range =
                (0.0..=100_000.0).contains(&class.rate_per_s) && class.service_time_ms > 0.0;
            require(
                is_in_range,
                &format!("requests[{index}]: a_second must be 0 to 100000 and work_ms above 0"),
            );
            let is_ordered = class.deadline_ms >= class.aim_ms;
            require(
                is_ordered,
                &format!("requests[{index}].deadline_ms: is before aim_ms; raise it"),
            );
        }
        faults
    }

    /// Runs the ideal scheduler; returns totals by the windows in which requests start.
    ///
    /// A free slot takes the waiting request with the highest value per unit of service time.
    pub fn simulate(&self) -> Vec<WindowTotals> {
        let mut totals = vec![WindowTotals::default(); (self.end_ms / self.window_ms) as usize + 1];
        let mut arriving = collections::VecDeque::new();
        for request in self.arrivals() {
            let window = &mut totals[(request.started_ms / self.window_ms) as usize];
            window.started += 1;
            window.offered_value += request.class.value;
            if request.arrives_ms.is_finite() {
                arriving.push_back(request);
            }
        }
        let mut free_at = vec![0.0_f64; self.slots];
        let mut waiting: Vec<RequestArrival<'_>> = Vec::new();
        let mut now = 0.0_f64;
        while !(arriving.is_empty() && waiting.is_empty()) {
            let slot = (0..free_at.len()).min_by(|a, b| free_at[*a].total_cmp(&free_at[*b]));
            let Some(slot) = slot else { break };
            let next = arriving.front().map_or(f64::INFINITY, |request| request.arrives_ms);
            let next = if waiting.is_empty() { next } else { now };
            now = now.max(free_at[slot]).max(next);
            while arriving.front().is_some_and(|request| request.arrives_ms <= now) {
                waiting.extend(arriving.pop_front());
            }
            waiting.retain(|request| self.value_if_started(request, now) > 0.0);
            let value_density = |request: &RequestArrival<'_>| {
                self.value_if_started(request, now) / request.class.service_time_ms
            };
            let best = (0..waiting.len()).max_by(|a, b| {
                let by_value = value_density(&waiting[*a]).total_cmp(&value_density(&waiting[*b]));
                by_value.then(waiting[*a].started_ms.total_cmp(&waiting[*b].started_ms))
            });
            let Some(best) = best else { continue };
            let request = waiting.swap_remove(best);
            let value = self.value_if_started(&request, now);
            let window = &mut totals[(request.started_ms / self.window_ms) as usize];
            window.earned_value += value;
            match value >= request.class.value {
                true => window.in_time += 1,
                false => window.late += 1,
            }
            free_at[slot] = now + self.service_time_ms(request.class, now);
        }
        totals
    }

    /// All requests, sorted by arrival.
    fn arrivals(&self) -> Vec<RequestArrival<'_>> {
        let mut all = Vec::new();
        for class in &self.requests {
            let count = (self.end_ms * class.rate_per_s / 1_000.0) as usize;
            for index in 0..count {
                let started_ms = index as f64 * 1_000.0 / class.rate_per_s;
                all.push(RequestArrival {
                    class,
                    started_ms,
                    arrives_ms: self.arrival(class, started_ms),
                });
            }
        }
        all.sort_by(|a, b| a.arrives_ms.total_cmp(&b.arrives_ms));
        all
    }

    fn arrival(&self, class: &RequestClass, started_ms: f64) -> f64 {
        let is_before_outage =
            started_ms + class.round_trip_ms + class.service_time_ms <= self.outage_start_ms;
        let reaches = |at: &f64| is_before_outage || *at >= self.outage_end_ms;
        let attempts = ATTEMPTS_MS.iter().map(|after| started_ms + after);
        let mut attempts = attempts.filter(reaches);
        attempts.next().unwrap_or(f64::INFINITY)
    }

    fn service_time_ms(&self, class: &RequestClass, now: f64) -> f64 {
        let is_slow = (self.outage_end_ms..self.slow_until_ms).contains(&now);
        class.service_time_ms * if is_slow { self.slow_factor } else { 1.0 }
    }

    /// Value that a request earns if it is started now.
    fn value_if_started(&self, request: &RequestArrival<'_>, now: f64) -> f64 {
        let class = request.class;
        let age_ms =
            now + self.service_time_ms(class, now) + class.round_trip_ms - request.started_ms;
        match () {
            _ if age_ms <= class.aim_ms => class.value,
            _ if age_ms <= class.deadline_ms => class.late_value,
            _ => 0.0,
        }
    }
}
