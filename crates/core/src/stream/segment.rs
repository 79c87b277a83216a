//! Segment headers, independent of their wire format.

use std::net;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The key of a stream: the addresses of its caller and of the service.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StreamKey {
    /// The caller's address.
    pub caller: net::SocketAddrV4,
    /// The service address.
    pub entry: net::SocketAddrV4,
}

impl StreamKey {
    /// A hash of the key, the same in every process.
    pub fn stable_hash(&self) -> u64 {
        let word = |address: net::SocketAddrV4| {
            u64::from(address.ip().to_bits()) << 16 | u64::from(address.port())
        };
        ids::mix_words(word(self.caller), word(self.entry))
    }
}

impl std::fmt::Display for StreamKey {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}>{}", self.caller, self.entry)
    }
}

/// The flags of a segment.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SegmentFlags {
    /// Opens a stream, or answers an opening.
    pub opens: bool,
    /// The acknowledgement number is valid.
    pub acknowledges: bool,
    /// The sender has no more data.
    pub ends: bool,
    /// The sender has aborted the stream.
    pub resets: bool,
    /// The backend server returned the segment: it does not hold the stream, or cannot accept it.
    pub is_returned: bool,
}

/// Metadata that an agent adds to a segment for its backend server, and reads from a returned one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SegmentMetadata {
    /// The balancer that sent the segment.
    pub origin: net::Ipv4Addr,
}

impl Default for SegmentMetadata {
    fn default() -> SegmentMetadata {
        SegmentMetadata { origin: net::Ipv4Addr::UNSPECIFIED }
    }
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SegmentHeader {
    /// The sender's address.
    pub source: net::SocketAddrV4,
    /// The receiver's address.
    pub destination: net::SocketAddrV4,
    /// The flags.
    pub flags: SegmentFlags,
    /// The sequence number of the first byte.
    pub sequence: u32,
    /// The sequence number that the sender expects next; in an opening, the number of earlier copies.
    pub acknowledged: u32,
    /// The number of data bytes.
    pub length: u16,
    /// The metadata that the agent added.
    pub metadata: SegmentMetadata,
}

impl SegmentHeader {
    /// The stream key, for a segment from a caller.
    pub fn key_from_caller(&self) -> StreamKey {
        StreamKey { caller: self.source, entry: self.destination }
    }

    /// The stream key, for a segment from a backend server.
    pub fn key_from_host(&self) -> StreamKey {
        StreamKey { caller: self.destination, entry: self.source }
    }

    /// Whether it is a caller's request to open a stream.
    pub fn is_opening(&self) -> bool {
        self.flags.opens && !self.flags.acknowledges
    }
}

/// The maximum number of bytes that a backend server sends on one stream.
///
/// A caller that expects a sequence number further ahead has accepted another backend server's
/// answer. Initial numbers are random, so one stream in 64 is mistaken; an agent that has counted what
/// its backend server sent knows better. A stream carries a few megabytes in a minute.
const MAX_STREAM_BYTES: u32 = 1 << 26;

/// Whether a caller that expects `expected` may have accepted the answer with the initial number
/// `first`.
pub fn is_within_stream(first: u32, expected: u32) -> bool {
    expected.wrapping_sub(first.wrapping_add(1)) < MAX_STREAM_BYTES
}

/// How many bytes a backend server with the initial number `first` has sent by the end of a segment;
/// `None` if the number of the segment does not belong to the stream.
pub fn bytes_sent(first: u32, head: &SegmentHeader) -> Option<u32> {
    let length = u32::from(head.length) + u32::from(head.flags.opens) + u32::from(head.flags.ends);
    let end = head.sequence.wrapping_add(length);
    is_within_stream(first, end).then(|| end.wrapping_sub(first.wrapping_add(1)))
}

/// A received segment.
#[derive(Clone, Copy, Debug)]
pub struct StreamSegment<'a> {
    /// The decoded header.
    pub head: SegmentHeader,
    /// The whole segment, including the header.
    pub bytes: &'a [u8],
}
