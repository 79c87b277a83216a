//! Stores configurations on the platform and publishes new ones atomically.
//!
//! A head object lists the parts of the configuration by digest. Parts are immutable and written
//! first; a conditional update of the head then accepts the configuration. Readers never see a
//! partially written one.

pub mod addresses;
pub mod parts;
pub mod restore;

use std::collections;
use std::time;

use eyre::WrapErr as _;
use rand::Rng as _;
use rosemaryusher_core::config;
use rosemaryusher_core::ids;
use rosemaryusher_core::manifest;
use rosemaryusher_core::store_epoch;
use rosemaryusher_core::ticket;
use serde::Deserialize;
use serde::Serialize;

use crate::difference;
use crate::platform;

/// The key of the head object.
pub const HEAD_KEY: &str = "config/head";

/// How many writes the head lists, so that a writer whose response was lost can find its own.
const HISTORY_LENGTH: usize = 64;

/// How many removed services the head lists.
///
/// Processes send each other deltas that include removals; one that is further behind gets the whole
/// configuration.
const MAX_LISTED_REMOVALS: usize = 1_024;

/// Delay before a new key seals tickets, longer than the key takes to reach every process.
const KEY_ACTIVATION_DELAY_MS: u64 = 20_000;

/// The number of attempts at a call of the platform.
const MAX_STORE_ATTEMPTS: u32 = 8;

/// One accepted write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteRecord {
    /// Unique to the write.
    pub write_id: String,
    /// The operator who wrote.
    pub author: String,
    /// The generation it replaced; zero for the first write.
    pub replaced: u64,
}

/// The head object, which refers to all of a configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadObject {
    /// Accepted writes, newest first, beginning with the one that wrote this head.
    pub history: Vec<WriteRecord>,
    /// The keys of the parts.
    pub parts: Vec<String>,
    /// The data centres.
    pub data_centres: Vec<String>,
    /// The keys that seal tickets.
    pub keys: ticket::KeyRing,
    /// Addresses that are reserved for their last service.
    #[serde(rename = "resting")]
    pub cooldowns: Vec<addresses::AddressCooldown>,
    /// Removed services, latest last.
    #[serde(default)]
    pub removed: Vec<RemovedService>,
    /// The generation after which `removed` lists every removal.
    #[serde(default)]
    pub removed_from: u64,
}

/// A service that was removed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RemovedService {
    /// The service.
    pub service: ids::ServiceId,
    /// The last generation that had it.
    pub last: u64,
}

impl RemovedService {
    /// The removal as listed in a delta, with the first generation that may lack the service.
    fn entry(&self) -> (ids::ConfigGeneration, ids::ServiceId) {
        (ids::ConfigGeneration(self.last + 1), self.service)
    }
}

/// What a write changes.
#[derive(Clone, Debug)]
pub enum ReleaseChange {
    /// Replaces the manifest.
    Manifest(manifest::ServiceManifest),
    /// Adds a key that seals tickets.
    NewKey,
}

/// A write to submit.
#[derive(Clone, Debug)]
pub struct ReleaseDraft {
    /// The operator who writes.
    pub author: String,
    /// The generation that the write is based on; any, if `None`.
    pub expected: Option<ids::ConfigGeneration>,
    /// The change.
    pub change: ReleaseChange,
}

/// The outcome of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseOutcome {
    /// The write was accepted.
    Accepted(ids::ConfigGeneration),
    /// The manifest in force is already the same.
    Unchanged(ids::ConfigGeneration),
    /// Another write was accepted first; this one changed nothing.
    Conflict {
        /// The generation in force.
        generation: ids::ConfigGeneration,
        /// Its author.
        author: String,
        /// How this write's manifest differs from what is in force.
        differences: Vec<String>,
    },
    /// The manifest is invalid; nothing was written.
    Faulty(Vec<manifest::ManifestFault>),
}

/// Reads the configuration that a head object refers to.
///
/// # Errors
///
/// Fails if the platform cannot be read, or the configuration cannot be parsed.
pub async fn load(
    store: &dyn platform::ObjectStore,
    head: &platform::StoredObject,
    cache: &mut parts::PartCache,
) -> eyre::Result<config::ConfigDelta> {
    let object = read_head_object(head)?;
    let services = cache.load(store, &object.parts).await?;
    let generation = ids::ConfigGeneration(head.version.packed());
    Ok(config::ConfigDelta {
        since: ids::ConfigGeneration(0),
        generation,
        changed: services.into_iter().map(|spec| (generation, spec)).collect(),
        removed: object.removed.iter().map(RemovedService::entry).collect(),
        removed_from: ids::ConfigGeneration(object.removed_from),
        keys: object.keys,
        data_centres: object.data_centres,
    })
}

/// Reads the manifest in force and its generation; an empty manifest before the first write.
///
/// # Errors
///
/// Fails if the platform cannot be read.
pub async fn read_manifest(
    store: &dyn platform::ObjectStore,
) -> eyre::Result<(ids::ConfigGeneration, manifest::ServiceManifest)> {
    let current_head = read_head(store).await?;
    Ok((current_head.generation(), current_head.manifest(store).await?))
}

/// Submits a change and returns whether it was accepted.
///
/// If the response to the write of the head is lost, the write's id is looked up in the head's
/// history: the write may have taken effect, and other writes may have followed.
///
/// # Errors
///
/// Fails if the platform stays unreachable; the change may or may not have been accepted. Submitting
/// the same manifest again is safe.
pub async fn submit(
    store: &dyn platform::ObjectStore,
    draft: &ReleaseDraft,
    now: ids::UnixMillis,
) -> eyre::Result<ReleaseOutcome> {
    let current_head = read_head(store).await?;
    if draft.expected.is_some_and(|expected| expected != current_head.generation()) {
        return conflict_outcome(store, &current_head, draft).await;
    }
    let write_id = format!("{:032x}", rand::rng().next_u64() as u128 ^ (now.0 as u128) << 64);
    let replaced = current_head.generation().0;
    let record = WriteRecord { write_id: write_id.clone(), author: draft.author.clone(), replaced };
    let (object, parts) = match build_head(store, &current_head, draft, record, now).await? {
        NextHead::Object(object, parts) => (object, parts),
        NextHead::Unchanged => return Ok(ReleaseOutcome::Unchanged(current_head.generation())),
        NextHead::Faulty(faults) => return Ok(ReleaseOutcome::Faulty(faults)),
    };
    for (key, value) in parts {
        parts::write_part(store, &key, &value).await?;
    }
    write_head(store, current_head, &object, &write_id, draft).await
}

/// The head object and its version; no version before the first write.
struct CurrentHead {
    version: Option<store_epoch::StoreRevision>,
    object: HeadObject,
}

impl CurrentHead {
    fn generation(&self) -> ids::ConfigGeneration {
        ids::ConfigGeneration(self.version.map_or(0, store_epoch::StoreRevision::packed))
    }

    /// The generation of a write, if it is in the history: the generation that the next write
    /// replaced, or the head's own for the newest write.
    fn generation_of(&self, write_id: &str) -> Option<ids::ConfigGeneration> {
        let history = &self.object.history;
        match history.iter().position(|write| write.write_id == write_id)? {
            0 => Some(self.generation()),
            age => Some(ids::ConfigGeneration(history[age - 1].replaced)),
        }
    }

    fn condition(&self) -> platform::WriteCondition {
        match self.version {
            Some(version) => platform::WriteCondition::Version(version),
            None => platform::WriteCondition::Absent,
        }
    }

    async fn manifest(
        &self,
        store: &dyn platform::ObjectStore,
    ) -> eyre::Result<manifest::ServiceManifest> {
        let mut services = parts::load_parts(store, &self.object.parts).await?;
        services.sort_by(|a, b| a.name.cmp(&b.name));
        let data_centres = self.object.data_centres.clone();
        Ok(manifest::ServiceManifest { data_centres, services })
    }
}

enum NextHead {
    Object(HeadObject, collections::BTreeMap<String, String>),
    Unchanged,
    Faulty(Vec<manifest::ManifestFault>),
}

async fn build_head(
    store: &dyn platform::ObjectStore,
    current_head: &CurrentHead,
    draft: &ReleaseDraft,
    record: WriteRecord,
    now: ids::UnixMillis,
) -> eyre::Result<NextHead> {
    let mut object = current_head.object.clone();
    object.history.insert(0, record);
    object.history.truncate(HISTORY_LENGTH);
    let mut parts = collections::BTreeMap::new();
    match &draft.change {
        ReleaseChange::NewKey => {
            let active_from = match object.keys.is_empty() {
                true => ids::UnixMillis(0),
                false => now.plus(KEY_ACTIVATION_DELAY_MS),
            };
            object.keys.rotate(now, active_from, random_secret());
        }
        ReleaseChange::Manifest(wanted) => {
            let current = current_head.manifest(store).await?;
            let mut faults = wanted.check();
            faults.extend(addresses::cooldown_faults(wanted, &current, &object.cooldowns, now));
            if !faults.is_empty() {
                return Ok(NextHead::Faulty(faults));
            }
            if current_head.version.is_some()
                && difference::differences(&current, wanted).is_empty()
            {
                return Ok(NextHead::Unchanged);
            }
            if object.keys.is_empty() {
                object.keys.rotate(now, ids::UnixMillis(0), random_secret());
            }
            record_removals(&mut object, wanted, &current, current_head.generation());
            object.cooldowns = addresses::next_cooldowns(wanted, &current, &object.cooldowns, now);
            object.data_centres = wanted.data_centres.clone();
            parts = parts::encode_parts(wanted)?;
            if let Some(fault) = parts::part_size_fault(&parts) {
                return Ok(NextHead::Faulty(vec![fault]));
            }
            object.parts = parts.keys().cloned().collect();
        }
    }
    Ok(NextHead::Object(object, parts))
}

async fn write_head(
    store: &dyn platform::ObjectStore,
    current_head: CurrentHead,
    object: &HeadObject,
    write_id: &str,
    draft: &ReleaseDraft,
) -> eyre::Result<ReleaseOutcome> {
    let value = serde_json::to_string(object)?;
    for attempt in 0..MAX_STORE_ATTEMPTS {
        match store.put(HEAD_KEY, value.clone(), current_head.condition()).await {
            Ok(version) => {
                return Ok(ReleaseOutcome::Accepted(ids::ConfigGeneration(version.packed())));
            }
            Err(platform::StoreError::Unavailable) => wait_before_retry(attempt).await,
            Err(platform::StoreError::Conflict | platform::StoreError::Unknown) => {
                let found = read_head(store).await?;
                if let Some(generation) = found.generation_of(write_id) {
                    return Ok(ReleaseOutcome::Accepted(generation));
                }
                if found.version != current_head.version {
                    return conflict_outcome(store, &found, draft).await;
                }
                wait_before_retry(attempt).await;
            }
        }
    }
    Err(platform::StoreError::Unavailable.into())
}

async fn conflict_outcome(
    store: &dyn platform::ObjectStore,
    current_head: &CurrentHead,
    draft: &ReleaseDraft,
) -> eyre::Result<ReleaseOutcome> {
    let differences = match &draft.change {
        ReleaseChange::NewKey => Vec::new(),
        ReleaseChange::Manifest(wanted) => {
            difference::differences(&current_head.manifest(store).await?, wanted)
        }
    };
    let author = current_head.object.history.first().map(|write| write.author.clone());
    Ok(ReleaseOutcome::Conflict {
        generation: current_head.generation(),
        author: author.unwrap_or_default(),
        differences,
    })
}

async fn read_head(store: &dyn platform::ObjectStore) -> eyre::Result<CurrentHead> {
    let stored = get_with_retries(store, HEAD_KEY).await?;
    let object = stored.as_ref().map(read_head_object).transpose()?.unwrap_or_default();
    Ok(CurrentHead { version: stored.map(|stored| stored.version), object })
}

fn read_head_object(stored: &platform::StoredObject) -> eyre::Result<HeadObject> {
    serde_json::from_str(&stored.value)
        .wrap_err("the head object of the configuration cannot be parsed")
}

async fn get_with_retries(
    store: &dyn platform::ObjectStore,
    key: &str,
) -> eyre::Result<Option<platform::StoredObject>> {
    for attempt in 0..MAX_STORE_ATTEMPTS {
        match store.get(key).await {
            Ok(object) => return Ok(object),
            Err(_) => wait_before_retry(attempt).await,
        }
    }
    Err(platform::StoreError::Unavailable.into())
}

fn record_removals(
    object: &mut HeadObject,
    wanted: &manifest::ServiceManifest,
    current: &manifest::ServiceManifest,
    generation: ids::ConfigGeneration,
) {
    let kept: collections::HashSet<_> =
        wanted.services.iter().map(manifest::ServiceSpec::id).collect();
    object.removed.retain(|removed| !kept.contains(&removed.service));
    let removed = current.services.iter().map(manifest::ServiceSpec::id);
    let removed = removed.filter(|service| !kept.contains(service));
    object.removed.extend(removed.map(|service| RemovedService { service, last: generation.0 }));
    let excess = object.removed.len().saturating_sub(MAX_LISTED_REMOVALS);
    if let Some(dropped) = object.removed.drain(..excess).next_back() {
        object.removed_from = dropped.last + 1;
    }
}

fn random_secret() -> [u8; 32] {
    let mut secret = [0; 32];
    rand::rng().fill_bytes(&mut secret);
    secret
}

async fn wait_before_retry(attempt: u32) {
    let base_ms = 50u64 << attempt.min(5);
    let jitter_ms = rand::rng().next_u64() % base_ms;
    smol::Timer::after(time::Duration::from_millis(base_ms + jitter_ms)).await;
}
