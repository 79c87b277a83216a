//! What balancers hand over: whether the backend server gets it.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::agent;
use crate::stream::held;
use crate::stream::host;
use crate::stream::message;
use crate::stream::note;
use crate::stream::segment;

/// How many requests may wait at the backend server for each slot, where no other has a free one.
///
/// Backend servers queue more, but a request that waits three turns, each some 60 ms just after a
/// start, misses its caller's aim of 150 to 250 ms, and so do all behind it. With 3 in place of 1
/// less is served in time after a restart of everything (docs/MEASURES.md).
const QUEUE_PER_SLOT: u32 = 1;

impl agent::StreamAgent {
    pub(super) fn take_carried(
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
        let marks = segment::SegmentMarks { origin: *from.ip() };
        match segment.head.is_opening() {
            true if self.pause.is_resuming(now) => {}
            true => match self.refusal(key, carry, now) {
                Some(reason) => {
                    let message = self.returned(reason, segment.bytes);
                    actions.push(stream::StreamAction::Note(note::StreamNote::returned(
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
            // Nothing there could give it back, and its balancer would go on sending here while
            // another backend server holds the stream.
            false if self.phase(now) == host::HostPhase::Gone => {
                let message = self.returned(message::ReturnReason::NotHeld, segment.bytes);
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
                match carry.kind {
                    message::CarryKind::Probe => {
                        self.held.note_probe(key, &segment.head, from, now)
                    }
                    _ => self.held.hear_caller(key, &segment.head, from, now),
                }
                actions.push(stream::StreamAction::HandOver(marks, segment.bytes.to_vec()));
            }
        }
    }

    /// Why an opening is not handed over, if it is not.
    pub(super) fn refusal(
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

    pub(super) fn is_other_half(&self, key: segment::StreamKey, caller_expects: u32) -> bool {
        self.held.get(key).is_some_and(|stream| !stream.matches(caller_expects))
    }

    pub(super) fn returned(
        &self,
        reason: message::ReturnReason,
        segment: &[u8],
    ) -> message::StreamMessage {
        message::StreamMessage::Return(message::ReturnMessage {
            reason,
            generation: self.state.generation(),
            load: self.load(),
            segment: segment.to_vec(),
        })
    }
}
