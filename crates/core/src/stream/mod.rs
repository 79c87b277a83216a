//! Load balancing of reliable byte streams, segment by segment, without reading their contents.
//!
//! A segment carries a piece of a byte stream between a caller and one backend server. Segments have
//! a keyed checksum, so they are forwarded unchanged, and all decisions use their headers alone.
//! Callers' segments pass through a balancer; backend servers answer callers directly.
//!
//! | module | contents |
//! |---|---|
//! | [`segment`] | segment headers, independent of their wire format |
//! | [`message`] | messages between balancers and agents |
//! | [`report`] | reports of a backend server, and the order of its runs |
//! | [`evacuation`] | data centres that get no new streams |
//! | [`host`] | the current run of the backend server, and whether it accepts new streams |
//! | [`host_streams`] | the streams of one backend server and its work in progress |
//! | [`agent`] | the agent: admission to one backend server |
//! | [`agent_table`] | a balancer's state for each agent |
//! | [`machine`] | liveness of the machines of agents that have not reported |
//! | [`moving_average`] | an exponentially weighted moving average |
//! | [`log_event`] | log events for decisions and state changes |
//! | [`owners`] | a balancer's cache of the agent for each stream |
//! | [`buffered_openings`] | openings that wait until an agent is known |
//! | [`pause`] | detection of pauses of the process itself |
//! | [`policy`] | tunable parameters |
//! | [`waiting`] | openings that wait at an agent for a free slot |
//! | [`subset`] | the subset of members that a process exchanges reports with |
//! | [`sent`] | detection of retransmissions by a caller |
//! | [`slow_start`] | the rate limit on new streams after a backend server's start |
//! | [`failure_rate`] | the share of requests that a backend server fails |
//! | [`lookup`] | searches for the owner of a stream |
//! | [`balancer`] | the balancer: routing, placement and resets |

pub mod agent;
pub mod agent_table;
pub mod balancer;
pub mod buffered_openings;
mod cost;
pub mod evacuation;
pub mod failure_rate;
pub mod host;
pub mod host_streams;
pub mod log_event;
pub mod lookup;
pub mod machine;
pub mod message;
pub mod moving_average;
pub mod owners;
pub mod pause;
pub mod policy;
pub mod report;
pub mod segment;
pub mod sent;
pub mod slow_start;
pub mod subset;
pub mod waiting;

use std::collections;
use std::net;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::config;
use crate::ids;
use crate::store_epoch;

/// An input of a balancer or an agent.
#[derive(Debug)]
pub enum StreamEvent<'a> {
    /// A segment from a caller, at a balancer, or from the backend server, at an agent.
    Segment(segment::StreamSegment<'a>),
    /// A message from another process.
    Message {
        /// The sender's address.
        from: net::SocketAddrV4,
        /// The decoded message.
        message: &'a message::StreamMessage,
        /// The header of the segment in the message, if there is one.
        head: Option<segment::SegmentHeader>,
    },
    /// A newer configuration.
    Config(sync::Arc<config::ConfigState>),
    /// The balancer addresses from the settings.
    Seeds(Vec<net::SocketAddrV4>),
    /// The data centres that operators have evacuated, as the platform lists them.
    Evacuations(evacuation::EvacuationState),
    /// Every process announced on the platform.
    Members {
        /// The other processes.
        members: Vec<AnnouncedMember>,
        /// The epoch of the platform's store in which this process was announced before the list was
        /// read.
        epoch: store_epoch::StoreEpoch,
    },
    /// The platform's store holds the announcement of this process, and held it all the time up to this
    /// epoch.
    Announced(store_epoch::StoreEpoch),
    /// The announcement of this process is about to be withdrawn.
    Withdrawn,
    /// Whether the last call to the platform succeeded.
    Platform(bool),
    /// The epoch of the platform's store, as its answers give it.
    StoreEpoch(store_epoch::StoreEpoch),
    /// A report of the backend server.
    HostReport(report::HostReport),
    /// A run of the backend server has signed off; its start time may be missing.
    HostLeft(report::HostRun),
    /// The result of probing the machine of an announced agent with a connection.
    MachineProbed {
        /// The agent's message address.
        agent: net::SocketAddrV4,
        /// Whether the machine accepted or refused the connection.
        is_there: bool,
    },
    /// Nothing listens at the backend server's address on this machine.
    HostPortClosed,
    /// Shut down.
    Leave,
    /// A timer tick.
    Tick,
}

/// A process announced on the platform.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AnnouncedMember {
    /// Its message address.
    pub address: net::SocketAddrV4,
    /// The service of its backend server; `None` for a balancer.
    ///
    /// The field is required: an unrelated entry without it would be taken for a balancer.
    #[serde(deserialize_with = "said_service")]
    pub service: Option<ids::ServiceId>,
    /// The hash of its data centre's name; `None` in announcements that lack it.
    #[serde(default)]
    pub data_centre: Option<u32>,
}

fn said_service<'de, D: serde::Deserializer<'de>>(
    source: D,
) -> Result<Option<ids::ServiceId>, D::Error> {
    Option::deserialize(source)
}

/// An action for the process to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum StreamAction {
    /// Send a message to another process.
    Send(net::SocketAddrV4, message::StreamMessage),
    /// Deliver a segment to the backend server.
    Deliver(segment::SegmentMetadata, Vec<u8>),
    /// Send a segment to its caller.
    Answer(net::Ipv4Addr, Vec<u8>),
    /// Reset a caller's stream, with a sequence number that the caller accepts.
    Reset(segment::StreamKey, u32),
    /// Fetch the configuration from a process that holds a newer one.
    FetchConfig(net::SocketAddrV4),
    /// Check whether anything listens at the backend server's address.
    ProbeHost,
    /// Probe the machine of an announced agent with a connection.
    ProbeMachine(net::SocketAddrV4),
    /// Record a duration in the metrics.
    Measure(StreamTiming),
    /// Write a log event.
    Log(log_event::StreamLogEvent),
}

/// A duration in milliseconds, for a histogram.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StreamTiming {
    /// From the delivery of an opening to its answer.
    Opened(u64),
    /// From the last data of a request to the start of its answer.
    Answered(u64),
    /// The time that an opening waited for a slot.
    Waited(u64),
}

/// The configuration of a balancer or an agent.
#[derive(Clone, Debug)]
pub struct StreamConfig {
    /// This run of the process.
    pub instance: ids::InstanceId,
    /// The message address; every process uses the same port.
    pub address: net::SocketAddrV4,
    /// The hash of the data centre's name.
    pub data_centre: u32,
    /// The region of each data centre, both as hashes of names.
    pub regions: collections::BTreeMap<u32, u32>,
    /// Whether operators can evacuate data centres.
    pub has_evacuations: bool,
    /// The service of the agent's backend server.
    pub service: ids::ServiceId,
    /// The margin on the slow-start rate.
    pub slow_start: slow_start::SlowStartMargin,
    /// The report interval of the backend server, in milliseconds.
    pub host_report_ms: u64,
    /// The maximum lifetime of a stream, in seconds.
    pub stream_limit_s: u64,
    /// Whether the whole fleet starts for the first time, with no stream open.
    pub is_first_start: bool,
    /// The seed of the random number generator.
    pub seed: u64,
    /// Tunable parameters.
    pub policy: policy::StreamPolicy,
}
