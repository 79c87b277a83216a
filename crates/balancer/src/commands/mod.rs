//! The commands for operators.

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

/// Exit code: the command line or the manifest is invalid.
pub(crate) const EXIT_USAGE: u8 = 2;

/// Exit code: the write of another operator came first.
pub(crate) const EXIT_CONFLICT: u8 = 3;

/// Exit code: accepted, but not in force on all balancers before the timeout.
pub(crate) const EXIT_NOT_IN_FORCE: u8 = 4;
