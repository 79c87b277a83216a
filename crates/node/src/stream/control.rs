//! The control thread: platform calls, the settings file and HTTP requests.

use std::net;
use std::rc;

use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use smol::channel;

use crate::external_input;
use crate::http;
use crate::settings;
use crate::stream::announce;
use crate::stream::backoff;
use crate::stream::context;
use crate::stream::follow;
use crate::stream::routes;

/// Interval between reads of the settings file, in milliseconds: it may change without a signal.
const SETTINGS_POLL_MS: u64 = 1_000;

/// Starts the HTTP servers and the tasks of the thread.
pub(crate) async fn start(
    context: &rc::Rc<context::ControlContext>,
    config_fetches: channel::Receiver<net::SocketAddrV4>,
) -> eyre::Result<()> {
    let executor = context.executor.clone();
    let streams = context.streams();
    let mut addresses = vec![net::SocketAddr::V4(context.listen_address), streams.ready_address];
    addresses.extend(streams.report_address);
    for address in addresses {
        let listener = http::listen(address).await?;
        let handler_context = context.clone();
        let handler = rc::Rc::new(move |request| routes::handle(handler_context.clone(), request));
        let serving = http::serve_small(listener, executor.clone(), handler);
        executor.spawn(async move { crate::threads::log_failure(serving.await) }).detach();
    }
    context.send_seeds(context.seeds()).await;
    executor.spawn(announce::discover_members(context.clone())).detach();
    executor.spawn(fetch_configs(context.clone(), config_fetches)).detach();
    executor.spawn(follow::follow_config(context.clone())).detach();
    if context.streams().evacuations {
        executor.spawn(follow::follow_evacuations(context.clone())).detach();
    }
    executor.spawn(watch_settings(context.clone())).detach();
    Ok(())
}

/// Fetches the configuration from peers that have a newer one.
async fn fetch_configs(
    context: rc::Rc<context::ControlContext>,
    config_fetches: channel::Receiver<net::SocketAddrV4>,
) {
    while let Ok(peer) = config_fetches.recv().await {
        let since = context.generation();
        let path = format!("/peer/config?since={}", since.0);
        let timeout = context.call_timeout();
        let address = net::SocketAddr::V4(peer);
        let call = http::ClientRequest::new(hyper::Method::GET, address, path, timeout);
        let delta = match http::call(call).await {
            Ok(answer) if answer.status == 200 => decode_delta(&answer.body, peer),
            _ => None,
        };
        match delta {
            Some(delta) => context.apply_config_delta(&delta).await,
            None => log::warn!("cannot fetch the configuration from {peer}"),
        }
        // Requests that were queued meanwhile are for the same change, or are repeated.
        while config_fetches.try_recv().is_ok() {}
    }
}

fn decode_delta(body: &[u8], peer: net::SocketAddrV4) -> Option<config::ConfigDelta> {
    match rmp_serde::from_slice(body) {
        Ok(delta) => Some(delta),
        Err(error) => {
            external_input::report_invalid(
                external_input::InputSource::PeerConfig,
                &peer.to_string(),
                error,
            );
            None
        }
    }
}

async fn watch_settings(context: rc::Rc<context::ControlContext>) {
    loop {
        backoff::sleep_ms(SETTINGS_POLL_MS).await;
        reload(&context).await;
    }
}

/// Applies the settings if the file has changed; an invalid file has no effect.
pub(crate) async fn reload(context: &context::ControlContext) {
    let text = match std::fs::read_to_string(&context.settings_file) {
        Ok(text) if text != *context.settings_text.borrow() => text,
        Ok(_) => return,
        Err(error) => {
            log::warn!("cannot reload the settings: {error}");
            return;
        }
    };
    let parsed = settings::parse::<SettingsFile>(&text).and_then(|file| {
        settings::fail_on_faults(&file.node.check())?;
        eyre::ensure!(file.node.streams.is_some(), "node.streams: is missing");
        Ok(file)
    });
    context.settings_text.replace(text);
    match parsed {
        Ok(file) => {
            let service = file.service.as_deref().map(ids::ServiceId::of_name);
            context.apply_settings(file.node, service).await;
        }
        Err(error) => log::error!("ignored invalid settings: {error:#}"),
    }
}

/// The part of a settings file that is reloaded while the process runs.
#[derive(serde::Deserialize)]
struct SettingsFile {
    node: settings::NodeSettings,
    #[serde(default)]
    service: Option<String>,
}
