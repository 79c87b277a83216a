//! The traits that an adapter to a platform implements: the layout of segments and the platform's
//! API.

use std::net;
use std::rc;
use std::time;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::stream::evacuation;
use rosemaryusher_core::stream::segment;

use crate::platform;

/// Encodes and decodes the fields of a segment that the engine uses.
pub trait SegmentCodec: Send {
    /// Decodes a segment's header; `None` if the bytes are not a segment.
    fn decode(&self, bytes: &[u8]) -> Option<segment::SegmentHeader>;

    /// Writes an agent's marks into a segment.
    fn mark(&self, bytes: &mut [u8], metadata: segment::SegmentMetadata);

    /// Removes the marks from a segment that the backend server gave back, which restores the
    /// bytes that the caller sent.
    fn unmark(&self, bytes: &mut [u8]);

    /// Builds a segment that resets a caller's stream.
    fn reset(&self, key: segment::StreamKey, sequence: u32) -> Vec<u8>;
}

/// The source of the operators' configuration.
pub trait ConfigSource {
    /// Waits up to `wait` for a configuration newer than `held`; returns it whole, or `None`.
    fn next<'a>(
        &'a self,
        held: ids::ConfigGeneration,
        wait: time::Duration,
    ) -> platform::StoreFuture<'a, Result<Option<config::ConfigDelta>, platform::StoreError>>;
}

/// The source of the list of evacuated data centres.
pub trait EvacuationSource {
    /// Waits up to `wait` for the list to change; returns it whole, or `None`.
    fn next<'a>(
        &'a self,
        wait: time::Duration,
    ) -> platform::StoreFuture<'a, Result<Option<evacuation::EvacuationState>, platform::StoreError>>;
}

/// The platform's API, as one process uses it.
#[derive(Clone)]
pub struct PlatformClient {
    /// The platform's object store.
    pub store: rc::Rc<dyn platform::ObjectStore>,
    /// The operators' configuration.
    pub configs: rc::Rc<dyn ConfigSource>,
    /// The data centres that operators have evacuated.
    pub evacuations: rc::Rc<dyn EvacuationSource>,
}

/// An adapter to a platform.
pub struct PlatformAdapter {
    /// The layout of segments.
    pub codec: Box<dyn SegmentCodec>,
    /// Creates a client for the platform at an address, with a timeout for every call that is not
    /// a long poll.
    pub open_platform: fn(net::SocketAddr, time::Duration) -> PlatformClient,
}
