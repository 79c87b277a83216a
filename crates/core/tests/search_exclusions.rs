//! Agents that a search leaves out: a stream is reset once all others have denied it, so none that may
//! hold it may be missing, and none that is gone may be waited for.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use rosemaryusher_core::stream;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::segment;

use stream_world as world;

/// Backend servers of the world.
const HOSTS: u8 = 4;

/// The agent whose backend server starts late.
const LATE: u8 = HOSTS;

/// The entry of the service `preview`.
const PREVIEW: u16 = 5;

/// How long an agent is away in a long planned restart, in milliseconds; longer than `recovery.lost_ms`.
const LONG_RESTART_MS: u64 = 3_000;

/// A world in which the backend server of [`LATE`] has stopped, as both balancers know from its agent.
fn world_with_stopped_host() -> world::StreamWorld {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    world.leave_host(LATE);
    world.advance(500);
    world
}

/// A world with one open stream, and the number of the agent whose backend server holds it.
fn world_with_stream() -> (world::StreamWorld, segment::StreamKey, u8) {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let [holder] = world.holders(key)[..] else { panic!("one backend server holds the stream") };
    (world, key, holder)
}

/// Starts the stopped backend server and opens a stream there through the second balancer.
fn open_at_late_host(world: &mut world::StreamWorld) -> segment::StreamKey {
    world.start_host(LATE, "wallet", 4);
    world.advance(10);
    open_at(world, LATE, 0)
}

/// Opens a stream at this backend server through the second balancer; its caller then moves to the first.
fn open_at(world: &mut world::StreamWorld, nth: u8, entry: u16) -> segment::StreamKey {
    world.entry_balancer = world::balancer_address(2);
    let open = |caller: &u16| {
        let key = world::key(*caller, entry);
        world.open(key, 0);
        world.advance(10);
        world.holders(key) == [nth]
    };
    let caller = (1..100).find(open).expect("a stream opens at the backend server");
    world.entry_balancer = world::balancer_address(1);
    world::key(caller, entry)
}

/// Checks that a stream is not reset now, and answers once the link from its agent works again.
fn check_kept(world: &mut world::StreamWorld, key: segment::StreamKey) {
    world.send(key);
    world.advance(200);
    assert_eq!(world.view(key).resets, 0);
    world.blocked_links.clear();
    world.advance(1_100);
    world.repeat(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A balancer that missed one report of an agent whose backend server has started takes the one before,
/// that none runs, for the present state, and resets a stream that is open there.
#[test]
fn report_of_start_lost() {
    let mut world = world_with_stopped_host();
    world.blocked_links.insert((world::agent_address(LATE), world::balancer_address(1)));
    let key = open_at_late_host(&mut world);
    check_kept(&mut world, key);
}

/// The same, while no report of the agent arrives here and another balancer mentions that it runs.
#[test]
fn start_mentioned() {
    let mut world = world_with_stopped_host();
    world.blocked_links.insert((world::agent_address(LATE), world::balancer_address(1)));
    world.advance(3_000);
    let key = open_at_late_host(&mut world);
    check_kept(&mut world, key);
}

/// An agent reports that its backend server has stopped and goes on reporting: its denial is waited for in
/// vain, or the segment is delivered to no one, and the caller of a dead stream gets no reset.
#[test]
fn stopped_host_denies() {
    let mut world = world_with_stopped_host();
    world.entry_balancer = world::balancer_address(1);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let [holder] = world.holders(key)[..] else { panic!("one backend server holds the stream") };
    world.crash_host(holder);
    world.start_balancer(1);
    world.advance(300);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A balancer that starts while an agent is away for a long planned restart takes it for lost, though its
/// machine answers probes, and resets a stream that is open there.
#[test]
fn long_restart() {
    let (mut world, key, holder) = world_with_stream();
    world.remove_agent(holder);
    world.start_balancer(1);
    world.advance(LONG_RESTART_MS);
    world.send(key);
    world.advance(200);
    assert_eq!(world.view(key).resets, 0);
    world.start_agent(holder, "wallet");
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A balancer takes an agent whose reports it has never received for lost, though another balancer
/// mentions that it runs.
#[test]
fn mentioned_agent_unheard() {
    let (mut world, key, holder) = world_with_stream();
    let agent = world::agent_address(holder);
    world.blocked_links.insert((agent, world::balancer_address(1)));
    world.powered_off.insert(agent);
    world.start_balancer(1);
    world.advance(LONG_RESTART_MS);
    check_kept(&mut world, key);
}

/// The same after a power loss, in which silence counts as loss.
#[test]
fn mentioned_after_power_loss() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    world.blocked_links.insert((world::agent_address(LATE), world::balancer_address(1)));
    world.restart_after_power_loss(1..=HOSTS);
    world.advance(LONG_RESTART_MS);
    let key = open_at(&mut world, LATE, 0);
    check_kept(&mut world, key);
}

/// A balancer that starts takes an agent for lost as soon as its machine leaves probes unanswered, although it
/// may be partitioned for a moment, and resets a stream that is open there.
#[test]
fn partitioned_machine() {
    let (mut world, key, holder) = world_with_stream();
    world.partitioned.insert(world::agent_address(holder));
    world.start_balancer(1);
    world.advance(1_700);
    world.send(key);
    world.advance(100);
    assert_eq!(world.view(key).resets, 0);
    world.heal();
    world.advance(500);
    world.repeat(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A denial that arrives twice stands for the missing answer of another agent, and an open stream is reset.
#[test]
fn denial_repeated() {
    let (mut world, key, holder) = world_with_stream();
    let other = if holder == 1 { 2 } else { 1 };
    world.start_balancer(1);
    world.advance(300);
    world.blocked_links.insert((world::agent_address(holder), world::balancer_address(1)));
    world.send(key);
    world.advance(1);
    let message = message::StreamMessage::Absent { key, is_sure: true };
    let from = world::agent_address(other);
    let repeated = stream::StreamEvent::Message { from, message: &message, head: None };
    world.handle(world::balancer_address(1), repeated);
    world.advance(20);
    check_kept(&mut world, key);
}

/// The address of a stopped backend server goes to another service with a new agent, whose reports don't
/// arrive here: the former report leaves it out of a search, and an open stream is reset.
#[test]
fn address_changed_service() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    world.start_host(1, "preview", 4);
    world.start_agent(1, "preview");
    world.kill_host(LATE);
    world.advance(500);
    world.blocked_links.insert((world::agent_address(LATE), world::balancer_address(1)));
    world.advance(600);
    world.start_host(LATE, "preview", 4);
    world.start_agent(LATE, "preview");
    world.advance(10);
    let key = open_at(&mut world, LATE, PREVIEW);
    check_kept(&mut world, key);
}

/// After a power loss, an agent that never reports is waited for again once backend servers no longer
/// report that they have just started, although its machine lives on without it.
#[test]
fn machine_without_agent() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.host(HOSTS).is_hung = true;
    world.remove_agent(HOSTS);
    world.restart_after_power_loss(1..HOSTS);
    world.advance(10_000);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A balancer trusts the service of an announcement, though another balancer mentions the agent with another
/// one, and resets a stream that is open there.
#[test]
fn announced_service_changed() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    world.start_host(1, "preview", 4);
    world.start_agent(1, "preview");
    world.blocked_links.insert((world::agent_address(LATE), world::balancer_address(1)));
    world.start_balancer(1);
    world.start_host(LATE, "preview", 4);
    world.start_agent(LATE, "preview");
    world.advance(1_000);
    let key = open_at(&mut world, LATE, PREVIEW);
    check_kept(&mut world, key);
}
