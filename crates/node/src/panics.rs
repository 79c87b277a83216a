//! Panic handling of a process.

use std::panic;
use std::process;

use crate::logs;

/// The exit code after a panic, the same that Rust uses for one in the main thread.
const PANIC_EXIT_CODE: i32 = 101;

/// Makes a panic in any thread end the process.
///
/// By default a panic ends only its thread, and a process without its decision thread would still
/// answer probes and be sent work.
pub fn exit_on_panic() {
    panic::set_hook(Box::new(|info| {
        log::error!("broken invariant: {info}");
        logs::flush();
        process::exit(PANIC_EXIT_CODE);
    }));
}
