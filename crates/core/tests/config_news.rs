//! How a configuration reaches a balancer that the platform refuses.

mod stream_world;

use stream_world as world;

/// The platform answers one balancer and refuses the other. The operators add an address; a caller
/// that opens a stream there through the other balancer two seconds later is served, since reports
/// tell of the newer configuration and it is fetched from their sender.
#[test]
fn refused_balancer() {
    let mut world = world::StreamWorld::calm();
    world.set_config(world::config(2, &[("wallet", &[0, 1, 2]), ("preview", &[5])]));
    world.advance(2_000);
    world.entry_balancer = world::balancer_address(2);
    let key = world::key(1, 2);
    world.open(key, 0);
    world.advance(50);
    assert!(world.view(key).first.is_some(), "an old configuration is in force");
}
