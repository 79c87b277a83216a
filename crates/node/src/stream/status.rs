//! State that the packet thread publishes to the control thread.

use std::sync::atomic;

/// Independent values that are each read alone, so no lock is needed.
#[derive(Debug, Default)]
pub(crate) struct StreamStatus {
    /// Whether the process is ready to serve.
    pub(crate) is_ready: atomic::AtomicBool,
    /// Whether the process is one of the few balancers that watch the platform.
    pub(crate) is_watcher: atomic::AtomicBool,
    /// Whether balancers report to the process, and so pass changes on to it.
    pub(crate) reaches_balancer: atomic::AtomicBool,
    /// Whether the list of members must be read again.
    pub(crate) needs_member_list: atomic::AtomicBool,
    /// Whether the process knows a list of evacuated data centres.
    pub(crate) knows_evacuations: atomic::AtomicBool,
    /// The latest known epoch of the platform's store, from its answers or from balancers.
    pub(crate) store_epoch: atomic::AtomicU64,
    /// Whether a shutdown has to wait for work in progress.
    pub(crate) is_busy: atomic::AtomicBool,
    /// Whether the backend server on this machine is up, and so may hold streams.
    pub(crate) holds_streams: atomic::AtomicBool,
    /// Number of segments received.
    pub(crate) arrivals: atomic::AtomicU64,
}

pub(crate) fn is_set(flag: &atomic::AtomicBool) -> bool {
    flag.load(atomic::Ordering::Relaxed)
}

pub(crate) fn set(flag: &atomic::AtomicBool, value: bool) {
    flag.store(value, atomic::Ordering::Relaxed);
}
