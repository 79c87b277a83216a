//! Announces this process on the platform and follows the configuration there.
//!
//! A few processes watch the platform; the others get the configuration from their peers.

use std::rc;
use std::time;

use rosemaryusher_core::ids;
use rosemaryusher_core::membership;
use rosemaryusher_core::store_epoch;

use crate::control;
use crate::platform;
use crate::platform::ObjectStore as _;
use crate::release;
use crate::release::parts;
use crate::release::restore;

/// How many processes watch the platform.
///
/// Each watch counts as a read, so the number does not grow with the fleet. Three tolerate one that
/// is down and one that is being replaced.
const WATCHER_COUNT: usize = 3;

/// A process that has heard no peer for so long reads the platform itself.
const ISOLATION_MS: u64 = 5_000;

/// The period of checks whether the store was restored.
const RESTORE_POLL_MS: u64 = 1_000;

/// The longest pause before a retry after an error of the platform.
const MAX_RETRY_PAUSE_MS: u64 = 4_000;

/// Announces this process on the platform, so that starting processes find it.
pub(crate) async fn announce(hub: rc::Rc<control::ControlHub>) {
    let Some(store) = &hub.store else { return };
    let own = hub.prober.borrow().own().clone();
    let Ok(value) = serde_json::to_string(&own) else { return };
    let key = platform::member_key(&own.name);
    let mut pause_ms = 100;
    loop {
        // Unconditional: only this process writes the key, always with the same value.
        match store.put(&key, value.clone(), platform::WriteCondition::Always).await {
            Ok(version) => {
                pause_ms = 100;
                wait_for_restore(&hub, version.epoch).await;
            }
            Err(error) => {
                log::warn!("cannot announce this process on the platform: {error}");
                control::sleep_ms(jittered(&hub, pause_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
            }
        }
    }
}

/// Waits until the configuration in force is of a later epoch of the store than the announcement:
/// the store was restored and may have lost the announcement.
async fn wait_for_restore(hub: &control::ControlHub, announced: store_epoch::StoreEpoch) {
    while store_epoch::StoreRevision::unpacked(hub.generation().0).epoch <= announced {
        control::sleep_ms(RESTORE_POLL_MS).await;
    }
    control::sleep_ms(jittered(hub, platform::ANNOUNCE_SPREAD_MS)).await;
}

/// Removes this process's announcement, unless a later instance has replaced it.
///
/// Errors are ignored: a stale announcement only costs a starting process one failed call.
pub(crate) async fn withdraw(hub: &control::ControlHub) {
    let Some(store) = &hub.store else { return };
    let own = hub.prober.borrow().own().clone();
    let key = platform::member_key(&own.name);
    let Ok(Some(object)) = store.get(&key).await else { return };
    let announced = serde_json::from_str::<membership::MemberRecord>(&object.value);
    if announced.is_ok_and(|record| record.instance == own.instance) {
        let _ = store.remove(&key, object.version).await;
    }
}

/// Follows the head object while this process is a watcher, has no configuration or hears no peer.
pub(crate) async fn follow(hub: rc::Rc<control::ControlHub>) {
    let Some(store) = &hub.store else { return };
    let wait = time::Duration::from_millis(hub.settings.control.watch_ms);
    let mut pause_ms = 100;
    let mut watched = WatchedRelease::default();
    loop {
        let has_no_config = hub.generation() == ids::ConfigGeneration(0);
        let is_isolated = hub.since_last_heard_ms() >= ISOLATION_MS;
        if !is_watcher(&hub) && !is_isolated && !has_no_config {
            control::sleep_ms(jittered(&hub, 500)).await;
            continue;
        }
        // Only watchers hold a watch open; other processes read once per turn.
        let wait = if is_watcher(&hub) { wait } else { time::Duration::ZERO };
        match watch_once(&hub, store, wait, &mut watched).await {
            Ok(()) => {
                pause_ms = 100;
                control::sleep_ms(jittered(&hub, if wait.is_zero() { 1_000 } else { 10 })).await;
            }
            Err(error) => {
                log::warn!("cannot follow the platform: {error:#}");
                control::sleep_ms(jittered(&hub, pause_ms)).await;
                pause_ms = (pause_ms * 2).min(MAX_RETRY_PAUSE_MS);
            }
        }
    }
}

/// The release read last.
#[derive(Default)]
struct WatchedRelease {
    head: Option<platform::StoredObject>,
    cache: parts::PartCache,
}

async fn watch_once(
    hub: &control::ControlHub,
    store: &platform::HttpStore,
    wait: time::Duration,
    watched: &mut WatchedRelease,
) -> eyre::Result<()> {
    let current = store_epoch::StoreRevision::unpacked(hub.generation().0);
    let newer = store.watch(release::HEAD_KEY, current, wait).await?;
    if let Some(head) = &watched.head
        && head.version.epoch < store.epoch()
        && restore::repair_head(store, head, newer.as_ref(), &watched.cache).await?
            == restore::HeadStatus::Lost
    {
        // The repaired head is read by the next watch.
        return Ok(());
    }
    if let Some(head) = newer.filter(|head| head.version > current) {
        let delta = release::load(store, &head, &mut watched.cache).await?;
        watched.head = Some(head);
        hub.advance(&delta).await;
    }
    Ok(())
}

/// Whether this process watches the platform: the members that rank first by a hash of their ids do.
///
/// Views may differ for a while. Extra watchers cost reads; if watchers are missing, isolated
/// processes still read the platform.
fn is_watcher(hub: &control::ControlHub) -> bool {
    let prober = hub.prober.borrow();
    let own = prober.own().instance;
    let is_candidate = |record: &&membership::MemberRecord| {
        record.liveness.state == membership::LivenessState::Alive
            && record.phase == membership::MemberPhase::Serving
    };
    let rank = |instance: ids::InstanceId| ids::mix_words(instance.0, WATCHER_COUNT as u64);
    let ahead = prober.view().reachable().filter(is_candidate);
    ahead.filter(|record| rank(record.instance) > rank(own)).count() < WATCHER_COUNT
}

/// A random pause of 0.5 to 1.5 times `millis`.
fn jittered(hub: &control::ControlHub, millis: u64) -> u64 {
    millis / 2 + hub.prober.borrow_mut().random_u64() % millis.max(1)
}
