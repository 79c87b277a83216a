//! Which agents may still hold streams: timeouts of reports, probes of machines, and agents
//! presumed lost.

use std::collections;
use std::net;

use crate::ids;
use crate::stream::agent_table;
use crate::stream::agent_table::exclusion;
use crate::stream::agent_table::subscriptions;
use crate::stream::host;

/// How long an agent is kept that no balancer receives reports from, in milliseconds.
///
/// Its backend server may still hold streams, and it may return at the same address.
const RETENTION_MS: u64 = 30_000;

/// How much earlier than a balancer a backend server may start to count as started together with it
/// after a shared power loss, in milliseconds.
const START_TOLERANCE_MS: u64 = 500;

/// Machines probed per tick: each probe opens a connection, which costs processor time.
const MAX_PROBES_PER_TICK: usize = 8;

/// Agents that may hold a stream.
#[derive(Clone, Debug, Default)]
pub struct PossibleHolders {
    /// Their addresses.
    pub agents: Vec<net::SocketAddrV4>,
    /// How many silent agents were left out because they are presumed to hold no stream.
    pub presumed_gone: usize,
    /// Whether all announced members were known when these agents were listed.
    pub knows_all_members: bool,
}

impl agent_table::AgentTable {
    /// The agents whose machines must be probed now: subscribed ones that have never reported, once
    /// the majority of agents is reachable.
    pub fn take_due_probes(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        if !self.reaches_majority() {
            return Vec::new();
        }
        let mut due = Vec::new();
        let unreported = self.agents.iter_mut().filter(|(_, known)| {
            let since = known.subscribed.map(|since| since.max(known.last_report));
            let is_due = since.is_some_and(|since| known.machine.is_probe_due(since, now));
            known.report.is_none() && is_due
        });
        for (agent, known) in unreported.take(MAX_PROBES_PER_TICK) {
            known.machine.on_probe(now);
            due.push(*agent);
        }
        due
    }

    /// Records whether the machine of an agent answered a probe.
    pub fn on_machine_probed(&mut self, agent: net::SocketAddrV4, is_there: bool) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.machine.on_probe_outcome(is_there);
        }
    }

    /// Removes agents not seen within the retention time; returns the subscribed ones whose reports
    /// have just timed out.
    pub fn sweep(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let before = self.agents.len();
        self.agents.retain(|_, known| now.since(known.last_seen()) <= RETENTION_MS);
        if self.agents.len() != before {
            self.last_draw = None;
        }
        if !self.reaches_majority() {
            self.on_contact_lost(now);
        }
        let mut silent = Vec::new();
        let (data_centre, reports) = (self.data_centre, self.policy.reports);
        for (address, known) in &mut self.agents {
            let timeout_ms = reports.timeout_ms(known.is_in(data_centre));
            if !known.is_reachable || now.since(known.last_report) <= timeout_ms {
                continue;
            }
            known.is_reachable = false;
            match known.is_subscribed() {
                true => silent.push(*address),
                // A single report that was requested says nothing about the present state.
                false => known.report = None,
            }
        }
        silent
    }

    /// Records that this balancer itself was paused or unreachable, so that missing reports are no
    /// evidence against agents.
    ///
    /// Otherwise, as soon as the first report arrived again, the other agents would be presumed
    /// lost while their reports are on the way, and their open streams would be reset.
    pub fn on_contact_lost(&mut self, now: ids::UnixMillis) {
        self.contact_since = now;
    }
}

impl agent_table::AgentTable {
    /// The data centres of which no agent has reported for `silent_ms`, while this balancer was in
    /// contact with the majority of agents.
    pub fn unreachable_centres(
        &self,
        silent_ms: u64,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<u32> {
        let mut last_reports = collections::BTreeMap::<u32, ids::UnixMillis>::new();
        for known in self.agents.values() {
            let Some(report) = &known.report else { continue };
            let last = last_reports.entry(report.data_centre).or_insert(self.contact_since);
            *last = (*last).max(known.last_report);
        }
        let silent = last_reports.into_iter().filter(|(_, last)| now.since(*last) >= silent_ms);
        silent.map(|(centre, _)| centre).collect()
    }

    /// The agents that may hold a stream of a service.
    pub fn holders(
        &self,
        service: Option<ids::ServiceId>,
        lost_centres: &collections::BTreeSet<u32>,
        now: ids::UnixMillis,
    ) -> PossibleHolders {
        let mut holders = PossibleHolders::default();
        for (address, known) in &self.agents {
            match self.evidence(known, service, lost_centres, now).exclusion() {
                None => holders.agents.push(*address),
                Some(exclusion) => holders.presumed_gone += usize::from(exclusion.is_presumed()),
            }
        }
        holders
    }

    fn evidence(
        &self,
        known: &agent_table::KnownAgent,
        service: Option<ids::ServiceId>,
        lost_centres: &collections::BTreeSet<u32>,
        now: ids::UnixMillis,
    ) -> exclusion::AgentEvidence {
        // An agent of unknown service may belong to this one.
        let is_other = |service| known.service.is_some_and(|of| of != service);
        exclusion::AgentEvidence {
            contact: self.contact(known, now),
            is_in_lost_centre: known.data_centre.is_some_and(|of| lost_centres.contains(&of)),
            is_of_other_service: !known.is_service_disputed && service.is_some_and(is_other),
        }
    }

    fn contact(
        &self,
        known: &agent_table::KnownAgent,
        now: ids::UnixMillis,
    ) -> exclusion::AgentContact {
        match &known.report {
            Some(_) if self.is_reachable(known, now) => exclusion::AgentContact::Reporting,
            Some(report) => exclusion::AgentContact::Silent {
                host_had_stopped: report.phase == host::HostPhase::Gone,
                is_heard_elsewhere: known.is_service_disputed || self.is_heard_elsewhere(known),
            },
            None => exclusion::AgentContact::Unreported {
                is_machine_lost: self.is_presumed_lost(known, now),
            },
        }
    }

    /// Whether another balancer has heard from an agent after its last report here.
    ///
    /// Others mention an agent until its reports have timed out there, so their mentions go on for a
    /// while after its last report to anyone.
    fn is_heard_elsewhere(&self, known: &agent_table::KnownAgent) -> bool {
        let reports = self.policy.reports;
        let mentions_end_ms = u64::from(reports.far_ms) + reports.timeout_ms(false);
        known.machine.last_mention() > known.last_report.plus(mentions_end_ms)
    }

    /// Whether an agent without a report is presumed lost: its machine is down, or it has been
    /// silent for longer than a restart takes.
    ///
    /// A machine behind a network partition looks like one without power, but its streams may be
    /// open. So a failed probe counts only after a power loss, when most backend servers have
    /// started together with this balancer.
    fn is_presumed_lost(&self, known: &agent_table::KnownAgent, now: ids::UnixMillis) -> bool {
        let lost_ms = u64::from(self.policy.recovery.lost_ms);
        let (since, limit_ms) = match known.subscribed {
            Some(subscribed) => (known.last_report.max(subscribed), lost_ms),
            None => (known.last_seen(), subscriptions::MENTION_TIMEOUT_MS + lost_ms),
        };
        let is_overdue = now.since(since.max(self.contact_since)) > limit_ms;
        is_overdue || (known.machine.is_gone(now) && self.is_after_power_loss(now))
    }

    /// Whether at least half of the subscribed agents are reachable and have backend servers that
    /// started together with this balancer.
    fn is_after_power_loss(&self, now: ids::UnixMillis) -> bool {
        let own_age_ms = now.since(self.started);
        let started_with_balancer = |known: &&agent_table::KnownAgent| {
            let age_ms = known.report.as_ref().and_then(|report| report.host_age_ms);
            let age_ms = age_ms.map(|age_ms| u64::from(age_ms) + now.since(known.last_report));
            known.is_reachable
                && age_ms.is_some_and(|age_ms| age_ms <= own_age_ms + START_TOLERANCE_MS)
        };
        let subscribed = || self.agents.values().filter(|known| known.is_subscribed());
        2 * subscribed().filter(started_with_balancer).count() >= subscribed().count()
    }

    /// Whether at least half of the subscribed agents are reachable.
    fn reaches_majority(&self) -> bool {
        let subscribed = || self.agents.values().filter(|known| known.is_subscribed());
        2 * subscribed().filter(|known| known.is_reachable).count() >= subscribed().count()
    }
}
