//! The agent's state machine: handles packets and decides what runs on its backend server.
//!
//! | module | responsibility |
//! |---|---|
//! | `requests` | runs, queues, replays, refuses or forwards requests |
//! | `answers` | builds answers, refusals and tickets for callers |
//! | `bodies` | stores large answers for block-wise transfer |
//! | `flows` | assigns an owner to each flow and routes its datagrams |
//! | `handover` | exports and imports the request records of departed runs |
//!
//! Invariant: a non-idempotent request runs only in the process run that its ticket names, and
//! that run records it until the ticket expires.

mod answers;
mod bodies;
mod flows;
mod handover;
mod requests;

use std::collections;
use std::net;
use std::sync;

use rand::SeedableRng as _;
use rand::rngs;

use crate::admission;
use crate::balancer;
use crate::config;
use crate::flow_table;
use crate::ids;
use crate::ledger;
use crate::load;
use crate::manifest;
use crate::membership;
use crate::message;
use crate::placement;
use crate::retry;
use crate::routing;
use crate::uploads;

pub use requests::FAILURE_THRESHOLD;

/// A datagram forwarded more often than this is dropped.
const HOP_LIMIT: u8 = 8;

/// A gap between ticks from which on the process counts as having been paused, in milliseconds.
const PAUSE_THRESHOLD_MS: u64 = 2_000;

/// Interval at which flows are registered again while new agents settle, in milliseconds.
const REGISTER_INTERVAL_MS: u64 = 1_000;

/// Configuration of an [`AgentEngine`].
#[derive(Clone, Debug)]
pub struct AgentConfig {
    /// Identifier of this run of the process.
    pub instance: ids::InstanceId,
    /// The service that the backend server belongs to.
    pub service: ids::ServiceId,
    /// The data centre of this process.
    pub data_centre: String,
    /// Capacity of the request record.
    pub ledger: ledger::LedgerLimits,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An input of the agent's state machine.
#[derive(Debug)]
pub enum AgentEvent {
    /// A packet from another process.
    Peer {
        /// The packet.
        packet: Box<message::PeerPacket>,
        /// The request decoded from the payload; `None` if there is none or decoding failed.
        request: Option<Box<message::CallerRequest>>,
    },
    /// The execution of a request on the backend server has ended.
    ExecutionEnded {
        /// Identifier from [`AgentAction::StartExecution`].
        execution: admission::ExecutionId,
        /// The result.
        outcome: ExecutionOutcome,
    },
    /// The backend server sent a datagram of a flow.
    BackendDatagram {
        /// The flow.
        flow: placement::FlowKey,
        /// The datagram.
        payload: Vec<u8>,
    },
    /// The membership view has changed.
    View(sync::Arc<membership::MemberView>),
    /// The configuration has changed.
    Config(sync::Arc<config::ConfigState>),
    /// Starts draining: the agent finishes its work in progress and accepts no more.
    Drain,
    /// A part of the request record of a departed run.
    ImportRecords {
        /// The departed run.
        home: ids::InstanceId,
        /// Requests that ran or may have run.
        entries: Vec<ledger::HandoverEntry>,
        /// Whether this part completes the record.
        is_last: bool,
    },
    /// Result of the backend server's health check.
    ///
    /// A healthy result does not clear failures that the agent has counted itself.
    BackendHealth {
        /// Whether the check succeeded.
        is_healthy: bool,
    },
    /// Runs periodic work.
    Tick,
}

/// The result of running a request on the backend server.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ExecutionOutcome {
    /// The backend server answered.
    Answered(message::BackendAnswer),
    /// The backend server rejected the request without running it.
    Shed {
        /// The retry delay that it asked for, in seconds.
        after_s: Option<u32>,
    },
    /// No connection could be opened; nothing was sent.
    ConnectFailed,
    /// The request was sent, but no complete answer was received.
    Broken,
}

/// An output of the agent's state machine.
#[derive(Clone, Debug, PartialEq)]
pub enum AgentAction {
    /// Send a packet to another process.
    Send {
        /// Destination.
        to: net::SocketAddr,
        /// The packet.
        packet: message::PeerPacket,
    },
    /// Encode an answer and send it to the caller by way of a balancer.
    Answer {
        /// The balancer's address.
        to: net::SocketAddr,
        /// The reply, with an empty payload.
        reply: message::ReplyPacket,
        /// Message id and token that the answer echoes.
        exchange: message::ExchangeId,
        /// The answer.
        answer: message::AgentAnswer,
        /// A ticket for the caller's next request.
        ticket: Option<Vec<u8>>,
    },
    /// Execute a request on the backend server.
    StartExecution {
        /// Identifier to report in [`AgentEvent::ExecutionEnded`].
        execution: admission::ExecutionId,
        /// The request with its complete payload.
        request: message::CallerRequest,
        /// When the caller stops waiting.
        deadline: ids::UnixMillis,
    },
    /// Cancel an execution whose caller has already been answered.
    CancelExecution {
        /// Identifier from [`AgentAction::StartExecution`].
        execution: admission::ExecutionId,
    },
    /// Send a datagram of a flow to the backend server.
    FlowDatagram {
        /// The flow.
        flow: placement::FlowKey,
        /// The datagram.
        payload: Vec<u8>,
    },
    /// Close the socket of a flow towards the backend server.
    CloseFlow {
        /// The flow.
        flow: placement::FlowKey,
    },
    /// Count a dropped packet.
    Drop(balancer::DropReason),
}

/// An agent's work in progress.
#[derive(Clone, Copy, Debug, Eq, PartialEq, serde::Deserialize, serde::Serialize)]
pub struct AgentBacklog {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Uploads in progress.
    pub uploads: usize,
    /// Large answers of which callers have not fetched the last block.
    pub unfetched: usize,
    /// Open flows.
    pub flows: usize,
    /// Recorded requests.
    pub recorded: usize,
}

impl AgentBacklog {
    /// Whether nothing is in progress.
    pub fn is_idle(&self) -> bool {
        let requests = self.running == 0 && self.waiting == 0;
        requests && self.uploads == 0 && self.unfetched == 0 && self.flows == 0
    }
}

/// The agent's state machine. Performs no I/O; see [`AgentAction`].
#[derive(Debug)]
pub struct AgentEngine {
    config: AgentConfig,
    state: sync::Arc<config::ConfigState>,
    view: sync::Arc<membership::MemberView>,
    routes: routing::RouteTable,
    load_tracker: load::LoadTracker,
    gate: admission::AdmissionGate,
    ledger: ledger::RequestLedger,
    imported: collections::HashMap<ids::InstanceId, handover::ImportedRecords>,
    uploads: uploads::UploadTable,
    bodies: bodies::BodyStore,
    executions: collections::HashMap<admission::ExecutionId, requests::ActiveExecution>,
    next_execution: u64,
    budget: retry::RetryBudget,
    consecutive_failures: u32,
    last_failure: Option<ids::UnixMillis>,
    reported_unhealthy: bool,
    flows: flow_table::FlowTable,
    sequence: u64,
    draining: bool,
    last_tick: Option<ids::UnixMillis>,
    registered_version: u64,
    register_until: ids::UnixMillis,
    last_registered: ids::UnixMillis,
    rng: rngs::StdRng,
}

impl AgentEngine {
    /// Creates an agent with an empty configuration and membership view.
    pub fn new(config: AgentConfig) -> AgentEngine {
        AgentEngine {
            state: sync::Arc::default(),
            view: sync::Arc::default(),
            routes: routing::RouteTable::default(),
            load_tracker: load::LoadTracker::default(),
            gate: admission::AdmissionGate::new(0, 0),
            ledger: ledger::RequestLedger::new(config.ledger),
            imported: collections::HashMap::new(),
            uploads: uploads::UploadTable::default(),
            bodies: bodies::BodyStore::default(),
            executions: collections::HashMap::new(),
            next_execution: 0,
            budget: retry::RetryBudget::default(),
            consecutive_failures: 0,
            last_failure: None,
            reported_unhealthy: false,
            flows: flow_table::FlowTable::default(),
            sequence: 0,
            draining: false,
            last_tick: None,
            registered_version: 0,
            register_until: ids::UnixMillis(0),
            last_registered: ids::UnixMillis(0),
            rng: rngs::StdRng::seed_from_u64(config.seed),
            config,
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: AgentEvent,
        actions: &mut Vec<AgentAction>,
    ) {
        match event {
            AgentEvent::Peer { packet, request } => {
                let request = request.map(|request| *request);
                self.handle_peer(*packet, request, now, actions);
            }
            AgentEvent::ExecutionEnded { execution, outcome } => {
                self.end_execution(execution, outcome, now, actions)
            }
            AgentEvent::BackendDatagram { flow, payload } => {
                self.reply_to_caller(flow, payload, now, actions);
            }
            AgentEvent::View(view) => {
                self.view = view;
                self.update_routes();
                self.refresh_registrations(now, actions);
            }
            AgentEvent::Config(state) => {
                self.state = state;
                self.update_routes();
                self.refresh_registrations(now, actions);
            }
            AgentEvent::Drain => self.draining = true,
            AgentEvent::ImportRecords { home, entries, is_last } => {
                self.import_records(home, entries, is_last, now);
            }
            AgentEvent::BackendHealth { is_healthy } => self.reported_unhealthy = !is_healthy,
            AgentEvent::Tick => self.tick(now, actions),
        }
    }

    fn update_routes(&mut self) {
        self.routes.update(&self.view, &self.state, &self.config.data_centre);
        let view = &self.view;
        let reachable = |host| view.get(host).is_some_and(|record| record.is_reachable());
        self.load_tracker.retain(reachable);
        self.flows.retain_owners(reachable);
        if let Some(spec) = self.state.service(self.config.service) {
            self.gate.set_limits(spec.host_slots, spec.rules.queue_per_slot);
        }
    }

    /// Registers all flows again if the routes of this service have changed.
    ///
    /// Most changes of the view concern other services and are skipped.
    fn refresh_registrations(&mut self, now: ids::UnixMillis, actions: &mut Vec<AgentAction>) {
        let version = self.routes.version(self.config.service);
        if std::mem::replace(&mut self.registered_version, version) == version {
            return;
        }
        self.register_until = now.plus(2 * routing::SETTLE_MS);
        self.last_registered = now;
        self.register_flows(now, actions);
    }

    fn handle_peer(
        &mut self,
        packet: message::PeerPacket,
        request: Option<message::CallerRequest>,
        now: ids::UnixMillis,
        actions: &mut Vec<AgentAction>,
    ) {
        let packet = match packet {
            message::PeerPacket::Forward(packet) => packet,
            message::PeerPacket::Owner { head, flow, notice } => {
                self.record_load(&head, now);
                return self.handle_owner_notice(head.from, flow, notice, now, actions);
            }
            message::PeerPacket::Reply(_) | message::PeerPacket::Refuse(_) => {
                return actions.push(AgentAction::Drop(balancer::DropReason::Unexpected));
            }
        };
        self.record_load(&packet.head, now);
        if let Some(reason) = self.drop_reason(&packet, now) {
            return actions.push(AgentAction::Drop(reason));
        }
        match packet.step {
            message::ForwardStep::Request { .. } => {
                self.handle_request(packet, request, now, actions);
            }
            _ => self.handle_flow(packet, now, actions),
        }
    }

    /// Returns why a packet must not be handled here, if so.
    ///
    /// Addresses are reused, and a balancer's view or configuration may be outdated: a packet may
    /// be meant for an earlier run at this address, or for the service that had the address
    /// before. If the configurations disagree, the newer one decides.
    fn drop_reason(
        &self,
        packet: &message::ForwardPacket,
        now: ids::UnixMillis,
    ) -> Option<balancer::DropReason> {
        let entry = self.state.entry_at(packet.address);
        let is_moved = entry.is_some_and(|entry| entry.service != packet.service);
        let is_newer = self.state.generation() >= packet.head.generation;
        match () {
            _ if packet.target != self.config.instance => Some(balancer::DropReason::WrongInstance),
            _ if packet.service != self.config.service => Some(balancer::DropReason::WrongService),
            _ if is_moved && is_newer => Some(balancer::DropReason::WrongService),
            _ if packet.hops > HOP_LIMIT => Some(balancer::DropReason::TooManyHops),
            _ if packet.expires <= now => Some(balancer::DropReason::Expired),
            _ => None,
        }
    }

    fn record_load(&mut self, head: &message::PacketHead, now: ids::UnixMillis) {
        if let Some(report) = head.load {
            self.load_tracker.record_load(head.from, report, now);
        }
    }

    fn tick(&mut self, now: ids::UnixMillis, actions: &mut Vec<AgentAction>) {
        let paused = self.last_tick.is_some_and(|last| now.since(last) >= PAUSE_THRESHOLD_MS);
        self.last_tick = Some(now);
        if paused {
            self.refuse_queued(now, actions);
        }
        self.refuse_expired(now, actions);
        self.time_out_runs(now, actions);
        self.expire_lookups(now, actions);
        self.close_idle_flows(now, actions);
        if now <= self.register_until && now.since(self.last_registered) >= REGISTER_INTERVAL_MS {
            self.last_registered = now;
            self.register_flows(now, actions);
        }
        self.ledger.sweep(now);
        self.uploads.sweep(now);
        self.bodies.sweep(now);
        self.sweep_imported(now);
    }

    fn send_to(
        &self,
        target: ids::InstanceId,
        packet: message::PeerPacket,
        actions: &mut Vec<AgentAction>,
    ) {
        match self.view.get(target) {
            Some(record) => {
                actions.push(AgentAction::Send { to: record.packet_address, packet });
            }
            None => actions.push(AgentAction::Drop(balancer::DropReason::NoAgent)),
        }
    }

    fn head(&mut self) -> message::PacketHead {
        self.sequence += 1;
        message::PacketHead {
            from: self.config.instance,
            load: Some(self.load()),
            generation: self.state.generation(),
        }
    }
}

impl AgentEngine {
    /// The current load of the backend server.
    pub fn load(&self) -> load::LoadReport {
        load::LoadReport {
            sequence: self.sequence,
            running: self.gate.running(),
            queued: self.gate.waiting(),
            slots: self.gate.slots(),
            flows: self.flows.owned_count() as u32,
            connections: self.spec().map_or(0, |spec| spec.host_connections),
            failing: self.reported_unhealthy || self.consecutive_failures >= FAILURE_THRESHOLD,
        }
    }

    /// The work in progress.
    pub fn backlog(&self, now: ids::UnixMillis) -> AgentBacklog {
        AgentBacklog {
            running: self.gate.running(),
            waiting: self.gate.waiting(),
            uploads: self.uploads.len(),
            unfetched: self.bodies.unfetched(now),
            flows: self.flows.owned_count(),
            recorded: self.ledger.len(),
        }
    }

    /// Whether the agent is draining.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// The current configuration.
    pub fn config_state(&self) -> &config::ConfigState {
        &self.state
    }

    /// Agents that may import this one's records, preferred ones first.
    pub fn successors(&self) -> Vec<ids::InstanceId> {
        let workers = self.routes.workers(self.config.service).iter();
        let mut others: Vec<_> = workers
            .filter(|worker| worker.host != self.config.instance)
            .map(|worker| {
                (
                    !worker.is_near,
                    ids::mix_words(worker.host.0, self.config.instance.0),
                    worker.host,
                )
            })
            .collect();
        others.sort_unstable();
        others.into_iter().map(|(_, _, host)| host).collect()
    }

    fn spec(&self) -> Option<&manifest::ServiceSpec> {
        self.state.service(self.config.service)
    }

    fn rules(&self) -> manifest::ServiceRules {
        self.spec().map(|spec| spec.rules.clone()).unwrap_or_default()
    }

    fn is_reachable(&self, instance: ids::InstanceId) -> bool {
        self.view.get(instance).is_some_and(|record| record.is_reachable())
    }

    /// The address to send an answer to: the balancer `via`, or another if it is unreachable.
    fn answer_address(&self, via: ids::InstanceId) -> Option<net::SocketAddr> {
        let is_balancer = |record: &&membership::MemberRecord| {
            record.role == membership::MemberRole::Balancer
                && record.liveness.state != membership::LivenessState::Suspect
        };
        let asked = self.view.get(via).filter(|record| record.is_reachable());
        let other = || self.view.reachable().find(is_balancer);
        asked.or_else(other).map(|record| record.packet_address)
    }
}
