//! Starts the threads of the agent and drains it on shutdown.

use std::thread;
use std::time;

use eyre::WrapErr as _;
use rand::Rng as _;
use rosemaryusher_core::agent;
use rosemaryusher_core::ids;
use rosemaryusher_core::ledger;
use rosemaryusher_core::membership;
use rosemaryusher_node::clock;
use rosemaryusher_node::control;
use rosemaryusher_node::identity;
use rosemaryusher_node::logs;
use rosemaryusher_node::meters;
use rosemaryusher_node::panics;
use rosemaryusher_node::rings;
use rosemaryusher_node::signals;
use rosemaryusher_node::threads;
use smol::channel;

use crate::backend;
use crate::engine_loop;
use crate::packets;
use crate::settings;

/// Also the interval at which a drain checks for open work.
const TICK_INTERVAL: time::Duration = time::Duration::from_millis(50);

/// The most entries in one part of a handover.
const HANDOVER_PART_ENTRIES: usize = 500;

/// Runs the agent until a shutdown signal arrives and the drain has ended.
///
/// # Errors
///
/// Fails if a socket cannot be bound, a thread cannot be started or the control thread has ended.
pub(crate) fn run(
    settings: settings::AgentSettings,
    mut signals: signals::DaemonSignals,
) -> eyre::Result<()> {
    logs::start(&settings.node.logs, &settings.node.name)?;
    panics::exit_on_panic();
    let metrics = meters::start()?;
    let clock = clock::ProcessClock::start();
    let instance = ids::InstanceId(rand::rng().next_u64() | 1);
    let service = ids::ServiceId::of_name(&settings.service);
    let socket = smol::block_on(smol::net::UdpSocket::bind(settings.node.packet_address))
        .wrap_err_with(|| {
            format!("cannot bind the packet socket to {}", settings.node.packet_address)
        })?;
    let packet_address = socket.local_addr()?;
    let engine = agent::AgentEngine::new(agent::AgentConfig {
        instance,
        service,
        data_centre: settings.node.data_centre.clone(),
        ledger: ledger::LedgerLimits {
            entries: settings.record.entries,
            answer_bytes: settings.record.answer_bytes,
        },
        seed: rand::rng().next_u64(),
    });
    let role = membership::MemberRole::Agent(service);
    let own = identity::own_record(&settings.node, instance, role, packet_address, &clock);

    let (inputs, input_receiver) = rings::ring();
    let (packet_outputs, packet_receiver) = rings::ring();
    let (backend_outputs, backend_receiver) = rings::ring();
    let (control_outputs, control_receiver) = rings::ring();
    let (commands, command_receiver) = channel::bounded(16);
    let (started, started_receiver) = channel::bounded(1);

    let parts = control::ControlInputs {
        own,
        settings: settings.node.clone(),
        clock,
        metrics,
        outputs: control_outputs,
        commands: command_receiver,
        seed: rand::rng().next_u64(),
    };
    threads::spawn("control", move || threads::log_failure(control::run(parts, started)))?;
    let control_inputs = inputs.clone();
    threads::spawn("relay", move || relay_control_outputs(&control_receiver, &control_inputs))?;
    let backend_inputs = inputs.clone();
    let backend_settings = settings.backend.clone();
    threads::spawn("backend", move || {
        backend::run(backend_settings, clock, backend_inputs, backend_receiver);
    })?;
    let (receive_socket, send_socket) = (socket.clone(), socket);
    let packet_inputs = inputs.clone();
    threads::spawn("read", move || {
        smol::block_on(packets::receive(receive_socket, packet_inputs))
    })?;
    threads::spawn("write", move || smol::block_on(packets::send(send_socket, packet_receiver)))?;
    let tick_inputs = inputs.clone();
    threads::spawn("tick", move || send_ticks(&tick_inputs))?;
    let outputs = engine_loop::AgentOutputs { packets: packet_outputs, backend: backend_outputs };
    threads::spawn("decide", move || engine_loop::run(engine, clock, input_receiver, outputs))?;

    let control_address = started_receiver
        .recv_blocking()
        .wrap_err("the control thread ended before it was listening")?;
    log::info!("listening control={control_address} packets={packet_address} instance={instance}");
    smol::block_on(async {
        signals.shutdown_requested().await?;
        drain(&settings, &inputs, &commands).await
    })
}

/// Waits for open work, hands the request record over and leaves the membership.
async fn drain(
    settings: &settings::AgentSettings,
    inputs: &channel::Sender<engine_loop::AgentInput>,
    commands: &channel::Sender<control::ControlCommand>,
) -> eyre::Result<()> {
    log::info!("draining");
    inputs.send(engine_loop::AgentInput::Event(agent::AgentEvent::Drain)).await?;
    identity::set_phase(commands, membership::MemberPhase::Draining).await?;
    let limit = settings.drain.limit_s.map(time::Duration::from_secs);
    let started_at = time::Instant::now();
    let mut logged = None;
    loop {
        let (reply, export) = channel::bounded(1);
        inputs.send(engine_loop::AgentInput::ExportIfIdle(reply)).await?;
        match export.recv().await? {
            engine_loop::AgentExport::Ready { records, successors } => {
                let successor = hand_over(commands, records, successors).await?;
                identity::set_phase(commands, membership::MemberPhase::Left { successor }).await?;
                break;
            }
            engine_loop::AgentExport::Busy(backlog)
                if limit.is_some_and(|limit| started_at.elapsed() > limit) =>
            {
                log::warn!("drain limit exceeded; abandoning open work: {backlog:?}");
                identity::set_phase(commands, membership::MemberPhase::Left { successor: None })
                    .await?;
                break;
            }
            engine_loop::AgentExport::Busy(backlog) if logged != Some(backlog) => {
                log::info!("still in progress: {backlog:?}");
                logged = Some(backlog);
            }
            engine_loop::AgentExport::Busy(_) => {}
        }
        smol::Timer::after(TICK_INTERVAL).await;
    }
    smol::Timer::after(time::Duration::from_millis(settings.drain.linger_ms)).await;
    log::info!("left the membership");
    Ok(())
}

async fn hand_over(
    commands: &channel::Sender<control::ControlCommand>,
    records: Vec<(ids::InstanceId, Vec<ledger::HandoverEntry>)>,
    successors: Vec<ids::InstanceId>,
) -> eyre::Result<Option<ids::InstanceId>> {
    let parts: Vec<_> =
        records.into_iter().flat_map(|(home, entries)| split_into_parts(home, entries)).collect();
    for successor in successors {
        let (done, accepted) = channel::bounded(1);
        let command = control::ControlCommand::HandOver(successor, parts.clone(), done);
        commands.send(command).await?;
        if accepted.recv().await? {
            log::info!("handed the request record over to {successor}");
            return Ok(Some(successor));
        }
    }
    log::warn!("no agent took the record; resubmitted requests will get an unknown outcome");
    Ok(None)
}

fn split_into_parts(
    home: ids::InstanceId,
    mut entries: Vec<ledger::HandoverEntry>,
) -> Vec<control::HandoverPart> {
    let mut parts = Vec::new();
    loop {
        let rest = entries.split_off(entries.len().min(HANDOVER_PART_ENTRIES));
        let is_last = rest.is_empty();
        parts.push(control::HandoverPart { home, entries, is_last });
        if is_last {
            return parts;
        }
        entries = rest;
    }
}

fn relay_control_outputs(
    outputs: &channel::Receiver<control::ControlOutput>,
    inputs: &channel::Sender<engine_loop::AgentInput>,
) {
    while let Ok(output) = outputs.recv_blocking() {
        if inputs.send_blocking(engine_loop::AgentInput::Control(output)).is_err() {
            return;
        }
    }
}

fn send_ticks(inputs: &channel::Sender<engine_loop::AgentInput>) {
    while !inputs.is_closed() {
        thread::sleep(TICK_INTERVAL);
        let _ = inputs.try_send(engine_loop::AgentInput::Event(agent::AgentEvent::Tick));
    }
}
