//! The thread that follows the configuration and answers calls.

use std::net;
use std::rc;
use std::time;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use smol::channel;

use crate::foreign;
use crate::http;
use crate::settings;
use crate::stream::announce;
use crate::stream::hub;
use crate::stream::pauses;
use crate::stream::routes;
use crate::stream::status;

/// How long one watch of the platform waits, in milliseconds.
///
/// A connection may fall silent without an end. A change must be in force within 3 s, so a watch
/// that hears nothing is made anew well within that.
const WATCH_MS: u64 = 2_000;

/// How long an agent that has just started waits for a balancer before it asks the platform for the
/// configuration, in milliseconds: processes that start together are up within 300, and balancers
/// report every 200.
const PEER_CONFIG_MS: u64 = 500;

/// How often the settings file is looked at, in milliseconds: it may change without a signal.
const SETTINGS_MS: u64 = 1_000;

/// Starts the duties of the thread.
pub(crate) async fn start(
    hub: &rc::Rc<hub::StreamHub>,
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
    executor.spawn(announce::meet_members(hub.clone())).detach();
    executor.spawn(fetch_configs(hub.clone(), fetches)).detach();
    executor.spawn(follow(hub.clone())).detach();
    executor.spawn(watch_settings(hub.clone())).detach();
    Ok(())
}

/// Fetches the configuration from peers that hold a newer one.
async fn fetch_configs(hub: rc::Rc<hub::StreamHub>, fetches: channel::Receiver<net::SocketAddrV4>) {
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
async fn follow(hub: rc::Rc<hub::StreamHub>) {
    let is_agent = hub.service.is_some();
    if is_agent {
        pauses::sleep_ms(PEER_CONFIG_MS).await;
    }
    let mut pause_ms = pauses::FIRST_MS;
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
                pauses::sleep_ms(pauses::jittered(pauses::FIRST_MS)).await;
                continue;
            }
        };
        let configs = hub.link.borrow().configs.clone();
        let wait = time::Duration::from_millis(wait_ms);
        match configs.next(hub.generation(), wait).await {
            Ok(delta) => {
                hub.note_platform(Ok(())).await;
                pause_ms = pauses::FIRST_MS;
                has_asked = true;
                if let Some(delta) = delta {
                    hub.advance(&delta).await;
                }
            }
            Err(error) => {
                hub.note_platform(Err(error)).await;
                pauses::pause(&mut pause_ms).await;
            }
        }
    }
}

async fn watch_settings(hub: rc::Rc<hub::StreamHub>) {
    loop {
        pauses::sleep_ms(SETTINGS_MS).await;
        reload(&hub).await;
    }
}

/// Takes over settings that have changed; a file with a fault changes nothing.
pub(crate) async fn reload(hub: &hub::StreamHub) {
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
