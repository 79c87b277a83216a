//! How the message rates of a process grow from a fleet of 30 processes to one of 300.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use std::collections;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::balancer::service_history;
use rosemaryusher_core::stream::log_event;

use stream_world as world;

/// Duration over which messages are counted, in seconds.
const SECONDS: u64 = 4;

/// Greatest exponent with which a rate of one process may grow with the size of the fleet.
const MAX_GROWTH_EXPONENT: f64 = 0.3;

/// Starts a fleet without faults in two data centres.
fn fleet(balancers: u8, agents: u8) -> world::StreamWorld {
    let mut world = world::StreamWorld::new();
    world.far.extend((1..=balancers).filter(|nth| nth % 2 == 0).map(world::balancer_address));
    world.far.extend((1..=agents).filter(|nth| nth % 2 == 0).map(world::agent_address));
    world.set_config(world::config(1, &[("wallet", &[0, 1]), ("preview", &[5])]));
    for nth in 1..=agents {
        world.start_host(nth, "wallet", 4);
        world.start_agent(nth, "wallet");
    }
    for nth in 1..=balancers {
        world.start_balancer(nth);
    }
    world.advance(4_000);
    world
}

/// Returns the messages per second received by the busiest balancer, by the busiest agent and by all
/// processes.
fn rates(world: &mut world::StreamWorld) -> (f64, f64, f64) {
    world.messages_sent_to.clear();
    world.advance(1_000 * SECONDS);
    let mut received = collections::BTreeMap::<_, u64>::new();
    for ((process, _), count) in &world.messages_sent_to {
        *received.entry(*process).or_default() += count;
    }
    let busiest = |is_balancer: bool| {
        let of_role =
            received.iter().filter(|(to, _)| world.balancers.contains_key(to) == is_balancer);
        of_role.map(|(_, count)| *count).max().unwrap_or_default()
    };
    let per_second = |count: u64| count as f64 / SECONDS as f64;
    (per_second(busiest(true)), per_second(busiest(false)), per_second(received.values().sum()))
}

/// Returns the exponent with which a rate grows between fleets whose sizes differ by the factor `size`.
fn growth(small: f64, large: f64, size: f64) -> f64 {
    (large / small).ln() / size.ln()
}

/// The reports that one process receives grow in proportion to the fleet.
#[test]
fn messages_bounded() {
    let small = rates(&mut fleet(9, 21));
    let large = rates(&mut fleet(90, 210));
    let (balancer, agent) = (growth(small.0, large.0, 10.0), growth(small.1, large.1, 10.0));
    assert!(balancer < MAX_GROWTH_EXPONENT, "per balancer: {small:?} {large:?}");
    assert!(agent < MAX_GROWTH_EXPONENT, "per agent: {small:?} {large:?}");
    let all = growth(small.2, large.2, 10.0);
    assert!(all < 1.0 + MAX_GROWTH_EXPONENT, "all: {small:?} {large:?}");
}

/// The messages that spread a new configuration grow with the square of the fleet.
#[test]
fn change_bounded() {
    let cost = |balancers: u8, agents: u8| {
        let mut world = fleet(balancers, agents);
        let (_, _, calm) = rates(&mut world);
        world.set_config(world::config(2, &[("wallet", &[0, 1, 2]), ("preview", &[5])]));
        world.messages_sent_to.clear();
        world.advance(1_000);
        let balancers =
            world.balancers.values().map(|balancer| balancer.config_state().generation());
        let agents = world.agents.values().map(|agent| agent.config_state().generation());
        assert!(balancers.chain(agents).all(|at| at == ids::ConfigGeneration(2)));
        (world.messages_sent_to.values().sum::<u64>() as f64 - calm).max(1.0)
    };
    let (small, large) = (cost(9, 21), cost(90, 210));
    let growth = growth(small, large, 10.0);
    assert!(growth < 1.0 + MAX_GROWTH_EXPONENT, "{small} {large}");
}

/// A balancer takes a running agent outside its subscriptions as lost, so that searches skip it.
#[test]
fn unsubscribed_agents_known() {
    let mut world = fleet(90, 210);
    world.advance(40_000);
    for balancer in world.balancers.values() {
        let known = balancer.agent_table().addresses().count();
        assert_eq!(known, 210);
        let service = ids::ServiceId::of_name("wallet");
        let holders = balancer.agent_table().holders(
            &service_history::ServiceScope::Of(vec![service]),
            &collections::BTreeSet::new(),
            world.now,
        );
        assert_eq!((holders.agents.len(), holders.presumed_gone), (210, 0));
    }
}

/// An agent that no balancer subscribes to gets no streams and no configuration changes.
#[test]
fn each_agent_subscribed() {
    for (balancers, agents) in [(90, 210), (4, 240)] {
        let world = fleet(balancers, agents);
        for (address, agent) in &world.agents {
            assert!(agent.reaches_balancer(), "{address} with {balancers} balancers");
        }
    }
}

/// A stream that moves to a balancer without a subscription to its agent is not found, or reset.
#[test]
fn found_outside_subset() {
    let mut world = fleet(90, 210);
    for caller in 0..20 {
        let key = world::key(caller, 0);
        world.entry_balancer = world::balancer_address(1 + 2 * (caller as u8 % 40));
        world.open(key, 0);
        world.advance(20);
        let holders = world.holders(key);
        assert_eq!(holders.len(), 1);
        world.entry_balancer = world::balancer_address(2 + 2 * (caller as u8 % 40));
        world.send(key);
        world.advance(100);
        assert_eq!(world.view(key).resets, 0);
        let found = world.placed(key);
        assert_eq!(world.holders(key), vec![found]);
    }
}

/// Most gossip crosses data centres, where traffic costs money.
#[test]
fn gossip_stays_near() {
    let mut world = fleet(90, 210);
    world.messages_sent_to.clear();
    world.messages_across_centres.clear();
    world.advance(4_000);
    let sent = world.messages_sent_to.iter().filter(|((_, kind), _)| *kind == "members");
    let sent: u64 = sent.map(|(_, count)| count).sum();
    let messages_across_centres = world.messages_across_centres["members"];
    assert!(
        4 * messages_across_centres <= sent,
        "{messages_across_centres} of {sent} cross data centres"
    );
}

/// Gossip leaves out some members for so long that balancers time out and request reports one by one.
#[test]
fn few_false_timeouts() {
    let mut world = fleet(90, 210);
    world.advance(20_000);
    let timeout_count = |world: &world::StreamWorld| {
        let timeouts = world.log_events.iter().filter(|log_event| {
            matches!(
                log_event,
                log_event::StreamLogEvent::BalancerChanged { is_reachable: false, .. }
            )
        });
        timeouts.count()
    };
    let before = timeout_count(&world);
    world.advance(20_000);
    // About 1 % of the 8,010 pairs of balancers, all running, within twice the mention timeout.
    let timeouts = timeout_count(&world) - before;
    assert!(timeouts <= 80, "{timeouts} timeouts");
}

/// Too many balancers watch the platform, as each knows a part of the others, or none does after the
/// watchers are lost.
#[test]
fn three_watchers() {
    let mut world = fleet(90, 210);
    let watchers = |world: &world::StreamWorld| -> Vec<_> {
        let watching = world.balancers.iter().filter(|(_, balancer)| balancer.is_watcher(3));
        watching.map(|(address, _)| *address).collect()
    };
    let all: Vec<_> = world.balancers.keys().copied().collect();
    for address in all {
        world.handle(address, stream::StreamEvent::Platform(true));
    }
    world.advance(1_000);
    let first = watchers(&world);
    assert_eq!(first.len(), 3);
    for address in &first {
        world.balancers.remove(address);
    }
    world.advance(3_000);
    let next = watchers(&world);
    assert_eq!(next.len(), 3);
    let third: Vec<_> = world.balancers.keys().copied().step_by(3).collect();
    world.balancers.retain(|address, _| third.contains(address));
    world.advance(3_000);
    assert!(watchers(&world).len() >= 3);
    // The lost balancers have timed out, and the remaining ones report to each other.
    world.advance(12_000);
    assert_eq!(watchers(&world).len(), 3);
}
