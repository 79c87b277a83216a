//! State shared by the tasks of the control thread: settings, configuration, the platform client
//! and the channel to the packet thread.

use std::cell;
use std::collections;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::time;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::stream::evacuation;
use smol::channel;

use crate::external_input;
use crate::logs;
use crate::meters;
use crate::platform;
use crate::settings;
use crate::stream::adapter;
use crate::stream::packets;
use crate::stream::settings as stream_settings;
use crate::stream::status;

/// State shared by the tasks of the control thread.
pub(crate) struct ControlContext {
    /// The address at which other processes reach this one.
    pub(crate) own_address: net::SocketAddrV4,
    /// The local address that it listens at for them.
    pub(crate) listen_address: net::SocketAddrV4,
    pub(crate) settings: cell::RefCell<settings::NodeSettings>,
    pub(crate) settings_file: path::PathBuf,
    pub(crate) settings_text: cell::RefCell<String>,
    /// The service of the backend server on this machine; `None` at a balancer.
    pub(crate) service: Option<ids::ServiceId>,
    pub(crate) platform_client: cell::RefCell<adapter::PlatformClient>,
    pub(crate) open_platform: fn(net::SocketAddr, time::Duration) -> adapter::PlatformClient,
    pub(crate) state: cell::RefCell<sync::Arc<config::ConfigState>>,
    pub(crate) inputs: channel::Sender<packets::StreamInput>,
    pub(crate) status: sync::Arc<status::StreamStatus>,
    pub(crate) metrics: meters::MetricsRegistry,
    pub(crate) executor: rc::Rc<smol::LocalExecutor<'static>>,
    pub(crate) reaches_platform: cell::Cell<Option<bool>>,
    /// This run of the process.
    pub(crate) run: ids::InstanceId,
    pub(crate) announced: cell::Cell<Option<store_epoch::StoreRevision>>,
    /// Whether the announcement is still the one that a former run wrote.
    pub(crate) has_former_announcement: cell::Cell<bool>,
    /// The epoch of the store that was last sent to the packet thread.
    pub(crate) sent_epoch: cell::Cell<store_epoch::StoreEpoch>,
    pub(crate) is_leaving: cell::Cell<bool>,
    /// Whether the announcement of this process has been withdrawn, so it is not written again.
    pub(crate) has_withdrawn: cell::Cell<bool>,
}

impl ControlContext {
    /// Applies a delta to the configuration and sends the result to the packet thread.
    pub(crate) async fn apply_config_delta(&self, delta: &config::ConfigDelta) {
        let mut next = (**self.state.borrow()).clone();
        match next.advance(delta) {
            config::DeltaOutcome::Advanced => {}
            config::DeltaOutcome::Stale | config::DeltaOutcome::Gap => return,
        }
        let next = sync::Arc::new(next);
        *self.state.borrow_mut() = next.clone();
        self.send_input(packets::StreamInput::Config(next)).await;
    }

    /// Applies changed settings; those that a process keeps while it runs have no effect.
    ///
    /// A probe of a changed backend address, for example, would find nothing there and end every
    /// stream of the backend server that still runs.
    pub(crate) async fn apply_settings(
        &self,
        mut next: settings::NodeSettings,
        service: Option<ids::ServiceId>,
    ) {
        let mut needs_restart = next.keep_fixed(&self.settings.borrow());
        if service != self.service {
            needs_restart.push("service");
        }
        if !needs_restart.is_empty() {
            log::error!("restart the process to apply changed settings: {needs_restart:?}");
        }
        let before = self.settings.replace(next.clone());
        if before.platform != next.platform
            && let Some(address) = next.platform
        {
            let timeout = time::Duration::from_millis(next.control.call_timeout_ms);
            *self.platform_client.borrow_mut() = (self.open_platform)(address, timeout);
        }
        let seeds = self.seeds();
        logs::event(&serde_json::json!({
            "event": "reloaded",
            "platform": next.platform.map(|address| address.to_string()),
            "seeds": seeds,
            "needs_restart": needs_restart,
        }));
        self.send_seeds(seeds).await;
    }

    pub(crate) async fn send_seeds(&self, seeds: Vec<net::SocketAddrV4>) {
        let others = seeds.into_iter().filter(|seed| *seed != self.own_address).collect();
        self.send_input(packets::StreamInput::Seeds(others)).await;
    }

    /// Sends an input to the packet thread.
    pub(crate) async fn send_input(&self, input: packets::StreamInput) {
        // The receiver is dropped only when the process ends.
        drop(self.inputs.send(input).await);
    }

    /// Records whether a call to the platform succeeded, and logs changes only: a line for each
    /// failed call would flood the log during an outage.
    pub(crate) async fn record_platform_result(&self, result: Result<(), platform::StoreError>) {
        let epoch = self.platform_client.borrow().store.epoch();
        if self.sent_epoch.replace(epoch) != epoch {
            self.send_input(packets::StreamInput::StoreEpoch(epoch)).await;
        }
        let reaches = result.is_ok();
        if self.reaches_platform.replace(Some(reaches)) == Some(reaches) {
            return;
        }
        match result {
            Ok(()) => logs::event(&serde_json::json!({ "event": "platform_regained" })),
            Err(error) => logs::event(&serde_json::json!({
                "event": "platform_lost",
                "reason": error.to_string(),
                "generation": self.generation(),
            })),
        }
        self.send_input(packets::StreamInput::Platform(reaches)).await;
    }
}

impl ControlContext {
    /// The generation of the configuration in force.
    pub(crate) fn generation(&self) -> ids::ConfigGeneration {
        self.state.borrow().generation()
    }

    /// The settings of streams.
    pub(crate) fn streams(&self) -> stream_settings::StreamSettings {
        let settings = self.settings.borrow();
        // Settings without `streams` are rejected at start and on reload.
        settings.streams.clone().expect("the settings have streams")
    }

    /// Removes data centres that the settings do not name from a list of evacuated ones.
    ///
    /// Entries of other writers would otherwise be in every balancer's reports.
    pub(crate) fn remove_unknown_data_centres(
        &self,
        listed: evacuation::EvacuationState,
    ) -> evacuation::EvacuationState {
        let configured = self.streams().data_centres;
        let (known, unknown) =
            listed.data_centres().iter().cloned().partition(|name| configured.contains_key(name));
        let unknown: collections::BTreeSet<String> = unknown;
        for name in unknown {
            let problem = "names no data centre of node.streams.data_centres; remove it";
            external_input::report_invalid(external_input::InputSource::Evacuation, &name, problem);
        }
        evacuation::EvacuationState::new(listed.revision(), known)
    }

    /// The message addresses of balancers on the machines that the settings list as seeds.
    pub(crate) fn seeds(&self) -> Vec<net::SocketAddrV4> {
        let with_own_port =
            |seed: net::SocketAddrV4| net::SocketAddrV4::new(*seed.ip(), self.own_address.port());
        self.streams().seeds.into_iter().map(with_own_port).collect()
    }

    pub(crate) fn call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.borrow().control.call_timeout_ms)
    }
}
