//! Start, reload and shutdown of a process that takes part in streams.

use std::cell;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::sync::atomic;
use std::time;

use eyre::WrapErr as _;
use rand::Rng as _;
use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use rosemaryusher_core::stream::agent;
use rosemaryusher_core::stream::balancer;
use rosemaryusher_core::stream::slow_start;
use smol::channel;
use smol::future::FutureExt as _;

use crate::clock;
use crate::logs;
use crate::meters;
use crate::panics;
use crate::rings;
use crate::settings;
use crate::signals;
use crate::stream::adapter;
use crate::stream::announce;
use crate::stream::backend_probes;
use crate::stream::context;
use crate::stream::control;
use crate::stream::engine;
use crate::stream::event_log;
use crate::stream::machine_probes;
use crate::stream::message_counters;
use crate::stream::packets;
use crate::stream::status;
use crate::threads;

/// How long the network may keep sending to a process that is no longer ready, in milliseconds: two
/// readiness checks half a second apart, plus packets in flight.
const READINESS_PROPAGATION_MS: u64 = 1_300;

/// How long before the end of the grace period a process exits at the latest, in milliseconds, to
/// leave time for flushing the log on a slow machine.
const SHUTDOWN_MARGIN_MS: u64 = 1_500;

/// Interval between checks of whether a shutdown is complete, in milliseconds.
const SHUTDOWN_POLL_MS: u64 = 50;

/// How long a balancer waits for the removal of its announcement before it exits, in milliseconds; within
/// [`SHUTDOWN_MARGIN_MS`]. A removal that takes longer may still be carried out.
const WITHDRAWAL_TIMEOUT_MS: u64 = 700;

/// Time without an incoming segment after which none is in flight, in milliseconds.
const QUIET_MS: u64 = 300;

/// The options of a process that takes part in streams.
pub struct DaemonOptions {
    /// The settings that all processes share.
    pub settings: settings::NodeSettings,
    /// The file that the settings were read from.
    pub settings_file: path::PathBuf,
    /// The text of that file.
    pub settings_text: String,
    /// The service of the backend server on this machine; `None` at a balancer.
    pub service: Option<String>,
    /// The adapter to the platform.
    pub adapter: adapter::PlatformAdapter,
    /// The signals that arrive at the process.
    pub signals: signals::DaemonSignals,
}

/// Runs the process until a signal has shut it down.
///
/// # Errors
///
/// Fails if a required setting is missing, an address cannot be bound or a thread cannot be
/// started.
pub fn run(options: DaemonOptions) -> eyre::Result<()> {
    logs::start(&options.settings.logs, &options.settings.name)?;
    panics::exit_on_panic();
    let metrics = meters::start()?;
    let clock = clock::ProcessClock::start();
    let instance = ids::InstanceId(rand::rng().next_u64() | 1);
    let Some(streams) = options.settings.streams.clone() else {
        eyre::bail!("node.streams: is missing; give the addresses of streams");
    };
    let net::SocketAddr::V4(own_address) = options.settings.packet_address else {
        eyre::bail!("node.packet_address: must be an IPv4 address");
    };
    let listen_address = streams.listen_address.unwrap_or(own_address);
    let service = options.service.as_deref().map(ids::ServiceId::of_name);
    let config = stream::StreamConfig {
        instance,
        address: own_address,
        data_centre: ids::hash_data_centre(&options.settings.data_centre),
        regions: streams.region_hashes(),
        has_evacuations: streams.evacuations,
        slow_start: slow_start::SlowStartMargin {
            overage: streams.slow_start_overage,
            slack: streams.slow_start_slack,
        },
        service: service.unwrap_or_default(),
        host_report_ms: streams.report_period_ms,
        stream_limit_s: streams.stream_limit_s,
        is_first_start: streams.first_start,
        seed: rand::rng().next_u64(),
        policy: streams.policy,
    };
    let engine = match service {
        None => engine::StreamEngine::Balancer(Box::new(balancer::StreamBalancer::new(
            config,
            clock.now(),
        ))),
        Some(_) => {
            engine::StreamEngine::Agent(Box::new(agent::StreamAgent::new(config, clock.now())))
        }
    };
    let (inputs, input_receiver) = rings::ring();
    let (config_fetches, fetch_receiver) = channel::bounded(1);
    let (backend_probes, backend_probe_receiver) = channel::bounded(1);
    let (machine_probes, machine_probe_receiver) =
        channel::bounded(machine_probes::MAX_PENDING_PROBES);
    let status = sync::Arc::new(status::StreamStatus::default());
    let packets = packets::PacketThread {
        engine,
        codec: options.adapter.codec,
        clock,
        segments: bind(streams.segment_address)?,
        messages: bind(listen_address)?,
        backend_address: streams.backend_address,
        caller_port: streams.network_address.port(),
        inputs: input_receiver,
        config_fetches,
        backend_probes,
        machine_probes,
        status: status.clone(),
        event_log: event_log::EventLog::new(clock.now()),
        message_counters: message_counters::MessageCounters::default(),
    };
    threads::spawn("packets", move || smol::block_on(packets.run()))?;
    logs::event(&serde_json::json!({
        "event": "started",
        "instance": instance.to_string(),
        "address": own_address,
        "segments": streams.segment_address,
        "service": options.service,
        "version": env!("CARGO_PKG_VERSION"),
    }));

    let executor = rc::Rc::new(smol::LocalExecutor::new());
    let timeout = time::Duration::from_millis(options.settings.control.call_timeout_ms);
    let Some(platform) = options.settings.platform else {
        eyre::bail!("node.platform: is missing; give the platform's address");
    };
    let context = rc::Rc::new(context::ControlContext {
        own_address,
        listen_address,
        platform_client: cell::RefCell::new((options.adapter.open_platform)(platform, timeout)),
        open_platform: options.adapter.open_platform,
        settings: cell::RefCell::new(options.settings),
        settings_text: cell::RefCell::new(options.settings_text),
        settings_file: options.settings_file,
        service,
        state: cell::RefCell::default(),
        inputs,
        status,
        metrics,
        executor: executor.clone(),
        reaches_platform: cell::Cell::new(None),
        run: instance,
        announced: cell::Cell::new(None),
        has_former_announcement: cell::Cell::new(false),
        sent_epoch: cell::Cell::default(),
        is_leaving: cell::Cell::new(false),
        has_withdrawn: cell::Cell::new(false),
    });
    smol::block_on(executor.run(async {
        control::start(&context, fetch_receiver).await?;
        executor.spawn(backend_probes::run(context.clone(), backend_probe_receiver)).detach();
        executor.spawn(machine_probes::run(context.clone(), machine_probe_receiver)).detach();
        serve_signals(&context, options.signals).await?;
        shut_down(&context).await;
        Ok(())
    }))
}

fn bind(address: net::SocketAddrV4) -> eyre::Result<smol::Async<net::UdpSocket>> {
    smol::Async::<net::UdpSocket>::bind(address)
        .wrap_err_with(|| format!("cannot listen at {address}"))
}

/// Handles signals until one asks the process to shut down.
async fn serve_signals(
    context: &context::ControlContext,
    mut signals: signals::DaemonSignals,
) -> eyre::Result<()> {
    while signals.next().await? == signals::SignalRequest::Reload {
        control::reload(context).await;
    }
    Ok(())
}

/// Shuts down once no more segments arrive or the grace period ends.
///
/// No state is handed over: any balancer can find a stream's owner, and a backend server keeps its
/// streams while its agent is down.
///
/// A balancer stays announced until it takes no more segments: an agent that starts meanwhile must find it,
/// or the balancer would reset streams at that agent.
async fn shut_down(context: &context::ControlContext) {
    logs::event(&serde_json::json!({ "event": "leaving" }));
    context.is_leaving.set(true);
    let started = time::Instant::now();
    backend_probes::probe(context).await;
    context.send_input(packets::StreamInput::Leave).await;
    // Lets the packet thread publish whether the backend server may hold streams.
    smol::Timer::after(time::Duration::from_millis(SHUTDOWN_POLL_MS)).await;
    if context.service.is_some() {
        announce::withdraw(context).await;
    }
    let grace = time::Duration::from_secs(context.streams().grace_s);
    let max_duration = grace.saturating_sub(time::Duration::from_millis(SHUTDOWN_MARGIN_MS));
    let min_duration = match context.service.is_none() {
        true => time::Duration::from_millis(READINESS_PROPAGATION_MS),
        false => time::Duration::ZERO,
    };
    let mut last_arrival = (0, started);
    while started.elapsed() < max_duration {
        let arrivals = context.status.arrivals.load(atomic::Ordering::Relaxed);
        if arrivals != last_arrival.0 {
            last_arrival = (arrivals, time::Instant::now());
        }
        let is_quiet = last_arrival.1.elapsed() >= time::Duration::from_millis(QUIET_MS);
        let is_done = match context.service.is_none() {
            true => is_quiet,
            false => !status::is_set(&context.status.is_busy),
        };
        if is_done && started.elapsed() >= min_duration {
            break;
        }
        smol::Timer::after(time::Duration::from_millis(SHUTDOWN_POLL_MS)).await;
    }
    if context.service.is_none() {
        let timed_out = async {
            smol::Timer::after(time::Duration::from_millis(WITHDRAWAL_TIMEOUT_MS)).await;
        };
        announce::withdraw(context).or(timed_out).await;
    }
    logs::event(&serde_json::json!({ "event": "left", "after_ms": started.elapsed().as_millis() }));
    logs::flush();
}
