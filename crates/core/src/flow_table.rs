//! An agent's flows: those it owns, those whose owner it knows, and those it is looking up.

use std::collections;
use std::net;

use crate::ids;
use crate::message;
use crate::placement;

/// The number of datagrams buffered for each flow during a lookup.
const MAX_HELD_DATAGRAMS: usize = 8;

/// The timeout of one lookup attempt, in milliseconds.
pub const LOOKUP_TIMEOUT_MS: u64 = 150;

/// The number of lookup attempts before a flow counts as new.
///
/// With one attempt, a single lost packet could move an open flow to another backend server.
pub const LOOKUP_ATTEMPTS: u32 = 3;

/// The number of flow owners that an agent remembers for others.
const MAX_DIRECTORY_FLOWS: usize = 262_144;

/// A flow that this agent owns.
#[derive(Clone, Debug)]
pub struct OwnedFlow {
    /// The address that the caller sends to.
    pub address: net::SocketAddr,
    /// The balancer that last forwarded a datagram.
    pub via: ids::InstanceId,
    /// When the last datagram passed in either direction.
    pub last_activity: ids::UnixMillis,
    /// The agents that the flow is registered with.
    pub anchors: collections::BTreeSet<ids::InstanceId>,
}

/// A flow whose owner is being looked up.
#[derive(Clone, Debug)]
pub struct PendingFlow {
    /// When the last attempt was made.
    pub since: ids::UnixMillis,
    /// The number of attempts made.
    pub attempts: u32,
    /// Datagrams buffered during the lookup.
    pub held: Vec<message::ForwardPacket>,
    /// The datagram carried by the lookup packet, sent again with each attempt.
    pub first: message::ForwardPacket,
}

/// The flows of one agent.
#[derive(Clone, Debug, Default)]
pub struct FlowTable {
    owned: collections::HashMap<placement::FlowKey, OwnedFlow>,
    directory: collections::HashMap<placement::FlowKey, ids::InstanceId>,
    pending: collections::BTreeMap<placement::FlowKey, PendingFlow>,
}

impl FlowTable {
    /// Adds a flow owned by this agent.
    pub fn open(&mut self, flow: placement::FlowKey, owned: OwnedFlow) {
        self.directory.remove(&flow);
        self.owned.insert(flow, owned);
    }

    /// Removes a flow owned by this agent.
    pub fn close(&mut self, flow: &placement::FlowKey) -> Option<OwnedFlow> {
        self.owned.remove(flow)
    }

    /// A flow owned by this agent, mutably.
    pub fn owned_mut(&mut self, flow: &placement::FlowKey) -> Option<&mut OwnedFlow> {
        self.owned.get_mut(flow)
    }

    /// Records the owner of a flow unless the directory is full; lookups find unrecorded owners.
    pub fn learn_owner(&mut self, flow: placement::FlowKey, owner: ids::InstanceId) {
        if self.directory.len() < MAX_DIRECTORY_FLOWS || self.directory.contains_key(&flow) {
            self.directory.insert(flow, owner);
        }
    }

    /// Removes the recorded owner of a flow if it is `owner`.
    pub fn forget_owner(&mut self, flow: &placement::FlowKey, owner: ids::InstanceId) {
        if self.directory.get(flow) == Some(&owner) {
            self.directory.remove(flow);
        }
    }

    /// Retains only the recorded owners for which `keep` returns true.
    pub fn retain_owners(&mut self, keep: impl Fn(ids::InstanceId) -> bool) {
        self.directory.retain(|_, owner| keep(*owner));
    }

    /// Starts a lookup of a flow's owner.
    pub fn start_lookup(&mut self, packet: &message::ForwardPacket, now: ids::UnixMillis) {
        let pending =
            PendingFlow { since: now, attempts: 1, held: Vec::new(), first: packet.clone() };
        self.pending.insert(packet.flow(), pending);
    }

    /// Starts another attempt and returns the datagram to send; `None` after the last attempt.
    pub fn retry_lookup(
        &mut self,
        flow: &placement::FlowKey,
        now: ids::UnixMillis,
    ) -> Option<message::ForwardPacket> {
        let pending = self.pending.get_mut(flow).filter(|p| p.attempts < LOOKUP_ATTEMPTS)?;
        pending.attempts += 1;
        pending.since = now;
        Some(pending.first.clone())
    }

    /// Buffers a datagram until the owner is known; false if there is no lookup or no room.
    pub fn hold(&mut self, packet: &message::ForwardPacket) -> bool {
        match self.pending.get_mut(&packet.flow()) {
            Some(pending) if pending.held.len() < MAX_HELD_DATAGRAMS => {
                pending.held.push(packet.clone());
                true
            }
            _ => false,
        }
    }

    /// Ends a lookup.
    pub fn end_lookup(&mut self, flow: &placement::FlowKey) -> Option<PendingFlow> {
        self.pending.remove(flow)
    }
}

impl FlowTable {
    /// Whether this agent owns a flow.
    pub fn owns(&self, flow: &placement::FlowKey) -> bool {
        self.owned.contains_key(flow)
    }

    /// A flow owned by this agent.
    pub fn owned(&self, flow: &placement::FlowKey) -> Option<&OwnedFlow> {
        self.owned.get(flow)
    }

    /// All flows owned by this agent.
    pub fn all_owned(&self) -> impl Iterator<Item = (&placement::FlowKey, &OwnedFlow)> {
        self.owned.iter()
    }

    /// The number of flows owned by this agent.
    pub fn owned_count(&self) -> usize {
        self.owned.len()
    }

    /// The recorded owner of a flow that another agent owns.
    pub fn known_owner(&self, flow: &placement::FlowKey) -> Option<ids::InstanceId> {
        self.directory.get(flow).copied()
    }

    /// Whether a flow's owner is being looked up.
    pub fn is_pending(&self, flow: &placement::FlowKey) -> bool {
        self.pending.contains_key(flow)
    }

    /// The number of repeated attempts of a lookup.
    pub fn lookup_attempts(&self, flow: &placement::FlowKey) -> u32 {
        self.pending.get(flow).map_or(0, |pending| pending.attempts.saturating_sub(1))
    }

    /// Flows whose last lookup attempt has timed out.
    pub fn overdue(&self, now: ids::UnixMillis) -> Vec<placement::FlowKey> {
        let late = |pending: &&PendingFlow| now.since(pending.since) >= LOOKUP_TIMEOUT_MS;
        self.pending.iter().filter(|(_, p)| late(p)).map(|(flow, _)| *flow).collect()
    }

    /// Owned flows without a datagram for `idle_ms`.
    pub fn idle(&self, idle_ms: u64, now: ids::UnixMillis) -> Vec<placement::FlowKey> {
        let idle = |owned: &&OwnedFlow| now.since(owned.last_activity) >= idle_ms;
        self.owned.iter().filter(|(_, o)| idle(o)).map(|(flow, _)| *flow).collect()
    }
}
