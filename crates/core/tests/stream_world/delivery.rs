//! Delivery of messages and segments in transit, and execution of the actions that processes return.

use std::net;

use rosemaryusher_core::stream;
use rosemaryusher_core::stream::log_event;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::segment;

use super::LINK_DELAY_MS;
use super::PROBE_MS;
use super::RESET_WINDOW_BYTES;
use super::StreamWorld;

/// A message, segment or probe result in transit.
pub(super) enum Envelope {
    Message { from: net::SocketAddrV4, to: net::SocketAddrV4, message: message::StreamMessage },
    ToHost { agent: net::SocketAddrV4, metadata: segment::SegmentMetadata, bytes: Vec<u8> },
    FromHost { agent: net::SocketAddrV4, head: segment::SegmentHeader, bytes: Vec<u8> },
    ToCaller { caller: net::Ipv4Addr, bytes: Vec<u8> },
    FromCaller { balancer: net::SocketAddrV4, head: segment::SegmentHeader, bytes: Vec<u8> },
    ProbeResult { balancer: net::SocketAddrV4, agent: net::SocketAddrV4, is_there: bool },
}

impl Envelope {
    /// The receiving process; `None` if a caller or backend server receives it.
    fn receiver(&self) -> Option<net::SocketAddrV4> {
        match self {
            Envelope::Message { to, .. } => Some(*to),
            Envelope::FromHost { agent, .. } => Some(*agent),
            Envelope::FromCaller { balancer, .. } | Envelope::ProbeResult { balancer, .. } => {
                Some(*balancer)
            }
            Envelope::ToHost { .. } | Envelope::ToCaller { .. } => None,
        }
    }
}

impl StreamWorld {
    pub(super) fn deliver_due(&mut self) {
        while let Some(entry) = self.in_flight.first_entry() {
            if entry.key().0 > self.now {
                return;
            }
            let envelope = entry.remove();
            if envelope.receiver().is_some_and(|to| self.frozen.contains(&to)) {
                self.deferred.push(envelope);
                continue;
            }
            match envelope {
                Envelope::Message { from, to, message } => self.deliver_message(from, to, &message),
                Envelope::ToHost { agent, metadata, bytes } => {
                    self.deliver_to_host(agent, metadata, &bytes)
                }
                Envelope::FromHost { agent, head, bytes } => {
                    self.deliver_segment(agent, head, &bytes);
                }
                Envelope::FromCaller { balancer, head, bytes } => {
                    self.deliver_segment(balancer, head, &bytes);
                }
                Envelope::ToCaller { caller, bytes } => self.deliver_to_caller(caller, &bytes),
                Envelope::ProbeResult { balancer, agent, is_there } => {
                    self.handle(balancer, stream::StreamEvent::MachineProbed { agent, is_there });
                }
            }
        }
    }

    fn deliver_message(
        &mut self,
        from: net::SocketAddrV4,
        to: net::SocketAddrV4,
        message: &message::StreamMessage,
    ) {
        let is_partitioned = self.partitioned.contains(&from) || self.partitioned.contains(&to);
        let is_lost = self.lossy_links.get(&(from, to)).is_some_and(|until| self.now < *until);
        if is_partitioned || is_lost || self.blocked_links.contains(&(from, to)) {
            return;
        }
        let head = match message {
            message::StreamMessage::Carry(carry) => Some(self.lookup_segment(&carry.segment).head),
            message::StreamMessage::Return(returned) => {
                Some(self.lookup_segment(&returned.segment).head)
            }
            _ => None,
        };
        self.handle(to, stream::StreamEvent::Message { from, message, head });
    }

    fn deliver_segment(
        &mut self,
        to: net::SocketAddrV4,
        head: segment::SegmentHeader,
        bytes: &[u8],
    ) {
        let segment = segment::StreamSegment { head, bytes };
        self.handle(to, stream::StreamEvent::Segment(segment));
    }
}

impl StreamWorld {
    pub(super) fn execute(&mut self, address: net::SocketAddrV4, action: stream::StreamAction) {
        match action {
            stream::StreamAction::Send(to, message) => {
                *self.messages_sent_to.entry((to, message.kind().label())).or_default() += 1;
                if self.data_centre_of(address) != self.data_centre_of(to) {
                    *self.messages_across_centres.entry(message.kind().label()).or_default() += 1;
                }
                self.post(LINK_DELAY_MS, Envelope::Message { from: address, to, message });
            }
            stream::StreamAction::Deliver(metadata, bytes) => {
                self.post(0, Envelope::ToHost { agent: address, metadata, bytes });
            }
            stream::StreamAction::Answer(caller, bytes) => {
                self.post(LINK_DELAY_MS, Envelope::ToCaller { caller, bytes });
            }
            stream::StreamAction::Reset(key, sequence) => {
                let open = self.callers.get(&key).and_then(|view| view.first);
                let is_near = |first: u32| {
                    let ahead = sequence.wrapping_sub(first);
                    ahead.min(ahead.wrapping_neg()) <= RESET_WINDOW_BYTES
                };
                // A caller ignores a reset whose sequence number is outside its window.
                if open.is_some_and(|first| !is_near(first)) {
                    return;
                }
                self.check_reset(address, key);
                let view = self.callers.entry(key).or_default();
                view.resets += 1;
            }
            stream::StreamAction::FetchConfig(_) => self.deliver_config(address),
            stream::StreamAction::ProbeMachine(agent) => {
                let is_there =
                    !self.powered_off.contains(&agent) && !self.partitioned.contains(&agent);
                self.post(PROBE_MS, Envelope::ProbeResult { balancer: address, agent, is_there });
            }
            stream::StreamAction::ProbeHost => {
                if !self.hosts.contains_key(&address) {
                    self.handle(address, stream::StreamEvent::HostPortClosed);
                }
            }
            stream::StreamAction::Measure(_) => {}
            stream::StreamAction::Log(log_event) => {
                if let log_event::StreamLogEvent::Reset {
                    stream,
                    reason: log_event::ResetReason::NoService,
                    ..
                } = log_event
                {
                    self.check_unrouted(address, stream);
                }
                self.log_events.push(log_event);
            }
        }
    }

    pub(super) fn post(&mut self, delay_ms: u64, envelope: Envelope) {
        self.posted += 1;
        self.in_flight.insert((self.now.plus(delay_ms), self.posted), envelope);
    }
}
