//! Placement of new streams: which agent an opening is sent to.

use std::net;

use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::stream::agent_table;
use crate::stream::cost;
use crate::stream::host;

/// A chosen agent and the load that the choice is based on.
#[derive(Clone, Copy, Debug)]
pub struct AgentChoice {
    /// Its address.
    pub address: net::SocketAddrV4,
    /// Its reported load plus the openings sent since that report.
    pub busy: u32,
    /// Whether it has a free slot.
    pub has_room: bool,
    /// The age of the report, in milliseconds.
    pub report_age_ms: u64,
}

/// What an opening requires of its agent.
#[derive(Clone, Copy, Debug)]
pub struct OpeningRequirements<'a> {
    /// The service that the configuration names for its address.
    pub service: ids::ServiceId,
    /// The regions in which it may be opened; empty if any will do.
    pub regions: &'a [u32],
}

/// Why an agent that serves a service must not get an opening; the reason likely to end sooner is
/// greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlacementExclusion {
    /// The configuration does not allow the opening in its region.
    OtherRegion,
    /// Its data centre is evacuated.
    Evacuated,
}

impl agent_table::AgentTable {
    /// Chooses an agent for a new stream: the cheapest of a few random ones, or of all if the
    /// cheapest of those has no free slot.
    ///
    /// If all balancers chose the cheapest of all, they would overload the same agent between two
    /// of its reports.
    pub fn choose(
        &self,
        needs: OpeningRequirements<'_>,
        tried: &[net::SocketAddrV4],
        now: ids::UnixMillis,
        random: &mut impl rand::Rng,
    ) -> Option<AgentChoice> {
        let candidates = || {
            self.agents.iter().filter(move |(address, known)| {
                let is_open = self.serves(known, needs.service, now);
                is_open && self.exclusion(known, needs).is_none() && !tried.contains(address)
            })
        };
        let drawn_agents = self.policy.placement.drawn_agents as usize;
        let near = candidates().filter(|(_, known)| self.is_near(known));
        let far = candidates().filter(|(_, known)| !self.is_near(known));
        let mut drawn = near.sample(random, drawn_agents);
        drawn.extend(far.sample(random, drawn_agents));
        let policy = &self.policy.placement;
        let share = |known: &agent_table::KnownAgent| {
            cost::placement_cost(known, self.is_near(known), policy)
        };
        let best = cost::least_cost_agent(drawn.into_iter(), share, random)?;
        let best = match cost::has_room(best.1) {
            true => best,
            false => cost::least_cost_agent(candidates(), share, random)?,
        };
        Some(choice(best.0, best.1, now))
    }

    /// Why every agent that serves the service is excluded, the greatest of several reasons; `None`
    /// if some agent is not excluded or none serves the service.
    pub fn shared_exclusion(
        &self,
        needs: OpeningRequirements<'_>,
        now: ids::UnixMillis,
    ) -> Option<PlacementExclusion> {
        let serving = self.agents.values().filter(|known| self.serves(known, needs.service, now));
        let mut exclusions = serving.map(|known| self.exclusion(known, needs));
        let first = exclusions.next()??;
        exclusions.try_fold(first, |last, exclusion| exclusion.map(|one| last.max(one)))
    }

    fn serves(
        &self,
        known: &agent_table::KnownAgent,
        service: ids::ServiceId,
        now: ids::UnixMillis,
    ) -> bool {
        let report = known.report.as_ref();
        let serves =
            report.is_some_and(|r| r.service == service && r.phase == host::HostPhase::Serving);
        serves && self.is_reachable(known, now)
    }

    fn exclusion(
        &self,
        known: &agent_table::KnownAgent,
        needs: OpeningRequirements<'_>,
    ) -> Option<PlacementExclusion> {
        let centre = known.report.as_ref().map(|report| report.data_centre)?;
        let region = self.regions.get(&centre);
        let is_allowed = || region.is_some_and(|region| needs.regions.contains(region));
        match () {
            () if self.evacuated.contains(&centre) => Some(PlacementExclusion::Evacuated),
            () if !needs.regions.is_empty() && !is_allowed() => {
                Some(PlacementExclusion::OtherRegion)
            }
            () => None,
        }
    }
}

fn choice(
    address: &net::SocketAddrV4,
    known: &agent_table::KnownAgent,
    now: ids::UnixMillis,
) -> AgentChoice {
    AgentChoice {
        address: *address,
        busy: cost::busy(known),
        has_room: cost::has_room(known),
        report_age_ms: now.since(known.last_report),
    }
}
