//! Openings that wait at a balancer until an agent of their service is known.
//!
//! A balancer that has just started knows no agent for some 20 ms; refusing an opening in that time
//! would cost the caller one of its few attempts. Openings that every agent has refused are not
//! buffered: their late requests would fill the queues of hosts that have just restarted
//! (docs/MEASURES.md).

use std::collections;

use crate::ids;
use crate::stream::segment;

/// The maximum number of buffered openings; more than arrive in the default wait at 2,500 a second.
const MAX_BUFFERED: usize = 1_000;

/// A buffered opening.
#[derive(Clone, Debug)]
pub struct BufferedOpening {
    /// The stream.
    pub key: segment::StreamKey,
    /// The segment.
    pub bytes: Vec<u8>,
}

/// The buffered openings of one balancer, oldest first.
#[derive(Debug, Default)]
pub struct BufferedOpenings {
    queue: collections::VecDeque<BufferedOpening>,
    keys: collections::HashSet<segment::StreamKey, foldhash::fast::FixedState>,
}

impl BufferedOpenings {
    /// Buffers an opening that first arrived at `opened`; returns `false` if it is too old or there is
    /// no room.
    pub fn push(
        &mut self,
        opening: BufferedOpening,
        opened: ids::UnixMillis,
        wait_limit_ms: u64,
        now: ids::UnixMillis,
    ) -> bool {
        let has_time = now.since(opened) < wait_limit_ms;
        if !has_time || self.queue.len() >= MAX_BUFFERED {
            return false;
        }
        if self.keys.insert(opening.key) {
            self.queue.push_back(opening);
        }
        true
    }

    /// Removes and returns all buffered openings.
    pub fn take_all(&mut self) -> collections::VecDeque<BufferedOpening> {
        self.keys.clear();
        std::mem::take(&mut self.queue)
    }
}

impl BufferedOpenings {
    /// Whether the opening of a stream is buffered.
    pub fn contains(&self, key: segment::StreamKey) -> bool {
        self.keys.contains(&key)
    }
}
