//! The load of each backend server, and the choice of one for a new request or flow.
//!
//! Load reports are piggybacked on other messages. They hold the agent's own counts, since the
//! health and load endpoints of backend servers may be out of date or wrong.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::manifest;

/// How much more loaded than another candidate the first one may be and still be chosen, as a
/// share of capacity, where a service prefers stability.
const STABILITY_SLACK: f64 = 0.1;

/// How much is added to the load of a host in another data centre, as a share of capacity, where a
/// service prefers stability.
///
/// Load moves to other data centres gradually: the fuller the near hosts are, the better far ones
/// compare.
const FAR_PENALTY: f64 = 0.5;

/// The same where a service prefers balance: only decides between equally loaded hosts.
///
/// A larger penalty causes imbalance where data centres have different numbers of hosts for each
/// balancer.
const FAR_TIE_BREAK: f64 = 0.05;

/// The minimum share of its capacity that a host gets during slow start.
const MIN_SLOW_START_SHARE: f64 = 0.1;

/// The number of unanswered messages after which a host may count as unresponsive.
const UNANSWERED_LIMIT: u32 = 3;

/// The age of the first unanswered message at which the host does, in milliseconds.
const UNANSWERED_MS: u64 = 500;

/// The load of a backend server as counted by its agent.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadReport {
    /// Increases with each report of a run, so that reordered reports are ignored.
    pub sequence: u64,
    /// The number of running requests.
    pub running: u32,
    /// The number of queued requests.
    pub queued: u32,
    /// The maximum number of concurrent requests.
    pub slots: u32,
    /// The number of open flows.
    pub flows: u32,
    /// The maximum number of open flows.
    pub connections: u32,
    /// Whether the backend server has failed several times in a row.
    pub failing: bool,
}

/// The kind of load that a choice compares.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadKind {
    /// Running and queued requests, relative to slots.
    Requests,
    /// Open flows, relative to connections.
    Flows,
}

/// How long a host that reported failures is avoided, in milliseconds.
const UNHEALTHY_MS: u64 = 5_000;

#[derive(Clone, Copy, Debug, Default)]
struct HostLoad {
    report: LoadReport,
    last_report: ids::UnixMillis,
    unanswered: u32,
    first_unanswered: ids::UnixMillis,
    last_sent: ids::UnixMillis,
}

/// The reported loads of all hosts known to one process.
#[derive(Clone, Debug, Default)]
pub struct LoadTracker {
    hosts: collections::HashMap<ids::InstanceId, HostLoad>,
}

impl LoadTracker {
    /// Records a report; any report marks the host as responsive.
    pub fn record_load(&mut self, host: ids::InstanceId, report: LoadReport, now: ids::UnixMillis) {
        let held = self.hosts.entry(host).or_default();
        held.last_report = now;
        held.unanswered = 0;
        if report.sequence >= held.report.sequence {
            held.report = report;
        }
    }

    /// Counts work that was sent as load until the next report.
    ///
    /// Otherwise all work between two reports would go to the host with the lowest reported load.
    pub fn note_sent(&mut self, host: ids::InstanceId, kind: LoadKind, now: ids::UnixMillis) {
        let held = self.hosts.entry(host).or_default();
        if held.unanswered == 0 {
            held.first_unanswered = now;
        }
        held.unanswered += 1;
        held.last_sent = now;
        match kind {
            LoadKind::Requests => held.report.running += 1,
            LoadKind::Flows => held.report.flows += 1,
        }
    }

    /// Retains only the hosts for which `keep` returns true.
    pub fn retain(&mut self, keep: impl Fn(ids::InstanceId) -> bool) {
        self.hosts.retain(|host, _| keep(*host));
    }
}

impl LoadTracker {
    /// The last report of a host, including work sent since.
    pub fn report(&self, host: ids::InstanceId) -> Option<LoadReport> {
        self.hosts.get(&host).map(|held| held.report)
    }

    /// Whether a host has left several messages unanswered.
    ///
    /// This detects a dead host well before membership does. It ends some time after the last
    /// message, so that another one probes whether the host is back.
    pub fn has_stopped_responding(&self, host: ids::InstanceId, now: ids::UnixMillis) -> bool {
        self.hosts.get(&host).is_some_and(|held| {
            let has_timed_out = now.since(held.first_unanswered) >= UNANSWERED_MS;
            let is_recent = now.since(held.last_sent) < UNHEALTHY_MS;
            held.unanswered >= UNANSWERED_LIMIT && has_timed_out && is_recent
        })
    }

    /// Whether a host should be avoided while others are available.
    pub fn is_unhealthy(&self, host: ids::InstanceId, now: ids::UnixMillis) -> bool {
        let failing = self
            .hosts
            .get(&host)
            .is_some_and(|held| held.report.failing && now.since(held.last_report) < UNHEALTHY_MS);
        failing || self.has_stopped_responding(host, now)
    }
}

/// A host that could take a request or flow.
#[derive(Clone, Copy, Debug)]
pub struct WorkCandidate {
    /// The host's agent.
    pub host: ids::InstanceId,
    /// When this run started.
    pub started: ids::UnixMillis,
    /// Whether it is in the data centre of the choosing process.
    pub is_near: bool,
}

/// Chooses among a few candidates, which are listed in order of preference.
///
/// Unhealthy hosts are excluded unless they are the majority: a shared cause is then likely, and
/// the remaining hosts would be overloaded.
pub fn choose(
    candidates: &[WorkCandidate],
    load_tracker: &LoadTracker,
    kind: LoadKind,
    spec: &manifest::ServiceSpec,
    now: ids::UnixMillis,
) -> Option<ids::InstanceId> {
    let healthy = |candidate: &&WorkCandidate| !load_tracker.is_unhealthy(candidate.host, now);
    let healthy_count = candidates.iter().filter(healthy).count();
    let exclude_unhealthy = healthy_count * 2 >= candidates.len() && healthy_count > 0;
    let mut usable = candidates.iter().filter(|c| !exclude_unhealthy || healthy(c));
    let first = usable.next()?;
    let first_load = relative_load(first, load_tracker, kind, spec, now);
    let rest = usable
        .map(|candidate| (relative_load(candidate, load_tracker, kind, spec, now), candidate));
    let least_loaded = rest.min_by(|a, b| a.0.total_cmp(&b.0));
    let slack = match spec.rules.prefer {
        manifest::ChoicePreference::Stability => STABILITY_SLACK,
        manifest::ChoicePreference::Balance => 0.0,
    };
    match least_loaded {
        Some((other_load, other)) if other_load + slack < first_load => Some(other.host),
        _ => Some(first.host),
    }
}

/// The relative load of a host with one more request or flow, increased during slow start and for
/// hosts in other data centres.
fn relative_load(
    candidate: &WorkCandidate,
    load_tracker: &LoadTracker,
    kind: LoadKind,
    spec: &manifest::ServiceSpec,
    now: ids::UnixMillis,
) -> f64 {
    let report = load_tracker.report(candidate.host).unwrap_or_default();
    let (used, capacity) = match kind {
        LoadKind::Requests => (report.running + report.queued, spec.host_slots),
        LoadKind::Flows => (report.flows, spec.host_connections),
    };
    let share = f64::from(used + 1) / f64::from(capacity.max(1));
    let distance = match spec.rules.prefer {
        _ if candidate.is_near => 0.0,
        manifest::ChoicePreference::Stability => FAR_PENALTY,
        manifest::ChoicePreference::Balance => FAR_TIE_BREAK,
    };
    share / slow_start_share(candidate.started, &spec.rules, now) + distance
}

/// The share of its capacity that a host gets at this time after its start.
pub fn slow_start_share(
    started: ids::UnixMillis,
    rules: &manifest::ServiceRules,
    now: ids::UnixMillis,
) -> f64 {
    let duration_ms = f64::from(rules.slow_start_s) * 1_000.0;
    match now.since(started) as f64 {
        age if age >= duration_ms => 1.0,
        age => (age / duration_ms).max(MIN_SLOW_START_SHARE),
    }
}
