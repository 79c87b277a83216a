//! Routing of caller segments to the agent that holds their stream, and the search for that agent.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::agent_table::liveness;
use crate::stream::balancer;
use crate::stream::log_event;
use crate::stream::lookup;
use crate::stream::message;
use crate::stream::owners;
use crate::stream::segment;
use crate::stream::sent;

impl balancer::StreamBalancer {
    /// Handles a segment from a caller.
    pub(super) fn on_segment(
        &mut self,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let key = segment.head.key_from_caller();
        let service = self.service_at(key);
        if segment.head.is_opening() {
            match service {
                Some(service) => self.on_opening(key, service, segment, now, actions),
                // Without a configuration, the service may exist.
                None if self.state.generation() == ids::ConfigGeneration(0) => {}
                None => self.reset(key, 0, log_event::ResetReason::NoService, actions),
            }
            return;
        }
        let target = self.owners.touch(key).and_then(|owner| {
            owner.is_ended |= segment.head.flags.ends || segment.head.flags.resets;
            owner.try_next_candidate(now);
            let is_repeated = sent::LastSentSegment::update(&mut owner.sent, &segment.head, now);
            let is_confirmed = !owner.holders.is_empty();
            let agent = owner.target(segment.head.acknowledged)?;
            Some((agent, is_repeated, is_confirmed))
        });
        match target {
            // A repeated segment for a lost data centre: reset now, the caller can retry before its
            // deadline.
            Some((agent, true, _)) if self.is_in_lost_centre(agent) => {
                let expected = segment.head.acknowledged;
                self.reset(key, expected, log_event::ResetReason::CentreLost, actions);
            }
            // The agent got the opening, never confirmed the stream and no longer reports: a copy through
            // another balancer may have opened the stream elsewhere.
            Some((agent, _, false)) if !self.table.is_fresh(agent, now) => {
                self.search(key, service, segment, now, actions);
            }
            Some((agent, ..)) => {
                self.forward_segment(agent, message::CarryKind::Held, segment.bytes, actions, key);
            }
            None => self.search(key, service, segment, now, actions),
        }
    }

    /// Forwards a segment to an agent.
    pub(super) fn forward_segment(
        &self,
        agent: net::SocketAddrV4,
        kind: message::CarryKind,
        bytes: &[u8],
        actions: &mut Vec<stream::StreamAction>,
        key: segment::StreamKey,
    ) {
        // A stream whose address was removed from the configuration stays with its agent.
        let known_service = || self.table.get(agent)?.service;
        let service = self.service_at(key).or_else(known_service).unwrap_or_default();
        let carry = message::CarryMessage {
            kind,
            service,
            generation: self.state.generation(),
            segment: bytes.to_vec(),
        };
        let message = message::StreamMessage::Carry(carry);
        actions.push(stream::StreamAction::Send(agent, message));
    }

    /// Keeps a segment until its stream's holder is found, and starts a search unless one is in progress.
    pub(super) fn search(
        &mut self,
        key: segment::StreamKey,
        service: Option<ids::ServiceId>,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let knows_all_members = self.has_member_list;
        let holders = liveness::PossibleHolders {
            knows_all_members,
            ..self.table.holders(service, &self.lost_centres, now)
        };
        let outcome = self.searches.enqueue(key, service, &holders, segment, now);
        if outcome != lookup::EnqueueOutcome::Started {
            return;
        }
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Searched {
            stream: key,
            asked: holders.agents.len(),
            presumed_gone: holders.presumed_gone,
        }));
        for agent in holders.agents {
            let caller_expects = segment.head.acknowledged;
            let find = message::StreamMessage::Find { key, caller_expects };
            actions.push(stream::StreamAction::Send(agent, find));
        }
    }

    /// Handles the reply that an agent's backend server does not hold a stream, or that the agent does not
    /// know.
    pub(super) fn on_absent(
        &mut self,
        from: net::SocketAddrV4,
        key: segment::StreamKey,
        is_sure: bool,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.continue_probe(from, key, now, actions) {
            return;
        }
        if let Some(search) = self.searches.on_absent(key, from, is_sure) {
            self.probe_or_end_search(key, search, now, actions);
        }
    }

    /// Continues a probing search after a backend server returned the segment; returns false if there is no
    /// such search.
    fn continue_probe(
        &mut self,
        from: net::SocketAddrV4,
        key: segment::StreamKey,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) -> bool {
        match self.searches.on_returned(key, from) {
            lookup::ProbeOutcome::NotProbing => return false,
            lookup::ProbeOutcome::Pending => {}
            lookup::ProbeOutcome::Next(agent, bytes) => {
                self.forward_segment(agent, message::CarryKind::Probe, &bytes, actions, key);
            }
            lookup::ProbeOutcome::Exhausted(search) => self.end_search(key, search, now, actions),
        }
        true
    }

    /// Forwards a segment to the next possible holder after one returned it, or resets or searches for
    /// the stream if none is left.
    pub(super) fn forward_to_next_holder(
        &mut self,
        key: segment::StreamKey,
        from: net::SocketAddrV4,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.continue_probe(from, key, now, actions) {
            return;
        }
        let Some(owner) = self.owners.touch(key) else { return };
        owner.remove_holder(from);
        if owner.holders.is_empty()
            && let Some(agent) = owner.candidates.pop()
        {
            owner.holders.push((agent, None));
        }
        let target = owner.holders.first().map(|(agent, _)| *agent);
        let (is_ended, search) = (owner.is_ended, owner.search);
        match target {
            Some(agent) => {
                self.forward_segment(agent, message::CarryKind::Held, segment.bytes, actions, key);
            }
            // The caller has ended the stream, so its last segments are not needed.
            None if is_ended => self.owners.remove(key),
            None if search == owners::SearchState::Complete => {
                let expected = segment.head.acknowledged;
                self.reset(key, expected, log_event::ResetReason::HeldNowhere, actions);
            }
            // Searching again at once could forward the segment from host to host without end; the
            // caller repeats it with a growing delay.
            None if search == owners::SearchState::Incomplete => self.owners.remove(key),
            None => {
                self.owners.remove(key);
                let service = self.service_at(key);
                self.search(key, service, segment, now, actions);
            }
        }
    }

    /// Handles the reply that an agent's backend server holds a stream: ends the search and forwards the
    /// segments that waited for it.
    pub(super) fn on_held(
        &mut self,
        from: net::SocketAddrV4,
        key: segment::StreamKey,
        first_sequence: Option<u32>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match self.owners.touch(key) {
            Some(owner) => {
                owner.add_holder(from, first_sequence);
            }
            None => {
                let holders = vec![(from, first_sequence)];
                self.owners
                    .insert(key, owners::StreamOwner { holders, ..owners::StreamOwner::new(now) });
            }
        }
        if let Some(search) = self.searches.end(key) {
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Found {
                stream: key,
                agent: from,
            }));
            let already_forwarded = usize::from(search.probed.contains(&from));
            for segment in search.waiting.iter().skip(already_forwarded) {
                self.forward_segment(from, message::CarryKind::Held, segment, actions, key);
            }
        }
    }

    /// Probes the agents that could not tell, or ends a search in which no agent confirmed the stream.
    ///
    /// An agent that started later than its backend server can only tell by delivering the segment.
    pub(super) fn probe_or_end_search(
        &mut self,
        key: segment::StreamKey,
        mut search: lookup::OwnerSearch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if search.is_probing() {
            return self.end_search(key, search, now, actions);
        }
        search.is_complete = search.knows_all_members && search.is_answered() && search.asked > 0;
        if search.unsure.is_empty() {
            return self.end_search(key, search, now, actions);
        }
        let Some(segment) = search.waiting.first().cloned() else { return };
        let width = self.config.policy.recovery.search_width;
        for agent in self.searches.probe(key, search, width, now) {
            self.forward_segment(agent, message::CarryKind::Probe, &segment, actions, key);
        }
    }

    /// Ends a search without a confirmed holder: keeps the agents that may still hold the stream as
    /// candidates, or resets the stream if every announced agent has denied it.
    ///
    /// The reset lets the caller retry before its deadline. It is safe because each process announces
    /// itself before it reads the list of members, so of any two at least one knows the other.
    fn end_search(
        &mut self,
        key: segment::StreamKey,
        search: lookup::OwnerSearch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        // Agents still being probed already have the first segment.
        let already_forwarded = usize::from(search.is_probing());
        let mut candidates = search.unsure;
        candidates.extend(search.probed);
        let Some(agent) = candidates.pop() else {
            if search.is_complete {
                let expected = search.caller_expects;
                return self.reset(key, expected, log_event::ResetReason::HeldNowhere, actions);
            }
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::NotFound {
                stream: key,
                asked: search.asked,
                denied: search.denied,
            }));
            return;
        };
        let owner = owners::StreamOwner {
            candidates,
            // An agent presumed gone may be back by the time the candidates deny the stream.
            search: match search.is_complete && search.presumed_gone == 0 {
                true => owners::SearchState::Complete,
                false => owners::SearchState::Incomplete,
            },
            ..owners::StreamOwner::held_by(agent, now)
        };
        self.owners.insert(key, owner);
        for segment in search.waiting.iter().skip(already_forwarded) {
            self.forward_segment(agent, message::CarryKind::Probe, segment, actions, key);
        }
    }
}
