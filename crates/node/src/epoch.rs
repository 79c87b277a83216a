//! The epoch of the platform's store as seen by one client.

use std::cell;

use rosemaryusher_core::store_epoch;

use crate::external_input;
use crate::logs;

/// Tracks the epoch in the responses of a store.
#[derive(Clone, Debug, Default)]
pub struct EpochFollower {
    tracker: cell::RefCell<store_epoch::EpochTracker>,
}

/// A response from before the store was restored, whose contents may no longer hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StaleAnswer;

impl EpochFollower {
    /// Records the epoch in the header of a response, if there is one.
    ///
    /// A header that is not a number is reported as invalid and otherwise ignored.
    ///
    /// # Errors
    ///
    /// [`StaleAnswer`] if an earlier response had a later epoch.
    pub fn observe(&self, header: Option<&str>) -> Result<(), StaleAnswer> {
        let epoch = header.and_then(parse_epoch);
        let outcome = self.tracker.borrow_mut().record(epoch);
        match outcome {
            store_epoch::EpochOutcome::Unchanged => {}
            store_epoch::EpochOutcome::Restored { from, to } => {
                metrics::counter!("rosemaryusher_store_restores_total").increment(1);
                logs::event(&serde_json::json!({
                    "event": "store_answers_restored", "from": from, "to": to,
                }));
            }
            store_epoch::EpochOutcome::Overtaken => {
                metrics::counter!("rosemaryusher_store_overtaken_total").increment(1);
                let problem = format!("is below {}, which this store sent before", self.epoch());
                external_input::report_invalid(
                    external_input::InputSource::StoreEpoch,
                    header.unwrap_or(""),
                    problem,
                );
                return Err(StaleAnswer);
            }
        }
        Ok(())
    }
}

impl EpochFollower {
    /// The epoch of the last response that had one; zero before any.
    pub fn epoch(&self) -> store_epoch::StoreEpoch {
        self.tracker.borrow().epoch()
    }

    /// The revision of a version number in the last response.
    pub fn revision(&self, number: u64) -> store_epoch::StoreRevision {
        store_epoch::StoreRevision::new(self.epoch(), number)
    }

    /// Whether a revision is of the store's current epoch, as far as is known.
    ///
    /// A restored store reuses the numbers of earlier epochs for other changes, so neither a watch nor
    /// a condition may use them.
    pub fn is_current(&self, revision: store_epoch::StoreRevision) -> bool {
        revision.epoch == self.epoch()
    }
}

fn parse_epoch(text: &str) -> Option<store_epoch::StoreEpoch> {
    match text.trim().parse() {
        Ok(number) => Some(store_epoch::StoreEpoch(number)),
        Err(error) => {
            external_input::report_invalid(external_input::InputSource::StoreEpoch, text, error);
            None
        }
    }
}
