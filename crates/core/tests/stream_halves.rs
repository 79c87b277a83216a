//! Streams that two backend servers hold half open: which half a caller took.

mod stream_world;

use stream_world as world;

/// Two backend servers hold a stream half open, and the network then sends its segments to a
/// balancer that has not seen it. Both agents would say that they hold it; only the one whose
/// answer the caller took may, or the caller's request is lost at the other.
#[test]
fn halves_told_apart() {
    for caller in 1..9 {
        let mut world = world::StreamWorld::calm();
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

/// Copies of an opening come through both balancers and open more than one half; the agent of one
/// that the caller did not take is restarted and has forgotten it. The caller's segments must not
/// be handed to that backend server for good, which passes over them in silence.
#[test]
fn forgotten_half() {
    for spread in 0..8 {
        let mut world = world::StreamWorld::calm();
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

/// Two halves at two backend servers, both agents restarted, and a balancer that has not seen the
/// stream: nobody knows the half that the caller took. The other backend server passes over the
/// caller's segments in silence, so its agent never denies the stream; the next copy of the segment
/// must go to the next agent.
#[test]
fn silent_half() {
    for spread in 0..8 {
        let mut world = world::StreamWorld::calm();
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

/// The network doubles an opening, and two backend servers take it; the caller takes the answer of
/// one, and the other crashes. Its agent must not reset the caller: the stream is open elsewhere.
#[test]
fn other_half_crashed() {
    let mut world = world::StreamWorld::calm();
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

/// The first host is silent for a moment, so a copy of the opening goes to a second, and then both
/// answer. The caller takes the answer that came first; its segments must reach that host, or the
/// stream hangs although both hosts hold it half open.
#[test]
fn two_answers() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.cut.insert(world::agent_address(holder));
    world.advance(600);
    world.open(key, 2);
    world.advance(20);
    world.cut.clear();
    world.advance(300);
    assert_eq!(world.holders(key).len(), 2);
    world.send(key);
    world.advance(100);
    assert_eq!(world.view(key).answers, 1);
}
