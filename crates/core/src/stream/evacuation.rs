//! Which data centres are evacuated: open streams go on there, and no new one is placed.
//!
//! The platform keeps an entry for each data centre that operators have emptied. A whole list of
//! them, together with the platform's revision that it was read at, is passed from process to
//! process; of two lists the one of the later revision holds. That way entries may be written,
//! removed and written again in any order: a list that comes late changes nothing.

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The evacuated data centres at one revision of the platform.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct EvacuationState {
    revision: u64,
    data_centres: collections::BTreeSet<String>,
}

/// What became of a list of evacuated data centres.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EvacuationOutcome {
    /// Another set of data centres is evacuated now.
    Changed,
    /// The list is newer, and the same as the one known.
    Confirmed,
    /// A newer one is known already.
    Stale,
}

impl EvacuationState {
    /// The data centres that are evacuated at a revision of the platform, which is above zero.
    pub fn new(revision: u64, data_centres: collections::BTreeSet<String>) -> EvacuationState {
        EvacuationState { revision, data_centres }
    }

    /// Takes in a list that was read from the platform, here or by another process.
    ///
    /// A list that was held up would otherwise undo a later one: streams would be placed in a data
    /// centre that operators are about to switch off, or none in one that they have taken back.
    pub fn advance(&mut self, next: &EvacuationState) -> EvacuationOutcome {
        if next.revision <= self.revision {
            return EvacuationOutcome::Stale;
        }
        let is_first = !self.is_known();
        let is_same = self.data_centres == next.data_centres;
        *self = next.clone();
        match is_same && !is_first {
            true => EvacuationOutcome::Confirmed,
            false => EvacuationOutcome::Changed,
        }
    }
}

impl EvacuationState {
    /// Whether any list has been read.
    pub fn is_known(&self) -> bool {
        self.revision > 0
    }

    /// The platform's revision at which the list was read; zero before any.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The names of the evacuated data centres.
    pub fn data_centres(&self) -> &collections::BTreeSet<String> {
        &self.data_centres
    }

    /// The evacuated data centres, as hashes of their names.
    pub fn hashes(&self) -> impl Iterator<Item = u32> {
        self.data_centres.iter().map(|name| ids::hash_centre(name))
    }

    /// Whether a data centre is evacuated.
    pub fn covers(&self, data_centre: u32) -> bool {
        self.hashes().any(|evacuated| evacuated == data_centre)
    }
}
