//! Evacuated data centres, in which open streams continue and no new stream is placed.
//!
//! The platform stores an entry for each data centre that operators have evacuated. Processes pass
//! on the complete list with the store revision at which it was read, and the list with the latest
//! revision wins, so that delayed lists have no effect.
//!
//! The platform's store may be restored from a backup that lacks the newest entries. A data centre
//! that was evacuated before the restore and is not listed after it stays evacuated for a while, until
//! operators have had time to write the entry again.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::store_epoch;

/// How long a data centre stays evacuated after a restore of the store that lost its entry, in
/// milliseconds; operators need some seconds to write the entry again by hand.
///
/// If it is too long, a data centre that was just taken back stays empty while the others are
/// loaded; if it is too short, new streams end with machines that are switched off.
const HOLD_MS: u64 = 30_000;

/// The evacuated data centres at one revision of the platform's store, as sent between processes.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationState {
    revision: store_epoch::StoreRevision,
    data_centres: collections::BTreeSet<String>,
    hold: Option<RestoreHold>,
}

/// Data centres that stay evacuated after a restore although the store does not list them.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct RestoreHold {
    data_centres: collections::BTreeSet<String>,
    /// The remaining time, in milliseconds.
    left_ms: u64,
}

impl EvacuationState {
    /// Creates the list for a revision of the store, which is above zero.
    pub fn new(
        revision: store_epoch::StoreRevision,
        data_centres: collections::BTreeSet<String>,
    ) -> EvacuationState {
        EvacuationState { revision, data_centres, hold: None }
    }

    /// The store revision at which the list was read.
    pub fn revision(&self) -> store_epoch::StoreRevision {
        self.revision
    }

    /// The names of the data centres in the store.
    pub fn data_centres(&self) -> &collections::BTreeSet<String> {
        &self.data_centres
    }
}

/// The outcome of applying a list of evacuated data centres.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationOutcome {
    /// The set of evacuated data centres changed.
    Changed,
    /// The list is current and the set is unchanged.
    Confirmed,
    /// The list is older than the known one.
    Stale,
}

/// The evacuated data centres as known to one process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct KnownEvacuations {
    revision: store_epoch::StoreRevision,
    data_centres: collections::BTreeSet<String>,
    /// Data centres that stay evacuated although the store does not list them.
    kept: collections::BTreeSet<String>,
    /// The end of that time; `None` if the store has not been restored since the first list.
    #[serde(skip)]
    kept_until: Option<ids::UnixMillis>,
}

impl KnownEvacuations {
    /// Applies a list that this or another process read from the platform, unless a newer one is
    /// known.
    pub fn apply(&mut self, next: &EvacuationState, now: ids::UnixMillis) -> EvacuationOutcome {
        if next.revision.number == 0 || next.revision < self.revision {
            return EvacuationOutcome::Stale;
        }
        let is_first = !self.is_known();
        let before = self.in_force();
        match next.revision.epoch > self.revision.epoch && !is_first {
            true => self.start_hold(before.clone(), next.hold.as_ref(), now),
            false => self.merge_hold(next.hold.as_ref(), now),
        }
        self.revision = next.revision;
        self.data_centres = next.data_centres.clone();
        self.kept.retain(|name| !next.data_centres.contains(name));
        match is_first || before != self.in_force() {
            true => EvacuationOutcome::Changed,
            false => EvacuationOutcome::Confirmed,
        }
    }

    /// Ends the hold after a restore once its time is over; returns whether the set changed.
    pub fn expire(&mut self, now: ids::UnixMillis) -> bool {
        let is_over = self.kept_until.is_some_and(|until| now >= until);
        is_over && !std::mem::take(&mut self.kept).is_empty()
    }

    /// Keeps the data centres that were evacuated before a restore, for the remaining time of the
    /// process that reported the restore.
    fn start_hold(
        &mut self,
        before: collections::BTreeSet<String>,
        hold: Option<&RestoreHold>,
        now: ids::UnixMillis,
    ) {
        self.kept = before;
        self.kept.extend(hold.iter().flat_map(|hold| hold.data_centres.iter().cloned()));
        self.kept_until = Some(now.plus(hold.map_or(HOLD_MS, |hold| hold.left_ms)));
    }

    /// Adds the data centres that another process still keeps, which this one may not have known
    /// before the restore.
    ///
    /// The holds of others are ignored once this process's own has ended, or processes would extend
    /// each other's holds forever.
    fn merge_hold(&mut self, hold: Option<&RestoreHold>, now: ids::UnixMillis) {
        let Some(hold) = hold else { return };
        let until = *self.kept_until.get_or_insert(now.plus(hold.left_ms));
        if now < until {
            self.kept.extend(hold.data_centres.iter().cloned());
        }
    }

    fn in_force(&self) -> collections::BTreeSet<String> {
        self.data_centres.union(&self.kept).cloned().collect()
    }
}

impl KnownEvacuations {
    /// Whether any list is known.
    pub fn is_known(&self) -> bool {
        self.revision.number > 0
    }

    /// The store revision of the list; zero before the first one.
    pub fn revision(&self) -> store_epoch::StoreRevision {
        self.revision
    }

    /// The names of the evacuated data centres.
    pub fn names(&self) -> impl Iterator<Item = &str> {
        self.data_centres.union(&self.kept).map(String::as_str)
    }

    /// The names of data centres that stay evacuated although the store does not list them.
    pub fn kept(&self) -> &collections::BTreeSet<String> {
        &self.kept
    }

    /// The hashes of the names of the evacuated data centres.
    pub fn hashes(&self) -> impl Iterator<Item = u32> {
        self.names().map(ids::hash_data_centre)
    }

    /// Whether a data centre is evacuated.
    pub fn covers(&self, data_centre: u32) -> bool {
        self.hashes().any(|evacuated| evacuated == data_centre)
    }

    /// The state to send to other processes.
    pub fn advertised(&self, now: ids::UnixMillis) -> EvacuationState {
        let hold = self.kept_until.map(|until| RestoreHold {
            data_centres: self.kept.clone(),
            left_ms: until.0.saturating_sub(now.0),
        });
        EvacuationState { revision: self.revision, data_centres: self.data_centres.clone(), hold }
    }
}
