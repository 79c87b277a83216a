//! The heartbeat of an incarnation that crashed behind a cut arrives after its successor's.

use std::io::Write as _;
use std::net;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Client;
use crate::client::FlowEnd;
use crate::client::Ingress;
use crate::host;
use crate::host::Host;
use crate::http;
use crate::record::Record;
use crate::system::System;

const EDGES: [u8; 2] = [1, 2];
const TALLER: [u8; 4] = [11, 12, 13, 14];
/// The machine whose host is cut off from all machines.
const CUT_MACHINE: u8 = 14;
/// When that host starts and is cut off, in seconds.
const CUT_AT: f64 = 6.0;
/// How long the cut lasts, in seconds.
const CUT_S: f64 = 7.0;
/// When the held heartbeat is sent once more after the first time: TCP retransmits after 0.2, 0.6,
/// 1.4, 3.0, 6.2 and 12.6 s, and the last of these is the first one after the cut.
const ARRIVAL_S: f64 = 12.6;
const END_AT: f64 = 26.0;
const CLIENTS: u8 = 16;

pub fn play(is_troubled: bool, record: &Record) -> Verdict {
    let mut system = System::new(record);
    system.configure(3, "taller", "taller", 3_000);
    for edge in EDGES {
        system.start_edge(edge);
    }
    let taken = host::TakenList::default();
    let mut hosts = Vec::new();
    for machine in TALLER {
        system.start_side(machine, "taller");
        if machine != CUT_MACHINE {
            let place = system.host_place(machine, &format!("i-{machine}"), "taller");
            hosts.push(Host::start(place, record, &taken));
        }
    }
    for edge in EDGES {
        system.wait_ready(edge);
    }
    system.has_started = true;
    record.wait_until(CUT_AT);
    let mut held = None;
    if is_troubled {
        let first = system.host_place(CUT_MACHINE, "i-first", "taller");
        record.add("host i-first starts; its first heartbeat is on its way as the cut begins");
        let connection = net::TcpStream::connect(first.control).expect("the agent listens");
        let (path, body) = host::beat(&first, false, 1);
        held = Some((connection, http::call_bytes("POST", &path, &body)));
        record.wait_until(CUT_AT + 2.0);
        record.add("host i-first crashes behind the cut");
    }
    let place = system.host_place(CUT_MACHINE, "i-second", "taller");
    let second = Host::start(place, record, &taken);
    if is_troubled {
        second.is_cut.store(true, Ordering::SeqCst);
        record.wait_until(CUT_AT + CUT_S);
        record.add("the cut ends");
        second.is_cut.store(false, Ordering::SeqCst);
    }
    record.wait_until(CUT_AT + CUT_S + 1.0);
    let outcomes: client::Outcomes = Arc::default();
    let clients = (0..CLIENTS).map(|number| {
        let caller = system.at(100 + number, 40_000 + u16::from(number));
        let edge = system.at(EDGES[usize::from(number) % EDGES.len()], system.ports.network);
        let pause = Duration::from_millis(600);
        Client {
            caller,
            entry: system.entry(443),
            ingress: Ingress::Fixed(edge),
            port: system.ports.network,
            requests: 14,
            pause,
        }
    });
    let threads: Vec<_> = clients.map(|client| client.start(record, &outcomes)).collect();
    record.wait_until(CUT_AT + ARRIVAL_S);
    if let Some((mut connection, bytes)) = held {
        record.add("the held heartbeat of i-first arrives");
        connection.write_all(&bytes).expect("the agent still holds the connection");
        let answer = http::read_answer(&mut std::io::BufReader::new(connection));
        record.add(format!("it is answered: {answer:?}"));
    }
    for thread in threads {
        let _ = thread.join();
    }
    record.wait_until(END_AT);
    for machine in EDGES.into_iter().chain([CUT_MACHINE]) {
        system.copy_log(machine, &["host_changed", "stale_report", "\"reset\""]);
    }
    record.add(format!("state of the agent: {}", system.state(CUT_MACHINE)));
    judge(record, &outcomes)
}

/// FLOW: a client gets a reset that its flow's host didn't send, while that host lives.
fn judge(record: &Record, outcomes: &client::Outcomes) -> Verdict {
    let outcomes = outcomes.lock().expect("outcomes");
    for outcome in outcomes.iter() {
        record.add(format!("{outcome:?}"));
    }
    if !outcomes.iter().any(|outcome| outcome.stamp == "i-second") {
        return Verdict::CannotRun("no flow was open at the host in question".to_owned());
    }
    let reset = outcomes.iter().filter(|outcome| {
        outcome.end == FlowEnd::Reset { by_host: false } && outcome.stamp == "i-second"
    });
    match reset.count() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("FLOW: {count} open flows of a living host were reset")),
    }
}
