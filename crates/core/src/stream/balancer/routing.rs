//! Routing of caller segments to the agent that holds their stream, and the search for that agent.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::agent_table::liveness;
use crate::stream::balancer;
use crate::stream::balancer::member_list;
use crate::stream::balancer::service_history;
use crate::stream::log_event;
use crate::stream::lookup;
use crate::stream::message;
use crate::stream::owners;
use crate::stream::segment;
use crate::stream::sent;

/// Interval between queries for streams of former services, in milliseconds: agents that start after a power
/// loss are asked soon, and those that cannot deny them not for each stream.
const FORMER_QUERY_INTERVAL_MS: u64 = 200;

/// Why agents that a search did not query may hold its stream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchGap {
    /// Members may be unknown.
    Members(member_list::MemberListGap),
    /// Members were unknown when the agents were queried.
    MembersAdded,
    /// The entry may have had another service.
    ServiceChanged,
}

impl SearchGap {
    /// The name of the gap in logs.
    fn label(self) -> &'static str {
        match self {
            SearchGap::Members(gap) => gap.label(),
            SearchGap::MembersAdded => "members_added",
            SearchGap::ServiceChanged => "service_changed",
        }
    }
}

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
                self.search(key, segment, now, actions);
            }
            Some((agent, ..)) => {
                self.forward_segment(agent, message::CarryKind::Held, segment.bytes, actions);
            }
            None => self.search(key, segment, now, actions),
        }
    }

    /// Forwards a segment of an open stream to an agent, whatever service its entry belongs to by now.
    pub(super) fn forward_segment(
        &self,
        agent: net::SocketAddrV4,
        kind: message::CarryKind,
        bytes: &[u8],
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let service = self.table.get(agent).and_then(|known| known.service).unwrap_or_default();
        self.send_carry(agent, kind, service, bytes, actions);
    }

    /// Sends a segment to an agent of this service.
    pub(super) fn send_carry(
        &self,
        agent: net::SocketAddrV4,
        kind: message::CarryKind,
        service: ids::ServiceId,
        bytes: &[u8],
        actions: &mut Vec<stream::StreamAction>,
    ) {
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
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let services = self.services_of(key, now);
        self.ask_for_former(&services, now, actions);
        let knows_all_members = self.member_list.gap(now).is_none();
        let holders = liveness::PossibleHolders {
            knows_all_members,
            ..self.table.holders(&services, &self.lost_centres, now)
        };
        let outcome = self.searches.enqueue(key, &holders, segment, now);
        let lookup::EnqueueOutcome::Ask { ask, candidates } = outcome else { return };
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Searched {
            stream: key,
            asked: ask.len(),
            presumed_gone: holders.presumed_gone,
        }));
        let is_anyone_asked = !ask.is_empty();
        let caller_expects = segment.head.acknowledged;
        for agent in ask {
            let find = message::StreamMessage::Find { key, caller_expects };
            actions.push(stream::StreamAction::Send(agent, find));
        }
        for agent in candidates {
            self.forward_segment(agent, message::CarryKind::Probe, segment.bytes, actions);
        }
        if !is_anyone_asked {
            let width = self.config.policy.recovery.search_width;
            let step = self.searches.advance(key, width, now);
            self.apply_search_step(key, step, now, actions);
        }
    }

    /// Asks the agents that a search queries only because they may hold streams of former services whether
    /// they hold any, so that further searches need not.
    fn ask_for_former(
        &mut self,
        services: &service_history::ServiceScope,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if now.since(self.last_former_query) < FORMER_QUERY_INTERVAL_MS {
            return;
        }
        let mut agents = self.table.undenied(services).peekable();
        if agents.peek().is_some() {
            self.last_former_query = now;
        }
        let find = message::StreamMessage::FindFormer;
        actions.extend(agents.map(|agent| stream::StreamAction::Send(agent, find.clone())));
    }

    /// Queries an agent that has returned for the streams whose searches lack its answer.
    pub(super) fn ask_returned_agent(
        &self,
        agent: net::SocketAddrV4,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for (key, caller_expects) in self.searches.waiting_for(agent) {
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
        let width = self.config.policy.recovery.search_width;
        let step = self.searches.on_absent(key, from, is_sure, width, now);
        self.apply_search_step(key, step, now, actions);
    }

    /// Carries out what follows from an answer, a returned probe or a timeout of a search.
    pub(super) fn apply_search_step(
        &mut self,
        key: segment::StreamKey,
        step: lookup::SearchStep,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match step {
            lookup::SearchStep::Pending => {}
            lookup::SearchStep::Probe(agents, segment) => {
                for agent in agents {
                    let kind = message::CarryKind::Probe;
                    self.forward_segment(agent, kind, &segment, actions);
                }
            }
            lookup::SearchStep::Concluded(search) => {
                self.conclude_search(key, &search, now, actions);
            }
            lookup::SearchStep::GivenUp(search) => self.log_not_found(key, &search, now, actions),
        }
    }

    /// The services whose agents may hold a stream.
    fn services_of(
        &self,
        key: segment::StreamKey,
        now: ids::UnixMillis,
    ) -> service_history::ServiceScope {
        match self.has_newest_config() {
            true => {
                let generation = self.state.generation();
                self.service_history.scope(key.entry, self.service_at(key), generation, now)
            }
            false => service_history::ServiceScope::Any,
        }
    }

    /// Why agents that were not queried may hold a stream; `None` if none of them can.
    fn search_gap(
        &self,
        key: segment::StreamKey,
        coverage: lookup::SearchCoverage,
        now: ids::UnixMillis,
    ) -> Option<SearchGap> {
        let asked = coverage.asked;
        let is_settled =
            || self.service_history.is_settled_since(key.entry, asked) && self.has_newest_config();
        match self.member_list.gap(now) {
            Some(gap) => Some(SearchGap::Members(gap)),
            None if !self.member_list.is_complete_since(asked, now) => {
                Some(SearchGap::MembersAdded)
            }
            None if coverage.is_any_service || is_settled() => None,
            None => Some(SearchGap::ServiceChanged),
        }
    }

    fn log_not_found(
        &self,
        key: segment::StreamKey,
        search: &lookup::OwnerSearch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::NotFound {
            stream: key,
            asked: search.denials() + search.missing_answers() + search.candidates().len(),
            denied: search.denials(),
            gap: self.search_gap(key, search.coverage, now).map(SearchGap::label),
        }));
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
        let width = self.config.policy.recovery.search_width;
        if let Some(step) = self.searches.on_returned(key, from, segment.bytes, width, now) {
            return self.apply_search_step(key, step, now, actions);
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
        match (target, search) {
            (Some(agent), _) => {
                self.forward_segment(agent, message::CarryKind::Held, segment.bytes, actions);
            }
            // The caller has ended the stream, so its last segments are not needed.
            (None, _) if is_ended => self.owners.remove(key),
            (None, owners::SearchState::Complete(coverage))
                if self.search_gap(key, coverage, now).is_none() =>
            {
                let expected = segment.head.acknowledged;
                self.reset(key, expected, log_event::ResetReason::HeldNowhere, actions);
            }
            (None, _) => {
                self.owners.remove(key);
                self.search(key, segment, now, actions);
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
            for segment in search.segments_for(from) {
                self.forward_segment(from, message::CarryKind::Held, segment, actions);
            }
        }
    }

    /// Ends a search that all agents, or all but the candidates, have denied: keeps the candidates as
    /// possible holders, or resets the stream if there are none.
    ///
    /// The reset lets the caller retry before its deadline. If agents that were not queried may hold the
    /// stream, the caller's next segment starts another search instead.
    fn conclude_search(
        &mut self,
        key: segment::StreamKey,
        search: &lookup::OwnerSearch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let Some((agent, candidates)) = search.candidates().split_last() else {
            let expected = search.caller_expects;
            match self.search_gap(key, search.coverage, now) {
                None => self.reset(key, expected, log_event::ResetReason::HeldNowhere, actions),
                Some(_) => self.log_not_found(key, search, now, actions),
            }
            return;
        };
        let owner = owners::StreamOwner {
            candidates: candidates.to_vec(),
            search: owners::SearchState::Complete(search.coverage),
            ..owners::StreamOwner::held_by(*agent, now)
        };
        self.owners.insert(key, owner);
        for segment in search.segments_for(*agent) {
            self.forward_segment(*agent, message::CarryKind::Probe, segment, actions);
        }
    }
}
