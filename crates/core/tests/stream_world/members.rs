//! Announcements of processes on the platform, and the lists of members that they read there.

use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::balancer::member_list;

use super::StreamWorld;
use super::balancer_address;

/// Interval between checks of whether members may be missing, in milliseconds.
const MEMBER_POLL_MS: u64 = 1_000;

impl StreamWorld {
    /// Delivers the list of the other members to a process.
    pub(crate) fn deliver_members(&mut self, address: net::SocketAddrV4) {
        let others = self.announced_members.iter().filter(|(member, _)| *member != address);
        let members = others
            .map(|(address, service)| stream::AnnouncedMember {
                address: *address,
                service: *service,
                data_centre: Some(ids::hash_data_centre(self.data_centre_of(*address))),
            })
            .collect();
        let epoch = self.announcement_epoch();
        self.handle(address, stream::StreamEvent::Members { members, epoch });
    }

    /// Asks a balancer to shut down; it stays announced.
    pub(crate) fn leave_balancer(&mut self, nth: u8) {
        self.handle(balancer_address(nth), stream::StreamEvent::Leave);
    }

    /// Withdraws the announcement of a balancer, which keeps running.
    pub(crate) fn withdraw_balancer(&mut self, nth: u8) {
        self.handle(balancer_address(nth), stream::StreamEvent::Withdrawn);
        self.announced_members.remove(&(balancer_address(nth), None));
    }

    /// Restores the store from a backup that lacks the announcement of a balancer, which learns of the
    /// restore at once and announces itself again at the next check.
    pub(crate) fn lose_announcement(&mut self, nth: u8) {
        let address = balancer_address(nth);
        self.announced_members.remove(&(address, None));
        self.member_epoch += 1;
        let epoch = self.announcement_epoch();
        self.handle(address, stream::StreamEvent::StoreEpoch(epoch));
    }

    /// Announces balancers again that a restored store may lack, and delivers the list of members to those
    /// that miss some.
    pub(super) fn poll_member_lists(&mut self) {
        if !self.now.0.is_multiple_of(MEMBER_POLL_MS) {
            return;
        }
        let addresses: Vec<_> = self.balancers.keys().copied().collect();
        for address in addresses {
            let is_away = self.partitioned.contains(&address) || self.frozen.contains(&address);
            match self.balancers[&address].member_list_gap(self.now) {
                _ if is_away => {}
                Some(member_list::MemberListGap::StoreRestored) => self.announce_again(address),
                Some(member_list::MemberListGap::OutOfContact)
                    if self.balancers[&address].needs_member_list(self.now) =>
                {
                    self.deliver_members(address);
                }
                _ => {}
            }
        }
    }

    fn announce_again(&mut self, address: net::SocketAddrV4) {
        match self.announced_members.insert((address, None)) {
            true => self.deliver_members(address),
            false => {
                let epoch = self.announcement_epoch();
                self.handle(address, stream::StreamEvent::Announced(epoch));
            }
        }
    }

    /// The latest epoch of the store.
    fn announcement_epoch(&self) -> store_epoch::StoreEpoch {
        let restores = self.stored_evacuations.revision().epoch.0 + self.member_epoch;
        store_epoch::StoreEpoch(restores)
    }
}
