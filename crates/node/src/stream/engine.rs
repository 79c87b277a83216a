//! The engine of a balancer or an agent.

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::agent;
use rosemaryusher_core::stream::balancer;
use rosemaryusher_core::stream::evacuation;

/// Number of balancers that watch the platform and pass changes on to the others.
///
/// Each watch counts as a read, so the number must not grow with the fleet. With three, one sees a
/// change even while another is down and the third has just been replaced.
const WATCHER_COUNT: usize = 3;

/// The engine of a balancer or an agent.
#[derive(Debug)]
pub enum StreamEngine {
    /// The engine of a balancer.
    Balancer(Box<balancer::StreamBalancer>),
    /// The engine of an agent.
    Agent(Box<agent::StreamAgent>),
}

impl StreamEngine {
    /// Handles an event and appends the resulting actions.
    pub fn handle(
        &mut self,
        now: ids::UnixMillis,
        event: stream::StreamEvent<'_>,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        match self {
            StreamEngine::Balancer(engine) => engine.handle(now, event, actions),
            StreamEngine::Agent(engine) => engine.handle(now, event, actions),
        }
    }
}

impl StreamEngine {
    /// The configuration in force.
    pub fn state(&self) -> &config::ConfigState {
        match self {
            StreamEngine::Balancer(engine) => engine.config_state(),
            StreamEngine::Agent(engine) => engine.config_state(),
        }
    }

    /// Whether the process is ready to serve.
    pub fn is_ready(&self, now: ids::UnixMillis) -> bool {
        match self {
            StreamEngine::Balancer(engine) => engine.is_ready(now),
            StreamEngine::Agent(engine) => engine.reaches_balancer(),
        }
    }

    /// The evacuated data centres that this process knows.
    pub fn evacuations(&self) -> &evacuation::KnownEvacuations {
        match self {
            StreamEngine::Balancer(engine) => engine.evacuations(),
            StreamEngine::Agent(engine) => engine.evacuations(),
        }
    }

    /// The latest epoch of the platform's store that this process knows.
    pub fn store_epoch(&self) -> store_epoch::StoreEpoch {
        match self {
            StreamEngine::Balancer(engine) => engine.store_epoch(),
            StreamEngine::Agent(engine) => engine.store_epoch(),
        }
    }

    /// Whether this process is one of the few balancers that watch the platform.
    pub fn is_watcher(&self) -> bool {
        match self {
            StreamEngine::Balancer(engine) => engine.is_watcher(WATCHER_COUNT),
            StreamEngine::Agent(_) => false,
        }
    }

    /// Whether balancers report to this process, and so pass changes on to it.
    pub fn reaches_balancer(&self) -> bool {
        match self {
            StreamEngine::Balancer(engine) => engine.reaches_balancer(),
            StreamEngine::Agent(engine) => engine.reaches_balancer(),
        }
    }

    /// Whether the list of members must be read from the platform now.
    pub fn needs_member_list(&self, now: ids::UnixMillis) -> bool {
        match self {
            StreamEngine::Balancer(engine) => engine.needs_member_list(now),
            StreamEngine::Agent(_) => false,
        }
    }

    /// Whether a shutdown has to wait for work in progress.
    pub fn is_busy(&self) -> bool {
        match self {
            StreamEngine::Balancer(_) => false,
            StreamEngine::Agent(engine) => engine.is_busy(),
        }
    }

    /// Whether the backend server on this machine is up, and so may hold streams.
    pub fn holds_streams(&self) -> bool {
        match self {
            StreamEngine::Balancer(_) => false,
            StreamEngine::Agent(engine) => engine.is_host_up(),
        }
    }

    /// The engine's state as JSON, for operators.
    pub fn dump(&self, now: ids::UnixMillis) -> serde_json::Value {
        match self {
            StreamEngine::Balancer(engine) => dump_balancer(engine, now),
            StreamEngine::Agent(engine) => serde_json::json!({
                "host": engine.phase(now),
                "run": engine.host_run(),
                "load": engine.load(now),
                "streams": engine.streams(),
                "reaches_balancer": engine.reaches_balancer(),
                "evacuations": engine.evacuations(),
                "store_epoch": engine.store_epoch(),
            }),
        }
    }
}

fn dump_balancer(engine: &balancer::StreamBalancer, now: ids::UnixMillis) -> serde_json::Value {
    let (owners, searches) = engine.owner_and_search_counts();
    let agents = engine.agent_table().addresses().map(|address| {
        let known = engine.agent_table().get(address);
        let report = known.and_then(|known| known.report.as_ref());
        serde_json::json!({
            "address": address,
            "is_subscribed": known.is_some_and(|known| known.is_subscribed()),
            "report_age_ms": known.map(|known| now.since(known.last_report)),
            "report": report,
        })
    });
    serde_json::json!({
        "owners": owners,
        "searches": searches,
        "members_gap": engine.member_list_gap(now).map(|gap| gap.label()),
        "evacuations": engine.evacuations(),
        "store_epoch": engine.store_epoch(),
        "agents": agents.collect::<Vec<_>>(),
    })
}
