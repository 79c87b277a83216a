//! Membership and configuration exchanges with other processes, in MessagePack over HTTP.

use std::net;
use std::rc;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::membership;
use serde::Serialize;
use serde::de;

use crate::control;
use crate::http;
use crate::platform;
use crate::platform::ObjectStore as _;

/// How many announcements a process reads to find others.
///
/// One that answers has the whole view; the others cover processes that died.
const MAX_SEEDS: usize = 32;

/// How many peers a process informs of a change of its phase before it goes on.
const MAX_INFORMED_PEERS: usize = 4;

/// The shortest time between attempts to reach members outside the own view.
const MIN_REJOIN_PERIOD_MS: u64 = 20_000;

/// The addition to that period for each known member.
///
/// It bounds the reads of a fleet of any size at fifty a second.
const REJOIN_PERIOD_PER_MEMBER_MS: u64 = 20;

/// Joins by seeds while no other process is known, and calls a random announced one periodically.
///
/// After a long partition each side has removed the other's members, and neither would contact the
/// other again without the periodic call. One call from one side is enough, since views spread.
pub(crate) async fn join(hub: rc::Rc<control::ControlHub>) {
    let mut last_rejoin = hub.clock.now();
    loop {
        let members = hub.prober.borrow().view().len() as u64;
        let period_ms = (members * REJOIN_PERIOD_PER_MEMBER_MS).max(MIN_REJOIN_PERIOD_MS);
        let since_ms = hub.clock.now().since(last_rejoin);
        match () {
            _ if knows_no_peer(&hub) => join_by_seeds(&hub).await,
            _ if since_ms >= period_ms => {
                last_rejoin = hub.clock.now();
                exchange_with_random(&hub).await;
            }
            _ => {}
        }
        control::sleep_ms(500).await;
    }
}

async fn join_by_seeds(hub: &rc::Rc<control::ControlHub>) {
    for seed in seeds(hub, "").await {
        exchange(hub, seed).await;
        if fetch_view(hub, seed).await {
            return;
        }
    }
}

/// Exchanges with one announced process, chosen at random.
async fn exchange_with_random(hub: &rc::Rc<control::ControlHub>) {
    let word = hub.prober.borrow_mut().random_u64();
    let members = hub.prober.borrow().view().len();
    let digits = (members / MAX_SEEDS).checked_ilog2().map_or(0, |bits| bits as usize / 4 + 1);
    let found = seeds(hub, &format!("{word:08x}")[..digits.min(8)]).await;
    if let Some(seed) = found.get(word as usize % found.len().max(1)) {
        exchange(hub, *seed).await;
    }
}

/// Runs the membership prober's timer.
pub(crate) async fn probe(hub: rc::Rc<control::ControlHub>) {
    loop {
        let actions = hub.prober.borrow_mut().tick(hub.clock.now());
        for action in actions {
            spawn_action(&hub, action);
        }
        hub.publish_view().await;
        control::sleep_ms(control::TICK_MS).await;
    }
}

/// Fetches a configuration newer than this process's generation from a peer.
pub(crate) async fn fetch_config(hub: &control::ControlHub, peer: net::SocketAddr) {
    let path = format!("/peer/config?since={}", hub.generation().0);
    let Some(delta) = get::<config::ConfigDelta>(hub, peer, path).await else { return };
    if hub.advance(&delta).await == config::DeltaOutcome::Gap {
        let Some(whole) = get(hub, peer, "/peer/config?since=0".to_owned()).await else { return };
        hub.advance(&whole).await;
    }
}

/// Exchanges with a few peers, so that they know a change of phase when this returns.
pub(crate) async fn exchange_with_some(hub: &rc::Rc<control::ControlHub>) {
    let own = hub.prober.borrow().own().instance;
    let mut peers: Vec<_> = {
        let prober = hub.prober.borrow();
        let others = prober.view().reachable().filter(|record| record.instance != own);
        others.map(|r| (ids::mix_words(r.instance.0, own.0), r.control_address)).collect()
    };
    peers.sort_unstable();
    for (_, peer) in peers.into_iter().take(MAX_INFORMED_PEERS) {
        exchange(hub, peer).await;
    }
}

/// Hands a request record over to another agent; false if it did not accept all of it.
///
/// Names the agent, since another process may use its address by now.
pub(crate) async fn hand_over(
    hub: &control::ControlHub,
    successor: ids::InstanceId,
    parts: &[control::HandoverPart],
) -> bool {
    let Some(peer) = address_of(hub, successor) else { return false };
    for part in parts {
        let path = format!("/peer/handover?to={}", successor.0);
        let taken = post::<_, ()>(hub, peer, path, part).await;
        if taken.is_none() {
            return false;
        }
    }
    true
}

/// Exchanges with a member; false if it is unknown or did not answer itself.
///
/// Another process may use its address by now. If that one's answer counted, a dead member would
/// stay in every view, and callers' packets would be sent to it.
pub(crate) async fn exchange_with_member(
    hub: &rc::Rc<control::ControlHub>,
    member: ids::InstanceId,
) -> bool {
    let Some(peer) = address_of(hub, member) else { return false };
    exchange(hub, peer).await == Some(member)
}

fn spawn_action(hub: &rc::Rc<control::ControlHub>, action: membership::ProbeAction) {
    let hub = hub.clone();
    let executor = hub.executor.clone();
    executor.spawn(async move { run_action(hub, action).await }).detach();
}

async fn run_action(hub: rc::Rc<control::ControlHub>, action: membership::ProbeAction) {
    match action {
        membership::ProbeAction::Exchange { peer } => {
            if exchange_with_member(&hub, peer).await {
                return;
            }
            let asks = hub.prober.borrow_mut().exchange_failed(peer, hub.clock.now());
            for ask in asks {
                spawn_action(&hub, ask);
            }
        }
        membership::ProbeAction::IndirectProbe { helper, target } => {
            let reached = probe_indirectly(&hub, helper, target).await;
            hub.prober.borrow_mut().indirect_probe_ended(target, reached, hub.clock.now());
        }
        membership::ProbeAction::FetchView { peer } => {
            if let Some(peer) = address_of(&hub, peer) {
                fetch_view(&hub, peer).await;
            }
        }
    }
}

/// Exchanges with the process at an address; returns which one answered.
async fn exchange(
    hub: &rc::Rc<control::ControlHub>,
    peer: net::SocketAddr,
) -> Option<ids::InstanceId> {
    let message = hub.prober.borrow_mut().build_message(hub.generation());
    let path = "/peer/exchange".to_owned();
    let answer = post::<_, membership::ExchangeMessage>(hub, peer, path, &message).await?;
    receive(hub, &answer).await;
    Some(answer.from.instance)
}

/// Processes a peer's message, and fetches the peer's configuration if it is newer.
pub(crate) async fn receive(
    hub: &rc::Rc<control::ControlHub>,
    message: &membership::ExchangeMessage,
) {
    hub.record_heard();
    let actions = hub.prober.borrow_mut().receive(message, hub.clock.now());
    for action in actions {
        spawn_action(hub, action);
    }
    hub.publish_view().await;
    if message.generation > hub.generation() {
        let peer = message.from.control_address;
        let hub = hub.clone();
        let executor = hub.executor.clone();
        executor.spawn(async move { fetch_config(&hub, peer).await }).detach();
    }
}

async fn probe_indirectly(
    hub: &control::ControlHub,
    helper: ids::InstanceId,
    target: ids::InstanceId,
) -> bool {
    let Some(peer) = address_of(hub, helper) else { return false };
    let path = format!("/peer/reach?member={}", target.0);
    // The helper calls the target with the same timeout before it answers.
    let mut call =
        http::ClientRequest::new(hyper::Method::POST, peer, path, 2 * hub.call_timeout());
    call.body = Vec::new();
    let answer = http::call(call).await;
    answer.is_ok_and(|answer| answer.status == 200)
}

async fn fetch_view(hub: &control::ControlHub, peer: net::SocketAddr) -> bool {
    let records = get::<Vec<membership::MemberRecord>>(hub, peer, "/peer/view".to_owned()).await;
    let Some(records) = records else { return false };
    hub.prober.borrow_mut().receive_view(&records, hub.clock.now());
    hub.publish_view().await;
    true
}

/// Seeds: peers from the settings, and announced processes whose hash starts with `digits`.
async fn seeds(hub: &control::ControlHub, digits: &str) -> Vec<net::SocketAddr> {
    let mut seeds = hub.settings.peers.clone();
    if let Some(store) = &hub.store {
        let prefix = format!("{}{digits}", platform::MEMBER_PREFIX);
        let announced = store.list(&prefix, MAX_SEEDS).await.unwrap_or_default();
        let parse = |object: platform::StoredObject| {
            serde_json::from_str::<membership::MemberRecord>(&object.value).ok()
        };
        let own = hub.prober.borrow().own().instance;
        let others = announced.into_iter().filter_map(parse);
        seeds.extend(others.filter(|r| r.instance != own).map(|record| record.control_address));
    }
    let own_address = hub.prober.borrow().own().control_address;
    seeds.retain(|seed| *seed != own_address);
    seeds
}

fn knows_no_peer(hub: &control::ControlHub) -> bool {
    let prober = hub.prober.borrow();
    let own = prober.own().instance;
    !prober.view().reachable().any(|record| record.instance != own)
}

fn address_of(hub: &control::ControlHub, member: ids::InstanceId) -> Option<net::SocketAddr> {
    hub.prober.borrow().view().get(member).map(|record| record.control_address)
}

async fn get<T: de::DeserializeOwned>(
    hub: &control::ControlHub,
    peer: net::SocketAddr,
    path: String,
) -> Option<T> {
    let call = http::ClientRequest::new(hyper::Method::GET, peer, path, hub.call_timeout());
    send_call(call).await
}

async fn post<B: Serialize, T: de::DeserializeOwned>(
    hub: &control::ControlHub,
    peer: net::SocketAddr,
    path: String,
    body: &B,
) -> Option<T> {
    let mut call = http::ClientRequest::new(hyper::Method::POST, peer, path, hub.call_timeout());
    call.body = rmp_serde::to_vec(body).ok()?;
    send_call(call).await
}

async fn send_call<T: de::DeserializeOwned>(call: http::ClientRequest) -> Option<T> {
    let sent = call.body.len();
    let answer = http::call(call).await.ok().filter(|answer| answer.status == 200)?;
    metrics::counter!("rosemaryusher_control_calls_total").increment(1);
    metrics::counter!("rosemaryusher_control_body_bytes_total")
        .increment((sent + answer.body.len()) as u64);
    rmp_serde::from_slice(&answer.body).ok()
}
