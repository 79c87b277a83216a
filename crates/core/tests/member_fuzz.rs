//! Random sequences in which balancers and agents start, announce themselves, leave, withdraw, are cut off
//! and read the list of members, while callers use streams. `stream_world` checks each reset. At the end
//! every stream that a backend server holds must answer, and every other one must have been reset.
//!
//! For a longer run: `PROPTEST_CASES=5000 cargo test --release -p rosemaryusher-core --test member_fuzz`.

mod stream_world;

use proptest::prelude::*;
use proptest::test_runner;

use stream_world as world;

/// Default number of cases; the seed is fixed.
const CASES: u32 = 2_048;

/// Balancers, all of which run at the beginning.
const BALANCERS: u8 = 3;

/// Agents with their backend servers, of which [`FIRST_AGENTS`] run at the beginning.
const AGENTS: u8 = 5;

const FIRST_AGENTS: u8 = 3;

/// Concurrent requests at each backend server.
const SLOTS: u32 = 16;

/// How long all processes run without faults before the final checks, in milliseconds.
const SETTLE_MS: u64 = 7_000;

#[derive(Clone, Debug)]
enum Step {
    Open { caller: u16 },
    Send { caller: u16 },
    SwitchBalancer { nth: u8 },
    LeaveBalancer { nth: u8 },
    WithdrawBalancer { nth: u8 },
    StopBalancer { nth: u8 },
    StartBalancer { nth: u8 },
    StartWithoutList { nth: u8 },
    ReadList { nth: u8 },
    LoseAnnouncement { nth: u8 },
    CutOff { nth: u8 },
    Heal,
    StartAgent { nth: u8 },
    StopAgent { nth: u8 },
    CrashHost { nth: u8 },
    Wait { millis: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let (caller, balancer, agent) = (0..6_u16, 1..=BALANCERS, 1..=AGENTS);
    prop_oneof![
        8 => caller.clone().prop_map(|caller| Step::Open { caller }),
        8 => caller.prop_map(|caller| Step::Send { caller }),
        8 => balancer.clone().prop_map(|nth| Step::SwitchBalancer { nth }),
        2 => balancer.clone().prop_map(|nth| Step::LeaveBalancer { nth }),
        4 => balancer.clone().prop_map(|nth| Step::WithdrawBalancer { nth }),
        1 => balancer.clone().prop_map(|nth| Step::StopBalancer { nth }),
        2 => balancer.clone().prop_map(|nth| Step::StartBalancer { nth }),
        1 => balancer.clone().prop_map(|nth| Step::StartWithoutList { nth }),
        1 => balancer.clone().prop_map(|nth| Step::ReadList { nth }),
        1 => balancer.clone().prop_map(|nth| Step::LoseAnnouncement { nth }),
        2 => balancer.prop_map(|nth| Step::CutOff { nth }),
        2 => Just(Step::Heal),
        8 => agent.clone().prop_map(|nth| Step::StartAgent { nth }),
        1 => agent.clone().prop_map(|nth| Step::StopAgent { nth }),
        1 => agent.prop_map(|nth| Step::CrashHost { nth }),
        8 => prop_oneof![4 => 1..30_u64, 4 => 200..900_u64, 1 => 2_000..4_000_u64]
            .prop_map(|millis| Step::Wait { millis }),
    ]
}

fn apply(world: &mut world::StreamWorld, step: &Step) {
    let runs = |world: &world::StreamWorld, nth: u8| {
        world.balancers.contains_key(&world::balancer_address(nth))
    };
    match *step {
        Step::Open { caller } => {
            let key = world::key(caller, 0);
            // A caller reuses its port only after the stream has ended.
            if world.callers.get(&key).is_none_or(|view| view.first.is_none()) {
                world.open(key, 0);
            }
        }
        Step::Send { caller } => {
            let key = world::key(caller, 0);
            if world.callers.get(&key).is_some_and(|view| view.first.is_some()) {
                world.send(key);
            }
        }
        Step::SwitchBalancer { nth } => world.entry_balancer = world::balancer_address(nth),
        Step::LeaveBalancer { nth } => world.leave_balancer(nth),
        Step::WithdrawBalancer { nth } => {
            world.leave_balancer(nth);
            world.withdraw_balancer(nth);
        }
        Step::StopBalancer { nth } => {
            world.withdraw_balancer(nth);
            world.balancers.remove(&world::balancer_address(nth));
        }
        Step::StartBalancer { nth } => world.start_balancer(nth),
        Step::StartWithoutList { nth } => world.start_balancer_without_members(nth),
        Step::ReadList { nth } if runs(world, nth) => {
            world.deliver_members(world::balancer_address(nth));
        }
        Step::ReadList { .. } => {}
        Step::LoseAnnouncement { nth } => world.lose_announcement(nth),
        Step::CutOff { nth } => drop(world.partitioned.insert(world::balancer_address(nth))),
        Step::Heal => world.heal(),
        Step::StartAgent { nth } => {
            if !world.hosts.contains_key(&world::agent_address(nth)) {
                world.start_host(nth, "wallet", SLOTS);
            }
            world.start_agent(nth, "wallet");
        }
        Step::StopAgent { nth } => world.remove_agent(nth),
        Step::CrashHost { nth } => {
            if world.hosts.contains_key(&world::agent_address(nth)) {
                world.start_host(nth, "wallet", SLOTS);
            }
        }
        Step::Wait { millis } => world.advance(millis),
    }
}

/// Starts what has stopped, ends all faults, and checks that every stream answers or has been reset.
fn settle(world: &mut world::StreamWorld) {
    world.heal();
    for nth in 1..=BALANCERS {
        world.start_balancer(nth);
    }
    for nth in 1..=AGENTS {
        let agent = world::agent_address(nth);
        if world.hosts.contains_key(&agent) && !world.agents.contains_key(&agent) {
            world.start_agent(nth, "wallet");
        }
    }
    world.advance(SETTLE_MS);
    let keys: Vec<_> = world.callers.keys().copied().collect();
    for (key, nth) in keys.into_iter().zip((1..=BALANCERS).cycle()) {
        world.entry_balancer = world::balancer_address(nth);
        let Some(first) = world.view(key).first else { continue };
        let is_held = world.hosts.values().any(|host| host.held.get(&key) == Some(&first));
        // A backend server ignores segments of a stream whose answer the caller did not accept.
        let is_half_open = !is_held && !world.holders(key).is_empty();
        let before = world.view(key).answers;
        // Callers retransmit unanswered requests.
        for _ in 0..3 {
            if is_held || world.view(key).resets == 0 {
                world.send(key);
            }
            world.advance(300);
        }
        match is_held {
            true => assert!(world.view(key).answers > before, "{key} is held but does not answer"),
            false if is_half_open => {}
            false => assert!(world.view(key).resets > 0, "{key} is held nowhere but is not reset"),
        }
    }
}

/// No open stream may be reset by a balancer that does not know its agent, whichever of the two started,
/// left, withdrew its announcement or was cut off before.
#[test]
fn members_hold() {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|text| text.parse().ok());
    let config = test_runner::Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        ..test_runner::Config::default()
    };
    let rng = test_runner::TestRng::deterministic_rng(test_runner::RngAlgorithm::ChaCha);
    let mut runner = test_runner::TestRunner::new_with_rng(config, rng);
    let result = runner.run(&proptest::collection::vec(step(), 1..60), |steps| {
        let mut world = world::StreamWorld::with_hosts(FIRST_AGENTS, SLOTS);
        world.start_balancer(BALANCERS);
        world.advance(500);
        for step in &steps {
            apply(&mut world, step);
        }
        settle(&mut world);
        Ok(())
    });
    if let Err(error) = result {
        panic!("{error}");
    }
}
