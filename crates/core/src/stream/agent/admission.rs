//! Admission of segments from balancers: which are delivered to the backend server, wait, or are
//! returned.

use std::net;

use crate::ids;
use crate::manifest;
use crate::stream;
use crate::stream::agent;
use crate::stream::host;
use crate::stream::host_streams;
use crate::stream::log_event;
use crate::stream::message;
use crate::stream::segment;
use crate::stream::waiting;

/// Added to the in-flight allowance before it is rounded down, so that a quarter of a request
/// counts as a whole one.
///
/// An idle slot costs more than a few milliseconds of queueing, but where requests take far longer
/// than a round trip, an additional one would only wait.
const ROUNDING_OFFSET: f64 = 0.75;

impl agent::StreamAgent {
    pub(super) fn on_carry(
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
        let metadata = segment::SegmentMetadata { origin: *from.ip() };
        match segment.head.is_opening() {
            true if self.pause.is_resuming(now) => {}
            true => self.on_opening(from, carry, segment, now, actions),
            // The address has been reused: the balancer means its former user.
            false if carry.service != self.config.service && self.does_not_hold(key, now) => {
                let reason = message::ReturnReason::OtherService;
                let message = self.return_message(reason, segment.bytes, now);
                actions.push(stream::StreamAction::Send(from, message));
            }
            // No backend server is left to return it, and the balancer would keep sending here
            // while another backend server holds the stream.
            false if self.phase(now) == host::HostPhase::Gone => {
                let message =
                    self.return_message(message::ReturnReason::NotHeld, segment.bytes, now);
                actions.push(stream::StreamAction::Send(from, message));
            }
            // Which backend server uses the address is known after a report period; the caller
            // retransmits.
            false if self.host.is_displaced() => {
                actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Withheld {
                    stream: key,
                }));
            }
            // The caller accepted another backend server's answer to a retransmitted opening.
            // Delivered here, the segment would be lost, and the duplicate would count as load.
            false if self.is_half_open_duplicate(key, segment.head.acknowledged) => {
                self.host_streams.remove(key);
                let message =
                    self.return_message(message::ReturnReason::NotHeld, segment.bytes, now);
                actions.push(stream::StreamAction::Send(from, message));
            }
            false => {
                match carry.kind {
                    message::CarryKind::Probe => {
                        self.host_streams.on_probe_segment(key, &segment.head, from, now)
                    }
                    _ => self.host_streams.on_caller_segment(key, &segment.head, from, now),
                }
                actions.push(stream::StreamAction::Deliver(metadata, segment.bytes.to_vec()));
            }
        }
    }

    fn on_opening(
        &mut self,
        from: net::SocketAddrV4,
        carry: &message::CarryMessage,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_caller();
        match self.refusal_reason(key, carry, now) {
            None => self.deliver_opening(key, from, segment.bytes, now, actions),
            Some(message::ReturnReason::Full) if carry.kind == message::CarryKind::OpenQueued => {
                let copies = segment.head.acknowledged;
                let terms = self.terms_at(key);
                let carry = carry.clone();
                let opening = waiting::WaitingOpening::new(key, from, carry, copies, terms, now);
                for opening in self.waiting.push(opening, self.queue_limits(), now) {
                    self.return_waiting(&opening, message::ReturnReason::Full, now, actions);
                }
            }
            Some(reason) => self.return_opening(key, from, segment.bytes, reason, now, actions),
        }
    }

    /// Delivers waiting openings while slots are free, and returns those that can no longer be
    /// answered in time.
    pub(super) fn admit_waiting(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.waiting.is_empty() || self.pause.is_resuming(now) {
            return;
        }
        for opening in self.waiting.remove_expired(self.mean_answer_ms(), now) {
            self.return_waiting(&opening, message::ReturnReason::Full, now, actions);
        }
        while let Some(opening) = self.waiting.pop(self.mean_answer_ms(), now) {
            match self.refusal_reason(opening.key, &opening.carry, now) {
                None => {
                    let waited = stream::StreamTiming::Waited(now.since(opening.arrived));
                    actions.push(stream::StreamAction::Measure(waited));
                    let bytes = &opening.carry.segment;
                    self.deliver_opening(opening.key, opening.balancer, bytes, now, actions);
                }
                Some(message::ReturnReason::Full) => return self.waiting.reinsert(opening),
                Some(reason) => self.return_waiting(&opening, reason, now, actions),
            }
        }
    }

    fn deliver_opening(
        &mut self,
        key: segment::StreamKey,
        balancer: net::SocketAddrV4,
        bytes: &[u8],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let metadata = segment::SegmentMetadata { origin: *balancer.ip() };
        self.host_streams.open(key, balancer, bytes, now);
        self.slow_start.record_delivery(now);
        actions.push(stream::StreamAction::Deliver(metadata, bytes.to_vec()));
    }

    fn return_waiting(
        &self,
        opening: &waiting::WaitingOpening,
        reason: message::ReturnReason,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let bytes = &opening.carry.segment;
        self.return_opening(opening.key, opening.balancer, bytes, reason, now, actions);
    }

    fn return_opening(
        &self,
        key: segment::StreamKey,
        balancer: net::SocketAddrV4,
        bytes: &[u8],
        reason: message::ReturnReason,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let log_event = log_event::StreamLogEvent::returned(key, self.config.address, reason);
        actions.push(stream::StreamAction::Log(log_event));
        actions.push(stream::StreamAction::Send(balancer, self.return_message(reason, bytes, now)));
    }

    /// The limits of the queue: how fast it drains and which openings may wait.
    fn queue_limits(&self) -> waiting::QueueParameters {
        let policy = self.config.policy.admission;
        let slots = self.host.slots();
        waiting::QueueParameters {
            work_ms: self.mean_answer_ms(),
            slots,
            places: policy.waiting_per_slot as usize * slots as usize,
            aim_percent: policy.waiting_aim_percent,
        }
    }

    /// How many openings are admitted beyond the slots, to keep the slots in use.
    ///
    /// An opening counts as load from its delivery on, but its request arrives a round trip later.
    /// The allowance is the number of slots that would be idle in between.
    fn in_flight_allowance(&self) -> u32 {
        let slots = self.host.slots();
        let percent = self.config.policy.admission.on_the_way_percent;
        let answer_ms = self.answer_ms.get().unwrap_or_default();
        if answer_ms <= 0.0 {
            return 0;
        }
        let gap = self.host_streams.request_after_ms() / answer_ms;
        let share = gap * f64::from(percent) / 100.0;
        ((f64::from(slots) * share + ROUNDING_OFFSET).floor() as u32).min(slots)
    }

    /// The terms that the configuration sets for a stream's address.
    fn terms_at(&self, key: segment::StreamKey) -> manifest::StreamTerms {
        let entry = self.state.entry_at(net::SocketAddr::V4(key.entry));
        entry.map(|entry| entry.terms).unwrap_or_default()
    }

    /// Why an opening must not be delivered now; `None` if it may be.
    pub(super) fn refusal_reason(
        &self,
        key: segment::StreamKey,
        carry: &message::CarryMessage,
        now: ids::UnixMillis,
    ) -> Option<message::ReturnReason> {
        let slots = self.host.slots();
        let limit = match carry.kind {
            message::CarryKind::OpenQueued => slots + self.in_flight_allowance(),
            _ => slots,
        };
        let is_copy =
            self.host_streams.get(key).is_some_and(|s| s.phase != host_streams::WorkPhase::Ended);
        match self.host.phase(self.config.host_report_ms, now) {
            _ if carry.service != self.config.service => Some(message::ReturnReason::OtherService),
            _ if self.is_rerouted(key, carry.generation) => {
                Some(message::ReturnReason::OtherService)
            }
            // A balancer with an outdated configuration would carry data into a region where it
            // must not go.
            _ if !self.is_allowed_here(key) => Some(message::ReturnReason::OtherRegion),
            // A balancer that was partitioned or has just started may not know of the evacuation,
            // and the stream would end when operators shut the data centre down.
            _ if self.evacuations.covers(self.config.data_centre) => {
                Some(message::ReturnReason::Evacuated)
            }
            host::HostPhase::Serving if is_copy && !self.is_rate_limited(now) => None,
            host::HostPhase::Serving if self.is_leaving => Some(message::ReturnReason::NotServing),
            host::HostPhase::Serving if now < self.unresponsive_until => {
                Some(message::ReturnReason::Silent)
            }
            host::HostPhase::Serving if self.host_streams.open_streams() >= self.max_streams() => {
                Some(message::ReturnReason::Full)
            }
            host::HostPhase::Serving
                if self.host_streams.busy() >= limit || self.is_rate_limited(now) =>
            {
                Some(message::ReturnReason::Full)
            }
            host::HostPhase::Serving => None,
            _ => Some(message::ReturnReason::NotServing),
        }
    }

    /// Whether this agent's configuration routes the stream's address to another service, or no
    /// longer to any.
    ///
    /// A balancer with an outdated configuration would send callers of one service to a backend
    /// server of another. An address that is missing here counts only if this configuration is
    /// newer.
    pub(super) fn is_rerouted(
        &self,
        key: segment::StreamKey,
        generation: ids::ConfigGeneration,
    ) -> bool {
        match self.state.entry_at(net::SocketAddr::V4(key.entry)) {
            Some(entry) => entry.service != self.config.service,
            None => self.state.generation() > generation,
        }
    }

    /// Whether the configuration allows streams of this address in the agent's region.
    fn is_allowed_here(&self, key: segment::StreamKey) -> bool {
        let regions = self.state.regions_at(net::SocketAddr::V4(key.entry));
        let own = self.config.regions.get(&self.config.data_centre);
        regions.is_empty() || own.is_some_and(|own| regions.contains(own))
    }

    /// Whether the backend server surely does not hold a stream.
    fn does_not_hold(&self, key: segment::StreamKey, now: ids::UnixMillis) -> bool {
        self.host_streams.get(key).is_none() && self.knows_all_streams(now)
    }

    /// Whether the caller accepted another backend server's answer, so that the stream stays
    /// half-open here.
    pub(super) fn is_half_open_duplicate(
        &self,
        key: segment::StreamKey,
        caller_expects: u32,
    ) -> bool {
        // A later opening is no copy of one that an earlier run of the agent delivered.
        let seen_from = match self.has_seen_all_openings {
            true => ids::UnixMillis(0),
            false => self.started.plus(host_streams::OPENING_MS),
        };
        let stream = self.host_streams.get(key);
        stream.is_some_and(|stream| !stream.matches(caller_expects, seen_from))
    }

    /// The message that returns a segment to its balancer.
    pub(super) fn return_message(
        &self,
        reason: message::ReturnReason,
        segment: &[u8],
        now: ids::UnixMillis,
    ) -> message::StreamMessage {
        message::StreamMessage::Return(message::ReturnMessage {
            reason,
            generation: self.state.generation(),
            load: self.load(now),
            segment: segment.to_vec(),
        })
    }
}
