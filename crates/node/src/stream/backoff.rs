//! Delays between calls to the platform.

use std::time;

use rand::RngExt as _;

/// The delay after the first failed call, in milliseconds.
pub(crate) const MIN_DELAY_MS: u64 = 100;

/// The maximum delay after a failed call, in milliseconds: a change must be in force within seconds
/// of the platform's return.
const MAX_DELAY_MS: u64 = 800;

/// Sleeps for the delay with jitter, then doubles the delay up to its maximum.
pub(crate) async fn wait(delay_ms: &mut u64) {
    sleep_ms(jittered(*delay_ms)).await;
    *delay_ms = (*delay_ms * 2).min(MAX_DELAY_MS);
}

/// Adds jitter to a delay: half to one and a half times its length, so that processes that failed
/// together don't retry together.
pub(crate) fn jittered(millis: u64) -> u64 {
    millis / 2 + rand::rng().random_range(0..millis.max(1))
}

/// A random delay below `millis`, which spreads the calls of processes that react to the same
/// event.
pub(crate) fn random_delay(millis: u64) -> u64 {
    rand::rng().random_range(0..millis.max(1))
}

pub(crate) async fn sleep_ms(millis: u64) {
    smol::Timer::after(time::Duration::from_millis(millis)).await;
}
