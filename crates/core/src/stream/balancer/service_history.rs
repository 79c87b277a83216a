//! Which services may hold the open streams of an entry.
//!
//! A stream belongs to the service that it opened at, whatever later configurations say. A balancer that
//! does not know the holder of a stream queries only the agents of the services that the entry may have
//! opened streams at:
//!
//! | the balancer | queries |
//! |---|---|
//! | has no service for the entry | all agents |
//! | knows of a newer configuration than its own | all agents |
//! | knows of every change since its start | agents of the present service and of those since then, and all that have not denied to hold streams of former services |
//! | knows of every change for as long as a stream may be open | agents of the present service and of those of that time |
//!
//! Balancers that run for less than that time learn the changes from others. If there are none, they ask each
//! agent of another service once whether it holds any stream of a former service: after a power loss all
//! streams are searched for, and balancers with little processor time must not ask for each stream.

use std::collections;
use std::net;

use crate::config;
use crate::ids;
use crate::stream::message;

/// How long streams may still open at the former service of an entry, in milliseconds: until each balancer
/// has the new configuration.
const PROPAGATION_MS: u64 = 10_000;

/// The services whose agents may hold a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ServiceScope {
    /// Any service.
    Any,
    /// One of these, or any other whose agent has not denied under this configuration to hold streams of
    /// former services.
    Undenied(ids::ConfigGeneration, Vec<ids::ServiceId>),
    /// One of these.
    Of(Vec<ids::ServiceId>),
}

impl ServiceScope {
    /// Whether a backend server of a service may hold the stream. Its agent has denied to hold streams of
    /// former services under the configuration `denied`.
    pub fn contains(&self, service: ids::ServiceId, denied: Option<ids::ConfigGeneration>) -> bool {
        match self {
            ServiceScope::Any => true,
            ServiceScope::Undenied(_, services) | ServiceScope::Of(services) => {
                services.contains(&service) || self.awaits_denial(service, denied)
            }
        }
    }

    /// Whether a backend server of a service may hold the stream only because such a denial is missing.
    pub fn awaits_denial(
        &self,
        service: ids::ServiceId,
        denied: Option<ids::ConfigGeneration>,
    ) -> bool {
        match self {
            ServiceScope::Any | ServiceScope::Of(_) => false,
            ServiceScope::Undenied(generation, services) => {
                !services.contains(&service) && denied != Some(*generation)
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownChange {
    /// The generation of the configuration with the new service.
    generation: ids::ConfigGeneration,
    /// When it came into force.
    at: ids::UnixMillis,
    /// When this balancer learned of it.
    learned: ids::UnixMillis,
}

/// The changes that another balancer knows of.
#[derive(Clone, Copy, Debug, Default)]
struct PeerKnowledge {
    /// The generation of its configuration.
    generation: ids::ConfigGeneration,
    /// Since when it has known of every change.
    since: ids::UnixMillis,
}

/// The recent changes of entries from one service to another.
#[derive(Clone, Debug)]
pub struct ServiceHistory {
    /// How long a stream from before a change may be open after it, in milliseconds.
    retention_ms: u64,
    is_first_start: bool,
    changes: collections::BTreeMap<(net::SocketAddrV4, ids::ServiceId), KnownChange>,
    /// Since when every change is known; `None` without a configuration.
    known_since: Option<ids::UnixMillis>,
    /// The generation of the first configuration.
    first_generation: ids::ConfigGeneration,
    /// What the other balancer with the newest configuration knows.
    peer_knowledge: PeerKnowledge,
    /// When changes were last forgotten, if ever.
    last_forgotten: Option<ids::UnixMillis>,
}

impl ServiceHistory {
    /// Creates an empty history of streams that last `stream_limit_s` at most. At the first start of a
    /// fleet no stream is open, so it lacks no change.
    pub fn new(stream_limit_s: u64, is_first_start: bool) -> ServiceHistory {
        ServiceHistory {
            retention_ms: stream_limit_s * 1_000 + PROPAGATION_MS,
            is_first_start,
            changes: collections::BTreeMap::new(),
            known_since: None,
            first_generation: ids::ConfigGeneration(0),
            peer_knowledge: PeerKnowledge::default(),
            last_forgotten: None,
        }
    }

    /// Records what a new configuration changes; returns whether any entry has another service.
    pub fn on_config(
        &mut self,
        from: &config::ConfigState,
        to: &config::ConfigState,
        now: ids::UnixMillis,
    ) -> bool {
        if self.known_since.is_none() {
            self.known_since = Some(if self.is_first_start { ids::UnixMillis(0) } else { now });
            self.first_generation = to.generation();
            self.adopt_peer_knowledge();
            return false;
        }
        let generation = to.generation();
        let mut has_changed = false;
        for (address, entry) in from.entries() {
            let net::SocketAddr::V4(entry_address) = address else { continue };
            let is_moved = to.entry_at(address).is_some_and(|next| next.service != entry.service);
            if entry.kind == config::EntryKind::Streams && is_moved {
                let change = KnownChange { generation, at: now, learned: now };
                has_changed |= self.insert(entry_address, entry.service, change);
            }
        }
        has_changed
    }

    /// Merges the changes that another balancer knows of; returns whether any is new.
    pub fn merge(&mut self, from: &message::FormerServices, now: ids::UnixMillis) -> bool {
        let before = |age_ms: u32| ids::UnixMillis(now.0.saturating_sub(age_ms.into()));
        let mut has_changed = false;
        for change in &from.changes {
            let known = KnownChange {
                generation: change.generation,
                at: before(change.age_ms),
                learned: now,
            };
            if now.since(known.at) < self.retention_ms {
                has_changed |= self.insert(change.entry, change.former, known);
            }
        }
        if from.generation >= self.peer_knowledge.generation {
            let since = before(from.known_ms);
            self.peer_knowledge = PeerKnowledge { generation: from.generation, since };
            self.adopt_peer_knowledge();
        }
        has_changed
    }

    /// Extends the time of which every change is known by that of another balancer, if it knew of every
    /// change up to the first configuration here.
    fn adopt_peer_knowledge(&mut self) {
        let peer = self.peer_knowledge;
        if peer.generation > ids::ConfigGeneration(0) && peer.generation >= self.first_generation {
            self.known_since = self.known_since.map(|since| since.min(peer.since));
        }
    }

    /// Returns whether the change was not known.
    fn insert(
        &mut self,
        entry: net::SocketAddrV4,
        former: ids::ServiceId,
        change: KnownChange,
    ) -> bool {
        let known = self.changes.get(&(entry, former));
        if known.is_some_and(|known| known.generation >= change.generation) {
            return false;
        }
        self.changes.insert((entry, former), change);
        if self.changes.len() > message::MAX_SERVICE_CHANGES {
            self.forget_oldest(change.learned);
        }
        true
    }

    fn forget_oldest(&mut self, now: ids::UnixMillis) {
        let oldest = self.changes.iter().min_by_key(|(_, change)| change.at);
        if let Some(key) = oldest.map(|(key, _)| *key) {
            self.changes.remove(&key);
            self.known_since = self.known_since.map(|_| now);
            self.peer_knowledge = PeerKnowledge::default();
            self.last_forgotten = Some(now);
        }
    }

    /// Forgets the changes from before which no stream can be open.
    pub fn expire(&mut self, now: ids::UnixMillis) {
        let retention_ms = self.retention_ms;
        self.changes.retain(|_, change| now.since(change.at) < retention_ms);
    }
}

impl ServiceHistory {
    /// The services whose agents may hold a stream of an entry, which belongs to `service` in the
    /// configuration in force.
    pub fn scope(
        &self,
        entry: net::SocketAddrV4,
        service: Option<ids::ServiceId>,
        generation: ids::ConfigGeneration,
        now: ids::UnixMillis,
    ) -> ServiceScope {
        let Some(service) = service else { return ServiceScope::Any };
        let former = self.changes_of(entry).map(|(former, _)| former);
        let services = [service].into_iter().chain(former).collect();
        match self.is_complete(now) {
            true => ServiceScope::Of(services),
            false => ServiceScope::Undenied(generation, services),
        }
    }

    /// Whether a scope from this time still holds.
    pub fn is_settled_since(&self, entry: net::SocketAddrV4, since: ids::UnixMillis) -> bool {
        self.last_forgotten.is_none_or(|forgotten| forgotten < since)
            && self.changes_of(entry).all(|(_, change)| change.learned < since)
    }

    /// What other balancers are sent.
    pub fn message(
        &self,
        generation: ids::ConfigGeneration,
        now: ids::UnixMillis,
    ) -> message::FormerServices {
        let age_ms = |at: ids::UnixMillis| u32::try_from(now.since(at)).unwrap_or(u32::MAX);
        let changes = self.changes.iter().map(|((entry, former), change)| message::ServiceChange {
            entry: *entry,
            former: *former,
            generation: change.generation,
            age_ms: age_ms(change.at),
        });
        message::FormerServices {
            generation,
            known_ms: self.known_since.map_or(0, age_ms),
            changes: changes.collect(),
        }
    }

    /// Whether no change is known.
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Whether another balancer lacks changes that this one knows of.
    pub fn knows_more_than(&self, other: &message::FormerServices, now: ids::UnixMillis) -> bool {
        let other_ms = u64::from(other.known_ms);
        let own_ms = self.known_since.map_or(0, |since| now.since(since));
        other_ms < self.retention_ms && own_ms > other_ms
    }

    fn is_complete(&self, now: ids::UnixMillis) -> bool {
        self.known_since.is_some_and(|since| now.since(since) >= self.retention_ms)
    }

    fn changes_of(
        &self,
        entry: net::SocketAddrV4,
    ) -> impl Iterator<Item = (ids::ServiceId, &KnownChange)> {
        let all = (entry, ids::ServiceId(0))..=(entry, ids::ServiceId(u32::MAX));
        self.changes.range(all).map(|((_, former), change)| (*former, change))
    }
}
