//! Subscriptions of one balancer to agents, and its state about the agents outside them.

use std::collections;
use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::load;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::agent_table;
use rosemaryusher_core::stream::balancer::service_history;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::policy;
use rosemaryusher_core::stream::slow_start;

const START: ids::UnixMillis = ids::UnixMillis(1_000_000);
const CENTRE: u32 = 1;
const SERVICE: ids::ServiceId = ids::ServiceId(7);

/// Agents of one service and data centre.
const AGENTS: u32 = 100;

/// Balancers of the data centre.
const BALANCERS: usize = 50;

fn address(nth: u32) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::from_bits(0x0a00_0000 + nth), 7_000)
}

fn report(phase: host::HostPhase, sequence: u64) -> message::AgentReport {
    message::AgentReport {
        agent: ids::InstanceId(1),
        service: SERVICE,
        data_centre: CENTRE,
        phase,
        host_age_ms: None,
        load: load::LoadReport { sequence, slots: 2, ..Default::default() },
        generation: ids::ConfigGeneration(1),
    }
}

/// A table that contains all agents, and the agents that it subscribes to.
fn table() -> (agent_table::AgentTable, collections::BTreeSet<net::SocketAddrV4>) {
    let config = stream::StreamConfig {
        instance: ids::InstanceId(1),
        address: address(0),
        data_centre: CENTRE,
        regions: collections::BTreeMap::new(),
        has_evacuations: false,
        service: ids::ServiceId::default(),
        slow_start: slow_start::SlowStartMargin::default(),
        host_report_ms: 1_000,
        stream_limit_s: 60,
        is_first_start: true,
        seed: 1,
        policy: policy::StreamPolicy::default(),
    };
    let mut table = agent_table::AgentTable::new(&config, START);
    for nth in 1..=AGENTS {
        table.insert(address(nth), SERVICE, Some(CENTRE), START);
    }
    let change = table.renew_subscriptions(BALANCERS, START);
    (table, change.added.into_iter().collect())
}

fn holders(
    table: &agent_table::AgentTable,
    now: ids::UnixMillis,
) -> collections::BTreeSet<net::SocketAddrV4> {
    let holders = table.holders(
        &service_history::ServiceScope::Of(vec![SERVICE]),
        &collections::BTreeSet::new(),
        now,
    );
    holders.agents.into_iter().collect()
}

/// Guards against a stale report of an agent outside the subscriptions: its backend server has been
/// replaced since, and a search that left it out would reset the streams of the new one.
#[test]
fn old_report_dropped() {
    let (mut table, subscribed) = table();
    let outside = (1..=AGENTS).map(address).find(|agent| !subscribed.contains(agent));
    let outside = outside.expect("an agent outside the subscriptions");
    table.on_report(outside, &report(host::HostPhase::Gone, 1), START);
    // Its backend server may start at any time after the report.
    assert!(holders(&table, START).contains(&outside));
    let later = START.plus(1_000);
    table.sweep(later);
    assert!(holders(&table, later).contains(&outside));
}

/// Guards against subscriptions that shrink as subscribed agents fail.
#[test]
fn failed_ones_replaced() {
    let (mut table, subscribed) = table();
    let failed: Vec<_> = subscribed.iter().copied().take(subscribed.len() / 2).collect();
    let mut now = START;
    for sequence in 1..=30 {
        now = now.plus(100);
        for agent in subscribed.iter().filter(|agent| !failed.contains(agent)) {
            table.on_report(*agent, &report(host::HostPhase::Serving, sequence), now);
        }
    }
    let change = table.renew_subscriptions(BALANCERS, now);
    assert_eq!(change.added.len(), failed.len());
    // Failed agents stay subscribed, so that they report as soon as they return.
    assert!(change.dropped.is_empty());
}

/// Guards against agents without a subscriber where few balancers face many agents.
#[test]
fn few_balancers_subscribe_to_more() {
    let (mut table, subscribed) = table();
    assert!(subscribed.len() < 30, "{}", subscribed.len());
    let change = table.renew_subscriptions(8, START.plus(1_000));
    assert_eq!(subscribed.len() + change.added.len(), AGENTS as usize);
}
