//! The placement cost of agents, for comparison between them.

use std::net;

use crate::stream::agent_table;
use crate::stream::policy;

/// The load of a host with one more request, as a share of its slots, plus the penalties for
/// distance and for failures.
pub(super) fn placement_cost(
    known: &agent_table::KnownAgent,
    is_near: bool,
    policy: &policy::PlacementPolicy,
) -> f64 {
    let Some(report) = &known.report else { return f64::INFINITY };
    let slots = f64::from(report.load.slots.max(1));
    let distance = if is_near { 0.0 } else { f64::from(policy.far_percent) / 100.0 };
    let failure_penalty = match report.load.failing {
        true => f64::from(policy.failing_percent) / 100.0,
        false => 0.0,
    };
    f64::from(busy(known) + 1) / slots + distance + failure_penalty
}

/// The agent with the lowest cost; ties are broken at random.
///
/// The input order is not random, so taking the first of equals would load idle hosts unevenly.
pub(super) fn least_cost_agent<'a>(
    agents: impl Iterator<Item = (&'a net::SocketAddrV4, &'a agent_table::KnownAgent)>,
    cost: impl Fn(&agent_table::KnownAgent) -> f64,
    random: &mut impl rand::Rng,
) -> Option<(&'a net::SocketAddrV4, &'a agent_table::KnownAgent)> {
    let ranked = agents.map(|agent| (cost(agent.1), random.next_u32(), agent));
    let order = |a: &(f64, u32, _), b: &(f64, u32, _)| a.0.total_cmp(&b.0).then(a.1.cmp(&b.1));
    ranked.min_by(order).map(|(_, _, agent)| agent)
}

/// The work in progress at a host, including openings sent since its last report.
pub(super) fn busy(known: &agent_table::KnownAgent) -> u32 {
    let load = known.report.as_ref().map(|report| report.load).unwrap_or_default();
    load.running + load.queued + known.openings_since_report
}

/// Whether a host has a free slot.
pub(super) fn has_room(known: &agent_table::KnownAgent) -> bool {
    known.report.as_ref().is_some_and(|report| busy(known) < report.load.slots)
}
