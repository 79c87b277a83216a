//! The heartbeat of an incarnation that crashed behind a cut says `ready`, and arrives after its
//! successor's `draining` has been acknowledged.

use std::io::Write as _;
use std::net;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::Verdict;
use crate::client;
use crate::client::Client;
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
/// When the second incarnation says that it leaves, in seconds: over `contactMs` after the cut.
const DRAIN_AT: f64 = 17.2;
/// When TCP sends the held heartbeat again after the cut, after its first time.
const ARRIVAL_S: f64 = 12.6;
/// The bound of the rule.
const DRAIN_S: f64 = 3.0;
const END_AT: f64 = 23.0;
const CLIENTS: u8 = 24;

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
    let is_over = Arc::new(AtomicBool::new(false));
    let threads: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let edge = system.at(EDGES[usize::from(number) % EDGES.len()], system.ports.network);
            let client = Client {
                caller: system.at(100 + number, 20_000),
                entry: system.entry(443),
                ingress: Ingress::Fixed(edge),
                port: system.ports.network,
                requests: 1,
                pause: Duration::from_millis(150),
            };
            let outcomes = client::Outcomes::default();
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || {
                client::keep_calling(&client, &is_over, &record, &outcomes);
            })
        })
        .collect();
    record.wait_until(DRAIN_AT);
    record.add("host i-second is to be taken away, and says so");
    second.is_draining.store(true, Ordering::SeqCst);
    record.wait_until(CUT_AT + ARRIVAL_S);
    if let Some((mut connection, bytes)) = held {
        record.add("the held heartbeat of i-first arrives");
        connection.write_all(&bytes).expect("the agent still holds the connection");
        let answer = http::read_answer(&mut std::io::BufReader::new(connection));
        record.add(format!("it is answered: {answer:?}"));
    }
    record.wait_until(END_AT);
    is_over.store(true, Ordering::SeqCst);
    for thread in threads {
        let _ = thread.join();
    }
    system.copy_log(CUT_MACHINE, &["host_changed", "stale_report"]);
    judge(record, &second, &taken)
}

/// DRAIN: a request reaches a host later than the bound after an agent in touch has acknowledged that
/// the host is draining.
fn judge(record: &Record, host: &Host, taken: &host::TakenList) -> Verdict {
    let acked = host.drain_acked_ms.load(Ordering::SeqCst) as f64 / 1e3;
    let taken = taken.lock().expect("openings");
    let of_host: Vec<f64> =
        taken.iter().filter(|one| one.host == host.place.id).map(|one| one.at).collect();
    if acked == 0.0 || !of_host.iter().any(|at| *at < acked) {
        return Verdict::CannotRun(
            "the host wasn't used, or its leave not acknowledged".to_owned(),
        );
    }
    let late: Vec<f64> = of_host.into_iter().filter(|at| *at > acked + DRAIN_S).collect();
    record.add(format!("acknowledged as draining at {acked:.3}; openings too late at {late:?}"));
    match late.len() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!("DRAIN: {count} openings reached a draining host")),
    }
}
