//! Openings that wait a moment for an agent with room.
//!
//! A refusal costs the caller one of its few tries, and it tries again within milliseconds, when
//! nothing has changed. At 40 ms a request a host with 5 slots frees one every 8 ms, so a wait of
//! a few of those places what a refusal would lose. The wait is short and the places are few: what
//! cannot be served in time is refused.

use std::collections;

use crate::ids;
use crate::stream::segment;

/// How long an opening waits for a free slot, in milliseconds: some turns of a busy host, and well
/// within callers' aims of 150 to 250 ms.
const ROOM_MS: u64 = 80;

/// How long an opening waits for any agent to be heard of, in milliseconds.
///
/// A balancer that has just started knows none for some 20 ms; agents that start with it take up
/// to half a second. Callers wait 1.4 s for an opening.
const AGENT_MS: u64 = 800;

/// How many openings wait, 32 bytes each: at 2,500 a second and balancer, what comes in 400 ms.
const PLACES: usize = 1_000;

/// Why an opening waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ParkReason {
    /// Every agent has refused it.
    NoRoom,
    /// No agent of the service is heard.
    NoAgent,
}

impl ParkReason {
    fn limit_ms(self) -> u64 {
        match self {
            ParkReason::NoRoom => ROOM_MS,
            ParkReason::NoAgent => AGENT_MS,
        }
    }
}

/// An opening that waits.
#[derive(Clone, Debug)]
pub struct ParkedOpening {
    /// The stream.
    pub key: segment::StreamKey,
    /// The segment.
    pub bytes: Vec<u8>,
}

/// The openings of one balancer that wait, the oldest first.
#[derive(Debug, Default)]
pub struct ParkedOpenings {
    queue: collections::VecDeque<ParkedOpening>,
    keys: collections::HashSet<segment::StreamKey, foldhash::fast::FixedState>,
}

impl ParkedOpenings {
    /// Has an opening wait that first came at `opened`; says whether it may.
    pub fn park(
        &mut self,
        opening: ParkedOpening,
        reason: ParkReason,
        opened: ids::UnixMillis,
        now: ids::UnixMillis,
    ) -> bool {
        let has_time = now.since(opened) < reason.limit_ms();
        if !has_time || self.queue.len() >= PLACES {
            return false;
        }
        if self.keys.insert(opening.key) {
            self.queue.push_back(opening);
        }
        true
    }

    /// Takes every opening out, to be tried again.
    pub fn take_all(&mut self) -> collections::VecDeque<ParkedOpening> {
        self.keys.clear();
        std::mem::take(&mut self.queue)
    }
}

impl ParkedOpenings {
    /// Whether a stream's opening waits.
    pub fn contains(&self, key: segment::StreamKey) -> bool {
        self.keys.contains(&key)
    }
}
