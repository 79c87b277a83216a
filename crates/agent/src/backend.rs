//! The thread that exchanges requests and datagrams with the backend server.

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time;

use rosemaryusher_core::admission;
use rosemaryusher_core::agent;
use rosemaryusher_core::ids;
use rosemaryusher_core::message;
use rosemaryusher_core::placement;
use rosemaryusher_node::clock;
use rosemaryusher_node::http;
use rosemaryusher_node::meters;
use smol::channel;

use crate::engine_loop;
use crate::settings;

/// Request header with the time left for the answer, in milliseconds.
const DEADLINE_HEADER: &str = "x-request-deadline-ms";

const HEALTH_POLL_INTERVAL: time::Duration = time::Duration::from_secs(1);

const RECEIVE_RETRY_DELAY: time::Duration = time::Duration::from_millis(20);

/// A command from the engine to the backend server.
#[derive(Debug)]
pub(crate) enum BackendCommand {
    /// Sends a request.
    StartRun {
        run: admission::ExecutionId,
        request: Box<message::CallerRequest>,
        deadline: ids::UnixMillis,
    },
    /// Closes the connection of a request.
    CancelRun(admission::ExecutionId),
    /// Sends a datagram of a flow.
    SendDatagram(placement::FlowKey, Vec<u8>),
    /// Closes the socket of a flow.
    CloseFlow(placement::FlowKey),
}

struct BackendClient {
    settings: settings::BackendSettings,
    clock: clock::ProcessClock,
    inputs: channel::Sender<engine_loop::AgentInput>,
    executor: rc::Rc<smol::LocalExecutor<'static>>,
    runs: cell::RefCell<collections::HashMap<admission::ExecutionId, smol::Task<()>>>,
    flows: cell::RefCell<collections::HashMap<placement::FlowKey, FlowSocket>>,
}

/// A flow's connected socket and the task that receives from it.
struct FlowSocket {
    socket: smol::net::UdpSocket,
    _receive_task: smol::Task<()>,
}

/// Executes commands until their channel closes.
pub(crate) fn run(
    settings: settings::BackendSettings,
    clock: clock::ProcessClock,
    inputs: channel::Sender<engine_loop::AgentInput>,
    commands: channel::Receiver<BackendCommand>,
) {
    let executor = rc::Rc::new(smol::LocalExecutor::new());
    let client = rc::Rc::new(BackendClient {
        settings,
        clock,
        inputs,
        executor: executor.clone(),
        runs: cell::RefCell::default(),
        flows: cell::RefCell::default(),
    });
    executor.spawn(poll_health(client.clone())).detach();
    smol::block_on(executor.run(async {
        while let Ok(command) = commands.recv().await {
            execute(&client, command).await;
        }
    }));
}

async fn execute(client: &rc::Rc<BackendClient>, command: BackendCommand) {
    match command {
        BackendCommand::StartRun { run, request, deadline } => {
            let task = client.executor.spawn(run_request(client.clone(), run, *request, deadline));
            client.runs.borrow_mut().insert(run, task);
        }
        // Dropping the task closes its connection, the only way to cancel over HTTP/1.1.
        BackendCommand::CancelRun(run) => drop(client.runs.borrow_mut().remove(&run)),
        BackendCommand::SendDatagram(flow, payload) => send_datagram(client, flow, &payload).await,
        BackendCommand::CloseFlow(flow) => drop(client.flows.borrow_mut().remove(&flow)),
    }
}

async fn run_request(
    client: rc::Rc<BackendClient>,
    run: admission::ExecutionId,
    request: message::CallerRequest,
    deadline: ids::UnixMillis,
) {
    let outcome = match client.settings.requests {
        Some(address) => call_backend(&client, address, request, deadline).await,
        None => agent::ExecutionOutcome::ConnectFailed,
    };
    let event = agent::AgentEvent::ExecutionEnded { execution: run, outcome };
    let _ = client.inputs.send(engine_loop::AgentInput::Event(event)).await;
    // Detach: dropping the task's own handle would cancel the task.
    let task = client.runs.borrow_mut().remove(&run);
    task.map(smol::Task::detach).unwrap_or_default();
}

async fn call_backend(
    client: &BackendClient,
    address: net::SocketAddr,
    request: message::CallerRequest,
    deadline: ids::UnixMillis,
) -> agent::ExecutionOutcome {
    let left_ms = deadline.since(client.clock.now());
    let method = hyper::Method::from_bytes(request.method.http_name().as_bytes());
    let timeout = time::Duration::from_millis(left_ms);
    let mut call =
        http::ClientRequest::new(method.unwrap_or_default(), address, request.path, timeout);
    call.headers.push((DEADLINE_HEADER, left_ms.to_string()));
    call.body = request.payload;
    match http::call(call).await {
        Ok(answer) if answer.status == 503 => {
            agent::ExecutionOutcome::Shed { after_s: answer.retry_after_s }
        }
        Ok(answer) => {
            let answer = message::BackendAnswer { status: answer.status, body: answer.body };
            agent::ExecutionOutcome::Answered(answer)
        }
        Err(http::CallError::NotConnected) => agent::ExecutionOutcome::ConnectFailed,
        Err(http::CallError::Broken) => agent::ExecutionOutcome::Broken,
    }
}

async fn send_datagram(client: &rc::Rc<BackendClient>, flow: placement::FlowKey, payload: &[u8]) {
    let open = client.flows.borrow().get(&flow).map(|flow| flow.socket.clone());
    let socket = match open {
        Some(socket) => Some(socket),
        None => open_flow(client, flow).await,
    };
    let is_sent = match socket {
        Some(socket) => socket.send(payload).await.is_ok(),
        None => false,
    };
    if !is_sent {
        meters::count_drop("backend_datagram");
    }
}

async fn open_flow(
    client: &rc::Rc<BackendClient>,
    flow: placement::FlowKey,
) -> Option<smol::net::UdpSocket> {
    let address = client.settings.datagrams?;
    let local: net::IpAddr = match address {
        net::SocketAddr::V4(_) => net::Ipv4Addr::UNSPECIFIED.into(),
        net::SocketAddr::V6(_) => net::Ipv6Addr::UNSPECIFIED.into(),
    };
    let socket = smol::net::UdpSocket::bind((local, 0)).await.ok()?;
    socket.connect(address).await.ok()?;
    let receive_task =
        client.executor.spawn(receive_datagrams(client.clone(), flow, socket.clone()));
    let flow_socket = FlowSocket { socket: socket.clone(), _receive_task: receive_task };
    client.flows.borrow_mut().insert(flow, flow_socket);
    Some(socket)
}

async fn receive_datagrams(
    client: rc::Rc<BackendClient>,
    flow: placement::FlowKey,
    socket: smol::net::UdpSocket,
) {
    let mut buffer = vec![0; usize::from(u16::MAX)];
    while !client.inputs.is_closed() {
        // ICMP port unreachable surfaces here; the backend server may come back.
        let Ok(length) = socket.recv(&mut buffer).await else {
            smol::Timer::after(RECEIVE_RETRY_DELAY).await;
            continue;
        };
        let event = agent::AgentEvent::BackendDatagram { flow, payload: buffer[..length].to_vec() };
        let _ = client.inputs.send(engine_loop::AgentInput::Event(event)).await;
    }
}

async fn poll_health(client: rc::Rc<BackendClient>) {
    let endpoint = client.settings.health_path.clone().zip(client.settings.requests);
    let Some((path, address)) = endpoint else { return };
    while !client.inputs.is_closed() {
        let method = hyper::Method::GET;
        let call = http::ClientRequest::new(method, address, path.clone(), HEALTH_POLL_INTERVAL);
        let is_healthy = http::call(call).await.is_ok_and(|answer| answer.status < 400);
        let event = agent::AgentEvent::BackendHealth { is_healthy };
        let _ = client.inputs.send(engine_loop::AgentInput::Event(event)).await;
        smol::Timer::after(HEALTH_POLL_INTERVAL).await;
    }
}
