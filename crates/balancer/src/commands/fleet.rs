//! Queries to the processes of the fleet.

use std::net;
use std::time;

use rosemaryusher_core::ids;
use rosemaryusher_core::membership;
use rosemaryusher_node::http;
use rosemaryusher_node::platform;
use rosemaryusher_node::platform::ObjectStore as _;

/// Timeout of a call to the platform or to a process.
pub(crate) const CALL_TIMEOUT: time::Duration = time::Duration::from_secs(2);

/// The most announced processes that are asked for the members.
const MAX_SEEDS: usize = 64;

/// The object store of the platform.
pub(crate) fn store(address: net::SocketAddr) -> platform::HttpStore {
    platform::HttpStore::new(address, CALL_TIMEOUT)
}

/// The members of the fleet, in the view of the first process that answers.
pub(crate) async fn fetch_members(store: &platform::HttpStore) -> Vec<membership::MemberRecord> {
    let announced = store.list(platform::MEMBER_PREFIX, MAX_SEEDS).await.unwrap_or_default();
    for object in announced {
        let Ok(seed) = serde_json::from_str::<membership::MemberRecord>(&object.value) else {
            continue;
        };
        let call = get_call(seed.control_address, "/peer/view");
        let answer = http::call(call).await;
        let view = answer.ok().and_then(|answer| rmp_serde::from_slice(&answer.body).ok());
        if let Some(view) = view {
            return view;
        }
    }
    Vec::new()
}

/// The generation that a process has in force; `None` if it does not answer.
pub(crate) async fn fetch_generation(address: net::SocketAddr) -> Option<ids::ConfigGeneration> {
    #[derive(serde::Deserialize)]
    struct GenerationPage {
        generation: ids::ConfigGeneration,
    }
    let answer = http::call(get_call(address, "/generation")).await.ok()?;
    let page: GenerationPage = serde_json::from_slice(&answer.body).ok()?;
    Some(page.generation)
}

/// A `GET` call to a process.
pub(crate) fn get_call(address: net::SocketAddr, path: &str) -> http::ClientRequest {
    http::ClientRequest::new(hyper::Method::GET, address, path, CALL_TIMEOUT)
}
