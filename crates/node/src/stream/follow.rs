//! What is followed on the platform: the operators' configuration and the data centres that they have
//! evacuated.
//!
//! A few processes watch, and pass changes on to the others.

use std::rc;
use std::time;

use rosemaryusher_core::ids;

use crate::platform;
use crate::stream::announce;
use crate::stream::hub;
use crate::stream::packets;
use crate::stream::pauses;
use crate::stream::status;

/// How long one watch of the platform waits, in milliseconds.
///
/// A connection may fall silent without an end. A change must be in force within 3 s, so a watch
/// without an answer is made anew well within that.
const WATCH_MS: u64 = 2_000;

/// How long an agent that has just started waits for a balancer before it asks the platform for the
/// configuration, in milliseconds: processes that start together are up within 300, and balancers
/// report every 200.
const PEER_CONFIG_MS: u64 = 500;

/// How long a balancer of a fleet's first start waits before it may watch, in milliseconds: the list of
/// members is read after a second, and the balancers then exchange some reports. Before these, each
/// would take itself for one of the few that watch.
const FIRST_WATCH_MS: u64 = 2_500;

/// Whether this process asks the platform now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FollowTurn {
    /// For what is there.
    Ask,
    /// For the next change.
    Watch,
    /// Others do.
    Leave,
}

/// One matter that is followed, as one process sees it.
///
/// A balancer that knows nothing of it asks once itself and then waits like the others; an agent, and
/// any process of a fleet's first start, asks only if no balancer reports to it.
struct FollowPace {
    has_asked: bool,
    pause_ms: u64,
}

impl FollowPace {
    fn new(hub: &hub::StreamHub) -> FollowPace {
        let has_asked = hub.service.is_some() || hub.streams().first_start;
        FollowPace { has_asked, pause_ms: pauses::FIRST_MS }
    }

    /// Takes in how a call went; pauses after one that failed.
    async fn note(&mut self, hub: &hub::StreamHub, result: Result<(), platform::StoreError>) {
        let is_answered = result.is_ok();
        hub.note_platform(result).await;
        if is_answered {
            self.has_asked = true;
            self.pause_ms = pauses::FIRST_MS;
        } else {
            pauses::pause(&mut self.pause_ms).await;
        }
    }
}

impl FollowPace {
    fn turn(&self, hub: &hub::StreamHub, knows_it: bool) -> FollowTurn {
        let is_watcher = status::holds(&hub.status.is_watcher);
        let is_isolated = !status::holds(&hub.status.reaches_balancer);
        match () {
            () if !knows_it && !self.has_asked => FollowTurn::Ask,
            () if is_watcher || is_isolated => FollowTurn::Watch,
            () => FollowTurn::Leave,
        }
    }
}

impl FollowTurn {
    /// How long the platform may take to have something new; `None` if it is not asked.
    fn wait(self) -> Option<time::Duration> {
        match self {
            FollowTurn::Ask => Some(time::Duration::ZERO),
            FollowTurn::Watch => Some(time::Duration::from_millis(WATCH_MS)),
            FollowTurn::Leave => None,
        }
    }
}

async fn leave_it_to_others() {
    pauses::sleep_ms(pauses::jittered(pauses::FIRST_MS)).await;
}

/// Follows the operators' configuration while this process is a watcher or no balancer reports to it.
pub(crate) async fn follow_config(hub: rc::Rc<hub::StreamHub>) {
    match hub.service {
        Some(_) if hub.streams().first_start => {
            announce::await_balancer(&hub).await;
        }
        None if hub.streams().first_start => pauses::sleep_ms(FIRST_WATCH_MS).await,
        Some(_) => pauses::sleep_ms(PEER_CONFIG_MS).await,
        None => {}
    }
    let mut pace = FollowPace::new(&hub);
    loop {
        let knows_it = hub.generation() > ids::ConfigGeneration(0);
        let Some(wait) = pace.turn(&hub, knows_it).wait() else {
            leave_it_to_others().await;
            continue;
        };
        let configs = hub.link.borrow().configs.clone();
        match configs.next(hub.generation(), wait).await {
            Ok(delta) => {
                pace.note(&hub, Ok(())).await;
                if let Some(delta) = delta {
                    hub.advance(&delta).await;
                }
            }
            Err(error) => pace.note(&hub, Err(error)).await,
        }
    }
}

/// Follows which data centres are evacuated; balancers pass it on to agents.
pub(crate) async fn follow_evacuations(hub: rc::Rc<hub::StreamHub>) {
    if hub.service.is_some() {
        return;
    }
    let mut pace = FollowPace::new(&hub);
    loop {
        let knows_it = status::holds(&hub.status.knows_evacuations);
        let Some(wait) = pace.turn(&hub, knows_it).wait() else {
            leave_it_to_others().await;
            continue;
        };
        let evacuations = hub.link.borrow().evacuations.clone();
        match evacuations.next(wait).await {
            Ok(listed) => {
                pace.note(&hub, Ok(())).await;
                if let Some(listed) = listed {
                    let state = hub.named_here(listed);
                    hub.tell(packets::StreamInput::Evacuations(state)).await;
                }
            }
            Err(error) => pace.note(&hub, Err(error)).await,
        }
    }
}
