//! Flows whose messages come in an awkward order, one test a case.

#![allow(clippy::unwrap_used, reason = "a test that cannot go on fails")]

mod world;

use rosemaryusher_core::message;

use world::Parcel;
use world::World;

const CALLERS: usize = 40;

fn with_callers() -> World {
    let mut world = World::settled(2, 4);
    world.add_callers(CALLERS);
    world
}

fn send(world: &mut World, caller: usize, balancer: usize) {
    let service = world.book.callers[caller].service;
    world.deliver(Parcel::Flow { caller, service }, balancer);
}

fn is_adoption(parcel: &Parcel) -> bool {
    matches!(
        parcel,
        Parcel::Packet(_, message::PeerPacket::Forward(packet))
            if packet.step == message::ForwardStep::FlowAdopt
    )
}

/// Opens a caller's flow up to the packet that gives it to another agent, if there is one.
fn held_adoption(world: &mut World, caller: usize) -> Option<Parcel> {
    send(world, caller, 0);
    while !world.bag.is_empty() {
        let parcel = world.bag.remove(0);
        if is_adoption(&parcel) {
            return Some(parcel);
        }
        world.deliver(parcel, 0);
    }
    None
}

fn pass_time(world: &mut World) {
    for _ in 0..12 {
        world.advance(100);
        world.deliver_all();
    }
}

/// The caller sees its open flow start anew on another backend server, seconds after it began.
/// Its second datagram overtakes the one that gives the flow to its owner; the owner looks the
/// flow up on its own, and when that times out places it once more, elsewhere.
#[test]
fn overtaken_adoption() {
    let mut world = with_callers();
    let mut held = 0;
    for caller in 0..CALLERS {
        let Some(adoption) = held_adoption(&mut world, caller) else { continue };
        held += 1;
        send(&mut world, caller, 1);
        pass_time(&mut world);
        world.deliver(adoption, 0);
        world.deliver_all();
        send(&mut world, caller, 0);
        world.deliver_all();
    }
    assert!(held > 5, "{held} adoptions came up");
}

/// The caller sees its new flow answered by two backend servers in turn.
/// The agent that is given the flow is draining and passes it on; the packet that gave it comes a
/// second time, and the agent passes it on again, to another than the first time.
#[test]
fn repeated_adoption() {
    let mut repeated = 0;
    for caller in 0..CALLERS {
        let mut world = with_callers();
        for earlier in 0..caller {
            send(&mut world, earlier, 0);
            world.deliver_all();
        }
        let Some(adoption) = held_adoption(&mut world, caller) else { continue };
        let Parcel::Packet(address, _) = &adoption else { continue };
        let own = |host: &usize| world.control(*host).prober.own().packet_address == *address;
        let host = (0..world.agents.len()).find(own).unwrap();
        world.drain(host);
        for _ in 0..4 {
            world.deliver(adoption.clone(), 0);
            world.deliver_all();
        }
        repeated += 1;
    }
    assert!(repeated > 5, "{repeated} adoptions came up");
}

/// No caller's flow moves, and no new flow gets two owners, while views are far apart.
/// A host has joined; one balancer and one agent have known of it for long, the others do not.
/// Each flow's datagrams come by both balancers, which name different anchors.
#[test]
fn skewed_views() {
    let mut world = with_callers();
    for caller in 0..CALLERS / 2 {
        send(&mut world, caller, 0);
        world.deliver_all();
    }
    world.start_agent(0);
    world.start_agent(1);
    let balancer = world.agents.len();
    world.meet(balancer, balancer - 1);
    world.meet(balancer, balancer - 2);
    pass_time(&mut world);
    pass_time(&mut world);
    pass_time(&mut world);
    for caller in 0..CALLERS {
        send(&mut world, caller, 0);
        send(&mut world, caller, 1);
        world.deliver_all();
        pass_time(&mut world);
        send(&mut world, caller, 1);
        send(&mut world, caller, 0);
        world.deliver_all();
    }
    assert!(world.book.flows_held > CALLERS as u64);
}

/// No open flow moves when a service triples at once.
/// A balancer hears of all new hosts at once, the flows' owners have not heard of them. Hashing
/// names new hosts first for most flows, and the few that a lookup asks are new hosts too.
#[test]
fn many_join() {
    let mut world = with_callers();
    for caller in 0..CALLERS {
        send(&mut world, caller, 0);
        world.deliver_all();
    }
    for number in 0..16 {
        world.start_agent(number % 2);
    }
    let balancer = world.agents.len();
    world.meet(balancer, balancer - 1);
    world.advance(500);
    world.replace_cache(0);
    for caller in 0..CALLERS {
        send(&mut world, caller, 0);
        world.deliver_all();
    }
    assert!(world.book.flows_held >= CALLERS as u64);
}
