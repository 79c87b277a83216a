//! Detection of pauses of the process itself.
//!
//! A process that was suspended finds seconds of openings in its socket. Their callers have given up
//! or were served through other processes; delivering them would fill backend servers with streams
//! that nobody uses. Its state, such as load reports, is just as outdated.

use crate::ids;
use crate::stream::policy;

/// How long openings are ignored after a pause, in milliseconds.
///
/// Within this time the backlog is read and every agent reports once. A caller whose opening is still
/// valid repeats it within 200 ms.
const RECOVERY_MS: u64 = 120;

/// Detects that the process was paused.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    pause_ms: u64,
    last_activity: ids::UnixMillis,
    resumed: Option<ids::UnixMillis>,
}

impl PauseDetector {
    /// Creates the detector of a process that starts at `now`.
    pub fn new(policy: &policy::RecoveryPolicy, now: ids::UnixMillis) -> PauseDetector {
        PauseDetector { pause_ms: policy.pause_ms.into(), last_activity: now, resumed: None }
    }

    /// Records activity of the process; returns the length of the pause before it, in milliseconds,
    /// if there was one.
    pub fn on_activity(&mut self, now: ids::UnixMillis) -> Option<u64> {
        let paused_ms = now.since(self.last_activity);
        self.last_activity = now;
        if paused_ms < self.pause_ms {
            return None;
        }
        self.resumed = Some(now);
        Some(paused_ms)
    }

    /// Whether openings are ignored because of a recent pause.
    pub fn is_resuming(&self, now: ids::UnixMillis) -> bool {
        self.resumed.is_some_and(|resumed| now.since(resumed) < RECOVERY_MS)
    }
}
