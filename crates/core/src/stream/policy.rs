//! The figures that decisions on streams go by, each of which an operator may change or switch off.
//!
//! A mechanism is judged by switching it off: every field names the value that does so.

use serde::Deserialize;
use serde::Serialize;

/// The figures of one process.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct StreamPolicy {
    /// How an agent lets openings in.
    pub admission: AdmissionPolicy,
    /// How a balancer chooses an agent.
    pub placement: PlacementPolicy,
    /// How often processes tell each other how they are.
    pub reports: ReportPolicy,
    /// What is done after a process, a machine or a backend server has failed.
    pub recovery: RecoveryPolicy,
}

/// How an agent lets openings in, and which of them wait.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct AdmissionPolicy {
    /// How many requests may be on the way to a backend server whose slots are in use, as a
    /// percentage of those that the time between an opening and its request makes up; 0 has none.
    ///
    /// Hosts of two slots behind thin links would stand empty for a third of the time while openings
    /// wait.
    pub on_the_way_percent: u32,
    /// How many openings may wait at the agent for each slot; 0 has none wait.
    ///
    /// With one, a caller waits for a turn at the most and is still in time; with more, callers wait
    /// until they are late.
    pub waiting_per_slot: u32,
    /// Within what share of its caller's aim an opening must be sure of its answer to wait beyond those
    /// places, in percent; 0 has none do so.
    ///
    /// A burst is over in some tenths of a second; refused at once, a caller has used up its tries
    /// before. What is left of the aim is for hosts that turn slower meanwhile.
    pub waiting_aim_percent: u32,
}

impl Default for AdmissionPolicy {
    fn default() -> AdmissionPolicy {
        AdmissionPolicy { on_the_way_percent: 100, waiting_per_slot: 1, waiting_aim_percent: 0 }
    }
}

/// How a balancer chooses the agent that an opening goes to.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlacementPolicy {
    /// How many agents drawn at random are compared, of near and of far ones each; 1 takes any.
    ///
    /// Taking the emptiest of all sends every balancer to the same host between two reports; with
    /// three, each choice still avoids the full ones.
    pub drawn_agents: u32,
    /// How many agents may have an opening although their slots are in use, before it is refused; 0
    /// has none wait.
    ///
    /// A full host answers within a round trip; two more tries cost the caller a few milliseconds and
    /// find the host that has just given back a slot.
    pub queued_tries: u32,
    /// What a host in another data centre must be emptier by, as a percentage of its slots; 0 makes
    /// near and far alike.
    ///
    /// A request there costs a round trip between data centres, and its bytes are paid for. Much more
    /// than this, and hosts of one data centre are busier than those of others on a calm day.
    pub far_percent: u32,
    /// What a host that fails part of its requests must be emptier by, as a percentage of its slots; 0
    /// makes it like any other.
    pub failing_percent: u32,
}

impl Default for PlacementPolicy {
    fn default() -> PlacementPolicy {
        PlacementPolicy { drawn_agents: 3, queued_tries: 3, far_percent: 40, failing_percent: 200 }
    }
}

/// How often processes tell each other how they are; all processes must agree.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct ReportPolicy {
    /// How often an agent tells balancers of its own data centre of the work in progress, in
    /// milliseconds.
    ///
    /// Placement compares reports and what was sent since; at 100 ms a host with 5 slots and 40 ms a
    /// request has turned over a dozen requests, about as many as one balancer sends it meanwhile.
    pub near_ms: u32,
    /// How often it tells balancers of other data centres, in milliseconds.
    pub far_ms: u32,
}

impl Default for ReportPolicy {
    fn default() -> ReportPolicy {
        ReportPolicy { near_ms: 100, far_ms: 300 }
    }
}

impl ReportPolicy {
    /// How long an agent may be unheard before no new stream goes there, in milliseconds: three of
    /// its reports and some.
    pub fn timeout_ms(&self, is_near: bool) -> u64 {
        3 * u64::from(if is_near { self.near_ms } else { self.far_ms }) + 50
    }
}

/// What is done after a process, a machine or a backend server has failed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, default)]
pub struct RecoveryPolicy {
    /// How long a backend server may take to answer an opening, in milliseconds; longer than 2,000
    /// switches this off.
    ///
    /// It does so at once, before any work: far more than that means that it hangs or is gone, and
    /// the caller's own copy only comes after 200 ms.
    pub unanswered_ms: u32,
    /// How long a backend server that left openings unanswered gets no more, in milliseconds; 0
    /// switches this off.
    pub silence_ms: u32,
    /// How often an agent in doubt sees whether its backend server is there, in milliseconds.
    ///
    /// Each look is a connection, which backend servers count; a caller whose stream has died with
    /// its backend server can still be in time if it hears within its aim of 150 to 250 ms.
    pub host_probe_ms: u32,
    /// How long an agent that is announced and has never been heard may hold streams, in
    /// milliseconds.
    ///
    /// Machines that are lost leave their announcements behind. Waiting for their word, a balancer
    /// that has just started could tell no caller that its stream has died: each waited out its
    /// deadline, for as long as the agent was remembered. A planned restart takes 0.7 s on the users'
    /// machines, during which the backend server goes on; one that is away for three times as long
    /// is taken as lost.
    pub lost_ms: u32,
    /// How many backend servers have one stream's segment at the same time, while it is searched
    /// for.
    ///
    /// The thinnest balancer has 10 Mbit/s. With all 38 hosts of a service at once, the streams that
    /// a restart had ended filled that link for ten seconds; eight find a stream in three turns on
    /// average.
    pub search_width: u32,
    /// A process that hears nothing, not even its own clock, for so long has stood still, in
    /// milliseconds: its clock ticks fifty times a second, and callers repeat an opening after 200.
    pub pause_ms: u32,
    /// How long an opening waits for any agent to be heard of, in milliseconds; 0 has none wait.
    ///
    /// A balancer that has just started knows none for some 20 ms. Callers repeat an opening after
    /// 200 ms, and the copy may be taken through another balancer: an answer after that could meet a
    /// stream that is open.
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
    /// Finds every fault that types do not rule out.
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
