//! Configurations that move an entry to another service while streams of the former one are open.
//!
//! The comment of each test names the failure that it guards against.

mod stream_world;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::balancer::service_history;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::segment;

use stream_world as world;

/// The agent and backend server of `preview`; the first three are of `wallet`.
const PREVIEW_AGENT: u8 = 4;

/// The generation of the configuration in force where there is no world.
const GENERATION: ids::ConfigGeneration = ids::ConfigGeneration(2);

/// How long a stream from before a change may be open after it, in milliseconds.
const RETENTION_MS: u64 = 70_000;

/// Brings a configuration into force in which the first entry belongs to this service.
fn move_entry(world: &mut world::StreamWorld, generation: u64, service: &str) {
    let routes: [(&str, &[u16]); 2] = match service {
        "wallet" => [("wallet", &[0, 1]), ("preview", &[5])],
        _ => [("wallet", &[1]), ("preview", &[0, 5])],
    };
    world.set_config(world::config(generation, &routes));
    world.advance(1_000);
}

/// Two balancers, three agents of `wallet` and one of `preview`.
fn two_services() -> world::StreamWorld {
    let mut world = world::StreamWorld::with_three_hosts();
    world.start_host(PREVIEW_AGENT, "preview", 16);
    world.start_agent(PREVIEW_AGENT, "preview");
    world.advance(1_000);
    world
}

/// Opens streams at the first entry through the first balancer.
fn open(world: &mut world::StreamWorld, callers: std::ops::Range<u16>) -> Vec<segment::StreamKey> {
    world.entry_balancer = world::balancer_address(1);
    let keys: Vec<_> = callers.map(|caller| world::key(caller, 0)).collect();
    for key in &keys {
        world.open(*key, 0);
        world.advance(10);
        assert!(world.view(*key).first.is_some(), "{key} is not opened");
    }
    keys
}

/// Sends a request on each stream through a balancer, and checks that all are answered.
fn check_answers(world: &mut world::StreamWorld, keys: &[segment::StreamKey], balancer: u8) {
    world.entry_balancer = world::balancer_address(balancer);
    for key in keys {
        let before = world.view(*key).answers;
        world.send(*key);
        world.advance(300);
        let view = world.view(*key);
        assert_eq!((view.answers, view.resets), (before + 1, 0), "{key} through {balancer}");
    }
}

/// Opens a stream whose backend server then loses it, and whose agent does not know that.
fn lose_stream(world: &mut world::StreamWorld, caller: u16) -> segment::StreamKey {
    let dead = open(world, caller..caller + 1)[0];
    let holder = world.holders(dead)[0];
    let service = if holder == PREVIEW_AGENT { "preview" } else { "wallet" };
    world.start_host(holder, service, 16);
    world.start_agent(holder, service);
    world.advance(1_000);
    dead
}

/// Sends a segment of a stream that no backend server holds through a balancer, and checks that its caller
/// is reset within a round trip to agents and backend servers.
fn check_reset(world: &mut world::StreamWorld, dead: segment::StreamKey, balancer: u8) {
    let before = world.view(dead).resets;
    world.entry_balancer = world::balancer_address(balancer);
    world.send(dead);
    world.advance(20);
    assert_eq!(world.view(dead).resets, before + 1, "a dead stream is not reset");
}

/// Open streams are reset when a configuration moves their entry, by the balancer that knows their holder
/// or by one that searches for it.
#[test]
fn open_streams_kept() {
    let mut world = two_services();
    let dead = lose_stream(&mut world, 50);
    let former = open(&mut world, 0..8);
    move_entry(&mut world, 2, "preview");
    check_answers(&mut world, &former, 1);
    check_answers(&mut world, &former, 2);
    let new = open(&mut world, 20..28);
    assert!(new.iter().all(|key| world.holders(*key) == [PREVIEW_AGENT]));
    check_answers(&mut world, &new, 2);
    for balancer in [1, 2] {
        check_reset(&mut world, dead, balancer);
    }
}

/// A balancer that starts after the change has never seen the former service, and resets its streams.
#[test]
fn balancer_started_after() {
    let mut world = two_services();
    let dead = lose_stream(&mut world, 50);
    let former = open(&mut world, 0..8);
    move_entry(&mut world, 2, "preview");
    world.start_balancer(2);
    world.advance(500);
    check_answers(&mut world, &former, 2);
    check_reset(&mut world, dead, 2);
    // Now none that runs has seen the change happen.
    world.start_balancer(1);
    world.advance(500);
    world.start_balancer(2);
    world.advance(500);
    for balancer in [1, 2] {
        check_answers(&mut world, &former, balancer);
        check_reset(&mut world, dead, balancer);
    }
}

/// After all balancers have started again at the same time, none of them knows the former service.
#[test]
fn all_balancers_started() {
    let mut world = two_services();
    let dead = lose_stream(&mut world, 50);
    let former = open(&mut world, 0..8);
    move_entry(&mut world, 2, "preview");
    for nth in [1, 2] {
        world.balancers.remove(&world::balancer_address(nth));
    }
    for nth in [1, 2] {
        world.start_balancer(nth);
    }
    world.advance(500);
    for balancer in [1, 2] {
        check_answers(&mut world, &former, balancer);
        check_reset(&mut world, dead, balancer);
    }
}

/// After a total power loss no balancer knows of earlier changes, and the searches for all dead streams ask
/// the agents of every service.
#[test]
fn power_loss() {
    let mut world = two_services();
    let dead = open(&mut world, 0..8);
    for (nth, service) in [(1, "wallet"), (2, "wallet"), (3, "wallet"), (PREVIEW_AGENT, "preview")]
    {
        world.crash_host(nth);
        world.start_agent(nth, service);
    }
    for nth in [1, 2] {
        world.balancers.remove(&world::balancer_address(nth));
    }
    for nth in [1, 2] {
        world.start_balancer(nth);
    }
    world.advance(500);
    world.messages_sent_to.clear();
    for key in dead {
        check_reset(&mut world, key, 2);
    }
    let asked = |nth| world.messages_sent_to.get(&(world::agent_address(nth), "find")).copied();
    assert_eq!([asked(1), asked(PREVIEW_AGENT)], [Some(8), Some(1)]);
}

/// Several changes in a row, one of them back, reset the streams that opened in between.
#[test]
fn changes_in_a_row() {
    let mut world = two_services();
    let mut open_keys = open(&mut world, 0..4);
    for (generation, service) in [(2, "preview"), (3, "wallet"), (4, "preview"), (5, "wallet")] {
        move_entry(&mut world, generation, service);
        let callers = 10 * generation as u16;
        open_keys.extend(open(&mut world, callers..callers + 4));
        for balancer in [1, 2] {
            check_answers(&mut world, &open_keys, balancer);
        }
    }
    world.start_balancer(2);
    world.advance(500);
    check_answers(&mut world, &open_keys, 2);
}

/// A balancer that was cut off during a change and the change back sees neither, and resets the streams
/// that opened in between.
#[test]
fn change_missed() {
    let mut world = two_services();
    world.partitioned.insert(world::balancer_address(2));
    world.advance(2_000);
    move_entry(&mut world, 2, "preview");
    let between = open(&mut world, 0..4);
    assert!(between.iter().all(|key| world.holders(*key) == [PREVIEW_AGENT]));
    move_entry(&mut world, 3, "wallet");
    world.heal();
    world.advance(1_000);
    check_answers(&mut world, &between, 2);
}

/// The same, where it was cut off too briefly for others to take it for unreachable.
#[test]
fn change_missed_briefly() {
    let mut world = two_services();
    world.partitioned.insert(world::balancer_address(2));
    world.set_config(world::config(2, &[("wallet", &[1]), ("preview", &[0, 5])]));
    world.advance(200);
    let between = open(&mut world, 0..4);
    assert!(between.iter().all(|key| world.holders(*key) == [PREVIEW_AGENT]));
    world.set_config(world::config(3, &[("wallet", &[0, 1]), ("preview", &[5])]));
    world.advance(200);
    world.heal();
    world.advance(500);
    check_answers(&mut world, &between, 2);
}

/// The agent of a stream restarts after the change and does not know the stream, so it takes a segment for
/// one of another service and returns it.
#[test]
fn agent_restarted() {
    let mut world = two_services();
    let former = open(&mut world, 0..6);
    move_entry(&mut world, 2, "preview");
    for nth in 1..=3 {
        world.start_agent(nth, "wallet");
    }
    world.advance(500);
    check_answers(&mut world, &former, 1);
    world.start_balancer(2);
    world.advance(500);
    check_answers(&mut world, &former, 2);
}

/// A balancer labels a segment with the service that its configuration names for the entry, or that it
/// knows the address by from before; the agent that holds the stream, or may hold it, returns the segment.
#[test]
fn other_label() {
    let mut world = two_services();
    let key = open(&mut world, 0..1)[0];
    let holder = world.holders(key)[0];
    world.send_labelled(key, holder, "preview");
    world.advance(300);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
    world.start_agent(holder, "wallet");
    world.advance(300);
    world.send_labelled(key, holder, "preview");
    world.advance(300);
    assert_eq!((world.view(key).answers, world.view(key).resets), (2, 0));
}

/// A copy of an opening crosses the change and opens the stream at a second backend server, of the new
/// service; the stream then hangs or is reset.
#[test]
fn copy_crosses_change() {
    let mut world = two_services();
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(3);
    world.set_config(world::config(2, &[("wallet", &[1]), ("preview", &[0, 5])]));
    world.deliver_config(world::balancer_address(1));
    world.deliver_config(world::balancer_address(2));
    world.entry_balancer = world::balancer_address(2);
    world.open(key, 1);
    world.advance(300);
    for balancer in [1, 2] {
        check_answers(&mut world, &[key], balancer);
    }
}

/// A balancer that knows of a newer configuration but has not received it searches the former service alone,
/// and resets streams of the new one.
#[test]
fn older_configuration() {
    let mut world = two_services();
    let [first, second] = [1, 2].map(world::balancer_address);
    world.set_config(world::config(2, &[("wallet", &[1]), ("preview", &[0, 5])]));
    for process in [first, world::agent_address(PREVIEW_AGENT)] {
        world.blocked_links.insert((process, second));
        world.deliver_config(process);
    }
    let new = open(&mut world, 0..1);
    world.blocked_links.clear();
    let generation = ids::ConfigGeneration(2);
    let newer_report = message::StreamMessage::Balancer(message::BalancerReport {
        data_centre: ids::hash_data_centre("near"),
        generation,
        is_leaving: false,
        reaches_platform: true,
        reachable_centres: Vec::new(),
        evacuations: Default::default(),
        store_epoch: Default::default(),
        wants_reports: true,
    });
    let event = stream::StreamEvent::Message { from: first, message: &newer_report, head: None };
    let mut actions = Vec::new();
    let balancer = world.balancers.get_mut(&second).expect("the balancer runs");
    balancer.handle(world.now, event, &mut actions);
    assert!(actions.contains(&stream::StreamAction::FetchConfig(first)));
    assert_ne!(balancer.config_state().generation(), generation);
    check_answers(&mut world, &new, 2);
}

/// A search asks agents of services that the entry has not had, which multiplies its messages.
#[test]
fn other_services_not_asked() {
    let mut world = two_services();
    let asked = |world: &world::StreamWorld| {
        let count = world.messages_sent_to.get(&(world::agent_address(PREVIEW_AGENT), "find"));
        count.copied().unwrap_or_default()
    };
    let keys = open(&mut world, 0..4);
    check_answers(&mut world, &keys, 2);
    world.start_balancer(2);
    world.advance(500);
    check_answers(&mut world, &keys, 2);
    assert_eq!(asked(&world), 0);
    move_entry(&mut world, 2, "preview");
    move_entry(&mut world, 3, "wallet");
    world.start_balancer(2);
    world.advance(500);
    check_answers(&mut world, &keys, 2);
    assert_eq!(asked(&world), 4);
    world.advance(RETENTION_MS);
    let dead = lose_stream(&mut world, 50);
    check_reset(&mut world, dead, 2);
    assert_eq!(asked(&world), 4);
}

fn state(generation: u64, entries: &[u16], other: &[u16]) -> config::ConfigState {
    let mut state = config::ConfigState::default();
    state.advance(&world::config(generation, &[("wallet", entries), ("preview", other)]));
    state
}

/// A history counts as complete that lacks changes, or never does.
#[test]
fn history() {
    let at = |millis: u64| ids::UnixMillis(1_000_000 + millis);
    let [wallet, preview] = ["wallet", "preview"].map(ids::ServiceId::of_name);
    let scope = |history: &service_history::ServiceHistory, now| {
        history.scope(world::entry(0), Some(preview), GENERATION, at(now))
    };
    let since_start = service_history::ServiceScope::Undenied(GENERATION, vec![preview]);
    let narrow = service_history::ServiceScope::Of(vec![preview]);
    let both = service_history::ServiceScope::Of(vec![preview, wallet]);
    let (old, new) = (state(1, &[0], &[5]), state(2, &[], &[0, 5]));
    let none = config::ConfigState::default();

    let mut veteran = service_history::ServiceHistory::new(60, true);
    assert_eq!(scope(&veteran, 1_000), since_start);
    assert!(!veteran.on_config(&none, &old, at(1_000)));
    assert_eq!(scope(&veteran, 1_000), narrow);
    assert!(veteran.on_config(&old, &new, at(2_000)));
    assert_eq!(scope(&veteran, 2_000), both);
    assert!(!veteran.is_settled_since(world::entry(0), at(2_000)));
    assert!(veteran.is_settled_since(world::entry(0), at(2_001)));
    assert!(veteran.is_settled_since(world::entry(5), at(1_500)));

    let mut newcomer = service_history::ServiceHistory::new(60, false);
    newcomer.on_config(&none, &new, at(3_000));
    assert_eq!(scope(&newcomer, 3_000), since_start);
    assert!(veteran.knows_more_than(&newcomer.message(new.generation(), at(3_000)), at(3_000)));
    let behind = veteran.message(old.generation(), at(3_000));
    newcomer.merge(&behind, at(3_000));
    let both_since_start =
        service_history::ServiceScope::Undenied(GENERATION, vec![preview, wallet]);
    assert_eq!(scope(&newcomer, 3_000), both_since_start);
    assert!(!newcomer.merge(&veteran.message(new.generation(), at(3_100)), at(3_100)));
    assert_eq!(scope(&newcomer, 3_100), both);
    assert!(!newcomer.knows_more_than(&veteran.message(new.generation(), at(3_100)), at(3_100)));

    let mut alone = service_history::ServiceHistory::new(60, false);
    alone.on_config(&none, &new, at(3_000));
    assert_eq!(scope(&alone, 3_000 + RETENTION_MS - 1), since_start);
    assert_eq!(scope(&alone, 3_000 + RETENTION_MS), narrow);
    veteran.expire(at(2_000 + RETENTION_MS));
    assert_eq!(scope(&veteran, 2_000 + RETENTION_MS), narrow);

    // The knowledge of others that arrives before the first configuration counts as well.
    let mut early = service_history::ServiceHistory::new(60, false);
    early.merge(&newcomer.message(new.generation(), at(4_000)), at(4_000));
    early.on_config(&none, &new, at(4_100));
    assert_eq!(scope(&early, 4_100), both);
}

/// More changes than one message holds make it too long, or are forgotten without a trace.
#[test]
fn history_bounded() {
    const ENTRIES: u16 = 300;
    let at = |millis: u64| ids::UnixMillis(1_000_000 + millis);
    let entries: Vec<u16> = (0..ENTRIES).collect();
    let mut history = service_history::ServiceHistory::new(60, true);
    let (old, new) = (state(1, &entries, &[]), state(2, &[], &entries));
    history.on_config(&config::ConfigState::default(), &old, at(1_000));
    history.on_config(&old, &new, at(2_000));
    let changes = history.message(new.generation(), at(2_000)).changes;
    assert_eq!(changes.len(), message::MAX_SERVICE_CHANGES);
    let preview = ids::ServiceId::of_name("preview");
    for entry in [0, ENTRIES - 1] {
        let scope = history.scope(world::entry(entry), Some(preview), GENERATION, at(2_000));
        let wallet = ids::ServiceId::of_name("wallet");
        assert!(scope.contains(wallet, None));
        assert!(scope.contains(wallet, Some(ids::ConfigGeneration(GENERATION.0 - 1))));
    }
    assert!(!history.is_settled_since(world::entry(0), at(1_500)));
}
