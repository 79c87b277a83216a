//! The threads of a process.

use std::thread;

use eyre::WrapErr as _;

/// Starts a named thread.
///
/// # Errors
///
/// Fails if the system cannot create a thread.
pub fn spawn(name: &str, body: impl FnOnce() + Send + 'static) -> eyre::Result<()> {
    thread::Builder::new()
        .name(name.to_owned())
        .spawn(body)
        .wrap_err_with(|| format!("cannot start the thread {name}"))?;
    Ok(())
}

/// Logs the error that ended a thread or task.
pub fn log_failure(result: eyre::Result<()>) {
    if let Err(error) = result {
        log::error!("{error:#}");
    }
}
