//! Stand-in for a backend server: counts the requests that it runs; failures can be injected.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use rosemaryusher_node::http;
use serde::Deserialize;
use serde::Serialize;

/// Injected delays and failures.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BackendBehaviour {
    /// Service time of a request, in milliseconds.
    pub work_ms: u64,
    /// If set, requests are refused with 503 and this `Retry-After`, in seconds.
    #[serde(rename = "shed_s")]
    pub retry_after_s: Option<u32>,
    /// Requests run and are never answered.
    #[serde(rename = "breaks")]
    pub hangs: bool,
    /// The health check fails.
    #[serde(rename = "says_unwell")]
    pub reports_unhealthy: bool,
}

/// The answer to a datagram.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct FlowEcho {
    /// Service name.
    pub service: String,
    /// Host name.
    pub host: String,
    /// Datagrams of the flow that this host has received.
    pub count: u64,
    /// Payload of the datagram.
    pub text: String,
}

struct BackendState {
    service: String,
    host: String,
    behaviour: BackendBehaviour,
    runs: collections::BTreeMap<String, u64>,
    served: u64,
    cancelled: u64,
}

type SharedState = rc::Rc<cell::RefCell<BackendState>>;

/// Prints the addresses as JSON, then serves until the process ends.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub fn run(service: &str, host: &str) -> eyre::Result<()> {
    let executor = rc::Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = http::listen(([127, 0, 0, 1], 0).into()).await?;
        let socket = smol::net::UdpSocket::bind("127.0.0.1:0").await?;
        let (requests, datagrams) = (listener.local_addr()?, socket.local_addr()?);
        println!("{}", serde_json::json!({ "control": requests, "datagrams": datagrams }));
        let state = rc::Rc::new(cell::RefCell::new(BackendState {
            service: service.to_owned(),
            host: host.to_owned(),
            behaviour: BackendBehaviour::default(),
            runs: collections::BTreeMap::new(),
            served: 0,
            cancelled: 0,
        }));
        executor.spawn(echo(state.clone(), socket)).detach();
        let handler = move |request| handle(state.clone(), request);
        http::serve(listener, executor.clone(), rc::Rc::new(handler)).await
    }))
}

async fn handle(state: SharedState, request: http::ServerRequest) -> http::ServerResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("PUT", "/behaviour") => set_behaviour(&state, &request),
        ("GET", "/runs") => {
            let state = state.borrow();
            let (runs, served, cancelled) = (&state.runs, state.served, state.cancelled);
            let page = serde_json::json!({
                "runs": runs, "served": served, "cancelled": cancelled,
            });
            http::ServerResponse::json(200, &page)
        }
        ("GET", "/health") => {
            let is_healthy = !state.borrow().behaviour.reports_unhealthy;
            http::ServerResponse::new(if is_healthy { 200 } else { 503 }, "")
        }
        _ => serve(&state, &request).await,
    }
}

fn set_behaviour(state: &SharedState, request: &http::ServerRequest) -> http::ServerResponse {
    match serde_json::from_slice(&request.body) {
        Ok(behaviour) => {
            state.borrow_mut().behaviour = behaviour;
            http::ServerResponse::new(204, "")
        }
        Err(error) => http::ServerResponse::new(400, error.to_string()),
    }
}

/// Counts a run as cancelled if it is dropped before it finishes.
struct RunGuard {
    state: SharedState,
    is_finished: bool,
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        if !self.is_finished {
            self.state.borrow_mut().cancelled += 1;
        }
    }
}

async fn serve(state: &SharedState, request: &http::ServerRequest) -> http::ServerResponse {
    let behaviour = state.borrow().behaviour.clone();
    if let Some(after_s) = behaviour.retry_after_s {
        return http::ServerResponse::new(503, "shed").with("retry-after", after_s);
    }
    let text = String::from_utf8_lossy(&request.body).into_owned();
    if request.method == hyper::Method::POST {
        // Counted before the delay, so that a run counts even if its answer is lost.
        let id = text.split_whitespace().next().unwrap_or_default().to_owned();
        *state.borrow_mut().runs.entry(id).or_default() += 1;
    }
    let mut guard = RunGuard { state: state.clone(), is_finished: false };
    smol::Timer::after(time::Duration::from_millis(behaviour.work_ms)).await;
    if behaviour.hangs {
        std::future::pending::<()>().await;
    }
    guard.is_finished = true;
    let mut state = state.borrow_mut();
    state.served += 1;
    let body = match request.path.strip_prefix("/bundle/").and_then(|size| size.parse().ok()) {
        Some(size) => bundle(&state.service, size),
        None => format!("{} {} {} {text}", state.service, request.method, request.path),
    };
    http::ServerResponse::new(200, body)
}

/// `size` bytes of text in which every line differs, so that a lost, repeated or moved block shows.
pub fn bundle(service: &str, size: usize) -> String {
    let lines = (0..).map(|number| format!("{service} line {number}\n"));
    let mut text = String::with_capacity(size + 64);
    for line in lines {
        if text.len() >= size {
            break;
        }
        text.push_str(&line);
    }
    text.truncate(size);
    text
}

async fn echo(state: SharedState, socket: smol::net::UdpSocket) {
    let mut counts: collections::HashMap<net::SocketAddr, u64> = collections::HashMap::new();
    let mut buffer = vec![0; usize::from(u16::MAX)];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else { continue };
        let count = counts.entry(from).or_default();
        *count += 1;
        let echo = {
            let state = state.borrow();
            FlowEcho {
                service: state.service.clone(),
                host: state.host.clone(),
                count: *count,
                text: String::from_utf8_lossy(&buffer[..length]).into_owned(),
            }
        };
        let Ok(bytes) = serde_json::to_vec(&echo) else { continue };
        let _ = socket.send_to(&bytes, from).await;
    }
}
