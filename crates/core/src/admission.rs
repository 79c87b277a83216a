//! Admission control for one backend server: a fixed number of slots and a bounded queue.
//!
//! A request that cannot start before its deadline is refused at once, with a jittered retry
//! delay so that refused callers do not retry in lockstep.

use std::collections;

use crate::ids;

/// The running time assumed before any request has finished, in milliseconds.
const INITIAL_AVERAGE_MS: f64 = 50.0;

/// The weight of the newest running time in the moving average.
const NEWEST_SAMPLE_WEIGHT: f64 = 0.1;

/// The upper bound of the retry delay, in seconds.
const MAX_RETRY_DELAY_S: u32 = 16;

/// Identifies one execution of a request within one run of an agent.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ExecutionId(pub u64);

/// The outcome of [`AdmissionGate::offer`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AdmissionDecision {
    /// The request takes a free slot.
    Start,
    /// The request is queued.
    Wait,
    /// The queue is full or the deadline cannot be met.
    Refuse {
        /// The delay before a retry, in seconds.
        after_s: u32,
    },
}

/// The outcome of [`AdmissionGate::finish`].
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SlotRelease {
    /// The request that takes the slot.
    pub start: Option<ExecutionId>,
    /// Queued requests whose deadline has passed; they were never started.
    pub expired: Vec<ExecutionId>,
}

#[derive(Clone, Copy, Debug)]
struct WaitingExecution {
    execution: ExecutionId,
    deadline: ids::UnixMillis,
}

/// The slots and the request queue of one backend server.
#[derive(Clone, Debug)]
pub struct AdmissionGate {
    slots: u32,
    queue_per_slot: u32,
    running: u32,
    waiting: collections::VecDeque<WaitingExecution>,
    average_ms: f64,
}

impl AdmissionGate {
    /// Creates a gate that runs `slots` requests at a time and queues `queue_per_slot` for each.
    pub fn new(slots: u32, queue_per_slot: u32) -> AdmissionGate {
        AdmissionGate {
            slots,
            queue_per_slot,
            running: 0,
            waiting: collections::VecDeque::new(),
            average_ms: INITIAL_AVERAGE_MS,
        }
    }

    /// Changes the limits; running and queued requests are unaffected.
    pub fn set_limits(&mut self, slots: u32, queue_per_slot: u32) {
        self.slots = slots;
        self.queue_per_slot = queue_per_slot;
    }

    /// Requests a slot; `jitter` is a random number that varies the retry delay.
    pub fn offer(
        &mut self,
        execution: ExecutionId,
        deadline: ids::UnixMillis,
        jitter: u64,
        now: ids::UnixMillis,
    ) -> AdmissionDecision {
        let wait_ms = self.expected_wait_ms();
        match () {
            _ if now >= deadline => self.refusal(jitter),
            _ if self.running < self.slots && self.waiting.is_empty() => {
                self.running += 1;
                AdmissionDecision::Start
            }
            _ if self.waiting.len() as u32 >= self.slots * self.queue_per_slot => {
                self.refusal(jitter)
            }
            _ if now.plus(wait_ms as u64) >= deadline => self.refusal(jitter),
            _ => {
                self.waiting.push_back(WaitingExecution { execution, deadline });
                AdmissionDecision::Wait
            }
        }
    }

    /// Frees the slot of a request that ran for `ran_ms` and starts the next one.
    pub fn finish(&mut self, ran_ms: u64, now: ids::UnixMillis) -> SlotRelease {
        self.running = self.running.saturating_sub(1);
        self.average_ms += (ran_ms as f64 - self.average_ms) * NEWEST_SAMPLE_WEIGHT;
        self.start_next(now)
    }

    /// Empties the queue, for an agent that must not start requests any more.
    pub fn clear_waiting(&mut self) -> Vec<ExecutionId> {
        self.waiting.drain(..).map(|waiting| waiting.execution).collect()
    }

    /// Removes queued requests whose deadline has passed.
    ///
    /// Also called before each start: a process that was suspended may resume with a queue whose
    /// callers have already been told that the outcome is unknown.
    pub fn drop_expired(&mut self, now: ids::UnixMillis) -> Vec<ExecutionId> {
        let expired = self.waiting.iter().filter(|waiting| waiting.deadline <= now);
        let expired = expired.map(|waiting| waiting.execution).collect();
        self.waiting.retain(|waiting| waiting.deadline > now);
        expired
    }

    fn start_next(&mut self, now: ids::UnixMillis) -> SlotRelease {
        let expired = self.drop_expired(now);
        let start = match self.running < self.slots {
            true => self.waiting.pop_front().map(|waiting| waiting.execution),
            false => None,
        };
        if start.is_some() {
            self.running += 1;
        }
        SlotRelease { start, expired }
    }
}

impl AdmissionGate {
    /// The number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The number of queued requests.
    pub fn waiting(&self) -> u32 {
        self.waiting.len() as u32
    }

    /// The maximum number of concurrent requests.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The retry delay for a request that is refused now, in seconds.
    ///
    /// The base is one second plus the time to drain the queue; `jitter` adds up to twice the base.
    pub fn retry_delay_s(&self, jitter: u64) -> u32 {
        let base = 1 + (self.expected_wait_ms() / 1_000.0) as u32;
        let jitter = (jitter % (2 * u64::from(base) + 1)) as u32;
        (base + jitter).min(MAX_RETRY_DELAY_S)
    }

    fn refusal(&self, jitter: u64) -> AdmissionDecision {
        AdmissionDecision::Refuse { after_s: self.retry_delay_s(jitter) }
    }

    fn expected_wait_ms(&self) -> f64 {
        let ahead = self.waiting.len() as f64 + 1.0;
        self.average_ms * ahead / f64::from(self.slots.max(1))
    }
}
