//! Membership: reports exchanged with agents and other balancers, and gossip about members.

use std::net;

use rand::RngExt as _;
use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::store_epoch;
use crate::stream;
use crate::stream::agent_table::subscriptions;
use crate::stream::balancer;
use crate::stream::log_event;
use crate::stream::message;
use crate::stream::subset;

/// How long another balancer counts as reachable after its last report, in milliseconds: three report
/// intervals and a margin.
const REPORT_TIMEOUT_MS: u64 = 3 * balancer::MAX_PEER_REPORT_INTERVAL_MS + 200;

/// How long a balancer is kept that no process receives reports from, in milliseconds.
const PEER_EXPIRY_MS: u64 = 30_000;

/// Interval between report requests to a balancer that has not been seen recently, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// Balancers following this one in the common order that get its reports. From these, each knows
/// whether enough balancers before it watch the platform.
const SUCCESSOR_COUNT: usize = 8;

/// One in so many gossip messages goes to a balancer of any data centre, the others to one in the same
/// data centre: traffic between data centres costs money.
const CROSS_CENTRE_GOSSIP_ONE_IN: u32 = 4;

/// Other balancers, selected by rendezvous hashing, that get its reports.
const RANDOM_PEER_COUNT: usize = 16;

impl balancer::StreamBalancer {
    /// Merges the platform's list of members, and reports to all.
    pub(super) fn merge_member_list(
        &mut self,
        members: &[stream::AnnouncedMember],
        epoch: store_epoch::StoreEpoch,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in members {
            self.insert_member(member, now);
        }
        self.member_list.on_read(epoch, now);
        self.renew_subscriptions(now, actions);
        self.report_to_all(now, actions);
    }

    pub(super) fn on_agent_report(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::AgentReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.table.on_report(from, report, now) {
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::AgentChanged {
                agent: from,
                run: report.agent.to_string(),
                phase: report.phase,
                is_reachable: true,
            }));
            self.ask_returned_agent(from, actions);
        }
        self.fetch_newer_config(from, report.generation, actions);
    }

    pub(super) fn on_balancer_report(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.insert_peer(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            let was_unreachable = !peer.is_reachable;
            *peer = balancer::PeerBalancer {
                data_centre: Some(report.data_centre),
                reachable_centres: report.reachable_centres.clone(),
                last_report: now,
                last_mention: now,
                last_request: peer.last_request,
                is_reachable: true,
                is_leaving: report.is_leaving,
                reaches_platform: report.reaches_platform,
            };
            if was_unreachable {
                let changed = log_event::StreamLogEvent::BalancerChanged {
                    balancer: from,
                    is_reachable: true,
                };
                actions.push(stream::StreamAction::Log(changed));
                actions.push(stream::StreamAction::Send(from, self.own_report(now)));
                for part in self.reachable_members() {
                    actions.push(stream::StreamAction::Send(from, part));
                }
                actions.push(stream::StreamAction::Send(from, self.former_services(now)));
            } else if !report.wants_reports {
                actions.push(stream::StreamAction::Send(from, self.own_report(now)));
            }
        }
        self.fetch_newer_config(from, report.generation, actions);
        self.advance_store_epoch(report.store_epoch, now, actions);
        self.merge_evacuations(&report.evacuations, now, actions);
    }

    /// Merges the changes of services that another balancer knows of. Passes new ones on, and sends the own
    /// ones if the other balancer has not run long enough to know them.
    pub(super) fn on_former_services(
        &mut self,
        from: net::SocketAddrV4,
        former: &message::FormerServices,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let has_changed = self.service_history.merge(former, now);
        if has_changed {
            self.send_former_services(now, actions);
        }
        if self.service_history.knows_more_than(former, now) {
            actions.push(stream::StreamAction::Send(from, self.former_services(now)));
        }
    }

    /// Sends the known changes of services to all neighbours, each of which passes on what is new to it.
    pub(super) fn send_former_services(
        &self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let message = self.former_services(now);
        let peers = self.neighbours(now).into_iter();
        actions.extend(peers.map(|peer| stream::StreamAction::Send(peer, message.clone())));
    }

    fn former_services(&self, now: ids::UnixMillis) -> message::StreamMessage {
        let former = self.service_history.message(self.state.generation(), now);
        message::StreamMessage::FormerServices(former)
    }

    /// Merges the members that another balancer gossips as reachable.
    pub(super) fn on_reachable_members(
        &mut self,
        reachable: &message::ReachableMembers,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in &reachable.members {
            self.insert_member(member, now);
            match member.service {
                Some(_) => self.table.on_mention(member.address, now),
                None => {
                    if let Some(peer) = self.peers.get_mut(&member.address) {
                        peer.last_mention = now;
                    }
                }
            }
        }
        self.renew_subscriptions(now, actions);
    }

    fn insert_member(&mut self, member: &stream::AnnouncedMember, now: ids::UnixMillis) {
        match member.service {
            Some(service) => self.table.insert(member.address, service, member.data_centre, now),
            None => {
                self.insert_peer(member.address, now);
                if let Some(peer) = self.peers.get_mut(&member.address) {
                    peer.data_centre = peer.data_centre.or(member.data_centre);
                }
            }
        }
    }

    /// Renews the subscriptions to agents if due, and notifies the agents added or dropped.
    pub(super) fn renew_subscriptions(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let own = self.config.data_centre;
        let near = self.peers.values().filter(|peer| peer.data_centre == Some(own));
        let near_balancers = near.count() + 1;
        let change = self.table.renew_subscriptions(near_balancers, now);
        if change == subscriptions::SubscriptionChange::default() {
            return;
        }
        let subscribe = self.own_report(now);
        let unsubscribe = self.report_request(now);
        let added = change.added.into_iter().map(|agent| (agent, &subscribe));
        let dropped = change.dropped.into_iter().map(|agent| (agent, &unsubscribe));
        for (agent, report) in added.chain(dropped) {
            actions.push(stream::StreamAction::Send(agent, report.clone()));
        }
    }

    /// Gossips a random part of the members reachable from here, and the changes of services, to one other
    /// balancer, chosen at random and most often from the same data centre.
    ///
    /// Gossip spreads members that started while the platform is unreachable, and shows which members
    /// still run. The recipient is drawn from all balancers, not from the neighbours, which seldom change:
    /// so every balancer learns of every member sooner or later. Balancers that are leaving get it too, since
    /// they still search for streams.
    pub(super) fn gossip_members(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let to_any_centre = self.random.random_range(0..CROSS_CENTRE_GOSSIP_ONE_IN) == 0;
        let own = Some(self.config.data_centre);
        let seen = || self.peers.iter().filter(|(_, peer)| peer.is_recently_seen(now));
        let near = seen().filter(|(_, peer)| !to_any_centre && peer.data_centre == own);
        let recipient = near.choose(&mut self.random).or_else(|| seen().choose(&mut self.random));
        let recipient = recipient.map(|(address, _)| *address);
        let part = self.reachable_members().into_iter().choose(&mut self.random);
        if let (Some(peer), Some(part)) = (recipient, part) {
            actions.push(stream::StreamAction::Send(peer, part));
        }
        if let Some(peer) = recipient.filter(|_| !self.service_history.is_empty()) {
            actions.push(stream::StreamAction::Send(peer, self.former_services(now)));
        }
    }

    /// Inserts a balancer that is announced, mentioned or named in the settings, if it is not known.
    pub(super) fn insert_peer(&mut self, balancer: net::SocketAddrV4, now: ids::UnixMillis) {
        if balancer != self.config.address {
            self.peers.entry(balancer).or_insert(balancer::PeerBalancer {
                data_centre: None,
                reachable_centres: Vec::new(),
                last_report: now,
                last_mention: now,
                last_request: ids::UnixMillis(0),
                is_reachable: false,
                is_leaving: false,
                reaches_platform: false,
            });
        }
    }

    /// Removes balancers that have left or have not been seen for long, and marks those as unreachable
    /// whose reports have timed out.
    pub(super) fn expire_peers(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.peers.retain(|_, peer| match peer.is_leaving {
            true => now.since(peer.last_report) <= REPORT_TIMEOUT_MS,
            false => now.since(peer.last_seen()) <= PEER_EXPIRY_MS,
        });
        for (balancer, peer) in &mut self.peers {
            if peer.is_reachable && now.since(peer.last_report) > REPORT_TIMEOUT_MS {
                peer.is_reachable = false;
                let balancer = *balancer;
                let changed =
                    log_event::StreamLogEvent::BalancerChanged { balancer, is_reachable: false };
                actions.push(stream::StreamAction::Log(changed));
            }
        }
    }

    /// Reports a change to every subscribed agent and neighbour at once.
    pub(super) fn report_to_all(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.last_report_check = now;
        self.last_agent_report = ids::UnixMillis(0);
        self.last_peer_report = ids::UnixMillis(0);
        self.send_due_reports(now, actions);
    }

    /// Sends the reports that are due; the more balancers report here, the longer the interval.
    pub(super) fn send_due_reports(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let report = self.own_report(now);
        if now.since(self.last_agent_report)
            >= self.report_interval_ms(balancer::MAX_AGENT_REPORT_INTERVAL_MS)
        {
            self.last_agent_report = now;
            let agents = self.table.subscribed();
            actions.extend(agents.map(|agent| stream::StreamAction::Send(agent, report.clone())));
        }
        if now.since(self.last_peer_report)
            >= self.report_interval_ms(balancer::MAX_PEER_REPORT_INTERVAL_MS)
        {
            self.last_peer_report = now;
            let peers = self.neighbours(now).into_iter();
            actions.extend(peers.map(|peer| stream::StreamAction::Send(peer, report.clone())));
        }
        self.request_missing_reports(now, actions);
    }

    /// Requests reports from members that have not been seen recently.
    fn request_missing_reports(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let request = self.report_request(now);
        for agent in self.table.take_due_requests(now) {
            actions.push(stream::StreamAction::Send(agent, request.clone()));
        }
        for (address, peer) in &mut self.peers {
            if !peer.is_recently_seen(now) && now.since(peer.last_request) >= REQUEST_INTERVAL_MS {
                peer.last_request = now;
                actions.push(stream::StreamAction::Send(*address, request.clone()));
            }
        }
    }

    /// Returns the balancers that get this one's reports, chosen among those seen recently.
    fn neighbours(&self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let seen = self.peers.iter().filter(|(_, peer)| peer.is_recently_seen(now));
        let seen = seen.map(|(address, _)| *address);
        subset::neighbours(self.config.address, seen, SUCCESSOR_COUNT, RANDOM_PEER_COUNT)
    }

    fn report_interval_ms(&self, max_ms: u64) -> u64 {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable).count() as u64;
        (balancer::REPORT_INTERVAL_PER_BALANCER_MS * (reachable + 1))
            .clamp(balancer::MIN_REPORT_INTERVAL_MS, max_ms)
    }

    pub(super) fn own_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Balancer(self.balancer_report(true, now))
    }

    /// Returns a report that its receiver answers once and that ends a subscription.
    fn report_request(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Balancer(self.balancer_report(false, now))
    }

    fn balancer_report(
        &self,
        wants_reports: bool,
        now: ids::UnixMillis,
    ) -> message::BalancerReport {
        message::BalancerReport {
            data_centre: self.config.data_centre,
            generation: self.state.generation(),
            is_leaving: self.is_leaving,
            reaches_platform: self.reaches_platform && !self.is_leaving,
            reachable_centres: self.reachable_centres(),
            evacuations: self.evacuations.advertised(now),
            store_epoch: self.store_epoch,
            wants_reports,
        }
    }

    /// Returns the reachable members, in parts that each fit a datagram.
    fn reachable_members(&self) -> Vec<message::StreamMessage> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.is_reachable && !peer.is_leaving);
        let balancers = peers.map(|(address, peer)| stream::AnnouncedMember {
            address: *address,
            service: None,
            data_centre: peer.data_centre,
        });
        let members: Vec<_> = balancers.chain(self.table.reachable_members()).collect();
        let parts = members.chunks(message::MAX_MEMBERS_PER_MESSAGE);
        let reachable = parts.map(|part| message::ReachableMembers { members: part.to_vec() });
        reachable.map(message::StreamMessage::Members).collect()
    }
}
