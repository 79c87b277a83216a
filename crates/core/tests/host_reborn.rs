//! Backend servers that start again under the id that they had, and late word of their former runs.

mod stream_world;

use rosemaryusher_core::ids;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::report;

use stream_world as world;

/// A caller waits for its answer when the backend server crashes and starts again under its id. The
/// run that held the stream is dead although the id goes on reporting, with a lower count: the
/// caller is reset within a report and tries again, who would else wait until its deadline. The new
/// run takes streams at once, not only when its count has passed that of the former one.
#[test]
fn host_reborn() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10 * world::HOST_REPORT_MS);
    world.send(key);
    world.advance(10);
    world.rebear_host(1);
    world.advance(world::HOST_REPORT_MS);
    assert_eq!((world.view(key).answers, world.view(key).resets), (0, 1));
    for caller in 2..10 {
        world.open(world::key(caller, 0), 0);
    }
    world.advance(20);
    assert!((2..10).all(|caller| world.view(world::key(caller, 0)).first.is_some()));
}

/// The backend server says that it leaves, leaves, and starts again under its id a while later, after
/// its agent has seen its port closed. It is not the run that has left: new streams go there.
#[test]
fn reborn_after_leave() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    world.drain_host(1);
    world.advance(2 * world::HOST_REPORT_MS);
    let former = world.host(1).id.clone();
    world.leave_host(1);
    world.advance(2_000);
    let agent = world::agent_address(1);
    assert_eq!(world.agents[&agent].phase(world.now), host::HostPhase::Gone);
    world.start_host(1, "wallet", 16);
    world.host(1).id = former;
    world.advance(2 * world::HOST_REPORT_MS);
    assert_eq!(world.agents[&agent].phase(world.now), host::HostPhase::Serving);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    assert!(world.view(key).first.is_some());
}

/// The same at once: the word that the former run has left arrives when the new one already holds a
/// stream. The word names the id alone. The stream goes on, and after the next report new ones come.
#[test]
fn late_leave() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let id = world.host(1).id.clone();
    world.drain_host(1);
    world.advance(2 * world::HOST_REPORT_MS);
    world.rebear_host(1);
    world.advance(2 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.deliver_leave(1, &id);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
    world.advance(world::HOST_REPORT_MS);
    let late = world::key(2, 0);
    world.open(late, 0);
    world.advance(10);
    assert!(world.view(late).first.is_some());
}

/// The new run is leaving itself, with a stream open, when late word comes that the id has left. The
/// stream is not reset; nor does the agent deny it to a balancer that has just started.
#[test]
fn late_leave_while_draining() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let id = world.host(1).id.clone();
    world.rebear_host(1);
    world.advance(2 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.drain_host(1);
    world.advance(world::HOST_REPORT_MS);
    world.deliver_leave(1, &id);
    world.start_balancer(1);
    world.advance(50);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A report of the former run was held up, with a higher count than the new run has reached. It
/// neither makes the new run stale nor resets the streams that it holds.
#[test]
fn late_word() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    world.advance(10 * world::HOST_REPORT_MS);
    let late = world.report_of(1);
    world.rebear_host(1);
    world.advance(3 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    for count in 1..=3 {
        let sequence = late.sequence + count;
        world.deliver_report(1, report::HostReport { sequence, ..late.clone() });
        world.send(key);
        world.advance(world::HOST_REPORT_MS);
    }
    assert_eq!((world.view(key).answers, world.view(key).resets), (3, 0));
    let next = world::key(2, 0);
    world.open(next, 0);
    world.advance(10);
    assert!(world.view(next).first.is_some());
}

/// An agent is restarted beside a reborn backend server and has heard it; it knows nothing of the
/// former run. A report of that one, held up on the way, is late word by its birth alone: the stream
/// that the living run holds goes on.
#[test]
fn late_word_unheard() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let late = world.report_of(1);
    world.rebear_host(1);
    world.start_agent(1, "wallet");
    world.advance(2 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.send(key);
    world.advance(3 * world::HOST_REPORT_MS);
    world.deliver_report(1, late);
    world.send(key);
    world.advance(world::HOST_REPORT_MS);
    assert_eq!((world.view(key).answers, world.view(key).resets), (2, 0));
}

/// An agent is restarted beside a backend server that holds a stream. The first that it hears is a
/// report of the former run, held up on the way, and then the living one. It has seen no run end:
/// the stream is neither reset nor denied.
#[test]
fn late_word_first() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let late = world.report_of(1);
    world.rebear_host(1);
    world.advance(2 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.start_agent(1, "wallet");
    world.deliver_report(1, late);
    world.advance(2 * world::HOST_REPORT_MS);
    world.start_balancer(1);
    world.advance(500);
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// The clock of a machine is set back, and the backend server starts again there: by its own word it
/// began before its former run. It goes on reporting while that one is silent, and gets streams after
/// four periods. Without this it would get none until its clock had passed its former start.
#[test]
fn clock_set_back() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    world.advance(20 * world::HOST_REPORT_MS);
    let born = world.host(1).born;
    world.rebear_host(1);
    world.host(1).born = ids::UnixMillis(born.0 - 3_000);
    world.advance(5 * world::HOST_REPORT_MS);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    assert!(world.view(key).first.is_some());
}

/// Another writer reports under the id of a living backend server, as another service or without its
/// birth. The backend server stays what it said of itself, and its stream goes on.
#[test]
fn foreign_report() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(3 * world::HOST_REPORT_MS);
    let own = world.report_of(1);
    let run = own.run.clone();
    let other_service = report::HostReport {
        service: "preview".to_owned(),
        sequence: own.sequence + 100,
        is_draining: true,
        ..own.clone()
    };
    let nameless = report::HostReport {
        run: report::HostRun { id: "other".to_owned(), born: None },
        sequence: 1,
        ..own
    };
    world.deliver_report(1, other_service);
    world.deliver_report(1, nameless);
    world.send(key);
    world.advance(2 * world::HOST_REPORT_MS);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
    let agent = world::agent_address(1);
    assert_eq!(world.agents[&agent].phase(world.now), host::HostPhase::Serving);
    assert_eq!(world.agents[&agent].host_run(), Some(&run));
}

/// A backend server holds a stream; its agent is restarted, and the first that it hears is the run's
/// own first report, held up since then. It says that the run is older than the agent, so the agent
/// does not deny what it has not seen.
#[test]
fn first_report_late() {
    let mut world = world::StreamWorld::with_hosts(1, 16);
    let first = report::HostReport { sequence: 1, ..world.report_of(1) };
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.start_agent(1, "wallet");
    world.deliver_report(1, first);
    world.start_balancer(1);
    world.advance(10);
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}
