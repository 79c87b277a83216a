//! The messages between processes over UDP, and the parsed form of callers' requests.
//!
//! `rosemaryusher-wire` implements the encoding.

use std::net;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

use crate::ids;
use crate::load;
use crate::placement;

/// The method of a request.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RequestMethod {
    /// Reads a resource; idempotent.
    Get,
    /// Reads a resource with a request body; idempotent.
    Fetch,
    /// Replaces a resource; idempotent.
    Put,
    /// Deletes a resource; idempotent.
    Delete,
    /// Patches a resource; idempotent.
    IPatch,
    /// Processes the body; not idempotent.
    Post,
    /// Patches a resource; not idempotent.
    Patch,
}

impl RequestMethod {
    /// Whether executing a request twice has the same effect as once.
    pub fn is_idempotent(self) -> bool {
        !matches!(self, RequestMethod::Post | RequestMethod::Patch)
    }

    /// The HTTP method name.
    pub fn http_name(self) -> &'static str {
        match self {
            RequestMethod::Get => "GET",
            RequestMethod::Fetch => "QUERY",
            RequestMethod::Put => "PUT",
            RequestMethod::Delete => "DELETE",
            RequestMethod::IPatch | RequestMethod::Patch => "PATCH",
            RequestMethod::Post => "POST",
        }
    }
}

/// One block of a blockwise transfer (RFC 7959).
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BodyBlock {
    /// The block number, from zero.
    pub number: u32,
    /// Whether more blocks follow.
    pub more: bool,
    /// The block size in bytes: a power of two from 16 to 1024.
    pub size: u32,
}

impl BodyBlock {
    /// The offset of the block in the body.
    pub fn offset(&self) -> usize {
        self.number as usize * self.size as usize
    }
}

/// The message fields that correlate an answer with its request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ExchangeId {
    /// The message id.
    pub message_id: u16,
    /// The token.
    #[serde(with = "serde_bytes")]
    pub token: Vec<u8>,
    /// Whether the caller wants an acknowledgement.
    pub confirmable: bool,
}

/// The part of a request that a balancer parses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestHead<'a> {
    /// The method.
    pub method: RequestMethod,
    /// The sealed ticket, if any.
    pub ticket: Option<&'a [u8]>,
    /// Whether the datagram belongs to a blockwise transfer, whose state one agent holds.
    pub is_blockwise: bool,
}

/// A caller's request as parsed by the agent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct CallerRequest {
    /// The method.
    pub method: RequestMethod,
    /// The path and query.
    pub path: String,
    /// The body, or one block of it.
    pub payload: Vec<u8>,
    /// The caller's id for the request, equal in each resubmission.
    pub tag: u64,
    /// The fields that correlate the answer.
    pub exchange: ExchangeId,
    /// The sealed ticket, if any.
    pub ticket: Option<Vec<u8>>,
    /// The block of the body in this datagram (the Block1 option).
    pub upload: Option<BodyBlock>,
    /// The requested block of the answer (the Block2 option).
    pub wanted: Option<BodyBlock>,
}

impl CallerRequest {
    /// A hash of the request, which detects a tag reused for another request.
    pub fn digest(&self) -> u128 {
        let mut hasher = xxh3::Xxh3Default::new();
        hasher.update(self.method.http_name().as_bytes());
        hasher.update(&(self.path.len() as u64).to_le_bytes());
        hasher.update(self.path.as_bytes());
        hasher.update(&self.payload);
        hasher.digest128()
    }
}

/// The complete answer of a backend server.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BackendAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The body.
    #[serde(with = "serde_bytes")]
    pub body: Vec<u8>,
}

impl BackendAnswer {
    /// A hash of the body, which identifies the blocks of one body.
    pub fn body_tag(&self) -> u64 {
        xxh3::xxh3_64(&self.body)
    }
}

/// Why a request was refused.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RefusalKind {
    /// Not executed: the request needs the ticket that comes with this refusal.
    NeedTicket,
    /// Not executed: the service is overloaded or unavailable.
    #[serde(rename = "ComeBack")]
    RetryAfter {
        /// The delay before a retry, in seconds.
        after_s: u32,
    },
    /// May or may not have been executed, and will not be executed from now on.
    OutcomeUnknown,
    /// Not executed: the tag was used for another request.
    TagReused,
    /// Not executed: the ticket is forged, corrupted or for another service.
    BadTicket,
    /// Not executed: blocks of the body are missing; the caller restarts at block zero.
    UploadIncomplete,
    /// Not executed: the body exceeds the limit of the service.
    TooLarge {
        /// The maximum body size in bytes.
        limit: u32,
    },
    /// Not executed: the datagram cannot be parsed.
    Malformed,
}

/// An agent's answer to a caller, sent through a balancer.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum AgentAnswer {
    /// An answer, or one block of it.
    Body {
        /// The HTTP status.
        status: u16,
        /// The body, or one block of it.
        payload: Vec<u8>,
        /// The block, if the body is sent in several.
        block: Option<BodyBlock>,
        /// Identifies the blocks of one body.
        body_tag: u64,
    },
    /// The block was received and the next one may be sent.
    Continue {
        /// The block.
        block: BodyBlock,
    },
}

/// The header of every packet, which describes its sender.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PacketHead {
    /// The sender's instance.
    pub from: ids::InstanceId,
    /// The sender's load, if it is an agent.
    pub load: Option<load::LoadReport>,
    /// The sender's configuration generation.
    pub generation: ids::ConfigGeneration,
}

/// The routing state of a forwarded datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum ForwardStep {
    /// A request.
    Request {
        /// Agents that failed to serve it.
        tried: Vec<ids::InstanceId>,
    },
    /// A flow's datagram, sent to its anchor.
    FlowFirst,
    /// A flow's datagram, carried by a lookup of the owner.
    FlowLookup {
        /// The anchor, which gets the result.
        anchor: ids::InstanceId,
        /// The anchor's packet address, which the agents asked may not know.
        reply_to: net::SocketAddr,
        /// The agents to ask next.
        rest: Vec<ids::InstanceId>,
    },
    /// A flow's datagram, returned to its anchor since no agent asked owns the flow.
    FlowMissing,
    /// A flow's datagram, sent to the agent that is to become the owner.
    FlowAdopt,
    /// A flow's datagram, sent to the known owner.
    FlowOwned,
}

/// A caller's datagram forwarded to an agent.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ForwardPacket {
    /// The header.
    pub head: PacketHead,
    /// The instance it is addressed to.
    ///
    /// A later instance at the same network address drops the packet.
    pub target: ids::InstanceId,
    /// The instance that `target` answers for, if that instance has handed over its ledger.
    #[serde(rename = "behalf")]
    pub on_behalf_of: Option<ids::InstanceId>,
    /// The balancer that answers the caller.
    pub via: ids::InstanceId,
    /// The service.
    pub service: ids::ServiceId,
    /// The address that the caller sent to.
    pub address: net::SocketAddr,
    /// The caller's source address.
    pub caller: net::SocketAddr,
    /// When the datagram must no longer be executed.
    pub expires: ids::UnixMillis,
    /// How often the datagram has been forwarded.
    pub hops: u8,
    /// The routing state.
    pub step: ForwardStep,
    /// The datagram.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

impl ForwardPacket {
    /// The flow that the datagram belongs to.
    pub fn flow(&self) -> placement::FlowKey {
        placement::FlowKey { service: self.service, caller: self.caller }
    }
}

/// A datagram for a caller, sent to a balancer.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ReplyPacket {
    /// The header.
    pub head: PacketHead,
    /// The service.
    pub service: ids::ServiceId,
    /// The address that the caller sent to, which becomes the source address.
    pub address: net::SocketAddr,
    /// The caller.
    pub caller: net::SocketAddr,
    /// The datagram.
    #[serde(with = "serde_bytes")]
    pub payload: Vec<u8>,
}

/// A refusal for a caller; the balancer encodes it and adds a ticket.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RefusalPacket {
    /// The header.
    pub head: PacketHead,
    /// The service.
    pub service: ids::ServiceId,
    /// The address that the caller sent to.
    pub address: net::SocketAddr,
    /// The caller.
    pub caller: net::SocketAddr,
    /// The fields that correlate the answer.
    pub exchange: ExchangeId,
    /// The reason.
    pub kind: RefusalKind,
    /// The instance that the sender answers for, which takes no new tickets.
    #[serde(rename = "behalf")]
    pub on_behalf_of: Option<ids::InstanceId>,
}

/// A notice about the owner of a flow.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum OwnerNotice {
    /// The instance that owns the flow.
    Owned(ids::InstanceId),
    /// The sender owned the flow and has closed it.
    Closed,
    /// The sender is looking up the owner as well, and its lookup takes precedence.
    Yield,
}

/// A packet between two processes.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum PeerPacket {
    /// A caller's datagram for an agent.
    Forward(ForwardPacket),
    /// A datagram for a caller, sent to a balancer.
    Reply(ReplyPacket),
    /// A refusal for a caller, sent to a balancer.
    Refuse(RefusalPacket),
    /// A notice about the owner of a flow, sent to an agent or balancer.
    Owner {
        /// The header.
        head: PacketHead,
        /// The flow.
        flow: placement::FlowKey,
        /// The notice.
        notice: OwnerNotice,
    },
}
