//! Searches for the owner of a stream.
//!
//! When a balancer joins, leaves or fails, callers' segments move to another balancer. It queries the
//! agents of the service and queues the caller's segments until they have answered.
//!
//! Agents that have started after their backend servers cannot answer, but their backend servers
//! return a segment of a stream that they do not hold. The first segment is therefore sent to
//! several of these backend servers at a time.

use std::collections;
use std::net;

use crate::ids;
use crate::stream::agent_table::liveness;
use crate::stream::segment;

/// How long agents may take to answer, in milliseconds; several round trips between data centres.
const ANSWER_TIMEOUT_MS: u64 = 40;

/// How long backend servers may take to return a segment, in milliseconds; less than the 200 ms after
/// which callers retransmit it.
const PROBE_TIMEOUT_MS: u64 = 150;

/// The maximum number of queued segments of a stream; what a caller has in flight.
const MAX_QUEUED_SEGMENTS: usize = 16;

/// The maximum number of concurrent searches, which bounds the queued segments to 40 MB. Segments
/// beyond it are dropped, and their callers retransmit them.
const MAX_SEARCHES: usize = 2_000;

/// A search for the owner of one stream.
#[derive(Clone, Debug)]
pub struct OwnerSearch {
    /// The service of the stream in the configuration, if there is one.
    pub service: Option<ids::ServiceId>,
    /// When the current phase began.
    pub began: ids::UnixMillis,
    /// How many agents were queried.
    pub asked: usize,
    /// Queried agents that have not answered.
    unanswered: Vec<net::SocketAddrV4>,
    /// How many other agents were not queried because they are presumed to hold no stream.
    pub presumed_gone: usize,
    /// Whether every agent that may hold the stream was known at the start; agents that become known
    /// later are not queried.
    pub knows_all_members: bool,
    /// How many agents answered that they do not hold the stream.
    pub denied: usize,
    /// Agents that cannot tell because they started after their backend servers, which have not been
    /// probed yet.
    pub unsure: Vec<net::SocketAddrV4>,
    /// Agents whose backend servers were sent the first segment and have not returned it.
    pub probed: Vec<net::SocketAddrV4>,
    /// Whether all other possible holders have denied the stream.
    pub is_complete: bool,
    /// The sequence number that the caller expects next.
    pub caller_expects: u32,
    /// The caller's queued segments.
    pub waiting: Vec<Vec<u8>>,
}

impl OwnerSearch {
    /// Whether every queried agent has answered.
    pub fn is_answered(&self) -> bool {
        self.unanswered.is_empty()
    }

    /// Whether backend servers are being probed with the first segment.
    pub fn is_probing(&self) -> bool {
        !self.probed.is_empty()
    }

    fn is_timed_out(&self, now: ids::UnixMillis) -> bool {
        let limit_ms = if self.is_probing() { PROBE_TIMEOUT_MS } else { ANSWER_TIMEOUT_MS };
        now.since(self.began) >= limit_ms
    }
}

/// The outcome of queueing a segment of a stream with an unknown owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EnqueueOutcome {
    /// A search has started, and the agents must be queried.
    Started,
    /// The segment was added to a search in progress.
    Pending,
    /// There is no room, and the segment is dropped.
    NoRoom,
}

/// The outcome of a returned probe.
#[derive(Clone, Debug)]
pub enum ProbeOutcome {
    /// No probe of the stream is in progress.
    NotProbing,
    /// Other backend servers have not returned theirs.
    Pending,
    /// The segment must be sent to this agent next.
    Next(net::SocketAddrV4, Vec<u8>),
    /// All backend servers have returned the segment.
    Exhausted(OwnerSearch),
}

/// The searches of one balancer.
#[derive(Debug, Default)]
pub struct OwnerSearches {
    searches: collections::HashMap<segment::StreamKey, OwnerSearch, foldhash::fast::FixedState>,
}

impl OwnerSearches {
    /// Queues a segment until the search for its stream ends, and starts the search if needed.
    pub fn enqueue(
        &mut self,
        key: segment::StreamKey,
        service: Option<ids::ServiceId>,
        holders: &liveness::PossibleHolders,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
    ) -> EnqueueOutcome {
        let bytes = segment.bytes;
        let is_full = self.searches.len() >= MAX_SEARCHES;
        match self.searches.get_mut(&key) {
            Some(search) if search.waiting.len() < MAX_QUEUED_SEGMENTS => {
                search.waiting.push(bytes.to_vec());
                EnqueueOutcome::Pending
            }
            Some(_) => EnqueueOutcome::NoRoom,
            None if is_full => EnqueueOutcome::NoRoom,
            None => {
                let waiting = vec![bytes.to_vec()];
                let (denied, unsure) = (0, Vec::new());
                let search = OwnerSearch {
                    service,
                    began: now,
                    asked: holders.agents.len(),
                    unanswered: holders.agents.clone(),
                    presumed_gone: holders.presumed_gone,
                    knows_all_members: holders.knows_all_members,
                    denied,
                    unsure,
                    probed: Vec::new(),
                    is_complete: false,
                    caller_expects: segment.head.acknowledged,
                    waiting,
                };
                self.searches.insert(key, search);
                EnqueueOutcome::Started
            }
        }
    }

    /// Records the answer of an agent that does not hold the stream or cannot tell; returns the search
    /// if this was the last answer.
    ///
    /// An answer that arrives twice, or that an earlier search for the stream has asked for, must not
    /// stand for the one of another agent.
    pub fn on_absent(
        &mut self,
        key: segment::StreamKey,
        agent: net::SocketAddrV4,
        is_sure: bool,
    ) -> Option<OwnerSearch> {
        let search = self.searches.get_mut(&key).filter(|search| !search.is_probing())?;
        let place = search.unanswered.iter().position(|unanswered| *unanswered == agent)?;
        search.unanswered.swap_remove(place);
        match is_sure {
            true => search.denied += 1,
            false => search.unsure.push(agent),
        }
        match search.is_answered() {
            true => self.searches.remove(&key),
            false => None,
        }
    }

    /// Continues a search by probing up to `width` backend servers; returns their agents.
    pub fn probe(
        &mut self,
        key: segment::StreamKey,
        mut search: OwnerSearch,
        width: u32,
        now: ids::UnixMillis,
    ) -> Vec<net::SocketAddrV4> {
        search.began = now;
        let width = search.unsure.len().min(width as usize);
        search.probed = search.unsure.split_off(search.unsure.len() - width);
        let probed = search.probed.clone();
        self.searches.insert(key, search);
        probed
    }

    /// Records that an agent's backend server returned the segment.
    pub fn on_returned(
        &mut self,
        key: segment::StreamKey,
        agent: net::SocketAddrV4,
    ) -> ProbeOutcome {
        let Some(search) = self.searches.get_mut(&key).filter(|search| search.is_probing()) else {
            return ProbeOutcome::NotProbing;
        };
        let Some(place) = search.probed.iter().position(|probed| *probed == agent) else {
            return ProbeOutcome::Pending;
        };
        search.probed.swap_remove(place);
        if let Some(next) = search.unsure.pop() {
            search.probed.push(next);
            let segment = search.waiting.first().cloned().unwrap_or_default();
            return ProbeOutcome::Next(next, segment);
        }
        match search.probed.is_empty() {
            true => {
                self.searches.remove(&key).map_or(ProbeOutcome::NotProbing, ProbeOutcome::Exhausted)
            }
            false => ProbeOutcome::Pending,
        }
    }

    /// Ends and returns the search for a stream.
    pub fn end(&mut self, key: segment::StreamKey) -> Option<OwnerSearch> {
        self.searches.remove(&key)
    }

    /// Ends and returns all searches that have timed out.
    pub fn expire(&mut self, now: ids::UnixMillis) -> Vec<(segment::StreamKey, OwnerSearch)> {
        self.searches.extract_if(|_, search| search.is_timed_out(now)).collect()
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
