//! HTTP client for the control pages of processes and stand-ins.

use std::net;
use std::time;

use rosemaryusher_node::http;
use serde::Serialize;

/// Fetches a page and parses it as JSON.
///
/// # Errors
///
/// Fails if the page cannot be fetched or is not JSON.
pub fn get(address: net::SocketAddr, path: &str) -> eyre::Result<serde_json::Value> {
    Ok(serde_json::from_str(&text(address, path)?)?)
}

/// Fetches a page as text.
///
/// # Errors
///
/// Fails if the page cannot be fetched or is not UTF-8.
pub fn text(address: net::SocketAddr, path: &str) -> eyre::Result<String> {
    let timeout = time::Duration::from_secs(5);
    let call = http::ClientRequest::new(hyper::Method::GET, address, path, timeout);
    Ok(String::from_utf8(smol::block_on(http::call(call))?.body)?)
}

/// Names of the processes that a `/state` page shows as neither dead nor left.
pub fn reachable_members(state: &serde_json::Value) -> Vec<String> {
    let members = state["members"].as_array().cloned().unwrap_or_default();
    let is_reachable = |member: &&serde_json::Value| {
        let has_left = member["phase"].get("Left").is_some();
        member["liveness"]["state"] != "Dead" && !has_left
    };
    let name = |member: &serde_json::Value| member["name"].as_str().unwrap_or("?").to_owned();
    members.iter().filter(is_reachable).map(name).collect()
}

/// Puts a value as JSON.
///
/// # Errors
///
/// Fails if the answer is not 204.
pub fn put(address: net::SocketAddr, path: &str, value: &impl Serialize) -> eyre::Result<()> {
    let timeout = time::Duration::from_secs(5);
    let mut call = http::ClientRequest::new(hyper::Method::PUT, address, path, timeout);
    call.body = serde_json::to_vec(value)?;
    match smol::block_on(http::call(call))? {
        answer if answer.status == 204 => Ok(()),
        answer => Err(eyre::eyre!("{path} answered {}", answer.status)),
    }
}
