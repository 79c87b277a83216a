//! Identifiers and the timestamp type.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3;

/// A service, identified by a hash of its name.
///
/// Four bytes keep tickets short; [`crate::manifest`] rejects names that collide.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ServiceId(pub u32);

impl ServiceId {
    /// The id of the service named `name`.
    pub fn of_name(name: &str) -> ServiceId {
        let [a, b, c, d, ..] = xxh3::xxh3_64(name.as_bytes()).to_le_bytes();
        ServiceId(u32::from_le_bytes([a, b, c, d]))
    }
}

/// Hashes the name of a data centre, as used in messages.
pub fn hash_data_centre(name: &str) -> u32 {
    ServiceId::of_name(name).0
}

/// Hashes the name of a region.
pub fn hash_region(name: &str) -> u32 {
    ServiceId::of_name(name).0
}

/// One run of a process, identified by a random number drawn at each start.
///
/// A restarted agent is a new instance, so a request addressed to an earlier run is never executed
/// by a later one.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct InstanceId(pub u64);

impl fmt::Display for InstanceId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// The version of an accepted configuration: that of the platform's head object.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct ConfigGeneration(pub u64);

/// Milliseconds since the Unix epoch.
///
/// A process reads the wall clock once at its start and then adds monotonic time, so its readings
/// never go back.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct UnixMillis(pub u64);

impl UnixMillis {
    /// Converts from seconds since the epoch.
    pub fn from_secs(secs: u64) -> UnixMillis {
        UnixMillis(secs * 1_000)
    }

    /// Converts to whole seconds since the epoch.
    pub fn as_secs(self) -> u64 {
        self.0 / 1_000
    }

    /// Adds `millis` milliseconds, saturating.
    pub fn plus(self, millis: u64) -> UnixMillis {
        UnixMillis(self.0.saturating_add(millis))
    }

    /// The milliseconds elapsed since `earlier`, or zero if that is later.
    pub fn since(self, earlier: UnixMillis) -> u64 {
        self.0.saturating_sub(earlier.0)
    }
}

/// Hashes two words with the finalizer of SplitMix64.
///
/// Placement calls it for every bucket and member, where a general-purpose hash would be several
/// times slower.
pub fn mix_words(a: u64, b: u64) -> u64 {
    let mut word = a ^ b.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    word = (word ^ (word >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    word = (word ^ (word >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    word ^ (word >> 31)
}
