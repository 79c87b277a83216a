//! Retries: a share of successes, and never for what must not run twice.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod world;

use rosemaryusher_core::retry;

use world::RunEnding;
use world::World;

/// The load of a service whose every request fails is not multiplied by retries.
#[test]
fn dries_up() {
    let mut budget = retry::RetryBudget::default();
    let spent = (0..100).filter(|_| budget.spend()).count();
    assert_eq!(spent, 3);
    (0..50).for_each(|_| budget.earn(20));
    assert_eq!((0..100).filter(|_| budget.spend()).count(), 10);
}

/// The caller of a read gets its answer from another host.
/// The first host's backend server breaks the connection; the agent passes the read on.
#[test]
fn read_elsewhere() {
    let mut world = World::settled(1, 3);
    world.add_callers(1);
    world.get(0);
    world.deliver_all();
    let running = |world: &World| world.agents.iter().position(|a| !a.running.is_empty());
    let first = running(&world);
    world.end_any_run(0, RunEnding::Broken);
    world.deliver_all();
    let second = running(&world);
    assert!(second.is_some() && second != first, "{first:?}, then {second:?}");
    world.end_any_run(0, RunEnding::Answered);
    world.deliver_all();
    assert_eq!(world.book.answered, 1);
}

/// The caller of a save is told that the outcome is unknown; no other host runs it.
#[test]
fn save_nowhere() {
    let mut world = World::settled(1, 3);
    world.add_callers(1);
    world.post(0);
    world.deliver_all();
    world.end_any_run(0, RunEnding::Broken);
    world.deliver_all();
    assert!(world.agents.iter().all(|agent| agent.running.is_empty()));
    assert_eq!(world.book.unknown, 1);
}
