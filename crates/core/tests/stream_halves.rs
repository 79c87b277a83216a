//! Streams that two backend servers hold half open, of which the caller accepted one.

mod stream_world;

use rosemaryusher_core::stream::segment;

use stream_world as world;

/// Only the agent whose answer the caller accepted may claim a half-open stream when another
/// balancer searches for it; otherwise the caller's request is lost at the other backend server.
#[test]
fn half_open_distinguished() {
    for caller in 1..9 {
        let mut world = world::StreamWorld::with_three_hosts();
        // Other streams before it change which hosts are drawn.
        for other in 0..caller {
            world.open(world::key(100 + other, 0), 0);
        }
        world.advance(5);
        let key = world::key(caller, 0);
        world.open(key, 0);
        world.open(key, 1);
        world.advance(10);
        assert_eq!(world.holders(key).len(), 2);
        world.entry_balancer = world::balancer_address(2);
        world.send(key);
        world.advance(60);
        let others_work = world.hosts.values().filter(|host| {
            host.held.get(&key).copied() != world.view(key).first && !host.work.is_empty()
        });
        assert_eq!((world.view(key).answers, others_work.count()), (1, 0));
    }
}

/// A world in which backend server `second` holds a stream half open, with an initial number just before the
/// one of `first`, whose answer the caller accepted. `None` if the copies of the opening went elsewhere.
fn world_with_near_numbers(
    first: u8,
    second: u8,
    are_agents_restarted: bool,
) -> Option<(world::StreamWorld, segment::StreamKey)> {
    // A backend server multiplies its run by this factor for its initial numbers.
    let distance = |runs: u64| (runs as u32).wrapping_mul(0x9e37_79b9);
    let runs = (1..).find(|runs| (1 << 16..1 << 19).contains(&distance(*runs)))?;
    let mut world = world::StreamWorld::with_three_hosts();
    world.host(first).run = 1_000 + runs;
    world.host(second).run = 1_000;
    if are_agents_restarted {
        for nth in 1..=3 {
            world.start_agent(nth, "wallet");
        }
        world.advance(3_000);
    }
    let key = world::key(1, 0);
    for (running, balancer, copy) in [(first, 1, 0), (second, 2, 1)] {
        for nth in 1..=3 {
            world.host(nth).is_hung = nth != running;
        }
        world.entry_balancer = world::balancer_address(balancer);
        world.open(key, copy);
        world.advance(200);
        for nth in 1..=3 {
            world.host(nth).is_hung = false;
        }
        world.advance(1_500);
    }
    let are_both = world.holders(key) == [first.min(second), first.max(second)];
    are_both.then_some((world, key))
}

/// The initial number of a half-open stream lies just before the one that the caller accepted, and its
/// agent delivers the caller's request there. A copy of it reaches the right one, so it runs twice.
#[test]
fn near_initial_numbers() {
    for are_agents_restarted in [false, true] {
        let pairs = [(1, 2), (2, 1), (1, 3), (3, 1), (2, 3), (3, 2)];
        let mut worlds = pairs.iter().filter_map(|(first, second)| {
            let (world, key) = world_with_near_numbers(*first, *second, are_agents_restarted)?;
            Some((world, key, *second))
        });
        let (mut world, key, second) = worlds.next().expect("a stream is half open elsewhere");
        for balancer in [2, 1] {
            world.entry_balancer = world::balancer_address(balancer);
            world.send(key);
            world.advance(10);
            assert!(world.host(second).work.is_empty(), "a request runs where it was not accepted");
            world.advance(300);
        }
        assert_eq!(world.view(key).answers, 2);
    }
}

/// An agent restarts and no longer knows of a half-open stream whose answer the caller did not
/// accept. The caller's segments must not be sent to its backend server permanently, which ignores
/// them.
#[test]
fn forgotten_half_open() {
    for spread in 0..8 {
        let mut world = world::StreamWorld::with_three_hosts();
        for other in 0..spread {
            world.open(world::key(100 + other, 0), 0);
        }
        world.advance(5);
        let key = world::key(1, 0);
        world.open(key, 0);
        world.entry_balancer = world::balancer_address(2);
        world.open(key, 1);
        world.open(key, 2);
        world.advance(2);
        for nth in 1..=3 {
            world.start_agent(nth, "wallet");
        }
        world.advance(500);
        for _ in 0..3 {
            world.send(key);
            world.advance(300);
        }
        assert!(world.view(key).answers > 0, "the stream hangs");
    }
}

/// Both agents of a half-open stream restart, and the balancer is new. One backend server ignores
/// the caller's segments without returning them; the retransmission must go to the other agent.
#[test]
fn silent_half_open() {
    for spread in 0..8 {
        let mut world = world::StreamWorld::with_three_hosts();
        for other in 0..spread {
            world.open(world::key(100 + other, 0), 0);
        }
        world.advance(5);
        let key = world::key(1, 0);
        world.open(key, 0);
        world.open(key, 1);
        world.advance(30);
        for nth in 1..=3 {
            world.start_agent(nth, "wallet");
        }
        world.entry_balancer = world::balancer_address(2);
        world.advance(500);
        for _ in 0..3 {
            world.send(key);
            world.advance(300);
        }
        assert!(world.view(key).answers > 0, "the stream hangs");
    }
}

/// The backend server whose answer the caller did not accept crashes. Its agent must not reset the
/// caller, whose stream is open elsewhere.
#[test]
fn other_half_open_crashed() {
    let mut world = world::StreamWorld::with_three_hosts();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.open(key, 1);
    world.advance(10);
    assert_eq!(world.holders(key).len(), 2);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).answers, 1);
    for nth in world.holders(key) {
        let began = world.host(nth).held[&key];
        if Some(began) != world.view(key).first {
            world.crash_host(nth);
        }
    }
    world.advance(10);
    assert_eq!(world.view(key).resets, 0);
}

/// The first host answers late, after a copy of the opening went to a second one. The caller's
/// segments must reach the host whose answer it accepted, or the stream hangs.
#[test]
fn two_answers() {
    let mut world = world::StreamWorld::with_three_hosts();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.partitioned.insert(world::agent_address(holder));
    world.advance(600);
    world.open(key, 2);
    world.advance(20);
    world.partitioned.clear();
    world.advance(300);
    assert_eq!(world.holders(key).len(), 2);
    world.send(key);
    world.advance(100);
    assert_eq!(world.view(key).answers, 1);
}
