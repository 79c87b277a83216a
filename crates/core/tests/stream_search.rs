//! The search for streams that a balancer has never seen, among many backend servers.

mod stream_world;

use stream_world as world;

/// More backend servers than the calm world's three.
const HOSTS: u8 = 12;

/// Everything loses power, and a caller sends its next request on a stream of a run that is dead.
/// Each agent has just started and cannot tell what its backend server holds, so the segment is
/// handed to all of them. One by one, the caller would wait for as many round trips as there are
/// hosts; at once, it is reset after two, and tries again within its aim.
#[test]
fn dead_everywhere() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.lose_power(1..=HOSTS);
    world.start_balancer(2);
    world.advance(500);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// The same, but one of the hosts says that it leaves, and its machine is taken away for good. What
/// it held has ended with it; a balancer that waited for its word could not tell the caller.
#[test]
fn one_has_left() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.lose_power(1..=HOSTS);
    world.advance(500);
    let leaver = (1..=HOSTS).find(|nth| !world.holders(key).contains(nth)).unwrap();
    world.leave_host(leaver);
    world.advance(20);
    world.remove_agent(leaver);
    world.advance(500);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A living stream is searched for while no agent can tell: its segment goes to all, one backend
/// server keeps it and answers, and the caller's further segments go there alone.
#[test]
fn found_among_many() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    for nth in 1..=HOSTS {
        world.start_agent(nth, "wallet");
    }
    world.start_balancer(1);
    world.advance(500);
    for answers in 1..=3 {
        world.send(key);
        world.advance(100);
        assert_eq!((world.view(key).answers, world.view(key).resets), (answers, 0));
    }
}

/// Callers of dead streams send their next requests all at once while new streams are opened. The
/// segments that are handed round are no work: a host that counted them would look full, and
/// openings would be refused though every slot is free. The agents were killed once more, so that none
/// of them can tell without its host.
#[test]
fn search_is_no_work() {
    let mut world = world::StreamWorld::with_hosts(8, 2);
    for caller in 0..40 {
        world.open(world::key(caller, 0), 0);
        world.advance(30);
    }
    world.lose_power(1..=8);
    world.advance(500);
    for nth in 1..=8 {
        world.start_agent(nth, "wallet");
        world.host(nth).give_back_ms = 100;
    }
    world.advance(500);
    for caller in 0..40 {
        world.send(world::key(caller, 0));
    }
    world.advance(5);
    for caller in 100..112 {
        world.open(world::key(caller, 0), 0);
        world.advance(1);
    }
    world.advance(50);
    for caller in 100..112 {
        let view = world.view(world::key(caller, 0));
        assert!(view.first.is_some(), "caller {caller} is refused");
    }
}

/// A caller's opening is sent to an agent that is cut off at that moment, and a copy opens the stream
/// elsewhere through another balancer. The first balancer sends the caller's segments where the
/// opening went; the backend server there gives them back, and the stream is found.
#[test]
fn opening_lost() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(1, 0);
    let agents: Vec<_> = (1..=3).map(world::agent_address).collect();
    world.cut.extend(&agents);
    world.open(key, 0);
    world.advance(20);
    world.heal();
    let placed = world.placed(key);
    world.hang_host(placed, true);
    world.entry_balancer = world::balancer_address(2);
    world.open(key, 1);
    world.advance(300);
    world.hang_host(placed, false);
    world.entry_balancer = world::balancer_address(1);
    world.send(key);
    world.advance(200);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// Everything loses power, and one machine does not come back; its announcement stays. A caller
/// sends its next request on a stream of a run that is dead. The balancer has never heard the
/// agent that is lost: after two seconds it no longer waits for its word.
#[test]
fn lost_machine() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.host(HOSTS).is_dark = true;
    world.remove_agent(HOSTS);
    world.lose_power(1..HOSTS);
    world.advance(1_500);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 0, "an agent that restarts may take as long");
    world.advance(600);
    world.send(key);
    world.advance(10);
    assert_eq!(world.view(key).resets, 1);
}

/// A balancer starts while it is cut off. When the cut ends it hears one agent a moment before the
/// others, and a segment of an open stream comes in between. The others are not lost: their reports
/// are on the way, and the stream goes on.
#[test]
fn reached_again() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    let first = if holder == 1 { 2 } else { 1 };
    world.cut.extend((1..=HOSTS).map(world::agent_address));
    world.start_balancer(1);
    world.advance(3_000);
    world.cut.remove(&world::agent_address(first));
    world.advance(250);
    world.send(key);
    world.advance(200);
    assert_eq!(world.view(key).resets, 0);
    world.heal();
    world.advance(250);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// A balancer has just started and has heard some agents, while the list of all is on its way from the
/// platform. A segment of an open stream comes, and the agents heard so far are asked. The list
/// arrives before their denials do: the others were never asked, one of them holds the stream, and
/// its caller must not be reset.
#[test]
fn asked_too_few() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.placed(key);
    world.cut.insert(world::agent_address(holder));
    world.boot_balancer(1);
    // Every agent but the holder reports within this time.
    world.advance(150);
    world.heal();
    world.send(key);
    world.advance(2);
    world.read_members(world::balancer_address(1));
    world.advance(20);
    assert_eq!(world.view(key).resets, 0);
    world.advance(200);
    world.send(key);
    world.advance(100);
    assert_eq!((world.view(key).answers, world.view(key).resets), (1, 0));
}

/// Everything loses power, and the callers of many streams go on sending. Each agent has heard the
/// first report of its backend server's run, so it knows that the streams are nowhere: callers are
/// told within a round trip, and no backend server is handed a segment to deny. Handed to all, these
/// segments filled the links while new openings waited.
#[test]
fn dead_and_sure() {
    const STREAMS: u16 = 30;
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    for caller in 0..STREAMS {
        world.open(world::key(caller, 0), 0);
        world.advance(5);
    }
    world.lose_power(1..=HOSTS);
    world.start_balancer(2);
    world.advance(300);
    for caller in 0..STREAMS {
        world.send(world::key(caller, 0));
    }
    world.advance(10);
    let is_told = |caller: &u16| world.callers[&world::key(*caller, 0)].resets == 1;
    assert_eq!((0..STREAMS).filter(is_told).count(), usize::from(STREAMS));
    assert_eq!(world.hosts.values().map(|host| host.strangers).sum::<u64>(), 0);
}

/// The same, and the agents are killed once more: they are younger than what their backend servers
/// hold and cannot tell. The segments go to all hosts, which deny them, and the callers are told.
#[test]
fn dead_and_unsure() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.lose_power(1..=HOSTS);
    world.advance(2 * world::HOST_REPORT_MS);
    for nth in 1..=HOSTS {
        world.start_agent(nth, "wallet");
    }
    world.advance(2 * world::HOST_REPORT_MS);
    world.send(key);
    world.advance(20);
    assert_eq!(world.view(key).resets, 1);
    let strangers: u64 = world.hosts.values().map(|host| host.strangers).sum();
    assert_eq!(strangers, u64::from(HOSTS));
}

/// Everything loses power, and one machine does not come back: its announcement is left behind. A caller
/// sends on its dead stream a moment after the return. The machine does not answer any connection, so
/// nobody waits for its agent's word, and the caller can try again within its aim.
#[test]
fn machine_without_power() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.lose_machine(HOSTS);
    world.lose_power(1..HOSTS);
    world.start_balancer(2);
    world.advance(400);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 1);
}

/// The same on thin machines: agents start later than their backend servers and hear their reports 2 and
/// 3 first, so that none has seen its backend server start. What these say of their slow start tells.
#[test]
fn starts_not_seen() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let mut delta = world::config(2, &[("wallet", &[0, 1]), ("preview", &[5])]);
    delta.changed[0].1.rules.slow_start_s = 2;
    world.set_config(delta);
    world.advance(300);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    world.lose_machine(HOSTS);
    world.has_births = false;
    world.lose_power(1..HOSTS);
    world.start_balancer(2);
    for nth in 1..HOSTS {
        let slow_until = world.now.plus(2_000);
        let host = world.host(nth);
        host.reports = 2;
        host.slow_until = slow_until;
    }
    world.advance(400);
    world.send(key);
    world.advance(300);
    assert_eq!(world.view(key).resets, 1);
}

/// The same, and the machine has power: its agent is being restarted beside a backend server that lives and
/// holds the stream. The machine refuses connections, so the agent's word is waited for, and the stream
/// goes on.
#[test]
fn machine_refuses() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world.holders(key)[0];
    world.remove_agent(holder);
    world.start_balancer(1);
    world.advance(700);
    world.send(key);
    world.advance(60);
    assert_eq!(world.view(key).resets, 0);
    world.start_agent(holder, "wallet");
    world.advance(200);
    world.repeat(key);
    world.advance(300);
    assert_eq!((world.view(key).answers >= 1, world.view(key).resets), (true, 0));
}

/// A balancer starts while packets of one agent do not reach it, nor does its machine's answer. Another
/// balancer hears that agent and says so: its streams are not taken for dead.
#[test]
fn heard_by_another() {
    let mut world = world::StreamWorld::with_hosts(HOSTS, 4);
    let key = world::key(1, 0);
    world.open(key, 0);
    world.advance(10);
    let holder = world::agent_address(world.holders(key)[0]);
    world.unheard.insert((holder, world::balancer_address(1)));
    world.off.insert(holder);
    world.start_balancer(1);
    world.advance(700);
    world.send(key);
    world.advance(300);
    assert_eq!(world.view(key).resets, 0);
}

/// A caller's opening goes through one balancer to a host whose machine is lost before it answers. A copy
/// through another balancer opens the stream elsewhere, and the network turns the caller back to the
/// first balancer. Its requests reach the host that holds the stream, and not the lost machine.
#[test]
fn lost_before_answer() {
    let mut world = world::StreamWorld::calm();
    let key = world::key(5, 1);
    world.open(key, 0);
    world.advance(1);
    world.entry_balancer = world::balancer_address(2);
    world.cut.insert(world::balancer_address(1));
    let lost = world.placed(key);
    world.lose_machine(lost);
    world.advance(600);
    world.open(key, 2);
    world.advance(300);
    assert!(!world.holders(key).is_empty());
    world.heal();
    world.advance(2_000);
    world.entry_balancer = world::balancer_address(1);
    for _ in 0..2 {
        world.send(key);
        world.advance(300);
    }
    assert!(world.view(key).answers > 0);
}
