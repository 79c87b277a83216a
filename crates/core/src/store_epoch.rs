//! Which copy of the platform's store gave out a revision.
//!
//! The store may come back from a copy that is some seconds old. What was written since is gone then,
//! and its revisions are given out again, for other changes. It says so by an epoch that rises with
//! each restore, so a revision says what came first only together with its epoch.
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

/// How often the store has come back from a copy; zero where it does not say.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreEpoch(pub u64);

impl StoreEpoch {
    /// Moves forward to a later epoch; gives the one before if the store was restored in between.
    ///
    /// A process that knows of no epoch yet learns by its first one of no restore.
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

/// A revision of the store, or of one of its objects: of two, the one of the later epoch is newer,
/// whatever their numbers.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct StoreRevision {
    /// The epoch that it was given out in.
    pub epoch: StoreEpoch,
    /// Rises with each change within an epoch.
    pub number: u64,
}

/// How many bits of a [`StoreRevision::packed`] hold the number: at 10,000 writes a second they
/// last for three years of one epoch.
const NUMBER_BITS: u32 = 40;

impl StoreRevision {
    /// A revision of an epoch.
    pub fn new(epoch: StoreEpoch, number: u64) -> StoreRevision {
        StoreRevision { epoch, number }
    }

    /// The epoch and the number in one word that is ordered as they are.
    ///
    /// Of a store that reports no epoch it is the number itself.
    pub fn packed(self) -> u64 {
        self.epoch.0 << NUMBER_BITS | (self.number & ((1 << NUMBER_BITS) - 1))
    }

    /// The revision that was packed into a word.
    pub fn unpacked(word: u64) -> StoreRevision {
        let epoch = StoreEpoch(word >> NUMBER_BITS);
        StoreRevision { epoch, number: word & ((1 << NUMBER_BITS) - 1) }
    }
}

/// What the epoch of an answer shows of the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EpochOutcome {
    /// The store is the one that answered before.
    Unchanged,
    /// The store has come back from a copy since.
    Restored {
        /// The epoch before.
        from: StoreEpoch,
        /// The epoch now.
        to: StoreEpoch,
    },
    /// The answer was given before the store was lost, and has been held up: what it says may be
    /// undone.
    Overtaken,
}

/// Follows the epoch of one store by its answers.
#[derive(Clone, Debug, Default)]
pub struct EpochTracker {
    known: Option<StoreEpoch>,
}

impl EpochTracker {
    /// Applies the epoch that an answer reports, if any.
    ///
    /// An answer without one says nothing: a relay in front of the store may have refused the call.
    pub fn note(&mut self, reported: Option<StoreEpoch>) -> EpochOutcome {
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
    /// The epoch of the last answer that reported one; zero before any.
    pub fn epoch(&self) -> StoreEpoch {
        self.known.unwrap_or_default()
    }
}
