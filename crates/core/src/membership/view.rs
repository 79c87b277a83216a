//! The membership view: the records of all known processes.

use std::collections;
use std::sync;

use crate::ids;
use crate::membership::record;

/// A record with local timestamps.
#[derive(Clone, Debug)]
pub struct ViewedMember {
    /// The merged record.
    pub record: record::MemberRecord,
    /// When this process first received a record of the member.
    pub first_seen: ids::UnixMillis,
    /// When the record last changed.
    pub changed: ids::UnixMillis,
}

/// The merged records of all known processes.
///
/// Clones share the records.
#[derive(Clone, Debug, Default)]
pub struct MemberView {
    members: collections::BTreeMap<ids::InstanceId, sync::Arc<ViewedMember>>,
    runs: collections::HashMap<String, ids::InstanceId>,
    digest: u64,
}

impl MemberView {
    /// Merges a record; returns whether the view changed.
    ///
    /// A later run of the same name marks the earlier one dead.
    pub fn merge(&mut self, record: &record::MemberRecord, now: ids::UnixMillis) -> bool {
        let mut record = record.clone();
        if self.is_superseded(&record) {
            record.liveness = permanently_dead();
        }
        let changed = self.merge_record(&record, now);
        if changed {
            self.supersede(&record, now);
        }
        changed
    }

    /// Removes members that have been dead or departed for `retention_ms`.
    ///
    /// Until then tickets may name them, and are routed by their phase and successor.
    pub fn remove_expired(&mut self, now: ids::UnixMillis, retention_ms: u64) {
        let expired: Vec<_> = self
            .members
            .values()
            .filter(|member| {
                !member.record.is_reachable() && now.since(member.changed) > retention_ms
            })
            .map(|member| member.record.instance)
            .collect();
        for instance in expired {
            let Some(member) = self.members.remove(&instance) else { continue };
            self.digest ^= member.record.digest_word();
            if self.runs.get(&member.record.name) == Some(&instance) {
                self.runs.remove(&member.record.name);
            }
        }
    }

    fn is_superseded(&self, record: &record::MemberRecord) -> bool {
        let current = self.runs.get(&record.name).and_then(|run| self.members.get(run));
        match current {
            Some(current) if current.record.instance == record.instance => false,
            Some(current) => run_order(&current.record) > run_order(record),
            None => false,
        }
    }

    fn merge_record(&mut self, record: &record::MemberRecord, now: ids::UnixMillis) -> bool {
        let Some(held) = self.members.get_mut(&record.instance) else {
            let member = ViewedMember { record: record.clone(), first_seen: now, changed: now };
            self.digest ^= record.digest_word();
            self.members.insert(record.instance, sync::Arc::new(member));
            return true;
        };
        let mut merged = held.record.clone();
        if !merged.merge(record) {
            return false;
        }
        self.digest ^= held.record.digest_word() ^ merged.digest_word();
        let member = ViewedMember { record: merged, first_seen: held.first_seen, changed: now };
        *held = sync::Arc::new(member);
        true
    }

    fn supersede(&mut self, record: &record::MemberRecord, now: ids::UnixMillis) {
        let earlier = match self.runs.get(&record.name) {
            Some(run) if *run == record.instance => return,
            Some(run) => self.members.get(run).map(|member| member.record.clone()),
            None => None,
        };
        match earlier {
            Some(earlier) if run_order(&earlier) > run_order(record) => {}
            Some(mut earlier) => {
                self.runs.insert(record.name.clone(), record.instance);
                earlier.liveness = permanently_dead();
                self.merge_record(&earlier, now);
            }
            None => {
                self.runs.insert(record.name.clone(), record.instance);
            }
        }
    }
}

impl MemberView {
    /// The record of a run.
    pub fn get(&self, instance: ids::InstanceId) -> Option<&record::MemberRecord> {
        self.members.get(&instance).map(|member| &member.record)
    }

    /// All members including dead ones, in order of their identifiers.
    pub fn iter(&self) -> impl Iterator<Item = &ViewedMember> {
        self.members.values().map(|member| &**member)
    }

    /// All members that packets may be sent to.
    pub fn reachable(&self) -> impl Iterator<Item = &record::MemberRecord> {
        self.iter().map(|member| &member.record).filter(|record| record.is_reachable())
    }

    /// Number of members including dead ones.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether the view is empty.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// A digest of all records; equal views have equal digests.
    pub fn digest(&self) -> u64 {
        self.digest
    }
}

fn run_order(record: &record::MemberRecord) -> (ids::UnixMillis, ids::InstanceId) {
    (record.started, record.instance)
}

fn permanently_dead() -> record::MemberLiveness {
    record::MemberLiveness { version: u32::MAX, state: record::LivenessState::Dead }
}
