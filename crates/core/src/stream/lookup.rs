//! Searches for the owner of a stream.
//!
//! When a balancer joins, leaves or fails, callers' segments move to another balancer. It queries the
//! agents of the service and queues the caller's segments until they have answered.
//!
//! Agents that have started after their backend servers cannot answer, but their backend servers
//! return a segment of a stream that they do not hold. The first segment is therefore sent to
//! several of these backend servers at a time.

use std::collections;
use std::collections::hash_map;
use std::net;

use crate::ids;
use crate::stream::agent_table::liveness;
use crate::stream::segment;

/// How long agents may take to answer, in milliseconds; several round trips between data centres.
const ANSWER_TIMEOUT_MS: u64 = 40;

/// How long backend servers may take to return a segment, in milliseconds; less than the 200 ms
/// after which callers retransmit it.
///
/// Backend servers return a segment at once; the one that holds the stream keeps it, and answers
/// when its work is done.
const PROBE_TIMEOUT_MS: u64 = 150;

/// The maximum number of queued segments of a stream; what a caller has in flight.
const MAX_QUEUED_SEGMENTS: usize = 16;

/// The maximum number of concurrent searches, which bounds the queued segments to 40 MB. Segments
/// beyond it are dropped, and their callers retransmit them.
///
/// All streams of a balancer that has failed move to others at once.
const MAX_SEARCHES: usize = 2_000;

/// How long a search without an outcome is kept after the caller's last segment, in milliseconds; longer
/// than the 1.6 s after which callers retransmit at the latest.
const SUSPENSION_MS: u64 = 2_000;

/// The maximum number of suspended searches that go on when an agent returns, which bounds the queries
/// that it gets at once.
const MAX_RESUMED_SEARCHES: usize = 100;

/// The phase of a search. All but the first go on as answers arrive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SearchPhase {
    /// Agents are queried.
    Asking,
    /// Backend servers whose agents are unsure are probed with the first segment.
    Probing,
    /// Not all agents have answered in time; their answers still count, and the caller's next segment
    /// queries them again.
    Suspended,
}

/// Which agents a search queried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SearchCoverage {
    /// When they were last queried.
    pub asked: ids::UnixMillis,
    /// Whether agents of every service were queried.
    pub is_any_service: bool,
}

/// A search for the owner of one stream.
///
/// Agents that have denied the stream are neither queried nor probed again, however often the caller
/// repeats its segment while others are unreachable.
#[derive(Clone, Debug)]
pub struct OwnerSearch {
    phase: SearchPhase,
    /// Which agents were last queried.
    pub coverage: SearchCoverage,
    /// When the current phase began, or the caller's last segment arrived at a suspended search.
    began: ids::UnixMillis,
    /// How many other agents were not queried because they are presumed to hold no stream.
    presumed_gone: usize,
    /// Whether every agent that may hold the stream was known when agents were last queried; agents
    /// that become known later are queried with the caller's next segment.
    knows_all_members: bool,
    /// Agents that do not hold the stream.
    denied: Vec<net::SocketAddrV4>,
    /// Queried agents that have not answered.
    unanswered: Vec<net::SocketAddrV4>,
    /// Agents that cannot tell because they started after their backend servers, which have not been
    /// probed yet.
    unsure: Vec<net::SocketAddrV4>,
    /// Agents whose backend servers were sent the first segment and have not returned it.
    probed: Vec<net::SocketAddrV4>,
    /// The sequence number that the caller expects next.
    pub caller_expects: u32,
    /// The caller's queued segments, the first of which probes backend servers.
    waiting: Vec<Vec<u8>>,
}

impl OwnerSearch {
    fn new(caller_expects: u32, now: ids::UnixMillis) -> OwnerSearch {
        OwnerSearch {
            phase: SearchPhase::Asking,
            coverage: SearchCoverage { asked: now, is_any_service: false },
            began: now,
            presumed_gone: 0,
            knows_all_members: false,
            denied: Vec::new(),
            unanswered: Vec::new(),
            unsure: Vec::new(),
            probed: Vec::new(),
            caller_expects,
            waiting: Vec::new(),
        }
    }

    /// Queues a segment of the caller, unless it is already queued or there is no room.
    fn push(&mut self, bytes: &[u8]) {
        let is_queued = self.waiting.iter().any(|queued| queued == bytes);
        if !is_queued && self.waiting.len() < MAX_QUEUED_SEGMENTS {
            self.waiting.push(bytes.to_vec());
        }
    }

    /// Begins a round of queries to the possible holders that have not answered; returns them.
    fn ask(
        &mut self,
        holders: &liveness::PossibleHolders,
        now: ids::UnixMillis,
    ) -> Vec<net::SocketAddrV4> {
        self.phase = SearchPhase::Asking;
        self.coverage = SearchCoverage { asked: now, is_any_service: holders.are_of_any_service };
        self.began = now;
        self.waiting.clear();
        self.presumed_gone = holders.presumed_gone;
        self.knows_all_members = holders.knows_all_members;
        let answered = [&self.denied, &self.unsure, &self.probed];
        let has_answered = |agent| answered.iter().any(|list| list.contains(agent));
        let missing = holders.agents.iter().filter(|agent| !has_answered(agent));
        self.unanswered = missing.copied().collect();
        self.unanswered.clone()
    }

    /// Records an answer; one that was not asked for is ignored, so that none stands for the answer of
    /// another agent.
    fn record_answer(&mut self, agent: net::SocketAddrV4, is_sure: bool) {
        let take = |list: &mut Vec<net::SocketAddrV4>| {
            let place = list.iter().position(|listed| *listed == agent);
            place.map(|place| list.swap_remove(place)).is_some()
        };
        let list = match is_sure {
            true => &mut self.denied,
            false => &mut self.unsure,
        };
        if take(&mut self.unanswered) || (is_sure && take(&mut self.probed)) {
            list.push(agent);
        }
    }

    /// Whether all possible holders were queried, and all but the candidates have denied the stream.
    ///
    /// With candidates, the outcome may take seconds, in which an agent presumed gone may return.
    fn is_conclusive(&self) -> bool {
        let are_all_asked = self.knows_all_members && self.unanswered.is_empty();
        let has_candidates = !self.probed.is_empty() || !self.unsure.is_empty();
        are_all_asked
            && match has_candidates {
                true => self.presumed_gone == 0,
                false => !self.denied.is_empty(),
            }
    }

    /// Probes the next backend servers, up to `width` at the same time; returns their agents.
    fn probe(&mut self, width: usize, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let count = self.unsure.len().min(width);
        let next = self.unsure.split_off(self.unsure.len() - count);
        self.probed.extend(&next);
        if !next.is_empty() {
            self.phase = SearchPhase::Probing;
            self.began = now;
        }
        next
    }

    /// Suspends the search until the caller repeats its segments. The first one is kept to probe the
    /// backend servers of agents that answer late.
    fn suspend(&mut self, now: ids::UnixMillis) {
        self.phase = SearchPhase::Suspended;
        self.began = now;
        self.waiting.truncate(1);
    }

    fn timeout_ms(&self) -> u64 {
        match self.phase {
            SearchPhase::Asking => ANSWER_TIMEOUT_MS,
            SearchPhase::Probing => PROBE_TIMEOUT_MS,
            SearchPhase::Suspended => SUSPENSION_MS,
        }
    }
}

impl OwnerSearch {
    /// The step that sends the first segment to these agents' backend servers.
    fn probe_step(&self, agents: Vec<net::SocketAddrV4>) -> SearchStep {
        SearchStep::Probe(agents, self.waiting.first().cloned().unwrap_or_default())
    }

    /// How many agents have denied the stream.
    pub fn denials(&self) -> usize {
        self.denied.len()
    }

    /// How many queried agents have not answered.
    pub fn missing_answers(&self) -> usize {
        self.unanswered.len()
    }

    /// The segments that its holder must get: none while suspended, since the caller repeats them.
    pub fn segments_for(&self, holder: net::SocketAddrV4) -> &[Vec<u8>] {
        let already_forwarded = usize::from(self.probed.contains(&holder));
        match self.phase {
            SearchPhase::Suspended => &[],
            SearchPhase::Asking | SearchPhase::Probing => {
                self.waiting.get(already_forwarded..).unwrap_or_default()
            }
        }
    }

    /// The agents that may still hold the stream, and whose backend servers were sent its first segment.
    pub fn candidates(&self) -> &[net::SocketAddrV4] {
        &self.probed
    }
}

/// The outcome of queueing a segment of a stream with an unknown owner.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum EnqueueOutcome {
    /// The agents `ask` must be queried, and the segment probes the backend servers of `candidates`,
    /// which got the first one.
    Ask {
        /// The agents to query.
        ask: Vec<net::SocketAddrV4>,
        /// The agents whose backend servers may hold the stream.
        candidates: Vec<net::SocketAddrV4>,
    },
    /// The segment was added to a search in progress.
    Pending,
    /// There is no room, and the segment is dropped.
    NoRoom,
}

/// What follows from an answer, a returned probe or a timeout.
#[derive(Clone, Debug)]
pub enum SearchStep {
    /// Answers are missing.
    Pending,
    /// The first segment, given here, must be sent to the backend servers of these agents.
    Probe(Vec<net::SocketAddrV4>, Vec<u8>),
    /// All agents have denied the stream, or all but the candidates.
    Concluded(OwnerSearch),
    /// The caller has not repeated its segment, and the search ends without an outcome.
    GivenUp(OwnerSearch),
}

/// The searches of one balancer.
#[derive(Debug, Default)]
pub struct OwnerSearches {
    searches: collections::HashMap<segment::StreamKey, OwnerSearch, foldhash::fast::FixedState>,
}

impl OwnerSearches {
    /// Queues a segment until the search for its stream ends. Starts the search if needed, and goes on
    /// with a suspended one.
    pub fn enqueue(
        &mut self,
        key: segment::StreamKey,
        holders: &liveness::PossibleHolders,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
    ) -> EnqueueOutcome {
        if !self.searches.contains_key(&key) && !self.make_room() {
            return EnqueueOutcome::NoRoom;
        }
        let caller_expects = segment.head.acknowledged;
        let entry = self.searches.entry(key);
        let is_new = matches!(entry, hash_map::Entry::Vacant(_));
        let search = entry.or_insert_with(|| OwnerSearch::new(caller_expects, now));
        if !is_new && search.phase != SearchPhase::Suspended {
            search.push(segment.bytes);
            return EnqueueOutcome::Pending;
        }
        search.caller_expects = caller_expects;
        let ask = search.ask(holders, now);
        search.push(segment.bytes);
        EnqueueOutcome::Ask { ask, candidates: search.probed.clone() }
    }

    /// Records the answer of an agent that denies the stream or is unsure.
    pub fn on_absent(
        &mut self,
        key: segment::StreamKey,
        agent: net::SocketAddrV4,
        is_sure: bool,
        width: u32,
        now: ids::UnixMillis,
    ) -> SearchStep {
        let Some(search) = self.searches.get_mut(&key) else { return SearchStep::Pending };
        search.record_answer(agent, is_sure);
        match search.phase {
            SearchPhase::Asking if !search.unanswered.is_empty() => SearchStep::Pending,
            _ => self.advance(key, width, now),
        }
    }

    /// Records that an agent's backend server returned a segment; returns `None` if there is no search
    /// for its stream.
    pub fn on_returned(
        &mut self,
        key: segment::StreamKey,
        agent: net::SocketAddrV4,
        bytes: &[u8],
        width: u32,
        now: ids::UnixMillis,
    ) -> Option<SearchStep> {
        let search = self.searches.get_mut(&key)?;
        search.push(bytes);
        Some(self.on_absent(key, agent, true, width, now))
    }

    /// The streams whose searches wait for the answer of this agent, which has returned.
    pub fn waiting_for(&self, agent: net::SocketAddrV4) -> Vec<(segment::StreamKey, u32)> {
        let waiting = self.searches.iter().filter(|(_, search)| {
            search.phase != SearchPhase::Asking && search.unanswered.contains(&agent)
        });
        let waiting = waiting.map(|(key, search)| (*key, search.caller_expects));
        waiting.take(MAX_RESUMED_SEARCHES).collect()
    }

    /// Ends and returns the search for a stream.
    pub fn end(&mut self, key: segment::StreamKey) -> Option<OwnerSearch> {
        self.searches.remove(&key)
    }

    /// Advances all searches that have timed out.
    pub fn expire(
        &mut self,
        width: u32,
        now: ids::UnixMillis,
    ) -> Vec<(segment::StreamKey, SearchStep)> {
        let is_due = |search: &OwnerSearch| now.since(search.began) >= search.timeout_ms();
        let due = self.searches.iter().filter(|(_, search)| is_due(search));
        let due: Vec<_> = due.map(|(key, search)| (*key, search.phase)).collect();
        let expire = |(key, phase)| {
            let step = match phase {
                SearchPhase::Suspended => self.give_up(key),
                SearchPhase::Asking | SearchPhase::Probing => self.on_timeout(key, width, now),
            };
            (key, step)
        };
        due.into_iter().map(expire).collect()
    }

    /// Goes on without the answers and returned segments that are late: probes further backend servers,
    /// or concludes or suspends the search.
    fn on_timeout(
        &mut self,
        key: segment::StreamKey,
        width: u32,
        now: ids::UnixMillis,
    ) -> SearchStep {
        let Some(search) = self.searches.get_mut(&key) else { return SearchStep::Pending };
        let next = search.probe(width as usize, now);
        match next.is_empty() {
            false => search.probe_step(next),
            true if search.is_conclusive() => self.conclude(key),
            true => {
                search.suspend(now);
                SearchStep::Pending
            }
        }
    }

    /// Goes on after an answer, or if there is nobody left to query: probes further backend servers, or
    /// concludes the search.
    pub fn advance(
        &mut self,
        key: segment::StreamKey,
        width: u32,
        now: ids::UnixMillis,
    ) -> SearchStep {
        let Some(search) = self.searches.get_mut(&key) else { return SearchStep::Pending };
        let next = search.probe((width as usize).saturating_sub(search.probed.len()), now);
        match next.is_empty() {
            false => search.probe_step(next),
            true if search.probed.is_empty() && search.is_conclusive() => self.conclude(key),
            true if search.probed.is_empty() && search.phase != SearchPhase::Suspended => {
                search.suspend(now);
                SearchStep::Pending
            }
            true => SearchStep::Pending,
        }
    }

    fn conclude(&mut self, key: segment::StreamKey) -> SearchStep {
        self.searches.remove(&key).map_or(SearchStep::Pending, SearchStep::Concluded)
    }

    fn give_up(&mut self, key: segment::StreamKey) -> SearchStep {
        self.searches.remove(&key).map_or(SearchStep::Pending, SearchStep::GivenUp)
    }

    /// Makes room for a search, if need be at the expense of a suspended one.
    fn make_room(&mut self) -> bool {
        if self.searches.len() < MAX_SEARCHES {
            return true;
        }
        let mut suspended =
            self.searches.iter().filter(|(_, search)| search.phase == SearchPhase::Suspended);
        let suspended = suspended.next().map(|(key, _)| *key);
        suspended.is_some_and(|key| self.searches.remove(&key).is_some())
    }

    /// How many searches are in progress.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Whether no search is in progress.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }
}
