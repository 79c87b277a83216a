//! Messages between balancers and agents, one per datagram.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::load;
use crate::store_epoch;
use crate::stream;
use crate::stream::evacuation;
use crate::stream::host;
use crate::stream::segment;

/// How an agent handles a segment from a balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CarryKind {
    /// Open the stream if a slot is free.
    Open,
    /// Open the stream; the opening may wait for a slot.
    OpenQueued,
    /// The agent's backend server holds the stream.
    Held,
    /// No agent is known to hold the stream: check whether the backend server does.
    Probe,
}

/// Why an agent returns a segment to its balancer.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ReturnReason {
    /// Every slot is in use.
    Full,
    /// The backend server refused the opening.
    Shed,
    /// The backend server is shutting down, stopped or not started yet.
    NotServing,
    /// The backend server belongs to another service.
    OtherService,
    /// The backend server has not answered openings.
    Silent,
    /// The backend server does not hold the stream.
    NotHeld,
    /// The backend server's data centre is evacuated.
    Evacuated,
    /// The configuration does not allow the agent's region.
    OtherRegion,
}

impl ReturnReason {
    /// The name of the reason in logs and metrics.
    pub fn label(self) -> &'static str {
        match self {
            ReturnReason::Full => "full",
            ReturnReason::Shed => "shed",
            ReturnReason::NotServing => "not_serving",
            ReturnReason::OtherService => "other_service",
            ReturnReason::Silent => "silent",
            ReturnReason::NotHeld => "not_held",
            ReturnReason::Evacuated => "evacuated",
            ReturnReason::OtherRegion => "other_region",
        }
    }
}

/// A segment from a balancer to an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CarryMessage {
    /// How to handle it.
    pub kind: CarryKind,
    /// The service that an opening is for in the balancer's configuration. With any other segment, the
    /// service that the balancer knows the agent by: a stream stays where it has opened.
    pub service: ids::ServiceId,
    /// The generation of that configuration.
    pub generation: ids::ConfigGeneration,
    /// The segment.
    #[serde(with = "serde_bytes")]
    pub segment: Vec<u8>,
}

/// A segment that an agent returns to a balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReturnMessage {
    /// The reason.
    pub reason: ReturnReason,
    /// The generation of the agent's configuration.
    pub generation: ids::ConfigGeneration,
    /// The load of the agent's backend server.
    pub load: load::LoadReport,
    /// The segment.
    #[serde(with = "serde_bytes")]
    pub segment: Vec<u8>,
}

/// The state of an agent, sent periodically to each subscriber.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AgentReport {
    /// This run of the agent.
    pub agent: ids::InstanceId,
    /// The service of its backend server.
    pub service: ids::ServiceId,
    /// Its data centre.
    pub data_centre: u32,
    /// The phase of the backend server.
    pub phase: host::HostPhase,
    /// The time since the backend server's start, in milliseconds, if the agent saw it start recently:
    /// all streams from before are lost.
    pub host_age_ms: Option<u32>,
    /// The load of the backend server.
    pub load: load::LoadReport,
    /// The generation of the agent's configuration.
    pub generation: ids::ConfigGeneration,
}

/// The state of a balancer, sent to the agents that it subscribes to and to its neighbours.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BalancerReport {
    /// Its data centre.
    pub data_centre: u32,
    /// The generation of its configuration.
    pub generation: ids::ConfigGeneration,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// Whether its last call to the platform succeeded.
    pub reaches_platform: bool,
    /// The data centres from which it receives reports of any process.
    pub reachable_centres: Vec<u32>,
    /// The evacuated data centres that it knows of.
    pub evacuations: evacuation::EvacuationState,
    /// The latest epoch of the platform's store that it knows of.
    pub store_epoch: store_epoch::StoreEpoch,
    /// Whether the balancer subscribes to the reports of the agent that receives this.
    ///
    /// If not, the receiver answers with a single report, which shows that it is alive.
    pub wants_reports: bool,
}

/// The entries whose service has changed while streams from before the change may be open.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct FormerServices {
    /// The generation of the sender's configuration; zero if it has none.
    pub generation: ids::ConfigGeneration,
    /// For how long the sender has known of every change, in milliseconds.
    pub known_ms: u32,
    /// The changes.
    pub changes: Vec<ServiceChange>,
}

/// An entry that a configuration has moved to another service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ServiceChange {
    /// The entry.
    pub entry: net::SocketAddrV4,
    /// The service that its streams opened at before.
    pub former: ids::ServiceId,
    /// The generation of that configuration.
    pub generation: ids::ConfigGeneration,
    /// The time since then, in milliseconds.
    pub age_ms: u32,
}

/// Some or all of the members that a balancer receives reports from.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReachableMembers {
    /// At most [`MAX_MEMBERS_PER_MESSAGE`] balancers and agents.
    pub members: Vec<stream::AnnouncedMember>,
}

/// The maximum length of a message, in bytes; the receive buffer has this size.
pub const MAX_MESSAGE_BYTES: usize = 4_096;

/// The maximum number of members in one message, so that it fits in [`MAX_MESSAGE_BYTES`].
pub const MAX_MEMBERS_PER_MESSAGE: usize = 128;

/// The maximum number of changes of services that a balancer keeps, so that one message holds them all.
pub const MAX_SERVICE_CHANGES: usize = 64;

/// A message between a balancer and an agent, or between balancers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StreamMessage {
    /// A balancer forwards a segment.
    Carry(CarryMessage),
    /// An agent returns a segment.
    Return(ReturnMessage),
    /// The sender's backend server holds the stream.
    Held {
        /// The stream.
        key: segment::StreamKey,
        /// The backend server's initial sequence number, if the agent saw it.
        first_sequence: Option<u32>,
        /// The load of the backend server.
        load: load::LoadReport,
    },
    /// The sender asks which agent holds the stream.
    Find {
        /// The stream.
        key: segment::StreamKey,
        /// The sequence number that its caller expects next, which identifies the backend server whose
        /// answer the caller accepted.
        caller_expects: u32,
    },
    /// The sender's backend server does not hold the stream.
    Absent {
        /// The stream.
        key: segment::StreamKey,
        /// Whether the agent has seen every opening that its backend server accepted.
        is_sure: bool,
    },
    /// An agent's report.
    Agent(AgentReport),
    /// A balancer's report.
    Balancer(BalancerReport),
    /// Members that a balancer receives reports from.
    Members(ReachableMembers),
    /// Entries whose service has changed. Processes that do not know this message drop it, as the next two.
    FormerServices(FormerServices),
    /// The sender asks whether the receiver's backend server may hold streams of entries that belong to
    /// another service now.
    FindFormer,
    /// The sender's backend server holds no stream of an entry that belongs to another service in the
    /// configuration of this generation, which the sender has.
    NoFormer(ids::ConfigGeneration),
}

/// The kind of a message, for metrics.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageKind {
    /// An opening for an agent.
    Opening,
    /// A segment for the agent that holds its stream.
    Segment,
    /// A segment for an agent that may hold its stream.
    Search,
    /// A segment that an agent returns.
    Return,
    /// An agent holds a stream.
    Held,
    /// A balancer asks which agent holds a stream.
    Find,
    /// An agent does not hold a stream.
    Absent,
    /// An agent's report.
    AgentReport,
    /// A balancer's report.
    BalancerReport,
    /// Members that a balancer receives reports from.
    Members,
    /// Entries whose service has changed.
    FormerServices,
    /// A balancer asks whether a backend server may hold streams of former services.
    FindFormer,
    /// A backend server holds no streams of former services.
    NoFormer,
}

impl MessageKind {
    /// Every kind.
    pub const ALL: [MessageKind; 13] = [
        MessageKind::Opening,
        MessageKind::Segment,
        MessageKind::Search,
        MessageKind::Return,
        MessageKind::Held,
        MessageKind::Find,
        MessageKind::Absent,
        MessageKind::AgentReport,
        MessageKind::BalancerReport,
        MessageKind::Members,
        MessageKind::FormerServices,
        MessageKind::FindFormer,
        MessageKind::NoFormer,
    ];

    /// The name of the kind in metrics.
    pub fn label(self) -> &'static str {
        match self {
            MessageKind::Opening => "opening",
            MessageKind::Segment => "segment",
            MessageKind::Search => "search",
            MessageKind::Return => "return",
            MessageKind::Held => "held",
            MessageKind::Find => "find",
            MessageKind::Absent => "absent",
            MessageKind::AgentReport => "agent_report",
            MessageKind::BalancerReport => "balancer_report",
            MessageKind::Members => "members",
            MessageKind::FormerServices => "former_services",
            MessageKind::FindFormer => "find_former",
            MessageKind::NoFormer => "no_former",
        }
    }
}

impl StreamMessage {
    /// The kind of the message.
    pub fn kind(&self) -> MessageKind {
        match self {
            StreamMessage::Carry(carry) => match carry.kind {
                CarryKind::Open | CarryKind::OpenQueued => MessageKind::Opening,
                CarryKind::Held => MessageKind::Segment,
                CarryKind::Probe => MessageKind::Search,
            },
            StreamMessage::Return(_) => MessageKind::Return,
            StreamMessage::Held { .. } => MessageKind::Held,
            StreamMessage::Find { .. } => MessageKind::Find,
            StreamMessage::Absent { .. } => MessageKind::Absent,
            StreamMessage::Agent(_) => MessageKind::AgentReport,
            StreamMessage::Balancer(_) => MessageKind::BalancerReport,
            StreamMessage::Members(_) => MessageKind::Members,
            StreamMessage::FormerServices(_) => MessageKind::FormerServices,
            StreamMessage::FindFormer => MessageKind::FindFormer,
            StreamMessage::NoFormer(_) => MessageKind::NoFormer,
        }
    }
}
