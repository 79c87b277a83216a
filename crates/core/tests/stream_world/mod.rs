//! Single-threaded simulation of balancers, agents, backend servers and callers, with invariants checked
//! on every segment that a caller or backend server receives.

// Each test file compiles this module and uses only parts of it.
#![allow(dead_code)]

mod callers;
mod delivery;
pub(crate) mod evacuations;
mod hosts;
mod members;
mod oracle;

use std::collections;
use std::net;
use std::sync;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::agent;
use rosemaryusher_core::stream::balancer;
use rosemaryusher_core::stream::evacuation;
use rosemaryusher_core::stream::log_event;
use rosemaryusher_core::stream::policy;
use rosemaryusher_core::stream::segment;
use rosemaryusher_core::stream::slow_start;

/// One-way latency between processes, in milliseconds.
const LINK_DELAY_MS: u64 = 1;

/// Largest distance between a reset's sequence number and the expected one, in bytes.
const RESET_WINDOW_BYTES: u32 = 76_800;

/// Duration of a machine probe, in milliseconds.
const PROBE_MS: u64 = 100;

/// When the fleet starts for the first time.
const FIRST_START: ids::UnixMillis = ids::UnixMillis(1_000_000);

/// Message port of every process.
const PORT: u16 = 7_000;

/// Interval between reads of the platform by the first balancer, in milliseconds.
const POLL_MS: u64 = 100;

/// Interval between reports of a backend server, in milliseconds.
pub(crate) const HOST_REPORT_MS: u64 = 400;

pub(crate) fn balancer_address(nth: u8) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, 0, nth), PORT)
}

pub(crate) fn agent_address(nth: u8) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::new(10, 0, 1, nth), PORT)
}

pub(crate) fn entry(nth: u16) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::new(198, 18, 0, 1), 8_000 + nth)
}

pub(crate) fn key(caller: u16, nth_entry: u16) -> segment::StreamKey {
    let ip = net::Ipv4Addr::new(100, 64, 0, 1);
    segment::StreamKey {
        caller: net::SocketAddrV4::new(ip, 1_000 + caller),
        entry: entry(nth_entry),
    }
}

/// Terms of every stream entry.
pub(crate) const TERMS: manifest::StreamTerms =
    manifest::StreamTerms { aim_ms: 200, deadline_ms: 1_200, priority: 1 };

fn stream_entry(nth: u16) -> manifest::StreamEntry {
    let address = net::SocketAddr::V4(entry(nth));
    manifest::StreamEntry { address, terms: TERMS, regions: Vec::new() }
}

/// A configuration in which each service accepts streams at the given entries.
pub(crate) fn config(generation: u64, services: &[(&str, &[u16])]) -> config::ConfigDelta {
    let spec = |(name, entries): &(&str, &[u16])| manifest::ServiceSpec {
        name: (*name).to_owned(),
        requests: None,
        datagrams: None,
        streams: entries.iter().map(|nth| stream_entry(*nth)).collect(),
        host_slots: 1,
        host_connections: 2_000,
        rules: manifest::ServiceRules::default(),
    };
    let generation = ids::ConfigGeneration(generation);
    config::ConfigDelta {
        generation,
        changed: services.iter().map(|service| (generation, spec(service))).collect(),
        removed_from: generation,
        ..config::ConfigDelta::default()
    }
}

pub(crate) struct StreamWorld {
    pub(crate) now: ids::UnixMillis,
    pub(crate) policy: policy::StreamPolicy,
    /// Processes in the data centre [`evacuations::FAR`].
    pub(crate) far: collections::BTreeSet<net::SocketAddrV4>,
    pub(crate) balancers: collections::BTreeMap<net::SocketAddrV4, balancer::StreamBalancer>,
    pub(crate) agents: collections::BTreeMap<net::SocketAddrV4, agent::StreamAgent>,
    pub(crate) hosts: collections::BTreeMap<net::SocketAddrV4, hosts::FakeHost>,
    pub(crate) callers: collections::BTreeMap<segment::StreamKey, callers::CallerView>,
    pub(crate) log_events: Vec<log_event::StreamLogEvent>,
    /// Processes that neither send nor receive messages.
    pub(crate) partitioned: collections::BTreeSet<net::SocketAddrV4>,
    /// Agents whose machines are powered off.
    pub(crate) powered_off: collections::BTreeSet<net::SocketAddrV4>,
    /// Links that drop all messages, as pairs of sender and receiver.
    pub(crate) blocked_links: collections::BTreeSet<(net::SocketAddrV4, net::SocketAddrV4)>,
    /// Links that drop all messages until a time, as pairs of sender and receiver.
    pub(crate) lossy_links:
        collections::BTreeMap<(net::SocketAddrV4, net::SocketAddrV4), ids::UnixMillis>,
    /// Paused processes.
    pub(crate) frozen: collections::BTreeSet<net::SocketAddrV4>,
    /// Deliveries to paused processes.
    deferred: Vec<delivery::Envelope>,
    /// The balancer that receives callers' segments.
    pub(crate) entry_balancer: net::SocketAddrV4,
    pub(crate) newest_config: config::ConfigDelta,
    /// Every configuration with the time it was accepted, oldest first.
    config_history: Vec<(ids::UnixMillis, config::ConfigDelta)>,
    /// When each process last ended a partition or pause.
    reconnected_at: collections::BTreeMap<net::SocketAddrV4, ids::UnixMillis>,
    /// When each process was last started, or last ended a partition or pause.
    disturbed_at: collections::BTreeMap<net::SocketAddrV4, ids::UnixMillis>,
    /// Every pair of entry and service that any configuration has contained.
    allowed_routes: collections::BTreeSet<(net::SocketAddrV4, String)>,
    announced_members: collections::BTreeSet<(net::SocketAddrV4, Option<ids::ServiceId>)>,
    /// How many restores of the store have lost announcements.
    member_epoch: u64,
    /// Largest number of openings at a backend server in any second of its slow start.
    pub(crate) slow_start_limit: usize,
    /// Whether evacuations are enabled in the settings.
    pub(crate) has_evacuations: bool,
    /// Whether the first balancer can read the list of evacuated data centres.
    pub(crate) evacuations_are_readable: bool,
    /// Every list of evacuated data centres with the time it was written, oldest first.
    evacuation_history: Vec<(ids::UnixMillis, evacuation::EvacuationState)>,
    /// The list in the store.
    stored_evacuations: evacuation::EvacuationState,
    /// When operators write the current list again after a restore of the store.
    rewrite_due: Option<ids::UnixMillis>,
    in_flight: collections::BTreeMap<(ids::UnixMillis, u64), delivery::Envelope>,
    posted: u64,
    /// Whether backend servers report when they started.
    pub(crate) reports_start_times: bool,
    /// Number of messages sent to each process, by kind.
    pub(crate) messages_sent_to: collections::BTreeMap<(net::SocketAddrV4, &'static str), u64>,
    /// Number of messages between data centres, by kind.
    pub(crate) messages_across_centres: collections::BTreeMap<&'static str, u64>,
    /// Last number given to a run of a process or backend server.
    last_id: u64,
    written_segments: Vec<oracle::WrittenSegment>,
}

impl StreamWorld {
    pub(crate) fn new() -> StreamWorld {
        StreamWorld {
            now: FIRST_START,
            policy: policy::StreamPolicy::default(),
            far: collections::BTreeSet::new(),
            balancers: collections::BTreeMap::new(),
            agents: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            callers: collections::BTreeMap::new(),
            log_events: Vec::new(),
            partitioned: collections::BTreeSet::new(),
            powered_off: collections::BTreeSet::new(),
            blocked_links: collections::BTreeSet::new(),
            lossy_links: collections::BTreeMap::new(),
            frozen: collections::BTreeSet::new(),
            deferred: Vec::new(),
            entry_balancer: balancer_address(1),
            newest_config: config::ConfigDelta::default(),
            config_history: Vec::new(),
            disturbed_at: collections::BTreeMap::new(),
            reconnected_at: collections::BTreeMap::new(),
            allowed_routes: collections::BTreeSet::new(),
            announced_members: collections::BTreeSet::new(),
            member_epoch: 0,
            slow_start_limit: usize::MAX,
            has_evacuations: false,
            evacuations_are_readable: true,
            evacuation_history: Vec::new(),
            stored_evacuations: evacuation::EvacuationState::default(),
            rewrite_due: None,
            in_flight: collections::BTreeMap::new(),
            posted: 0,
            reports_start_times: true,
            messages_sent_to: collections::BTreeMap::new(),
            messages_across_centres: collections::BTreeMap::new(),
            last_id: 0,
            written_segments: Vec::new(),
        }
    }

    /// Two balancers and three agents of one service, with 16 slots at each backend server.
    pub(crate) fn with_three_hosts() -> StreamWorld {
        StreamWorld::with_slots(16)
    }

    /// Like [`StreamWorld::with_three_hosts`], with this number of slots at each backend server.
    pub(crate) fn with_slots(slots: u32) -> StreamWorld {
        StreamWorld::with_hosts(3, slots)
    }

    /// Two balancers, and backend servers of one service with their agents.
    pub(crate) fn with_hosts(hosts: u8, slots: u32) -> StreamWorld {
        let mut world = StreamWorld::new();
        world.start_processes(hosts, slots);
        world
    }

    /// Starts backend servers of one service with their agents, and two balancers.
    pub(crate) fn start_processes(&mut self, hosts: u8, slots: u32) {
        let world = self;
        world.set_config(config(1, &[("wallet", &[0, 1]), ("preview", &[5])]));
        for nth in 1..=hosts {
            world.start_host(nth, "wallet", slots);
            world.start_agent(nth, "wallet");
        }
        world.start_balancer(1);
        world.start_balancer(2);
        world.advance(1_000);
    }

    pub(crate) fn set_config(&mut self, delta: config::ConfigDelta) {
        for (_, spec) in &delta.changed {
            for entry in &spec.streams {
                let net::SocketAddr::V4(address) = entry.address else { continue };
                self.allowed_routes.insert((address, spec.name.clone()));
            }
        }
        self.config_history.push((self.now, delta.clone()));
        self.newest_config = delta;
    }

    /// Delivers the newest configuration to a process.
    pub(crate) fn deliver_config(&mut self, to: net::SocketAddrV4) {
        let mut state = match (self.balancers.get(&to), self.agents.get(&to)) {
            (Some(balancer), _) => balancer.config_state().clone(),
            (_, Some(agent)) => agent.config_state().clone(),
            _ => return,
        };
        state.advance(&self.newest_config);
        self.handle(to, stream::StreamEvent::Config(sync::Arc::new(state)));
    }

    fn stream_config(&mut self, address: net::SocketAddrV4, service: &str) -> stream::StreamConfig {
        self.last_id += 1;
        stream::StreamConfig {
            instance: ids::InstanceId(self.last_id),
            address,
            data_centre: ids::hash_data_centre(self.data_centre_of(address)),
            regions: evacuations::regions(),
            has_evacuations: self.has_evacuations,
            slow_start: slow_start::SlowStartMargin::default(),
            service: ids::ServiceId::of_name(service),
            host_report_ms: HOST_REPORT_MS,
            stream_limit_s: 60,
            is_first_start: self.now == FIRST_START,
            seed: self.last_id,
            policy: self.policy,
        }
    }

    pub(crate) fn start_balancer(&mut self, nth: u8) {
        self.start_balancer_without_members(nth);
        self.deliver_members(balancer_address(nth));
    }

    /// Starts a balancer that has not received the list of members yet.
    pub(crate) fn start_balancer_without_members(&mut self, nth: u8) {
        let address = balancer_address(nth);
        self.record_disturbance(address);
        let config = self.stream_config(address, "");
        self.balancers.insert(address, balancer::StreamBalancer::new(config, self.now));
        self.announced_members.insert((address, None));
        self.deliver_config(address);
    }

    /// Restarts these agents, their backend servers and the first balancer.
    pub(crate) fn restart_after_power_loss(&mut self, agents: impl Iterator<Item = u8>) {
        for nth in agents {
            self.crash_host(nth);
            self.start_agent(nth, "wallet");
        }
        self.start_balancer(1);
    }

    /// Starts or restarts an agent; its backend server keeps running.
    pub(crate) fn start_agent(&mut self, nth: u8, service: &str) {
        self.start_agent_without_members(nth, service);
        self.deliver_members(agent_address(nth));
    }

    /// Starts an agent that has not received the list of members yet.
    pub(crate) fn start_agent_without_members(&mut self, nth: u8, service: &str) {
        let address = agent_address(nth);
        self.record_disturbance(address);
        let config = self.stream_config(address, service);
        let service = config.service;
        self.agents.insert(address, agent::StreamAgent::new(config, self.now));
        self.announced_members.insert((address, Some(service)));
        self.powered_off.remove(&address);
        if let Some(host) = self.hosts.get_mut(&address) {
            host.agent_knows_drain = false;
        }
        self.deliver_config(address);
    }

    /// Powers off the machine of an agent and its backend server.
    pub(crate) fn power_off_machine(&mut self, nth: u8) {
        self.kill_host(nth);
        self.remove_agent(nth);
        self.powered_off.insert(agent_address(nth));
    }

    /// Stops an agent without a sign-off.
    pub(crate) fn remove_agent(&mut self, nth: u8) {
        self.agents.remove(&agent_address(nth));
    }

    /// Advances the simulated time.
    pub(crate) fn advance(&mut self, millis: u64) {
        let until = self.now.plus(millis);
        while self.now < until {
            self.now = self.now.plus(1);
            self.deliver_due();
            self.run_hosts();
            self.poll_platform();
            self.poll_member_lists();
            if self.now.0.is_multiple_of(20) {
                let all: Vec<_> =
                    self.balancers.keys().chain(self.agents.keys()).copied().collect();
                for address in all {
                    if !self.frozen.contains(&address) {
                        self.handle(address, stream::StreamEvent::Tick);
                    }
                }
            }
        }
    }

    /// Pauses a process.
    pub(crate) fn freeze(&mut self, process: net::SocketAddrV4) {
        self.frozen.insert(process);
    }

    /// Resumes all paused processes and delivers what was sent to them.
    pub(crate) fn thaw(&mut self) {
        for process in std::mem::take(&mut self.frozen) {
            self.reconnected_at.insert(process, self.now);
            self.record_disturbance(process);
        }
        for envelope in std::mem::take(&mut self.deferred) {
            self.post(0, envelope);
        }
    }

    /// Delivers the configuration and the evacuations to the first balancer. The platform refuses the
    /// second one, which learns of changes from reports alone.
    fn poll_platform(&mut self) {
        let balancer = balancer_address(1);
        let is_due = self.now.0.is_multiple_of(POLL_MS);
        if is_due && !self.frozen.contains(&balancer) && !self.partitioned.contains(&balancer) {
            self.deliver_config(balancer);
            self.deliver_evacuations(balancer);
        }
    }

    /// Passes an event to a process and executes the actions that it returns.
    pub(crate) fn handle(&mut self, address: net::SocketAddrV4, event: stream::StreamEvent<'_>) {
        let mut actions = Vec::new();
        if let Some(balancer) = self.balancers.get_mut(&address) {
            balancer.handle(self.now, event, &mut actions);
        } else if let Some(agent) = self.agents.get_mut(&address) {
            agent.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.execute(address, action);
        }
    }

    /// Ends all partitions.
    pub(crate) fn heal(&mut self) {
        for process in std::mem::take(&mut self.partitioned) {
            self.reconnected_at.insert(process, self.now);
            self.record_disturbance(process);
        }
    }
}

impl StreamWorld {
    /// The numbers of the backend servers that hold a stream.
    pub(crate) fn holders(&self, key: segment::StreamKey) -> Vec<u8> {
        let holds = self.hosts.iter().filter(|(_, host)| host.held.contains_key(&key));
        holds.map(|(agent, _)| agent.ip().octets()[3]).collect()
    }

    /// The number of the agent at which a stream was last placed.
    pub(crate) fn placed(&self, key: segment::StreamKey) -> u8 {
        let agent = self.log_events.iter().rev().find_map(|log_event| match log_event {
            log_event::StreamLogEvent::Placed { stream, agent, .. } if *stream == key => {
                Some(*agent)
            }
            _ => None,
        });
        agent.expect("stream was placed").ip().octets()[3]
    }

    pub(crate) fn view(&self, key: segment::StreamKey) -> &callers::CallerView {
        &self.callers[&key]
    }
}
