//! Membership: the processes of the fleet and their state.
//!
//! Merging a [`MemberRecord`] is commutative and idempotent, so records may arrive late, repeatedly
//! and in any order. [`MemberView`] holds the merged records. [`MemberProber`] detects failures and
//! disseminates updates.

mod prober;
mod record;
mod view;

pub use prober::ExchangeMessage;
pub use prober::MemberProber;
pub use prober::ProbeAction;
pub use prober::ProbeTiming;
pub use record::LivenessState;
pub use record::MemberLiveness;
pub use record::MemberPhase;
pub use record::MemberRecord;
pub use record::MemberRole;
pub use view::MemberView;
pub use view::ViewedMember;
