//! Starts the threads of the balancer and drains it on shutdown.

use std::sync;
use std::time;

use eyre::WrapErr as _;
use rand::Rng as _;
use rosemaryusher_core::balancer;
use rosemaryusher_core::ids;
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

use crate::engine_loop;
use crate::entries;
use crate::settings;

/// Runs the balancer until a shutdown signal arrives and the drain has ended.
///
/// # Errors
///
/// Fails if a socket cannot be bound, a thread cannot be started or the control thread has ended.
pub(crate) fn run(
    settings: settings::BalancerSettings,
    mut signals: signals::DaemonSignals,
) -> eyre::Result<()> {
    logs::start(&settings.node.logs, &settings.node.name)?;
    panics::exit_on_panic();
    let metrics = meters::start()?;
    let clock = clock::ProcessClock::start();
    let instance = ids::InstanceId(rand::rng().next_u64() | 1);
    let socket = smol::block_on(smol::net::UdpSocket::bind(settings.node.packet_address))
        .wrap_err_with(|| {
            format!("cannot bind the packet socket to {}", settings.node.packet_address)
        })?;
    let packet_address = socket.local_addr()?;
    let engine = balancer::BalancerEngine::new(balancer::BalancerConfig {
        instance,
        data_centre: settings.node.data_centre.clone(),
        cached_flows: settings.cached_flows,
        seed: rand::rng().next_u64(),
    });
    let entries = entries::EntrySockets::new(settings.entry);

    let (inputs, input_receiver) = rings::ring();
    let (outputs, output_receiver) = rings::ring();
    let (control_outputs, control_receiver) = rings::ring();
    let (commands, command_receiver) = channel::bounded(16);
    let (started, started_receiver) = channel::bounded(1);

    let role = membership::MemberRole::Balancer;
    let own = identity::own_record(&settings.node, instance, role, packet_address, &clock);
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
    let (receive_socket, send_socket) = (socket.clone(), socket);
    let (receive_inputs, receive_entries) = (inputs, entries.clone());
    threads::spawn("read", move || {
        smol::block_on(receive(receive_socket, receive_entries, receive_inputs, control_receiver));
    })?;
    let send_entries = entries.clone();
    threads::spawn("write", move || {
        smol::block_on(engine_loop::send(send_socket, send_entries, output_receiver));
    })?;
    let engine_entries = entries.clone();
    threads::spawn("decide", move || {
        engine_loop::run(engine, clock, engine_entries, input_receiver, outputs);
    })?;

    let control_address = started_receiver
        .recv_blocking()
        .wrap_err("the control thread ended before it was listening")?;
    log::info!("listening control={control_address} packets={packet_address} instance={instance}");
    smol::block_on(async {
        signals.shutdown_requested().await?;
        drain(&settings, &entries, &commands).await
    })
}

/// Receives datagrams of callers and peers, and updates the entry sockets on configuration changes.
async fn receive(
    socket: smol::net::UdpSocket,
    entries: entries::EntrySockets,
    inputs: channel::Sender<engine_loop::BalancerInput>,
    control_receiver: channel::Receiver<control::ControlOutput>,
) {
    let executor = sync::Arc::new(smol::Executor::new());
    executor.spawn(engine_loop::receive_peer_packets(socket, inputs.clone())).detach();
    let entry_executor = executor.clone();
    executor
        .run(async move {
            while let Ok(output) = control_receiver.recv().await {
                if let control::ControlOutput::Config(state) = &output {
                    entries.update(state, &inputs, &entry_executor).await;
                }
                let _ = inputs.send(engine_loop::BalancerInput::Control(output)).await;
            }
        })
        .await;
}

/// Waits until callers' datagrams stop arriving, then leaves the membership.
///
/// There is no state to hand over: any balancer serves any flow, and agents reply through another
/// balancer once this one has left.
async fn drain(
    settings: &settings::BalancerSettings,
    entries: &entries::EntrySockets,
    commands: &channel::Sender<control::ControlCommand>,
) -> eyre::Result<()> {
    log::info!("draining");
    identity::set_phase(commands, membership::MemberPhase::Draining).await?;
    let started_at = time::Instant::now();
    let quiet = time::Duration::from_millis(settings.drain.quiet_ms);
    let limit = time::Duration::from_secs(settings.drain.limit_s);
    let mut previous = entries.received_count();
    loop {
        smol::Timer::after(quiet).await;
        let received = entries.received_count();
        if received == previous || started_at.elapsed() >= limit {
            break;
        }
        previous = received;
    }
    identity::set_phase(commands, membership::MemberPhase::Left { successor: None }).await?;
    log::info!("left the membership");
    Ok(())
}
