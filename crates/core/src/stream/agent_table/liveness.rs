//! Which agents may still hold streams: timeouts of reports, probes of machines, and agents
//! presumed lost.

use std::collections;
use std::net;

use crate::ids;
use crate::stream::agent_table;
use crate::stream::agent_table::exclusion;
use crate::stream::agent_table::subscriptions;
use crate::stream::balancer::service_history;
use crate::stream::host;

/// How long an agent is kept that no balancer receives reports from, in milliseconds.
///
/// Its backend server may still hold streams, and it may return at the same address.
const RETENTION_MS: u64 = 30_000;

/// How much earlier than a balancer a backend server may start to count as started together with it
/// after a shared power loss, in milliseconds.
///
/// Machines that lose power together start within 300 ms of each other.
const START_TOLERANCE_MS: u64 = 500;

/// Machines probed per tick: each probe opens a connection, which costs processor time.
const MAX_PROBES_PER_TICK: usize = 8;

/// How long no agent of a data centre may have reported before their machines are probed, in
/// milliseconds: two failed probes of each must fit before the data centre counts as lost.
const CENTRE_PROBE_DELAY_MS: u64 = 500;

/// Agents that may hold a stream.
#[derive(Clone, Debug, Default)]
pub struct PossibleHolders {
    /// Their addresses.
    pub agents: Vec<net::SocketAddrV4>,
    /// How many silent agents were left out because they are presumed to hold no stream.
    pub presumed_gone: usize,
    /// Whether all announced members were known when these agents were listed.
    pub knows_all_members: bool,
    /// Whether agents of every service were listed.
    pub are_of_any_service: bool,
}

impl agent_table::AgentTable {
    /// The agents whose machines must be probed now, once the majority of agents is reachable: those that
    /// have never reported and that no balancer mentions, and all in a data centre that has fallen silent.
    pub fn take_due_probes(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        if !self.reaches_majority() {
            return Vec::new();
        }
        let silent_centres = self.silent_centres(CENTRE_PROBE_DELAY_MS, now);
        let is_due = |known: &agent_table::KnownAgent| match &known.report {
            Some(report) => {
                let is_silent = silent_centres.contains(&report.data_centre);
                is_silent && known.machine.is_probe_due(known.last_report, now)
            }
            None => known.machine.is_probe_due(self.expected_since(known), now),
        };
        let due = self.agents.iter().filter(|(_, known)| is_due(known));
        let due: Vec<_> = due.map(|(address, _)| *address).take(MAX_PROBES_PER_TICK).collect();
        for agent in &due {
            if let Some(known) = self.agents.get_mut(agent) {
                known.machine.on_probe(now);
            }
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
        self.mark_lost_agents(now);
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

    /// Marks the agents that are presumed lost. They stay so until they report or are mentioned, since
    /// the signs of a power loss fade as backend servers grow older.
    fn mark_lost_agents(&mut self, now: ids::UnixMillis) {
        let is_after_power_loss = self.is_after_power_loss(now);
        let is_lost = |known: &agent_table::KnownAgent| {
            known.report.is_none() && self.is_silence_final(known, is_after_power_loss, now)
        };
        let lost = self.agents.iter().filter(|(_, known)| is_lost(known));
        let lost: Vec<_> = lost.map(|(address, _)| *address).collect();
        for agent in &lost {
            if let Some(known) = self.agents.get_mut(agent) {
                known.presumed_lost = Some(now);
            }
        }
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
    /// The data centres of which no agent has reported for `silent_ms`, although this balancer was in
    /// contact with the majority of agents, and in which most machines leave probes unanswered.
    ///
    /// While all agents of a data centre restart, their machines answer, and streams there go on.
    pub fn unreachable_centres(
        &self,
        silent_ms: u64,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<u32> {
        let mut centres = self.silent_centres(silent_ms, now);
        centres.retain(|centre| {
            let reported = || {
                let reports = self.agents.values().filter(|known| known.report.is_some());
                reports.filter(|known| known.is_in(*centre))
            };
            let gone = reported().filter(|known| known.machine.is_gone(now)).count();
            2 * gone > reported().count()
        });
        centres
    }

    /// The data centres of which no agent has reported for `silent_ms`, although this balancer was in
    /// contact with the majority of agents.
    fn silent_centres(&self, silent_ms: u64, now: ids::UnixMillis) -> collections::BTreeSet<u32> {
        let mut last_reports = collections::BTreeMap::<u32, ids::UnixMillis>::new();
        for known in self.agents.values() {
            let Some(report) = &known.report else { continue };
            let last = last_reports.entry(report.data_centre).or_insert(self.contact_since);
            *last = (*last).max(known.last_report);
        }
        let silent = last_reports.into_iter().filter(|(_, last)| now.since(*last) >= silent_ms);
        silent.map(|(centre, _)| centre).collect()
    }

    /// The agents that may hold a stream of these services.
    pub fn holders(
        &self,
        services: &service_history::ServiceScope,
        lost_centres: &collections::BTreeSet<u32>,
        now: ids::UnixMillis,
    ) -> PossibleHolders {
        let mut holders = PossibleHolders {
            are_of_any_service: *services == service_history::ServiceScope::Any,
            ..PossibleHolders::default()
        };
        for (address, known) in &self.agents {
            match self.evidence(known, services, lost_centres, now).exclusion() {
                None => holders.agents.push(*address),
                Some(exclusion) => holders.presumed_gone += usize::from(exclusion.is_presumed()),
            }
        }
        holders
    }

    /// The agents of other services that may hold a stream because they have not denied to hold any of former
    /// services.
    pub fn undenied<'a>(
        &'a self,
        services: &'a service_history::ServiceScope,
    ) -> impl Iterator<Item = net::SocketAddrV4> + 'a {
        let is_undenied = |known: &agent_table::KnownAgent| {
            known
                .service
                .is_some_and(|service| services.awaits_denial(service, known.denied_former))
        };
        self.agents.iter().filter(move |(_, known)| is_undenied(known)).map(|(address, _)| *address)
    }

    fn evidence(
        &self,
        known: &agent_table::KnownAgent,
        services: &service_history::ServiceScope,
        lost_centres: &collections::BTreeSet<u32>,
        now: ids::UnixMillis,
    ) -> exclusion::AgentEvidence {
        // An agent of unknown service may belong to one of these.
        let denied = known.denied_former;
        let is_other = known.service.is_some_and(|service| !services.contains(service, denied));
        exclusion::AgentEvidence {
            contact: self.contact(known, now),
            is_in_lost_centre: known.data_centre.is_some_and(|of| lost_centres.contains(&of)),
            is_of_other_service: !known.is_service_disputed && is_other,
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
                is_mentioned_since: known.is_service_disputed
                    || self.is_mentioned_since(known, known.last_report),
            },
            None => {
                let is_unmentioned = |since: ids::UnixMillis| known.machine.last_mention() <= since;
                let is_machine_lost = known.presumed_lost.is_some_and(is_unmentioned);
                exclusion::AgentContact::Unreported { is_machine_lost }
            }
        }
    }

    /// Whether a mention shows that another balancer has received a report of an agent after this time,
    /// at which it last reported here or should have begun to.
    ///
    /// Others mention an agent until its reports have timed out there, so mentions go on for a while
    /// after its last report to anyone.
    fn is_mentioned_since(&self, known: &agent_table::KnownAgent, since: ids::UnixMillis) -> bool {
        let reports = self.policy.reports;
        let mentions_end_ms = u64::from(reports.far_ms) + reports.timeout_ms(false);
        known.machine.last_mention() > since.plus(mentions_end_ms)
    }

    /// Since when an agent without a report has neither reported nor been mentioned, although it should
    /// have been.
    fn expected_since(&self, known: &agent_table::KnownAgent) -> ids::UnixMillis {
        let subscribed = known.subscribed.map(|subscribed| subscribed.max(known.last_report));
        match subscribed {
            Some(since) if self.is_mentioned_since(known, since) => known.machine.last_mention(),
            Some(since) => since,
            None => known.last_seen().plus(subscriptions::MENTION_TIMEOUT_MS),
        }
    }

    /// Whether the silence of an agent without a report shows that it is lost.
    ///
    /// While its agent restarts, a running machine answers probes, and its backend server keeps its
    /// streams. A machine behind a network partition looks like one without power, but its streams may
    /// be open. So a failed probe alone counts only after a power loss, when most backend servers have
    /// started together with this balancer; then streams of silent agents are dead as well.
    fn is_silence_final(
        &self,
        known: &agent_table::KnownAgent,
        is_after_power_loss: bool,
        now: ids::UnixMillis,
    ) -> bool {
        let lost_ms = u64::from(self.policy.recovery.lost_ms);
        let since = self.expected_since(known).max(self.contact_since);
        let is_overdue = now.since(since) > lost_ms;
        match known.machine.is_gone(now) {
            true => is_overdue || is_after_power_loss,
            false => is_overdue && is_after_power_loss,
        }
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
