//! Streams of a data centre that is lost, and of ones that only appear lost.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use rosemaryusher_core::stream::log_event;

use stream_world as world;

/// The agents in the far data centre.
const FAR_AGENTS: std::ops::RangeInclusive<u8> = 4..=6;

/// Opens streams at three near and three far agents; returns the callers whose streams are far.
fn open_everywhere() -> (world::StreamWorld, Vec<u16>) {
    let mut world = world::StreamWorld::empty_two_centres();
    world.far = FAR_AGENTS.map(world::agent_address).collect();
    world.start_processes(6, 16);
    let callers = 0..60;
    for caller in callers.clone() {
        world.open(world::key(caller, 0), 0);
        world.advance(10);
    }
    let is_far = |caller: &u16| world.holders(world::key(*caller, 0)).iter().any(|nth| *nth >= 4);
    let far: Vec<u16> = callers.filter(is_far).collect();
    assert!((10..50).contains(&far.len()), "{} of 60 streams are far", far.len());
    (world, far)
}

/// Takes the power from the far data centre.
fn lose_far_centre(world: &mut world::StreamWorld) {
    for nth in FAR_AGENTS {
        world.kill_host(nth);
        world.partitioned.insert(world::agent_address(nth));
    }
}

fn is_loss_logged(world: &world::StreamWorld) -> bool {
    world.log_events.iter().any(|log_event| {
        matches!(log_event, log_event::StreamLogEvent::CentreChanged { is_lost: true, .. })
    })
}

/// Callers of a lost data centre are not reset when they repeat a segment, or streams elsewhere are reset
/// too.
#[test]
fn repeating_callers_reset() {
    let (mut world, far) = open_everywhere();
    lose_far_centre(&mut world);
    world.advance(2_500);
    for caller in 0..60 {
        world.send(world::key(caller, 0));
    }
    world.advance(200);
    for caller in &far {
        assert_eq!(
            world.view(world::key(*caller, 0)).resets,
            0,
            "caller {caller} is reset before it repeats"
        );
        world.repeat(world::key(*caller, 0));
    }
    world.advance(10);
    for caller in 0..60 {
        let view = world.view(world::key(caller, 0));
        let expected = if far.contains(&caller) { (0, 1) } else { (1, 0) };
        assert_eq!((view.answers, view.resets), expected, "caller {caller}");
    }
}

/// A balancer that has not seen the streams of a lost data centre waits for the lost agents in its search.
#[test]
fn moved_callers_reset() {
    let (mut world, far) = open_everywhere();
    lose_far_centre(&mut world);
    world.advance(2_500);
    world.entry_balancer = world::balancer_address(2);
    for caller in 0..60 {
        world.send(world::key(caller, 0));
    }
    world.advance(100);
    for caller in 0..60 {
        let view = world.view(world::key(caller, 0));
        let expected = if far.contains(&caller) { (0, 1) } else { (1, 0) };
        assert_eq!((view.answers, view.resets), expected, "caller {caller}");
    }
}

/// A balancer resets the streams of a data centre whose packets don't reach it but reach another balancer.
#[test]
fn one_way_loss() {
    let (mut world, far) = open_everywhere();
    for nth in FAR_AGENTS {
        world.blocked_links.insert((world::agent_address(nth), world::balancer_address(1)));
        world.host(nth).work_ms = 400;
    }
    world.advance(2_500);
    for caller in &far {
        world.send(world::key(*caller, 0));
    }
    world.advance(200);
    for caller in &far {
        world.repeat(world::key(*caller, 0));
    }
    world.advance(1_500);
    for caller in &far {
        let view = world.view(world::key(*caller, 0));
        assert!(view.answers >= 1 && view.resets == 0, "caller {caller}: {view:?}");
    }
    assert!(!is_loss_logged(&world));
}

/// A simultaneous restart of all agents of a data centre, near or far, is taken for its loss, and streams of
/// its running backend servers are reset.
#[test]
fn agents_restarted() {
    for agents in [1..=3, FAR_AGENTS] {
        let (mut world, _) = open_everywhere();
        world.partitioned.insert(world::balancer_address(2));
        world.advance(2_500);
        let is_affected = |caller: &u16| {
            world.holders(world::key(*caller, 0)).iter().any(|nth| agents.contains(nth))
        };
        let callers: Vec<u16> = (0..60).filter(is_affected).collect();
        for nth in agents.clone() {
            world.partitioned.insert(world::agent_address(nth));
        }
        for caller in &callers {
            world.send(world::key(*caller, 0));
        }
        for _ in 0..3 {
            world.advance(290);
            for caller in &callers {
                world.repeat(world::key(*caller, 0));
            }
        }
        for nth in agents {
            world.partitioned.remove(&world::agent_address(nth));
            world.start_agent(nth, "wallet");
        }
        for _ in 0..2 {
            world.advance(400);
            for caller in &callers {
                world.repeat(world::key(*caller, 0));
            }
        }
        world.advance(400);
        for caller in &callers {
            let view = world.view(world::key(*caller, 0));
            assert!(view.answers >= 1 && view.resets == 0, "caller {caller}: {view:?}");
        }
    }
}

/// A balancer that was paused for seconds takes the reports that it missed for the loss of a data centre,
/// and resets streams.
#[test]
fn balancer_frozen() {
    let (mut world, far) = open_everywhere();
    world.freeze(world::balancer_address(1));
    for caller in &far {
        world.send(world::key(*caller, 0));
    }
    world.advance(3_000);
    for caller in &far {
        world.repeat(world::key(*caller, 0));
    }
    world.advance(2);
    world.thaw();
    world.advance(400);
    for caller in &far {
        let view = world.view(world::key(*caller, 0));
        assert!(view.answers >= 1 && view.resets == 0, "caller {caller}: {view:?}");
    }
}

/// All agents of a data centre are away for longer than its loss takes to show, on machines that run, and
/// streams of its backend servers are reset.
#[test]
fn agents_away_long() {
    let (mut world, far) = open_everywhere();
    world.partitioned.insert(world::balancer_address(2));
    world.advance(2_500);
    for nth in FAR_AGENTS {
        world.remove_agent(nth);
    }
    for caller in &far {
        world.send(world::key(*caller, 0));
    }
    for _ in 0..10 {
        world.advance(300);
        for caller in &far {
            world.repeat(world::key(*caller, 0));
        }
    }
    for nth in FAR_AGENTS {
        world.start_agent(nth, "wallet");
    }
    world.advance(400);
    for caller in &far {
        world.repeat(world::key(*caller, 0));
    }
    world.advance(400);
    for caller in &far {
        let view = world.view(world::key(*caller, 0));
        assert!(view.answers >= 1 && view.resets == 0, "caller {caller}: {view:?}");
    }
    assert!(!is_loss_logged(&world));
}
