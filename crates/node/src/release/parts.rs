//! The parts of a configuration: immutable objects keyed by a digest of their contents.

use std::collections;

use eyre::WrapErr as _;
use rosemaryusher_core::manifest;

use crate::platform;
use crate::release::MAX_STORE_ATTEMPTS;
use crate::release::get_with_retries;
use crate::release::wait_before_retry;

/// The number of buckets that services are hashed into; an empty bucket has no part.
///
/// Changing a service writes one part and the head, not the whole configuration.
const MAX_PARTS: u32 = 64;

/// The platform's limit on the size of a value.
const MAX_VALUE_BYTES: usize = 1_000_000;

/// Parts already read, by key.
///
/// Parts are immutable, so after a change a watcher reads only the head and the changed parts.
#[derive(Clone, Debug, Default)]
pub struct PartCache {
    parts: collections::HashMap<String, Vec<manifest::ServiceSpec>>,
}

impl PartCache {
    /// Returns the services of the parts with these keys, reading those that are not cached.
    pub(super) async fn load(
        &mut self,
        store: &dyn platform::ObjectStore,
        keys: &[String],
    ) -> eyre::Result<Vec<manifest::ServiceSpec>> {
        self.parts.retain(|key, _| keys.contains(key));
        for key in keys {
            if !self.parts.contains_key(key) {
                let part = load_parts(store, std::slice::from_ref(key)).await?;
                self.parts.insert(key.clone(), part);
            }
        }
        Ok(keys.iter().filter_map(|key| self.parts.get(key)).flatten().cloned().collect())
    }
}

pub(super) async fn load_parts(
    store: &dyn platform::ObjectStore,
    keys: &[String],
) -> eyre::Result<Vec<manifest::ServiceSpec>> {
    let mut services = Vec::new();
    for key in keys {
        let part = get_with_retries(store, key).await?;
        let part = part.ok_or_else(|| eyre::eyre!("the configuration part {key} is missing"))?;
        let specs: Vec<manifest::ServiceSpec> = serde_json::from_str(&part.value)
            .wrap_err_with(|| format!("the configuration part {key} cannot be parsed"))?;
        services.extend(specs);
    }
    Ok(services)
}

/// Writes a part, unless it exists: an object with the same digest has the same contents.
pub(super) async fn write_part(
    store: &dyn platform::ObjectStore,
    key: &str,
    value: &str,
) -> eyre::Result<()> {
    for attempt in 0..MAX_STORE_ATTEMPTS {
        match store.put(key, value.to_owned(), platform::WriteCondition::Absent).await {
            Ok(_) | Err(platform::StoreError::Conflict) => return Ok(()),
            Err(_) => wait_before_retry(attempt).await,
        }
    }
    Err(platform::StoreError::Unavailable.into())
}

/// Writes parts from the cache that a restored store may lack.
pub(super) async fn rewrite_parts(
    store: &dyn platform::ObjectStore,
    keys: &[String],
    cache: &PartCache,
) -> eyre::Result<()> {
    for key in keys {
        let specs = cache.parts.get(key);
        let specs =
            specs.ok_or_else(|| eyre::eyre!("the configuration part {key} is not cached"))?;
        let value = serde_json::to_string(specs)?;
        eyre::ensure!(
            part_key(&value) == *key,
            "the cached configuration part {key} does not match its digest"
        );
        write_part(store, key, &value).await?;
    }
    Ok(())
}

fn part_key(value: &str) -> String {
    format!("config/part-{}", blake3::hash(value.as_bytes()).to_hex())
}

pub(super) fn encode_parts(
    manifest: &manifest::ServiceManifest,
) -> eyre::Result<collections::BTreeMap<String, String>> {
    let mut buckets: collections::BTreeMap<u32, Vec<&manifest::ServiceSpec>> =
        collections::BTreeMap::new();
    for spec in &manifest.services {
        buckets.entry(spec.id().0 % MAX_PARTS).or_default().push(spec);
    }
    let mut parts = collections::BTreeMap::new();
    for specs in buckets.values() {
        let value = serde_json::to_string(specs)?;
        parts.insert(part_key(&value), value);
    }
    Ok(parts)
}

/// Reports a part larger than the platform accepts, before anything is written.
pub(super) fn part_size_fault(
    parts: &collections::BTreeMap<String, String>,
) -> Option<manifest::ManifestFault> {
    let longest = parts.values().map(String::len).max()?;
    (longest > MAX_VALUE_BYTES).then(|| manifest::ManifestFault {
        path: "services".to_owned(),
        problem: format!("a part would be {longest} bytes, the platform accepts {MAX_VALUE_BYTES}"),
        remedy: "leave out rules that are at their defaults, or use fewer services".to_owned(),
    })
}
