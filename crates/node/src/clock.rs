//! The clock of a process.

use std::time;

use rosemaryusher_core::ids;
use rustix::time as kernel_time;

/// A monotonic clock: wall time at the start of the process plus `CLOCK_BOOTTIME` since then.
///
/// It ignores steps of the wall clock, and advances while the machine is suspended, so that state from
/// before a suspend expires as it does on other machines.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    started: ids::UnixMillis,
    origin_ms: u64,
}

impl ProcessClock {
    /// Reads the wall clock.
    pub fn start() -> ProcessClock {
        let elapsed = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
        let millis = elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64);
        ProcessClock { started: ids::UnixMillis(millis), origin_ms: since_boot_ms() }
    }

    /// The time now.
    pub fn now(&self) -> ids::UnixMillis {
        self.started.plus(since_boot_ms().saturating_sub(self.origin_ms))
    }

    /// The time at the start of the process.
    pub fn started(&self) -> ids::UnixMillis {
        self.started
    }
}

fn since_boot_ms() -> u64 {
    let now = kernel_time::clock_gettime(kernel_time::ClockId::Boottime);
    now.tv_sec as u64 * 1_000 + now.tv_nsec as u64 / 1_000_000
}
