//! A balancer's memory of where flows go: bounded, and free to vanish.
//!
//! It saves a hop by the flow's anchor and nothing else, so it may lose anything at any time. Two
//! generations of a map bound it: when the young one is full it becomes the old one, and what was
//! old and unused goes. That costs no scan and no clock, whatever callers send.

use std::collections;

use crate::ids;
use crate::placement;

type FlowMap = collections::HashMap<placement::FlowKey, ids::InstanceId, FlowHashBuilder>;

/// A balancer's memory of where flows go.
#[derive(Debug)]
pub struct FlowCache {
    limit: usize,
    young: FlowMap,
    old: FlowMap,
}

impl FlowCache {
    /// A cache for at most `limit` flows.
    pub fn new(limit: usize) -> FlowCache {
        FlowCache { limit, young: FlowMap::default(), old: FlowMap::default() }
    }

    /// Remembers where a flow goes.
    pub fn insert(&mut self, flow: placement::FlowKey, owner: ids::InstanceId) {
        if self.young.len() >= self.limit / 2 && !self.young.contains_key(&flow) {
            self.old = std::mem::take(&mut self.young);
        }
        self.young.insert(flow, owner);
    }

    /// Forgets where a flow goes.
    pub fn remove(&mut self, flow: &placement::FlowKey) {
        self.young.remove(flow);
        self.old.remove(flow);
    }

    /// Where a flow goes; a flow in use moves to the young generation.
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
    /// How many flows are remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether none is.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Hashes with seeds drawn for each map, so that no caller can choose addresses that meet in one
/// place; faster than the standard hash, which matters at a lookup for each packet.
type FlowHashBuilder = foldhash::fast::RandomState;
