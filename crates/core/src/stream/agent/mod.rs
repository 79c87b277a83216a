//! The agent beside one backend server: admits openings, forwards segments and reports to
//! balancers.
//!
//! The agent alone guarantees that its backend server gets no opening for another service, none
//! after it has announced that it leaves, and no more at a time than its slots allow, unless the
//! balancer found no agent with a free slot.

mod admission;
mod host_events;
mod reports;

use std::borrow;
use std::collections;
use std::net;
use std::sync;

use crate::config;
use crate::ids;
use crate::load;
use crate::manifest;
use crate::store_epoch;
use crate::stream;
use crate::stream::evacuation;
use crate::stream::failure_rate;
use crate::stream::host;
use crate::stream::host_streams;
use crate::stream::log_event;
use crate::stream::message;
use crate::stream::moving_average;
use crate::stream::pause;
use crate::stream::report;
use crate::stream::segment;
use crate::stream::slow_start;
use crate::stream::waiting;

/// How long a balancer is sent reports after its own last one, in milliseconds.
const BALANCER_RETENTION_MS: u64 = 30_000;

/// How long a balancer counts as reachable after its last report, in milliseconds: longer than
/// three report intervals in a large fleet.
const BALANCER_TIMEOUT_MS: u64 = 3_500;

/// How long a leaving balancer is sent reports after its own last one, in milliseconds: the network
/// routes callers to it for another second.
const LEAVING_RETENTION_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug)]
struct KnownBalancer {
    last_report: ids::UnixMillis,
    /// Its data centre, once it has reported.
    data_centre: Option<u32>,
    /// When it was last sent a report.
    last_sent: ids::UnixMillis,
    is_reachable: bool,
    /// Whether it has subscribed to reports; before that, it gets introductions only.
    is_subscriber: bool,
    /// How many introductions it was sent.
    introductions: u32,
    is_leaving: bool,
}

impl KnownBalancer {
    fn unreported(now: ids::UnixMillis) -> KnownBalancer {
        KnownBalancer {
            last_report: now,
            data_centre: None,
            last_sent: ids::UnixMillis(0),
            is_reachable: false,
            is_subscriber: false,
            introductions: 0,
            is_leaving: false,
        }
    }

    /// How long it is sent reports after its own last one, in milliseconds.
    fn retention_ms(&self) -> u64 {
        if self.is_leaving { LEAVING_RETENTION_MS } else { BALANCER_RETENTION_MS }
    }
}

/// The state of one agent.
#[derive(Debug)]
pub struct StreamAgent {
    config: stream::StreamConfig,
    state: sync::Arc<config::ConfigState>,
    evacuations: evacuation::KnownEvacuations,
    /// The latest known epoch of the platform's store.
    store_epoch: store_epoch::StoreEpoch,
    host: host::HostState,
    host_streams: host_streams::HostStreams,
    waiting: waiting::OpeningQueue,
    failure_rate: failure_rate::FailureRate,
    slow_start: slow_start::SlowStart,
    /// The time from a request to its answer, in milliseconds.
    answer_ms: moving_average::MovingAverage,
    pause: pause::PauseDetector,
    balancers: collections::HashMap<net::SocketAddrV4, KnownBalancer>,
    started: ids::UnixMillis,
    /// Whether every stream of the backend server was opened through this run of the agent.
    has_seen_all_openings: bool,
    /// When the backend server's run started, if this agent saw it; otherwise zero.
    host_started: ids::UnixMillis,
    /// Until when the backend server gets no openings because it left some unanswered.
    unresponsive_until: ids::UnixMillis,
    /// When a connection probe of the backend server was last requested.
    last_probe: ids::UnixMillis,
    last_report_sent: ids::UnixMillis,
    report_sequence: u64,
    is_leaving: bool,
}

impl StreamAgent {
    /// Creates an agent without a configuration, a backend server or balancers.
    pub fn new(config: stream::StreamConfig, now: ids::UnixMillis) -> StreamAgent {
        StreamAgent {
            state: sync::Arc::default(),
            evacuations: evacuation::KnownEvacuations::default(),
            store_epoch: store_epoch::StoreEpoch::default(),
            host: host::HostState::default(),
            host_streams: host_streams::HostStreams::default(),
            waiting: waiting::OpeningQueue::default(),
            failure_rate: failure_rate::FailureRate::default(),
            slow_start: slow_start::SlowStart::default(),
            answer_ms: moving_average::MovingAverage::default(),
            pause: pause::PauseDetector::new(&config.policy.recovery, now),
            config,
            balancers: collections::HashMap::new(),
            started: now,
            has_seen_all_openings: false,
            host_started: ids::UnixMillis(0),
            unresponsive_until: ids::UnixMillis(0),
            last_probe: ids::UnixMillis(0),
            last_report_sent: ids::UnixMillis(0),
            report_sequence: 0,
            is_leaving: false,
        }
    }

    /// Handles an event and appends the actions that follow.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: stream::StreamEvent<'_>,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if let Some(still_ms) = self.pause.on_activity(now) {
            actions
                .push(stream::StreamAction::Log(log_event::StreamLogEvent::Resumed { still_ms }));
        }
        match event {
            stream::StreamEvent::Segment(segment) if segment.head.flags.is_returned => {
                self.on_returned_segment(&segment, now, actions);
            }
            stream::StreamEvent::Segment(segment) => self.forward_to_caller(&segment, now, actions),
            stream::StreamEvent::Message { from, message, head } => {
                self.on_message(from, message, head, now, actions);
            }
            stream::StreamEvent::Config(state) => {
                if state.generation() > self.state.generation() {
                    let generation = state.generation();
                    actions.push(stream::StreamAction::Log(
                        log_event::StreamLogEvent::ConfigInForce { generation },
                    ));
                    self.state = state;
                }
            }
            stream::StreamEvent::Seeds(seeds) => self.add_balancers(&seeds, now, actions),
            stream::StreamEvent::Members { members, .. } => {
                let balancers = members.iter().filter(|member| member.service.is_none());
                let balancers: Vec<_> = balancers.map(|member| member.address).collect();
                self.add_balancers(&balancers, now, actions);
            }
            // Evacuations arrive in balancers' reports; the others concern balancers alone.
            stream::StreamEvent::Evacuations(_)
            | stream::StreamEvent::Announced(_)
            | stream::StreamEvent::Withdrawn
            | stream::StreamEvent::MachineProbed { .. }
            | stream::StreamEvent::Platform(_) => {}
            stream::StreamEvent::StoreEpoch(epoch) => self.update_store_epoch(epoch, actions),
            stream::StreamEvent::HostReport(report) => self.on_host_report(&report, now, actions),
            stream::StreamEvent::HostLeft(run) => self.on_host_left(&run, now, actions),
            stream::StreamEvent::HostPortClosed => self.on_host_port_closed(now, actions),
            stream::StreamEvent::Leave => {
                self.is_leaving = true;
                self.report_to_all(now, actions);
            }
            stream::StreamEvent::Tick => self.tick(now, actions),
        }
        self.admit_waiting(now, actions);
    }

    fn on_message(
        &mut self,
        from: net::SocketAddrV4,
        message: &message::StreamMessage,
        head: Option<segment::SegmentHeader>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match (message, head) {
            (message::StreamMessage::Carry(carry), Some(head)) => {
                let segment = segment::StreamSegment { head, bytes: &carry.segment };
                self.on_carry(from, carry, &segment, now, actions);
            }
            (message::StreamMessage::Find { key, caller_expects }, _) => {
                let message = match self.host_streams.get(*key) {
                    Some(_) if self.is_half_open_duplicate(*key, *caller_expects) => {
                        message::StreamMessage::Absent { key: *key, is_sure: true }
                    }
                    Some(stream) if self.host_streams.is_open(*key) => {
                        message::StreamMessage::Held {
                            key: *key,
                            first_sequence: stream.first_sequence,
                            load: self.load(now),
                        }
                    }
                    _ => message::StreamMessage::Absent {
                        key: *key,
                        is_sure: self.knows_all_streams(now),
                    },
                };
                actions.push(stream::StreamAction::Send(from, message));
            }
            (message::StreamMessage::FindFormer, _) if self.holds_no_former_stream(now) => {
                let message = message::StreamMessage::NoFormer(self.state.generation());
                actions.push(stream::StreamAction::Send(from, message));
            }
            (message::StreamMessage::Balancer(report), _) => {
                self.on_balancer_report(from, report, now, actions);
            }
            _ => {}
        }
    }

    fn tick(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.return_unanswered(now, actions);
        self.probe_doubtful_host(now, actions);
        if now.since(self.last_report_sent) < u64::from(self.config.policy.reports.near_ms) {
            return;
        }
        self.failure_rate.decay(now.since(self.last_report_sent));
        let idle_ms = self.config.stream_limit_s * 1_000;
        self.host_streams.sweep(idle_ms, now);
        self.sweep_balancers(now, actions);
        self.expire_evacuations(now, actions);
        self.send_due_reports(now, actions);
    }
}

impl StreamAgent {
    /// The phase of the backend server as reported to balancers.
    pub fn phase(&self, now: ids::UnixMillis) -> host::HostPhase {
        match self.host.phase(self.config.host_report_ms, now) {
            host::HostPhase::Serving if self.is_leaving => host::HostPhase::Draining,
            host::HostPhase::Serving if now < self.unresponsive_until => host::HostPhase::Unknown,
            phase => phase,
        }
    }

    /// The load of the backend server.
    ///
    /// While its slow start admits no more openings, all its slots count as in use.
    pub fn load(&self, now: ids::UnixMillis) -> load::LoadReport {
        let slots = self.host.slots();
        let waiting = self.waiting.len() as u32;
        let least = if self.is_rate_limited(now) { slots } else { 0 };
        let busy = self.host_streams.busy().max(least) + waiting;
        load::LoadReport {
            sequence: self.report_sequence,
            running: busy.min(slots),
            queued: busy.saturating_sub(slots),
            slots,
            flows: self.host_streams.open_streams(),
            connections: self.max_streams(),
            failing: self.failure_rate.is_failing(),
        }
    }

    /// The service that this agent was started for.
    pub fn service(&self) -> ids::ServiceId {
        self.config.service
    }

    /// The configuration in force at this agent.
    pub fn config_state(&self) -> &config::ConfigState {
        &self.state
    }

    /// The known evacuations.
    pub fn evacuations(&self) -> &evacuation::KnownEvacuations {
        &self.evacuations
    }

    /// The latest known epoch of the platform's store.
    pub fn store_epoch(&self) -> store_epoch::StoreEpoch {
        self.store_epoch
    }

    /// Whether any balancer is reachable.
    pub fn reaches_balancer(&self) -> bool {
        self.balancers.values().any(|known| known.is_reachable)
    }

    /// Whether a run of the backend server has reported and has neither left nor terminated.
    pub fn is_host_up(&self) -> bool {
        self.host.is_running()
    }

    /// The last run of the backend server that reported, if any.
    pub fn host_run(&self) -> Option<&report::HostRun> {
        self.host.run()
    }

    /// Whether the backend server has work in progress, or openings wait for it.
    pub fn is_busy(&self) -> bool {
        self.host_streams.busy() > 0 || !self.waiting.is_empty()
    }

    /// How many streams the backend server holds.
    pub fn streams(&self) -> u32 {
        self.host_streams.open_streams()
    }

    /// The mean time from a request to its answer, in milliseconds; zero before the first answer.
    fn mean_answer_ms(&self) -> u64 {
        self.answer_ms.get().unwrap_or_default() as u64
    }

    /// The rules of the service; the defaults before there is a configuration.
    fn rules(&self) -> borrow::Cow<'_, manifest::ServiceRules> {
        match self.state.service(self.config.service) {
            Some(spec) => borrow::Cow::Borrowed(&spec.rules),
            None => borrow::Cow::Owned(manifest::ServiceRules::default()),
        }
    }

    /// Whether the slow start of the backend server admits no further opening now.
    fn is_rate_limited(&self, now: ids::UnixMillis) -> bool {
        self.slow_start.is_limit_reached(&self.rules(), self.config.slow_start, now)
    }

    fn max_streams(&self) -> u32 {
        self.state.service(self.config.service).map_or(u32::MAX, |spec| spec.host_connections)
    }

    /// Whether the backend server surely holds no stream of an entry that the configuration names for another
    /// service, or for none. It gets none later, since the agent returns such openings.
    fn holds_no_former_stream(&self, now: ids::UnixMillis) -> bool {
        let is_own = |entry| {
            let entry = self.state.entry_at(net::SocketAddr::V4(entry));
            entry.is_some_and(|entry| entry.service == self.config.service)
        };
        let has_config = self.state.generation() > ids::ConfigGeneration(0);
        has_config && self.knows_all_streams(now) && self.host_streams.entries().all(is_own)
    }

    /// Whether the agent knows every stream that its backend server may hold, and so can deny
    /// others. One that has stopped holds none.
    fn knows_all_streams(&self, now: ids::UnixMillis) -> bool {
        let is_old = now.since(self.started) > self.config.stream_limit_s * 1_000;
        let has_stopped = self.phase(now) == host::HostPhase::Gone;
        self.has_seen_all_openings || is_old || has_stopped
    }
}
