//! Bounded queues between the threads of a process.

use smol::channel;

use crate::meters;

/// How many items a ring holds: some tens of milliseconds of work at a few microseconds an item.
///
/// An item that waits longer is too late to be of use.
pub const RING_CAPACITY: usize = 8_192;

/// Creates a ring of [`RING_CAPACITY`] items.
pub fn ring<T>() -> (channel::Sender<T>, channel::Receiver<T>) {
    channel::bounded(RING_CAPACITY)
}

/// Adds an item without blocking; counts a failure as a drop for `drop_reason`.
///
/// A packet thread that blocked would stop reading its socket, and the kernel would drop packets that
/// could have been refused with a response.
///
/// # Errors
///
/// Returns the item if the ring is full or closed.
pub fn try_push<T>(
    sender: &channel::Sender<T>,
    item: T,
    drop_reason: &'static str,
) -> Result<(), T> {
    sender.try_send(item).map_err(|error| {
        meters::count_drop(drop_reason);
        error.into_inner()
    })
}
