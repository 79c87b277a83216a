//! Streams while balancers, agents and backend servers come and go.

mod stream_world;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::report;

use stream_world as world;

/// A designer's preview goes on while the balancer that it came through is replaced: the network
/// sends its next segment to a balancer that has never seen the stream. That one asks the agents,
/// and the segment reaches the backend server that holds the stream.
#[test]
fn balancer_replaced() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.balancers.remove(&world::balancer_address(1));
    world.entry_balancer = world::balancer_address(2);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A stream stays open while the agent beside its backend server is restarted and its balancer
/// replaced. The new agent has seen nothing of the stream, so nobody says that it holds it; the
/// segment is handed to the backend servers of agents that don't know, and the right one takes it.
#[test]
fn agent_restarted() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    for nth in 1..=3 {
        world.start_agent(nth, "wallet");
    }
    world.start_balancer(1);
    world.advance(300);
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// Everything loses power, backend servers included. A caller sends its next request on the stream
/// of a run that is dead; every agent that is announced denies it, so the caller is reset at once
/// and tries again within its aim, in place of sending into nothing until its deadline.
#[test]
fn power_lost() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    for nth in 1..=3 {
        world.crash_host(nth);
        world.start_agent(nth, "wallet");
    }
    world.start_balancer(1);
    world.start_balancer(2);
    world.advance(500);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 1);
}

/// A backend server crashes and its new run takes an opening before its first report. That report
/// tells the agent that the earlier run is dead; forgetting the new run's stream with those of the
/// dead one would have it reset when its segments come through another balancer.
#[test]
fn early_opening() {
    let mut world = world::StreamWorld::calm();
    for nth in 1..=3 {
        world.crash_host(nth);
        world.host(nth).reported = world.now;
    }
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(500);
    world.entry_balancer = world::balancer_address(2);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// Everything loses power and streams open again; then one agent is restarted beside its living
/// backend server. Its first report is among the backend server's first, and yet streams were
/// opened before: an agent that took it for one that had seen all would have them reset.
#[test]
fn young_host() {
    let mut world = world::StreamWorld::calm();
    for nth in 1..=3 {
        world.crash_host(nth);
        world.start_agent(nth, "wallet");
    }
    world.advance(50);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.start_agent(holder, "wallet");
    world.entry_balancer = world::balancer_address(2);
    world.advance(400);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// The same, but one agent does not answer: its backend server may hold the stream. A balancer
/// that knows too little must not reset a stream that may be open.
#[test]
fn agent_unheard() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.cut.insert(world::agent_address(holder));
    world.start_balancer(1);
    for _ in 0..5 {
        world.send(key);
        world.advance(300);
    }
    assert_eq!(world.view(key).resets, 0);
    world.cut.clear();
    world.advance(500);
    world.send(key);
    world.advance(100);
    assert_eq!(world.view(key).answers, 1);
}

/// A backend server crashes and starts again while its agent lives. Callers of its streams would
/// wait for their deadline; the agent knows that the earlier run is dead, so it resets them.
#[test]
fn host_crashed() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(900);
    world.send(key);
    world.advance(5);
    let holder = world.holders(key)[0];
    world.crash_host(holder);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A backend server says that it is leaving while openings are under way to it and while balancers
/// still believe that it serves. Its agent hands it none from then on; every opening is taken by
/// another, and its open streams go on.
#[test]
fn host_drains() {
    let mut world = world::StreamWorld::calm();
    let old = world::key(1, 0);
    world.open(old, 0);
    world.advance(10);
    let leaving = world.holders(old)[0];
    world.drain_host(leaving);
    for caller in 10..40 {
        world.open(world::key(caller, 0), 0);
    }
    world.send(old);
    world.advance(100);
    assert_eq!(world.view(old).answers, 1);
    for caller in 10..40 {
        let holders = world.holders(world::key(caller, 0));
        assert!(!holders.is_empty() && !holders.contains(&leaving), "{caller}: {holders:?}");
    }
}

/// A backend server hangs: it answers no opening and its agent still serves. The caller's opening
/// is placed elsewhere before its own copy would come, and the hanging host gets no more.
#[test]
fn host_hangs() {
    let mut world = world::StreamWorld::calm();
    for nth in 1..=3 {
        world.host(nth).is_dark = nth != 2;
    }
    let keys: Vec<_> = (1..=12).map(|caller| world::key(caller, 0)).collect();
    for key in &keys {
        world.open(*key, 0);
    }
    world.advance(190);
    for key in &keys {
        assert!(world.view(*key).first.is_some(), "{key} is not open after 190 ms");
    }
}

/// A backend server is gone and another service's runs at its address. A balancer that has missed
/// it still sends one service's segments there; the agent there gives them back, and none reaches
/// the other service's backend server.
#[test]
fn address_reused() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.send(key);
    for caller in 2..20 {
        world.open(world::key(caller, 0), 0);
    }
    world.start_host(holder, "preview", 16);
    world.start_agent(holder, "preview");
    world.advance(100);
    assert!(world.host(holder).openings.is_empty());
    assert!((2..20).all(|caller| world.view(world::key(caller, 0)).first.is_some()));
}

/// A balancer has just started and knows no agent when the first opening comes. Refusing it would
/// cost the caller a try for nothing: it waits until agents are heard of, some milliseconds later.
#[test]
fn newcomer_waits() {
    let mut world = world::StreamWorld::calm();
    world.start_balancer(3);
    world.entry_balancer = world::balancer_address(3);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(60);
    assert!(world.view(key).first.is_some());
    assert_eq!(world.view(key).resets, 0);
}

/// A report of the backend server's earlier run was held up by a partition and arrives after a new
/// run has registered, and one from before the drain arrives after it. Taking either would send
/// openings to a backend server that is gone or leaving. A run that has only just been heard may be
/// such a late one itself, so nothing is concluded from its end.
#[test]
fn late_reports() {
    let report = |id: &str, sequence, is_draining| report::HostReport {
        run: report::HostRun { id: id.to_owned(), born: None },
        sequence,
        service: "wallet".to_owned(),
        slots: 2,
        is_draining,
        slow_ms: 0,
    };
    let mut state = host::HostState::default();
    let start = ids::UnixMillis(1_000);
    assert_eq!(state.on_report(&report("o", 7, false), 400, start), host::ReportOutcome::Changed);
    assert_eq!(state.on_report(&report("a", 1, false), 400, start), host::ReportOutcome::Adopted);
    let now = start.plus(400);
    assert_eq!(state.on_report(&report("a", 2, false), 400, now), host::ReportOutcome::Unchanged);
    assert_eq!(
        state.on_report(&report("b", 1, false), 400, now),
        host::ReportOutcome::Replaced { alive_at: start }
    );
    assert_eq!(state.on_report(&report("a", 9, false), 400, now), host::ReportOutcome::Stale);
    assert_eq!(state.on_report(&report("b", 3, true), 400, now), host::ReportOutcome::Changed);
    assert_eq!(state.on_report(&report("b", 2, false), 400, now), host::ReportOutcome::Stale);
    assert_eq!(state.on_report(&report("b", 4, false), 400, now), host::ReportOutcome::Unchanged);
    assert_eq!(state.phase(400, now), host::HostPhase::Draining);
    let left = report::HostRun { id: "b".to_owned(), born: None };
    assert_eq!(state.leave(&left), host::LeaveOutcome::Ended);
    assert_eq!(state.on_report(&report("b", 5, false), 400, now), host::ReportOutcome::Stale);
    assert_eq!(state.phase(400, now), host::HostPhase::Gone);
}

/// A configuration drops a route, and the agent hears of it before the balancer. An opening that
/// the balancer still sends is not run under a route that is no longer there; an older
/// configuration that arrives late changes nothing.
#[test]
fn route_dropped() {
    let mut world = world::StreamWorld::calm();
    let open = world::key(1, 1);
    world.open(open, 0);
    world.advance(10);
    let before = world.newest.clone();
    world.set_config(world::config(2, &[("wallet", &[0])]));
    for nth in 1..=3 {
        world.deliver_config(world::agent_address(nth));
    }
    let late = world::key(2, 1);
    world.open(late, 0);
    world.advance(20);
    assert!(world.view(late).first.is_none());
    assert_eq!(world.view(late).resets, 1);
    world.newest = before;
    world.deliver_config(world::balancer_address(1));
    let again = world::key(3, 1);
    world.open(again, 0);
    world.advance(20);
    assert!(world.view(again).first.is_none(), "an older configuration came into force again");
}

/// More callers than slots and places come at once. Hosts get as many as they have slots, and as many
/// wait for a slot; the rest is refused within a few round trips, not held back, and those that wait
/// know before they give up. Once the storm is over nothing counts as work, so that new callers are
/// taken again.
#[test]
fn storm_passes() {
    let mut world = world::StreamWorld::with_slots(2);
    let keys: Vec<_> = (0..200).map(|caller| world::key(caller, 0)).collect();
    for key in &keys {
        world.open(*key, 0);
    }
    world.advance(30);
    let opened = keys.iter().filter(|key| world.view(**key).first.is_some()).count();
    let refused = keys.iter().filter(|key| world.view(**key).resets > 0).count();
    assert_eq!(opened, 3 * 2, "as many as slots");
    assert_eq!(refused, keys.len() - 2 * opened, "one waits for each slot, the rest knows");
    world.advance(u64::from(world::TERMS.deadline_ms));
    let knows = |key: &&_| world.view(**key).first.is_some() || world.view(**key).resets > 0;
    assert_eq!(keys.iter().filter(knows).count(), keys.len(), "nobody is held to the end");
    world.advance(6_000);
    for agent in world.agents.values() {
        assert_eq!(agent.load(world.now).running + agent.load(world.now).queued, 0);
    }
    let key = world::key(500, 0);
    world.open(key, 0);
    world.advance(20);
    assert!(world.view(key).first.is_some());
}

/// A balancer stands still for three seconds while callers go on sending to it. What waits for it
/// when it wakes are openings whose callers have given up. Handed on, they would fill the hosts'
/// slots with streams that nobody uses, and callers who still wait would be refused.
#[test]
fn balancer_frozen() {
    let mut world = world::StreamWorld::with_slots(2);
    world.frozen.insert(world::balancer_address(1));
    for caller in 0..40 {
        world.open(world::key(caller, 0), 0);
        world.advance(75);
    }
    world.thaw();
    world.advance(150);
    let openings: usize = world.hosts.values().map(|host| host.openings.len()).sum();
    assert_eq!(openings, 0, "a stale opening reached a backend server");
    let key = world::key(100, 0);
    world.open(key, 1);
    world.advance(20);
    assert!(world.view(key).first.is_some());
}

/// The same with an agent that stands still, and openings that its balancers sent meanwhile.
#[test]
fn agent_frozen() {
    let mut world = world::StreamWorld::calm();
    for nth in 1..=3 {
        world.frozen.insert(world::agent_address(nth));
    }
    for caller in 0..10 {
        world.open(world::key(caller, 0), 0);
    }
    world.advance(2_000);
    world.thaw();
    world.advance(100);
    let openings: usize = world.hosts.values().map(|host| host.openings.len()).sum();
    assert_eq!(openings, 0, "a stale opening reached a backend server");
    world.advance(600);
    let key = world::key(100, 0);
    world.open(key, 0);
    world.advance(20);
    assert!(world.view(key).first.is_some());
}

/// A balancer is told to shut down; the network goes on sending it segments for a second. Agents
/// that stopped reporting to it at once would look silent to it within that time, and it would
/// refuse callers although every host has room.
#[test]
fn last_second() {
    let mut world = world::StreamWorld::calm();
    world.handle(world::balancer_address(1), stream::StreamEvent::Leave);
    world.advance(1_000);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(20);
    assert!(world.view(key).first.is_some());
}

/// A balancer reports that it leaves; streams that came through it go on through another.
#[test]
fn balancer_leaves() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.handle(world::balancer_address(1), stream::StreamEvent::Leave);
    assert!(!world.balancers[&world::balancer_address(1)].is_ready(world.now));
    world.send(key);
    world.advance(60);
    world.entry_balancer = world::balancer_address(2);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).answers, 2);
}
