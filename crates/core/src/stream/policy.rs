//! Tunable parameters of stream balancing. Where a parameter can be disabled, its documentation names
//! the value that does so.

use serde::Deserialize;
use serde::Serialize;

/// The parameters of one process.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamPolicy {
    /// Admission of openings at an agent.
    pub admission: AdmissionPolicy,
    /// The choice of an agent by a balancer.
    pub placement: PlacementPolicy,
    /// Intervals of load reports.
    pub reports: ReportPolicy,
    /// Recovery from failures of processes, machines and backend servers.
    pub recovery: RecoveryPolicy,
}

/// Admission of openings at an agent.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionPolicy {
    /// How many openings beyond its slots a backend server may have, as a percentage of the requests
    /// that it finishes between an opening and its request; 0 allows none.
    ///
    /// Hosts with few slots behind slow links would otherwise idle while openings wait.
    pub on_the_way_percent: u32,
    /// How many openings may wait at the agent per slot; 0 allows none.
    pub waiting_per_slot: u32,
    /// The share of the latency target within which the answer to an opening must be expected for the
    /// opening to wait beyond those places, in percent; 0 allows none.
    ///
    /// The rest of the target is a reserve for hosts that become slower meanwhile.
    pub waiting_aim_percent: u32,
}

impl Default for AdmissionPolicy {
    fn default() -> AdmissionPolicy {
        AdmissionPolicy { on_the_way_percent: 100, waiting_per_slot: 1, waiting_aim_percent: 0 }
    }
}

/// The choice of the agent for an opening by a balancer.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementPolicy {
    /// How many agents drawn at random are compared, among near and far ones each; 1 disables the
    /// comparison.
    ///
    /// Choosing the least loaded of all agents would send every balancer to the same host between two
    /// reports.
    pub drawn_agents: u32,
    /// How many agents with all slots in use may receive an opening before it is refused; 0 allows none.
    ///
    /// A full host refuses within a round trip, so further attempts are cheap.
    pub queued_tries: u32,
    /// The penalty on hosts in other data centres, as a percentage of their slots; 0 disables it.
    ///
    /// A request there costs a round trip between data centres and paid traffic; too high a penalty
    /// makes the load uneven between data centres.
    pub far_percent: u32,
    /// The penalty on hosts that fail part of their requests, as a percentage of their slots; 0 disables
    /// it.
    pub failing_percent: u32,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy { drawn_agents: 3, queued_tries: 3, far_percent: 40, failing_percent: 200 }
    }
}

/// Intervals of load reports; all processes must use the same.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportPolicy {
    /// The interval of an agent's reports to balancers in its own data centre, in milliseconds.
    pub near_ms: u32,
    /// The interval of its reports to balancers in other data centres, in milliseconds.
    pub far_ms: u32,
}

impl Default for ReportPolicy {
    fn default() -> ReportPolicy {
        ReportPolicy { near_ms: 100, far_ms: 300 }
    }
}

impl ReportPolicy {
    /// How long an agent may be silent before it gets no new streams, in milliseconds: three report
    /// intervals and some tolerance.
    pub fn timeout_ms(&self, is_near: bool) -> u64 {
        3 * u64::from(if is_near { self.near_ms } else { self.far_ms }) + 50
    }
}

/// Recovery from failures of processes, machines and backend servers.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecoveryPolicy {
    /// How long a backend server may take to answer an opening, in milliseconds; more than 2,000
    /// disables the check.
    ///
    /// It answers before any work, so a delay means that it hangs or is gone. Callers retransmit only
    /// after 200 ms.
    pub unanswered_ms: u32,
    /// How long a backend server that left openings unanswered gets no new ones, in milliseconds; 0
    /// disables this.
    pub silence_ms: u32,
    /// How often an agent probes the port of a backend server that may be gone, in milliseconds.
    ///
    /// Each probe is a connection to the backend server.
    pub host_probe_ms: u32,
    /// How long an announced agent that has never reported counts as a possible holder of streams although
    /// its machine leaves probes unanswered, in milliseconds.
    ///
    /// Machines that are lost leave their announcements behind, and callers of dead streams cannot be
    /// reset while such an agent counts. Must be longer than a machine takes to start.
    pub lost_ms: u32,
    /// How many backend servers are probed with a segment of a stream at the same time.
    ///
    /// Probing all hosts of a large service at once would saturate the link of a small balancer.
    pub search_width: u32,
    /// The time without any event, including timer ticks, after which a process was paused, in
    /// milliseconds; it ticks fifty times a second.
    pub pause_ms: u32,
    /// How long an opening waits until an agent is known, in milliseconds; 0 disables the wait.
    ///
    /// Must be less than the 200 ms after which callers retransmit an opening, which another balancer
    /// may place.
    pub park_ms: u32,
}

impl Default for RecoveryPolicy {
    fn default() -> RecoveryPolicy {
        RecoveryPolicy {
            unanswered_ms: 80,
            silence_ms: 1_000,
            host_probe_ms: 300,
            lost_ms: 2_000,
            search_width: 8,
            pause_ms: 500,
            park_ms: 150,
        }
    }
}

impl StreamPolicy {
    /// Returns an error message for every parameter that is out of range.
    pub fn check(&self) -> Vec<String> {
        let ranges = [
            ("admission.on_the_way_percent", self.admission.on_the_way_percent, 0, 1_000_000),
            ("admission.waiting_per_slot", self.admission.waiting_per_slot, 0, 1_000),
            ("admission.waiting_aim_percent", self.admission.waiting_aim_percent, 0, 100),
            ("placement.drawn_agents", self.placement.drawn_agents, 1, 1_000),
            ("placement.queued_tries", self.placement.queued_tries, 0, 100),
            ("placement.far_percent", self.placement.far_percent, 0, 1_000),
            ("placement.failing_percent", self.placement.failing_percent, 0, 10_000),
            ("reports.near_ms", self.reports.near_ms, 20, 10_000),
            ("reports.far_ms", self.reports.far_ms, 20, 10_000),
            ("recovery.unanswered_ms", self.recovery.unanswered_ms, 1, 60_000),
            ("recovery.silence_ms", self.recovery.silence_ms, 0, 60_000),
            ("recovery.host_probe_ms", self.recovery.host_probe_ms, 10, 60_000),
            ("recovery.lost_ms", self.recovery.lost_ms, 100, 600_000),
            ("recovery.search_width", self.recovery.search_width, 1, 1_000),
            ("recovery.pause_ms", self.recovery.pause_ms, 100, 600_000),
            ("recovery.park_ms", self.recovery.park_ms, 0, 1_000),
        ];
        let outside =
            ranges.iter().filter(|(_, value, least, most)| !(*least..=*most).contains(value));
        outside
            .map(|(field, value, least, most)| {
                format!("policy.{field}: is {value}; use {least} to {most}")
            })
            .collect()
    }
}
