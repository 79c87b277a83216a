//! The balancer's state machine: routes callers' datagrams to agents.
//!
//! A balancer holds no state that a flow depends on. Requests are routed by their ticket or by
//! load, opaque flows by hashing; the flow cache only saves a hop. Balancers can therefore be
//! replaced at any time, and packets of one flow may arrive at different balancers.

mod requests;

use std::collections;
use std::net;
use std::sync;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs;

use crate::config;
use crate::flow_cache;
use crate::ids;
use crate::load;
use crate::manifest;
use crate::membership;
use crate::message;
use crate::placement;
use crate::routing;

/// Configuration of a [`BalancerEngine`].
#[derive(Clone, Debug)]
pub struct BalancerConfig {
    /// Identifier of this run of the process.
    pub instance: ids::InstanceId,
    /// The data centre of this process.
    pub data_centre: String,
    /// Capacity of the flow cache.
    pub cached_flows: usize,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An input of the balancer's state machine.
#[derive(Debug)]
pub enum BalancerEvent<'a> {
    /// A datagram from a caller.
    Caller {
        /// The service address that received it.
        address: net::SocketAddr,
        /// The caller's address.
        caller: net::SocketAddr,
        /// The datagram.
        datagram: &'a [u8],
        /// The datagram decoded as a request; ignored unless the address accepts requests.
        request: Result<message::RequestHead<'a>, MalformedRequest>,
    },
    /// A packet from another process.
    Peer(message::PeerPacket),
    /// The membership view has changed.
    View(sync::Arc<membership::MemberView>),
    /// The configuration has changed.
    Config(sync::Arc<config::ConfigState>),
}

/// Why a datagram could not be decoded as a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MalformedRequest {
    /// The request is malformed but can be answered with a refusal.
    Answerable,
    /// The datagram cannot be answered.
    Unanswerable,
}

/// An output of the balancer's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum BalancerAction {
    /// Send a packet to another process.
    Send {
        /// Destination.
        to: net::SocketAddr,
        /// The packet.
        packet: message::PeerPacket,
    },
    /// Send a datagram to a caller from the service's address.
    Deliver {
        /// The service's address.
        address: net::SocketAddr,
        /// The caller's address.
        caller: net::SocketAddr,
        /// The datagram.
        payload: Vec<u8>,
    },
    /// Refuse the datagram that was just handled.
    RefuseArrival {
        /// Reason for the refusal.
        kind: message::RefusalKind,
        /// A new ticket for the next request, if an agent is available.
        ticket: Option<Vec<u8>>,
    },
    /// Send an agent's refusal to the caller.
    Refuse {
        /// The service's address.
        address: net::SocketAddr,
        /// The caller's address.
        caller: net::SocketAddr,
        /// Message id and token that the answer echoes.
        exchange: message::ExchangeId,
        /// Reason for the refusal.
        kind: message::RefusalKind,
        /// A new ticket for the next request, if an agent is available.
        ticket: Option<Vec<u8>>,
    },
    /// Count a dropped packet.
    Drop(DropReason),
}

/// Why a packet was dropped.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum DropReason {
    /// The address belongs to no service.
    UnknownAddress,
    /// The datagram is not a request and cannot be answered.
    Unanswerable,
    /// No agent of the service is reachable.
    NoAgent,
    /// The sender is not in the membership view.
    UnknownSender,
    /// The address now belongs to another service.
    WrongService,
    /// The packet is addressed to another run.
    WrongInstance,
    /// The packet was forwarded too often.
    TooManyHops,
    /// The caller's deadline has passed.
    Expired,
    /// Every host of the service is at its limit of flows.
    FlowsFull,
    /// The packet kind is not valid for this role.
    Unexpected,
    /// Too many datagrams of one flow arrived while its owner was looked up.
    LookupFull,
}

impl DropReason {
    /// The value of the metric label.
    pub fn label(self) -> &'static str {
        match self {
            DropReason::UnknownAddress => "unknown_address",
            DropReason::Unanswerable => "foreign",
            DropReason::NoAgent => "no_agent",
            DropReason::UnknownSender => "unknown_sender",
            DropReason::WrongService => "wrong_service",
            DropReason::WrongInstance => "wrong_instance",
            DropReason::TooManyHops => "too_many_hops",
            DropReason::Expired => "expired",
            DropReason::FlowsFull => "flows_full",
            DropReason::Unexpected => "unexpected",
            DropReason::LookupFull => "lookup_full",
        }
    }
}

/// The balancer's state machine. Performs no I/O; see [`BalancerAction`].
#[derive(Debug)]
pub struct BalancerEngine {
    config: BalancerConfig,
    state: sync::Arc<config::ConfigState>,
    view: sync::Arc<membership::MemberView>,
    routes: routing::RouteTable,
    /// Packet addresses of the reachable members of `view`, indexed for lookup on each packet.
    packet_addresses:
        collections::HashMap<ids::InstanceId, net::SocketAddr, foldhash::fast::RandomState>,
    load_tracker: load::LoadTracker,
    cache: flow_cache::FlowCache,
    rng: rngs::StdRng,
}

impl BalancerEngine {
    /// Creates a balancer with an empty configuration and membership view.
    pub fn new(config: BalancerConfig) -> BalancerEngine {
        BalancerEngine {
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            routes: routing::RouteTable::default(),
            packet_addresses: collections::HashMap::default(),
            load_tracker: load::LoadTracker::default(),
            cache: flow_cache::FlowCache::new(config.cached_flows),
            rng: rngs::StdRng::seed_from_u64(config.seed),
            config,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: BalancerEvent<'_>,
        actions: &mut Vec<BalancerAction>,
    ) {
        match event {
            BalancerEvent::Caller { address, caller, datagram, request } => {
                let arrival = CallerArrival { address, caller, datagram, now };
                let action = self.handle_caller(&arrival, request);
                actions.push(action);
            }
            BalancerEvent::Peer(packet) => {
                let action = self.handle_peer(packet, now);
                actions.extend(action);
            }
            BalancerEvent::View(view) => {
                self.view = view;
                self.update_routes();
            }
            BalancerEvent::Config(state) => {
                self.state = state;
                self.update_routes();
            }
        }
    }

    fn update_routes(&mut self) {
        self.routes.update(&self.view, &self.state, &self.config.data_centre);
        let reachable = self.view.reachable();
        self.packet_addresses = reachable.map(|r| (r.instance, r.packet_address)).collect();
        self.load_tracker.retain(|host| self.packet_addresses.contains_key(&host));
    }

    fn handle_caller(
        &mut self,
        arrival: &CallerArrival<'_>,
        request: Result<message::RequestHead<'_>, MalformedRequest>,
    ) -> BalancerAction {
        let Some(entry) = self.state.entry_at(arrival.address) else {
            return BalancerAction::Drop(DropReason::UnknownAddress);
        };
        match (entry.kind, request) {
            (config::EntryKind::Datagrams, _) => self.forward_flow(arrival, entry.service),
            // Segments do not arrive at the socket of a service address.
            (config::EntryKind::Streams, _) => BalancerAction::Drop(DropReason::Unexpected),
            (config::EntryKind::Requests, Ok(head)) => {
                self.forward_request(arrival, entry.service, &head)
            }
            (config::EntryKind::Requests, Err(MalformedRequest::Answerable)) => {
                let kind = message::RefusalKind::Malformed;
                BalancerAction::RefuseArrival { kind, ticket: None }
            }
            (config::EntryKind::Requests, Err(MalformedRequest::Unanswerable)) => {
                BalancerAction::Drop(DropReason::Unanswerable)
            }
        }
    }

    fn forward_flow(
        &mut self,
        arrival: &CallerArrival<'_>,
        service: ids::ServiceId,
    ) -> BalancerAction {
        let flow = placement::FlowKey { service, caller: arrival.caller };
        let cached = self.cache.touch(&flow).filter(|owner| self.is_reachable(*owner));
        let (target, step) = match cached {
            Some(owner) => (Some(owner), message::ForwardStep::FlowOwned),
            None => (self.anchor_of(&flow, arrival.now), message::ForwardStep::FlowFirst),
        };
        self.forward(arrival, service, target, None, step)
    }

    /// The first candidate for a flow, preferring settled agents that are not silent.
    fn anchor_of(
        &self,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
    ) -> Option<ids::InstanceId> {
        let accept = |host| !self.load_tracker.has_stopped_responding(host, now);
        self.routes.first_candidate(flow, &self.view, now, accept)
    }

    fn forward(
        &mut self,
        arrival: &CallerArrival<'_>,
        service: ids::ServiceId,
        target: Option<ids::InstanceId>,
        on_behalf_of: Option<ids::InstanceId>,
        step: message::ForwardStep,
    ) -> BalancerAction {
        let to = target.and_then(|target| self.packet_addresses.get(&target).copied());
        let (Some(target), Some(to), Some(spec)) = (target, to, self.state.service(service)) else {
            return BalancerAction::Drop(DropReason::NoAgent);
        };
        let packet = message::ForwardPacket {
            head: self.head(),
            target,
            on_behalf_of,
            via: self.config.instance,
            service,
            address: arrival.address,
            caller: arrival.caller,
            expires: arrival.now.plus(spec.rules.deadline_ms),
            hops: 0,
            step,
            payload: arrival.datagram.to_vec(),
        };
        BalancerAction::Send { to, packet: message::PeerPacket::Forward(packet) }
    }

    fn handle_peer(
        &mut self,
        packet: message::PeerPacket,
        now: ids::UnixMillis,
    ) -> Option<BalancerAction> {
        let head = match &packet {
            message::PeerPacket::Reply(reply) => reply.head,
            message::PeerPacket::Refuse(refuse) => refuse.head,
            message::PeerPacket::Owner { head, .. } => *head,
            message::PeerPacket::Forward(_) => {
                return Some(BalancerAction::Drop(DropReason::Unexpected));
            }
        };
        if let Some(report) = head.load {
            self.load_tracker.record_load(head.from, report, now);
        }
        match packet {
            message::PeerPacket::Reply(reply) => Some(self.deliver(reply)),
            message::PeerPacket::Refuse(refuse) => Some(self.relay_refusal(refuse, now)),
            message::PeerPacket::Owner { flow, notice, .. } => {
                self.update_cache(flow, notice);
                None
            }
            message::PeerPacket::Forward(_) => None,
        }
    }

    /// Delivers a reply to the caller if the address still belongs to the sender's service.
    fn deliver(&mut self, reply: message::ReplyPacket) -> BalancerAction {
        let entry = self.state.entry_at(reply.address);
        match entry {
            Some(entry) if entry.service == reply.service => {
                if entry.kind == config::EntryKind::Datagrams {
                    let flow = placement::FlowKey { service: reply.service, caller: reply.caller };
                    self.cache.insert(flow, reply.head.from);
                }
                BalancerAction::Deliver {
                    address: reply.address,
                    caller: reply.caller,
                    payload: reply.payload,
                }
            }
            Some(_) => BalancerAction::Drop(DropReason::WrongService),
            None => BalancerAction::Drop(DropReason::UnknownAddress),
        }
    }

    fn update_cache(&mut self, flow: placement::FlowKey, notice: message::OwnerNotice) {
        match notice {
            message::OwnerNotice::Owned(owner) => self.cache.insert(flow, owner),
            message::OwnerNotice::Closed => self.cache.remove(&flow),
            message::OwnerNotice::Yield => {}
        }
    }

    fn jitter(&mut self, seconds: u32) -> u32 {
        self.rng.random_range(0..seconds)
    }
}

impl BalancerEngine {
    /// The current configuration.
    pub fn config_state(&self) -> &config::ConfigState {
        &self.state
    }

    /// Number of entries in the flow cache.
    pub fn cached_flows(&self) -> usize {
        self.cache.len()
    }

    /// The agents of a service that accept new work.
    pub fn workers(&self, service: ids::ServiceId) -> &[routing::RouteWorker] {
        self.routes.workers(service)
    }

    /// The last load report of an agent.
    pub fn load_of(&self, host: ids::InstanceId) -> Option<load::LoadReport> {
        self.load_tracker.report(host)
    }

    /// The definition of a service.
    pub fn service(&self, service: ids::ServiceId) -> Option<&manifest::ServiceSpec> {
        self.state.service(service)
    }

    fn is_reachable(&self, host: ids::InstanceId) -> bool {
        self.packet_addresses.contains_key(&host)
    }

    fn head(&self) -> message::PacketHead {
        let generation = self.state.generation();
        message::PacketHead { from: self.config.instance, load: None, generation }
    }
}

struct CallerArrival<'a> {
    address: net::SocketAddr,
    caller: net::SocketAddr,
    datagram: &'a [u8],
    now: ids::UnixMillis,
}
