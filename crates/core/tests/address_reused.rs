//! Backend servers whose address is used by a backend server of another service next.

mod stream_world;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::log_event;
use rosemaryusher_core::stream::report;

use stream_world as world;

/// Opens streams of `wallet` through the entry balancer, one every 20 ms.
fn open_streams(world: &mut world::StreamWorld, callers: std::ops::Range<u16>) {
    for caller in callers {
        world.open(world::key(caller, 0), 0);
        world.advance(20);
    }
}

/// An agent restarts with the settings of the former backend server at its address. The one that
/// runs there must not get streams of the former one's service.
#[test]
fn stale_settings() {
    let mut world = world::StreamWorld::with_three_hosts();
    world.start_host(1, "preview", 16);
    world.start_agent(1, "wallet");
    open_streams(&mut world, 1..60);
    assert!(world.host(1).openings.is_empty());
    assert!((1..60).all(|caller| world.view(world::key(caller, 0)).first.is_some()));
    assert_ne!(world.agents[&world::agent_address(1)].phase(world.now), host::HostPhase::Serving);
}

/// A backend server of another service takes an address over while the agent there keeps running.
/// It must not get streams or segments of the former one, whose callers must be reset.
#[test]
fn agent_kept() {
    let mut world = world::StreamWorld::with_three_hosts();
    open_streams(&mut world, 1..12);
    let held: Vec<_> = (1..12)
        .map(|caller| world::key(caller, 0))
        .filter(|key| world.holders(*key) == [1])
        .collect();
    assert!(!held.is_empty());
    world.start_host(1, "preview", 16);
    world.advance(1);
    for _ in 0..5 {
        for key in &held {
            world.send(*key);
        }
        world.advance(world::HOST_REPORT_MS);
    }
    open_streams(&mut world, 20..60);
    assert_eq!((world.host(1).openings.len(), world.host(1).unheld_segments), (0, 0));
    assert!(held.iter().all(|key| world.view(*key).resets == 1));
    assert!((20..60).all(|caller| world.view(world::key(caller, 0)).first.is_some()));
}

/// A restarted agent with outdated settings gets segments of a stream that it does not know. They
/// must not be delivered to the backend server of another service, nor delay the reset.
#[test]
fn unknown_stream() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.start_host(1, "preview", 16);
    world.start_agent(1, "wallet");
    world.start_balancer(1);
    world.advance(2);
    for _ in 0..8 {
        // A caller that was reset sends nothing more.
        if world.view(key).resets == 0 {
            world.send(key);
        }
        world.advance(world::HOST_REPORT_MS);
    }
    assert_eq!(world.host(1).unheld_segments, 0);
    assert_eq!(world.view(key).resets, 1);
}

/// A delayed report of the address's earlier user arrives. It must neither interrupt the streams of
/// the backend server that runs there nor keep new ones away.
#[test]
fn delayed_report() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let own = world.host_report(1);
    let earlier = report::HostReport {
        run: report::HostRun {
            id: "earlier".to_owned(),
            born: own.run.born.map(|born| ids::UnixMillis(born.0 - 10_000)),
        },
        service: "preview".to_owned(),
        sequence: 900,
        ..own
    };
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.deliver_report(1, earlier);
    world.send(key);
    world.advance(60);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
    let next = world::key(2, 0);
    world.open(next, 0);
    world.advance(10);
    assert!(world.view(next).first.is_some());
}

/// Without start times, a delayed report of the address's earlier user cannot be told from one of
/// its next user. Open streams must survive the doubt, which the next own report must end.
#[test]
fn delayed_report_without_start() {
    let mut world = world::StreamWorld::new();
    world.reports_start_times = false;
    world.start_processes(1, 16);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let earlier = report::HostReport {
        run: report::HostRun { id: "earlier".to_owned(), born: None },
        service: "preview".to_owned(),
        ..world.host_report(1)
    };
    for _ in 0..6 {
        world.deliver_report(1, earlier.clone());
        world.advance(world::HOST_REPORT_MS);
        world.send(key);
        world.advance(60);
    }
    assert_eq!((world.view(key).answers, world.view(key).resets), (6, 0));
    let agent = &world.agents[&world::agent_address(1)];
    assert_eq!(agent.phase(world.now), host::HostPhase::Serving);
    let doubts = world.log_events.iter().filter(|log_event| {
        matches!(log_event, log_event::StreamLogEvent::OtherService { is_over: false, .. })
    });
    assert_eq!(doubts.count(), 6);
}

/// A delayed report of the address's former user arrives after the first one of its next user. It
/// must not make streams of the former service open at the next one.
#[test]
fn delayed_report_after_reuse() {
    let mut world = world::StreamWorld::with_three_hosts();
    let former = world.host_report(1);
    world.start_host(1, "preview", 16);
    world.advance(2 * world::HOST_REPORT_MS);
    for count in 1..=3 {
        let sequence = former.sequence + count;
        world.deliver_report(1, report::HostReport { sequence, ..former.clone() });
        open_streams(&mut world, 10 * count as u16..10 * count as u16 + 10);
    }
    assert!(world.host(1).openings.is_empty());
    assert_ne!(world.agents[&world::agent_address(1)].phase(world.now), host::HostPhase::Serving);
}

/// A balancer without reports from the agent at a reused address still knows it by its former
/// service. It must search for streams there, and not reset one that every other agent denies.
#[test]
fn former_service_known() {
    let mut world = world::StreamWorld::with_three_hosts();
    let (agent, balancer) = (world::agent_address(1), world::balancer_address(1));
    world.start_host(2, "preview", 16);
    world.start_agent(2, "preview");
    world.advance(1_000);
    world.blocked_links.insert((agent, balancer));
    world.start_host(1, "preview", 16);
    world.start_agent(1, "preview");
    world.entry_balancer = world::balancer_address(2);
    world.host(2).is_hung = true;
    world.advance(2_000);
    let key = world::key(1, 5);
    world.open(key, 0);
    world.advance(10);
    assert_eq!(world.holders(key), [1]);
    world.host(2).is_hung = false;
    world.advance(1_000);
    world.entry_balancer = balancer;
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (0, 0));
    world.blocked_links.clear();
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}
