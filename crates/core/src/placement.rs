//! Rendezvous hashing of flows to an ordered list of candidates, equal in every process.
//!
//! Rendezvous hashing over all members takes time linear in their number. A [`BucketTable`]
//! precomputes the candidates of each bucket, so a lookup is one hash and one array access. Adding
//! a member updates each bucket once; removing one recomputes only the buckets that listed it.

use std::collections;
use std::net;

use crate::ids;

/// The number of candidates of each bucket.
///
/// Anchors and lookups use the first few settled ones; the rest are spares for members that are
/// dead but not yet removed, draining, or started too recently.
pub const CANDIDATE_DEPTH: usize = 8;

/// The number of buckets for each host.
///
/// More would spread anchors a little more evenly, but not flows, whose owners are chosen by load.
const BUCKETS_PER_HOST: u32 = 16;

/// The maximum number of buckets of a service; bounds the time to build a large table.
const MAX_BUCKETS: u32 = 65_536;

/// A flow, identified by its service and the caller's address.
#[derive(
    Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd, serde::Deserialize, serde::Serialize,
)]
pub struct FlowKey {
    /// The service.
    pub service: ids::ServiceId,
    /// The caller's source address.
    pub caller: net::SocketAddr,
}

impl FlowKey {
    /// A hash of the flow that is equal in every process.
    pub fn stable_hash(&self) -> u64 {
        let (high, low) = match self.caller.ip() {
            net::IpAddr::V4(ip) => (0, u64::from(ip.to_bits())),
            net::IpAddr::V6(ip) => ((ip.to_bits() >> 64) as u64, ip.to_bits() as u64),
        };
        let port = u64::from(self.caller.port()) << 32 | u64::from(self.service.0);
        ids::mix_words(ids::mix_words(low, high), port)
    }
}

/// The ranked candidates of each bucket of a service.
#[derive(Clone, Debug, Default)]
pub struct BucketTable {
    members: collections::BTreeSet<ids::InstanceId>,
    buckets: Vec<[ids::InstanceId; CANDIDATE_DEPTH]>,
}

/// Marks an unused position in a bucket.
const NO_MEMBER: ids::InstanceId = ids::InstanceId(0);

impl BucketTable {
    /// Creates an empty table for a service of at most `max_hosts` hosts.
    pub fn new(max_hosts: u32) -> BucketTable {
        let wanted = max_hosts.max(4).saturating_mul(BUCKETS_PER_HOST);
        let count = wanted.min(MAX_BUCKETS).next_power_of_two();
        BucketTable {
            members: collections::BTreeSet::new(),
            buckets: vec![[NO_MEMBER; CANDIDATE_DEPTH]; count as usize],
        }
    }

    /// Replaces the members by applying the difference.
    pub fn set_members(&mut self, wanted: &collections::BTreeSet<ids::InstanceId>) {
        let removed: Vec<_> = self.members.difference(wanted).copied().collect();
        let new: Vec<_> = wanted.difference(&self.members).copied().collect();
        self.members = wanted.clone();
        if !removed.is_empty() {
            self.remove_members(&removed);
        }
        for member in new {
            self.add_member(member);
        }
    }

    fn add_member(&mut self, member: ids::InstanceId) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            insert_ranked(bucket, index, member);
        }
    }

    fn remove_members(&mut self, removed: &[ids::InstanceId]) {
        for (index, bucket) in self.buckets.iter_mut().enumerate() {
            if !bucket.iter().any(|member| removed.contains(member)) {
                continue;
            }
            *bucket = [NO_MEMBER; CANDIDATE_DEPTH];
            for member in &self.members {
                insert_ranked(bucket, index, *member);
            }
        }
    }
}

impl BucketTable {
    /// The candidates for a flow hash, best first.
    pub fn candidates(&self, flow_hash: u64) -> impl Iterator<Item = ids::InstanceId> + '_ {
        let mask = self.buckets.len().wrapping_sub(1);
        let bucket = self.buckets.get(flow_hash as usize & mask);
        bucket.into_iter().flatten().copied().take_while(|member| *member != NO_MEMBER)
    }

    /// All members, ordered by id.
    pub fn members(&self) -> impl Iterator<Item = ids::InstanceId> + '_ {
        self.members.iter().copied()
    }

    /// The number of buckets.
    pub fn bucket_count(&self) -> usize {
        self.buckets.len()
    }
}

fn insert_ranked(
    bucket: &mut [ids::InstanceId; CANDIDATE_DEPTH],
    index: usize,
    member: ids::InstanceId,
) {
    let rank = |candidate: ids::InstanceId| ids::mix_words(candidate.0, index as u64 + 1);
    let score = rank(member);
    let last = bucket[CANDIDATE_DEPTH - 1];
    // Fast path: most members rank below the last candidate of a full bucket.
    if last != NO_MEMBER && rank(last) >= score {
        return;
    }
    let place = bucket.iter().position(|held| *held == NO_MEMBER || rank(*held) < score);
    let Some(place) = place else { return };
    bucket[place..].rotate_right(1);
    bucket[place] = member;
}
