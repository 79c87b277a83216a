//! Who learns of whom, and how soon, when the platform's list is not to be had.

mod stream_world;

use rosemaryusher_core::stream;

use stream_world as world;

/// More balancers than the calm world's two.
const BALANCERS: u8 = 8;

fn many_balancers() -> world::StreamWorld {
    let mut world = world::StreamWorld::with_hosts(4, 4);
    for nth in 3..=BALANCERS {
        world.start_balancer(nth);
    }
    world.advance(1_000);
    world
}

/// A balancer starts while the platform is away; its settings name one other. Callers sent to it must
/// be served, so it has to learn of every agent from that one, and every agent of it.
#[test]
fn one_seed() {
    let mut world = many_balancers();
    let newcomer = world::balancer_address(BALANCERS + 1);
    world.boot_balancer(BALANCERS + 1);
    let seeds = vec![world::balancer_address(2)];
    world.handle(newcomer, stream::StreamEvent::Seeds(seeds));
    world.advance(500);
    assert_eq!(world.balancers[&newcomer].board().heard().count(), 4);
    world.entry_balancer = newcomer;
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(20);
    assert!(world.view(key).first.is_some());
}

/// An agent starts while the platform is away, and knows one balancer from its settings. The others
/// learn of it from that one, told to one at a time: within two seconds each of them hears it.
#[test]
fn agent_spreads() {
    let mut world = many_balancers();
    let newcomer = world::agent_address(9);
    world.start_host(9, "wallet", 4);
    world.boot_agent(9, "wallet");
    let seeds = vec![world::balancer_address(2)];
    world.handle(newcomer, stream::StreamEvent::Seeds(seeds));
    world.advance(2_000);
    for balancer in world.balancers.values() {
        assert!(balancer.board().heard().any(|agent| agent == newcomer));
    }
}

/// A machine in another data centre is lost. Its agent told this balancer three times a second, so
/// within a second nothing new is sent there, and until then a caller's own copy goes elsewhere.
#[test]
fn far_machine_lost() {
    let mut world = world::StreamWorld::new();
    for nth in 1..=3 {
        world.far.insert(world::agent_address(nth));
    }
    world.set_up(3, 4);
    world.kill_host(2);
    world.remove_agent(2);
    let early = world::key(1, 0);
    world.open(early, 0);
    world.advance(100);
    world.open(early, 1);
    world.advance(20);
    world.open(early, 2);
    world.advance(20);
    assert!(world.view(early).first.is_some(), "a copy goes elsewhere");
    world.advance(860);
    for caller in 10..40 {
        let key = world::key(caller, 0);
        world.open(key, 0);
        world.advance(5);
        assert_ne!(world.placed(key), 2);
    }
}

/// Another writer's entry has an address and says of nobody's service whose it is. Taken for a
/// balancer's, every process would go on telling that address.
#[test]
fn entry_of_nobody() {
    let read = |text| serde_json::from_str::<stream::AnnouncedMember>(text).ok();
    assert!(read(r#"{"address":"10.0.0.9:7000"}"#).is_none());
    assert!(read(r#"{"address":"10.0.0.9:7000","service":"x"}"#).is_none());
    let balancer = read(r#"{"address":"10.0.0.9:7000","service":null}"#).expect("a balancer's");
    assert_eq!(balancer.service, None);
}
