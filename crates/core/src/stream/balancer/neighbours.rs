//! What a balancer hears of agents and other balancers, and tells them.

use std::net;

use crate::ids;
use crate::stream;
use crate::stream::balancer;
use crate::stream::message;
use crate::stream::note;

/// How long another balancer may be unheard and still be told of, in milliseconds.
const HEARD_MS: u64 = 1_000;

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
                heard: now,
                is_heard: true,
                is_leaving: report.is_leaving,
                reaches_platform: report.reaches_platform,
            };
            if is_news {
                let changed = note::StreamNote::BalancerChanged { balancer: from, is_heard: true };
                actions.push(stream::StreamAction::Note(changed));
                actions.push(stream::StreamAction::Tell(from, self.own_report(true)));
            }
        }
        for balancer in &report.balancers {
            self.meet(*balancer, now);
        }
        for agent in &report.agents {
            if self.board.get(*agent).is_none() {
                self.board.note_address(*agent, now);
                actions.push(stream::StreamAction::Tell(*agent, self.own_report(false)));
            }
        }
        if report.generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    pub(super) fn meet(&mut self, balancer: net::SocketAddrV4, now: ids::UnixMillis) {
        if balancer != self.config.address {
            self.peers.entry(balancer).or_insert(balancer::PeerBalancer {
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

    pub(super) fn report(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        self.reported = now;
        let to_agents = self.own_report(false);
        for agent in self.board.addresses() {
            actions.push(stream::StreamAction::Tell(agent, to_agents.clone()));
        }
        let to_peers = self.own_report(true);
        for peer in self.peers.keys() {
            actions.push(stream::StreamAction::Tell(*peer, to_peers.clone()));
        }
    }

    pub(super) fn own_report(&self, to_balancer: bool) -> message::StreamMessage {
        let heard = self.peers.iter().filter(|(_, peer)| peer.is_heard && !peer.is_leaving);
        message::StreamMessage::Balancer(message::BalancerReport {
            generation: self.state.generation(),
            is_leaving: self.is_leaving,
            reaches_platform: self.reaches_platform && !self.is_leaving,
            balancers: heard.map(|(address, _)| *address).collect(),
            agents: match to_balancer {
                true => self.board.heard().collect(),
                false => Vec::new(),
            },
        })
    }
}
