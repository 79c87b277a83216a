//! The threads of a process.

use std::panic;
use std::process;
use std::thread;

use eyre::WrapErr as _;

use crate::logs;

/// The exit code of a process that a broken invariant has stopped.
const BROKEN_INVARIANT: i32 = 101;

/// Starts a thread for one duty.
///
/// # Errors
///
/// Fails if the system has no thread left.
pub fn spawn(name: &str, duty: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(duty)
        .wrap_err_with(|| format!("cannot start the thread {name}"))?;
    Ok(())
}

/// Logs why a thread ended, if it failed.
pub fn report(result: eyre::Result<()>) {
    if let Err(error) = result {
        log::error!("{error:#}");
    }
}

/// Has a panic in any thread stop the whole process.
///
/// By default it would end one thread and leave the others: a process that answers probes, and so
/// keeps being sent work, but decides nothing. Stopped, it is replaced.
pub fn stop_on_panic() {
    panic::set_hook(Box::new(|info| {
        log::error!("broken invariant: {info}");
        logs::flush();
        process::exit(BROKEN_INVARIANT);
    }));
}
