//! The record of one process and its merge rules.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The role of a process.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberRole {
    /// Receives callers' datagrams.
    Balancer,
    /// Runs on an instance beside a backend server of the service.
    Agent(ids::ServiceId),
}

/// The phase of a process. Only moves forward within one run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum MemberPhase {
    /// Accepts new work.
    Serving,
    /// Finishes its work in progress and accepts no more.
    Draining,
    /// Has departed.
    Left {
        /// The run that imported the request records, if any.
        successor: Option<ids::InstanceId>,
    },
}

/// Whether peers consider a process alive.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub enum LivenessState {
    /// No probe has failed.
    Alive,
    /// Direct and indirect probes failed; may still refute.
    Suspect,
    /// Did not refute in time, or was superseded by a later run.
    Dead,
}

/// A versioned liveness state, ordered by version first.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct MemberLiveness {
    /// Raised only by the process itself, to refute a suspicion.
    pub version: u32,
    /// At equal versions the worse state takes precedence.
    pub state: LivenessState,
}

/// What is known of a process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct MemberRecord {
    /// Identifier of this run of the process.
    pub instance: ids::InstanceId,
    /// The configured name, equal for all runs of the process.
    pub name: String,
    /// Start of this run; the latest run of a name supersedes the others.
    pub started: ids::UnixMillis,
    /// The role.
    pub role: MemberRole,
    /// The configured data centre.
    pub data_centre: String,
    /// UDP address for packets between processes.
    pub packet_address: net::SocketAddr,
    /// HTTP address for control calls.
    pub control_address: net::SocketAddr,
    /// The phase.
    pub phase: MemberPhase,
    /// The liveness.
    pub liveness: MemberLiveness,
}

impl MemberRecord {
    /// Merges another record of the same run; returns whether this one changed.
    ///
    /// Phase and liveness are merged separately and each only increases, so neither a late message
    /// nor a refutation undoes a drain.
    pub fn merge(&mut self, other: &MemberRecord) -> bool {
        let before = (self.phase, self.liveness);
        self.phase = self.phase.max(other.phase);
        self.liveness = self.liveness.max(other.liveness);
        before != (self.phase, self.liveness)
    }
}

impl MemberRecord {
    /// Whether packets may be sent to the process.
    pub fn is_reachable(&self) -> bool {
        self.liveness.state != LivenessState::Dead
            && !matches!(self.phase, MemberPhase::Left { .. })
    }

    /// Whether the process may be given new work.
    pub fn accepts_new_work(&self) -> bool {
        self.liveness.state == LivenessState::Alive && self.phase == MemberPhase::Serving
    }

    /// A hash of the mutable fields, for comparing views.
    pub fn digest_word(&self) -> u64 {
        let phase = match self.phase {
            MemberPhase::Serving => 1,
            MemberPhase::Draining => 2,
            MemberPhase::Left { successor } => 3 + successor.map_or(0, |home| home.0),
        };
        let liveness = u64::from(self.liveness.version) << 8 | self.liveness.state as u64;
        ids::mix_words(ids::mix_words(self.instance.0, phase), liveness)
    }
}
