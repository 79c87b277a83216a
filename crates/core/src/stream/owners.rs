//! A balancer's cache of the agent for each stream.
//!
//! The agents are authoritative; a balancer without an entry queries them.

use std::collections;
use std::mem;
use std::net;

use crate::ids;
use crate::stream::lookup;
use crate::stream::segment;
use crate::stream::sent;

/// The minimum time that an unused entry is kept, in milliseconds; longer than callers leave a
/// stream idle.
///
/// Streams are idle for 15 s at most, and an entry takes a few hundred bytes.
const GENERATION_MS: u64 = 20_000;

/// The age from which on another opening starts a new stream from the same port, in milliseconds;
/// callers give up an opening after 1.4 s.
const OPENING_MS: u64 = 2_000;

/// How long a candidate may take for its first answer, in milliseconds; callers retransmit a segment
/// after 200 ms.
const CANDIDATE_TIMEOUT_MS: u64 = 150;

/// The result of the search for a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum SearchState {
    /// There was no search: the opening passed through here, or an agent reported the stream.
    #[default]
    NotSearched,
    /// Every agent except the candidates has denied the stream.
    Complete(lookup::SearchCoverage),
}

/// The destination of a repeated opening.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RepeatTarget {
    /// The agent whose backend server opened the stream.
    Holder(net::SocketAddrV4),
    /// The agent at which the opening waits for a slot.
    Waiting(net::SocketAddrV4),
    /// The agent that received it last; the network duplicated the opening.
    Last(net::SocketAddrV4),
    /// An agent that has not received it.
    Untried,
}

/// A balancer's state for one stream.
#[derive(Clone, Debug)]
pub struct StreamOwner {
    /// When its first opening arrived.
    pub opened: ids::UnixMillis,
    /// How many retransmissions of its opening preceded the latest one.
    pub copies: u32,
    /// Agents that received its opening, the latest last.
    pub tried: Vec<net::SocketAddrV4>,
    /// Agents that received its opening although all their slots were in use.
    pub queued: Vec<net::SocketAddrV4>,
    /// Agents whose backend server opened it, with the initial sequence number.
    pub holders: Vec<(net::SocketAddrV4, Option<u32>)>,
    /// Possible holders to try next.
    pub candidates: Vec<net::SocketAddrV4>,
    /// The result of the search that found the candidates.
    pub search: SearchState,
    /// When the current candidate was chosen as holder.
    pub candidate_since: ids::UnixMillis,
    /// The last segment with data from the caller.
    pub sent: Option<sent::LastSentSegment>,
    /// Whether the caller has closed it.
    pub is_ended: bool,
}

impl StreamOwner {
    /// Creates the state of a stream whose opening has just arrived.
    pub fn new(now: ids::UnixMillis) -> StreamOwner {
        StreamOwner {
            opened: now,
            copies: 0,
            tried: Vec::new(),
            queued: Vec::new(),
            holders: Vec::new(),
            candidates: Vec::new(),
            search: SearchState::NotSearched,
            candidate_since: now,
            sent: None,
            is_ended: false,
        }
    }

    /// Creates the state of a stream that an agent holds, or may hold.
    pub fn held_by(agent: net::SocketAddrV4, now: ids::UnixMillis) -> StreamOwner {
        StreamOwner { holders: vec![(agent, None)], ..StreamOwner::new(now) }
    }

    /// Makes the next candidate the holder if the current one has not responded in time.
    ///
    /// A backend server may silently ignore segments of a half-open stream whose answer the caller did
    /// not accept, and its agent cannot tell after a restart.
    pub fn try_next_candidate(&mut self, now: ids::UnixMillis) {
        let is_candidate = self.search != SearchState::NotSearched;
        let is_due = now.since(self.candidate_since) >= CANDIDATE_TIMEOUT_MS;
        if !is_candidate || !is_due {
            return;
        }
        if let Some(next) = self.candidates.pop() {
            let last = self.holders.drain(..).map(|(agent, _)| agent);
            self.candidates.splice(0..0, last);
            self.holders.push((next, None));
            self.candidate_since = now;
        }
    }

    /// Records that an agent holds the stream.
    pub fn add_holder(&mut self, agent: net::SocketAddrV4, first_sequence: Option<u32>) {
        if self.search != SearchState::NotSearched {
            self.search = SearchState::NotSearched;
            self.candidates.clear();
            self.holders.clear();
        }
        self.holders.retain(|(holder, _)| *holder != agent);
        self.holders.push((agent, first_sequence));
    }

    /// The destination of a segment with the acknowledgement number `acknowledged`.
    ///
    /// If a retransmitted opening went to a second agent, two backend servers hold the stream half
    /// open. The acknowledgement number shows whose answer the caller accepted.
    pub fn target(&self, acknowledged: u32) -> Option<net::SocketAddrV4> {
        let fits = |first: &Option<u32>| {
            first.is_none_or(|first| segment::is_within_stream(first, acknowledged))
        };
        match self.holders.iter().find(|(_, first)| fits(first)) {
            Some((agent, _)) => Some(*agent),
            None if self.holders.is_empty() => self.tried.last().copied(),
            // The caller accepted the answer to an opening that passed through another balancer.
            None => None,
        }
    }

    /// Records a repeated opening, preceded by `copies` retransmissions; returns its destination.
    pub fn on_repeated_opening(&mut self, copies: u32) -> RepeatTarget {
        let is_new_try = copies > self.copies;
        self.copies = self.copies.max(copies);
        match (self.holders.first(), self.tried.last()) {
            (Some((holder, _)), _) => RepeatTarget::Holder(*holder),
            (None, Some(last)) if self.queued.last() == Some(last) => RepeatTarget::Waiting(*last),
            (None, Some(last)) if !is_new_try => RepeatTarget::Last(*last),
            _ => RepeatTarget::Untried,
        }
    }

    /// Whether a further opening belongs to a new stream from the same port.
    pub fn is_over(&self, now: ids::UnixMillis) -> bool {
        self.is_ended || now.since(self.opened) > OPENING_MS
    }

    /// Removes an agent from the holders.
    pub fn remove_holder(&mut self, agent: net::SocketAddrV4) {
        self.holders.retain(|(holder, _)| *holder != agent);
        self.tried.retain(|tried| *tried != agent);
    }
}

type OwnerMap = collections::HashMap<segment::StreamKey, StreamOwner, foldhash::fast::FixedState>;

/// The streams known to one balancer, in two generations: entries move to the younger one when they
/// are used, and the older one is dropped as a whole.
#[derive(Debug, Default)]
pub struct StreamOwners {
    young: OwnerMap,
    old: OwnerMap,
    rotated: ids::UnixMillis,
}

impl StreamOwners {
    /// Returns the entry of a stream and marks it as used.
    pub fn touch(&mut self, key: segment::StreamKey) -> Option<&mut StreamOwner> {
        if let Some(owner) = self.old.remove(&key) {
            self.young.insert(key, owner);
        }
        self.young.get_mut(&key)
    }

    /// Inserts an entry, replacing any earlier one.
    pub fn insert(&mut self, key: segment::StreamKey, owner: StreamOwner) -> &mut StreamOwner {
        self.old.remove(&key);
        self.young.entry(key).insert_entry(owner).into_mut()
    }

    /// Removes a stream.
    pub fn remove(&mut self, key: segment::StreamKey) {
        self.young.remove(&key);
        self.old.remove(&key);
    }

    /// Drops the older generation if it is due.
    pub fn rotate(&mut self, now: ids::UnixMillis) {
        if now.since(self.rotated) >= GENERATION_MS {
            self.rotated = now;
            self.old = mem::take(&mut self.young);
        }
    }

    /// The number of known streams.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether no stream is known.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
