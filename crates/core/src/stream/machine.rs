//! Whether the machine of an announced agent is there, before anything was heard of the agent.
//!
//! The load it answers: everything has lost its power, and machines that have just been taken away have
//! left their announcements behind. Every stream is dead and is searched for, and each search would
//! wait for the word of agents that are gone.

use crate::ids;

/// How long an announced agent has to be heard before its machine is looked at, in milliseconds:
/// processes that start together hear each other within this, and few are left.
const UNHEARD_MS: u64 = 100;

/// Between two looks at the same machine, in milliseconds: longer than one may take.
const AGAIN_MS: u64 = 120;

/// How many looks without any answer show that a machine is not there: a packet may be lost.
const SILENT_LOOKS: u8 = 2;

/// How long the word of another balancer that hears the agent holds, in milliseconds: each tells one
/// other at a time whom it hears, five times a second.
const TOLD_MS: u64 = 1_000;

/// What is known of the machine of an agent that has not been heard.
///
/// A machine that runs answers a connection at once, also while its agent is being restarted: it
/// refuses it. One that does not answer at all has no power, or is cut off.
#[derive(Clone, Copy, Debug, Default)]
pub struct MachineDoubt {
    looked: ids::UnixMillis,
    silent_looks: u8,
    /// When another balancer last said that it hears the agent.
    told: ids::UnixMillis,
}

impl MachineDoubt {
    /// Notes that the machine is being looked at.
    pub fn note_look(&mut self, now: ids::UnixMillis) {
        self.looked = now;
    }

    /// Takes in whether the machine answered.
    pub fn note_outcome(&mut self, is_there: bool) {
        self.silent_looks = if is_there { 0 } else { self.silent_looks.saturating_add(1) };
    }

    /// Notes that another balancer hears the agent.
    pub fn note_told(&mut self, now: ids::UnixMillis) {
        self.told = now;
    }
}

impl MachineDoubt {
    /// When another balancer last said that it hears the agent.
    pub fn told(&self) -> ids::UnixMillis {
        self.told
    }

    /// Whether the machine is to be looked at, of an agent that has not been heard since `known_since`.
    pub fn is_look_due(&self, known_since: ids::UnixMillis, now: ids::UnixMillis) -> bool {
        let is_unheard = now.since(known_since) >= UNHEARD_MS;
        is_unheard && self.silent_looks < SILENT_LOOKS && now.since(self.looked) >= AGAIN_MS
    }

    /// Whether the machine is not there, as far as anyone can tell.
    pub fn is_gone(&self, now: ids::UnixMillis) -> bool {
        self.silent_looks >= SILENT_LOOKS && now.since(self.told) >= TOLD_MS
    }
}
