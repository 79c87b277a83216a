//! Resets of streams while a balancer may not know every agent.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::balancer::member_list;
use rosemaryusher_core::stream::segment;

use stream_world as world;

/// The number of the agent that starts during a test.
const ADDED: u8 = 4;

/// Two balancers and three agents of `wallet`, and a stream whose backend server has crashed.
fn world_with_dead_stream() -> (world::StreamWorld, segment::StreamKey) {
    let mut world = world::StreamWorld::with_three_hosts();
    let dead = world::key(50, 0);
    world.open(dead, 0);
    world.advance(10);
    let holder = world.holders(dead)[0];
    world.start_host(holder, "wallet", 16);
    world.start_agent(holder, "wallet");
    world.start_balancer(1);
    world.start_balancer(2);
    world.advance(1_000);
    (world, dead)
}

/// Starts an agent, and opens a stream at its backend server through the first balancer.
fn open_at_added(world: &mut world::StreamWorld) -> segment::StreamKey {
    world.start_host(ADDED, "wallet", 16);
    world.start_agent(ADDED, "wallet");
    world.advance(100);
    let keys = (0..40).map(|caller| world::key(caller, 0));
    for key in keys.clone() {
        world.open(key, 0);
        world.advance(5);
    }
    let mut held = keys.filter(|key| world.holders(*key) == [ADDED]);
    held.next().expect("a stream is open at the added backend server")
}

/// Sends a segment through the second balancer.
fn send_through_second(world: &mut world::StreamWorld, key: segment::StreamKey) {
    world.entry_balancer = world::balancer_address(2);
    world.send(key);
    world.advance(200);
}

/// A balancer that is leaving does not learn of an agent that starts, and resets a stream that is open at
/// its backend server.
#[test]
fn agent_added_while_leaving() {
    let (mut world, dead) = world_with_dead_stream();
    world.leave_balancer(2);
    let open = open_at_added(&mut world);
    send_through_second(&mut world, open);
    assert_eq!((world.view(open).answers, world.view(open).resets), (1, 0));
    send_through_second(&mut world, dead);
    assert_eq!(world.view(dead).resets, 1, "a dead stream is not reset while leaving");
}

/// A balancer that is no longer announced resets a stream at a backend server whose agent did not find it
/// in the list of members.
#[test]
fn agent_added_after_withdrawal() {
    let (mut world, dead) = world_with_dead_stream();
    world.leave_balancer(2);
    world.withdraw_balancer(2);
    let blocked = (world::agent_address(ADDED), world::balancer_address(2));
    world.blocked_links.insert(blocked);
    world.blocked_links.insert((world::balancer_address(1), world::balancer_address(2)));
    let open = open_at_added(&mut world);
    send_through_second(&mut world, open);
    assert_eq!(world.view(open).resets, 0);
    send_through_second(&mut world, dead);
    world.entry_balancer = world::balancer_address(1);
    world.repeat(dead);
    world.advance(200);
    assert_eq!(world.view(dead).resets, 1, "the other balancer does not reset a dead stream");
}

/// A balancer that is leaving gets no gossip, so it does not learn of an agent that starts while the
/// platform is unreachable, and resets its streams.
#[test]
fn gossip_while_leaving() {
    let (mut world, _) = world_with_dead_stream();
    world.leave_balancer(2);
    world.start_host(ADDED, "wallet", 16);
    world.start_agent_without_members(ADDED, "wallet");
    let seeds = vec![world::balancer_address(1)];
    world.handle(world::agent_address(ADDED), stream::StreamEvent::Seeds(seeds));
    world.advance(1_500);
    let mut known = world.balancers[&world::balancer_address(2)].agent_table().reachable();
    assert!(known.any(|agent| agent == world::agent_address(ADDED)));
}

/// A balancer that was cut off while an agent started takes its list of members for complete afterwards,
/// and resets a stream at the agent's backend server.
#[test]
fn agent_added_while_cut_off() {
    let (mut world, dead) = world_with_dead_stream();
    world.partitioned.insert(world::balancer_address(2));
    world.advance(3_000);
    let open = open_at_added(&mut world);
    world.advance(3_000);
    // The other balancer's messages arrive later than those of the agents that both know.
    world.blocked_links.insert((world::balancer_address(1), world::balancer_address(2)));
    world.heal();
    world.advance(210);
    send_through_second(&mut world, open);
    assert_eq!(world.view(open).resets, 0);
    world.advance(2_000);
    world.repeat(open);
    world.advance(200);
    assert_eq!(world.view(open).answers, 1, "the list of members is not read again");
    send_through_second(&mut world, dead);
    assert_eq!(world.view(dead).resets, 1, "a dead stream is not reset after a partition");
}

/// A restored store lacks the announcement of a balancer, so an agent that starts does not find it, and the
/// balancer resets a stream at the agent's backend server.
#[test]
fn announcement_lost() {
    let (mut world, dead) = world_with_dead_stream();
    world.blocked_links.insert((world::balancer_address(1), world::balancer_address(2)));
    let until_check_ms = 1_000 - world.now.0 % 1_000;
    world.advance(until_check_ms);
    world.lose_announcement(2);
    let open = open_at_added(&mut world);
    send_through_second(&mut world, open);
    assert_eq!(world.view(open).resets, 0);
    world.advance(1_000);
    world.repeat(open);
    world.advance(200);
    assert_eq!(world.view(open).answers, 1, "the list of members is not read again");
    send_through_second(&mut world, dead);
    assert_eq!(world.view(dead).resets, 1, "a dead stream is not reset after a restore");
}

/// A list counts as complete on too little evidence, or never again.
#[test]
fn gaps() {
    let at = ids::UnixMillis;
    let epoch = store_epoch::StoreEpoch;
    let mut list = member_list::MemberList::new(at(1_000));
    assert_eq!(list.gap(at(1_000)), Some(member_list::MemberListGap::Unread));
    assert!(list.needs_read(at(1_000)));
    list.on_store_epoch(epoch(3), at(1_000));
    list.on_read(epoch(3), at(1_100));
    assert_eq!(list.gap(at(1_100)), None);
    assert!(list.is_complete_since(at(1_100), at(1_100)));
    assert!(!list.is_complete_since(at(1_099), at(1_100)), "agents were queried before the read");

    list.on_store_epoch(epoch(4), at(1_200));
    assert_eq!(list.gap(at(1_200)), Some(member_list::MemberListGap::StoreRestored));
    assert!(!list.needs_read(at(1_200)), "the list is read once the process is announced again");
    list.on_announced(epoch(4), at(1_300));
    assert_eq!(list.gap(at(1_300)), None);
    assert!(!list.is_complete_since(at(1_250), at(1_300)));

    list.on_message(at(2_000));
    assert_eq!(list.gap(at(2_900)), None);
    assert_eq!(list.gap(at(2_901)), Some(member_list::MemberListGap::OutOfContact));
    assert!(!list.needs_read(at(2_901)), "introductions would be lost again");
    list.on_message(at(3_000));
    assert_eq!(list.gap(at(3_000)), Some(member_list::MemberListGap::OutOfContact));
    assert!(list.needs_read(at(3_000)));
    list.on_read(epoch(4), at(3_100));
    assert_eq!(list.gap(at(3_100)), None);

    list.on_withdrawn(at(3_200));
    list.on_read(epoch(4), at(3_300));
    assert_eq!(list.gap(at(3_300)), Some(member_list::MemberListGap::Withdrawn));
}
