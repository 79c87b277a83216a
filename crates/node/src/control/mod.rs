//! The control thread: membership, configuration, and HTTP calls of peers and operators.
//!
//! | module | does |
//! |---|---|
//! | `peers` | exchanges with other processes |
//! | `watch` | announces this process on the platform and follows the configuration there |
//! | `routes` | answers calls of other processes and of operators |

mod peers;
mod routes;
mod watch;

use std::cell;
use std::net;
use std::rc;
use std::sync;
use std::time;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::ledger;
use rosemaryusher_core::membership;
use serde::Deserialize;
use serde::Serialize;
use smol::channel;

use crate::clock;
use crate::http;
use crate::meters;
use crate::platform;
use crate::settings;

/// The period of the membership prober's timer.
const TICK_MS: u64 = 50;

/// Messages from the control thread to the decision thread.
#[derive(Debug)]
pub enum ControlOutput {
    /// The membership view changed.
    View(sync::Arc<membership::MemberView>),
    /// The configuration changed.
    Config(sync::Arc<config::ConfigState>),
    /// A request for the decision thread's state, for operators.
    Dump(channel::Sender<serde_json::Value>),
    /// A part of the request record of an agent that is leaving; only agents receive it.
    Adopt {
        /// The part.
        part: HandoverPart,
        /// Signalled when the part is stored.
        done: channel::Sender<()>,
    },
}

/// Commands to the control thread.
#[derive(Debug)]
pub enum ControlCommand {
    /// Change this process's phase, and answer once a few peers know.
    SetPhase(membership::MemberPhase, channel::Sender<()>),
    /// Hand the request record over to another agent, and answer whether it accepted all of it.
    HandOver(ids::InstanceId, Vec<HandoverPart>, channel::Sender<bool>),
}

/// A part of the request record that a leaving agent hands over.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HandoverPart {
    /// The instance that kept the record.
    pub home: ids::InstanceId,
    /// Requests that ran or may have run.
    pub entries: Vec<ledger::HandoverEntry>,
    /// Whether it is the last part.
    pub is_last: bool,
}

/// The inputs of the control thread.
pub struct ControlInputs {
    /// This process's member record; the control address is set once the listener is bound.
    pub own: membership::MemberRecord,
    /// The settings.
    pub settings: settings::NodeSettings,
    /// The clock.
    pub clock: clock::ProcessClock,
    /// The metrics.
    pub metrics: meters::MetricsRegistry,
    /// Messages to the decision thread.
    pub outputs: channel::Sender<ControlOutput>,
    /// Commands to this thread.
    pub commands: channel::Receiver<ControlCommand>,
    /// The seed of random choices.
    pub seed: u64,
}

/// The shared state of the control thread's tasks.
pub(crate) struct ControlHub {
    pub(crate) settings: settings::NodeSettings,
    pub(crate) clock: clock::ProcessClock,
    pub(crate) metrics: meters::MetricsRegistry,
    pub(crate) store: Option<platform::HttpStore>,
    pub(crate) prober: cell::RefCell<membership::MemberProber>,
    pub(crate) state: cell::RefCell<sync::Arc<config::ConfigState>>,
    pub(crate) outputs: channel::Sender<ControlOutput>,
    pub(crate) executor: rc::Rc<smol::LocalExecutor<'static>>,
    published_changes: cell::Cell<u64>,
    last_heard: cell::Cell<ids::UnixMillis>,
}

/// Runs the control thread; returns only on an error.
///
/// Sends the control address to `started` once the listener is bound.
///
/// # Errors
///
/// Fails if it cannot listen on the control address.
pub fn run(parts: ControlInputs, started: channel::Sender<net::SocketAddr>) -> eyre::Result<()> {
    let executor = rc::Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = http::listen(parts.settings.control_address).await?;
        let mut own = parts.own;
        own.control_address = listener.local_addr()?;
        let _ = started.send(own.control_address).await;
        let commands = parts.commands.clone();
        let control = &parts.settings.control;
        let timing = membership::ProbeTiming {
            period_ms: control.probe_period_ms,
            suspect_ms: control.suspect_ms,
            ..membership::ProbeTiming::default()
        };
        let timeout = time::Duration::from_millis(control.call_timeout_ms);
        let store =
            parts.settings.platform.map(|address| platform::HttpStore::new(address, timeout));
        let hub = rc::Rc::new(ControlHub {
            store,
            prober: cell::RefCell::new(membership::MemberProber::new(own, timing, parts.seed)),
            state: cell::RefCell::default(),
            settings: parts.settings,
            clock: parts.clock,
            metrics: parts.metrics,
            outputs: parts.outputs,
            executor: executor.clone(),
            published_changes: cell::Cell::new(0),
            last_heard: cell::Cell::new(ids::UnixMillis(0)),
        });
        executor.spawn(peers::join(hub.clone())).detach();
        executor.spawn(peers::probe(hub.clone())).detach();
        executor.spawn(watch::announce(hub.clone())).detach();
        executor.spawn(watch::follow(hub.clone())).detach();
        executor.spawn(run_commands(hub.clone(), commands)).detach();
        let handler = move |request| routes::handle(hub.clone(), request);
        http::serve(listener, executor.clone(), rc::Rc::new(handler)).await
    }))
}

async fn run_commands(hub: rc::Rc<ControlHub>, commands: channel::Receiver<ControlCommand>) {
    while let Ok(command) = commands.recv().await {
        match command {
            ControlCommand::SetPhase(phase, done) => {
                hub.prober.borrow_mut().set_phase(phase, hub.clock.now());
                hub.publish_view().await;
                peers::exchange_with_some(&hub).await;
                if matches!(phase, membership::MemberPhase::Left { .. }) {
                    watch::withdraw(&hub).await;
                }
                let _ = done.send(()).await;
            }
            ControlCommand::HandOver(successor, parts, done) => {
                let is_accepted = peers::hand_over(&hub, successor, &parts).await;
                let _ = done.send(is_accepted).await;
            }
        }
    }
}

impl ControlHub {
    /// Applies a delta to the configuration and publishes the result.
    pub(crate) async fn advance(&self, delta: &config::ConfigDelta) -> config::DeltaOutcome {
        let mut next = (**self.state.borrow()).clone();
        let outcome = next.advance(delta);
        if outcome == config::DeltaOutcome::Advanced {
            let next = sync::Arc::new(next);
            log::info!("configuration generation {} is in force", next.generation().0);
            metrics::gauge!("rosemaryusher_config_generation").set(next.generation().0 as f64);
            *self.state.borrow_mut() = next.clone();
            self.prober.borrow_mut().request_push();
            drop(self.outputs.send(ControlOutput::Config(next)).await);
        }
        outcome
    }

    /// Publishes the membership view if it has changed.
    pub(crate) async fn publish_view(&self) {
        let changes = self.prober.borrow().change_count();
        if self.published_changes.replace(changes) == changes {
            return;
        }
        let view = self.prober.borrow().view().clone();
        metrics::gauge!("rosemaryusher_members").set(view.reachable().count() as f64);
        drop(self.outputs.send(ControlOutput::View(sync::Arc::new(view))).await);
    }

    /// Records that a message from a peer arrived.
    pub(crate) fn record_heard(&self) {
        self.last_heard.set(self.clock.now());
    }

    /// The time since the last message from a peer.
    pub(crate) fn since_last_heard_ms(&self) -> u64 {
        self.clock.now().since(self.last_heard.get())
    }

    /// The generation of the configuration in force.
    pub(crate) fn generation(&self) -> ids::ConfigGeneration {
        self.state.borrow().generation()
    }

    /// The timeout of a call to another process.
    pub(crate) fn call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.control.call_timeout_ms)
    }
}

pub(crate) async fn sleep_ms(millis: u64) {
    smol::Timer::after(time::Duration::from_millis(millis)).await;
}
