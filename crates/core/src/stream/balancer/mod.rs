//! The stream engine of a balancer: places new streams at agents and routes the segments of open ones.
//!
//! | module | holds |
//! |---|---|
//! | `centres` | detection of lost data centres |
//! | `evacuations` | the list of evacuated data centres, and the wait for it after a start |
//! | [`member_list`] | whether all members are known |
//! | `neighbours` | reports exchanged with agents and other balancers, and gossip about members |
//! | `openings` | placement of new streams |
//! | `routing` | segments of open streams, and the search for a stream's holder |
//! | [`service_history`] | which services may hold the streams of an entry |

mod centres;
mod evacuations;
pub mod member_list;
mod neighbours;
mod openings;
mod routing;
pub mod service_history;

use std::collections;
use std::net;
use std::sync;

use rand::SeedableRng as _;
use rand::rngs;

use crate::config;
use crate::ids;
use crate::store_epoch;
use crate::stream;
use crate::stream::agent_table;
use crate::stream::buffered_openings;
use crate::stream::evacuation;
use crate::stream::log_event;
use crate::stream::lookup;
use crate::stream::message;
use crate::stream::owners;
use crate::stream::pause;
use crate::stream::segment;

/// Interval between checks for due reports, and the shortest between two reports to the same process,
/// in milliseconds.
const MIN_REPORT_INTERVAL_MS: u64 = 200;

/// Report interval for each balancer that reports here, in milliseconds. Keeps the rate at which a
/// process receives reports constant while all balancers exchange them.
const REPORT_INTERVAL_PER_BALANCER_MS: u64 = 50;

/// Longest interval between two reports to an agent, in milliseconds. These only renew the
/// subscription to its reports.
const MAX_AGENT_REPORT_INTERVAL_MS: u64 = 1_000;

/// Longest interval between two reports to another balancer, in milliseconds. Bounds the time until a
/// lost watcher of the platform is replaced.
const MAX_PEER_REPORT_INTERVAL_MS: u64 = 400;

/// How long another balancer may go without a report or mention before a report is requested from it, in
/// milliseconds. Several times what gossip takes to reach every balancer.
const MENTION_TIMEOUT_MS: u64 = 10_000;

/// What is known of another balancer.
#[derive(Clone, Debug)]
struct PeerBalancer {
    /// Its data centre, once known.
    data_centre: Option<u32>,
    /// The data centres that it receives reports from.
    reachable_centres: Vec<u32>,
    last_report: ids::UnixMillis,
    /// When another balancer last received a report from it.
    last_mention: ids::UnixMillis,
    /// When it was last sent a report request.
    last_request: ids::UnixMillis,
    is_reachable: bool,
    is_leaving: bool,
    reaches_platform: bool,
}

impl PeerBalancer {
    /// Returns when it last reported or was mentioned.
    fn last_seen(&self) -> ids::UnixMillis {
        self.last_report.max(self.last_mention)
    }

    fn is_recently_seen(&self, now: ids::UnixMillis) -> bool {
        now.since(self.last_seen()) < MENTION_TIMEOUT_MS
    }
}

/// The stream engine of one balancer.
#[derive(Debug)]
pub struct StreamBalancer {
    config: stream::StreamConfig,
    state: sync::Arc<config::ConfigState>,
    /// The newest generation that any process has reported.
    newest_generation: ids::ConfigGeneration,
    service_history: service_history::ServiceHistory,
    /// When agents were last asked for streams of former services.
    last_former_query: ids::UnixMillis,
    table: agent_table::AgentTable,
    evacuations: evacuation::KnownEvacuations,
    /// The latest known epoch of the platform's store.
    store_epoch: store_epoch::StoreEpoch,
    owners: owners::StreamOwners,
    searches: lookup::OwnerSearches,
    buffered_openings: buffered_openings::BufferedOpenings,
    pause: pause::PauseDetector,
    peers: collections::BTreeMap<net::SocketAddrV4, PeerBalancer>,
    /// Data centres that no balancer receives reports from.
    lost_centres: collections::BTreeSet<u32>,
    random: rngs::SmallRng,
    member_list: member_list::MemberList,
    /// When due reports were last checked.
    last_report_check: ids::UnixMillis,
    last_agent_report: ids::UnixMillis,
    last_peer_report: ids::UnixMillis,
    reaches_platform: bool,
    is_leaving: bool,
    started: ids::UnixMillis,
    /// Whether it was logged that openings are placed without the list of evacuated data centres.
    has_noted_unknown_evacuations: bool,
}

impl StreamBalancer {
    /// Returns a balancer without a configuration, members or streams.
    pub fn new(config: stream::StreamConfig, now: ids::UnixMillis) -> StreamBalancer {
        StreamBalancer {
            state: sync::Arc::default(),
            newest_generation: ids::ConfigGeneration(0),
            service_history: service_history::ServiceHistory::new(
                config.stream_limit_s,
                config.is_first_start,
            ),
            last_former_query: ids::UnixMillis(0),
            table: agent_table::AgentTable::new(&config, now),
            evacuations: evacuation::KnownEvacuations::default(),
            store_epoch: store_epoch::StoreEpoch::default(),
            owners: owners::StreamOwners::default(),
            searches: lookup::OwnerSearches::default(),
            buffered_openings: buffered_openings::BufferedOpenings::default(),
            pause: pause::PauseDetector::new(&config.policy.recovery, now),
            peers: collections::BTreeMap::new(),
            lost_centres: collections::BTreeSet::new(),
            random: rngs::SmallRng::seed_from_u64(config.seed),
            member_list: member_list::MemberList::new(now),
            last_report_check: ids::UnixMillis(0),
            last_agent_report: ids::UnixMillis(0),
            last_peer_report: ids::UnixMillis(0),
            reaches_platform: false,
            is_leaving: false,
            started: now,
            has_noted_unknown_evacuations: false,
            config,
        }
    }

    /// Handles an event, and appends the actions that follow.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: stream::StreamEvent<'_>,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        if let Some(still_ms) = self.pause.on_activity(now) {
            self.table.on_contact_lost(now);
            actions
                .push(stream::StreamAction::Log(log_event::StreamLogEvent::Resumed { still_ms }));
        }
        match event {
            stream::StreamEvent::Segment(segment)
                if segment.head.is_opening() && self.pause.is_resuming(now) => {}
            stream::StreamEvent::Segment(segment) => self.on_segment(&segment, now, actions),
            stream::StreamEvent::Message { from, message, head } => {
                self.member_list.on_message(now);
                self.on_message(from, message, head, now, actions);
            }
            stream::StreamEvent::Config(state) => self.apply_config(state, now, actions),
            stream::StreamEvent::Seeds(seeds) => {
                for balancer in seeds {
                    self.insert_peer(balancer, now);
                }
                self.report_to_all(now, actions);
            }
            stream::StreamEvent::Evacuations(state) => {
                self.merge_evacuations(&state, now, actions);
            }
            stream::StreamEvent::Members { members, epoch } => {
                self.merge_member_list(&members, epoch, now, actions);
            }
            stream::StreamEvent::Announced(epoch) => self.member_list.on_announced(epoch, now),
            stream::StreamEvent::Withdrawn => self.member_list.on_withdrawn(now),
            stream::StreamEvent::Platform(reaches) => self.reaches_platform = reaches,
            stream::StreamEvent::StoreEpoch(epoch) => self.advance_store_epoch(epoch, now, actions),
            stream::StreamEvent::MachineProbed { agent, is_there } => {
                self.table.on_machine_probed(agent, is_there);
            }
            stream::StreamEvent::HostReport(_)
            | stream::StreamEvent::HostLeft(_)
            | stream::StreamEvent::HostPortClosed => {}
            stream::StreamEvent::Leave => {
                self.is_leaving = true;
                self.report_to_all(now, actions);
            }
            stream::StreamEvent::Tick => self.tick(now, actions),
        }
    }

    fn on_message(
        &mut self,
        from: net::SocketAddrV4,
        message: &message::StreamMessage,
        head: Option<segment::SegmentHeader>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match (message, head) {
            (message::StreamMessage::Return(returned), Some(head)) => {
                self.on_returned(from, returned, &head, now, actions);
            }
            (message::StreamMessage::Held { key, first_sequence, load }, _) => {
                self.table.apply_load(from, *load, now);
                self.on_held(from, *key, *first_sequence, now, actions);
            }
            (message::StreamMessage::Absent { key, is_sure }, _) => {
                self.on_absent(from, *key, *is_sure, now, actions);
            }
            (message::StreamMessage::Agent(report), _) => {
                self.on_agent_report(from, report, now, actions);
            }
            (message::StreamMessage::Balancer(report), _) => {
                self.on_balancer_report(from, report, now, actions);
            }
            (message::StreamMessage::Members(members), _) => {
                self.on_reachable_members(members, now, actions);
            }
            (message::StreamMessage::FormerServices(former), _) => {
                self.on_former_services(from, former, now, actions);
            }
            (message::StreamMessage::NoFormer(generation), _) => {
                self.fetch_newer_config(from, *generation, actions);
                self.table.on_former_denied(from, *generation);
            }
            _ => {}
        }
    }

    /// Brings a newer configuration into force, and reports it to all.
    fn apply_config(
        &mut self,
        state: sync::Arc<config::ConfigState>,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let generation = state.generation();
        if generation <= self.state.generation() {
            return;
        }
        let log_event = log_event::StreamLogEvent::ConfigInForce { generation };
        actions.push(stream::StreamAction::Log(log_event));
        let has_moved_entries = self.service_history.on_config(&self.state, &state, now);
        self.state = state;
        if has_moved_entries {
            self.send_former_services(now, actions);
        }
        self.report_to_all(now, actions);
    }

    /// Fetches the configuration of another process if it is newer.
    fn fetch_newer_config(
        &mut self,
        from: net::SocketAddrV4,
        generation: ids::ConfigGeneration,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.newest_generation = self.newest_generation.max(generation);
        if generation > self.state.generation() {
            actions.push(stream::StreamAction::FetchConfig(from));
        }
    }

    fn tick(&mut self, now: ids::UnixMillis, actions: &mut Vec<stream::StreamAction>) {
        let width = self.config.policy.recovery.search_width;
        for (key, step) in self.searches.expire(width, now) {
            self.apply_search_step(key, step, now, actions);
        }
        for agent in self.table.sweep(now) {
            let known = self.table.get(agent).and_then(|known| known.report.as_ref());
            if let Some(report) = known {
                actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::AgentChanged {
                    agent,
                    run: report.agent.to_string(),
                    phase: report.phase,
                    is_reachable: false,
                }));
            }
        }
        self.renew_subscriptions(now, actions);
        self.update_lost_centres(now, actions);
        let due_probes = self.table.take_due_probes(now).into_iter();
        actions.extend(due_probes.map(stream::StreamAction::ProbeMachine));
        self.note_unknown_evacuations(now, actions);
        self.expire_evacuations(now, actions);
        self.place_buffered_openings(now, actions);
        self.owners.rotate(now);
        if now.since(self.last_report_check) >= MIN_REPORT_INTERVAL_MS {
            self.last_report_check = now;
            self.service_history.expire(now);
            self.expire_peers(now, actions);
            self.send_due_reports(now, actions);
            self.gossip_members(now, actions);
        }
    }

    fn reset(
        &mut self,
        key: segment::StreamKey,
        sequence: u32,
        reason: log_event::ResetReason,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        self.owners.remove(key);
        let generation = self.state.generation().0;
        actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::Reset {
            stream: key,
            reason,
            generation,
        }));
        actions.push(stream::StreamAction::Reset(key, sequence));
    }
}

impl StreamBalancer {
    /// Returns the configuration in force.
    pub fn config_state(&self) -> &config::ConfigState {
        &self.state
    }

    /// Returns whether it can place streams: it has a configuration and reachable agents, and is not
    /// shutting down.
    pub fn is_ready(&self, now: ids::UnixMillis) -> bool {
        let has_config = self.state.generation() > ids::ConfigGeneration(0);
        let is_informed = has_config && !self.awaits_evacuations(now);
        is_informed && !self.is_leaving && self.table.reachable().next().is_some()
    }

    /// Returns whether this balancer ranks among the first `limit` of those that reach the platform.
    ///
    /// Only these watch the platform, and pass changes on to the others. While membership views differ,
    /// there may be a few more or fewer of them.
    pub fn is_watcher(&self, limit: usize) -> bool {
        let rank = |address: &net::SocketAddrV4| {
            ids::mix_words(u64::from(address.ip().to_bits()), u64::from(address.port()))
        };
        let own = rank(&self.config.address);
        let reaching =
            self.peers.iter().filter(|(_, peer)| peer.is_reachable && peer.reaches_platform);
        reaching.filter(|(address, _)| rank(address) > own).count() < limit
    }

    /// Returns whether any other balancer is reachable.
    pub fn reaches_balancer(&self) -> bool {
        self.peers.values().any(|peer| peer.is_reachable)
    }

    /// Returns whether the list of members must be read from the platform now.
    pub fn needs_member_list(&self, now: ids::UnixMillis) -> bool {
        self.member_list.needs_read(now)
    }

    /// Returns why members may be unknown to this balancer, which then resets no stream that the known
    /// agents deny; `None` if all are known.
    pub fn member_list_gap(&self, now: ids::UnixMillis) -> Option<member_list::MemberListGap> {
        self.member_list.gap(now)
    }

    /// Returns the number of known stream owners and of searches in progress.
    pub fn owner_and_search_counts(&self) -> (usize, usize) {
        (self.owners.len(), self.searches.len())
    }

    /// Returns the table of known agents.
    pub fn agent_table(&self) -> &agent_table::AgentTable {
        &self.table
    }

    /// Whether no process has reported a newer configuration than that in force here.
    fn has_newest_config(&self) -> bool {
        self.newest_generation <= self.state.generation()
    }

    fn service_at(&self, key: segment::StreamKey) -> Option<ids::ServiceId> {
        let entry = self.state.entry_at(net::SocketAddr::V4(key.entry));
        entry.filter(|e| e.kind == config::EntryKind::Streams).map(|entry| entry.service)
    }
}
