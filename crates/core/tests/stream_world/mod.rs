//! Balancers, agents and fake backend servers in one thread, with an oracle over what callers and
//! backend servers see.

// Each test file compiles this module for itself and uses a part of it.
#![allow(dead_code)]

use std::cell;
use std::collections;
use std::net;
use std::sync;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::agent;
use rosemaryusher_core::stream::balancer;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::note;
use rosemaryusher_core::stream::segment;

/// How long a message takes from process to process, in milliseconds.
const DELAY_MS: u64 = 1;

/// How far from what a caller expects a reset's number may be.
const RESET_WINDOW: u32 = 76_800;

/// The port that every process takes messages at.
const PORT: u16 = 7_000;

/// How often a fake backend server reports, in milliseconds.
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

/// A configuration in which each service takes streams at the given entries.
pub(crate) fn config(generation: u64, services: &[(&str, &[u16])]) -> config::ConfigDelta {
    let spec = |(name, entries): &(&str, &[u16])| manifest::ServiceSpec {
        name: (*name).to_owned(),
        requests: None,
        datagrams: None,
        streams: entries.iter().map(|nth| net::SocketAddr::V4(entry(*nth))).collect(),
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

/// A backend server that holds streams and answers data.
#[derive(Debug, Default)]
pub(crate) struct FakeHost {
    pub(crate) run: u64,
    pub(crate) service: String,
    pub(crate) slots: u32,
    /// Streams that are open or half open, with the number each began with.
    pub(crate) held: collections::BTreeMap<segment::StreamKey, u32>,
    /// Data that is being worked on, until when.
    pub(crate) work: Vec<(ids::UnixMillis, segment::StreamKey)>,
    pub(crate) work_ms: u64,
    /// Answers nothing and reports nothing.
    pub(crate) is_dark: bool,
    pub(crate) is_draining: bool,
    /// Its agent has taken in that it is draining.
    pub(crate) drain_is_known: bool,
    pub(crate) reports: u64,
    pub(crate) reported: ids::UnixMillis,
    /// Openings that it took.
    pub(crate) openings: Vec<segment::StreamKey>,
}

/// What a caller has seen of a stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerView {
    /// The number that the backend server began with, once it is open.
    pub(crate) first: Option<u32>,
    pub(crate) answers: u32,
    pub(crate) resets: u32,
    pub(crate) data_sent: u32,
}

enum Envelope {
    Message { from: net::SocketAddrV4, to: net::SocketAddrV4, message: message::StreamMessage },
    ToHost { agent: net::SocketAddrV4, marks: segment::SegmentMarks, bytes: Vec<u8> },
    FromHost { agent: net::SocketAddrV4, head: segment::SegmentHead },
    ToCaller { head: segment::SegmentHead },
    FromCaller { balancer: net::SocketAddrV4, head: segment::SegmentHead },
}

impl Envelope {
    /// The process that it is for, unless it is for an end of a stream.
    fn receiver(&self) -> Option<net::SocketAddrV4> {
        match self {
            Envelope::Message { to, .. } => Some(*to),
            Envelope::FromHost { agent, .. } => Some(*agent),
            Envelope::FromCaller { balancer, .. } => Some(*balancer),
            Envelope::ToHost { .. } | Envelope::ToCaller { .. } => None,
        }
    }
}

pub(crate) struct StreamWorld {
    pub(crate) now: ids::UnixMillis,
    pub(crate) balancers: collections::BTreeMap<net::SocketAddrV4, balancer::StreamBalancer>,
    pub(crate) agents: collections::BTreeMap<net::SocketAddrV4, agent::StreamAgent>,
    pub(crate) hosts: collections::BTreeMap<net::SocketAddrV4, FakeHost>,
    pub(crate) callers: collections::BTreeMap<segment::StreamKey, CallerView>,
    pub(crate) notes: Vec<note::StreamNote>,
    /// Processes that no message reaches or leaves.
    pub(crate) cut: collections::BTreeSet<net::SocketAddrV4>,
    /// Processes that stand still, and what waits for them.
    pub(crate) frozen: collections::BTreeSet<net::SocketAddrV4>,
    waiting: Vec<Envelope>,
    /// The balancer that the network sends callers' segments to.
    pub(crate) entry_balancer: net::SocketAddrV4,
    pub(crate) newest: config::ConfigDelta,
    /// Every service that any configuration has named for an entry.
    allowed: collections::BTreeSet<(net::SocketAddrV4, String)>,
    announced: collections::BTreeSet<(net::SocketAddrV4, Option<ids::ServiceId>)>,
    queue: collections::BTreeMap<(ids::UnixMillis, u64), Envelope>,
    sent: u64,
    runs: u64,
    heads: cell::RefCell<Vec<segment::SegmentHead>>,
}

impl StreamWorld {
    pub(crate) fn new() -> StreamWorld {
        StreamWorld {
            now: ids::UnixMillis(1_000_000),
            balancers: collections::BTreeMap::new(),
            agents: collections::BTreeMap::new(),
            hosts: collections::BTreeMap::new(),
            callers: collections::BTreeMap::new(),
            notes: Vec::new(),
            cut: collections::BTreeSet::new(),
            frozen: collections::BTreeSet::new(),
            waiting: Vec::new(),
            entry_balancer: balancer_address(1),
            newest: config::ConfigDelta::default(),
            allowed: collections::BTreeSet::new(),
            announced: collections::BTreeSet::new(),
            queue: collections::BTreeMap::new(),
            sent: 0,
            runs: 0,
            heads: cell::RefCell::new(Vec::new()),
        }
    }

    /// Two balancers and three agents of one service, in touch with each other, and room for all.
    pub(crate) fn calm() -> StreamWorld {
        StreamWorld::with_slots(16)
    }

    /// The same with so many slots at each backend server.
    pub(crate) fn with_slots(slots: u32) -> StreamWorld {
        let mut world = StreamWorld::new();
        world.set_config(config(1, &[("wallet", &[0, 1]), ("preview", &[5])]));
        for nth in 1..=3 {
            world.start_host(nth, "wallet", slots);
            world.start_agent(nth, "wallet");
        }
        world.start_balancer(1);
        world.start_balancer(2);
        world.advance(1_000);
        world
    }

    pub(crate) fn set_config(&mut self, delta: config::ConfigDelta) {
        for (_, spec) in &delta.changed {
            for entry in &spec.streams {
                let net::SocketAddr::V4(entry) = entry else { continue };
                self.allowed.insert((*entry, spec.name.clone()));
            }
        }
        self.newest = delta;
    }

    /// Hands the newest configuration to one process.
    pub(crate) fn deliver_config(&mut self, to: net::SocketAddrV4) {
        let mut state = match (self.balancers.get(&to), self.agents.get(&to)) {
            (Some(balancer), _) => balancer.state().clone(),
            (_, Some(agent)) => agent.state().clone(),
            _ => return,
        };
        state.advance(&self.newest);
        self.handle(to, stream::StreamEvent::Config(sync::Arc::new(state)));
    }

    fn stream_config(&mut self, address: net::SocketAddrV4, service: &str) -> stream::StreamConfig {
        self.runs += 1;
        stream::StreamConfig {
            instance: ids::InstanceId(self.runs),
            address,
            data_centre: 1,
            service: ids::ServiceId::of_name(service),
            host_report_ms: HOST_REPORT_MS,
            stream_limit_s: 60,
            seed: self.runs,
        }
    }

    pub(crate) fn start_balancer(&mut self, nth: u8) {
        let address = balancer_address(nth);
        let config = self.stream_config(address, "");
        self.balancers.insert(address, balancer::StreamBalancer::new(config, self.now));
        self.announced.insert((address, None));
        self.read_members(address);
        self.deliver_config(address);
    }

    /// Starts an agent, or starts it anew beside the same backend server.
    pub(crate) fn start_agent(&mut self, nth: u8, service: &str) {
        let address = agent_address(nth);
        let config = self.stream_config(address, service);
        self.agents.insert(address, agent::StreamAgent::new(config, self.now));
        self.announced.insert((address, Some(config.service)));
        if let Some(host) = self.hosts.get_mut(&address) {
            host.drain_is_known = false;
        }
        self.read_members(address);
        self.deliver_config(address);
    }

    pub(crate) fn read_members(&mut self, address: net::SocketAddrV4) {
        let others = self.announced.iter().filter(|(member, _)| *member != address);
        let members = others
            .map(|(address, service)| stream::AnnouncedMember {
                address: *address,
                service: *service,
            })
            .collect();
        self.handle(address, stream::StreamEvent::Members(members));
    }

    pub(crate) fn start_host(&mut self, nth: u8, service: &str, slots: u32) {
        self.runs += 1;
        let host = FakeHost {
            run: self.runs,
            service: service.to_owned(),
            slots,
            work_ms: 40,
            ..FakeHost::default()
        };
        self.hosts.insert(agent_address(nth), host);
    }

    /// The backend server crashes and starts again: its streams are gone.
    pub(crate) fn crash_host(&mut self, nth: u8) {
        let host = self.host(nth);
        let (service, slots) = (host.service.clone(), host.slots);
        self.start_host(nth, &service, slots);
    }

    pub(crate) fn drain_host(&mut self, nth: u8) {
        self.host(nth).is_draining = true;
        self.host(nth).reported = ids::UnixMillis(0);
    }

    pub(crate) fn host(&mut self, nth: u8) -> &mut FakeHost {
        self.hosts.get_mut(&agent_address(nth)).expect("there is such a host")
    }

    /// Opens a stream, or repeats its opening for the `copy`th time.
    pub(crate) fn open(&mut self, key: segment::StreamKey, copy: u32) {
        self.callers.entry(key).or_default();
        let flags = segment::SegmentFlags { opens: true, ..segment::SegmentFlags::default() };
        self.send_segment(key, flags, copy, 0);
    }

    /// Sends a request on an open stream.
    pub(crate) fn send(&mut self, key: segment::StreamKey) {
        let view = self.callers.entry(key).or_default();
        view.data_sent += 1;
        let acknowledged = view.first.unwrap_or(0).wrapping_add(1);
        let flags =
            segment::SegmentFlags { acknowledges: true, ..segment::SegmentFlags::default() };
        self.send_segment(key, flags, acknowledged, 100);
    }

    /// Ends a stream.
    pub(crate) fn end(&mut self, key: segment::StreamKey) {
        let acknowledged = self.callers[&key].first.unwrap_or(0).wrapping_add(1);
        let flags = segment::SegmentFlags {
            acknowledges: true,
            ends: true,
            ..segment::SegmentFlags::default()
        };
        self.send_segment(key, flags, acknowledged, 0);
    }

    fn send_segment(
        &mut self,
        key: segment::StreamKey,
        flags: segment::SegmentFlags,
        acknowledged: u32,
        length: u16,
    ) {
        let head = segment::SegmentHead {
            source: key.caller,
            destination: key.entry,
            flags,
            sequence: 7,
            acknowledged,
            length,
            marks: segment::SegmentMarks::default(),
        };
        let balancer = self.entry_balancer;
        self.post(DELAY_MS, Envelope::FromCaller { balancer, head });
    }

    /// Lets time pass.
    pub(crate) fn advance(&mut self, millis: u64) {
        let until = self.now.plus(millis);
        while self.now < until {
            self.now = self.now.plus(1);
            self.deliver_due();
            self.run_hosts();
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

    /// Lets processes that stand still go on with what waits for them.
    pub(crate) fn thaw(&mut self) {
        self.frozen.clear();
        for envelope in std::mem::take(&mut self.waiting) {
            self.post(0, envelope);
        }
    }

    fn deliver_due(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let envelope = entry.remove();
            if envelope.receiver().is_some_and(|to| self.frozen.contains(&to)) {
                self.waiting.push(envelope);
                continue;
            }
            match envelope {
                Envelope::Message { from, to, message } => self.deliver_message(from, to, &message),
                Envelope::ToHost { agent, marks, bytes } => {
                    self.deliver_to_host(agent, marks, &bytes)
                }
                Envelope::FromHost { agent, head } => self.deliver_segment(agent, head),
                Envelope::FromCaller { balancer, head } => self.deliver_segment(balancer, head),
                Envelope::ToCaller { head } => self.deliver_to_caller(&head),
            }
        }
    }

    fn deliver_message(
        &mut self,
        from: net::SocketAddrV4,
        to: net::SocketAddrV4,
        message: &message::StreamMessage,
    ) {
        if self.cut.contains(&from) || self.cut.contains(&to) {
            return;
        }
        let head = match message {
            message::StreamMessage::Carry(carry) => Some(self.decode(&carry.segment)),
            message::StreamMessage::Return(returned) => Some(self.decode(&returned.segment)),
            _ => None,
        };
        self.handle(to, stream::StreamEvent::Message { from, message, head });
    }

    fn deliver_segment(&mut self, to: net::SocketAddrV4, head: segment::SegmentHead) {
        let bytes = self.encode(head);
        let segment = segment::StreamSegment { head, bytes: &bytes };
        self.handle(to, stream::StreamEvent::Segment(segment));
    }

    /// The oracle of what a backend server is handed, and the backend server.
    fn deliver_to_host(
        &mut self,
        agent: net::SocketAddrV4,
        marks: segment::SegmentMarks,
        bytes: &[u8],
    ) {
        let mut head = self.decode(bytes);
        assert!(!head.flags.given_back, "a segment with a foreign mark reaches a backend server");
        head.marks = marks;
        let key = head.key_from_caller();
        let Some(host) = self.hosts.get_mut(&agent).filter(|host| !host.is_dark) else { return };
        if head.is_opening() {
            let route = (key.entry, host.service.clone());
            assert!(self.allowed.contains(&route), "{key} opens at {}", host.service);
            assert!(!host.drain_is_known, "{key} opens at a backend server that is leaving");
            host.openings.push(key);
            let run = host.run as u32;
            let fresh = run.wrapping_mul(0x9e37_79b9) ^ u32::from(key.caller.port());
            let first = *host.held.entry(key).or_insert(fresh);
            let flags = segment::SegmentFlags {
                opens: true,
                acknowledges: true,
                ..segment::SegmentFlags::default()
            };
            self.answer(agent, key, flags, first, 0);
            return;
        }
        let is_own_half =
            |first: &u32| head.acknowledged.wrapping_sub(first.wrapping_add(1)) < 1 << 20;
        if host.held.get(&key).is_some_and(|first| !is_own_half(first)) {
            return;
        }
        if !host.held.contains_key(&key) {
            head.flags.given_back = true;
            self.post(0, Envelope::FromHost { agent, head });
            return;
        }
        if head.length > 0 {
            let due = self.now.plus(host.work_ms);
            host.work.push((due, key));
        }
        if head.flags.ends {
            host.held.remove(&key);
            let flags = segment::SegmentFlags {
                acknowledges: true,
                ends: true,
                ..segment::SegmentFlags::default()
            };
            self.answer(agent, key, flags, 0, 0);
        }
    }

    fn answer(
        &mut self,
        agent: net::SocketAddrV4,
        key: segment::StreamKey,
        flags: segment::SegmentFlags,
        sequence: u32,
        length: u16,
    ) {
        let head = segment::SegmentHead {
            source: key.entry,
            destination: key.caller,
            flags,
            sequence,
            acknowledged: 8,
            length,
            marks: segment::SegmentMarks::default(),
        };
        self.post(0, Envelope::FromHost { agent, head });
    }

    fn run_hosts(&mut self) {
        let now = self.now;
        let mut answers = Vec::new();
        let mut reports = Vec::new();
        for (agent, host) in &mut self.hosts {
            if host.is_dark {
                continue;
            }
            let held = &host.held;
            host.work.retain(|(due, key)| {
                if *due <= now && held.contains_key(key) {
                    answers.push((*agent, *key));
                }
                *due > now
            });
            if now.since(host.reported) >= HOST_REPORT_MS {
                host.reported = now;
                host.reports += 1;
                reports.push(*agent);
            }
        }
        for (agent, key) in answers {
            let flags = segment::SegmentFlags { acknowledges: true, ..Default::default() };
            self.answer(agent, key, flags, 1, 500);
        }
        for agent in reports {
            self.report_host(agent);
        }
    }

    fn report_host(&mut self, agent: net::SocketAddrV4) {
        if !self.agents.contains_key(&agent) || self.frozen.contains(&agent) {
            return;
        }
        let Some(host) = self.hosts.get_mut(&agent) else { return };
        host.drain_is_known |= host.is_draining;
        let report = host::HostReport {
            run: format!("run-{}", host.run),
            sequence: host.reports,
            service: host.service.clone(),
            slots: host.slots,
            is_draining: host.is_draining,
            slow_left_ms: 0,
        };
        self.handle(agent, stream::StreamEvent::HostReport(report));
    }

    fn deliver_to_caller(&mut self, head: &segment::SegmentHead) {
        let key = head.key_from_host();
        let view = self.callers.entry(key).or_default();
        match head.flags {
            flags if flags.opens && view.first.is_none() => view.first = Some(head.sequence),
            _ if head.length > 0 => view.answers += 1,
            _ => {}
        }
    }

    /// Has one process take in an event and carries out what it decides.
    pub(crate) fn handle(&mut self, address: net::SocketAddrV4, event: stream::StreamEvent<'_>) {
        let mut actions = Vec::new();
        if let Some(balancer) = self.balancers.get_mut(&address) {
            balancer.handle(self.now, event, &mut actions);
        } else if let Some(agent) = self.agents.get_mut(&address) {
            agent.handle(self.now, event, &mut actions);
        }
        for action in actions {
            self.carry_out(address, action);
        }
    }

    fn carry_out(&mut self, address: net::SocketAddrV4, action: stream::StreamAction) {
        match action {
            stream::StreamAction::Tell(to, message) => {
                self.post(DELAY_MS, Envelope::Message { from: address, to, message });
            }
            stream::StreamAction::HandOver(marks, bytes) => {
                self.post(0, Envelope::ToHost { agent: address, marks, bytes });
            }
            stream::StreamAction::Answer(_, bytes) => {
                let head = self.decode(&bytes);
                self.post(DELAY_MS, Envelope::ToCaller { head });
            }
            stream::StreamAction::Reset(key, sequence) => {
                let open = self.callers.get(&key).and_then(|view| view.first);
                let is_near = |first: u32| {
                    let ahead = sequence.wrapping_sub(first);
                    ahead.min(ahead.wrapping_neg()) <= RESET_WINDOW
                };
                // A caller with an open stream takes only a reset that knows where it is.
                if open.is_some_and(|first| !is_near(first)) {
                    return;
                }
                self.check_reset(key);
                let view = self.callers.entry(key).or_default();
                view.resets += 1;
            }
            stream::StreamAction::FetchConfig(_) => self.deliver_config(address),
            stream::StreamAction::Measure(_) => {}
            stream::StreamAction::Note(note) => self.notes.push(note),
        }
    }

    /// The oracle of resets: none while the caller's stream is open at a live backend server and
    /// the configuration names its address.
    fn check_reset(&self, key: segment::StreamKey) {
        let Some(first) = self.callers.get(&key).and_then(|view| view.first) else { return };
        let is_routed = self
            .newest
            .changed
            .iter()
            .any(|(_, spec)| spec.streams.contains(&net::SocketAddr::V4(key.entry)));
        let holder = self.hosts.iter().find(|(_, host)| host.held.get(&key) == Some(&first));
        if let Some((agent, _)) = holder.filter(|_| is_routed) {
            let last: Vec<_> = self.notes.iter().rev().take(30).collect();
            panic!("{key} is reset and open at {agent}; last notes first: {last:#?}");
        }
    }

    fn post(&mut self, delay_ms: u64, envelope: Envelope) {
        self.sent += 1;
        self.queue.insert((self.now.plus(delay_ms), self.sent), envelope);
    }

    fn encode(&self, head: segment::SegmentHead) -> Vec<u8> {
        let mut heads = self.heads.borrow_mut();
        heads.push(segment::SegmentHead {
            flags: segment::SegmentFlags { given_back: false, ..head.flags },
            marks: segment::SegmentMarks::default(),
            ..head
        });
        ((heads.len() - 1) as u32).to_le_bytes().to_vec()
    }

    fn decode(&self, bytes: &[u8]) -> segment::SegmentHead {
        let index = u32::from_le_bytes(bytes.try_into().expect("bytes of this world"));
        self.heads.borrow()[index as usize]
    }
}

impl StreamWorld {
    /// The hosts that hold a stream, by their numbers.
    pub(crate) fn holders(&self, key: segment::StreamKey) -> Vec<u8> {
        let holds = self.hosts.iter().filter(|(_, host)| host.held.contains_key(&key));
        holds.map(|(agent, _)| agent.ip().octets()[3]).collect()
    }

    pub(crate) fn view(&self, key: segment::StreamKey) -> &CallerView {
        &self.callers[&key]
    }
}
