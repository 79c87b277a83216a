//! The thread that owns the engine: feeds it events and executes its actions.

use rosemaryusher_core::agent;
use rosemaryusher_core::ids;
use rosemaryusher_core::ledger;
use rosemaryusher_node::clock;
use rosemaryusher_node::control;
use rosemaryusher_node::meters;
use rosemaryusher_node::rings;
use smol::channel;

use crate::backend;
use crate::packets;

/// An input of the engine thread.
#[derive(Debug)]
pub(crate) enum AgentInput {
    /// An event for the engine.
    Event(agent::AgentEvent),
    /// An output of the control thread.
    Control(control::ControlOutput),
    /// Asks for the request records, which are exported once the agent is idle.
    ExportIfIdle(channel::Sender<AgentExport>),
}

/// The reply to [`AgentInput::ExportIfIdle`].
#[derive(Debug)]
pub(crate) enum AgentExport {
    /// Work is still open, or the agent is not draining.
    Busy(agent::AgentBacklog),
    /// The agent is draining and idle.
    Ready {
        /// Request records by home instance.
        records: Vec<(ids::InstanceId, Vec<ledger::HandoverEntry>)>,
        /// Candidates for the handover, best first.
        successors: Vec<ids::InstanceId>,
    },
}

/// The output channels of the engine thread.
pub(crate) struct AgentOutputs {
    /// To the thread that sends packets.
    pub(crate) packets: channel::Sender<packets::OutgoingPacket>,
    /// To the backend thread.
    pub(crate) backend: channel::Sender<backend::BackendCommand>,
}

/// Runs the engine until its input channel closes.
pub(crate) fn run(
    mut engine: agent::AgentEngine,
    clock: clock::ProcessClock,
    inputs: channel::Receiver<AgentInput>,
    outputs: AgentOutputs,
) {
    let mut actions = Vec::new();
    while let Ok(input) = inputs.recv_blocking() {
        let now = clock.now();
        match input {
            AgentInput::Event(event) => engine.handle(now, event, &mut actions),
            AgentInput::Control(output) => {
                handle_control_output(&mut engine, now, output, &mut actions);
            }
            AgentInput::ExportIfIdle(reply) => {
                let _ = reply.try_send(export(&engine, now));
            }
        }
        for action in actions.drain(..) {
            execute(&outputs, action);
        }
    }
}

fn handle_control_output(
    engine: &mut agent::AgentEngine,
    now: ids::UnixMillis,
    output: control::ControlOutput,
    actions: &mut Vec<agent::AgentAction>,
) {
    match output {
        control::ControlOutput::View(view) => {
            engine.handle(now, agent::AgentEvent::View(view), actions);
        }
        control::ControlOutput::Config(state) => {
            engine.handle(now, agent::AgentEvent::Config(state), actions);
        }
        control::ControlOutput::Dump(reply) => {
            let _ = reply.try_send(dump(engine, now));
        }
        control::ControlOutput::Adopt { part, done } => {
            let control::HandoverPart { home, entries, is_last } = part;
            let event = agent::AgentEvent::ImportRecords { home, entries, is_last };
            engine.handle(now, event, actions);
            let _ = done.try_send(());
        }
    }
}

fn export(engine: &agent::AgentEngine, now: ids::UnixMillis) -> AgentExport {
    let backlog = engine.backlog(now);
    match engine.is_draining() && backlog.is_idle() {
        false => AgentExport::Busy(backlog),
        true => {
            AgentExport::Ready { records: engine.export_records(), successors: engine.successors() }
        }
    }
}

fn dump(engine: &agent::AgentEngine, now: ids::UnixMillis) -> serde_json::Value {
    serde_json::json!({
        "load": engine.load(),
        "backlog": engine.backlog(now),
        "draining": engine.is_draining(),
        "flows": engine.owned_flows(),
    })
}

fn execute(outputs: &AgentOutputs, action: agent::AgentAction) {
    match action {
        agent::AgentAction::Send { to, packet } => {
            send_packet(outputs, to, packets::PacketBody::Peer(packet));
        }
        agent::AgentAction::Answer { to, reply, exchange, answer, ticket } => {
            let body = packets::PacketBody::Answer { reply, exchange, answer, ticket };
            send_packet(outputs, to, body);
        }
        agent::AgentAction::StartExecution { execution: run, request, deadline } => {
            metrics::counter!("rosemaryusher_runs_total").increment(1);
            let request = Box::new(request);
            send_command(outputs, backend::BackendCommand::StartRun { run, request, deadline });
        }
        agent::AgentAction::CancelExecution { execution: run } => {
            send_command(outputs, backend::BackendCommand::CancelRun(run));
        }
        agent::AgentAction::FlowDatagram { flow, payload } => {
            let datagram = backend::BackendCommand::SendDatagram(flow, payload);
            drop(rings::try_push(&outputs.backend, datagram, "backend_ring_full"));
        }
        agent::AgentAction::CloseFlow { flow } => {
            send_command(outputs, backend::BackendCommand::CloseFlow(flow));
        }
        agent::AgentAction::Drop(reason) => meters::count_drop(reason.label()),
    }
}

fn send_packet(outputs: &AgentOutputs, to: std::net::SocketAddr, packet: packets::PacketBody) {
    let output = packets::OutgoingPacket { to, packet };
    drop(rings::try_push(&outputs.packets, output, "packet_ring_full"));
}

/// Sends a command, blocking while the channel is full: losing the start of a run would leak its
/// slot. The channel holds more commands than there are slots, so only datagrams can fill it.
fn send_command(outputs: &AgentOutputs, command: backend::BackendCommand) {
    let _ = outputs.backend.send_blocking(command);
}
