//! Detection of lost data centres: those that no balancer receives reports from any more.
//!
//! When a data centre loses power, callers keep sending on streams whose backend servers were there.
//! Resetting these streams saves the callers from waiting for their deadlines.

use std::collections;
use std::net;

use crate::ids;
use crate::stream;
use crate::stream::balancer;
use crate::stream::log_event;

/// Time without a report from any process of a data centre after which it is lost, in milliseconds.
///
/// Longer than a simultaneous restart of all its agents, whose backend servers keep their streams.
/// The last report before a restart may be 300 ms old. At 1,000 ms, agents that were all
/// restarted at the same time had open streams reset.
const CENTRE_TIMEOUT_MS: u64 = 1_500;

/// Fewest known processes of a data centre whose silence proves its loss: two may be restarted at the
/// same time.
const MIN_CENTRE_PROCESSES: usize = 3;

impl balancer::StreamBalancer {
    /// Updates the set of lost data centres, and logs the changes.
    ///
    /// A data centre that another balancer still receives reports from is not lost: the network may drop
    /// packets in one direction only, and streams there go on.
    pub(super) fn update_lost_centres(
        &mut self,
        now: ids::UnixMillis,
        actions: &mut Vec<stream::StreamAction>,
    ) {
        let mut lost = self.table.unreachable_centres(CENTRE_TIMEOUT_MS, now);
        lost.retain(|centre| self.process_count(*centre) >= MIN_CENTRE_PROCESSES);
        for peer in self.peers.values().filter(|peer| peer.is_reachable) {
            lost.retain(|centre| {
                Some(*centre) != peer.data_centre && !peer.reachable_centres.contains(centre)
            });
        }
        for centre in lost.symmetric_difference(&self.lost_centres) {
            let is_lost = lost.contains(centre);
            actions.push(stream::StreamAction::Log(log_event::StreamLogEvent::CentreChanged {
                data_centre: *centre,
                is_lost,
            }));
        }
        self.lost_centres = lost;
    }
}

impl balancer::StreamBalancer {
    /// Returns the data centres with at least one reachable process other than this one.
    pub(super) fn reachable_centres(&self) -> Vec<u32> {
        let peers = self.peers.values().filter(|peer| peer.is_reachable);
        let centres =
            peers.filter_map(|peer| peer.data_centre).chain(self.table.reachable_centres());
        centres.collect::<collections::BTreeSet<u32>>().into_iter().collect()
    }

    fn process_count(&self, centre: u32) -> usize {
        let peers = self.peers.values().filter(|peer| peer.data_centre == Some(centre));
        self.table.agents_in(centre) + peers.count()
    }

    /// Returns whether an agent is in a lost data centre.
    pub(super) fn is_in_lost_centre(&self, agent: net::SocketAddrV4) -> bool {
        let centre = self.table.get(agent).and_then(|known| known.data_centre);
        centre.is_some_and(|centre| self.lost_centres.contains(&centre))
    }
}
