//! Storage of large answers for block-wise transfer.

use std::collections;
use std::sync;

use crate::ids;
use crate::message;

/// How long an answer is stored after its last access, in milliseconds.
const BODY_RETENTION_MS: u64 = 60_000;

/// How long after its last access an incomplete transfer holds up a drain, in milliseconds.
const FETCH_STALL_MS: u64 = 10_000;

/// Maximum total size of the stored answers, in bytes.
const BODY_BYTES_LIMIT: usize = 64 << 20;

/// Identifies a stored answer.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub(crate) struct BodyKey {
    pub(crate) conversation: u64,
    pub(crate) path: String,
}

/// Large answers that callers fetch block by block.
#[derive(Clone, Debug, Default)]
pub(crate) struct BodyStore {
    bodies: collections::HashMap<BodyKey, StoredBody>,
    bytes: usize,
}

#[derive(Clone, Debug)]
struct StoredBody {
    answer: sync::Arc<message::BackendAnswer>,
    last_access: ids::UnixMillis,
    is_fetched: bool,
}

impl BodyStore {
    /// Stores an answer, unless that would exceed the size limit.
    pub(crate) fn insert(
        &mut self,
        key: BodyKey,
        answer: &sync::Arc<message::BackendAnswer>,
        now: ids::UnixMillis,
    ) {
        if self.bytes + answer.body.len() > BODY_BYTES_LIMIT {
            return;
        }
        self.bytes += answer.body.len();
        let stored = StoredBody { answer: answer.clone(), last_access: now, is_fetched: false };
        if let Some(earlier) = self.bodies.insert(key, stored) {
            self.bytes -= earlier.answer.body.len();
        }
    }

    /// Returns the stored answer, marking it as fetched if `block` is its last block.
    pub(crate) fn fetch(
        &mut self,
        key: &BodyKey,
        block: message::BodyBlock,
        now: ids::UnixMillis,
    ) -> Option<sync::Arc<message::BackendAnswer>> {
        let stored = self.bodies.get_mut(key)?;
        stored.last_access = now;
        stored.is_fetched |= block.offset() + block.size as usize >= stored.answer.body.len();
        Some(stored.answer.clone())
    }

    /// Removes answers that have not been accessed for [`BODY_RETENTION_MS`].
    pub(crate) fn sweep(&mut self, now: ids::UnixMillis) {
        self.bodies.retain(|_, stored| now.since(stored.last_access) < BODY_RETENTION_MS);
        self.bytes = self.bodies.values().map(|stored| stored.answer.body.len()).sum();
    }

    /// Number of transfers in progress.
    pub(crate) fn unfetched(&self, now: ids::UnixMillis) -> usize {
        let is_fetching = |stored: &&StoredBody| {
            !stored.is_fetched && now.since(stored.last_access) < FETCH_STALL_MS
        };
        self.bodies.values().filter(is_fetching).count()
    }
}
