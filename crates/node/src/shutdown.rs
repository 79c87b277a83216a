//! Waiting for the signal to shut down.

use async_signal::Signals;
use smol::stream::StreamExt as _;

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
///
/// Fails if the signals cannot be watched.
pub async fn requested() -> eyre::Result<()> {
    let wanted = [async_signal::Signal::Term, async_signal::Signal::Int];
    let mut signals = Signals::new(wanted)?;
    signals.next().await;
    Ok(())
}
