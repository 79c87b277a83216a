//! When the members that a balancer knows count as complete, and on what evidence.
//!
//! A balancer resets a stream that every agent has denied only if it knows every agent. Each process
//! announces itself on the platform, reads the list of members after that, and introduces itself to the
//! members in it. So of two processes the one that announced itself later knows the other and introduces
//! itself. The balancer misses an agent only if one of these steps fails:
//!
//! | the balancer | an agent that starts then | complete |
//! |---|---|---|
//! | has not read the list since its start | may have read it before the balancer was announced | no |
//! | has withdrawn its announcement | does not find the balancer | no |
//! | may lack its announcement since a restore of the store | does not find the balancer | until it is announced again, and has read the list again if the announcement was lost |
//! | received nothing for [`MAX_SILENCE_MS`] | introduced itself in vain | until it has read the list again |
//! | is leaving, but still announced | finds the balancer and introduces itself | yes |

use crate::ids;
use crate::store_epoch;

/// The longest time without messages in which no introduction is missed, in milliseconds: agents
/// introduce themselves twice, a second apart.
const MAX_SILENCE_MS: u64 = 900;

/// Why the known members may be incomplete.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MemberListGap {
    /// The list has not been read since the start.
    Unread,
    /// This balancer is not announced any more.
    Withdrawn,
    /// A restored store may lack the announcement of this balancer.
    StoreRestored,
    /// No message arrived for a while, so introductions may have been lost.
    OutOfContact,
}

impl MemberListGap {
    /// The name of the gap in logs.
    pub fn label(self) -> &'static str {
        match self {
            MemberListGap::Unread => "unread",
            MemberListGap::Withdrawn => "withdrawn",
            MemberListGap::StoreRestored => "store_restored",
            MemberListGap::OutOfContact => "out_of_contact",
        }
    }
}

/// The evidence that a balancer knows all members.
#[derive(Clone, Copy, Debug)]
pub struct MemberList {
    /// The epoch of the store in which the list was last read while this balancer was announced.
    read_epoch: Option<store_epoch::StoreEpoch>,
    /// The latest epoch in which the announcement was found or written.
    announced_epoch: store_epoch::StoreEpoch,
    /// The latest known epoch.
    store_epoch: store_epoch::StoreEpoch,
    is_withdrawn: bool,
    /// Whether introductions may have been lost since the list was read.
    has_missed_introductions: bool,
    /// When the list was read or the last message arrived.
    last_contact: ids::UnixMillis,
    /// Since when the list has been complete without a break.
    complete_since: Option<ids::UnixMillis>,
}

impl MemberList {
    /// Creates the state of a balancer that has not read the list.
    pub fn new(now: ids::UnixMillis) -> MemberList {
        MemberList {
            read_epoch: None,
            announced_epoch: store_epoch::StoreEpoch::default(),
            store_epoch: store_epoch::StoreEpoch::default(),
            is_withdrawn: false,
            has_missed_introductions: false,
            last_contact: now,
            complete_since: None,
        }
    }

    /// Records that the list was read in an epoch of the store in which this balancer was announced.
    pub fn on_read(&mut self, epoch: store_epoch::StoreEpoch, now: ids::UnixMillis) {
        self.read_epoch = Some(epoch);
        self.has_missed_introductions = false;
        self.last_contact = now;
        self.on_announced(epoch, now);
    }

    /// Records that the store holds the announcement of this balancer, and has held it all the time.
    pub fn on_announced(&mut self, epoch: store_epoch::StoreEpoch, now: ids::UnixMillis) {
        self.announced_epoch = self.announced_epoch.max(epoch);
        self.update(now);
    }

    /// Records that the announcement is about to be withdrawn.
    pub fn on_withdrawn(&mut self, now: ids::UnixMillis) {
        self.is_withdrawn = true;
        self.update(now);
    }

    /// Records the latest known epoch of the store.
    pub fn on_store_epoch(&mut self, epoch: store_epoch::StoreEpoch, now: ids::UnixMillis) {
        self.store_epoch = self.store_epoch.max(epoch);
        self.update(now);
    }

    /// Records that a message arrived from another process.
    pub fn on_message(&mut self, now: ids::UnixMillis) {
        self.has_missed_introductions |= now.since(self.last_contact) > MAX_SILENCE_MS;
        self.last_contact = now;
        self.update(now);
    }

    fn update(&mut self, now: ids::UnixMillis) {
        self.complete_since = match self.gap(now) {
            None => self.complete_since.or(Some(now)),
            Some(_) => None,
        };
    }
}

impl MemberList {
    /// Why members may be unknown; `None` if all are known.
    pub fn gap(&self, now: ids::UnixMillis) -> Option<MemberListGap> {
        match self.read_epoch {
            _ if self.is_withdrawn => Some(MemberListGap::Withdrawn),
            None => Some(MemberListGap::Unread),
            Some(_) if self.announced_epoch < self.store_epoch => {
                Some(MemberListGap::StoreRestored)
            }
            Some(_) if self.has_missed_introductions => Some(MemberListGap::OutOfContact),
            Some(_) if now.since(self.last_contact) > MAX_SILENCE_MS => {
                Some(MemberListGap::OutOfContact)
            }
            Some(_) => None,
        }
    }

    /// Whether all members have been known since a time, so that the answers of those known then are
    /// the answers of all.
    pub fn is_complete_since(&self, since: ids::UnixMillis, now: ids::UnixMillis) -> bool {
        let is_unbroken = self.complete_since.is_some_and(|complete| complete <= since);
        is_unbroken && self.gap(now).is_none()
    }

    /// Whether the list must be read again now: members may be missing, and the process is in contact
    /// again, so that later ones can introduce themselves.
    pub fn needs_read(&self, now: ids::UnixMillis) -> bool {
        let is_in_contact = now.since(self.last_contact) <= MAX_SILENCE_MS;
        match self.gap(now) {
            Some(MemberListGap::Unread) => true,
            Some(MemberListGap::OutOfContact) => is_in_contact,
            Some(MemberListGap::Withdrawn | MemberListGap::StoreRestored) | None => false,
        }
    }
}
