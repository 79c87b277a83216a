//! The agents of each service, and the choice of agents for flows and requests.

use std::collections;

use crate::config;
use crate::ids;
use crate::load;
use crate::manifest;
use crate::membership;
use crate::placement;

/// The number of agents that a lookup asks before the flow counts as new.
///
/// The owner registers a flow with its first [`ANCHOR_COUNT`] candidates, so a lookup succeeds if
/// one of them is among the first candidates in the view of the asking agent.
pub const LOOKUP_FANOUT: usize = 3;

/// The number of agents that the owner of a flow registers it with.
pub const ANCHOR_COUNT: usize = 2;

/// The age at which an agent counts as known to every process, in milliseconds.
///
/// A ticket or flow assigned earlier could reach balancers that do not know the agent yet.
pub const SETTLE_MS: u64 = 3_000;

/// The reachable agents of each service.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    services: collections::HashMap<ids::ServiceId, ServiceRoutes>,
}

#[derive(Clone, Debug, Default)]
struct ServiceRoutes {
    table: placement::BucketTable,
    max_hosts: u32,
    version: u64,
    /// Sorted: those in this data centre first.
    workers: Vec<RouteWorker>,
    near_count: usize,
}

/// An agent that accepts new work.
#[derive(Clone, Copy, Debug)]
pub struct RouteWorker {
    /// The agent.
    pub host: ids::InstanceId,
    /// When this run started.
    pub started: ids::UnixMillis,
    /// Whether it is in the data centre of this process.
    pub is_near: bool,
}

impl RouteTable {
    /// Updates the table from the membership view and the configuration.
    pub fn update(
        &mut self,
        view: &membership::MemberView,
        state: &config::ConfigState,
        data_centre: &str,
    ) {
        let mut members: collections::HashMap<_, collections::BTreeSet<_>> =
            state.services().map(|spec| (spec.id(), collections::BTreeSet::new())).collect();
        let mut workers: collections::HashMap<_, Vec<_>> = collections::HashMap::new();
        for record in view.reachable() {
            let membership::MemberRole::Agent(service) = record.role else { continue };
            let Some(hosts) = members.get_mut(&service) else { continue };
            hosts.insert(record.instance);
            if record.accepts_new_work() {
                let is_near = record.data_centre == data_centre;
                let (host, started) = (record.instance, record.started);
                workers.entry(service).or_default().push(RouteWorker { host, started, is_near });
            }
        }
        self.services.retain(|service, _| members.contains_key(service));
        for (service, hosts) in members {
            let max_hosts = state.service(service).map_or(1, |spec| spec.rules.max_hosts);
            let routes = self.services.entry(service).or_default();
            routes.set_hosts(max_hosts, &hosts);
            routes.set_workers(workers.remove(&service).unwrap_or_default());
        }
    }
}

impl ServiceRoutes {
    fn set_workers(&mut self, mut workers: Vec<RouteWorker>) {
        workers.sort_by_key(|worker| !worker.is_near);
        self.near_count = workers.iter().filter(|worker| worker.is_near).count();
        self.workers = workers;
    }

    fn set_hosts(&mut self, max_hosts: u32, hosts: &collections::BTreeSet<ids::InstanceId>) {
        if self.max_hosts != max_hosts {
            self.max_hosts = max_hosts;
            self.version += 1;
            self.table = placement::BucketTable::new(max_hosts);
        }
        if !self.table.members().eq(hosts.iter().copied()) {
            self.version += 1;
        }
        self.table.set_members(hosts);
    }
}

impl RouteTable {
    /// The reachable candidates of a flow, best first, including agents not yet settled.
    pub fn candidates(&self, flow: &placement::FlowKey) -> Vec<ids::InstanceId> {
        let routes = self.services.get(&flow.service);
        routes.map(|r| r.table.candidates(flow.stable_hash()).collect()).unwrap_or_default()
    }

    /// The first settled candidate that `accept` accepts, else the first accepted one, else the
    /// first one.
    pub fn first_candidate(
        &self,
        flow: &placement::FlowKey,
        view: &membership::MemberView,
        now: ids::UnixMillis,
        accept: impl Fn(ids::InstanceId) -> bool,
    ) -> Option<ids::InstanceId> {
        let routes = self.services.get(&flow.service)?;
        let hash = flow.stable_hash();
        let mut accepted = routes.table.candidates(hash).filter(|host| accept(*host));
        accepted
            .find(|host| is_settled(view, *host, now))
            .or_else(|| routes.table.candidates(hash).find(|host| accept(*host)))
            .or_else(|| routes.table.candidates(hash).next())
    }

    /// The settled candidates of a flow, or all candidates if none is settled.
    pub fn settled(
        &self,
        flow: &placement::FlowKey,
        view: &membership::MemberView,
        now: ids::UnixMillis,
    ) -> Vec<ids::InstanceId> {
        let candidates = self.candidates(flow);
        let settled: Vec<_> =
            candidates.iter().copied().filter(|host| is_settled(view, *host, now)).collect();
        if settled.is_empty() { candidates } else { settled }
    }

    /// The agents that the owner of a flow registers it with.
    ///
    /// These are the first settled candidates, which lookups ask now, and the first candidates
    /// overall, which lookups ask once these have settled.
    pub fn anchors(
        &self,
        flow: &placement::FlowKey,
        view: &membership::MemberView,
        now: ids::UnixMillis,
    ) -> collections::BTreeSet<ids::InstanceId> {
        let all = self.candidates(flow).into_iter().take(ANCHOR_COUNT);
        all.chain(self.settled(flow, view, now).into_iter().take(ANCHOR_COUNT)).collect()
    }

    /// A version that changes whenever the candidates of a service's flows may have changed.
    pub fn version(&self, service: ids::ServiceId) -> u64 {
        self.services.get(&service).map_or(0, |routes| routes.version)
    }

    /// The agents of a service that accept new work.
    pub fn workers(&self, service: ids::ServiceId) -> &[RouteWorker] {
        self.services.get(&service).map_or(&[], |routes| &routes.workers)
    }

    /// Chooses the least loaded of a few randomly sampled agents for a request.
    ///
    /// Sampling keeps balancers with the same view from all choosing the same agent.
    pub fn choose_worker(
        &self,
        spec: &manifest::ServiceSpec,
        load_tracker: &load::LoadTracker,
        excluded: &[ids::InstanceId],
        now: ids::UnixMillis,
        mut draw: impl FnMut(usize) -> usize,
    ) -> Option<ids::InstanceId> {
        let routes = self.services.get(&spec.id())?;
        let (near, far) = routes.workers.split_at(routes.near_count);
        let allowed = |worker: &RouteWorker| !excluded.contains(&worker.host);
        let settled = |worker: &RouteWorker| now.since(worker.started) >= SETTLE_MS;
        let mut sampled = Vec::with_capacity(WORKER_SAMPLES);
        for (pool, most) in [(near, NEAR_SAMPLES), (far, WORKER_SAMPLES)] {
            sample_workers(pool, most, &mut sampled, &mut draw, |w| allowed(w) && settled(w));
        }
        if sampled.is_empty() {
            // Only unsettled or excluded agents are left, or the samples missed the others.
            let rest = routes.workers.iter().filter(|worker| allowed(worker));
            sampled.extend(rest.take(WORKER_SAMPLES));
        }
        let sampled: Vec<_> = sampled
            .into_iter()
            .map(|worker| load::WorkCandidate {
                host: worker.host,
                started: worker.started,
                is_near: worker.is_near,
            })
            .collect();
        load::choose(&sampled, load_tracker, load::LoadKind::Requests, spec, now)
    }
}

/// Samples up to `most` distinct workers from a pool, with a bounded number of draws.
fn sample_workers<'a>(
    pool: &'a [RouteWorker],
    most: usize,
    sampled: &mut Vec<&'a RouteWorker>,
    draw: &mut impl FnMut(usize) -> usize,
    accept: impl Fn(&RouteWorker) -> bool,
) {
    let mut left = most.min(WORKER_SAMPLES - sampled.len());
    for _ in 0..MAX_DRAWS {
        if left == 0 || pool.is_empty() {
            return;
        }
        let worker = &pool[draw(pool.len())];
        let is_new = !sampled.iter().any(|held| held.host == worker.host);
        if is_new && accept(worker) {
            sampled.push(worker);
            left -= 1;
        }
    }
}

/// The maximum number of draws from one pool.
const MAX_DRAWS: usize = 12;

const NEAR_SAMPLES: usize = 2;
const WORKER_SAMPLES: usize = 3;

/// Whether an agent has been running long enough to be known to every process.
pub fn is_settled(
    view: &membership::MemberView,
    host: ids::InstanceId,
    now: ids::UnixMillis,
) -> bool {
    view.get(host).is_some_and(|record| now.since(record.started) >= SETTLE_MS)
}
