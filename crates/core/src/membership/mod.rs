//! Which processes there are, and what is known of each.
//!
//! [`MemberRecord`] merges by rules that commute, so records may arrive late, twice and in any
//! order. [`MemberView`] holds the merged records. [`MemberProber`] decides whom to probe, whom to
//! suspect and what news to send along.

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
