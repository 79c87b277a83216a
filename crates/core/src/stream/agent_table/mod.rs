//! The agents that one balancer knows, with their last reports.
//!
//! | module | decides |
//! |---|---|
//! | [`exclusion`] | which agents a search leaves out, and on what evidence |
//! | [`liveness`] | which agents may still hold streams |
//! | [`placement`] | which agent a new stream goes to |
//! | [`subscriptions`] | which agents report to this balancer |

pub mod exclusion;
pub mod liveness;
pub mod placement;
pub mod subscriptions;

use std::collections;
use std::net;

use crate::ids;
use crate::load;
use crate::stream;
use crate::stream::evacuation;
use crate::stream::host;
use crate::stream::machine;
use crate::stream::message;
use crate::stream::policy;

/// How long a subscribed agent may be silent before another one is drawn in its place, in
/// milliseconds.
const REPLACEMENT_TIMEOUT_MS: u64 = 2_000;

/// One agent, as this balancer knows it.
#[derive(Clone, Debug)]
pub struct KnownAgent {
    /// Its last report; `None` if it has not reported yet, or is not subscribed to and its report
    /// has timed out.
    pub report: Option<message::AgentReport>,
    /// The service of its backend server, once announced, reported or mentioned.
    pub service: Option<ids::ServiceId>,
    /// The generation of the configuration under which this run has denied to hold streams of former services.
    denied_former: Option<ids::ConfigGeneration>,
    /// Whether it has been announced or mentioned with another service since its last report: its
    /// address may be reused.
    is_service_disputed: bool,
    /// Its data centre, once announced, reported or mentioned.
    pub data_centre: Option<u32>,
    /// When this balancer subscribed to its reports, if it does.
    subscribed: Option<ids::UnixMillis>,
    /// When it was last asked for a single report.
    last_request: ids::UnixMillis,
    /// When its last report or load arrived; before that, when it became known.
    pub last_report: ids::UnixMillis,
    /// Whether its last report was within the timeout at the last sweep.
    pub is_reachable: bool,
    /// Openings sent there since its last report.
    pub(super) openings_since_report: u32,
    machine: machine::MachineLiveness,
    /// When it was last presumed lost, if it has not reported since.
    presumed_lost: Option<ids::UnixMillis>,
}

impl KnownAgent {
    fn is_in(&self, data_centre: u32) -> bool {
        self.data_centre == Some(data_centre)
    }

    /// When it last sent a message itself, or another balancer mentioned it.
    fn last_seen(&self) -> ids::UnixMillis {
        self.last_report.max(self.machine.last_mention())
    }

    /// Whether this balancer subscribes to its reports.
    pub fn is_subscribed(&self) -> bool {
        self.subscribed.is_some()
    }

    /// Whether it is subscribed to and has sent no report for [`REPLACEMENT_TIMEOUT_MS`].
    fn is_unresponsive(&self, now: ids::UnixMillis) -> bool {
        self.subscribed
            .is_some_and(|since| now.since(since.max(self.last_report)) > REPLACEMENT_TIMEOUT_MS)
    }
}

/// The agents that one balancer knows, by their addresses.
#[derive(Debug, Default)]
pub struct AgentTable {
    agents: collections::BTreeMap<net::SocketAddrV4, KnownAgent>,
    data_centre: u32,
    /// The region of each data centre.
    regions: collections::BTreeMap<u32, u32>,
    /// The evacuated data centres.
    evacuated: collections::BTreeSet<u32>,
    policy: policy::StreamPolicy,
    started: ids::UnixMillis,
    /// This balancer's address.
    own_address: Option<net::SocketAddrV4>,
    /// When subscriptions were last drawn; `None` if the agents have changed since.
    last_draw: Option<ids::UnixMillis>,
    /// When reports from a majority of agents last resumed.
    contact_since: ids::UnixMillis,
}

impl AgentTable {
    /// An empty table for a balancer.
    pub fn new(config: &stream::StreamConfig, now: ids::UnixMillis) -> AgentTable {
        AgentTable {
            data_centre: config.data_centre,
            regions: config.regions.clone(),
            policy: config.policy,
            started: now,
            own_address: Some(config.address),
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
        let last_draw = &mut self.last_draw;
        let known = self.agents.entry(from).or_insert_with(|| {
            *last_draw = None;
            unreported(now)
        });
        let is_outdated = known.report.as_ref().is_some_and(|held| {
            held.agent == report.agent && held.load.sequence > report.load.sequence
        });
        if is_outdated {
            return false;
        }
        let is_same_run = known.report.as_ref().is_some_and(|held| held.agent == report.agent);
        let is_first = known.report.is_none();
        let is_same =
            is_same_run && known.report.as_ref().is_some_and(|held| held.phase == report.phase);
        let has_changed = known.is_subscribed() && (!is_same || !known.is_reachable);
        if known.service != Some(report.service) || known.data_centre != Some(report.data_centre) {
            self.last_draw = None;
        }
        *known = KnownAgent {
            report: Some(report.clone()),
            service: Some(report.service),
            data_centre: Some(report.data_centre),
            denied_former: known.denied_former.filter(|_| is_same_run || is_first),
            is_reachable: true,
            subscribed: known.subscribed,
            last_request: known.last_request,
            ..unreported(now)
        };
        has_changed
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
            known.openings_since_report = 0;
            known.last_report = now;
        }
    }

    /// Records the phase with which an agent refused an opening, until its next report.
    pub fn record_refusal(&mut self, agent: net::SocketAddrV4, phase: host::HostPhase) {
        let known = self.agents.get_mut(&agent).and_then(|known| known.report.as_mut());
        if let Some(report) = known {
            report.phase = phase;
        }
    }

    /// Records an opening that was sent.
    pub fn record_opening(&mut self, agent: net::SocketAddrV4) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.openings_since_report += 1;
        }
    }

    /// Sets the evacuated data centres.
    pub fn set_evacuations(&mut self, evacuations: &evacuation::KnownEvacuations) {
        self.evacuated = evacuations.hashes().collect();
    }

    /// Inserts an agent that is announced on the platform or mentioned by another balancer.
    pub fn insert(
        &mut self,
        agent: net::SocketAddrV4,
        service: ids::ServiceId,
        data_centre: Option<u32>,
        now: ids::UnixMillis,
    ) {
        let known = self.agents.entry(agent).or_insert_with(|| unreported(now));
        known.is_service_disputed |= known.service.is_some_and(|known| known != service);
        if known.service.is_none() || known.data_centre.is_none() {
            known.service = known.service.or(Some(service));
            known.data_centre = known.data_centre.or(data_centre);
            self.last_draw = None;
        }
    }

    /// Records that an agent with this configuration denies to hold streams of former services.
    pub fn on_former_denied(
        &mut self,
        agent: net::SocketAddrV4,
        generation: ids::ConfigGeneration,
    ) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.denied_former = known.denied_former.max(Some(generation));
        }
    }

    /// Records that another balancer mentioned an agent as reachable.
    pub fn on_mention(&mut self, agent: net::SocketAddrV4, now: ids::UnixMillis) {
        if let Some(known) = self.agents.get_mut(&agent) {
            known.machine.on_mention(now);
        }
    }
}

impl AgentTable {
    /// The agent at an address.
    pub fn get(&self, agent: net::SocketAddrV4) -> Option<&KnownAgent> {
        self.agents.get(&agent)
    }

    /// The addresses of all known agents.
    pub fn addresses(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        self.agents.keys().copied()
    }

    /// The addresses of the reachable agents.
    pub fn reachable(&self) -> impl Iterator<Item = net::SocketAddrV4> {
        self.agents.iter().filter(|(_, known)| known.is_reachable).map(|(address, _)| *address)
    }

    /// The reachable agents, as mentioned to other balancers.
    pub fn reachable_members(&self) -> impl Iterator<Item = stream::AnnouncedMember> {
        let reachable = self.agents.iter().filter(|(_, known)| known.is_reachable);
        reachable.map(|(address, known)| stream::AnnouncedMember {
            address: *address,
            service: Some(known.service.unwrap_or_default()),
            data_centre: known.data_centre,
        })
    }

    /// The data centre of each reachable agent, once per agent.
    pub fn reachable_centres(&self) -> impl Iterator<Item = u32> {
        let reachable = self.agents.values().filter(|known| known.is_reachable);
        reachable.filter_map(|known| known.report.as_ref().map(|report| report.data_centre))
    }

    /// The number of agents in a data centre that have reported.
    pub fn agents_in(&self, data_centre: u32) -> usize {
        let reported = self.agents.values().filter(|known| known.report.is_some());
        reported.filter(|known| known.is_in(data_centre)).count()
    }

    /// Whether the last report of an agent is recent enough for a new stream.
    pub fn is_fresh(&self, agent: net::SocketAddrV4, now: ids::UnixMillis) -> bool {
        self.agents.get(&agent).is_some_and(|known| self.is_reachable(known, now))
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
        denied_former: None,
        is_service_disputed: false,
        data_centre: None,
        subscribed: None,
        last_request: ids::UnixMillis(0),
        last_report: now,
        is_reachable: false,
        openings_since_report: 0,
        machine: machine::MachineLiveness::default(),
        presumed_lost: None,
    }
}
