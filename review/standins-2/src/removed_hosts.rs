//! Hosts of a data centre have been taken away; then its balancer and its last agent are stopped and
//! started again.

use std::net;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Client;
use crate::client::FlowEnd;
use crate::client::Ingress;
use crate::host::Host;
use crate::record::Record;
use crate::system::System;

/// Balancers of the data centre of the callers.
const EDGES: [u8; 2] = [1, 3];
/// The balancer of the other data centre, in which the callers' service runs.
const FAR_EDGE: u8 = 2;
const HORNO: [u8; 5] = [11, 13, 15, 17, 19];
/// The machine whose host stays, and those whose hosts are taken away.
const STAYS: u8 = 12;
const REMOVED: [u8; 2] = [14, 16];
/// When the first of these drains, in seconds, and the time to the next.
const REMOVE_AT: f64 = 5.0;
const REMOVE_GAP_S: f64 = 1.5;
/// How long a host serves after its draining is acknowledged, in seconds: `drainMs` and a little.
const DRAIN_S: f64 = 3.2;
/// When the balancer of the other data centre is stopped, and when the agent.
const STOP_EDGE_AT: f64 = 14.0;
const STOP_AGENT_AT: f64 = 15.5;
/// How long a process that has ended takes to start again, in seconds.
const RESTART_S: f64 = 2.0;
const CLIENTS: u8 = 16;
const END_AT: f64 = 23.0;

pub fn play(is_troubled: bool, record: &Record) -> Verdict {
    let mut system = System::new(record);
    system.configure(3, "taller", "horno", 3_000);
    for edge in EDGES.into_iter().chain([FAR_EDGE]) {
        system.start_edge(edge);
    }
    let mut hosts = Vec::new();
    for machine in HORNO {
        system.start_side(machine, "horno");
        let place = system.host_place(machine, &format!("i-{machine}"), "horno");
        hosts.push(Host::start(place, record));
    }
    for machine in REMOVED.into_iter().chain([STAYS]) {
        system.start_side(machine, "taller");
        let place = system.host_place(machine, &format!("i-{machine}"), "taller");
        hosts.push(Host::start(place, record));
    }
    for edge in EDGES.into_iter().chain([FAR_EDGE]) {
        system.wait_ready(edge);
    }
    system.has_started = true;
    let mut silent = Vec::new();
    for (number, machine) in REMOVED.into_iter().enumerate() {
        record.wait_until(REMOVE_AT + REMOVE_GAP_S * number as f64);
        let id = format!("i-{machine}");
        hosts.iter().filter(|host| host.id() == id).for_each(|host| host.drain(record));
    }
    for (number, machine) in REMOVED.into_iter().enumerate() {
        record.wait_until(REMOVE_AT + REMOVE_GAP_S * number as f64 + DRAIN_S);
        let id = format!("i-{machine}");
        let Some(host) = hosts.iter().find(|host| host.id() == id && host.is_drain_acked()) else {
            return Verdict::CannotRun("a host's draining wasn't acknowledged".to_owned());
        };
        host.leave(record);
        system.terminate(machine);
        while !system.has_ended(machine) {
            std::thread::sleep(Duration::from_millis(20));
        }
        record.add(format!("machine {machine} is taken away"));
        silent.push(SilentMachine::at(system.at(machine, system.ports.messages)));
    }
    record.wait_until(11.0);
    let outcomes: client::Outcomes = Arc::default();
    let clients = (0..CLIENTS).map(|number| Client {
        caller: system.at(100 + number, 40_000),
        entry: system.entry(443),
        ingress: Ingress::Fixed(
            system.at(EDGES[usize::from(number) % EDGES.len()], system.ports.network),
        ),
        port: system.ports.network,
        requests: 5,
        pause: Duration::from_millis(1_500 + 90 * u64::from(number)),
    });
    let mut threads = Vec::new();
    for client in clients {
        threads.push(client.start(record, &outcomes));
        std::thread::sleep(Duration::from_millis(70));
    }
    if is_troubled {
        record.wait_until(STOP_EDGE_AT);
        system.terminate(FAR_EDGE);
        record.wait_until(STOP_AGENT_AT);
        system.terminate(STAYS);
        let mut restarts = vec![(0.0, FAR_EDGE), (0.0, STAYS)];
        while !restarts.is_empty() {
            for (at, machine) in &mut restarts {
                if *at == 0.0 && system.has_ended(*machine) {
                    record.add(format!("machine {machine} has ended"));
                    *at = record.now() + RESTART_S;
                }
            }
            let now = record.now();
            for (_, machine) in restarts.extract_if(.., |(at, _)| *at > 0.0 && *at <= now) {
                match machine {
                    FAR_EDGE => system.start_edge(machine),
                    _ => system.start_side(machine, "taller"),
                }
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    record.wait_until(END_AT);
    for thread in threads {
        let _ = thread.join();
    }
    for machine in EDGES {
        system.copy_log(machine, &["centre_changed", "\"reset\"", "balancer_changed"]);
    }
    judge(record, &outcomes)
}

/// The address of a machine that is gone: a connection to it is neither accepted nor refused.
struct SilentMachine {
    _listener: net::TcpListener,
    _held: Vec<net::TcpStream>,
}

impl SilentMachine {
    /// Fills the queue of a listener that never accepts.
    fn at(address: SocketAddrV4) -> SilentMachine {
        let listener = net::TcpListener::bind(address).expect("the address is free");
        let mut held = Vec::new();
        while let Ok(stream) =
            net::TcpStream::connect_timeout(&address.into(), Duration::from_millis(100))
        {
            held.push(stream);
        }
        SilentMachine { _listener: listener, _held: held }
    }
}

/// FLOW: a client gets a reset that its flow's host didn't send, while that host lives.
fn judge(record: &Record, outcomes: &client::Outcomes) -> Verdict {
    let outcomes = outcomes.lock().expect("outcomes");
    for outcome in outcomes.iter() {
        record.add(format!("{outcome:?}"));
    }
    if outcomes.iter().any(|outcome| outcome.answered == 0) {
        return Verdict::CannotRun("a flow wasn't served at first".to_owned());
    }
    let is_reset = |end: &FlowEnd| *end == FlowEnd::Reset { by_host: false };
    match outcomes.iter().filter(|outcome| is_reset(&outcome.end)).count() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("FLOW: {count} open flows of a living host were reset")),
    }
}
