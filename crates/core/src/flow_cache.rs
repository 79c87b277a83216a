//! A balancer's bounded cache of flow owners.
//!
//! A miss costs one extra hop by way of the flow's anchor, so entries may be evicted at any time.
//! Eviction uses two generations: when the young map is full it replaces the old one, which drops
//! the entries not used since. This needs neither a scan nor a clock.

use std::collections;

use crate::ids;
use crate::placement;

type FlowMap = collections::HashMap<placement::FlowKey, ids::InstanceId, FlowHashBuilder>;

/// A bounded cache of flow owners with generational eviction.
#[derive(Debug)]
pub struct FlowCache {
    limit: usize,
    young: FlowMap,
    old: FlowMap,
}

impl FlowCache {
    /// Creates a cache for at most `limit` flows.
    pub fn new(limit: usize) -> FlowCache {
        FlowCache { limit, young: FlowMap::default(), old: FlowMap::default() }
    }

    /// Caches the owner of a flow.
    pub fn insert(&mut self, flow: placement::FlowKey, owner: ids::InstanceId) {
        if self.young.len() >= self.limit / 2 && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(flow, owner);
    }

    /// Removes a flow.
    pub fn remove(&mut self, flow: &placement::FlowKey) {
        self.young.remove(flow);
        self.old.remove(flow);
    }

    /// Looks up the owner of a flow and moves the flow to the young generation.
    pub fn touch(&mut self, flow: &placement::FlowKey) -> Option<ids::InstanceId> {
        if let Some(owner) = self.young.get(flow) {
            return Some(*owner);
        }
        let owner = self.old.remove(flow)?;
        self.insert(*flow, owner);
        Some(owner)
    }
}

impl FlowCache {
    /// The number of cached flows.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Seeded for each map, so that callers cannot choose addresses that collide; faster than the
/// standard library's hasher, since each packet needs a lookup.
type FlowHashBuilder = foldhash::fast::RandomState;
