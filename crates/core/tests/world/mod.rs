//! Balancers and agents joined by a bag of messages, with a simple oracle beside them.
//!
//! The bag drops, repeats, delays and reorders. The oracle knows nothing of tickets or routes: it
//! notes what each caller asked for and was told, and what each backend server ran.

#![allow(dead_code, unreachable_pub, reason = "each test file uses its own part of the world")]

mod oracle;
mod processes;

use std::collections;
use std::net;
use std::sync;

pub use oracle::OracleBook;
pub use processes::AgentProcess;
pub use processes::BalancerProcess;
pub use processes::ControlSide;

use rosemaryusher_core::admission;
use rosemaryusher_core::agent;
use rosemaryusher_core::balancer;
use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::membership;
use rosemaryusher_core::message;
use rosemaryusher_core::placement;
use rosemaryusher_core::ticket;

/// The services of the world, by their place in this list.
pub const SERVICES: [&str; 2] = ["wallet-api", "taller"];

/// Where callers of a service send requests.
pub fn request_address(service: usize) -> net::SocketAddr {
    format!("10.9.0.{}:5683", service + 1).parse().unwrap()
}

/// Where callers of a service send datagrams.
pub fn flow_address(service: usize) -> net::SocketAddr {
    format!("10.9.0.{}:7000", service + 1).parse().unwrap()
}

/// A caller's own address.
pub fn caller_address(caller: usize) -> net::SocketAddr {
    format!("10.8.0.{}:4000", caller + 1).parse().unwrap()
}

/// What is in the bag.
#[derive(Clone, Debug)]
pub enum Parcel {
    /// A packet between processes.
    Packet(net::SocketAddr, message::PeerPacket),
    /// A request's datagram on its way to any balancer.
    Request { caller: usize, datagram: usize },
    /// A flow's datagram on its way to any balancer.
    Flow { caller: usize, service: usize },
    /// What a balancer tells a caller.
    Told { caller: usize, told: Told },
    /// A configuration between two processes.
    Delta(net::SocketAddr, config::ConfigDelta),
}

/// What a caller is told.
#[derive(Clone, Debug)]
pub enum Told {
    /// An answer or a block of one.
    Answer { token: Vec<u8>, answer: message::AgentAnswer, ticket: Option<Vec<u8>> },
    /// A refusal.
    Refusal { token: Vec<u8>, kind: message::RefusalKind, ticket: Option<Vec<u8>> },
    /// A datagram of a flow, with the host that sent it.
    Flow { host: ids::InstanceId },
}

/// The world under test.
#[derive(Debug)]
pub struct World {
    pub now: ids::UnixMillis,
    pub balancers: Vec<BalancerProcess>,
    pub agents: Vec<AgentProcess>,
    pub bag: Vec<Parcel>,
    pub datagrams: Vec<message::CallerRequest>,
    pub answers: Vec<(message::AgentAnswer, Option<Vec<u8>>)>,
    pub book: OracleBook,
    pub platform: config::ConfigDelta,
    pub platform_is_down: bool,
    next_instance: u64,
    next_seed: u64,
}

impl World {
    /// Balancers and agents that know each other and have the first configuration.
    pub fn settled(balancers: usize, agents_each: usize) -> World {
        let mut world = World {
            now: ids::UnixMillis::from_secs(1_000_000),
            balancers: Vec::new(),
            agents: Vec::new(),
            bag: Vec::new(),
            datagrams: Vec::new(),
            answers: Vec::new(),
            book: OracleBook::default(),
            platform: first_configuration(),
            platform_is_down: false,
            next_instance: 1,
            next_seed: 1,
        };
        (0..balancers).for_each(|_| world.start_balancer());
        for service in 0..SERVICES.len() {
            (0..agents_each).for_each(|_| world.start_agent(service));
        }
        for _ in 0..6 {
            world.gossip_all();
            world.advance(1_000);
        }
        world
    }

    /// Starts a balancer that hears of the others by gossip.
    pub fn start_balancer(&mut self) {
        let number = self.balancers.len();
        let instance = self.fresh_instance();
        let seed = self.fresh_seed();
        let process = BalancerProcess::start(number, instance, seed, self.now);
        self.balancers.push(process);
        let number = self.agents.len() + self.balancers.len() - 1;
        self.introduce(number);
    }

    /// Starts an agent of a service, on a host of its own.
    pub fn start_agent(&mut self, service: usize) {
        let host = self.agents.len();
        let (instance, seed) = (self.fresh_instance(), self.fresh_seed());
        self.agents.push(AgentProcess::start(host, service, instance, seed, self.now));
        self.introduce(host);
    }

    /// Starts an agent anew on the same host and addresses, possibly for another service.
    pub fn restart_agent(&mut self, host: usize, service: usize) {
        let (instance, seed) = (self.fresh_instance(), self.fresh_seed());
        self.agents[host] = AgentProcess::start(host, service, instance, seed, self.now);
        self.introduce(host);
    }

    /// Lets a newcomer fetch the view and the configuration from the first that is up.
    fn introduce(&mut self, newcomer: usize) {
        let known: Vec<_> = (0..self.process_count())
            .filter(|process| *process != newcomer && self.control(*process).is_up())
            .take(1)
            .collect();
        for peer in known {
            let records: Vec<_> =
                self.control(peer).prober.view().iter().map(|m| m.record.clone()).collect();
            let now = self.now;
            self.control_mut(newcomer).prober.receive_view(&records, now);
            self.exchange(newcomer, peer);
        }
        self.watch(newcomer);
    }

    /// How many processes there are; agents come first, then balancers.
    pub fn process_count(&self) -> usize {
        self.agents.len() + self.balancers.len()
    }

    /// The control side of a process.
    pub fn control(&self, process: usize) -> &ControlSide {
        match process.checked_sub(self.agents.len()) {
            None => &self.agents[process].control,
            Some(balancer) => &self.balancers[balancer].control,
        }
    }

    fn control_mut(&mut self, process: usize) -> &mut ControlSide {
        match process.checked_sub(self.agents.len()) {
            None => &mut self.agents[process].control,
            Some(balancer) => &mut self.balancers[balancer].control,
        }
    }

    /// Has a process tick its membership, exchanging with whom it wants to.
    pub fn gossip(&mut self, process: usize) {
        if !self.control(process).is_up() {
            return;
        }
        let now = self.now;
        let actions = self.control_mut(process).prober.tick(now);
        for action in actions {
            self.act(process, action);
        }
        self.publish(process);
    }

    /// Has every process tick its membership.
    pub fn gossip_all(&mut self) {
        (0..self.process_count()).for_each(|process| self.gossip(process));
    }

    /// Lets each process that knows no other find one again, and read the platform, as the
    /// daemons do by the platform's announcements.
    pub fn rejoin_alone(&mut self) {
        for process in 0..self.process_count() {
            let control = self.control(process);
            if control.is_up() && control.prober.view().reachable().count() <= 1 {
                self.introduce(process);
            }
        }
    }

    /// Has each process call another that is announced, as the daemons do now and then.
    pub fn reunite(&mut self) {
        let up: Vec<_> =
            (0..self.process_count()).filter(|process| self.control(*process).is_up()).collect();
        for (place, process) in up.iter().enumerate() {
            let other = up[(place + 1) % up.len()];
            if other != *process {
                self.exchange(*process, other);
            }
        }
    }

    fn act(&mut self, process: usize, action: membership::ProbeAction) {
        let now = self.now;
        match action {
            membership::ProbeAction::Exchange { peer } => match self.reach(process, peer) {
                true => {}
                false => {
                    let asks = self.control_mut(process).prober.exchange_failed(peer, now);
                    asks.into_iter().for_each(|ask| self.act(process, ask));
                }
            },
            membership::ProbeAction::AskHelper { helper, target } => {
                let helper = self.process_of(helper);
                let reached = helper.is_some_and(|helper| self.reach(helper, target));
                self.control_mut(process).prober.helper_reported(target, reached, now);
            }
            membership::ProbeAction::FetchView { peer } => {
                let Some(peer) = self.process_of(peer) else { return };
                let records: Vec<_> =
                    self.control(peer).prober.view().iter().map(|m| m.record.clone()).collect();
                self.control_mut(process).prober.receive_view(&records, now);
            }
        }
    }

    fn reach(&mut self, from: usize, peer: ids::InstanceId) -> bool {
        match self.process_of(peer) {
            Some(peer) if peer != from => {
                self.exchange(from, peer);
                true
            }
            _ => false,
        }
    }

    /// The process that runs as an instance, if it is up.
    pub fn process_of(&self, instance: ids::InstanceId) -> Option<usize> {
        (0..self.process_count()).find(|process| {
            let control = self.control(*process);
            control.is_up() && control.prober.own().instance == instance
        })
    }

    /// Has a balancer start anew with the view that it has, so that it remembers no flow.
    pub fn replace_cache(&mut self, balancer: usize) {
        let (instance, seed) = (self.fresh_instance(), self.fresh_seed());
        let fresh = BalancerProcess::start(balancer, instance, seed, self.now);
        self.balancers[balancer].engine = fresh.engine;
        let process = self.agents.len() + balancer;
        self.publish(process);
        self.publish_config(process);
    }

    /// Hands a request of caller 0 straight to an agent, as if the first balancer had sent it.
    pub fn hand_request(
        &mut self,
        host: usize,
        behalf: Option<ids::InstanceId>,
        request: message::CallerRequest,
    ) {
        let via = self.balancers[0].control.prober.own().instance;
        let packet = message::ForwardPacket {
            head: message::PacketHead {
                from: via,
                load: None,
                generation: ids::ConfigGeneration(1),
            },
            target: self.agents[host].control.prober.own().instance,
            behalf,
            via,
            service: ids::ServiceId::of_name(SERVICES[0]),
            address: request_address(0),
            caller: caller_address(0),
            expires: self.now.plus(5_000),
            hops: 0,
            step: message::ForwardStep::Request { tried: Vec::new() },
            payload: Vec::new(),
        };
        let packet = Box::new(message::PeerPacket::Forward(packet));
        let request = Some(Box::new(request));
        self.handle_agent(host, agent::AgentEvent::Peer { packet, request });
    }

    /// Has two processes exchange, whoever else has heard of what they tell.
    pub fn meet(&mut self, from: usize, to: usize) {
        self.exchange(from, to);
        self.watch(to);
    }

    fn exchange(&mut self, from: usize, to: usize) {
        let now = self.now;
        let generation = self.control(from).state.generation();
        let message = self.control_mut(from).prober.compose(generation);
        let _ = self.control_mut(to).prober.receive(&message, now);
        let generation = self.control(to).state.generation();
        let answer = self.control_mut(to).prober.compose(generation);
        let _ = self.control_mut(from).prober.receive(&answer, now);
        self.offer_config(from, to);
        self.offer_config(to, from);
        self.publish(from);
        self.publish(to);
    }

    /// The one that is behind asks; what it gets travels in the bag and may come late.
    fn offer_config(&mut self, from: usize, to: usize) {
        let held = self.control(to).state.generation();
        if self.control(from).state.generation() > held {
            let delta = self.control(from).state.delta_since(held);
            let address = self.control(to).prober.own().packet_address;
            self.bag.push(Parcel::Delta(address, delta));
        }
    }

    /// Has a process read the platform.
    pub fn watch(&mut self, process: usize) {
        if self.platform_is_down || !self.control(process).is_up() {
            return;
        }
        let delta = self.platform.clone();
        self.advance_config(process, &delta);
    }

    fn advance_config(&mut self, process: usize, delta: &config::ConfigDelta) {
        let before = self.control(process).state.generation();
        let mut next = (*self.control(process).state).clone();
        next.advance(delta);
        self.book.note_generation(before, next.generation());
        self.control_mut(process).state = sync::Arc::new(next);
        self.publish_config(process);
    }

    /// Two operators write over the same generation; the platform takes the first.
    pub fn race_operators(&mut self, largest_hosts: [u32; 2]) {
        if self.platform_is_down {
            return;
        }
        let seen = self.platform.generation;
        for largest in largest_hosts {
            // The conditional update: only a writer that has seen the newest one succeeds.
            if self.platform.generation != seen {
                self.book.conflicts += 1;
                continue;
            }
            let generation = ids::ConfigGeneration(seen.0 + 1);
            self.platform.generation = generation;
            for (changed, spec) in &mut self.platform.changed {
                spec.rules.largest_hosts = largest;
                *changed = generation;
            }
        }
    }

    /// Moves time on and lets every process that is not frozen tick.
    pub fn advance(&mut self, millis: u64) {
        self.now = self.now.plus(millis);
        for host in 0..self.agents.len() {
            self.handle_agent(host, agent::AgentEvent::Tick);
        }
    }

    /// Handles one parcel.
    pub fn deliver(&mut self, parcel: Parcel, balancer: usize) {
        match parcel {
            Parcel::Packet(address, packet) => self.deliver_packet(address, packet),
            Parcel::Request { caller, datagram } => {
                self.deliver_request(caller, datagram, balancer);
            }
            Parcel::Flow { caller, service } => self.deliver_flow(caller, service, balancer),
            Parcel::Told { caller, told } => self.tell(caller, told),
            Parcel::Delta(address, delta) => {
                let process = (0..self.process_count())
                    .find(|process| self.control(*process).prober.own().packet_address == address);
                match process {
                    Some(process) if self.control(process).is_up() => {
                        self.advance_config(process, &delta);
                    }
                    _ => {}
                }
            }
        }
    }

    /// Delivers everything in the bag, oldest first, and what that leads to.
    pub fn deliver_all(&mut self) {
        let mut balancer = 0;
        let mut left = 20_000;
        while !self.bag.is_empty() && left > 0 {
            let parcel = self.bag.remove(0);
            self.deliver(parcel, balancer);
            balancer += 1;
            left -= 1;
        }
        assert!(left > 0, "messages go round for ever");
    }

    fn deliver_packet(&mut self, address: net::SocketAddr, packet: message::PeerPacket) {
        let at = |control: &ControlSide| control.prober.own().packet_address == address;
        if let Some(host) = self.agents.iter().position(|agent| at(&agent.control)) {
            let request = self.request_in(&packet);
            let packet = Box::new(packet);
            self.handle_agent(host, agent::AgentEvent::Peer { packet, request });
            return;
        }
        let Some(balancer) = self.balancers.iter().position(|b| at(&b.control)) else { return };
        self.handle_balancer(balancer, None, balancer::BalancerEvent::Peer(packet));
    }

    fn request_in(&self, packet: &message::PeerPacket) -> Option<Box<message::CallerRequest>> {
        match packet {
            message::PeerPacket::Forward(forward) => {
                let index = number_in(&forward.payload)?;
                self.datagrams.get(index).cloned().map(Box::new)
            }
            _ => None,
        }
    }

    fn deliver_request(&mut self, caller: usize, datagram: usize, balancer: usize) {
        let request = self.datagrams[datagram].clone();
        let service = self.book.callers[caller].service;
        let bytes = (datagram as u32).to_le_bytes();
        let head = message::RequestHead {
            method: request.method,
            ticket: request.ticket.as_deref(),
            in_blocks: request.upload.is_some()
                || request.wanted.is_some_and(|block| block.number > 0),
        };
        let event = balancer::BalancerEvent::Caller {
            address: request_address(service),
            caller: caller_address(caller),
            datagram: &bytes,
            request: Ok(head),
        };
        self.handle_balancer(balancer, Some((caller, datagram)), event);
    }

    fn deliver_flow(&mut self, caller: usize, service: usize, balancer: usize) {
        let event = balancer::BalancerEvent::Caller {
            address: flow_address(service),
            caller: caller_address(caller),
            datagram: b"ping",
            request: Err(balancer::MalformedRequest::Foreign),
        };
        self.handle_balancer(balancer, None, event);
    }

    fn handle_balancer(
        &mut self,
        balancer: usize,
        arrival: Option<(usize, usize)>,
        event: balancer::BalancerEvent<'_>,
    ) {
        let up: Vec<_> =
            (0..self.balancers.len()).filter(|b| self.balancers[*b].control.is_up()).collect();
        let for_caller = matches!(event, balancer::BalancerEvent::Caller { .. });
        let number = match for_caller {
            // The fabric hands callers' datagrams to whoever is there.
            true if up.is_empty() => return,
            true => up[balancer % up.len()],
            false => balancer,
        };
        if !self.balancers[number].control.is_up() {
            return;
        }
        let mut actions = Vec::new();
        self.balancers[number].engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.do_for_balancer(arrival, action);
        }
    }

    fn do_for_balancer(
        &mut self,
        arrival: Option<(usize, usize)>,
        action: balancer::BalancerAction,
    ) {
        match action {
            balancer::BalancerAction::Send { to, packet } => {
                self.bag.push(Parcel::Packet(to, packet));
            }
            balancer::BalancerAction::Deliver { caller, payload, address } => {
                let Some(caller) = self.caller_at(caller) else { return };
                let told = match number_in(&payload) {
                    Some(answer) if address.port() == 5683 => self.answer_told(answer),
                    _ => Told::Flow { host: flow_host(&payload) },
                };
                self.bag.push(Parcel::Told { caller, told });
            }
            balancer::BalancerAction::RefuseThis { kind, ticket } => {
                let Some((caller, datagram)) = arrival else { return };
                let token = self.datagrams[datagram].exchange.token.clone();
                let told = Told::Refusal { token, kind, ticket };
                self.bag.push(Parcel::Told { caller, told });
            }
            balancer::BalancerAction::Refuse { caller, exchange, kind, ticket, .. } => {
                let Some(caller) = self.caller_at(caller) else { return };
                let told = Told::Refusal { token: exchange.token, kind, ticket };
                self.bag.push(Parcel::Told { caller, told });
            }
            balancer::BalancerAction::Drop(_) => {}
        }
    }

    fn answer_told(&self, answer: usize) -> Told {
        let (answer, ticket) = self.answers[answer].clone();
        let message::AgentAnswer::Body { .. } = &answer else {
            return Told::Answer { token: Vec::new(), answer, ticket };
        };
        Told::Answer { token: self.tokens_of_answers(&answer), answer, ticket }
    }

    fn tokens_of_answers(&self, answer: &message::AgentAnswer) -> Vec<u8> {
        match answer {
            message::AgentAnswer::Body { payload, .. } => payload[..8].to_vec(),
            message::AgentAnswer::Continue { .. } => Vec::new(),
        }
    }

    /// Has an agent handle an event, unless it is down or frozen.
    pub fn handle_agent(&mut self, host: usize, event: agent::AgentEvent) {
        if !self.agents[host].control.is_up() {
            return;
        }
        let mut actions = Vec::new();
        self.agents[host].engine.handle(self.now, event, &mut actions);
        for action in actions {
            self.do_for_agent(host, action);
        }
    }

    fn do_for_agent(&mut self, host: usize, action: agent::AgentAction) {
        match action {
            agent::AgentAction::Send { to, packet } => self.bag.push(Parcel::Packet(to, packet)),
            agent::AgentAction::Answer { to, mut reply, exchange, answer, ticket } => {
                let answer = with_token(answer, &exchange.token);
                reply.payload = (self.answers.len() as u32).to_le_bytes().to_vec();
                self.answers.push((answer, ticket));
                self.bag.push(Parcel::Packet(to, message::PeerPacket::Reply(reply)));
            }
            agent::AgentAction::StartRun { run, request, .. } => {
                let process = &mut self.agents[host];
                process.running.push((run, request.clone()));
                let (service, draining) = (process.service, process.engine.is_draining());
                let was_begun = process.begun_before_drain.contains(&request.path);
                self.book.note_run(&request, service, draining && !was_begun);
            }
            agent::AgentAction::CancelRun { run } => {
                self.agents[host].running.retain(|(held, _)| *held != run);
            }
            agent::AgentAction::FlowDatagram { flow, .. } => self.note_flow(host, flow),
            agent::AgentAction::CloseFlow { .. } | agent::AgentAction::Drop(_) => {}
        }
    }

    fn note_flow(&mut self, host: usize, flow: placement::FlowKey) {
        let process = &self.agents[host];
        let instance = process.control.prober.own().instance;
        let draining = process.engine.is_draining();
        let known_before = process.flows_before_drain.contains(&flow);
        assert_eq!(
            flow.service,
            ids::ServiceId::of_name(SERVICES[process.service]),
            "a flow reached another service"
        );
        assert!(!draining || known_before, "a draining agent opened a flow");
        let before = self.book.owners.get(&flow).copied().filter(|before| *before != instance);
        let lives = before.is_some_and(|before| self.process_of(before).is_some());
        assert!(!lives, "flow {flow:?} moved from {before:?} to {instance:?}, which still runs");
        self.book.note_flow(flow, instance);
        let payload = instance.0.to_le_bytes().to_vec();
        self.handle_agent(host, agent::AgentEvent::BackendDatagram { flow, payload });
    }

    /// Ends one of all the runs on hosts that are up.
    pub fn end_any_run(&mut self, place: usize, ending: RunEnding) {
        let hosts = (0..self.agents.len()).filter(|host| self.agents[*host].control.is_up());
        let all: Vec<_> = hosts
            .flat_map(|host| (0..self.agents[host].running.len()).map(move |run| (host, run)))
            .collect();
        if let Some((host, run)) = all.get(place % all.len().max(1)) {
            self.end_run(*host, *run, ending);
        }
    }

    /// Ends a run on a host's backend server.
    pub fn end_run(&mut self, host: usize, place: usize, ending: RunEnding) {
        let running = &mut self.agents[host].running;
        if running.is_empty() {
            return;
        }
        let (run, request) = running.remove(place % running.len());
        let outcome = match ending {
            RunEnding::Answered => {
                let whole = message::WholeAnswer { status: 200, body: answer_body(&request) };
                agent::RunOutcome::Answered(whole)
            }
            RunEnding::Broken => agent::RunOutcome::Broken,
            // A backend server that sheds says that it has not run the request: take it back.
            RunEnding::Shed => {
                self.book.take_back_run(&request);
                agent::RunOutcome::Shed { after_s: None }
            }
        };
        self.handle_agent(host, agent::AgentEvent::RunEnded { run, outcome });
    }

    /// Tells an agent to drain.
    pub fn drain(&mut self, host: usize) {
        if !self.agents[host].control.is_up() {
            return;
        }
        let process = &mut self.agents[host];
        process.begun_before_drain = self.book.paths_of_all();
        process.flows_before_drain = process.engine.owned_flows().into_iter().collect();
        let now = self.now;
        process.control.prober.set_phase(membership::MemberPhase::Draining, now);
        self.handle_agent(host, agent::AgentEvent::Drain);
        self.publish(host);
    }

    /// Lets a draining agent that has nothing in progress hand over and leave.
    pub fn finish_drain(&mut self, host: usize) {
        let process = &self.agents[host];
        let is_idle = process.engine.is_draining() && process.engine.backlog(self.now).is_idle();
        if !process.control.is_up() || !is_idle {
            return;
        }
        let records = process.engine.export_records();
        let successors = process.engine.successors();
        let successor = successors
            .into_iter()
            .find_map(|instance| self.process_of(instance).map(|process| (instance, process)));
        if let Some((_, successor)) = successor {
            for (home, entries) in records {
                let event = agent::AgentEvent::Adopt { home, entries, is_last: true };
                self.handle_agent(successor, event);
            }
        }
        let successor = successor.map(|(instance, _)| instance);
        let now = self.now;
        let phase = membership::MemberPhase::Left { successor };
        self.agents[host].control.prober.set_phase(phase, now);
        self.gossip(host);
        self.agents[host].control.is_running = false;
    }

    fn publish(&mut self, process: usize) {
        let view = sync::Arc::new(self.control(process).prober.view().clone());
        match process.checked_sub(self.agents.len()) {
            None => self.handle_agent(process, agent::AgentEvent::View(view)),
            Some(balancer) => {
                self.handle_balancer(balancer, None, balancer::BalancerEvent::View(view));
            }
        }
    }

    fn publish_config(&mut self, process: usize) {
        let state = self.control(process).state.clone();
        match process.checked_sub(self.agents.len()) {
            None => self.handle_agent(process, agent::AgentEvent::Config(state)),
            Some(balancer) => {
                self.handle_balancer(balancer, None, balancer::BalancerEvent::Config(state));
            }
        }
    }

    fn caller_at(&self, address: net::SocketAddr) -> Option<usize> {
        (0..self.book.callers.len()).find(|caller| caller_address(*caller) == address)
    }

    fn fresh_instance(&mut self) -> ids::InstanceId {
        self.next_instance += 1;
        ids::InstanceId(ids::mix_words(self.next_instance, 77) | 1)
    }

    fn fresh_seed(&mut self) -> u64 {
        self.next_seed += 1;
        self.next_seed
    }
}

/// How a run ends.
#[derive(Clone, Copy, Debug)]
pub enum RunEnding {
    Answered,
    Broken,
    Shed,
}

/// What a backend server answers to a request: its path, so that each has an answer of its own.
pub fn answer_body(request: &message::CallerRequest) -> Vec<u8> {
    format!("answer to {}", request.path).into_bytes()
}

/// Answers in the world carry their token in front of the payload.
fn with_token(answer: message::AgentAnswer, token: &[u8]) -> message::AgentAnswer {
    match answer {
        message::AgentAnswer::Body { status, payload, block, body_tag } => {
            let payload = [token, &payload].concat();
            message::AgentAnswer::Body { status, payload, block, body_tag }
        }
        other => other,
    }
}

fn number_in(payload: &[u8]) -> Option<usize> {
    let bytes: [u8; 4] = payload.try_into().ok()?;
    Some(u32::from_le_bytes(bytes) as usize)
}

fn flow_host(payload: &[u8]) -> ids::InstanceId {
    let bytes: [u8; 8] = payload.try_into().unwrap_or_default();
    ids::InstanceId(u64::from_le_bytes(bytes))
}

fn first_configuration() -> config::ConfigDelta {
    let generation = ids::ConfigGeneration(1);
    let mut keys = ticket::KeyRing::default();
    let secret = [9; 32];
    keys.insert(ticket::SealingKey { id: 1, active_from: ids::UnixMillis(0), secret });
    let spec = |service: usize| manifest::ServiceSpec {
        name: SERVICES[service].to_owned(),
        requests: Some(request_address(service)),
        datagrams: Some(flow_address(service)),
        streams: Vec::new(),
        host_slots: 2,
        host_connections: 50,
        rules: manifest::ServiceRules { slow_start_s: 0, ..manifest::ServiceRules::default() },
    };
    config::ConfigDelta {
        since: ids::ConfigGeneration(0),
        generation,
        changed: (0..SERVICES.len()).map(|service| (generation, spec(service))).collect(),
        removed: Vec::new(),
        removed_from: ids::ConfigGeneration(0),
        keys,
        data_centres: vec!["a".to_owned()],
    }
}

/// Runs that a process has started and not ended.
pub type RunningList = Vec<(admission::RunId, message::CallerRequest)>;

/// Flows by key.
pub type FlowSet = collections::HashSet<placement::FlowKey>;
