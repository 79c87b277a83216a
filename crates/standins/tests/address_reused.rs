//! Processes whose address another process uses next.

#![allow(clippy::unwrap_used, reason = "a failed step fails the test")]

use std::net;
use std::time;

use rosemaryusher_core::ids;
use rosemaryusher_node::control;
use rosemaryusher_node::http;
use rosemaryusher_standins::pages;
use rosemaryusher_standins::process;

/// Addresses for control calls that were free a moment ago.
fn free_addresses<const COUNT: usize>() -> [net::SocketAddr; COUNT] {
    let listeners = [0; COUNT].map(|_| net::TcpListener::bind("127.0.0.1:0").unwrap());
    listeners.map(|listener| listener.local_addr().unwrap())
}

/// Starts a balancer at a control address, with short periods of the membership protocol.
fn start_balancer(
    folder: &process::TempDir,
    name: &str,
    address: net::SocketAddr,
    peer: net::SocketAddr,
) -> process::ChildProcess {
    let settings = serde_json::json!({ "node": {
        "name": name, "data_centre": "a", "control_address": address, "peers": [peer],
        "control": { "probe_period_ms": 50, "suspect_ms": 500 },
    } });
    let file = folder.write(&format!("{name}.json"), &settings).unwrap();
    let arguments = ["run".to_owned(), "--settings".to_owned(), file.display().to_string()];
    let program = process::program_dir().unwrap().join("rosemaryusher");
    let child = process::ChildProcess::start(name, &program, &arguments).unwrap();
    child.control_address().unwrap();
    child
}

fn wait_for_members(address: net::SocketAddr, names: &[&str]) {
    let are_reachable = || {
        let mut members = pages::reachable_members(&pages::get(address, "/state").ok()?);
        members.sort();
        (members == names).then_some(())
    };
    process::wait_for(&format!("the members {names:?}"), are_reachable).unwrap();
}

/// A process under another name answers at the address of a member that was killed. The member must
/// be found dead: packets for it are dropped there, and callers would wait for nothing.
#[test]
fn dead_member_found() {
    let folder = process::TempDir::new().unwrap();
    let [first, second] = free_addresses();
    let mut killed = start_balancer(&folder, "b1", first, second);
    let _other = start_balancer(&folder, "b2", second, first);
    wait_for_members(second, &["b1", "b2"]);
    killed.kill();
    let _next = start_balancer(&folder, "b3", first, second);
    wait_for_members(second, &["b2", "b3"]);
}

/// An agent hands its request record over to one that has just been replaced at its address. The
/// process there must refuse the record, so that the agent hands it over to another one.
#[test]
fn handover_refused() {
    let folder = process::TempDir::new().unwrap();
    let settings = serde_json::json!({
        "node": { "name": "a1", "data_centre": "a", "peers": ["127.0.0.1:9"] },
        "service": "wallet",
        "backend": { "requests": "127.0.0.1:9" },
    });
    let file = folder.write("a1.json", &settings).unwrap();
    let arguments = ["--settings".to_owned(), file.display().to_string()];
    let program = process::program_dir().unwrap().join("rosemaryusher-agent");
    let agent = process::ChildProcess::start("a1", &program, &arguments).unwrap();
    let address = agent.control_address().unwrap();
    let own = pages::get(address, "/state").unwrap()["own"]["instance"].as_u64().unwrap();
    let part =
        control::HandoverPart { home: ids::InstanceId(7), entries: Vec::new(), is_last: true };
    for (to, status) in [(own ^ 2, 409), (own, 200)] {
        let path = format!("/peer/handover?to={to}");
        let timeout = time::Duration::from_secs(5);
        let mut call = http::ClientRequest::new(hyper::Method::POST, address, path, timeout);
        call.body = rmp_serde::to_vec(&part).unwrap();
        assert_eq!(smol::block_on(http::call(call)).unwrap().status, status);
    }
}
