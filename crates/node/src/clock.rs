//! The one clock of a process.

use std::time;

use rosemaryusher_core::ids;

/// Wall time at the start of the process, moved on by the monotonic clock.
///
/// Steps of the wall clock while the process runs do not reach the decisions.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: ids::UnixMillis,
    origin: time::Instant,
}

impl ProcessClock {
    /// Reads the wall clock.
    pub fn start() -> ProcessClock {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64);
        ProcessClock { started: ids::UnixMillis(millis), origin: time::Instant::now() }
    }

    /// The time now.
    pub fn now(&self) -> ids::UnixMillis {
        self.started.plus(self.origin.elapsed().as_millis() as u64)
    }

    /// The time at the start of the process.
    pub fn started(&self) -> ids::UnixMillis {
        self.started
    }
}
