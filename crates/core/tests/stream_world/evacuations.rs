//! Evacuated data centres: the operators' lists, and the oracle of openings that reach them.

use std::collections;
use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::evacuation;
use rosemaryusher_core::stream::segment;

use super::PORT;
use super::StreamWorld;
use super::agent_address;

/// How long an evacuation may take to be in force, in milliseconds: as a configuration.
const EVACUATED_MS: u64 = 3_000;

/// The data centre of all processes that are not in [`FAR`].
pub(crate) const NEAR: &str = "near";

/// The data centre of the processes in the world's list of far ones.
pub(crate) const FAR: &str = "far";

/// Each data centre is in a region of its own name.
pub(super) fn regions() -> collections::BTreeMap<u32, u32> {
    let pair = |name: &str| (ids::hash_centre(name), ids::hash_region(name));
    [NEAR, FAR].map(pair).into()
}

impl StreamWorld {
    /// Two balancers and four agents of one service, of which the last two are in another data centre,
    /// where operators may evacuate data centres; near and far ones are as good.
    pub(crate) fn with_centres() -> StreamWorld {
        let mut world = StreamWorld::two_centres();
        world.set_up(4, 16);
        world
    }

    /// An empty world of two data centres; agents from the third on are in the far one.
    pub(crate) fn two_centres() -> StreamWorld {
        let mut world = StreamWorld::new();
        world.has_evacuations = true;
        world.policy.placement.far_percent = 0;
        world.far = [3, 4].map(agent_address).into();
        world.evacuate(&[]);
        world
    }

    /// Operators evacuate these data centres and take back the others.
    pub(crate) fn evacuate(&mut self, data_centres: &[&str]) {
        let names = data_centres.iter().map(|name| (*name).to_owned()).collect();
        let revision = 1 + self.evacuated.len() as u64;
        self.evacuated.push((self.now, evacuation::EvacuationState::new(revision, names)));
    }

    /// The list as it was after so many changes; the first is number 0.
    pub(crate) fn evacuations(&self, nth: usize) -> evacuation::EvacuationState {
        self.evacuated[nth].1.clone()
    }

    /// One process reads the platform's list.
    pub(super) fn deliver_evacuations(&mut self, to: net::SocketAddrV4) {
        let Some((_, state)) = self.evacuated.last().filter(|_| self.lists_evacuations) else {
            return;
        };
        let state = state.clone();
        self.handle(to, stream::StreamEvent::Evacuations(state));
    }

    pub(super) fn centre_of(&self, process: net::SocketAddrV4) -> &'static str {
        if self.far.contains(&process) { FAR } else { NEAR }
    }

    /// The oracle of openings that reach a backend server: none where its data centre has been
    /// evacuated for long, and the processes that handed it on could know.
    pub(super) fn check_evacuated(&self, agent: net::SocketAddrV4, marks: segment::SegmentMarks) {
        let balancer = net::SocketAddrV4::new(marks.origin, PORT);
        let is_bound = self.is_in_touch(balancer) && self.is_in_touch(agent);
        let centre = self.centre_of(agent);
        let since = self.evacuated.iter().rev().map_while(|(written, state)| {
            state.data_centres().contains(centre).then_some(*written)
        });
        let is_due = |since: ids::UnixMillis| self.now.since(since) > EVACUATED_MS;
        let is_evacuated = since.last().is_some_and(is_due);
        assert!(!is_bound || !is_evacuated, "a stream opens in the evacuated data centre {centre}");
    }
}
