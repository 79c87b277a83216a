//! A configuration sends new flows of a route to another service; flows that are open stay.

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

const EDGES: [u8; 2] = [1, 2];
const TALLER: [u8; 3] = [11, 12, 13];
const HORNO: [u8; 3] = [14, 15, 16];
/// The number of clients with a long flow.
const CLIENTS: u8 = 8;
/// When the configuration changes, in seconds; all processes have run for over `contactMs` by then.
const CHANGE_AT: f64 = 10.0;
const END_AT: f64 = 20.0;

pub fn play(is_troubled: bool, record: &Record) -> Verdict {
    let mut system = System::new(record);
    system.configure(3, "taller", "horno", 3_000);
    for edge in EDGES {
        system.start_edge(edge);
    }
    let mut hosts = Vec::new();
    for (machines, service) in [(TALLER, "taller"), (HORNO, "horno")] {
        for machine in machines {
            system.start_side(machine, service);
            let place = system.host_place(machine, &format!("i-{service}-{machine}"), service);
            hosts.push(Host::start(place, record));
        }
    }
    for edge in EDGES {
        system.wait_ready(edge);
    }
    system.has_started = true;
    record.wait_until(5.0);
    let outcomes: client::Outcomes = Arc::default();
    let start = |number: u8, requests: u32| {
        let caller = system.at(100 + number, 40_000 + u16::from(number));
        let edge = system.at(EDGES[usize::from(number) % EDGES.len()], system.ports.network);
        let pause = Duration::from_millis(400);
        let client = Client {
            caller,
            entry: system.entry(443),
            ingress: Ingress::Fixed(edge),
            port: system.ports.network,
            requests,
            pause,
        };
        client.start(record, &outcomes)
    };
    let mut threads: Vec<_> = (0..CLIENTS).map(|number| start(number, 30)).collect();
    record.wait_until(CHANGE_AT);
    match is_troubled {
        true => system.configure(7, "horno", "horno", 3_000),
        // The same change but for the route's service: the time-out of the other route.
        false => system.configure(7, "taller", "horno", 2_500),
    }
    record.wait_until(CHANGE_AT + 4.0);
    // A new flow shows which version is in force.
    threads.push(start(CLIENTS, 1));
    for thread in threads {
        let _ = thread.join();
    }
    record.wait_until(END_AT);
    for machine in EDGES.into_iter().chain(TALLER).chain(HORNO) {
        system.copy_log(machine, &["config_in_force", "\"reset\"", "searched", "returned"]);
    }
    judge(&system, &outcomes)
}

/// FLOW: a client gets a reset that its flow's host didn't send, while that host lives.
fn judge(system: &System, outcomes: &client::Outcomes) -> Verdict {
    let outcomes = outcomes.lock().expect("outcomes");
    let new_caller = system.at(100 + CLIENTS, 40_000 + u16::from(CLIENTS));
    let (new, long): (Vec<_>, Vec<_>) = outcomes.iter().partition(|o| o.caller == new_caller);
    for outcome in new.iter().chain(&long) {
        system.record.add(format!("{outcome:?}"));
    }
    if new.iter().any(|outcome| outcome.end != FlowEnd::Whole) {
        return Verdict::CannotRun("a new flow wasn't served after the change".to_owned());
    }
    if long.iter().any(|outcome| outcome.answered == 0) {
        return Verdict::CannotRun("a flow wasn't served before the change".to_owned());
    }
    let reset = long.iter().filter(|outcome| outcome.end == FlowEnd::Reset { by_host: false });
    match reset.count() {
        0 => Verdict::Held,
        count => Verdict::Broken(format!(
            "FLOW: {count} of {} open flows were reset, all hosts alive",
            long.len()
        )),
    }
}
