//! Liveness of the machine of an announced agent that has not reported.
//!
//! Machines that were removed leave their announcements behind. Without this check, every search
//! after a power failure would wait for the answers of agents that no longer exist.

use crate::ids;

/// How long an announced agent may take to report before its machine is probed, in milliseconds;
/// processes that start together report within this time.
const PROBE_DELAY_MS: u64 = 100;

/// Interval between probes of the same machine, in milliseconds; longer than one probe takes.
const PROBE_INTERVAL_MS: u64 = 120;

/// How many unanswered probes show that a machine is down; more than one, since packets get lost.
const MAX_FAILED_PROBES: u8 = 2;

/// How long a mention by another balancer proves that the agent runs, in milliseconds.
const MENTION_VALID_MS: u64 = 1_000;

/// The liveness of the machine of an agent that has not reported.
///
/// A running machine answers a connection attempt at once, if only with a refusal while its agent
/// restarts. A machine that does not answer at all has no power or is unreachable.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineLiveness {
    last_probe: ids::UnixMillis,
    failed_probes: u8,
    /// When another balancer last mentioned the agent as reachable.
    last_mention: ids::UnixMillis,
}

impl MachineLiveness {
    /// Records that a probe of the machine was sent.
    pub fn on_probe(&mut self, now: ids::UnixMillis) {
        self.last_probe = now;
    }

    /// Records whether the machine answered.
    pub fn on_probe_outcome(&mut self, is_there: bool) {
        self.failed_probes = if is_there { 0 } else { self.failed_probes.saturating_add(1) };
    }

    /// Records that another balancer mentioned the agent as reachable.
    pub fn on_mention(&mut self, now: ids::UnixMillis) {
        self.last_mention = now;
    }
}

impl MachineLiveness {
    /// When another balancer last mentioned the agent as reachable.
    pub fn last_mention(&self) -> ids::UnixMillis {
        self.last_mention
    }

    /// Whether a probe is due, for an agent that has not reported since `known_since`.
    pub fn is_probe_due(&self, known_since: ids::UnixMillis, now: ids::UnixMillis) -> bool {
        let is_unreported = now.since(known_since) >= PROBE_DELAY_MS;
        is_unreported
            && self.failed_probes < MAX_FAILED_PROBES
            && now.since(self.last_probe) >= PROBE_INTERVAL_MS
    }

    /// Whether the machine is down, as far as this balancer and others can tell.
    pub fn is_gone(&self, now: ids::UnixMillis) -> bool {
        self.failed_probes >= MAX_FAILED_PROBES && now.since(self.last_mention) >= MENTION_VALID_MS
    }
}
