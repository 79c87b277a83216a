//! Subscriptions of one balancer to agents' reports, and single requests to other agents.

use std::collections;
use std::net;

use crate::ids;
use crate::stream::agent_table;
use crate::stream::subset;

/// How long an agent outside the subscriptions may go unmentioned before it is asked for a report,
/// in milliseconds; several times as long as mentions take to reach every balancer.
pub(super) const MENTION_TIMEOUT_MS: u64 = 10_000;

/// Interval between requests for a single report to the same agent, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// Interval at which subscriptions are redrawn to replace failed agents, in milliseconds.
const DRAW_INTERVAL_MS: u64 = 1_000;

/// Agents subscribed to per service in the balancer's own data centre.
const NEAR_AGENTS: usize = 18;

/// Agents subscribed to per service in all other data centres, which are needed only if near ones
/// are full or unreachable.
const FAR_AGENTS: usize = 16;

/// The least number of balancers of a data centre that subscribe to an agent there, on average.
/// With fewer, some agents would be drawn by no balancer and get no streams.
const MIN_SUBSCRIBERS: usize = 8;

/// The difference between two draws of subscriptions.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SubscriptionChange {
    /// Agents that must report from now on.
    pub added: Vec<net::SocketAddrV4>,
    /// Agents that need no longer report.
    pub dropped: Vec<net::SocketAddrV4>,
}

impl agent_table::AgentTable {
    /// Redraws the agents to subscribe to if that is due: a limited number of near and of far
    /// agents per service. Unresponsive agents stay subscribed and do not count towards the limit.
    pub fn renew_subscriptions(
        &mut self,
        near_balancers: usize,
        now: ids::UnixMillis,
    ) -> SubscriptionChange {
        let is_due =
            self.last_draw.is_none_or(|last_draw| now.since(last_draw) >= DRAW_INTERVAL_MS);
        let Some(own_address) = self.own_address.filter(|_| is_due) else {
            return SubscriptionChange::default();
        };
        self.last_draw = Some(now);
        let chosen = self.draw_subscriptions(own_address, near_balancers, now);
        let mut change = SubscriptionChange::default();
        for (address, known) in &mut self.agents {
            match (chosen.contains(address), known.subscribed) {
                (true, None) => {
                    known.subscribed = Some(now);
                    change.added.push(*address);
                }
                (false, Some(_)) => {
                    known.subscribed = None;
                    change.dropped.push(*address);
                }
                _ => {}
            }
        }
        change
    }

    /// The agents outside the subscriptions that no balancer has mentioned recently, to be
    /// asked whether they still run.
    pub fn take_due_requests(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let mut due = Vec::new();
        for (address, known) in &mut self.agents {
            let is_unseen = now.since(known.last_seen()) >= MENTION_TIMEOUT_MS;
            let is_due = now.since(known.last_request) >= REQUEST_INTERVAL_MS;
            if !known.is_subscribed() && is_unseen && is_due {
                known.last_request = now;
                due.push(*address);
            }
        }
        due
    }
}

impl agent_table::AgentTable {
    /// The agents that this balancer subscribes to.
    pub fn subscribed(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        let subscribed = self.agents.iter().filter(|(_, known)| known.is_subscribed());
        subscribed.map(|(address, _)| *address)
    }

    fn draw_subscriptions(
        &self,
        own_address: net::SocketAddrV4,
        near_balancers: usize,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<net::SocketAddrV4> {
        let mut groups = collections::BTreeMap::<_, Vec<net::SocketAddrV4>>::new();
        for (address, known) in &self.agents {
            groups.entry((known.service, self.is_near(known))).or_default().push(*address);
        }
        let mut chosen = collections::BTreeSet::new();
        for ((_, is_near), mut members) in groups {
            let shared = MIN_SUBSCRIBERS * members.len() / near_balancers.max(1);
            let limit = if is_near { shared.max(NEAR_AGENTS) } else { FAR_AGENTS };
            subset::sort_by_rendezvous_rank(own_address, &mut members);
            // Unresponsive agents may return, so they stay subscribed but do not count.
            let mut responsive = 0;
            for member in members.into_iter().take(2 * limit) {
                if responsive == limit {
                    break;
                }
                let is_unresponsive =
                    self.agents.get(&member).is_some_and(|known| known.is_unresponsive(now));
                responsive += usize::from(!is_unresponsive);
                chosen.insert(member);
            }
        }
        chosen
    }
}
