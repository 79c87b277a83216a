//! What a balancer hears of agents and other balancers, and tells them.

use std::net;

use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::stream;
use crate::stream::balancer;
use crate::stream::message;
use crate::stream::note;

/// How long another balancer may be unheard and still be told of, in milliseconds: three of its reports
/// and some.
const HEARD_MS: u64 = 3 * balancer::PEER_REPORT_MS + 200;

/// How long a balancer that is not heard still gets reports, in milliseconds.
const KEPT_MS: u64 = 30_000;

impl balancer::StreamBalancer {
    pub(super) fn take_members(
        &mut self,
        members: &[stream::AnnouncedMember],
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for member in members {
            match member.service {
                Some(_) => self.board.note_address(member.address, now),
                None => self.meet(member.address, now),
            }
        }
        self.knows_members = true;
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
                is_heard: true,
                is_leaving: report.is_leaving,
                reaches_platform: report.reaches_platform,
            };
            if is_news {
                let changed = note::StreamNote::BalancerChanged { balancer: from, is_heard: true };
                actions.push(stream::StreamAction::Note(changed));
                actions.push(stream::StreamAction::Tell(from, self.own_report(now)));
                actions.push(stream::StreamAction::Tell(from, self.heard_members()));
            }
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
        self.take_store_epoch(report.store_epoch, actions);
        self.take_evacuations(&report.evacuations, now, actions);
    }

    /// Takes in whom another balancer has heard.
    pub(super) fn take_heard(
        &mut self,
        members: &message::HeardMembers,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        for balancer in &members.balancers {
            self.meet(*balancer, now);
        }
        for agent in &members.agents {
            if self.board.get(*agent).is_none() {
                self.board.note_address(*agent, now);
                actions.push(stream::StreamAction::Tell(*agent, self.own_report(now)));
            }
            self.board.note_told(*agent, now);
        }
    }

    /// Tells one other balancer, drawn at random, whom this one has heard.
    ///
    /// Whoever starts reads the platform's list and tells everyone itself; the lists that balancers
    /// pass on are for when the platform is away. In every report to everyone, they were three
    /// quarters of all bytes between data centres at 26 balancers and 65 agents; one at a time,
    /// each is told in as many reports as double the number of those who know.
    pub(super) fn pass_members_on(&mut self, actions: &mut Vec<stream::StreamAction>) {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard);
        let drawn = heard.map(|(address, _)| *address).choose(&mut self.random);
        if let Some(peer) = drawn {
            actions.push(stream::StreamAction::Tell(peer, self.heard_members()));
        }
    }

    pub(super) fn meet(&mut self, balancer: net::SocketAddrV4, now: ids::UnixMillis) {
        if balancer != self.config.address {
            self.peers.entry(balancer).or_insert(balancer::PeerBalancer {
                data_centre: None,
                hears: Vec::new(),
                heard: now,
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
        self.peers.retain(|_, peer| {
            now.since(peer.heard) <= if peer.is_leaving { HEARD_MS } else { KEPT_MS }
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

    /// Tells everyone at once: something has changed that none may learn late.
    pub(super) fn report(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.reported = now;
        self.told_agents = ids::UnixMillis(0);
        self.told_peers = ids::UnixMillis(0);
        self.report_due(now, actions);
    }

    /// Tells those whose turn it is; the more balancers there are, the less often each tells.
    pub(super) fn report_due(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let report = self.own_report(now);
        if now.since(self.told_agents) >= self.report_period_ms(balancer::AGENT_REPORT_MS) {
            self.told_agents = now;
            let agents = self.board.addresses();
            actions.extend(agents.map(|agent| stream::StreamAction::Tell(agent, report.clone())));
        }
        if now.since(self.told_peers) >= self.report_period_ms(balancer::PEER_REPORT_MS) {
            self.told_peers = now;
            let peers = self.peers.keys();
            actions.extend(peers.map(|peer| stream::StreamAction::Tell(*peer, report.clone())));
        }
    }

    fn report_period_ms(&self, most: u64) -> u64 {
        let heard = self.peers.values().filter(|peer| peer.is_heard).count() as u64;
        (balancer::REPORT_SHARE_MS * (heard + 1)).clamp(balancer::REPORT_MS, most)
    }

    pub(super) fn own_report(&self, now: ids::UnixMillis) -> message::StreamMessage {
        message::StreamMessage::Balancer(message::BalancerReport {
            data_centre: self.config.data_centre,
            generation: self.state.generation(),
            is_leaving: self.is_leaving,
            reaches_platform: self.reaches_platform && !self.is_leaving,
            hears: self.heard_centres(),
            evacuations: self.evacuations.told(now),
            store_epoch: self.store_epoch,
        })
    }

    fn heard_members(&self) -> message::StreamMessage {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard && !peer.is_leaving);
        message::StreamMessage::Heard(message::HeardMembers {
            balancers: heard.map(|(address, _)| *address).collect(),
            agents: self.board.heard().collect(),
        })
    }
}
