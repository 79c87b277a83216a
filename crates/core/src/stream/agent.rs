//! What one backend server is handed, and what it gives back.
//!
//! The agent keeps alone what must hold of its backend server: no opening for another service, none
//! once it has said that it leaves, no more at a time than it has slots for unless the balancer
//! knows of no better place.

use std::collections;
use std::net;
use std::sync;

use crate::config;
use crate::ids;
use crate::load;
use crate::stream;
use crate::stream::held;
use crate::stream::host;
use crate::stream::message;
use crate::stream::note;
use crate::stream::pause;
use crate::stream::segment;

/// How often every balancer hears of the work in progress, in milliseconds.
///
/// Placement compares reports and what was sent since; at 100 ms a host with 5 slots and 40 ms a
/// request has turned over a dozen requests, about as many as one balancer sends it meanwhile.
pub const REPORT_MS: u64 = 100;

/// How long the backend server may take to answer an opening, in milliseconds.
///
/// It does so at once, before any work: far more than that means that it hangs or is gone, and the
/// caller's own copy only comes after 200 ms.
const OPENING_ANSWER_MS: u64 = 80;

/// How long a backend server that left openings unanswered gets no more, in milliseconds.
const SILENCE_MS: u64 = 1_000;

/// How many requests may wait at the backend server for each slot, where no other has a free one.
///
/// Backend servers queue more, but a request that waits three turns, each some 60 ms just after a
/// start, misses its caller's aim of 150 to 250 ms, and so do all behind it. With 3 in place of 1
/// less is served in time after a restart of everything (docs/MEASURES.md).
const QUEUE_PER_SLOT: u32 = 1;

/// How long a balancer that is not heard still gets reports, in milliseconds.
const BALANCER_KEPT_MS: u64 = 30_000;

/// A balancer counts as heard for so long after its last report, in milliseconds.
const BALANCER_HEARD_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct KnownBalancer {
    heard: ids::UnixMillis,
    is_heard: bool,
    is_leaving: bool,
}

impl KnownBalancer {
    fn unheard(now: ids::UnixMillis) -> KnownBalancer {
        KnownBalancer { heard: now, is_heard: false, is_leaving: false }
    }

    /// How long it is told of after its last report.
    fn kept_ms(&self) -> u64 {
        if self.is_leaving { BALANCER_HEARD_MS } else { BALANCER_KEPT_MS }
    }
}

/// What one agent decides of streams.
#[derive(Debug)]
pub struct StreamAgent {
    config: stream::StreamConfig,
    state: sync::Arc<config::ConfigState>,
    host: host::HostState,
    held: held::HeldStreams,
    pause: pause::PauseGuard,
    balancers: collections::HashMap<net::SocketAddrV4, KnownBalancer>,
    started: ids::UnixMillis,
    /// Whether every stream of the backend server was opened under this run of the agent.
    has_seen_all: bool,
    silent_until: ids::UnixMillis,
    reported: ids::UnixMillis,
    swept: ids::UnixMillis,
    report_sequence: u64,
    is_leaving: bool,
}

impl StreamAgent {
    /// An agent that knows nothing yet.
    pub fn new(config: stream::StreamConfig, now: ids::UnixMillis) -> StreamAgent {
        StreamAgent {
            config,
            state: sync::Arc::default(),
            host: host::HostState::default(),
            held: held::HeldStreams::default(),
            pause: pause::PauseGuard::new(now),
            balancers: collections::HashMap::new(),
            started: now,
            has_seen_all: false,
            silent_until: ids::UnixMillis(0),
            reported: ids::UnixMillis(0),
            swept: ids::UnixMillis(0),
            report_sequence: 0,
            is_leaving: false,
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
            stream::StreamEvent::Segment(segment) if segment.head.flags.given_back => {
                self.take_back(&segment, actions);
            }
            stream::StreamEvent::Segment(segment) => self.pass_out(&segment, now, actions),
            stream::StreamEvent::Message { from, message, head } => {
                self.hear(from, message, head, now, actions);
            }
            stream::StreamEvent::Config(state) => {
                if state.generation() > self.state.generation() {
                    let generation = state.generation();
                    actions.push(note(note::StreamNote::ConfigInForce { generation }));
                    self.state = state;
                }
            }
            stream::StreamEvent::Seeds(seeds) => self.meet(&seeds, now, actions),
            stream::StreamEvent::Members(members) => {
                let balancers = members.iter().filter(|member| member.service.is_none());
                let balancers: Vec<_> = balancers.map(|member| member.address).collect();
                self.meet(&balancers, now, actions);
            }
            stream::StreamEvent::Platform(_) => {}
            stream::StreamEvent::HostReport(report) => self.hear_host(&report, now, actions),
            stream::StreamEvent::HostLeft(run) => self.host_left(&run, now, actions),
            stream::StreamEvent::Leave => {
                self.is_leaving = true;
                self.report(now, actions);
            }
            stream::StreamEvent::Tick => self.tick(now, actions),
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
            (message::StreamMessage::Carry(carry), Some(head)) => {
                let segment = segment::StreamSegment { head, bytes: &carry.segment };
                self.take_carried(from, carry, &segment, now, actions);
            }
            (message::StreamMessage::Find { key, caller_expects }, _) => {
                let message = match self.held.get(*key) {
                    Some(stream) if !stream.matches(*caller_expects) => {
                        message::StreamMessage::Absent { key: *key, is_sure: true }
                    }
                    Some(stream) if self.held.is_open(*key) => message::StreamMessage::Held {
                        key: *key,
                        first_sequence: stream.first_sequence,
                        load: self.load(),
                    },
                    _ => message::StreamMessage::Absent { key: *key, is_sure: self.is_sure(now) },
                };
                actions.push(stream::StreamAction::Tell(from, message));
            }
            (message::StreamMessage::Balancer(report), _) => {
                self.hear_balancer(from, report, now, actions);
            }
            _ => {}
        }
    }

    fn meet(
        &mut self,
        balancers: &[net::SocketAddrV4],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for balancer in balancers {
            let unknown = KnownBalancer::unheard(now);
            self.balancers.entry(*balancer).or_insert(unknown);
        }
        self.report(now, actions);
    }

    fn hear_balancer(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let unknown = KnownBalancer::unheard(now);
        for other in &report.balancers {
            self.balancers.entry(*other).or_insert(unknown);
        }
        let known = self.balancers.entry(from).or_insert(unknown);
        known.heard = now;
        // The network sends to a balancer for a while after it has said that it leaves, and until
        // then it needs reports like any other.
        known.is_leaving = report.is_leaving;
        if !known.is_heard {
            known.is_heard = true;
            let changed = note::StreamNote::BalancerChanged { balancer: from, is_heard: true };
            actions.push(note(changed));
            let report = self.own_report(now);
            actions.push(stream::StreamAction::Tell(from, report));
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    fn take_carried(
        &mut self,
        from: net::SocketAddrV4,
        carry: &message::CarryMessage,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if carry.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
        let key = segment.head.key_from_caller();
        let marks = segment::SegmentMarks {
            origin: *from.ip(),
            is_owned: carry.kind == message::CarryKind::Held,
        };
        match segment.head.is_opening() {
            true if self.pause.is_resuming(now) => {}
            true => match self.refusal(key, carry, now) {
                Some(reason) => {
                    let message = self.returned(reason, segment.bytes);
                    actions.push(note(note::StreamNote::returned(
                        key,
                        self.config.address,
                        reason,
                    )));
                    actions.push(stream::StreamAction::Tell(from, message));
                }
                None => {
                    self.held.open(key, from, segment.bytes, now);
                    actions.push(stream::StreamAction::HandOver(marks, segment.bytes.to_vec()));
                }
            },
            false if carry.service != self.config.service => {
                let reason = message::ReturnReason::OtherService;
                let message = self.returned(reason, segment.bytes);
                actions.push(stream::StreamAction::Tell(from, message));
            }
            // The caller has taken another backend server's answer to a copy of its opening. Handed
            // over, the segment would be lost, and this half would count as work.
            false if self.is_other_half(key, segment.head.acknowledged) => {
                self.held.remove(key);
                let message = self.returned(message::ReturnReason::NotHeld, segment.bytes);
                actions.push(stream::StreamAction::Tell(from, message));
            }
            false => {
                self.held.hear_caller(key, &segment.head, from, now);
                actions.push(stream::StreamAction::HandOver(marks, segment.bytes.to_vec()));
            }
        }
    }

    fn hear_host(
        &mut self,
        report: &host::HostReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let outcome = self.host.hear(report, now);
        let mut reset = 0;
        match outcome {
            host::ReportOutcome::Unchanged => return,
            host::ReportOutcome::Stale => {
                let run = report.run.clone();
                let sequence = report.sequence;
                actions.push(note(note::StreamNote::StaleReport { run, sequence }));
                return;
            }
            // Whether an earlier run of the agent handed it streams is not known.
            host::ReportOutcome::Changed => {}
            host::ReportOutcome::Replaced { alive_at } => {
                reset = self.reset_opened_until(alive_at, actions);
                self.has_seen_all = true;
                self.silent_until = ids::UnixMillis(0);
            }
        }
        actions.push(note(note::StreamNote::HostChanged {
            run: report.run.clone(),
            phase: self.phase(now),
            slots: report.slots,
            sequence: report.sequence,
            reset,
        }));
        self.report(now, actions);
    }

    fn host_left(
        &mut self,
        run: &str,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if !self.host.leave(run) {
            return;
        }
        let reset = self.reset_opened_until(now, actions);
        actions.push(note(note::StreamNote::HostChanged {
            run: run.to_owned(),
            phase: host::HostPhase::Gone,
            slots: self.host.slots(),
            sequence: 0,
            reset,
        }));
        self.report(now, actions);
    }

    /// Resets the streams of a run that is over, so that their callers can try again in time.
    ///
    /// Without it they would send into nothing until their deadline. The run is known to be dead,
    /// so no stream that could go on is cut.
    fn reset_opened_until(
        &mut self,
        limit: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) -> usize {
        let open = self.held.remove_opened_until(limit);
        for (key, stream) in &open {
            actions.push(stream::StreamAction::Reset(*key, stream.caller_expects));
        }
        open.len()
    }

    /// Takes a segment that the backend server gave back.
    fn take_back(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_caller();
        let reason = match segment.head.is_opening() {
            true => message::ReturnReason::Shed,
            false => message::ReturnReason::NotHeld,
        };
        self.held.remove(key);
        let balancer =
            net::SocketAddrV4::new(segment.head.marks.origin, self.config.address.port());
        let message = self.returned(reason, segment.bytes);
        actions.push(note(note::StreamNote::returned(key, self.config.address, reason)));
        actions.push(stream::StreamAction::Tell(balancer, message));
    }

    /// Sends a segment of the backend server straight to its caller.
    fn pass_out(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_host();
        self.silent_until = ids::UnixMillis(0);
        let news = self.held.hear_host(key, &segment.head, now);
        let opened = news.opened_ms.map(stream::StreamTiming::Opened);
        let answered = news.answered_ms.map(stream::StreamTiming::Answered);
        actions.extend(opened.into_iter().chain(answered).map(stream::StreamAction::Measure));
        if news.is_proof {
            if segment.head.flags.opens {
                let busy = self.held.busy();
                actions.push(note(note::StreamNote::Accepted { stream: key, busy }));
            }
            if let Some(stream) = self.held.get(key) {
                let message = message::StreamMessage::Held {
                    key,
                    first_sequence: stream.first_sequence,
                    load: self.load(),
                };
                actions.push(stream::StreamAction::Tell(stream.balancer, message));
            }
        }
        actions.push(stream::StreamAction::Answer(*key.caller.ip(), segment.bytes.to_vec()));
    }

    fn tick(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.give_back_unanswered(now, actions);
        if now.since(self.reported) < REPORT_MS {
            return;
        }
        let idle_ms = self.config.stream_limit_s * 1_000;
        self.held.sweep(idle_ms, now);
        self.swept = now;
        self.forget_balancers(now, actions);
        self.report(now, actions);
    }

    /// Has openings placed elsewhere that the backend server leaves unanswered.
    ///
    /// The caller repeats its opening only after 200 ms, and its balancer would send that one here
    /// again; two such waits are longer than callers' aims.
    fn give_back_unanswered(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let limit = ids::UnixMillis(now.0.saturating_sub(OPENING_ANSWER_MS));
        while let Some((key, stream)) = self.held.pop_unanswered(limit) {
            self.silent_until = now.plus(SILENCE_MS);
            let waited_ms = OPENING_ANSWER_MS;
            actions.push(note(note::StreamNote::Unanswered { stream: key, waited_ms }));
            let message = self.returned(message::ReturnReason::Silent, &stream.opening);
            actions.push(stream::StreamAction::Tell(stream.balancer, message));
        }
    }

    fn forget_balancers(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.balancers.retain(|_, known| now.since(known.heard) <= known.kept_ms());
        for (balancer, known) in &mut self.balancers {
            if known.is_heard && now.since(known.heard) > BALANCER_HEARD_MS {
                known.is_heard = false;
                let balancer = *balancer;
                let changed = note::StreamNote::BalancerChanged { balancer, is_heard: false };
                actions.push(note(changed));
            }
        }
    }

    fn report(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.reported = now;
        self.report_sequence += 1;
        let report = self.own_report(now);
        for balancer in self.balancers.keys() {
            actions.push(stream::StreamAction::Tell(*balancer, report.clone()));
        }
    }
}

impl StreamAgent {
    /// Whether the backend server takes new streams, as balancers are told.
    pub fn phase(&self, now: ids::UnixMillis) -> host::HostPhase {
        match self.host.phase(self.config.host_report_ms, now) {
            host::HostPhase::Serving if self.is_leaving => host::HostPhase::Draining,
            host::HostPhase::Serving if now < self.silent_until => host::HostPhase::Unknown,
            phase => phase,
        }
    }

    /// What is in progress at the backend server.
    pub fn load(&self) -> load::LoadReport {
        let slots = self.host.slots();
        let busy = self.held.busy();
        load::LoadReport {
            sequence: self.report_sequence,
            running: busy.min(slots),
            queued: busy.saturating_sub(slots),
            slots,
            flows: self.held.open_streams(),
            connections: self.limit_of_streams(),
            failing: false,
        }
    }

    /// The configuration that this agent holds.
    pub fn state(&self) -> &config::ConfigState {
        &self.state
    }

    /// Whether a balancer has been heard lately.
    pub fn hears_balancer(&self) -> bool {
        self.balancers.values().any(|known| known.is_heard)
    }

    /// Whether the backend server is there, as far as it has not said that it has left.
    pub fn has_host(&self) -> bool {
        self.host.is_there()
    }

    /// Whether requests are in progress at the backend server.
    pub fn is_busy(&self) -> bool {
        self.held.busy() > 0
    }

    /// How many streams the backend server holds.
    pub fn streams(&self) -> u32 {
        self.held.open_streams()
    }

    fn limit_of_streams(&self) -> u32 {
        self.state.service(self.config.service).map_or(u32::MAX, |spec| spec.host_connections)
    }

    /// Why an opening is not handed over, if it is not.
    fn refusal(
        &self,
        key: segment::StreamKey,
        carry: &message::CarryMessage,
        now: ids::UnixMillis,
    ) -> Option<message::ReturnReason> {
        let slots = self.host.slots();
        let limit = match carry.kind {
            message::CarryKind::OpenQueued => slots * (1 + QUEUE_PER_SLOT),
            _ => slots,
        };
        let is_copy = self.held.get(key).is_some_and(|s| s.phase != held::WorkPhase::Ended);
        match self.host.phase(self.config.host_report_ms, now) {
            _ if carry.service != self.config.service => Some(message::ReturnReason::OtherService),
            _ if self.is_rerouted(key, carry.generation) => {
                Some(message::ReturnReason::OtherService)
            }
            host::HostPhase::Serving if is_copy => None,
            host::HostPhase::Serving if self.is_leaving => Some(message::ReturnReason::NotServing),
            host::HostPhase::Serving if now < self.silent_until => {
                Some(message::ReturnReason::Silent)
            }
            host::HostPhase::Serving if self.held.open_streams() >= self.limit_of_streams() => {
                Some(message::ReturnReason::Full)
            }
            host::HostPhase::Serving if self.held.busy() >= limit => {
                Some(message::ReturnReason::Full)
            }
            host::HostPhase::Serving => None,
            _ => Some(message::ReturnReason::NotServing),
        }
    }

    /// Whether this agent's configuration does not name its service for the stream's address.
    ///
    /// A balancer that has missed a change would send one service's callers to another's backend
    /// server; whoever has the newer configuration stops it.
    fn is_rerouted(&self, key: segment::StreamKey, generation: ids::ConfigGeneration) -> bool {
        match self.state.entry_at(net::SocketAddr::V4(key.entry)) {
            Some(entry) => entry.service != self.config.service,
            None => self.state.generation() > generation,
        }
    }

    fn is_other_half(&self, key: segment::StreamKey, caller_expects: u32) -> bool {
        self.held.get(key).is_some_and(|stream| !stream.matches(caller_expects))
    }

    /// Whether the agent has seen every stream that its backend server may hold.
    fn is_sure(&self, now: ids::UnixMillis) -> bool {
        let is_old = now.since(self.started) > self.config.stream_limit_s * 1_000;
        self.has_seen_all || is_old
    }

    fn returned(&self, reason: message::ReturnReason, segment: &[u8]) -> message::StreamMessage {
        message::StreamMessage::Return(message::ReturnMessage {
            reason,
            generation: self.state.generation(),
            load: self.load(),
            segment: segment.to_vec(),
        })
    }

    fn own_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Agent(message::AgentReport {
            agent: self.config.instance,
            service: self.config.service,
            data_centre: self.config.data_centre,
            phase: self.phase(now),
            slow_left_ms: self.host.slow_left_ms(now),
            load: self.load(),
            generation: self.state.generation(),
        })
    }
}

fn note(note: note::StreamNote) -> stream::StreamAction {
    stream::StreamAction::Note(note)
}
