//! Member lists and changes of services that must fit in datagrams.

use std::collections;
use std::net;

use rosemaryusher_core::ids;
use rosemaryusher_core::load;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::balancer;
use rosemaryusher_core::stream::host;
use rosemaryusher_core::stream::message;
use rosemaryusher_core::stream::policy;
use rosemaryusher_core::stream::slow_start;
use rosemaryusher_wire::packet;

/// Agents that report to one balancer.
const AGENTS: u32 = 2_000;

const NOW: ids::UnixMillis = ids::UnixMillis(1_000_000);

fn address(nth: u32) -> net::SocketAddrV4 {
    net::SocketAddrV4::new(net::Ipv4Addr::from_bits(0xc0a8_8080 + nth), 60_000)
}

fn new_balancer() -> balancer::StreamBalancer {
    let config = stream::StreamConfig {
        instance: ids::InstanceId(1),
        address: address(0),
        data_centre: 1,
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
    balancer::StreamBalancer::new(config, NOW)
}

fn receive(
    balancer: &mut balancer::StreamBalancer,
    from: net::SocketAddrV4,
    message: &message::StreamMessage,
) -> Vec<stream::StreamAction> {
    let mut actions = Vec::new();
    let event = stream::StreamEvent::Message { from, message, head: None };
    balancer.handle(NOW, event, &mut actions);
    actions
}

fn agent_report(nth: u32) -> message::StreamMessage {
    message::StreamMessage::Agent(message::AgentReport {
        agent: ids::InstanceId(u64::from(nth)),
        service: ids::ServiceId(u32::MAX),
        data_centre: u32::MAX,
        phase: host::HostPhase::Serving,
        host_age_ms: None,
        load: load::LoadReport::default(),
        generation: ids::ConfigGeneration(0),
    })
}

/// A member list is split into messages that fit in a datagram. A longer one would be truncated and
/// lost, and a balancer that starts while the platform is unavailable would know no members.
#[test]
fn arrives_whole() {
    let mut balancer = new_balancer();
    for nth in 1..=AGENTS {
        receive(&mut balancer, address(nth), &agent_report(nth));
    }
    let newcomer = message::StreamMessage::Balancer(message::BalancerReport {
        data_centre: 1,
        generation: ids::ConfigGeneration(0),
        is_leaving: false,
        reaches_platform: false,
        reachable_centres: Vec::new(),
        evacuations: Default::default(),
        store_epoch: Default::default(),
        wants_reports: true,
    });
    let mut received = collections::BTreeSet::new();
    for action in receive(&mut balancer, address(AGENTS + 1), &newcomer) {
        let stream::StreamAction::Send(_, message) = action else { continue };
        let bytes = packet::encode(&message).expect("a message");
        assert!(bytes.len() <= message::MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
        if let message::StreamMessage::Members(part) = message {
            received.extend(part.members.into_iter().map(|member| member.address));
        }
    }
    assert_eq!(received.len(), 1 + AGENTS as usize);
}

/// As many changes of services as a balancer keeps do not fit in one datagram, and are lost.
#[test]
fn service_changes_fit() {
    let change = |nth| message::ServiceChange {
        entry: address(nth),
        former: ids::ServiceId(u32::MAX),
        generation: ids::ConfigGeneration(u64::MAX),
        age_ms: u32::MAX,
    };
    let former = message::FormerServices {
        generation: ids::ConfigGeneration(u64::MAX),
        known_ms: u32::MAX,
        changes: (0..message::MAX_SERVICE_CHANGES as u32).map(change).collect(),
    };
    let bytes = packet::encode(&message::StreamMessage::FormerServices(former)).expect("a message");
    assert!(bytes.len() <= message::MAX_MESSAGE_BYTES, "{} bytes", bytes.len());
}
