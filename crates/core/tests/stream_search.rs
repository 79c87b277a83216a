//! The search for the holder of a stream that a balancer doesn't know, among many backend servers.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use stream_world as world;

/// Backend servers of a world whose search takes several of them at a time.
const HOSTS: u8 = 12;

/// After a total power loss, a search that probes hosts one by one delays the reset of a dead stream
/// by a round trip for each host.
#[test]
fn reset_after_power_loss() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.restart_after_power_loss(1..=HOSTS);
    world.start_balancer(2);
    world.advance(500);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A search that waits for an agent whose backend server has left for good never resets a dead stream.
#[test]
fn departed_agent_skipped() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.restart_after_power_loss(1..=HOSTS);
    world.advance(500);
    let departed = (1..=HOSTS).find(|nth| !world.holders(key).contains(nth)).unwrap();
    world.leave_host(departed);
    world.advance(20);
    world.remove_agent(departed);
    world.advance(500);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// An open stream is not found, or its later segments not routed to its holder, when no agent knows what
/// its backend server holds.
#[test]
fn found_among_many() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    for nth in 1..=HOSTS {
        world.start_agent(nth, "wallet");
    }
    world.start_balancer(1);
    world.advance(500);
    for answers in 1..=3 {
        world.send(key);
        world.advance(100);
        assert_eq!((world.view(key).answers, world.view(key).resets), (answers, 0));
    }
}

/// Probes of dead streams count as work, so hosts with free slots look full and refuse openings.
#[test]
fn probes_take_no_slots() {
    let mut world = world::StreamWorld::with_hosts(8, 2);
    for caller in 0..40 {
        world.open(world::key(caller, 0), 0);
        world.advance(30);
    }
    world.restart_after_power_loss(1..=8);
    world.advance(500);
    for nth in 1..=8 {
        world.start_agent(nth, "wallet");
        world.host(nth).return_delay_ms = 100;
    }
    world.advance(500);
    for caller in 0..40 {
        world.send(world::key(caller, 0));
    }
    world.advance(5);
    for caller in 100..112 {
        world.open(world::key(caller, 0), 0);
        world.advance(1);
    }
    world.advance(50);
    for caller in 100..112 {
        let view = world.view(world::key(caller, 0));
        assert!(view.first.is_some(), "caller {caller} is refused");
    }
}

/// A balancer whose copy of an opening was lost on the way to an agent doesn't find the stream that another
/// copy, sent through another balancer, opened elsewhere.
#[test]
fn opening_lost() {
    let mut world = world::StreamWorld::with_three_hosts();
    let key = world::key(1, 0);
    let agents: Vec<_> = (1..=3).map(world::agent_address).collect();
    world.partitioned.extend(&agents);
    world.open(key, 0);
    world.advance(20);
    world.heal();
    let placed = world.placed(key);
    world.set_host_hung(placed, true);
    world.entry_balancer = world::balancer_address(2);
    world.open(key, 1);
    world.advance(300);
    world.set_host_hung(placed, false);
    world.entry_balancer = world::balancer_address(1);
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A search waits for an announced agent that has never reported beyond the time that the policy allows.
#[test]
fn lost_machine() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.host(HOSTS).is_hung = true;
    world.remove_agent(HOSTS);
    world.restart_after_power_loss(1..HOSTS);
    world.advance(1_500);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 0, "a restarting agent may still report");
    world.advance(600);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A balancer that starts partitioned resets an open stream after the partition, because the report of one
/// agent arrives before those of the others.
#[test]
fn contact_regained() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    let first = if holder == 1 { 2 } else { 1 };
    world.partitioned.extend((1..=HOSTS).map(world::agent_address));
    world.start_balancer(1);
    world.advance(3_000);
    world.partitioned.remove(&world::agent_address(first));
    world.advance(250);
    world.send(key);
    world.advance(200);
    assert_eq!(world.view(key).resets, 0);
    world.heal();
    world.advance(250);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A search that began before the list of members arrived resets an open stream, although it didn't ask
/// every agent in that list.
#[test]
fn list_arrives_during_search() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.placed(key);
    world.partitioned.insert(world::agent_address(holder));
    world.start_balancer_without_members(1);
    // Every agent but the holder reports within this time.
    world.advance(150);
    world.heal();
    world.send(key);
    world.advance(2);
    world.deliver_members(world::balancer_address(1));
    world.advance(20);
    assert_eq!(world.view(key).resets, 0);
    world.advance(200);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// After a total power loss, dead streams are probed at backend servers although their agents know that
/// these hold none, or are not reset within a round trip.
#[test]
fn all_agents_sure() {
    const STREAMS: u16 = 30;
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    for caller in 0..STREAMS {
        world.open(world::key(caller, 0), 0);
        world.advance(5);
    }
    world.restart_after_power_loss(1..=HOSTS);
    world.start_balancer(2);
    world.advance(300);
    for caller in 0..STREAMS {
        world.send(world::key(caller, 0));
    }
    world.advance(10);
    let is_reset = |caller: &u16| world.callers[&world::key(*caller, 0)].resets == 1;
    assert_eq!((0..STREAMS).filter(is_reset).count(), usize::from(STREAMS));
    assert_eq!(world.hosts.values().map(|host| host.unheld_segments).sum::<u64>(), 0);
}

/// An agent that restarted after its backend server denies a stream without probing the backend server.
#[test]
fn no_agent_sure() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.restart_after_power_loss(1..=HOSTS);
    world.advance(2 * world::HOST_REPORT_MS);
    for nth in 1..=HOSTS {
        world.start_agent(nth, "wallet");
    }
    world.advance(2 * world::HOST_REPORT_MS);
    world.send(key);
    world.advance(20);
    assert_eq!(world.view(key).resets, 1);
    let unheld_segments: u64 = world.hosts.values().map(|host| host.unheld_segments).sum();
    assert_eq!(unheld_segments, u64::from(HOSTS));
}

/// After a total power loss, a search waits for the agent of a machine that is still down.
#[test]
fn machine_without_power() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.power_off_machine(HOSTS);
    world.restart_after_power_loss(1..HOSTS);
    world.start_balancer(2);
    world.advance(400);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 1);
}

/// The same, where no agent saw its backend server start and only the slow start shows its age.
#[test]
fn start_not_observed() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let mut delta = world::config(2, &[("wallet", &[0, 1]), ("preview", &[5])]);
    delta.changed[0].1.rules.slow_start_s = 2;
    world.set_config(delta);
    world.advance(300);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.power_off_machine(HOSTS);
    world.reports_start_times = false;
    world.restart_after_power_loss(1..HOSTS);
    world.start_balancer(2);
    for nth in 1..HOSTS {
        let slow_until = world.now.plus(2_000);
        let host = world.host(nth);
        host.reports = 2;
        host.slow_until = slow_until;
    }
    world.advance(400);
    world.send(key);
    world.advance(300);
    assert_eq!(world.view(key).resets, 1);
}

/// A search doesn't wait for an agent that is restarting on a running machine, and resets a stream that its
/// backend server holds.
#[test]
fn machine_refuses_connections() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.remove_agent(holder);
    world.start_balancer(1);
    world.advance(700);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 0);
    world.start_agent(holder, "wallet");
    world.advance(200);
    world.repeat(key);
    world.advance(300);
    assert_eq!((world.view(key).answers >= 1, world.view(key).resets), (true, 0));
}

/// A balancer that an agent's packets don't reach takes it as lost, although another balancer mentions it.
#[test]
fn reachable_from_another() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world::agent_address(world.holders(key)[0]);
    world.blocked_links.insert((holder, world::balancer_address(1)));
    world.powered_off.insert(holder);
    world.start_balancer(1);
    world.advance(700);
    world.send(key);
    world.advance(300);
    assert_eq!(world.view(key).resets, 0);
}

/// A balancer keeps forwarding segments to the lost machine that got an opening, although a copy through
/// another balancer has opened the stream elsewhere.
#[test]
fn lost_before_answer() {
    let mut world = world::StreamWorld::with_three_hosts();
    let key = world::key(5, 1);
    world.open(key, 0);
    world.advance(1);
    world.entry_balancer = world::balancer_address(2);
    world.partitioned.insert(world::balancer_address(1));
    let lost = world.placed(key);
    world.power_off_machine(lost);
    world.advance(600);
    world.open(key, 2);
    world.advance(300);
    assert!(!world.holders(key).is_empty());
    world.heal();
    world.advance(2_000);
    world.entry_balancer = world::balancer_address(1);
    for _ in 0..2 {
        world.send(key);
        world.advance(300);
    }
    assert!(world.view(key).answers > 0);
}

/// An agent that stops before its backend server has returned a probe is taken for the holder, and segments
/// go there, although the agent of the holder has restarted without having been asked again.
#[test]
fn probed_agent_stops() {
    let mut world = world::StreamWorld::with_hosts(4, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    let other = if holder == 1 { 2 } else { 1 };
    world.start_agent(other, "wallet");
    world.remove_agent(holder);
    world.start_balancer(1);
    world.advance(300);
    world.host(other).return_delay_ms = 50;
    world.send(key);
    world.advance(75);
    assert_eq!(world.host(other).unheld_segments, 1);
    world.remove_agent(other);
    world.advance(300);
    world.start_agent(holder, "wallet");
    world.advance(200);
    for _ in 0..2 {
        world.repeat(key);
        world.advance(300);
    }
    assert_eq!((world.view(key).answers >= 1, world.view(key).resets), (true, 0));
}

/// While the agent of a stream's holder is away, each copy of a segment goes to other backend servers that
/// have returned it before.
#[test]
fn denials_remembered() {
    let mut world = world::StreamWorld::with_hosts(4, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    for nth in (1..=4).filter(|nth| *nth != holder) {
        world.start_agent(nth, "wallet");
    }
    world.remove_agent(holder);
    world.start_balancer(1);
    world.advance(300);
    world.send(key);
    // Callers retransmit with a growing delay.
    for delay_ms in [200, 400, 800, 1_600] {
        world.advance(delay_ms);
        world.repeat(key);
    }
    world.start_agent(holder, "wallet");
    world.advance(200);
    let unheld_segments: u64 = world.hosts.values().map(|host| host.unheld_segments).sum();
    assert_eq!(unheld_segments, 3);
    assert_eq!((world.view(key).answers >= 1, world.view(key).resets), (true, 0));
}
