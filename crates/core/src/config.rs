//! The configuration in force, which only moves to newer generations.
//!
//! A configuration is accepted when a conditional update of the platform's head object succeeds;
//! its generation is the version of that object. Processes exchange deltas of the services changed
//! since a generation and ignore deltas that are not newer than their own state.

use std::collections;
use std::net;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::manifest;
use crate::ticket;

/// The delay before an address may be assigned to another service, in milliseconds.
///
/// A balancer with an outdated configuration would otherwise send the new service's callers to the
/// old service's backend servers. Configurations usually propagate within seconds; a minute also
/// covers balancers that were partitioned or suspended for a while.
pub const ADDRESS_REUSE_DELAY_MS: u64 = 60_000;

/// The number of removed services that are kept for deltas.
const MAX_REMOVED_SERVICES: usize = 4_096;

/// The protocol of an address.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EntryKind {
    /// CoAP requests.
    Requests,
    /// Opaque datagrams.
    Datagrams,
    /// Stream segments.
    Streams,
}

/// The service and protocol that an address is configured for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ServiceEntry {
    /// The service behind the address.
    pub service: ids::ServiceId,
    /// The protocol of the address.
    pub kind: EntryKind,
    /// The service-level terms of its streams.
    pub terms: manifest::StreamTerms,
}

/// The changes after a generation, or a full configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ConfigDelta {
    /// The generation that the delta starts from; zero for a full configuration.
    pub since: ids::ConfigGeneration,
    /// The generation that the delta leads to.
    pub generation: ids::ConfigGeneration,
    /// Changed services, each with the generation of its last change.
    pub changed: Vec<(ids::ConfigGeneration, manifest::ServiceSpec)>,
    /// Removed services, each with the generation that removed it.
    pub removed: Vec<(ids::ConfigGeneration, ids::ServiceId)>,
    /// The generation since which `removed` is complete.
    pub removed_from: ids::ConfigGeneration,
    /// The ticket keys.
    pub keys: ticket::KeyRing,
    /// The names of the data centres.
    pub data_centres: Vec<String>,
}

/// The outcome of [`ConfigState::advance`].
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DeltaOutcome {
    /// The delta was applied.
    Advanced,
    /// The delta is not newer than the state and was ignored.
    Stale,
    /// The delta starts after the state's generation; a full configuration is needed.
    Gap,
}

/// The configuration in force in one process.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    generation: ids::ConfigGeneration,
    services: collections::BTreeMap<ids::ServiceId, VersionedSpec>,
    removed: collections::BTreeMap<ids::ServiceId, ids::ConfigGeneration>,
    entries: collections::HashMap<net::SocketAddr, ServiceEntry>,
    /// The hashes of the regions allowed for an address; no entry where all are.
    regions: collections::HashMap<net::SocketAddr, Vec<u32>>,
    keys: ticket::KeyRing,
    data_centres: Vec<String>,
    removed_from: ids::ConfigGeneration,
}

#[derive(Clone, Debug)]
struct VersionedSpec {
    changed: ids::ConfigGeneration,
    spec: sync::Arc<manifest::ServiceSpec>,
}

impl ConfigState {
    /// Applies a delta from the platform or a peer.
    ///
    /// Stale deltas are ignored: a process must never return to an older generation, or callers
    /// would see an accepted change undone.
    pub fn advance(&mut self, delta: &ConfigDelta) -> DeltaOutcome {
        match () {
            _ if delta.generation <= self.generation => return DeltaOutcome::Stale,
            _ if delta.since > self.generation => return DeltaOutcome::Gap,
            _ if delta.since == ids::ConfigGeneration(0) => self.remove_missing(delta),
            _ => {}
        }
        if delta.since == ids::ConfigGeneration(0) {
            self.removed_from = self.removals_complete_since(delta);
        }
        for (changed, spec) in &delta.changed {
            self.put_service(*changed, spec);
        }
        for (removed, service) in &delta.removed {
            self.remove_service(*removed, *service);
        }
        self.generation = delta.generation;
        self.keys = delta.keys.clone();
        self.data_centres = delta.data_centres.clone();
        self.rebuild_entries();
        DeltaOutcome::Advanced
    }

    fn remove_missing(&mut self, delta: &ConfigDelta) {
        let kept: collections::HashSet<_> = delta.changed.iter().map(|(_, s)| s.id()).collect();
        let missing: Vec<_> =
            self.services.keys().filter(|id| !kept.contains(id)).copied().collect();
        for service in missing {
            self.remove_service(delta.generation, service);
        }
    }

    fn put_service(&mut self, changed: ids::ConfigGeneration, spec: &manifest::ServiceSpec) {
        let id = spec.id();
        self.removed.remove(&id);
        match self.services.get(&id) {
            Some(held) if *held.spec == *spec => {}
            _ => {
                let spec = sync::Arc::new(spec.clone());
                self.services.insert(id, VersionedSpec { changed, spec });
            }
        }
    }

    /// Removes a service and records the removal, even if this process never had the service.
    ///
    /// A peer may still have the service and learn of the removal only from this process.
    fn remove_service(&mut self, removed: ids::ConfigGeneration, service: ids::ServiceId) {
        self.services.remove(&service);
        self.removed.insert(service, removed);
        while self.removed.len() > MAX_REMOVED_SERVICES {
            let Some((id, oldest)) = self.removed.iter().min_by_key(|(_, g)| **g) else { return };
            let (id, oldest) = (*id, *oldest);
            self.removed.remove(&id);
            self.removed_from = self.removed_from.max(oldest);
        }
    }

    /// The generation since which all removals are known after a full configuration is applied.
    ///
    /// A service may have been added and removed between this state and the delta. Peers older than
    /// this generation need a full configuration, or they would keep a removed service.
    fn removals_complete_since(&self, delta: &ConfigDelta) -> ids::ConfigGeneration {
        match delta.removed_from <= self.generation && self.generation.0 > 0 {
            true => self.removed_from.min(delta.removed_from),
            false => delta.removed_from,
        }
    }

    fn rebuild_entries(&mut self) {
        self.entries.clear();
        self.regions.clear();
        for (service, held) in &self.services {
            let kinds = [
                (held.spec.requests, EntryKind::Requests),
                (held.spec.datagrams, EntryKind::Datagrams),
            ];
            for (address, kind) in kinds {
                let Some(address) = address else { continue };
                let terms = manifest::StreamTerms::default();
                self.entries.insert(address, ServiceEntry { service: *service, kind, terms });
            }
            for stream in &held.spec.streams {
                let kind = EntryKind::Streams;
                let entry = ServiceEntry { service: *service, kind, terms: stream.terms };
                self.entries.insert(stream.address, entry);
                if !stream.regions.is_empty() {
                    let hashes = stream.regions.iter().map(|name| ids::hash_region(name));
                    self.regions.insert(stream.address, hashes.collect());
                }
            }
        }
    }
}

impl ConfigState {
    /// The generation in force; zero before the first one.
    pub fn generation(&self) -> ids::ConfigGeneration {
        self.generation
    }

    /// The ticket keys.
    pub fn keys(&self) -> &ticket::KeyRing {
        &self.keys
    }

    /// The names of the data centres.
    pub fn data_centres(&self) -> &[String] {
        &self.data_centres
    }

    /// The service and protocol of an address.
    pub fn entry_at(&self, address: net::SocketAddr) -> Option<ServiceEntry> {
        self.entries.get(&address).copied()
    }

    /// The hashes of the regions allowed for an address; empty if all are.
    pub fn regions_at(&self, address: net::SocketAddr) -> &[u32] {
        self.regions.get(&address).map_or(&[], Vec::as_slice)
    }

    /// The definition of a service.
    pub fn service(&self, service: ids::ServiceId) -> Option<&manifest::ServiceSpec> {
        self.services.get(&service).map(|held| &*held.spec)
    }

    /// All services, ordered by id.
    pub fn services(&self) -> impl Iterator<Item = &manifest::ServiceSpec> {
        self.services.values().map(|held| &*held.spec)
    }

    /// All addresses with their services and protocols.
    pub fn entries(&self) -> impl Iterator<Item = (net::SocketAddr, ServiceEntry)> {
        self.entries.iter().map(|(address, entry)| (*address, *entry))
    }

    /// The delta for a process at generation `since`.
    ///
    /// A full configuration if the removals since then are not all known.
    pub fn delta_since(&self, since: ids::ConfigGeneration) -> ConfigDelta {
        let since = match since {
            since if since < self.removed_from => ids::ConfigGeneration(0),
            since => since,
        };
        let changed = self.services.values().filter(|held| held.changed > since);
        let removed = self.removed.iter().filter(|(_, removed)| **removed > since);
        ConfigDelta {
            since,
            generation: self.generation,
            changed: changed.map(|held| (held.changed, (*held.spec).clone())).collect(),
            removed: removed.map(|(service, removed)| (*removed, *service)).collect(),
            removed_from: self.removed_from,
            keys: self.keys.clone(),
            data_centres: self.data_centres.clone(),
        }
    }
}
