//! Where a caller's segment goes, and what is refused.

use std::collections;
use std::net;
use std::sync;

use rand::SeedableRng as _;
use rand::rngs;

use crate::config;
use crate::ids;
use crate::stream;
use crate::stream::board;
use crate::stream::host;
use crate::stream::lookup;
use crate::stream::message;
use crate::stream::note;
use crate::stream::owners;
use crate::stream::parked;
use crate::stream::pause;
use crate::stream::segment;

/// How often every agent and balancer hears of this one, in milliseconds.
///
/// A newer configuration is noticed by it, and a new balancer is: both have seconds.
const REPORT_MS: u64 = 200;

/// How long another balancer may be unheard and still be told of, in milliseconds.
const HEARD_MS: u64 = 1_000;

/// How long a balancer that is not heard still gets reports, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// How many agents may have an opening although their slots are in use, before it is refused.
///
/// A full host answers within a round trip; two more tries cost the caller a few milliseconds and
/// find the host that has just given back a slot.
const QUEUED_TRIES: usize = 3;

#[derive(Clone, Copy, Debug)]
struct PeerBalancer {
    heard: ids::UnixMillis,
    is_heard: bool,
    is_leaving: bool,
    reaches_platform: bool,
}

/// What one balancer decides of streams.
#[derive(Debug)]
pub struct StreamBalancer {
    config: stream::StreamConfig,
    state: sync::Arc<config::ConfigState>,
    board: board::AgentBoard,
    owners: owners::StreamOwners,
    searches: lookup::OwnerSearches,
    parked: parked::ParkedOpenings,
    pause: pause::PauseGuard,
    peers: collections::BTreeMap<net::SocketAddrV4, PeerBalancer>,
    random: rngs::SmallRng,
    /// Whether the list of announced processes has been read in this run.
    knows_members: bool,
    reported: ids::UnixMillis,
    reaches_platform: bool,
    is_leaving: bool,
}

impl StreamBalancer {
    /// A balancer that knows nothing yet.
    pub fn new(config: stream::StreamConfig, now: ids::UnixMillis) -> StreamBalancer {
        StreamBalancer {
            state: sync::Arc::default(),
            board: board::AgentBoard::new(config.data_centre),
            owners: owners::StreamOwners::default(),
            searches: lookup::OwnerSearches::default(),
            parked: parked::ParkedOpenings::default(),
            pause: pause::PauseGuard::new(now),
            peers: collections::BTreeMap::new(),
            random: rngs::SmallRng::seed_from_u64(config.seed),
            knows_members: false,
            reported: ids::UnixMillis(0),
            reaches_platform: false,
            is_leaving: false,
            config,
        }
    }

    /// Takes in an event.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: stream::StreamEvent<'_>,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if let Some(still_ms) = self.pause.note(now) {
            actions.push(note(note::StreamNote::Resumed { still_ms }));
        }
        match event {
            stream::StreamEvent::Segment(segment)
                if segment.head.is_opening() && self.pause.is_resuming(now) => {}
            stream::StreamEvent::Segment(segment) => self.take_segment(&segment, now, actions),
            stream::StreamEvent::Message { from, message, head } => {
                self.hear(from, message, head, now, actions);
            }
            stream::StreamEvent::Config(state) => {
                if state.generation() > self.state.generation() {
                    let generation = state.generation();
                    actions.push(note(note::StreamNote::ConfigInForce { generation }));
                    self.state = state;
                    self.report(now, actions);
                }
            }
            stream::StreamEvent::Seeds(seeds) => {
                for balancer in seeds {
                    self.meet(balancer, now);
                }
                self.report(now, actions);
            }
            stream::StreamEvent::Members(members) => self.take_members(&members, now, actions),
            stream::StreamEvent::Platform(reaches) => self.reaches_platform = reaches,
            stream::StreamEvent::HostReport(_) | stream::StreamEvent::HostLeft(_) => {}
            stream::StreamEvent::Leave => {
                self.is_leaving = true;
                self.report(now, actions);
            }
            stream::StreamEvent::Tick => self.tick(now, actions),
        }
    }

    fn take_segment(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_caller();
        let service = self.service_at(key);
        if segment.head.is_opening() {
            match service {
                Some(service) => self.open(key, service, segment, now, actions),
                // Without any configuration it is not known that there is no such service.
                None if self.state.generation() == ids::ConfigGeneration(0) => {}
                None => self.reset(key, 0, note::ResetReason::NoService, actions),
            }
            return;
        }
        let target = self.owners.touch(key).and_then(|owner| {
            owner.is_ended |= segment.head.flags.ends || segment.head.flags.resets;
            owner.guess_next(now);
            owner.target(segment.head.acknowledged)
        });
        match target {
            Some(agent) => self.carry(agent, message::CarryKind::Held, segment.bytes, actions, key),
            None => self.search(key, service, segment, now, actions),
        }
    }

    fn take_members(
        &mut self,
        members: &[stream::AnnouncedMember],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in members {
            match member.service {
                Some(_) => self.board.note_address(member.address, now),
                None => self.meet(member.address, now),
            }
        }
        self.knows_members = true;
        self.report(now, actions);
    }

    fn open(
        &mut self,
        key: segment::StreamKey,
        service: ids::ServiceId,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let owner = match self.owners.touch(key) {
            Some(owner) if !owner.is_over(now) => Some(owner),
            _ => None,
        };
        let copies = segment.head.acknowledged;
        let (holder, repeated) = match owner {
            Some(owner) => {
                // The network itself may double a segment: that is no new try of the caller.
                let is_new = copies > owner.copies;
                owner.copies = owner.copies.max(copies);
                let last = owner.tried.last().copied().filter(|_| !is_new);
                (owner.holders.first().map(|(agent, _)| *agent), last)
            }
            None => (None, None),
        };
        match holder.or(repeated) {
            _ if self.parked.contains(key) => {}
            // The answer to an earlier copy was lost on its way to the caller.
            Some(agent) if self.board.is_fresh(agent, now) => {
                self.carry(agent, message::CarryKind::Open, segment.bytes, actions, key);
            }
            _ => self.place(key, service, segment.bytes, now, actions),
        }
    }

    /// Sends an opening to the best agent that has not had it yet.
    fn place(
        &mut self,
        key: segment::StreamKey,
        service: ids::ServiceId,
        bytes: &[u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let is_known = self.owners.touch(key).is_some_and(|owner| !owner.is_over(now));
        if !is_known {
            self.owners.put(key, owners::StreamOwner::new(now));
        }
        let Some(owner) = self.owners.touch(key) else { return };
        let tried = owner.tried.len() + owner.queued.len();
        let free = self.board.choose(service, &owner.tried, now, &mut self.random);
        let (kind, choice) = match free {
            Some(choice) if choice.has_room => (message::CarryKind::Open, choice),
            _ if owner.queued.len() >= QUEUED_TRIES => {
                return self.reset(key, 0, note::ResetReason::AllRefused, actions);
            }
            _ => match self.board.choose(service, &owner.queued, now, &mut self.random) {
                Some(choice) => (message::CarryKind::OpenQueued, choice),
                None if owner.queued.is_empty() => return self.park(key, bytes, now, actions),
                None => return self.reset(key, 0, note::ResetReason::AllRefused, actions),
            },
        };
        if kind == message::CarryKind::OpenQueued {
            owner.queued.push(choice.address);
        }
        owner.tried.retain(|agent| *agent != choice.address);
        owner.tried.push(choice.address);
        self.board.note_sent(choice.address);
        actions.push(note(note::StreamNote::Placed {
            stream: key,
            agent: choice.address,
            tried,
            busy: choice.busy,
            report_age_ms: choice.report_age_ms,
            generation: self.state.generation().0,
        }));
        self.carry(choice.address, kind, bytes, actions, key);
    }

    /// Has an opening wait for an agent, or gives it up where it has waited long enough.
    fn park(
        &mut self,
        key: segment::StreamKey,
        bytes: &[u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let opened = self.owners.touch(key).map_or(now, |owner| owner.opened);
        let opening = parked::ParkedOpening { key, bytes: bytes.to_vec() };
        if self.parked.park(opening, opened, now) {
            return;
        }
        let hears_agents = self.board.heard().next().is_some();
        match hears_agents {
            true => self.reset(key, 0, note::ResetReason::NoAgent, actions),
            // Cut off or just started: that nobody is there is not known. The caller's next copy
            // may come through a balancer that knows more.
            false => self.owners.remove(key),
        }
    }

    /// Tries the openings that wait once more, with all agents.
    fn place_parked(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        for opening in self.parked.take_all() {
            let Some(service) = self.service_at(opening.key) else {
                self.reset(opening.key, 0, note::ResetReason::NoService, actions);
                continue;
            };
            if let Some(owner) = self.owners.touch(opening.key) {
                owner.tried.clear();
                owner.queued.clear();
            }
            self.place(opening.key, service, &opening.bytes, now, actions);
        }
    }

    fn carry(
        &self,
        agent: net::SocketAddrV4,
        kind: message::CarryKind,
        bytes: &[u8],
        actions: &mut Vec<stream::StreamAction>,
        key: segment::StreamKey,
    ) {
        // A stream whose address the configuration no longer names goes on where it is.
        let known = || self.board.get(agent)?.report.as_ref().map(|report| report.service);
        let service = self.service_at(key).or_else(known).unwrap_or_default();
        let carry = message::CarryMessage {
            kind,
            service,
            generation: self.state.generation(),
            segment: bytes.to_vec(),
        };
        let message = message::StreamMessage::Carry(carry);
        actions.push(stream::StreamAction::Tell(agent, message));
    }

    fn search(
        &mut self,
        key: segment::StreamKey,
        service: Option<ids::ServiceId>,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let holders = self.board.holders(service);
        let asked = holders.len();
        if self.searches.wait(key, service, asked, segment, now) != lookup::WaitOutcome::Began {
            return;
        }
        actions.push(note(note::StreamNote::Searched { stream: key, asked }));
        for agent in holders {
            let caller_expects = segment.head.acknowledged;
            let find = message::StreamMessage::Find { key, caller_expects };
            actions.push(stream::StreamAction::Tell(agent, find));
        }
    }

    fn hear(
        &mut self,
        from: net::SocketAddrV4,
        message: &message::StreamMessage,
        head: Option<segment::SegmentHead>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match (message, head) {
            (message::StreamMessage::Return(returned), Some(head)) => {
                self.take_returned(from, returned, &head, now, actions);
            }
            (message::StreamMessage::Held { key, first_sequence, load }, _) => {
                self.board.hear_load(from, *load, now);
                self.take_held(from, *key, *first_sequence, now, actions);
            }
            (message::StreamMessage::Absent { key, is_sure }, _) => {
                if let Some(search) = self.searches.deny(*key, from, *is_sure) {
                    self.conclude(*key, search, now, actions);
                }
            }
            (message::StreamMessage::Agent(report), _) => {
                self.hear_agent(from, report, now, actions);
            }
            (message::StreamMessage::Balancer(report), _) => {
                self.hear_balancer(from, report, now, actions);
            }
            _ => {}
        }
    }

    fn hear_agent(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::AgentReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.board.hear(from, report, now) {
            actions.push(note(note::StreamNote::AgentChanged {
                agent: from,
                run: report.agent.to_string(),
                phase: report.phase,
                is_heard: true,
            }));
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    fn hear_balancer(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.meet(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            let is_news = !peer.is_heard;
            *peer = PeerBalancer {
                heard: now,
                is_heard: true,
                is_leaving: report.is_leaving,
                reaches_platform: report.reaches_platform,
            };
            if is_news {
                let changed = note::StreamNote::BalancerChanged { balancer: from, is_heard: true };
                actions.push(note(changed));
                actions.push(stream::StreamAction::Tell(from, self.own_report(true)));
            }
        }
        for balancer in &report.balancers {
            self.meet(*balancer, now);
        }
        for agent in &report.agents {
            if self.board.get(*agent).is_none() {
                self.board.note_address(*agent, now);
                actions.push(stream::StreamAction::Tell(*agent, self.own_report(false)));
            }
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    fn meet(&mut self, balancer: net::SocketAddrV4, now: ids::UnixMillis) {
        if balancer != self.config.address {
            self.peers.entry(balancer).or_insert(PeerBalancer {
                heard: now,
                is_heard: false,
                is_leaving: false,
                reaches_platform: false,
            });
        }
    }

    fn take_returned(
        &mut self,
        from: net::SocketAddrV4,
        returned: &message::ReturnMessage,
        head: &segment::SegmentHead,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = head.key_from_caller();
        actions.push(note(note::StreamNote::returned(key, from, returned.reason)));
        self.board.hear_load(from, returned.load, now);
        match returned.reason {
            message::ReturnReason::NotServing => {
                self.board.note_refusal(from, host::HostPhase::Draining);
            }
            message::ReturnReason::Silent => {
                self.board.note_refusal(from, host::HostPhase::Unknown);
            }
            _ => {}
        }
        if returned.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
        let service = self.service_at(key);
        match service {
            Some(service) if head.is_opening() => {
                let is_held = self.owners.touch(key).is_some_and(|o| !o.holders.is_empty());
                if !is_held {
                    self.place(key, service, &returned.segment, now, actions);
                }
            }
            None if head.is_opening() => {
                self.reset(key, 0, note::ResetReason::NoService, actions);
            }
            _ => {
                let segment = segment::StreamSegment { head: *head, bytes: &returned.segment };
                self.try_next(key, from, &segment, now, actions);
            }
        }
    }

    /// Sends a segment on that one agent's backend server turned out not to hold.
    fn try_next(
        &mut self,
        key: segment::StreamKey,
        from: net::SocketAddrV4,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let Some(owner) = self.owners.touch(key) else { return };
        owner.drop_holder(from);
        if owner.holders.is_empty()
            && let Some(agent) = owner.candidates.pop()
        {
            owner.holders.push((agent, None));
        }
        let target = owner.holders.first().map(|(agent, _)| *agent);
        let (is_ended, search) = (owner.is_ended, owner.search);
        match target {
            Some(agent) => {
                self.carry(agent, message::CarryKind::Held, segment.bytes, actions, key);
            }
            // The last segments of a stream that its caller has ended matter to nobody.
            None if is_ended => self.owners.remove(key),
            None if search == owners::SearchState::Complete => {
                let expected = segment.head.acknowledged;
                self.reset(key, expected, note::ResetReason::HeldNowhere, actions);
            }
            // Searching again at once would carry the segment round the hosts until all answer;
            // its caller repeats it, and later each time.
            None if search == owners::SearchState::Incomplete => self.owners.remove(key),
            None => {
                self.owners.remove(key);
                let service = self.service_at(key);
                self.search(key, service, segment, now, actions);
            }
        }
    }

    fn take_held(
        &mut self,
        from: net::SocketAddrV4,
        key: segment::StreamKey,
        first_sequence: Option<u32>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match self.owners.touch(key) {
            Some(owner) => {
                owner.hold(from, first_sequence);
            }
            None => {
                let holders = vec![(from, first_sequence)];
                self.owners
                    .put(key, owners::StreamOwner { holders, ..owners::StreamOwner::new(now) });
            }
        }
        if let Some(search) = self.searches.end(key) {
            actions.push(note(note::StreamNote::Found { stream: key, agent: from }));
            for segment in &search.waiting {
                self.carry(from, message::CarryKind::Held, segment, actions, key);
            }
        }
    }

    /// Ends a search in which no agent said that it holds the stream.
    ///
    /// Where every process that is announced has answered so, the stream is open nowhere: its
    /// backend server has died. Its caller is told, and tries again within its aim; without it, it
    /// would send into nothing until its deadline. Whoever holds a stream is announced: each
    /// process announces itself before it reads who else is, so of two one sees the other.
    fn conclude(
        &mut self,
        key: segment::StreamKey,
        search: lookup::OwnerSearch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let is_complete = self.knows_members && search.is_answered() && search.asked > 0;
        let mut unsure = search.unsure;
        let Some(agent) = unsure.pop() else {
            if is_complete {
                let expected = search.caller_expects;
                return self.reset(key, expected, note::ResetReason::HeldNowhere, actions);
            }
            actions.push(note(note::StreamNote::NotFound {
                stream: key,
                asked: search.asked,
                denied: search.denied,
            }));
            return;
        };
        // Agents that started later than their backend servers find out by handing the segment on.
        let owner = owners::StreamOwner {
            candidates: unsure,
            search: match is_complete {
                true => owners::SearchState::Complete,
                false => owners::SearchState::Incomplete,
            },
            ..owners::StreamOwner::held_by(agent, now)
        };
        self.owners.put(key, owner);
        for segment in &search.waiting {
            self.carry(agent, message::CarryKind::Probe, segment, actions, key);
        }
    }

    fn tick(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        for (key, search) in self.searches.expire(now) {
            self.conclude(key, search, now, actions);
        }
        for agent in self.board.sweep(now) {
            let known = self.board.get(agent).and_then(|known| known.report.as_ref());
            if let Some(report) = known {
                actions.push(note(note::StreamNote::AgentChanged {
                    agent,
                    run: report.agent.to_string(),
                    phase: report.phase,
                    is_heard: false,
                }));
            }
        }
        self.place_parked(now, actions);
        self.owners.turn(now);
        if now.since(self.reported) >= REPORT_MS {
            self.forget_peers(now, actions);
            self.report(now, actions);
        }
    }

    fn forget_peers(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.peers.retain(|_, peer| {
            now.since(peer.heard) <= if peer.is_leaving { HEARD_MS } else { KEPT_MS }
        });
        for (balancer, peer) in &mut self.peers {
            if peer.is_heard && now.since(peer.heard) > HEARD_MS {
                peer.is_heard = false;
                let balancer = *balancer;
                let changed = note::StreamNote::BalancerChanged { balancer, is_heard: false };
                actions.push(note(changed));
            }
        }
    }

    fn report(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.reported = now;
        let to_agents = self.own_report(false);
        for agent in self.board.addresses() {
            actions.push(stream::StreamAction::Tell(agent, to_agents.clone()));
        }
        let to_peers = self.own_report(true);
        for peer in self.peers.keys() {
            actions.push(stream::StreamAction::Tell(*peer, to_peers.clone()));
        }
    }

    fn reset(
        &mut self,
        key: segment::StreamKey,
        sequence: u32,
        reason: note::ResetReason,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.owners.remove(key);
        let generation = self.state.generation().0;
        actions.push(note(note::StreamNote::Reset { stream: key, reason, generation }));
        actions.push(stream::StreamAction::Reset(key, sequence));
    }
}

impl StreamBalancer {
    /// The configuration that this balancer holds.
    pub fn state(&self) -> &config::ConfigState {
        &self.state
    }

    /// Whether it can place streams: it has a configuration, knows agents and stays.
    pub fn is_ready(&self) -> bool {
        let has_config = self.state.generation() > ids::ConfigGeneration(0);
        has_config && !self.is_leaving && self.board.heard().next().is_some()
    }

    /// Whether this balancer is one of the first `limit` of those that reach the platform.
    ///
    /// Each of the others need not watch the platform: it hears from these. Views differ for a
    /// while, so there may be a few more or fewer, which costs some calls or some milliseconds.
    pub fn is_watcher(&self, limit: usize) -> bool {
        let rank = |address: &net::SocketAddrV4| {
            ids::mix_words(u64::from(address.ip().to_bits()), u64::from(address.port()))
        };
        let own = rank(&self.config.address);
        let reaching = self.peers.iter().filter(|(_, peer)| peer.is_heard && peer.reaches_platform);
        reaching.filter(|(address, _)| rank(address) > own).count() < limit
    }

    /// Whether another balancer has been heard lately.
    pub fn hears_balancer(&self) -> bool {
        self.peers.values().any(|peer| peer.is_heard)
    }

    /// How many streams and searches there are.
    pub fn sizes(&self) -> (usize, usize) {
        (self.owners.len(), self.searches.len())
    }

    /// What is known of the agents.
    pub fn board(&self) -> &board::AgentBoard {
        &self.board
    }

    fn service_at(&self, key: segment::StreamKey) -> Option<ids::ServiceId> {
        let entry = self.state.entry_at(net::SocketAddr::V4(key.entry));
        entry.filter(|e| e.kind == config::EntryKind::Streams).map(|entry| entry.service)
    }

    fn own_report(&self, to_balancer: bool) -> message::StreamMessage {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard && !peer.is_leaving);
        message::StreamMessage::Balancer(message::BalancerReport {
            generation: self.state.generation(),
            is_leaving: self.is_leaving,
            reaches_platform: self.reaches_platform && !self.is_leaving,
            balancers: heard.map(|(address, _)| *address).collect(),
            agents: match to_balancer {
                true => self.board.heard().collect(),
                false => Vec::new(),
            },
        })
    }
}

fn note(note: note::StreamNote) -> stream::StreamAction {
    stream::StreamAction::Note(note)
}
