//! The thread that follows the configuration and answers calls.

use std::cell;
use std::net;
use std::path;
use std::rc;
use std::sync;
use std::time;

use rand::RngExt as _;
use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::stream;
use smol::channel;

use crate::foreign;
use crate::http;
use crate::logs;
use crate::meters;
use crate::platform;
use crate::settings;
use crate::stream::edge;
use crate::stream::packets;
use crate::stream::routes;
use crate::stream::settings as stream_settings;
use crate::stream::status;

/// What the keys of announcements start with.
const MEMBER_PREFIX: &str = "rosemaryusher-members/";

/// How long one watch of the platform waits, in milliseconds.
///
/// A connection may fall silent without an end. A change must be in force within 3 s, so a watch
/// that hears nothing is made anew well within that.
const WATCH_MS: u64 = 2_000;

/// How long an agent that has just started waits for a balancer before it asks the platform for the
/// configuration, in milliseconds: processes that start together are up within 300, and balancers
/// report every 200.
const PEER_CONFIG_MS: u64 = 500;

/// Between two looks at the platform by a process that hears no balancer, in milliseconds.
const LONELY_MS: u64 = 1_000;

/// The first and the longest pause after a call that failed, in milliseconds: the store's calls
/// are few and paid for, and a change must be in force within seconds of its return.
const FIRST_PAUSE_MS: u64 = 100;
const LONGEST_PAUSE_MS: u64 = 800;

/// How often the settings file is looked at, in milliseconds: it may change without a signal.
const SETTINGS_MS: u64 = 1_000;

/// The most announcements that are read.
const MEMBER_LIMIT: usize = 1_024;

/// The state of the thread.
pub(crate) struct StreamHub {
    /// Where other processes reach this one.
    pub(crate) own: net::SocketAddrV4,
    /// Where it listens for them.
    pub(crate) listen_address: net::SocketAddrV4,
    pub(crate) settings: cell::RefCell<settings::NodeSettings>,
    pub(crate) file: path::PathBuf,
    pub(crate) settings_text: cell::RefCell<String>,
    /// The service of the backend server beside this process; `None` at a balancer.
    pub(crate) service: Option<ids::ServiceId>,
    pub(crate) link: cell::RefCell<edge::PlatformLink>,
    pub(crate) open_platform: fn(net::SocketAddr, time::Duration) -> edge::PlatformLink,
    pub(crate) state: cell::RefCell<sync::Arc<config::ConfigState>>,
    pub(crate) inputs: channel::Sender<packets::StreamInput>,
    pub(crate) status: sync::Arc<status::StreamStatus>,
    pub(crate) metrics: meters::MetricsPage,
    pub(crate) executor: rc::Rc<smol::LocalExecutor<'static>>,
    pub(crate) reaches_platform: cell::Cell<Option<bool>>,
    pub(crate) announced: cell::Cell<Option<u64>>,
    pub(crate) is_leaving: cell::Cell<bool>,
}

/// Starts the duties of the thread.
pub(crate) async fn start(
    hub: &rc::Rc<StreamHub>,
    fetches: channel::Receiver<net::SocketAddrV4>,
) -> eyre::Result<()> {
    let executor = hub.executor.clone();
    let streams = hub.streams();
    let mut addresses = vec![net::SocketAddr::V4(hub.listen_address), streams.ready_address];
    addresses.extend(streams.report_address);
    for address in addresses {
        let listener = http::listen(address).await?;
        let handler_hub = hub.clone();
        let handler = rc::Rc::new(move |request| routes::handle(handler_hub.clone(), request));
        let serving = http::serve_small(listener, executor.clone(), handler);
        executor.spawn(async move { crate::threads::report(serving.await) }).detach();
    }
    hub.tell_seeds(hub.seeds()).await;
    executor.spawn(meet_members(hub.clone())).detach();
    executor.spawn(fetch_configs(hub.clone(), fetches)).detach();
    executor.spawn(follow(hub.clone())).detach();
    executor.spawn(watch_settings(hub.clone())).detach();
    Ok(())
}

/// Announces this process, then reads who else is there: until a balancer is heard, and again
/// whenever none is.
///
/// In this order, of two processes that start together one sees the other.
async fn meet_members(hub: rc::Rc<StreamHub>) {
    let mut pause_ms = FIRST_PAUSE_MS;
    let mut has_read = false;
    loop {
        if has_read && status::holds(&hub.status.hears_balancer) {
            pause_ms = FIRST_PAUSE_MS;
            sleep_ms(LONELY_MS).await;
            continue;
        }
        match announce_and_read(&hub).await {
            Ok(members) => {
                hub.note_platform(Ok(())).await;
                has_read = true;
                hub.tell(packets::StreamInput::Members(members)).await;
                // Who has been told of answers within a round trip.
                sleep_ms(LONELY_MS).await;
            }
            Err(error) => {
                hub.note_platform(Err(error)).await;
                pause(&mut pause_ms).await;
            }
        }
    }
}

async fn announce_and_read(
    hub: &StreamHub,
) -> Result<Vec<stream::AnnouncedMember>, platform::StoreError> {
    let store = hub.link.borrow().store.clone();
    let must_announce = hub.announced.get().is_none() && !hub.is_leaving.get();
    if must_announce {
        announce(hub, platform::WriteCondition::Absent).await?;
    }
    let mut objects = store.list(MEMBER_PREFIX, MEMBER_LIMIT).await?;
    if must_announce && hub.announced.get().is_none() {
        let key = hub.announcement_key();
        let left_behind = objects.iter().find(|object| object.key == key);
        match left_behind.filter(|object| is_own(hub, object)) {
            Some(object) => hub.announced.set(Some(object.version)),
            None => {
                announce(hub, platform::WriteCondition::Always).await?;
                objects = store.list(MEMBER_PREFIX, MEMBER_LIMIT).await?;
            }
        }
    }
    let members = objects.iter().filter_map(read_member);
    Ok(members.filter(|member| member.address != hub.own).collect())
}

/// Writes this process's announcement; that one is there already is no error.
///
/// A process that starts again finds the one that it left behind: the write that finds it and the
/// list that shows it are two calls, as many as a first start takes.
async fn announce(
    hub: &StreamHub,
    condition: platform::WriteCondition,
) -> Result<(), platform::StoreError> {
    let store = hub.link.borrow().store.clone();
    let own = stream::AnnouncedMember { address: hub.own, service: hub.service };
    let value = serde_json::to_string(&own).map_err(|_| platform::StoreError::Unavailable)?;
    match store.put(&hub.announcement_key(), value, condition).await {
        Ok(version) => hub.announced.set(Some(version)),
        Err(platform::StoreError::Conflict) => {}
        Err(error) => return Err(error),
    }
    Ok(())
}

/// Whether an announcement says of this process what it would say itself.
fn is_own(hub: &StreamHub, object: &platform::StoredObject) -> bool {
    let own = stream::AnnouncedMember { address: hub.own, service: hub.service };
    read_member(object).is_some_and(|member| member == own)
}

fn read_member(object: &platform::StoredObject) -> Option<stream::AnnouncedMember> {
    match serde_json::from_str(&object.value) {
        Ok(member) => Some(member),
        Err(error) => {
            foreign::note(foreign::ForeignPlace::Announcement, &object.key, error);
            None
        }
    }
}

/// Takes back this process's announcement.
///
/// One that stays behind costs reports into nothing, and searches that wait for its answer. An
/// agent whose backend server lives comes back, and its streams must be asked for meanwhile.
pub(crate) async fn withdraw(hub: &StreamHub) {
    hub.is_leaving.set(true);
    if status::holds(&hub.status.holds_streams) {
        return;
    }
    let Some(version) = hub.announced.take() else { return };
    let store = hub.link.borrow().store.clone();
    if let Err(error) = store.remove(&hub.announcement_key(), version).await {
        log::info!("the announcement of this process stays behind: {error}");
    }
}

/// Fetches the configuration from peers that hold a newer one.
async fn fetch_configs(hub: rc::Rc<StreamHub>, fetches: channel::Receiver<net::SocketAddrV4>) {
    while let Ok(peer) = fetches.recv().await {
        let since = hub.generation();
        let path = format!("/peer/config?since={}", since.0);
        let timeout = hub.call_timeout();
        let address = net::SocketAddr::V4(peer);
        let call = http::HttpCall::new(hyper::Method::GET, address, path, timeout);
        let delta = match http::call(call).await {
            Ok(answer) if answer.status == 200 => read_delta(&answer.body, peer),
            _ => None,
        };
        match delta {
            Some(delta) => hub.advance(&delta).await,
            None => log::warn!("cannot fetch the configuration from {peer}"),
        }
        // Requests that came meanwhile are for the same change, or their sender repeats them.
        while fetches.try_recv().is_ok() {}
    }
}

fn read_delta(body: &[u8], peer: net::SocketAddrV4) -> Option<config::ConfigDelta> {
    match rmp_serde::from_slice(body) {
        Ok(delta) => Some(delta),
        Err(error) => {
            foreign::note(foreign::ForeignPlace::PeerConfig, &peer.to_string(), error);
            None
        }
    }
}

/// Follows the operators' configuration while this process is a watcher or hears of nothing else.
///
/// A balancer that has none asks once itself and then waits like the others; an agent asks only if it
/// hears no balancer. Before the operators have written the first configuration, a fleet of 26 that
/// went on asking made a quarter of all its calls of a day in these first 0.6 s.
async fn follow(hub: rc::Rc<StreamHub>) {
    let is_agent = hub.service.is_some();
    if is_agent {
        sleep_ms(PEER_CONFIG_MS).await;
    }
    let mut pause_ms = FIRST_PAUSE_MS;
    // Agents hear from balancers, and take openings for their own service meanwhile.
    let mut has_asked = is_agent;
    loop {
        let has_none = hub.generation() == ids::ConfigGeneration(0);
        let is_watcher = status::holds(&hub.status.is_watcher);
        let is_lonely = !status::holds(&hub.status.hears_balancer);
        let wait_ms = match (has_none && !has_asked, is_watcher || is_lonely) {
            (true, _) => 0,
            (false, true) => WATCH_MS,
            (false, false) => {
                sleep_ms(jittered(FIRST_PAUSE_MS)).await;
                continue;
            }
        };
        let configs = hub.link.borrow().configs.clone();
        let wait = time::Duration::from_millis(wait_ms);
        match configs.next(hub.generation(), wait).await {
            Ok(delta) => {
                hub.note_platform(Ok(())).await;
                pause_ms = FIRST_PAUSE_MS;
                has_asked = true;
                if let Some(delta) = delta {
                    hub.advance(&delta).await;
                }
            }
            Err(error) => {
                hub.note_platform(Err(error)).await;
                pause(&mut pause_ms).await;
            }
        }
    }
}

async fn watch_settings(hub: rc::Rc<StreamHub>) {
    loop {
        sleep_ms(SETTINGS_MS).await;
        reload(&hub).await;
    }
}

/// Takes over settings that have changed; a file with a fault changes nothing.
pub(crate) async fn reload(hub: &StreamHub) {
    let text = match std::fs::read_to_string(&hub.file) {
        Ok(text) if text != *hub.settings_text.borrow() => text,
        Ok(_) => return,
        Err(error) => {
            log::warn!("cannot read the settings again: {error}");
            return;
        }
    };
    let parsed = settings::parse::<SettingsFile>(&text).and_then(|file| {
        settings::refuse_faults(&file.node.check())?;
        eyre::ensure!(file.node.streams.is_some(), "node.streams: is missing");
        Ok(file.node)
    });
    hub.settings_text.replace(text);
    match parsed {
        Ok(next) => hub.take_settings(next).await,
        Err(error) => log::error!("the changed settings are not taken over: {error:#}"),
    }
}

/// The part of a settings file that may change while the process runs.
#[derive(serde::Deserialize)]
struct SettingsFile {
    node: settings::NodeSettings,
}

impl StreamHub {
    /// Moves the configuration forward and passes it on.
    pub(crate) async fn advance(&self, delta: &config::ConfigDelta) {
        let mut next = (**self.state.borrow()).clone();
        match next.advance(delta) {
            config::DeltaOutcome::Advanced => {}
            config::DeltaOutcome::Stale | config::DeltaOutcome::Gap => return,
        }
        let next = sync::Arc::new(next);
        *self.state.borrow_mut() = next.clone();
        self.tell(packets::StreamInput::Config(next)).await;
    }

    async fn take_settings(&self, next: settings::NodeSettings) {
        let before = self.settings.replace(next.clone());
        if before.platform != next.platform
            && let Some(address) = next.platform
        {
            let timeout = time::Duration::from_millis(next.control.call_timeout_ms);
            *self.link.borrow_mut() = (self.open_platform)(address, timeout);
        }
        let seeds = self.seeds();
        logs::event(&serde_json::json!({
            "event": "reloaded",
            "platform": next.platform.map(|address| address.to_string()),
            "seeds": seeds,
        }));
        self.tell_seeds(seeds).await;
    }

    async fn tell_seeds(&self, seeds: Vec<net::SocketAddrV4>) {
        let others = seeds.into_iter().filter(|seed| *seed != self.own).collect();
        self.tell(packets::StreamInput::Seeds(others)).await;
    }

    /// Tells the thread that decides.
    pub(crate) async fn tell(&self, input: packets::StreamInput) {
        // It ends only with the process.
        drop(self.inputs.send(input).await);
    }

    /// Notes whether the platform answered, and logs when that changes: a line for each call that
    /// fails would be most of the log through an outage.
    async fn note_platform(&self, result: Result<(), platform::StoreError>) {
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
        self.tell(packets::StreamInput::Platform(reaches)).await;
    }
}

impl StreamHub {
    /// The generation in force.
    pub(crate) fn generation(&self) -> ids::ConfigGeneration {
        self.state.borrow().generation()
    }

    /// The settings of streams.
    pub(crate) fn streams(&self) -> stream_settings::StreamSettings {
        let settings = self.settings.borrow();
        // Settings without streams are refused before the thread starts, and on reload.
        settings.streams.clone().expect("the settings have streams")
    }

    /// Where balancers on the machines of the settings would take messages.
    fn seeds(&self) -> Vec<net::SocketAddrV4> {
        let at_own_port =
            |seed: net::SocketAddrV4| net::SocketAddrV4::new(*seed.ip(), self.own.port());
        self.streams().seeds.into_iter().map(at_own_port).collect()
    }

    fn call_timeout(&self) -> time::Duration {
        time::Duration::from_millis(self.settings.borrow().control.call_timeout_ms)
    }

    fn announcement_key(&self) -> String {
        format!("{MEMBER_PREFIX}{}", self.settings.borrow().name)
    }
}

/// Waits, for longer each time.
async fn pause(pause_ms: &mut u64) {
    sleep_ms(jittered(*pause_ms)).await;
    *pause_ms = (*pause_ms * 2).min(LONGEST_PAUSE_MS);
}

/// Spreads a pause over half to one and a half times its length, so that processes that failed
/// together don't come back together.
fn jittered(millis: u64) -> u64 {
    millis / 2 + rand::rng().random_range(0..millis.max(1))
}

async fn sleep_ms(millis: u64) {
    smol::Timer::after(time::Duration::from_millis(millis)).await;
}
