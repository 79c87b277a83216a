//! An agent is stopped before it has heard its host again, and a balancer starts meanwhile.

use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Client;
use crate::client::FlowEnd;
use crate::client::Ingress;
use crate::host::Host;
use crate::record::Record;
use crate::router::Edge;
use crate::router::Router;
use crate::system::System;

/// The balancers, with the phases of their readiness checks, in seconds.
const EDGES: [(u8, f64); 2] = [(1, 0.25), (3, 0.35)];
/// The balancer that is stopped and started.
const STOPPED_EDGE: u8 = 1;
const TALLER: [u8; 4] = [11, 13, 15, 17];
/// The machine whose agent is stopped and started twice.
const STOPPED_SIDE: u8 = 17;
/// When the balancer is stopped, and when the agent, in seconds.
const STOP_EDGE_AT: f64 = 10.03;
const STOP_AGENT_AT: f64 = 10.43;
/// When the agent is stopped again after it has started.
const STOP_AGAIN_S: f64 = 0.4;
/// How long a process that has ended takes to start again, in seconds.
const RESTART_S: f64 = 1.2;
const CLIENTS: u8 = 64;
const OPEN_AT: f64 = 7.0;
const END_AT: f64 = 17.0;

pub fn play(is_troubled: bool, record: &Record) -> Verdict {
    let mut system = System::new(record);
    system.configure(3, "taller", "taller", 3_000);
    for (edge, _) in EDGES {
        system.start_edge(edge);
    }
    let mut hosts = Vec::new();
    for machine in TALLER {
        system.start_side(machine, "taller");
        let place = system.host_place(machine, &format!("i-{machine}"), "taller");
        hosts.push(Host::start(place, record));
    }
    for (edge, _) in EDGES {
        system.wait_ready(edge);
    }
    system.has_started = true;
    let edges = EDGES.map(|(machine, phase)| Edge {
        network: system.at(machine, system.ports.network),
        ready: system.at(machine, system.ports.ready),
        phase,
    });
    let router = Router::start(edges.to_vec(), record);
    record.wait_until(OPEN_AT);
    let outcomes: client::Outcomes = Arc::default();
    let mut threads = Vec::new();
    for number in 0..CLIENTS {
        let client = Client {
            caller: system.at(100 + number, 40_000),
            entry: system.entry(443),
            ingress: Ingress::Routed(router.clone()),
            port: system.ports.network,
            requests: 2,
            // The flow is idle until its second request.
            pause: Duration::from_millis(5_300),
        };
        threads.push(client.start(record, &outcomes));
        std::thread::sleep(Duration::from_millis(15));
    }
    if is_troubled {
        record.wait_until(STOP_EDGE_AT);
        system.terminate(STOPPED_EDGE);
        record.wait_until(STOP_AGENT_AT);
        system.terminate(STOPPED_SIDE);
        restart_both(&mut system);
    }
    record.wait_until(END_AT);
    for thread in threads {
        let _ = thread.join();
    }
    for machine in EDGES.map(|(machine, _)| machine).into_iter().chain([STOPPED_SIDE]) {
        system.copy_log(machine, &["started", "\"left\"", "host_changed", "held_nowhere"]);
    }
    judge(record, &outcomes)
}

/// Starts both processes again, and stops the agent once more.
fn restart_both(system: &mut System) {
    let mut ended: Vec<(f64, u8)> = Vec::new();
    let mut running = vec![STOPPED_EDGE, STOPPED_SIDE];
    let mut stop_at = None;
    let mut agent_starts = 0;
    while !running.is_empty() || !ended.is_empty() || stop_at.is_some() {
        let now = system.record.now();
        let gone: Vec<u8> = running.extract_if(.., |machine| system.has_ended(*machine)).collect();
        for machine in gone {
            system.record.add(format!("machine {machine} has ended"));
            ended.push((now + RESTART_S, machine));
        }
        for (_, machine) in ended.extract_if(.., |(at, _)| *at <= now) {
            if machine == STOPPED_EDGE {
                system.start_edge(machine);
                continue;
            }
            system.start_side(machine, "taller");
            agent_starts += 1;
            stop_at = (agent_starts == 1).then_some(now + STOP_AGAIN_S);
        }
        if stop_at.is_some_and(|at| at <= now) {
            stop_at = None;
            system.terminate(STOPPED_SIDE);
            running.push(STOPPED_SIDE);
        }
        std::thread::sleep(Duration::from_millis(5));
    }
}

/// FLOW: a client gets a reset that its flow's host didn't send, while that host lives.
fn judge(record: &Record, outcomes: &client::Outcomes) -> Verdict {
    let outcomes = outcomes.lock().expect("outcomes");
    for outcome in outcomes.iter() {
        record.add(format!("{outcome:?}"));
    }
    let at_host = format!("i-{STOPPED_SIDE}");
    if !outcomes.iter().any(|outcome| outcome.stamp == at_host) {
        return Verdict::CannotRun("no flow was open at the host in question".to_owned());
    }
    let is_reset = |end: &FlowEnd| *end == FlowEnd::Reset { by_host: false };
    match outcomes.iter().filter(|outcome| is_reset(&outcome.end)).count() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("FLOW: {count} open flows of a living host were reset")),
    }
}
