//! The operators' commands.

mod apply;
mod check;
mod fleet;
mod inspect;

pub(crate) use apply::ApplyOptions;
pub(crate) use apply::RotateOptions;
pub(crate) use apply::apply;
pub(crate) use apply::rotate_key;
pub(crate) use check::CheckOptions;
pub(crate) use check::check;
pub(crate) use inspect::DumpOptions;
pub(crate) use inspect::StatusOptions;
pub(crate) use inspect::dump;
pub(crate) use inspect::status;

/// The command line or the manifest has faults.
pub(crate) const WRONG_USE: u8 = 2;

/// Another operator's write came first.
pub(crate) const CONFLICT: u8 = 3;

/// Accepted, but not in force everywhere by the end of the wait.
pub(crate) const BEHIND: u8 = 4;
