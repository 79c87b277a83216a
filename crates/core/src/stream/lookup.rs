//! The search for a stream whose owner is not known.
//!
//! A caller's segments move to another balancer when one joins, leaves or dies. That one asks the
//! agents of the service, keeps the caller's segments meanwhile, and has its answer after one
//! round trip. A service has few hosts: three on average at the largest size.

use std::collections;
use std::net;

use crate::ids;
use crate::stream::segment;

/// How long agents may take to answer, in milliseconds: some round trips between data centres.
const ANSWER_MS: u64 = 40;

/// How many segments of a stream wait for the answer: what a caller has under way.
const WAITING_SEGMENTS: usize = 16;

/// How many searches run at the same time.
///
/// All streams of a balancer that has died move at once; at 16 segments of 1.2 KB each, so many
/// may keep 40 MB. Beyond that segments are dropped, and their callers send them again.
const SEARCHES: usize = 2_000;

/// A search.
#[derive(Clone, Debug)]
pub struct OwnerSearch {
    /// The service that the configuration names for the stream, if it names any.
    pub service: Option<ids::ServiceId>,
    /// When it began.
    pub began: ids::UnixMillis,
    /// How many agents were asked.
    pub asked: usize,
    /// How many do not hold the stream.
    pub denied: usize,
    /// Agents that do not know, since they started later than their backend servers.
    pub unsure: Vec<net::SocketAddrV4>,
    /// The number that the caller expects next.
    pub caller_expects: u32,
    /// The caller's segments.
    pub waiting: Vec<Vec<u8>>,
}

impl OwnerSearch {
    /// Whether every agent that was asked has answered.
    pub fn is_answered(&self) -> bool {
        self.denied + self.unsure.len() >= self.asked
    }
}

/// What became of a segment of a stream with an unknown owner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WaitOutcome {
    /// A search has begun: ask the agents.
    Began,
    /// It waits for a search under way.
    Waits,
    /// There is no room for it.
    NoRoom,
}

/// The searches of one balancer.
#[derive(Debug, Default)]
pub struct OwnerSearches {
    searches: collections::HashMap<segment::StreamKey, OwnerSearch, foldhash::fast::FixedState>,
}

impl OwnerSearches {
    /// Keeps a segment until the search for its stream ends.
    pub fn wait(
        &mut self,
        key: segment::StreamKey,
        service: Option<ids::ServiceId>,
        asked: usize,
        segment: &segment::StreamSegment<'_>,
        now: ids::UnixMillis,
    ) -> WaitOutcome {
        let bytes = segment.bytes;
        let is_full = self.searches.len() >= SEARCHES;
        match self.searches.get_mut(&key) {
            Some(search) if search.waiting.len() < WAITING_SEGMENTS => {
                search.waiting.push(bytes.to_vec());
                WaitOutcome::Waits
            }
            Some(_) => WaitOutcome::NoRoom,
            None if is_full => WaitOutcome::NoRoom,
            None => {
                let waiting = vec![bytes.to_vec()];
                let (denied, unsure) = (0, Vec::new());
                let search = OwnerSearch {
                    service,
                    began: now,
                    asked,
                    denied,
                    unsure,
                    caller_expects: segment.head.acknowledged,
                    waiting,
                };
                self.searches.insert(key, search);
                WaitOutcome::Began
            }
        }
    }

    /// Takes in that an agent does not hold a stream; gives the search back if it was the last.
    pub fn deny(
        &mut self,
        key: segment::StreamKey,
        agent: net::SocketAddrV4,
        is_sure: bool,
    ) -> Option<OwnerSearch> {
        let search = self.searches.get_mut(&key)?;
        match is_sure {
            true => search.denied += 1,
            false => search.unsure.push(agent),
        }
        match search.is_answered() {
            true => self.searches.remove(&key),
            false => None,
        }
    }

    /// Ends a search.
    pub fn end(&mut self, key: segment::StreamKey) -> Option<OwnerSearch> {
        self.searches.remove(&key)
    }

    /// Ends every search that has had no answer for too long.
    pub fn expire(&mut self, now: ids::UnixMillis) -> Vec<(segment::StreamKey, OwnerSearch)> {
        let is_over =
            |_: &segment::StreamKey, search: &mut OwnerSearch| now.since(search.began) >= ANSWER_MS;
        self.searches.extract_if(is_over).collect()
    }

    /// How many searches are under way.
    pub fn len(&self) -> usize {
        self.searches.len()
    }

    /// Whether no search is under way.
    pub fn is_empty(&self) -> bool {
        self.searches.is_empty()
    }
}
