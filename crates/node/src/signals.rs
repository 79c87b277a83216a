//! Signals that reload the settings or shut the process down.

use async_signal::Signal;
use smol::stream::StreamExt as _;

/// What a signal asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalRequest {
    /// SIGHUP: read the settings again.
    Reload,
    /// SIGTERM or SIGINT: shut down.
    ShutDown,
}

/// The signals that arrive at a daemon.
///
/// Signals are kept from the installation on, until they are received.
#[derive(Debug)]
pub struct DaemonSignals {
    signals: async_signal::Signals,
}

impl DaemonSignals {
    /// Installs the handlers.
    ///
    /// A signal that arrives earlier ends the process, so a daemon does this before it reads its
    /// settings.
    ///
    /// # Errors
    ///
    /// Fails if the handlers cannot be installed.
    pub fn install() -> eyre::Result<DaemonSignals> {
        let signals = async_signal::Signals::new([Signal::Term, Signal::Int, Signal::Hup])?;
        Ok(DaemonSignals { signals })
    }

    /// Waits for the next signal.
    ///
    /// # Errors
    ///
    /// Fails if signals can no longer be received.
    pub async fn next(&mut self) -> eyre::Result<SignalRequest> {
        match self.signals.next().await.transpose()? {
            Some(Signal::Hup) => Ok(SignalRequest::Reload),
            _ => Ok(SignalRequest::ShutDown),
        }
    }

    /// Waits for a signal that asks for a shutdown, in a daemon that does not reload its settings.
    ///
    /// # Errors
    ///
    /// Fails if signals can no longer be received.
    pub async fn shutdown_requested(&mut self) -> eyre::Result<()> {
        while self.next().await? == SignalRequest::Reload {
            log::warn!("SIGHUP has no effect: restart the process to apply changed settings");
        }
        Ok(())
    }
}
