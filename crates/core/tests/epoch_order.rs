//! Which of two revisions is newer, and what an answer's epoch tells.

use rosemaryusher_core::store_epoch;
use rosemaryusher_core::store_epoch::EpochOutcome;

fn revision(epoch: u64, number: u64) -> store_epoch::StoreRevision {
    store_epoch::StoreRevision::new(store_epoch::StoreEpoch(epoch), number)
}

/// The store comes back from a copy, and gives out lower numbers: they are newer all the same, also in
/// one word. A store that tells no epoch counts as it always did.
#[test]
fn later_epoch_wins() {
    let order = [revision(0, 7), revision(0, 900), revision(1, 850), revision(2, 1)];
    for pair in order.windows(2) {
        assert!(pair[0] < pair[1]);
        assert!(pair[0].packed() < pair[1].packed());
    }
    assert_eq!(revision(0, 900).packed(), 900);
    assert_eq!(store_epoch::StoreRevision::unpacked(revision(3, 17).packed()), revision(3, 17));
}

/// The epoch rises by one, by several while nobody asked, and an answer that was held up since before a
/// restore tells the earlier one: what it says may be undone.
#[test]
fn tracked_by_answers() {
    let mut tracker = store_epoch::EpochTracker::default();
    let mut note = |told: Option<u64>| tracker.note(told.map(store_epoch::StoreEpoch));
    let restored = |from, to| EpochOutcome::Restored {
        from: store_epoch::StoreEpoch(from),
        to: store_epoch::StoreEpoch(to),
    };
    assert_eq!(note(None), EpochOutcome::Unchanged);
    assert_eq!(note(Some(4)), EpochOutcome::Unchanged);
    assert_eq!(note(Some(4)), EpochOutcome::Unchanged);
    assert_eq!(note(Some(5)), restored(4, 5));
    assert_eq!(note(Some(4)), EpochOutcome::Overtaken);
    assert_eq!(note(None), EpochOutcome::Unchanged);
    assert_eq!(note(Some(8)), restored(5, 8));
    assert_eq!(tracker.epoch(), store_epoch::StoreEpoch(8));
}

/// A process that has just started learns of the first epoch, which is no restore; one that falls back
/// changes nothing.
#[test]
fn first_is_none() {
    let mut held = store_epoch::StoreEpoch::default();
    assert_eq!(held.advance(store_epoch::StoreEpoch(6)), None);
    assert_eq!(held.advance(store_epoch::StoreEpoch(5)), None);
    assert_eq!(held.advance(store_epoch::StoreEpoch(7)), Some(store_epoch::StoreEpoch(6)));
    assert_eq!(held, store_epoch::StoreEpoch(7));
}
