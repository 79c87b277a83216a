//! Evacuations that are written, removed and written again.

mod stream_world;

use rosemaryusher_core::stream;

use stream_world as world;
use stream_world::evacuations;

/// Operators evacuate a data centre, take it back and evacuate it again, with a second between. At
/// each step new streams go where the last list says.
#[test]
fn last_list_holds() {
    let mut world = world::StreamWorld::with_centres();
    for round in 0..4_u16 {
        let is_evacuated = round.is_multiple_of(2);
        let listed: &[&str] = if is_evacuated { &[evacuations::FAR] } else { &[] };
        world.evacuate(listed);
        world.advance(1_000);
        let callers = round * 40..round * 40 + 40;
        assert_eq!(world.opens_far(callers), !is_evacuated, "round {round}");
    }
}

/// A list that was read before a data centre was evacuated is held up and arrives after the one that
/// says so. It changes nothing: callers' new streams still go elsewhere. The same with one that was
/// read before the data centre was taken back.
#[test]
fn late_list() {
    let mut world = world::StreamWorld::with_centres();
    world.evacuate(&[evacuations::FAR]);
    world.advance(300);
    let before = world.evacuations(0);
    world.handle(world::balancer_address(1), stream::StreamEvent::Evacuations(before));
    assert!(!world.opens_far(0..40));
    world.evacuate(&[]);
    world.advance(300);
    let during = world.evacuations(1);
    world.handle(world::balancer_address(1), stream::StreamEvent::Evacuations(during));
    assert!(world.opens_far(40..80));
}

/// Both data centres are evacuated one after the other, and the first is taken back: streams open there
/// alone.
#[test]
fn one_after_the_other() {
    let mut world = world::StreamWorld::with_centres();
    world.evacuate(&[evacuations::NEAR]);
    world.advance(300);
    world.evacuate(&[evacuations::NEAR, evacuations::FAR]);
    world.advance(300);
    world.evacuate(&[evacuations::FAR]);
    world.advance(300);
    assert!(!world.opens_far(0..40));
    for caller in 0..40 {
        assert!(world.view(world::key(caller, 0)).first.is_some());
    }
}
