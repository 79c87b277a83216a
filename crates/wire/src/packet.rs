//! Packets between processes: a version byte followed by MessagePack.

use std::fmt;

use serde::Serialize;
use serde::de;

/// The packet version that this build sends and accepts.
///
/// Packets of other versions are dropped and counted.
pub const PACKET_VERSION: u8 = 5;

/// The maximum length of a packet: the payload of a UDP datagram over IPv4.
pub const MAX_PACKET_BYTES: usize = 65_507;

/// Why a packet could not be encoded or decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum PacketError {
    /// The datagram is empty.
    Empty,
    /// The packet has an unsupported version.
    Version(u8),
    /// The body is truncated or malformed, or could not be serialised.
    Malformed,
    /// The packet does not fit in a datagram; holds its length in bytes.
    TooLong(usize),
}

impl fmt::Display for PacketError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            PacketError::Empty => write!(f, "empty packet"),
            PacketError::Version(version) => {
                write!(f, "unsupported packet version {version}, expected {PACKET_VERSION}")
            }
            PacketError::Malformed => write!(f, "malformed packet"),
            PacketError::TooLong(length) => {
                write!(f, "packet of {length} bytes exceeds the limit of {MAX_PACKET_BYTES} bytes")
            }
        }
    }
}

impl std::error::Error for PacketError {}

/// Encodes a packet.
///
/// # Errors
///
/// [`PacketError::TooLong`] if the packet does not fit in a datagram; [`PacketError::Malformed`] if
/// the value cannot be serialised.
pub fn encode<T: Serialize>(packet: &T) -> Result<Vec<u8>, PacketError> {
    let mut bytes = vec![PACKET_VERSION];
    rmp_serde::encode::write(&mut bytes, packet).map_err(|_| PacketError::Malformed)?;
    match bytes.len() {
        length if length > MAX_PACKET_BYTES => Err(PacketError::TooLong(length)),
        _ => Ok(bytes),
    }
}

/// Decodes a packet.
///
/// # Errors
///
/// [`PacketError::Empty`], [`PacketError::Version`] or [`PacketError::Malformed`].
pub fn decode<T: de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PacketError> {
    match bytes.split_first() {
        None => Err(PacketError::Empty),
        Some((&PACKET_VERSION, body)) => {
            rmp_serde::from_slice(body).map_err(|_| PacketError::Malformed)
        }
        Some((&version, _)) => Err(PacketError::Version(version)),
    }
}
