//! What a balancer hears of agents and other balancers, and tells them.

use std::net;

use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::stream;
use crate::stream::balancer;
use crate::stream::board;
use crate::stream::message;
use crate::stream::note;
use crate::stream::subset;

/// How long another balancer may be unheard and still be told of, in milliseconds: three of its reports
/// and some.
const HEARD_MS: u64 = 3 * balancer::PEER_REPORT_MS + 200;

/// How long a balancer that nobody receives reports from is remembered, in milliseconds.
const KEPT_MS: u64 = 30_000;

/// How long another balancer may be unmentioned before it is sent a report, which it answers, in
/// milliseconds; several times what mentions take to come round.
const MENTION_TIMEOUT_MS: u64 = 10_000;

/// Between two such reports to the same balancer, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// Balancers that follow this one in the common order and get its reports. Each knows from them
/// whether enough balancers before it watch the platform, also while two thirds are down.
const SUCCESSORS: usize = 8;

/// Other balancers drawn at random that get its reports.
const DRAWN_PEERS: usize = 16;

impl balancer::StreamBalancer {
    pub(super) fn take_members(
        &mut self,
        members: &[stream::AnnouncedMember],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in members {
            self.insert_member(member, now);
        }
        self.knows_members = true;
        self.renew_subscriptions(now, actions);
        self.report(now, actions);
    }

    pub(super) fn hear_agent(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::AgentReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if self.board.hear(from, report, now) {
            actions.push(stream::StreamAction::Note(note::StreamNote::AgentChanged {
                agent: from,
                run: report.agent.to_string(),
                phase: report.phase,
                is_heard: true,
            }));
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    pub(super) fn hear_balancer(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::BalancerReport,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.meet(from, now);
        if let Some(peer) = self.peers.get_mut(&from) {
            let is_news = !peer.is_heard;
            *peer = balancer::PeerBalancer {
                data_centre: Some(report.data_centre),
                hears: report.hears.clone(),
                heard: now,
                mentioned: now,
                requested: peer.requested,
                is_heard: true,
                is_leaving: report.is_leaving,
                reaches_platform: report.reaches_platform,
            };
            if is_news {
                let changed = note::StreamNote::BalancerChanged { balancer: from, is_heard: true };
                actions.push(stream::StreamAction::Note(changed));
                actions.push(stream::StreamAction::Tell(from, self.own_report(now)));
                for part in self.heard_members() {
                    actions.push(stream::StreamAction::Tell(from, part));
                }
            } else if !report.wants_reports {
                actions.push(stream::StreamAction::Tell(from, self.own_report(now)));
            }
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
        self.take_store_epoch(report.store_epoch, actions);
        self.take_evacuations(&report.evacuations, now, actions);
    }

    /// Merges the members that another balancer receives reports from.
    pub(super) fn take_heard(
        &mut self,
        heard: &message::HeardMembers,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in &heard.members {
            self.insert_member(member, now);
            match member.service {
                Some(_) => self.board.note_told(member.address, now),
                None => {
                    if let Some(peer) = self.peers.get_mut(&member.address) {
                        peer.mentioned = now;
                    }
                }
            }
        }
        self.renew_subscriptions(now, actions);
    }

    fn insert_member(&mut self, member: &stream::AnnouncedMember, now: ids::UnixMillis) {
        match member.service {
            Some(service) => self.board.insert(member.address, service, member.data_centre, now),
            None => {
                self.meet(member.address, now);
                if let Some(peer) = self.peers.get_mut(&member.address) {
                    peer.data_centre = peer.data_centre.or(member.data_centre);
                }
            }
        }
    }

    /// Draws the agents to subscribe to where that is due, and tells those for which it has changed.
    pub(super) fn renew_subscriptions(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let own = self.config.data_centre;
        let near = self.peers.values().filter(|peer| peer.data_centre == Some(own));
        let near_balancers = near.count() + 1;
        let change = self.board.renew_subscriptions(near_balancers, now);
        if change == board::SubscriptionChange::default() {
            return;
        }
        let subscribe = self.own_report(now);
        let unsubscribe = self.request_report(now);
        let added = change.added.into_iter().map(|agent| (agent, &subscribe));
        let dropped = change.dropped.into_iter().map(|agent| (agent, &unsubscribe));
        for (agent, report) in added.chain(dropped) {
            actions.push(stream::StreamAction::Tell(agent, report.clone()));
        }
    }

    /// Sends one other balancer, drawn at random, a part of the members that report to this one.
    ///
    /// Everyone who starts reads the platform's list; these parts carry what has changed since, all of
    /// it while the platform is away, and which members still run. Sent to one balancer at a time, news
    /// reaches twice as many with each interval.
    pub(super) fn pass_members_on(&mut self, actions: &mut Vec<stream::StreamAction>) {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard);
        let drawn = heard.map(|(address, _)| *address).choose(&mut self.random);
        let part = self.heard_members().into_iter().choose(&mut self.random);
        if let (Some(peer), Some(part)) = (drawn, part) {
            actions.push(stream::StreamAction::Tell(peer, part));
        }
    }

    pub(super) fn meet(&mut self, balancer: net::SocketAddrV4, now: ids::UnixMillis) {
        if balancer != self.config.address {
            self.peers.entry(balancer).or_insert(balancer::PeerBalancer {
                data_centre: None,
                hears: Vec::new(),
                heard: now,
                mentioned: now,
                requested: ids::UnixMillis(0),
                is_heard: false,
                is_leaving: false,
                reaches_platform: false,
            });
        }
    }

    pub(super) fn forget_peers(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.peers.retain(|_, peer| match peer.is_leaving {
            true => now.since(peer.heard) <= HEARD_MS,
            false => now.since(peer.last_seen()) <= KEPT_MS,
        });
        for (balancer, peer) in &mut self.peers {
            if peer.is_heard && now.since(peer.heard) > HEARD_MS {
                peer.is_heard = false;
                let balancer = *balancer;
                let changed = note::StreamNote::BalancerChanged { balancer, is_heard: false };
                actions.push(stream::StreamAction::Note(changed));
            }
        }
    }

    /// Reports to every subscribed agent and neighbour at once: something has changed that none may
    /// learn late.
    pub(super) fn report(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.reported = now;
        self.told_agents = ids::UnixMillis(0);
        self.told_peers = ids::UnixMillis(0);
        self.report_due(now, actions);
    }

    /// Reports to those whose turn it is; the more balancers report here, the less often each does.
    pub(super) fn report_due(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let report = self.own_report(now);
        if now.since(self.told_agents) >= self.report_period_ms(balancer::AGENT_REPORT_MS) {
            self.told_agents = now;
            let agents = self.board.subscribed();
            actions.extend(agents.map(|agent| stream::StreamAction::Tell(agent, report.clone())));
        }
        if now.since(self.told_peers) >= self.report_period_ms(balancer::PEER_REPORT_MS) {
            self.told_peers = now;
            let peers = self.neighbours().into_iter();
            actions.extend(peers.map(|peer| stream::StreamAction::Tell(peer, report.clone())));
        }
        self.request_unmentioned(now, actions);
    }

    /// Asks members that nobody has mentioned for long whether they still run.
    fn request_unmentioned(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let request = self.request_report(now);
        for agent in self.board.take_due_requests(now) {
            actions.push(stream::StreamAction::Tell(agent, request.clone()));
        }
        for (address, peer) in &mut self.peers {
            let is_unseen = now.since(peer.last_seen()) >= MENTION_TIMEOUT_MS;
            if is_unseen && now.since(peer.requested) >= REQUEST_INTERVAL_MS {
                peer.requested = now;
                actions.push(stream::StreamAction::Tell(*address, request.clone()));
            }
        }
    }

    fn neighbours(&self) -> Vec<net::SocketAddrV4> {
        let peers = self.peers.keys().copied();
        subset::neighbours(self.config.address, peers, SUCCESSORS, DRAWN_PEERS)
    }

    fn report_period_ms(&self, most: u64) -> u64 {
        let heard = self.peers.values().filter(|peer| peer.is_heard).count() as u64;
        (balancer::REPORT_SHARE_MS * (heard + 1)).clamp(balancer::REPORT_MS, most)
    }

    pub(super) fn own_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Balancer(self.balancer_report(true, now))
    }

    /// A report to an agent outside the subscriptions, which answers it once.
    fn request_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
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
            hears: self.heard_centres(),
            evacuations: self.evacuations.told(now),
            store_epoch: self.store_epoch,
            wants_reports,
        }
    }

    /// The members that this balancer receives reports from, in parts that each fit a datagram.
    fn heard_members(&self) -> Vec<message::StreamMessage> {
        let peers = self.peers.iter().filter(|(_, peer)| peer.is_heard && !peer.is_leaving);
        let balancers = peers.map(|(address, peer)| stream::AnnouncedMember {
            address: *address,
            service: None,
            data_centre: peer.data_centre,
        });
        let members: Vec<_> = balancers.chain(self.board.heard_members()).collect();
        let parts = members.chunks(message::MEMBERS_PER_MESSAGE);
        let heard = parts.map(|part| message::HeardMembers { members: part.to_vec() });
        heard.map(message::StreamMessage::Heard).collect()
    }
}
