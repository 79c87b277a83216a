//! Serves HTTP calls: of peers in MessagePack, of operators in JSON.

use std::rc;

use rosemaryusher_core::ids;
use rosemaryusher_core::membership;
use smol::channel;

use crate::control;
use crate::control::peers;
use crate::http;

pub(crate) async fn handle(
    hub: rc::Rc<control::ControlHub>,
    request: http::ServerRequest,
) -> http::ServerResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("POST", "/peer/exchange") => handle_exchange(&hub, &request).await,
        ("POST", "/peer/reach") => handle_reach(&hub, &request).await,
        ("POST", "/peer/handover") => handle_handover(&hub, &request).await,
        ("GET", "/peer/view") => get_view(&hub),
        ("GET", "/peer/config") => get_config(&hub, &request),
        ("GET", "/state") => get_state(&hub).await,
        ("GET", "/generation") => get_generation(&hub),
        ("GET", "/ready") => get_readiness(&hub),
        ("GET", "/metrics") => http::ServerResponse::new(200, hub.metrics.render())
            .with("content-type", "text/plain; version=0.0.4"),
        ("GET" | "POST", path) => http::ServerResponse::new(404, format!("no such path: {path}\n")),
        (method, _) => http::ServerResponse::new(405, format!("method {method} is not allowed\n")),
    }
}

async fn handle_exchange(
    hub: &rc::Rc<control::ControlHub>,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let Ok(message) = rmp_serde::from_slice::<membership::ExchangeMessage>(&request.body) else {
        return http::ServerResponse::new(400, "the body is not an exchange message\n");
    };
    peers::receive(hub, &message).await;
    let answer = hub.prober.borrow_mut().build_message(hub.generation());
    http::ServerResponse::msgpack(&answer)
}

async fn handle_reach(
    hub: &rc::Rc<control::ControlHub>,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let member = request.parameter("member").and_then(|text| text.parse().ok());
    let Some(member) = member.map(ids::InstanceId) else {
        return http::ServerResponse::new(
            400,
            "the parameter `member` is missing or not a number\n",
        );
    };
    match peers::exchange_with_member(hub, member).await {
        true => http::ServerResponse::new(200, ""),
        false => http::ServerResponse::new(504, "the member did not answer\n"),
    }
}

async fn handle_handover(
    hub: &rc::Rc<control::ControlHub>,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let Ok(part) = rmp_serde::from_slice::<control::HandoverPart>(&request.body) else {
        return http::ServerResponse::new(400, "the body is not a part of a request record\n");
    };
    let is_agent = matches!(hub.prober.borrow().own().role, membership::MemberRole::Agent(_));
    if !is_agent {
        return http::ServerResponse::new(
            409,
            "this process is not an agent and keeps no request record\n",
        );
    }
    let own = hub.prober.borrow().own().instance;
    let to = request.parameter("to").and_then(|text| text.parse().ok()).map(ids::InstanceId);
    if to.is_some_and(|to| to != own) {
        return http::ServerResponse::new(409, "the request record is for another process\n");
    }
    let (done, stored) = channel::bounded(1);
    let output = control::ControlOutput::Adopt { part, done };
    if hub.outputs.send(output).await.is_err() || stored.recv().await.is_err() {
        return http::ServerResponse::new(503, "this process is shutting down\n");
    }
    http::ServerResponse::msgpack(&())
}

fn get_view(hub: &control::ControlHub) -> http::ServerResponse {
    let prober = hub.prober.borrow();
    let records: Vec<_> = prober.view().iter().map(|member| &member.record).collect();
    http::ServerResponse::msgpack(&records)
}

fn get_config(hub: &control::ControlHub, request: &http::ServerRequest) -> http::ServerResponse {
    let since = request.parameter("since").and_then(|text| text.parse().ok()).unwrap_or(0);
    http::ServerResponse::msgpack(&hub.state.borrow().delta_since(ids::ConfigGeneration(since)))
}

async fn get_state(hub: &control::ControlHub) -> http::ServerResponse {
    let (sender, receiver) = channel::bounded(1);
    let decisions = match hub.outputs.send(control::ControlOutput::Dump(sender)).await {
        Ok(()) => receiver.recv().await.unwrap_or_default(),
        Err(_) => serde_json::Value::Null,
    };
    let prober = hub.prober.borrow();
    let members: Vec<_> = prober.view().iter().map(|member| &member.record).collect();
    let state = hub.state.borrow();
    let services: Vec<_> = state.services().collect();
    http::ServerResponse::json(
        200,
        &serde_json::json!({
            "own": prober.own(),
            "generation": state.generation(),
            "data_centres": state.data_centres(),
            "services": services,
            "members": members,
            "decisions": decisions,
        }),
    )
}

fn get_generation(hub: &control::ControlHub) -> http::ServerResponse {
    let body = serde_json::json!({ "generation": hub.generation() });
    http::ServerResponse::json(200, &body)
}

/// Ready when the process has a configuration, knows a peer and is in its serving phase.
fn get_readiness(hub: &control::ControlHub) -> http::ServerResponse {
    let prober = hub.prober.borrow();
    let has_config = hub.generation() > ids::ConfigGeneration(0);
    let is_serving = prober.own().phase == membership::MemberPhase::Serving;
    let has_peers = prober.view().reachable().count() > 1;
    let status = if has_config && is_serving && has_peers { 200 } else { 503 };
    let body = serde_json::json!({
        "has_config": has_config,
        "has_peers": has_peers,
        "is_serving": is_serving,
    });
    http::ServerResponse::json(status, &body)
}
