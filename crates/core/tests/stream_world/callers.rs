//! Simulated callers.

use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::segment;

use super::LINK_DELAY_MS;
use super::StreamWorld;
use super::agent_address;
use super::balancer_address;
use super::delivery::Envelope;

/// What a caller has observed on one stream.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerView {
    /// The initial sequence number of the backend server, once the stream is open.
    pub(crate) first: Option<u32>,
    pub(crate) answers: u32,
    pub(crate) resets: u32,
    pub(crate) data_sent: u32,
}

impl StreamWorld {
    /// Opens a stream; a `copy` above 0 is a retransmission of the opening.
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

    /// Retransmits the last request.
    pub(crate) fn repeat(&mut self, key: segment::StreamKey) {
        let acknowledged = self.callers[&key].first.unwrap_or(0).wrapping_add(1);
        let flags =
            segment::SegmentFlags { acknowledges: true, ..segment::SegmentFlags::default() };
        self.send_segment(key, flags, acknowledged, 100);
    }

    pub(crate) fn end(&mut self, key: segment::StreamKey) {
        let acknowledged = self.callers[&key].first.unwrap_or(0).wrapping_add(1);
        let flags = segment::SegmentFlags {
            acknowledges: true,
            ends: true,
            ..segment::SegmentFlags::default()
        };
        self.send_segment(key, flags, acknowledged, 0);
    }

    /// Delivers an opening from the second balancer to an agent, as if the balancer's list of evacuated
    /// data centres were stale.
    pub(crate) fn open_with_stale_evacuations(&mut self, key: segment::StreamKey, nth_agent: u8) {
        self.callers.entry(key).or_default();
        let flags = segment::SegmentFlags { opens: true, ..segment::SegmentFlags::default() };
        let head = caller_head(key, flags, 0, 0);
        let segment = self.record_segment(head, true);
        let carry = message::StreamMessage::Carry(message::CarryMessage {
            kind: message::CarryKind::Open,
            service: ids::ServiceId::of_name("wallet"),
            generation: ids::ConfigGeneration(1),
            segment,
        });
        let from = balancer_address(2);
        let event = stream::StreamEvent::Message { from, message: &carry, head: Some(head) };
        self.handle(agent_address(nth_agent), event);
    }

    /// Delivers a request on an open stream to an agent from the second balancer, labelled with a service.
    pub(crate) fn send_labelled(&mut self, key: segment::StreamKey, nth_agent: u8, service: &str) {
        let acknowledged = self.callers[&key].first.unwrap_or(0).wrapping_add(1);
        let flags =
            segment::SegmentFlags { acknowledges: true, ..segment::SegmentFlags::default() };
        let head = caller_head(key, flags, acknowledged, 100);
        let segment = self.record_segment(head, true);
        let carry = message::StreamMessage::Carry(message::CarryMessage {
            kind: message::CarryKind::Held,
            service: ids::ServiceId::of_name(service),
            generation: ids::ConfigGeneration(1),
            segment,
        });
        let from = balancer_address(2);
        let event = stream::StreamEvent::Message { from, message: &carry, head: Some(head) };
        self.handle(agent_address(nth_agent), event);
    }

    fn send_segment(
        &mut self,
        key: segment::StreamKey,
        flags: segment::SegmentFlags,
        acknowledged: u32,
        length: u16,
    ) {
        let head = caller_head(key, flags, acknowledged, length);
        let balancer = self.entry_balancer;
        let bytes = self.record_segment(head, true);
        self.post(LINK_DELAY_MS, Envelope::FromCaller { balancer, head, bytes });
    }

    /// Checks a segment that a caller receives, and records it.
    pub(super) fn deliver_to_caller(&mut self, caller: net::Ipv4Addr, bytes: &[u8]) {
        let written = self.lookup_segment(bytes);
        let head = written.head;
        let key = head.key_from_host();
        assert!(
            !written.is_from_caller,
            "a caller receives a segment that no backend server sent: {head:?}"
        );
        assert_eq!(*key.caller.ip(), caller, "an answer reaches another caller");
        let view = self.callers.entry(key).or_default();
        match head.flags {
            flags if flags.opens && view.first.is_none() => view.first = Some(head.sequence),
            _ if head.length > 0 => view.answers += 1,
            _ => {}
        }
    }
}

fn caller_head(
    key: segment::StreamKey,
    flags: segment::SegmentFlags,
    acknowledged: u32,
    length: u16,
) -> segment::SegmentHeader {
    segment::SegmentHeader {
        source: key.caller,
        destination: key.entry,
        flags,
        sequence: 7,
        acknowledged,
        length,
        metadata: segment::SegmentMetadata::default(),
    }
}
