//! Openings that wait at an agent until its backend server has a free slot.
//!
//! The queue absorbs short bursts, as after an outage. Openings that are expected to be answered
//! within a share of their latency target may wait, in order of arrival. There are a few places for
//! the others, which are served newest first: in order of arrival, late openings would make every
//! later one late as well.

use std::cmp;
use std::net;

use crate::ids;
use crate::manifest;
use crate::stream::message;
use crate::stream::segment;

/// The age from which on an opening is not delivered any more, in milliseconds; callers give up an
/// attempt after 1.4 s.
///
/// The difference is a round trip.
const ATTEMPT_TIMEOUT_MS: u64 = 1_350;

/// The age of an opening by the number of retransmissions before it, in milliseconds.
///
/// Callers retransmit it after 200 and after 600 ms.
const RETRANSMISSION_AGES_MS: [u64; 3] = [0, 200, 600];

/// The maximum number of openings that wait at one agent; they are ranked at each change.
///
/// Each takes some 200 bytes, and the smallest agents have 64 MB.
const MAX_WAITING: usize = 1_024;

/// The service rate of a backend server, and the limits of its queue.
#[derive(Clone, Copy, Debug)]
pub struct QueueParameters {
    /// The duration of a request, in milliseconds; zero before the first one.
    pub work_ms: u64,
    /// How many requests run concurrently.
    pub slots: u32,
    /// How many openings may wait that are not expected to be answered in time.
    pub places: usize,
    /// The share of the latency target within which an opening counts as in time, in percent.
    pub aim_percent: u32,
}

impl QueueParameters {
    /// The expected wait of an opening with `ahead` others before it, in milliseconds.
    fn wait_ms(&self, ahead: usize) -> u64 {
        (ahead as u64 + 1) * self.work_ms / u64::from(self.slots.max(1))
    }
}

/// A waiting opening.
#[derive(Clone, Debug)]
pub struct WaitingOpening {
    /// The stream.
    pub key: segment::StreamKey,
    /// The balancer that sent it.
    pub balancer: net::SocketAddrV4,
    /// The message that carried it.
    pub carry: message::CarryMessage,
    /// When it arrived at this agent.
    pub arrived: ids::UnixMillis,
    /// When the caller first sent it, estimated from the number of retransmissions.
    first_sent: ids::UnixMillis,
    terms: manifest::StreamTerms,
    /// Whether it was expected to be answered in time when the last opening arrived.
    is_reserved: bool,
}

impl WaitingOpening {
    /// Creates an opening that has just arrived, preceded by `copies` retransmissions.
    pub fn new(
        key: segment::StreamKey,
        balancer: net::SocketAddrV4,
        carry: message::CarryMessage,
        copies: u32,
        terms: manifest::StreamTerms,
        now: ids::UnixMillis,
    ) -> WaitingOpening {
        let last = RETRANSMISSION_AGES_MS.len() - 1;
        let age = RETRANSMISSION_AGES_MS[(copies as usize).min(last)];
        WaitingOpening {
            key,
            balancer,
            carry,
            arrived: now,
            first_sent: ids::UnixMillis(now.0.saturating_sub(age)),
            terms,
            is_reserved: false,
        }
    }

    /// Whether it can be answered within its latency target if it is delivered now.
    pub fn is_in_time(&self, work_ms: u64, now: ids::UnixMillis) -> bool {
        now.since(self.first_sent) + work_ms <= u64::from(self.terms.aim_ms)
    }

    /// Whether it will be answered within the configured share of its latency target, even if its
    /// request takes twice as long as the average. Never before the first measurement.
    fn is_in_time_queued(&self, pace: QueueParameters, ahead: usize, now: ids::UnixMillis) -> bool {
        let answered_ms = now.since(self.first_sent) + pace.wait_ms(ahead) + 2 * pace.work_ms;
        let limit_ms = u64::from(self.terms.aim_ms) * u64::from(pace.aim_percent) / 100;
        pace.work_ms > 0 && answered_ms <= limit_ms
    }

    /// Whether it can be answered before its caller gives up if it is delivered now.
    fn is_viable(&self, work_ms: u64, now: ids::UnixMillis) -> bool {
        let age = now.since(self.first_sent);
        age < ATTEMPT_TIMEOUT_MS && age + work_ms < u64::from(self.terms.deadline_ms)
    }

    /// The order of delivery, highest first: openings that can meet their latency target, then by
    /// priority, then those expected in time, oldest first, then the others, newest first.
    ///
    /// The newest opening has the most time left; oldest first, all would be late once the hosts fall
    /// behind. The number of openings expected in time is bounded, so these can be served in order.
    fn rank(&self, work_ms: u64, now: ids::UnixMillis) -> impl Ord + use<> {
        let sent = self.first_sent.0;
        let age_rank = if self.is_reserved { u64::MAX - sent } else { sent };
        let priority = cmp::Reverse(self.terms.priority);
        (self.is_in_time(work_ms, now), priority, self.is_reserved, age_rank)
    }
}

/// The waiting openings of one agent.
#[derive(Debug, Default)]
pub struct OpeningQueue {
    openings: Vec<WaitingOpening>,
}

impl OpeningQueue {
    /// Adds an opening; returns those that are evicted.
    pub fn push(
        &mut self,
        opening: WaitingOpening,
        pace: QueueParameters,
        now: ids::UnixMillis,
    ) -> Vec<WaitingOpening> {
        match self.openings.iter_mut().find(|held| held.key == opening.key) {
            Some(held) => {
                let first_sent = held.first_sent.min(opening.first_sent);
                let (arrived, is_reserved) = (held.arrived, held.is_reserved);
                *held = WaitingOpening { arrived, first_sent, is_reserved, ..opening };
                Vec::new()
            }
            None => {
                self.openings.push(opening);
                self.remove_excess(pace, now)
            }
        }
    }

    /// Removes and returns the opening to deliver next.
    pub fn pop(&mut self, work_ms: u64, now: ids::UnixMillis) -> Option<WaitingOpening> {
        let ranks = self.openings.iter().enumerate();
        let (first, _) = ranks.max_by_key(|(_, opening)| opening.rank(work_ms, now))?;
        Some(self.openings.swap_remove(first))
    }

    /// Reinserts an opening that has just been removed.
    pub fn reinsert(&mut self, opening: WaitingOpening) {
        self.openings.push(opening);
    }

    /// Removes and returns the openings that can no longer be answered before their callers give up.
    pub fn remove_expired(&mut self, work_ms: u64, now: ids::UnixMillis) -> Vec<WaitingOpening> {
        self.openings.extract_if(.., |opening| !opening.is_viable(work_ms, now)).collect()
    }

    /// Removes and returns the openings that are not expected in time and exceed the places.
    fn remove_excess(
        &mut self,
        pace: QueueParameters,
        now: ids::UnixMillis,
    ) -> Vec<WaitingOpening> {
        let work_ms = pace.work_ms;
        self.openings.sort_by_cached_key(|opening| cmp::Reverse(opening.rank(work_ms, now)));
        let (mut reserved, mut others) = (0, 0);
        let is_surplus = |opening: &mut WaitingOpening| {
            let ahead = reserved + others;
            opening.is_reserved =
                ahead < MAX_WAITING && opening.is_in_time_queued(pace, ahead, now);
            match opening.is_reserved {
                true => reserved += 1,
                false => others += 1,
            }
            others > pace.places
        };
        self.openings.extract_if(.., is_surplus).collect()
    }
}

impl OpeningQueue {
    /// The number of waiting openings.
    pub fn len(&self) -> usize {
        self.openings.len()
    }

    /// Whether no opening waits.
    pub fn is_empty(&self) -> bool {
        self.openings.is_empty()
    }
}
