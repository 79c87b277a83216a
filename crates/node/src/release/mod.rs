//! How a configuration is kept on the platform, and how one is accepted.
//!
//! One head object names the parts of the configuration by their digests. Parts are written first
//! and never changed; the configuration is accepted at the moment when the conditional update of
//! the head succeeds. A half-written configuration is therefore never seen.

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

/// How many earlier writes a head remembers, so that a writer finds its own under later ones.
const HISTORY_LENGTH: usize = 64;

/// How many removed services a head lists.
///
/// With the list, processes pass each other differences. One that is behind by more removals than
/// this gets a whole configuration.
const REMOVED_LIMIT: usize = 1_024;

/// How long before a fresh key seals, in milliseconds: the time it takes to reach every process.
const KEY_SPREAD_MS: u64 = 20_000;

/// How often a platform that cannot be reached is asked again.
const STORE_ATTEMPTS: u32 = 8;

/// One accepted write.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct WriteRecord {
    /// Unique to the write.
    pub write_id: String,
    /// Who wrote.
    pub author: String,
    /// The generation that it replaced; zero for the first.
    pub replaced: u64,
}

/// The head object: all of a configuration by reference.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct HeadObject {
    /// Accepted writes, the newest first; the first is this one.
    pub history: Vec<WriteRecord>,
    /// The keys of the parts.
    pub parts: Vec<String>,
    /// The data centres.
    pub data_centres: Vec<String>,
    /// The keys that seal tickets.
    pub keys: ticket::KeyRing,
    /// Addresses that rest.
    pub resting: Vec<addresses::RestingAddress>,
    /// Services that were removed, the latest last.
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
    /// The removal as processes pass it on, under the first generation that may lack the service.
    fn entry(&self) -> (ids::ConfigGeneration, ids::ServiceId) {
        (ids::ConfigGeneration(self.last + 1), self.service)
    }
}

/// What a write changes.
#[derive(Clone, Debug)]
pub enum ReleaseChange {
    /// The manifest.
    Manifest(manifest::ServiceManifest),
    /// The keys: a fresh one is added.
    FreshKey,
}

/// A write that is to be accepted.
#[derive(Clone, Debug)]
pub struct ReleaseDraft {
    /// Who writes.
    pub author: String,
    /// The generation that the author has seen; any, if `None`.
    pub expected: Option<ids::ConfigGeneration>,
    /// What is to change.
    pub change: ReleaseChange,
}

/// What became of a write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReleaseOutcome {
    /// It is accepted.
    Accepted(ids::ConfigGeneration),
    /// What is in force already says the same.
    Unchanged(ids::ConfigGeneration),
    /// Another write came first; this one is not accepted and changed nothing.
    Conflict {
        /// The generation that won.
        generation: ids::ConfigGeneration,
        /// Its author.
        author: String,
        /// How this write's manifest differs from what is in force.
        differences: Vec<String>,
    },
    /// It has faults and was not written.
    Faulty(Vec<manifest::ManifestFault>),
}

/// Reads the configuration that a head object names.
///
/// # Errors
///
/// Fails if the platform cannot be read, or holds what is no configuration.
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

/// Reads the manifest in force and its generation; an empty one before the first.
///
/// # Errors
///
/// Fails if the platform cannot be read.
pub async fn read_manifest(
    store: &dyn platform::ObjectStore,
) -> eyre::Result<(ids::ConfigGeneration, manifest::ServiceManifest)> {
    let held = read_head(store).await?;
    Ok((held.generation(), held.manifest(store).await?))
}

/// Has a change accepted, or says why it was not.
///
/// A write whose answer is lost is settled by looking for its own id in the head's history, never
/// by assuming: it may have taken effect, and another may have come on top of it since.
///
/// # Errors
///
/// Fails if the platform stays out of reach; it is then not known whether the change was accepted,
/// and the same call made later finds out by its manifest.
pub async fn submit(
    store: &dyn platform::ObjectStore,
    draft: &ReleaseDraft,
    now: ids::UnixMillis,
) -> eyre::Result<ReleaseOutcome> {
    let held = read_head(store).await?;
    if draft.expected.is_some_and(|expected| expected != held.generation()) {
        return conflict(store, &held, draft).await;
    }
    let write_id = format!("{:032x}", rand::rng().next_u64() as u128 ^ (now.0 as u128) << 64);
    let replaced = held.generation().0;
    let record = WriteRecord { write_id: write_id.clone(), author: draft.author.clone(), replaced };
    let (object, parts) = match next_head(store, &held, draft, record, now).await? {
        NextHead::Object(object, parts) => (object, parts),
        NextHead::Unchanged => return Ok(ReleaseOutcome::Unchanged(held.generation())),
        NextHead::Faulty(faults) => return Ok(ReleaseOutcome::Faulty(faults)),
    };
    for (key, value) in parts {
        parts::write_part(store, &key, &value).await?;
    }
    write_head(store, held, &object, &write_id, draft).await
}

/// The head as it was read, with its version.
struct HeldHead {
    version: Option<store_epoch::StoreRevision>,
    object: HeadObject,
}

impl HeldHead {
    fn generation(&self) -> ids::ConfigGeneration {
        ids::ConfigGeneration(self.version.map_or(0, store_epoch::StoreRevision::packed))
    }

    /// The generation that a write became, if it was accepted: the head's own where it is the
    /// newest, else the one that the next write replaced.
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

async fn next_head(
    store: &dyn platform::ObjectStore,
    held: &HeldHead,
    draft: &ReleaseDraft,
    record: WriteRecord,
    now: ids::UnixMillis,
) -> eyre::Result<NextHead> {
    let mut object = held.object.clone();
    object.history.insert(0, record);
    object.history.truncate(HISTORY_LENGTH);
    let mut parts = collections::BTreeMap::new();
    match &draft.change {
        ReleaseChange::FreshKey => {
            let active_from = match object.keys.is_empty() {
                true => ids::UnixMillis(0),
                false => now.plus(KEY_SPREAD_MS),
            };
            object.keys.rotate(now, active_from, random_secret());
        }
        ReleaseChange::Manifest(wanted) => {
            let current = held.manifest(store).await?;
            let mut faults = wanted.check();
            faults.extend(addresses::resting_faults(wanted, &current, &object.resting, now));
            if !faults.is_empty() {
                return Ok(NextHead::Faulty(faults));
            }
            if held.version.is_some() && difference::differences(&current, wanted).is_empty() {
                return Ok(NextHead::Unchanged);
            }
            if object.keys.is_empty() {
                object.keys.rotate(now, ids::UnixMillis(0), random_secret());
            }
            note_removed(&mut object, wanted, &current, held.generation());
            object.resting = addresses::next_resting(wanted, &current, &object.resting, now);
            object.data_centres = wanted.data_centres.clone();
            parts = parts::parts_of(wanted)?;
            if let Some(fault) = parts::size_fault(&parts) {
                return Ok(NextHead::Faulty(vec![fault]));
            }
            object.parts = parts.keys().cloned().collect();
        }
    }
    Ok(NextHead::Object(object, parts))
}

async fn write_head(
    store: &dyn platform::ObjectStore,
    held: HeldHead,
    object: &HeadObject,
    write_id: &str,
    draft: &ReleaseDraft,
) -> eyre::Result<ReleaseOutcome> {
    let value = serde_json::to_string(object)?;
    for attempt in 0..STORE_ATTEMPTS {
        match store.put(HEAD_KEY, value.clone(), held.condition()).await {
            Ok(version) => {
                return Ok(ReleaseOutcome::Accepted(ids::ConfigGeneration(version.packed())));
            }
            Err(platform::StoreError::Unavailable) => back_off(attempt).await,
            Err(platform::StoreError::Conflict | platform::StoreError::Unknown) => {
                let found = read_head(store).await?;
                if let Some(generation) = found.generation_of(write_id) {
                    return Ok(ReleaseOutcome::Accepted(generation));
                }
                if found.version != held.version {
                    return conflict(store, &found, draft).await;
                }
                back_off(attempt).await;
            }
        }
    }
    Err(platform::StoreError::Unavailable.into())
}

async fn conflict(
    store: &dyn platform::ObjectStore,
    held: &HeldHead,
    draft: &ReleaseDraft,
) -> eyre::Result<ReleaseOutcome> {
    let differences = match &draft.change {
        ReleaseChange::FreshKey => Vec::new(),
        ReleaseChange::Manifest(wanted) => {
            difference::differences(&held.manifest(store).await?, wanted)
        }
    };
    let author = held.object.history.first().map(|write| write.author.clone());
    Ok(ReleaseOutcome::Conflict {
        generation: held.generation(),
        author: author.unwrap_or_default(),
        differences,
    })
}

async fn read_head(store: &dyn platform::ObjectStore) -> eyre::Result<HeldHead> {
    let stored = read_object(store, HEAD_KEY).await?;
    let object = stored.as_ref().map(read_head_object).transpose()?.unwrap_or_default();
    Ok(HeldHead { version: stored.map(|stored| stored.version), object })
}

fn read_head_object(stored: &platform::StoredObject) -> eyre::Result<HeadObject> {
    serde_json::from_str(&stored.value).wrap_err("the head object is damaged")
}

async fn read_object(
    store: &dyn platform::ObjectStore,
    key: &str,
) -> eyre::Result<Option<platform::StoredObject>> {
    for attempt in 0..STORE_ATTEMPTS {
        match store.get(key).await {
            Ok(object) => return Ok(object),
            Err(_) => back_off(attempt).await,
        }
    }
    Err(platform::StoreError::Unavailable.into())
}

fn note_removed(
    object: &mut HeadObject,
    wanted: &manifest::ServiceManifest,
    current: &manifest::ServiceManifest,
    held: ids::ConfigGeneration,
) {
    let kept: collections::HashSet<_> =
        wanted.services.iter().map(manifest::ServiceSpec::id).collect();
    object.removed.retain(|removed| !kept.contains(&removed.service));
    let gone = current.services.iter().map(manifest::ServiceSpec::id);
    let gone = gone.filter(|service| !kept.contains(service));
    object.removed.extend(gone.map(|service| RemovedService { service, last: held.0 }));
    let excess = object.removed.len().saturating_sub(REMOVED_LIMIT);
    if let Some(forgotten) = object.removed.drain(..excess).next_back() {
        object.removed_from = forgotten.last + 1;
    }
}

fn random_secret() -> [u8; 32] {
    let mut secret = [0; 32];
    rand::rng().fill_bytes(&mut secret);
    secret
}

async fn back_off(attempt: u32) {
    let base_ms = 50u64 << attempt.min(5);
    let jitter_ms = rand::rng().next_u64() % base_ms;
    smol::Timer::after(time::Duration::from_millis(base_ms + jitter_ms)).await;
}
