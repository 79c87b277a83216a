//! HTTP requests of other processes, the backend server and operators.

use std::rc;

use rosemaryusher_core::ids;
use smol::channel;

use crate::external_input;
use crate::http;
use crate::stream::bodies;
use crate::stream::context;
use crate::stream::packets;
use crate::stream::status;

/// Handles one request.
pub(crate) async fn handle(
    context: rc::Rc<context::ControlContext>,
    request: http::ServerRequest,
) -> http::ServerResponse {
    let backend = request.path.strip_prefix("/backend/").and_then(|rest| rest.split_once('/'));
    match (request.method.as_str(), request.path.as_str(), backend) {
        ("POST", _, Some((id, "report"))) => handle_report(&context, id, &request).await,
        ("POST", _, Some((id, "leave"))) => handle_leave(&context, id, &request).await,
        ("GET", "/ready", _) => get_readiness(&context),
        ("GET", "/peer/config", _) => get_config(&context, &request),
        ("GET", "/state", _) => get_state(&context).await,
        ("GET", "/metrics", _) => http::ServerResponse::new(200, context.metrics.render())
            .with("content-type", "text/plain; version=0.0.4"),
        ("GET" | "POST", path, _) => http::ServerResponse::new(404, format!("no page {path}\n")),
        (method, _, _) => http::ServerResponse::new(405, format!("{method} is not taken here\n")),
    }
}

async fn handle_report(
    context: &context::ControlContext,
    id: &str,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let report = bodies::parse_report(id, &request.body, context.service, &context.state.borrow());
    let report = match report {
        Ok(report) => report,
        Err(problem) => return reject(external_input::InputSource::Report, id, &problem),
    };
    let is_own = context.service.is_none_or(|service| report.is_of(service));
    let service = report.service.clone();
    context.send_input(packets::StreamInput::HostReport(report)).await;
    match is_own {
        true => http::ServerResponse::json(200, &serde_json::json!({})),
        false => {
            let problem = format!(
                "service: is {service:?}, but this agent was started for another; start it again \
                 with the settings of this backend server"
            );
            reject(external_input::InputSource::Report, id, &problem)
        }
    }
}

async fn handle_leave(
    context: &context::ControlContext,
    id: &str,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    match bodies::parse_leave(id, &request.body) {
        Ok(run) => context.send_input(packets::StreamInput::HostLeft(run)).await,
        Err(problem) => return reject(external_input::InputSource::Leave, id, &problem),
    }
    http::ServerResponse::json(200, &serde_json::json!({}))
}

fn reject(place: external_input::InputSource, id: &str, problem: &str) -> http::ServerResponse {
    external_input::report_invalid(place, id, problem);
    http::ServerResponse::new(400, format!("not taken: {problem}\n"))
}

fn get_readiness(context: &context::ControlContext) -> http::ServerResponse {
    let is_ready = status::is_set(&context.status.is_ready) && !context.is_leaving.get();
    http::ServerResponse::new(if is_ready { 200 } else { 503 }, "")
}

fn get_config(
    context: &context::ControlContext,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let since = request.parameter("since").and_then(|text| text.parse().ok()).unwrap_or(0);
    http::ServerResponse::msgpack(&context.state.borrow().delta_since(ids::ConfigGeneration(since)))
}

async fn get_state(context: &context::ControlContext) -> http::ServerResponse {
    let (sender, receiver) = channel::bounded(1);
    context.send_input(packets::StreamInput::Dump(sender)).await;
    let decisions = receiver.recv().await.unwrap_or_default();
    let state = context.state.borrow();
    let services: Vec<_> = state.services().collect();
    http::ServerResponse::json(
        200,
        &serde_json::json!({
            "name": context.settings.borrow().name,
            "address": context.own_address,
            "generation": state.generation(),
            "services": services,
            "reaches_platform": context.reaches_platform.get(),
            "decisions": decisions,
        }),
    )
}
