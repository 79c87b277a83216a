//! Log events for decisions and state changes, with the inputs of each decision.

use std::collections;
use std::net;

use serde::Serialize;

use crate::ids;
use crate::store_epoch;
use crate::stream::evacuation;
use crate::stream::host;
use crate::stream::message;
use crate::stream::segment;

/// Why a stream was reset or an opening refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ResetReason {
    /// The configuration has no service for the address.
    NoService,
    /// Every agent that received the opening refused it.
    AllRefused,
    /// No agent of the service is known.
    NoAgent,
    /// Every agent that could accept the opening is in an evacuated data centre.
    Evacuated,
    /// The data centre of the stream's backend server is lost.
    CentreLost,
    /// Every agent of the service is in a region that the configuration does not allow.
    OtherRegion,
    /// The run of the backend server that held the stream is over.
    RunOver,
    /// Every agent of the service denied that its backend server holds the stream.
    HeldNowhere,
}

impl ResetReason {
    /// The name of the reason in metrics.
    pub fn label(self) -> &'static str {
        match self {
            ResetReason::NoService => "no_service",
            ResetReason::AllRefused => "all_refused",
            ResetReason::NoAgent => "no_agent",
            ResetReason::Evacuated => "evacuated",
            ResetReason::CentreLost => "centre_lost",
            ResetReason::OtherRegion => "other_region",
            ResetReason::RunOver => "run_over",
            ResetReason::HeldNowhere => "held_nowhere",
        }
    }
}

/// A log event.
#[derive(Clone, Debug, PartialEq, Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum StreamLogEvent {
    /// A balancer sent an opening to an agent.
    Placed {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// The agent.
        agent: net::SocketAddrV4,
        /// How many agents had received the opening before.
        tried: usize,
        /// The work in progress at the agent, including openings sent since its last report.
        busy: u32,
        /// The age of the agent's last report, in milliseconds.
        report_age_ms: u64,
        /// The generation of the balancer's configuration.
        generation: u64,
    },
    /// An agent returned a segment.
    Returned {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// The agent.
        agent: net::SocketAddrV4,
        /// Why.
        reason: &'static str,
    },
    /// A stream was reset or an opening refused.
    Reset {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// Why.
        reason: ResetReason,
        /// The generation of the configuration.
        generation: u64,
    },
    /// A balancer started a search for the holder of a stream.
    Searched {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// How many agents were queried.
        asked: usize,
        /// How many silent agents were not queried because they are presumed to hold no stream.
        presumed_gone: usize,
    },
    /// A search found the holder of a stream.
    Found {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// The agent.
        agent: net::SocketAddrV4,
    },
    /// A search ended without an owner.
    NotFound {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// How many agents were queried.
        asked: usize,
        /// How many agents denied that their backend server holds it.
        denied: usize,
        /// Why agents that were not queried may hold it; `None` if none of them can.
        #[serde(skip_serializing_if = "Option::is_none")]
        gap: Option<&'static str>,
    },
    /// The backend server opened a stream.
    Accepted {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// The work in progress at the backend server.
        busy: u32,
    },
    /// The backend server did not answer an opening.
    Unanswered {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
        /// The time since its delivery, in milliseconds.
        waited_ms: u64,
    },
    /// A balancer's state for an agent has changed.
    AgentChanged {
        /// The agent.
        agent: net::SocketAddrV4,
        /// The run of the agent.
        run: String,
        /// The phase of its backend server.
        phase: host::HostPhase,
        /// Whether its reports arrive.
        is_reachable: bool,
    },
    /// An agent's state for its backend server has changed.
    HostChanged {
        /// The id of its run.
        run: String,
        /// The start time of the run, if reported.
        born: Option<ids::UnixMillis>,
        /// The phase of the backend server.
        phase: host::HostPhase,
        /// How many requests it runs concurrently.
        slots: u32,
        /// The sequence number of its report.
        sequence: u64,
        /// How many streams of an earlier run were reset.
        reset: usize,
    },
    /// A report was ignored because it is late, from an earlier run or from another process.
    StaleReport {
        /// The id of the run in the report.
        run: String,
        /// The start time of the run, if reported.
        born: Option<ids::UnixMillis>,
        /// The sequence number of the report.
        sequence: u64,
    },
    /// A backend server of another service reports at this agent's address.
    OtherService {
        /// The id of its run.
        run: String,
        /// The start time of the run, if reported.
        born: Option<ids::UnixMillis>,
        /// Its service.
        service: String,
        /// Whether the run of the agent's own service is therefore over.
        is_over: bool,
    },
    /// A segment was dropped because its stream's backend server may have been replaced by one of
    /// another service.
    Withheld {
        /// The stream.
        #[serde(serialize_with = "as_text")]
        stream: segment::StreamKey,
    },
    /// A sign-off of the backend server may be from an earlier run, so its port is probed.
    LeaveDoubted {
        /// The id in the sign-off.
        run: String,
    },
    /// A balancer has become reachable or unreachable.
    BalancerChanged {
        /// The balancer.
        balancer: net::SocketAddrV4,
        /// Whether its reports arrive.
        is_reachable: bool,
    },
    /// A data centre is lost, as no balancer receives reports from it, or has recovered.
    CentreChanged {
        /// The hash of its name.
        data_centre: u32,
        /// Whether it is lost.
        is_lost: bool,
    },
    /// The process was paused; openings are ignored for a moment.
    Resumed {
        /// The length of the pause, in milliseconds.
        still_ms: u64,
    },
    /// A new configuration is in force.
    ConfigInForce {
        /// Its generation.
        generation: ids::ConfigGeneration,
    },
    /// The set of evacuated data centres has changed, or the first list has arrived.
    EvacuationsChanged {
        /// The names of the evacuated data centres.
        data_centres: collections::BTreeSet<String>,
        /// Those of them that the store has not listed since its restore.
        kept: collections::BTreeSet<String>,
        /// The epoch of the platform's store.
        epoch: store_epoch::StoreEpoch,
        /// The store revision of the list.
        revision: u64,
    },
    /// The platform's store was restored from a backup and may lack the latest writes.
    StoreRestored {
        /// Its epoch before.
        from: store_epoch::StoreEpoch,
        /// Its epoch now.
        to: store_epoch::StoreEpoch,
    },
    /// Openings are placed although the evacuated data centres are unknown.
    EvacuationsUnknown {
        /// How long openings waited for the list, in milliseconds.
        waited_ms: u64,
    },
}

impl StreamLogEvent {
    /// Whether the event is a state change of the process, rather than a decision on one stream.
    pub fn is_state_change(&self) -> bool {
        matches!(
            self,
            StreamLogEvent::AgentChanged { .. }
                | StreamLogEvent::HostChanged { .. }
                | StreamLogEvent::StaleReport { .. }
                | StreamLogEvent::OtherService { .. }
                | StreamLogEvent::LeaveDoubted { .. }
                | StreamLogEvent::BalancerChanged { .. }
                | StreamLogEvent::CentreChanged { .. }
                | StreamLogEvent::Resumed { .. }
                | StreamLogEvent::ConfigInForce { .. }
                | StreamLogEvent::EvacuationsChanged { .. }
                | StreamLogEvent::EvacuationsUnknown { .. }
                | StreamLogEvent::StoreRestored { .. }
        )
    }

    /// Creates the event for a change of the evacuated data centres.
    pub fn evacuated(evacuations: &evacuation::KnownEvacuations) -> StreamLogEvent {
        StreamLogEvent::EvacuationsChanged {
            data_centres: evacuations.names().map(str::to_owned).collect(),
            kept: evacuations.kept().clone(),
            epoch: evacuations.revision().epoch,
            revision: evacuations.revision().number,
        }
    }

    /// Creates the event for a returned segment.
    pub fn returned(
        stream: segment::StreamKey,
        agent: net::SocketAddrV4,
        reason: message::ReturnReason,
    ) -> StreamLogEvent {
        StreamLogEvent::Returned { stream, agent, reason: reason.label() }
    }
}

fn as_text<S: serde::Serializer>(
    key: &segment::StreamKey,
    serializer: S,
) -> Result<S::Ok, S::Error> {
    serializer.collect_str(key)
}
