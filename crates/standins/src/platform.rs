//! Stand-in for the object API of the platform; failures can be injected.

use std::cell;
use std::collections;
use std::rc;
use std::time;

use rosemaryusher_node::http;
use rosemaryusher_node::platform;
use serde::Deserialize;
use serde::Serialize;

/// Poll interval of a watch.
const WATCH_POLL_INTERVAL: time::Duration = time::Duration::from_millis(5);

/// Delay of an answer that counts as lost.
const LOST_ANSWER_DELAY: time::Duration = time::Duration::from_secs(30);

/// Injected faults.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Calls are refused with 503.
    pub down: bool,
    /// Delay of each call, in milliseconds.
    #[serde(rename = "slow_ms")]
    pub delay_ms: u64,
    /// Number of writes to come that take effect but are not answered in time.
    pub lost_answers: u32,
}

/// Counts of calls.
#[derive(Clone, Copy, Debug, Default, Deserialize, Serialize)]
pub struct PlatformCounts {
    /// Reads, lists included; a watch counts as one.
    pub reads: u64,
    /// Writes, removals included.
    pub writes: u64,
}

#[derive(Default)]
struct PlatformState {
    objects: collections::BTreeMap<String, platform::ListedObject>,
    version: u64,
    /// Content after a restore.
    snapshot: StoreSnapshot,
    /// One more than the number of restores.
    epoch: u64,
    faults: PlatformFaults,
    counts: PlatformCounts,
}

/// Objects and version of the store at one time.
#[derive(Clone, Default)]
struct StoreSnapshot {
    objects: collections::BTreeMap<String, platform::ListedObject>,
    version: u64,
}

type SharedState = rc::Rc<cell::RefCell<PlatformState>>;

/// Prints the address as JSON, then serves until the process ends.
///
/// # Errors
///
/// Fails if no address can be bound.
pub fn run() -> eyre::Result<()> {
    let executor = rc::Rc::new(smol::LocalExecutor::new());
    smol::block_on(executor.run(async {
        let listener = http::listen(([127, 0, 0, 1], 0).into()).await?;
        println!("{}", serde_json::json!({ "control": listener.local_addr()? }));
        let state = SharedState::default();
        state.borrow_mut().epoch = 1;
        let handler = move |request| handle_with_epoch(state.clone(), request);
        http::serve(listener, executor.clone(), rc::Rc::new(handler)).await
    }))
}

async fn handle_with_epoch(
    state: SharedState,
    request: http::ServerRequest,
) -> http::ServerResponse {
    let reply = handle(state.clone(), request).await;
    let epoch = state.borrow().epoch;
    reply.with(platform::EPOCH_HEADER, epoch)
}

async fn handle(state: SharedState, request: http::ServerRequest) -> http::ServerResponse {
    match (request.method.as_str(), request.path.as_str()) {
        ("PUT", "/faults") => return set_faults(&state, &request),
        ("PUT", "/copy") => {
            state.borrow_mut().take_snapshot();
            return http::ServerResponse::new(204, "");
        }
        ("PUT", "/restore") => {
            state.borrow_mut().restore();
            return http::ServerResponse::new(204, "");
        }
        ("GET", "/counts") => {
            let counts = state.borrow().counts;
            return http::ServerResponse::json(200, &serde_json::json!(counts));
        }
        _ => {}
    }
    let faults = state.borrow().faults.clone();
    smol::Timer::after(time::Duration::from_millis(faults.delay_ms)).await;
    if faults.down {
        return http::ServerResponse::new(503, "down");
    }
    let key = request.path.strip_prefix("/objects/").map(str::to_owned);
    match (request.method.as_str(), key) {
        ("GET", Some(key)) => read(&state, &key, &request).await,
        ("GET", None) if request.path == "/objects" => list(&state, &request),
        ("PUT", Some(key)) => write(&state, key, &request).await,
        ("DELETE", Some(key)) => remove(&state, &key, &request),
        _ => http::ServerResponse::new(404, "no such page"),
    }
}

impl PlatformState {
    fn take_snapshot(&mut self) {
        self.snapshot = StoreSnapshot { objects: self.objects.clone(), version: self.version };
    }

    /// Restores the snapshot: later writes are lost and their versions are assigned again.
    fn restore(&mut self) {
        self.objects = self.snapshot.objects.clone();
        self.version = self.snapshot.version;
        self.epoch += 1;
    }
}

fn set_faults(state: &SharedState, request: &http::ServerRequest) -> http::ServerResponse {
    match serde_json::from_slice(&request.body) {
        Ok(faults) => {
            state.borrow_mut().faults = faults;
            http::ServerResponse::new(204, "")
        }
        Err(error) => http::ServerResponse::new(400, error.to_string()),
    }
}

async fn read(
    state: &SharedState,
    key: &str,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    state.borrow_mut().counts.reads += 1;
    let parameter = |name| request.parameter(name).and_then(|text| text.parse::<u64>().ok());
    let after = parameter("after");
    let wait = time::Duration::from_millis(parameter("wait_ms").unwrap_or(0));
    let deadline = time::Instant::now() + wait;
    loop {
        let found = state.borrow().objects.get(key).cloned();
        let is_down = state.borrow().faults.down;
        match found {
            _ if is_down => return http::ServerResponse::new(503, "down"),
            Some(object) if after.is_none_or(|after| object.version > after) => {
                let version = object.version;
                return http::ServerResponse::new(200, object.value)
                    .with("etag", quoted_version(version));
            }
            _ if time::Instant::now() < deadline => smol::Timer::after(WATCH_POLL_INTERVAL).await,
            Some(_) => return http::ServerResponse::new(304, ""),
            None => return http::ServerResponse::new(404, "no such object"),
        };
    }
}

fn list(state: &SharedState, request: &http::ServerRequest) -> http::ServerResponse {
    state.borrow_mut().counts.reads += 1;
    let prefix = request.parameter("prefix").unwrap_or_default();
    let limit = request.parameter("limit").and_then(|text| text.parse().ok()).unwrap_or(100);
    let state = state.borrow();
    let found = state.objects.values().filter(|object| object.key.starts_with(prefix));
    let found: Vec<_> = found.take(limit).collect();
    http::ServerResponse::json(200, &serde_json::json!(found))
}

async fn write(
    state: &SharedState,
    key: String,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let reply = apply_write(state, key, request);
    let is_lost = reply.status == 200 && {
        let faults = &mut state.borrow_mut().faults;
        let is_lost = faults.lost_answers > 0;
        faults.lost_answers = faults.lost_answers.saturating_sub(1);
        is_lost
    };
    if is_lost {
        smol::Timer::after(LOST_ANSWER_DELAY).await;
    }
    reply
}

fn apply_write(
    state: &SharedState,
    key: String,
    request: &http::ServerRequest,
) -> http::ServerResponse {
    let mut state = state.borrow_mut();
    state.counts.writes += 1;
    let current = state.objects.get(&key).map(|object| object.version);
    let may_write = match (request.header("if-match"), request.header("if-none-match")) {
        (Some(version), _) => current.is_some_and(|current| version == current.to_string()),
        (None, Some(_)) => current.is_none(),
        (None, None) => true,
    };
    if !may_write {
        return http::ServerResponse::new(412, "precondition failed");
    }
    let Ok(value) = String::from_utf8(request.body.clone()) else {
        return http::ServerResponse::new(400, "value is not UTF-8");
    };
    state.version += 1;
    let version = state.version;
    let object = platform::ListedObject { key: key.clone(), version, value };
    state.objects.insert(key, object);
    http::ServerResponse::new(200, "").with("etag", quoted_version(version))
}

fn remove(state: &SharedState, key: &str, request: &http::ServerRequest) -> http::ServerResponse {
    let mut state = state.borrow_mut();
    state.counts.writes += 1;
    let current = state.objects.get(key).map(|object| object.version.to_string());
    match (current, request.header("if-match")) {
        (None, _) => http::ServerResponse::new(404, "no such object"),
        (Some(current), Some(version)) if current != version => {
            http::ServerResponse::new(412, "precondition failed")
        }
        _ => {
            state.objects.remove(key);
            http::ServerResponse::new(204, "")
        }
    }
}

fn quoted_version(version: u64) -> String {
    format!("\"{version}\"")
}
