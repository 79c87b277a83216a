//! What one balancer knows of every agent, and which agent a new stream goes to.

use std::collections;
use std::net;

use rand::seq::IteratorRandom as _;

use crate::ids;
use crate::load;
use crate::stream;
use crate::stream::cost;
use crate::stream::evacuation;
use crate::stream::host;
use crate::stream::machine;
use crate::stream::message;
use crate::stream::policy;
use crate::stream::subset;

/// How long an agent that nobody receives reports from is remembered, in milliseconds.
///
/// Its backend server may still hold streams, and it may come back at the same address.
const KEPT_MS: u64 = 30_000;

/// How long an agent outside the subscriptions may be unmentioned before it is asked for a report, in
/// milliseconds; several times what mentions take to come round.
const MENTION_TIMEOUT_MS: u64 = 10_000;

/// Between two such requests to the same agent, in milliseconds.
const REQUEST_INTERVAL_MS: u64 = 1_000;

/// Interval at which the draw of subscriptions is renewed, in milliseconds, so that agents that have
/// failed are replaced.
const DRAW_INTERVAL_MS: u64 = 1_000;

/// How long a subscribed agent may take to report before another one is drawn in its place, in
/// milliseconds.
const REPLACE_MS: u64 = 2_000;

/// Agents of each service and of this balancer's own data centre that it subscribes to.
const NEAR_AGENTS: usize = 18;

/// Agents of each service and of all other data centres that it subscribes to: they are needed only
/// where near ones are full or unreachable.
const FAR_AGENTS: usize = 16;

/// How many balancers of a data centre subscribe to an agent there, on average and at least: with few,
/// some agents would be drawn by none and get no streams.
const LEAST_SUBSCRIBERS: usize = 8;

/// How much earlier than a balancer the backend servers begin that lost their power with it, in
/// milliseconds: machines come back within 300 of each other.
const TOGETHER_MS: u64 = 500;

/// Machines probed per tick. Each probe is a connection, which a balancer with a small share of a core
/// can open only so often.
const MAX_PROBES_PER_TICK: usize = 8;

/// What is known of one agent.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// Its last report; `None` if it is outside the subscriptions, or has not reported yet.
    pub report: Option<message::AgentReport>,
    /// The service of its backend server, once announced, reported or mentioned.
    pub service: Option<ids::ServiceId>,
    /// Its data centre, once announced, reported or mentioned.
    pub data_centre: Option<u32>,
    /// When this balancer subscribed to its reports, if it does.
    subscribed: Option<ids::UnixMillis>,
    /// When it was last asked for a single report.
    requested: ids::UnixMillis,
    /// When its last report or load arrived; before that, when it became known.
    pub last_report: ids::UnixMillis,
    /// Whether its last report was within the timeout at the last sweep.
    pub is_reachable: bool,
    /// Openings sent there since its last report.
    pub(super) sent_since: u32,
    machine: machine::MachineLiveness,
}

impl KnownAgent {
    fn is_in(&self, data_centre: u32) -> bool {
        self.data_centre == Some(data_centre)
    }

    /// When it was last known to run, by its own messages or by another balancer's.
    fn last_seen(&self) -> ids::UnixMillis {
        self.last_report.max(self.machine.last_mention())
    }

    /// Whether this balancer subscribes to its reports.
    pub fn is_subscribed(&self) -> bool {
        self.subscribed.is_some()
    }

    /// Whether it does not report although it was subscribed to long ago.
    fn is_unresponsive(&self, now: ids::UnixMillis) -> bool {
        self.subscribed.is_some_and(|since| now.since(since.max(self.last_report)) > REPLACE_MS)
    }
}

/// Agents whose subscription has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct SubscriptionChange {
    /// Agents that are to report from now on.
    pub added: Vec<net::SocketAddrV4>,
    /// Agents that need no longer report.
    pub dropped: Vec<net::SocketAddrV4>,
}

/// One agent and what its choice is based on.
#[derive(Clone, Copy, Debug)]
pub struct AgentChoice {
    /// Where it takes messages.
    pub address: net::SocketAddrV4,
    /// What is in progress there, with what was sent since its last report.
    pub busy: u32,
    /// Whether a slot is free there.
    pub has_room: bool,
    /// The age of the report, in milliseconds.
    pub report_age_ms: u64,
}

/// What an opening asks of the agent that takes it.
#[derive(Clone, Copy, Debug)]
pub struct OpeningNeeds<'a> {
    /// The service that the configuration names for its address.
    pub service: ids::ServiceId,
    /// The regions that may take it; any where none is named.
    pub regions: &'a [u32],
}

/// Why an agent that serves a service gets no opening; of two, the one that ends sooner is greater.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PlaceExclusion {
    /// It is in a region that the configuration does not allow.
    OtherRegion,
    /// Its data centre is evacuated.
    Evacuated,
}

/// Agents that may hold a stream.
#[derive(Clone, Debug, Default)]
pub struct PossibleHolders {
    /// Where they take messages.
    pub agents: Vec<net::SocketAddrV4>,
    /// Whether some were left out since they are taken as lost.
    pub has_lost: bool,
    /// Whether every process that is announced was known when they were listed.
    pub is_whole: bool,
}

/// Every agent that one balancer knows.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: collections::BTreeMap<net::SocketAddrV4, KnownAgent>,
    data_centre: u32,
    /// The region of each data centre.
    regions: collections::BTreeMap<u32, u32>,
    /// Data centres that get no new streams.
    evacuated: collections::BTreeSet<u32>,
    policy: policy::StreamPolicy,
    started: ids::UnixMillis,
    /// This balancer's address.
    own: Option<net::SocketAddrV4>,
    /// When subscriptions were last drawn; `None` if members have changed since.
    drawn: Option<ids::UnixMillis>,
    /// When reports from a majority of agents last resumed.
    in_contact: ids::UnixMillis,
}

impl AgentTable {
    /// An empty table for a balancer.
    pub fn new(config: &stream::StreamConfig, now: ids::UnixMillis) -> AgentTable {
        AgentTable {
            data_centre: config.data_centre,
            regions: config.regions.clone(),
            policy: config.policy,
            started: now,
            own: Some(config.address),
            ..AgentTable::default()
        }
    }

    /// Applies a report; returns whether the state of a subscribed agent has changed.
    pub fn on_report(
        &mut self,
        from: net::SocketAddrV4,
        report: &message::AgentReport,
        now: ids::UnixMillis,
    ) -> bool {
        let drawn = &mut self.drawn;
        let known = self.agents.entry(from).or_insert_with(|| {
            *drawn = None;
            unreported(now)
        });
        let is_late = known.report.as_ref().is_some_and(|held| {
            held.agent == report.agent && held.load.sequence > report.load.sequence
        });
        if is_late {
            return false;
        }
        let is_same = known
            .report
            .as_ref()
            .is_some_and(|held| held.agent == report.agent && held.phase == report.phase);
        let is_news = known.is_subscribed() && (!is_same || !known.is_reachable);
        if known.service != Some(report.service) || known.data_centre != Some(report.data_centre) {
            self.drawn = None;
        }
        *known = KnownAgent {
            report: Some(report.clone()),
            service: Some(report.service),
            data_centre: Some(report.data_centre),
            is_reachable: true,
            subscribed: known.subscribed,
            requested: known.requested,
            ..unreported(now)
        };
        is_news
    }

    /// Applies the load that another message carries.
    pub fn apply_load(
        &mut self,
        from: net::SocketAddrV4,
        load: load::LoadReport,
        now: ids::UnixMillis,
    ) {
        let Some(known) = self.agents.get_mut(&from) else { return };
        let Some(report) = known.report.as_mut() else { return };
        if load.sequence >= report.load.sequence {
            report.load = load;
            known.sent_since = 0;
            known.last_report = now;
        }
    }

    /// Records that an agent takes no new streams, until its next report.
    pub fn note_refusal(&mut self, agent: net::SocketAddrV4, phase: host::HostPhase) {
        let known = self.agents.get_mut(&agent).and_then(|known| known.report.as_mut());
        if let Some(report) = known {
            report.phase = phase;
        }
    }

    /// Records an opening that was sent.
    pub fn note_sent(&mut self, agent: net::SocketAddrV4) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.sent_since += 1;
        }
    }

    /// Sets which data centres get no new streams.
    pub fn evacuate(&mut self, evacuations: &evacuation::EvacuationBelief) {
        self.evacuated = evacuations.hashes().collect();
    }

    /// Inserts an agent that is announced on the platform or that another balancer mentions.
    pub fn insert(
        &mut self,
        agent: net::SocketAddrV4,
        service: ids::ServiceId,
        data_centre: Option<u32>,
        now: ids::UnixMillis,
    ) {
        let known = self.agents.entry(agent).or_insert_with(|| unreported(now));
        if known.service.is_none() || known.data_centre.is_none() {
            known.service = known.service.or(Some(service));
            known.data_centre = known.data_centre.or(data_centre);
            self.drawn = None;
        }
    }

    /// Draws the agents to subscribe to anew where that is due: of each service so many near and far
    /// ones, first those that report.
    pub fn renew_subscriptions(
        &mut self,
        near_balancers: usize,
        now: ids::UnixMillis,
    ) -> SubscriptionChange {
        let is_due = self.drawn.is_none_or(|drawn| now.since(drawn) >= DRAW_INTERVAL_MS);
        let Some(own) = self.own.filter(|_| is_due) else { return SubscriptionChange::default() };
        self.drawn = Some(now);
        let chosen = self.draw_subscriptions(own, near_balancers, now);
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

    /// Agents outside the subscriptions that nobody has mentioned for long, to be asked whether they
    /// still run.
    pub fn take_due_requests(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let mut due = Vec::new();
        for (address, known) in &mut self.agents {
            let is_unseen = now.since(known.last_seen()) >= MENTION_TIMEOUT_MS;
            let is_due = now.since(known.requested) >= REQUEST_INTERVAL_MS;
            if !known.is_subscribed() && is_unseen && is_due {
                known.requested = now;
                due.push(*address);
            }
        }
        due
    }

    /// Records that another balancer mentioned an agent as reachable.
    pub fn on_mention(&mut self, agent: net::SocketAddrV4, now: ids::UnixMillis) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.machine.on_mention(now);
        }
    }

    /// The agents whose machines are to be probed now: subscribed ones that have never reported, once
    /// most others have.
    pub fn take_due_probes(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        if !self.reaches_most() {
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

    /// Forgets agents not seen for long; returns the subscribed ones whose reports have just timed out.
    pub fn sweep(&mut self, now: ids::UnixMillis) -> Vec<net::SocketAddrV4> {
        let before = self.agents.len();
        self.agents.retain(|_, known| now.since(known.last_seen()) <= KEPT_MS);
        if self.agents.len() != before {
            self.drawn = None;
        }
        if !self.reaches_most() {
            self.lose_contact(now);
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
                // What it reported once says nothing of what it is now.
                false => known.report = None,
            }
        }
        silent
    }
}

impl AgentTable {
    /// Records that this balancer itself was paused or unreachable: missing reports say nothing.
    ///
    /// After that, one agent's report arrives first, and the others would be taken for lost though their
    /// reports are on the way: open streams would be reset.
    pub fn lose_contact(&mut self, now: ids::UnixMillis) {
        self.in_contact = now;
    }
}

impl AgentTable {
    /// The agents that this balancer subscribes to.
    pub fn subscribed(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        let subscribed = self.agents.iter().filter(|(_, known)| known.is_subscribed());
        subscribed.map(|(address, _)| *address)
    }

    /// Every agent that may be there.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        self.agents.keys().copied()
    }

    /// Where reachable agents take messages.
    pub fn reachable(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        self.agents.iter().filter(|(_, known)| known.is_reachable).map(|(address, _)| *address)
    }

    /// Reachable agents, as they are mentioned to other balancers.
    pub fn reachable_members(&self) -> impl Iterator<Item = stream::AnnouncedMember> {
        let reachable = self.agents.iter().filter(|(_, known)| known.is_reachable);
        reachable.map(|(address, known)| stream::AnnouncedMember {
            address: *address,
            service: Some(known.service.unwrap_or_default()),
            data_centre: known.data_centre,
        })
    }

    /// The data centres with any reachable agent.
    pub fn reachable_centres(&self) -> impl Iterator<Item = u32> {
        let reachable = self.agents.values().filter(|known| known.is_reachable);
        reachable.filter_map(|known| known.report.as_ref().map(|report| report.data_centre))
    }

    /// How many agents that have reported are in a data centre.
    pub fn agents_in(&self, data_centre: u32) -> usize {
        let reported = self.agents.values().filter(|known| known.report.is_some());
        reported.filter(|known| known.is_in(data_centre)).count()
    }

    /// The data centres whose agents have all sent no report for so long, while this balancer received
    /// those of most others.
    pub fn unreachable_centres(
        &self,
        silent_ms: u64,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<u32> {
        let mut last_heard = collections::BTreeMap::<u32, ids::UnixMillis>::new();
        for known in self.agents.values() {
            let Some(report) = &known.report else { continue };
            let last = last_heard.entry(report.data_centre).or_insert(self.in_contact);
            *last = (*last).max(known.last_report);
        }
        let silent = last_heard.into_iter().filter(|(_, last)| now.since(*last) >= silent_ms);
        silent.map(|(centre, _)| centre).collect()
    }

    /// Agents that may hold a stream of a service, but for those in data centres that are lost.
    pub fn holders(
        &self,
        service: Option<ids::ServiceId>,
        lost_centres: &collections::BTreeSet<u32>,
        now: ids::UnixMillis,
    ) -> PossibleHolders {
        let mut holders = PossibleHolders::default();
        for (address, known) in &self.agents {
            let phase = known.report.as_ref().map(|report| report.phase);
            let is_of_another = |service| known.service.is_some_and(|of| of != service);
            let is_in_lost = known.data_centre.is_some_and(|centre| lost_centres.contains(&centre));
            match phase {
                // Its backend server's run has ended, and every stream with it.
                Some(host::HostPhase::Gone) => {}
                _ if service.is_some_and(is_of_another) => {}
                _ if is_in_lost => holders.has_lost = true,
                None if self.is_taken_as_lost(known, now) => holders.has_lost = true,
                // One of which nothing is known may be of the service.
                _ => holders.agents.push(*address),
            }
        }
        holders
    }

    /// Whether an agent without a report is taken as lost: its machine is down, or it has been silent for
    /// longer than a restart takes.
    ///
    /// A machine that is cut off cannot be told from one without power, and its streams may be open: it counts
    /// as not there only where most backend servers have begun together with this balancer, after a loss
    /// of power.
    fn is_taken_as_lost(&self, known: &KnownAgent, now: ids::UnixMillis) -> bool {
        let lost_ms = u64::from(self.policy.recovery.lost_ms);
        let (since, limit_ms) = match known.subscribed {
            Some(subscribed) => (known.last_report.max(subscribed), lost_ms),
            None => (known.last_seen(), MENTION_TIMEOUT_MS + lost_ms),
        };
        let is_overdue = now.since(since.max(self.in_contact)) > limit_ms;
        is_overdue || (known.machine.is_gone(now) && self.is_after_power_loss(now))
    }

    /// Whether half of the subscribed agents are reachable and have backend servers that began when this
    /// balancer did.
    fn is_after_power_loss(&self, now: ids::UnixMillis) -> bool {
        let own_age_ms = now.since(self.started);
        let began_with_it = |known: &&KnownAgent| {
            let age_ms = known.report.as_ref().and_then(|report| report.host_age_ms);
            let age_ms = age_ms.map(|age_ms| u64::from(age_ms) + now.since(known.last_report));
            known.is_reachable && age_ms.is_some_and(|age_ms| age_ms <= own_age_ms + TOGETHER_MS)
        };
        let subscribed = || self.agents.values().filter(|known| known.is_subscribed());
        2 * subscribed().filter(began_with_it).count() >= subscribed().count()
    }

    fn reaches_most(&self) -> bool {
        let subscribed = || self.agents.values().filter(|known| known.is_subscribed());
        2 * subscribed().filter(|known| known.is_reachable).count() >= subscribed().count()
    }

    fn draw_subscriptions(
        &self,
        own: net::SocketAddrV4,
        near_balancers: usize,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<net::SocketAddrV4> {
        let mut groups = collections::BTreeMap::<_, Vec<net::SocketAddrV4>>::new();
        for (address, known) in &self.agents {
            groups.entry((known.service, self.is_near(known))).or_default().push(*address);
        }
        let mut chosen = collections::BTreeSet::new();
        for ((_, is_near), mut members) in groups {
            let shared = LEAST_SUBSCRIBERS * members.len() / near_balancers.max(1);
            let limit = if is_near { shared.max(NEAR_AGENTS) } else { FAR_AGENTS };
            subset::sort_drawn(own, &mut members);
            // Unresponsive ones stay subscribed, as they may come back, and do not count.
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

    /// What is known of one agent.
    pub fn get(&self, agent: net::SocketAddrV4) -> Option<&KnownAgent> {
        self.agents.get(&agent)
    }

    /// Whether an agent reported lately enough for a new stream.
    pub fn is_fresh(&self, agent: net::SocketAddrV4, now: ids::UnixMillis) -> bool {
        self.agents.get(&agent).is_some_and(|known| self.is_reachable(known, now))
    }

    /// The agent that a new stream goes to: of a few drawn at random the emptiest, or of all where
    /// none of those has a free slot.
    pub fn choose(
        &self,
        needs: OpeningNeeds<'_>,
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
        let share = |known: &KnownAgent| cost::share_cost(known, self.is_near(known), policy);
        let best = cost::cheapest(drawn.into_iter(), share, random)?;
        let best = match cost::has_room(best.1) {
            true => best,
            false => cost::cheapest(candidates(), share, random)?,
        };
        Some(choice(best.0, best.1, now))
    }

    /// Why none of the agents that serve gets an opening; `None` where one may, or none serves.
    ///
    /// Of several reasons the evacuation, which ends sooner.
    pub fn exclusion_of_all(
        &self,
        needs: OpeningNeeds<'_>,
        now: ids::UnixMillis,
    ) -> Option<PlaceExclusion> {
        let serving = self.agents.values().filter(|known| self.serves(known, needs.service, now));
        let mut exclusions = serving.map(|known| self.exclusion(known, needs));
        let first = exclusions.next()??;
        exclusions.try_fold(first, |last, exclusion| exclusion.map(|one| last.max(one)))
    }

    fn serves(&self, known: &KnownAgent, service: ids::ServiceId, now: ids::UnixMillis) -> bool {
        let report = known.report.as_ref();
        let serves =
            report.is_some_and(|r| r.service == service && r.phase == host::HostPhase::Serving);
        serves && self.is_reachable(known, now)
    }

    fn exclusion(&self, known: &KnownAgent, needs: OpeningNeeds<'_>) -> Option<PlaceExclusion> {
        let centre = known.report.as_ref().map(|report| report.data_centre)?;
        let region = self.regions.get(&centre);
        let is_allowed = || region.is_some_and(|region| needs.regions.contains(region));
        match () {
            () if self.evacuated.contains(&centre) => Some(PlaceExclusion::Evacuated),
            () if !needs.regions.is_empty() && !is_allowed() => Some(PlaceExclusion::OtherRegion),
            () => None,
        }
    }

    fn is_near(&self, known: &KnownAgent) -> bool {
        known.is_in(self.data_centre)
    }

    fn is_reachable(&self, known: &KnownAgent, now: ids::UnixMillis) -> bool {
        now.since(known.last_report) <= self.policy.reports.timeout_ms(self.is_near(known))
    }
}

fn unreported(now: ids::UnixMillis) -> KnownAgent {
    KnownAgent {
        report: None,
        service: None,
        data_centre: None,
        subscribed: None,
        requested: ids::UnixMillis(0),
        last_report: now,
        is_reachable: false,
        sent_since: 0,
        machine: machine::MachineLiveness::default(),
    }
}

fn choice(address: &net::SocketAddrV4, known: &KnownAgent, now: ids::UnixMillis) -> AgentChoice {
    AgentChoice {
        address: *address,
        busy: cost::busy(known),
        has_room: cost::has_room(known),
        report_age_ms: now.since(known.last_report),
    }
}
