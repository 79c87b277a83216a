//! Requests under every failure at once, against the oracle.
//!
//! `PROPTEST_CASES=20000 cargo test -p rosemaryusher-core --release --test request_fuzz` runs for
//! longer; CI runs the default number of cases with a fixed seed.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod world;

use std::sync::atomic;

use proptest::prelude::*;
use proptest::test_runner;
use proptest_state_machine::ReferenceStateMachine;
use proptest_state_machine::StateMachineTest;

use world::RunEnding;
use world::World;

const CALLERS: usize = 4;
const AGENTS_EACH: usize = 3;

#[derive(Clone, Debug)]
pub(crate) enum Step {
    Post { caller: usize },
    Get { caller: usize },
    Resubmit { caller: usize },
    GiveUp { caller: usize },
    Deliver { place: usize, balancer: usize },
    DeliverAll,
    Repeat { place: usize, balancer: usize },
    Lose { place: usize },
    EndRun { place: usize, ending: RunEnding },
    Advance { millis: u64 },
    Gossip { process: usize },
    GossipAll,
    Kill { host: usize },
    Restart { host: usize, service: usize },
    Freeze { process: usize },
    Wake { process: usize },
    Drain { host: usize },
    FinishDrain { host: usize },
    DrainOut { host: usize },
    Replace { host: usize, service: usize },
    KillBalancer { balancer: usize },
    StartBalancer,
    Apply { largest: [u32; 2] },
    Watch { process: usize },
    Platform { is_down: bool },
}

/// Any step may come at any time, so there is nothing to keep track of.
struct AnySteps;

impl ReferenceStateMachine for AnySteps {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions(_: &()) -> BoxedStrategy<Step> {
        let caller = 0..CALLERS;
        let host = 0..2 * AGENTS_EACH;
        let process = 0..2 * AGENTS_EACH + 3;
        let ending = prop_oneof![
            6 => Just(RunEnding::Answered),
            1 => Just(RunEnding::Broken),
            1 => Just(RunEnding::Shed),
        ];
        prop_oneof![
            8 => caller.clone().prop_map(|caller| Step::Post { caller }),
            3 => caller.clone().prop_map(|caller| Step::Get { caller }),
            5 => caller.clone().prop_map(|caller| Step::Resubmit { caller }),
            1 => caller.prop_map(|caller| Step::GiveUp { caller }),
            30 => (any::<usize>(), 0..3usize)
                .prop_map(|(place, balancer)| Step::Deliver { place, balancer }),
            16 => Just(Step::DeliverAll),
            6 => (any::<usize>(), 0..3usize)
                .prop_map(|(place, balancer)| Step::Repeat { place, balancer }),
            3 => any::<usize>().prop_map(|place| Step::Lose { place }),
            14 => (any::<usize>(), ending)
                .prop_map(|(place, ending)| Step::EndRun { place, ending }),
            4 => prop_oneof![Just(60u64), Just(400), Just(2_500), Just(6_000), Just(310_000)]
                .prop_map(|millis| Step::Advance { millis }),
            4 => process.clone().prop_map(|process| Step::Gossip { process }),
            3 => Just(Step::GossipAll),
            1 => host.clone().prop_map(|host| Step::Kill { host }),
            2 => (host.clone(), 0..2usize)
                .prop_map(|(host, service)| Step::Restart { host, service }),
            1 => process.clone().prop_map(|process| Step::Freeze { process }),
            3 => process.clone().prop_map(|process| Step::Wake { process }),
            1 => host.clone().prop_map(|host| Step::Drain { host }),
            2 => host.clone().prop_map(|host| Step::FinishDrain { host }),
            2 => host.clone().prop_map(|host| Step::DrainOut { host }),
            2 => (host, 0..2usize).prop_map(|(host, service)| Step::Replace { host, service }),
            1 => (0..3usize).prop_map(|balancer| Step::KillBalancer { balancer }),
            1 => Just(Step::StartBalancer),
            1 => [4u32..64, 4u32..64].prop_map(|largest| Step::Apply { largest }),
            2 => process.prop_map(|process| Step::Watch { process }),
            1 => any::<bool>().prop_map(|is_down| Step::Platform { is_down }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct RequestTest;

impl StateMachineTest for RequestTest {
    type SystemUnderTest = World;
    type Reference = AnySteps;

    fn init_test((): &()) -> World {
        let mut world = World::settled(2, AGENTS_EACH);
        world.add_callers(CALLERS);
        world
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        take_step(&mut world, step);
        world
    }

    fn teardown(mut world: World, (): ()) {
        converge(&mut world);
        TALLY.add(&world);
    }
}

fn take_step(world: &mut World, step: Step) {
    match step {
        Step::Post { caller } => world.post(caller),
        Step::Get { caller } => world.get(caller),
        Step::Resubmit { caller } => world.resubmit(caller),
        Step::GiveUp { caller } => world.give_up(caller),
        Step::Deliver { place, balancer } if !world.bag.is_empty() => {
            let parcel = world.bag.remove(place % world.bag.len());
            world.deliver(parcel, balancer);
        }
        Step::Repeat { place, balancer } if !world.bag.is_empty() => {
            let parcel = world.bag[place % world.bag.len()].clone();
            world.deliver(parcel, balancer);
        }
        Step::Lose { place } if !world.bag.is_empty() => {
            let place = place % world.bag.len();
            world.bag.remove(place);
        }
        Step::Deliver { .. } | Step::Repeat { .. } | Step::Lose { .. } => {}
        Step::DeliverAll => world.deliver_all(),
        Step::EndRun { place, ending } => world.end_any_run(place, ending),
        Step::Advance { millis } => world.advance(millis),
        Step::Gossip { process } if process < world.process_count() => world.gossip(process),
        Step::Gossip { .. } => {}
        Step::GossipAll => world.gossip_all(),
        Step::Kill { host } => world.agents[host].control.is_running = false,
        Step::Restart { host, service } if !world.agents[host].control.is_running => {
            world.restart_agent(host, service);
        }
        Step::Restart { .. } => {}
        Step::Freeze { process } => set_frozen(world, process, true),
        Step::Wake { process } => set_frozen(world, process, false),
        Step::Drain { host } => world.drain(host),
        Step::FinishDrain { host } => world.finish_drain(host),
        Step::DrainOut { host } => {
            world.drain(host);
            while !world.agents[host].running.is_empty() && world.agents[host].control.is_up() {
                world.end_run(host, 0, RunEnding::Answered);
            }
            world.finish_drain(host);
        }
        Step::Replace { host, service } => world.restart_agent(host, service),
        Step::KillBalancer { balancer } if balancer < world.balancers.len() => {
            world.balancers[balancer].control.is_running = false;
        }
        Step::KillBalancer { .. } => {}
        Step::StartBalancer if world.balancers.len() < 6 => world.start_balancer(),
        Step::StartBalancer => {}
        Step::Apply { largest } => world.race_operators(largest),
        Step::Watch { process } if process < world.process_count() => world.watch(process),
        Step::Watch { .. } => {}
        Step::Platform { is_down } => world.platform_is_down = is_down,
    }
}

fn set_frozen(world: &mut World, process: usize, is_frozen: bool) {
    match process.checked_sub(world.agents.len()) {
        None => world.agents[process].control.is_frozen = is_frozen,
        Some(balancer) if balancer < world.balancers.len() => {
            world.balancers[balancer].control.is_frozen = is_frozen;
        }
        Some(_) => {}
    }
}

/// Once failures end and messages flow, every process has the newest configuration.
fn converge(world: &mut World) {
    world.platform_is_down = false;
    for process in 0..world.process_count() {
        set_frozen(world, process, false);
    }
    if let Some(first) = (0..world.process_count()).find(|p| world.control(*p).is_up()) {
        world.watch(first);
    }
    for round in 0..40 {
        // Groups that have lost sight of each other meet again by the announcements.
        if round == 10 {
            world.reunite();
        }
        world.rejoin_alone();
        world.gossip_all();
        world.deliver_all();
        world.advance(600);
    }
    for process in 0..world.process_count() {
        let control = world.control(process);
        let is_behind = control.state.generation() != world.platform.generation;
        assert!(!control.is_up() || !is_behind, "process {process} stays behind");
    }
}

/// What all cases together came to: a test in which nothing happens cannot fail.
struct RunTally {
    cases: atomic::AtomicU64,
    answered: atomic::AtomicU64,
    refused: atomic::AtomicU64,
    unknown: atomic::AtomicU64,
    conflicts: atomic::AtomicU64,
}

static TALLY: RunTally = RunTally {
    cases: atomic::AtomicU64::new(0),
    answered: atomic::AtomicU64::new(0),
    refused: atomic::AtomicU64::new(0),
    unknown: atomic::AtomicU64::new(0),
    conflicts: atomic::AtomicU64::new(0),
};

impl RunTally {
    fn add(&self, world: &World) {
        let order = atomic::Ordering::Relaxed;
        self.cases.fetch_add(1, order);
        self.answered.fetch_add(world.book.answered, order);
        self.refused.fetch_add(world.book.refused, order);
        self.unknown.fetch_add(world.book.unknown, order);
        self.conflicts.fetch_add(world.book.conflicts, order);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: test_runner::RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..ProptestConfig::default()
    })]

    fn check_requests(
        (initial, steps, counter) in AnySteps::sequential_strategy(1..300)
    ) {
        RequestTest::test_sequential(ProptestConfig::default(), initial, steps, counter);
    }
}

#[test]
fn requests_hold() {
    check_requests();
    let count = |counter: &atomic::AtomicU64| counter.load(atomic::Ordering::Relaxed);
    let tallied = [&TALLY.answered, &TALLY.refused, &TALLY.unknown, &TALLY.conflicts].map(count);
    println!("{} cases; answered, refused, unknown, conflicts: {tallied:?}", count(&TALLY.cases));
    assert!(tallied.iter().all(|count| *count > 0), "some outcome never came up: {tallied:?}");
}
