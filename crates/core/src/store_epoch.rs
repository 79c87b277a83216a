//! Epochs of the platform's store, which order revisions across restores from a backup.
//!
//! A restore loses recent writes and reuses their revision numbers. The store increments its epoch
//! with each restore, so revisions are ordered by epoch first and by number second.
//!
//! # Example
//!
//! ```
//! use rosemaryusher_core::store_epoch;
//!
//! let before = store_epoch::StoreRevision::new(store_epoch::StoreEpoch(1), 900);
//! let restored = store_epoch::StoreRevision::new(store_epoch::StoreEpoch(2), 850);
//! assert!(restored > before);
//! ```

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The number of restores of the store; zero if the store does not report epochs.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreEpoch(pub u64);

impl StoreEpoch {
    /// Advances to a later epoch and returns the previous one if the store was restored in between.
    ///
    /// The first known epoch does not indicate a restore.
    pub fn advance(&mut self, to: StoreEpoch) -> Option<StoreEpoch> {
        let from = *self;
        *self = from.max(to);
        (to > from && from > StoreEpoch::default()).then_some(from)
    }
}

impl fmt::Display for StoreEpoch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// A revision of the store or of one of its objects, ordered by epoch and then by number.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// The epoch in which it was assigned.
    pub epoch: StoreEpoch,
    /// The number, which increases with each change within an epoch.
    pub number: u64,
}

/// The number of low bits of a [`StoreRevision::packed`] that hold the revision number.
///
/// At 10,000 writes a second they last for three years of one epoch.
const NUMBER_BITS: u32 = 40;

impl StoreRevision {
    /// Creates a revision.
    pub fn new(epoch: StoreEpoch, number: u64) -> StoreRevision {
        StoreRevision { epoch, number }
    }

    /// Packs the epoch and the number into one word with the same order.
    ///
    /// If the store reports no epoch, this is the number itself.
    pub fn packed(self) -> u64 {
        self.epoch.0 << NUMBER_BITS | (self.number & ((1 << NUMBER_BITS) - 1))
    }

    /// Unpacks a revision.
    pub fn unpacked(word: u64) -> StoreRevision {
        let epoch = StoreEpoch(word >> NUMBER_BITS);
        StoreRevision { epoch, number: word & ((1 << NUMBER_BITS) - 1) }
    }
}

/// The outcome of [`EpochTracker::record`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EpochOutcome {
    /// The epoch is the same as before, the first one, or not reported.
    Unchanged,
    /// The store has been restored.
    Restored {
        /// The previous epoch.
        from: StoreEpoch,
        /// The current epoch.
        to: StoreEpoch,
    },
    /// The answer is from before a restore and may describe changes that were lost.
    Overtaken,
}

/// Tracks the epoch of a store by its answers.
#[derive(Clone, Debug, Default)]
pub struct EpochTracker {
    known: Option<StoreEpoch>,
}

impl EpochTracker {
    /// Records the epoch reported by an answer.
    ///
    /// Answers without an epoch are ignored, since they may come from a proxy before the store.
    pub fn record(&mut self, reported: Option<StoreEpoch>) -> EpochOutcome {
        match (self.known, reported) {
            (_, None) => EpochOutcome::Unchanged,
            (Some(known), Some(reported)) if reported < known => EpochOutcome::Overtaken,
            (Some(known), Some(reported)) if reported > known => {
                self.known = Some(reported);
                EpochOutcome::Restored { from: known, to: reported }
            }
            (_, Some(reported)) => {
                self.known = Some(reported);
                EpochOutcome::Unchanged
            }
        }
    }
}

impl EpochTracker {
    /// The latest reported epoch; zero before the first one.
    pub fn epoch(&self) -> StoreEpoch {
        self.known.unwrap_or_default()
    }
}
