//! Reassembly of request bodies from blockwise transfers.

use std::collections;

use crate::ids;
use crate::ledger;
use crate::message;

/// The idle timeout of an upload, in milliseconds.
pub const UPLOAD_IDLE_MS: u64 = 60_000;

/// The maximum number of concurrent uploads of an agent.
const MAX_UPLOADS: usize = 1_024;

/// The outcome of [`UploadTable::accept`].
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UploadOutcome {
    /// The block was stored; more blocks follow.
    Partial,
    /// The body is complete.
    Complete(Vec<u8>),
    /// The last block was stored but earlier ones are missing.
    Incomplete,
    /// The body exceeds the limit.
    TooLarge,
    /// Too many uploads are in progress.
    Full,
}

#[derive(Clone, Debug, Default)]
struct PartialBody {
    blocks: collections::BTreeMap<u32, Vec<u8>>,
    bytes: usize,
    block_size: u32,
    last_activity: ids::UnixMillis,
}

/// The uploads in progress at one agent.
#[derive(Clone, Debug, Default)]
pub struct UploadTable {
    bodies: collections::HashMap<ledger::RequestKey, PartialBody>,
}

impl UploadTable {
    /// Stores a block.
    ///
    /// Blocks may arrive in any order and repeatedly. If earlier blocks are missing when the last
    /// one arrives, the caller sends only these, since the received ones are kept.
    pub fn accept(
        &mut self,
        key: ledger::RequestKey,
        block: message::BodyBlock,
        payload: &[u8],
        limit: usize,
        now: ids::UnixMillis,
    ) -> UploadOutcome {
        match () {
            _ if block.offset() + payload.len() > limit => {
                self.bodies.remove(&key);
                return UploadOutcome::TooLarge;
            }
            _ if self.bodies.len() >= MAX_UPLOADS && !self.bodies.contains_key(&key) => {
                return UploadOutcome::Full;
            }
            _ => {}
        }
        let body = self.bodies.entry(key).or_default();
        if body.block_size != block.size {
            *body = PartialBody { block_size: block.size, ..PartialBody::default() };
        }
        body.last_activity = now;
        body.bytes += payload.len();
        if let Some(earlier) = body.blocks.insert(block.number, payload.to_vec()) {
            body.bytes -= earlier.len();
        }
        match (block.more, body.is_contiguous(block.number)) {
            (true, _) => UploadOutcome::Partial,
            (false, false) => UploadOutcome::Incomplete,
            (false, true) => UploadOutcome::Complete(self.take_body(key)),
        }
    }

    /// Removes uploads whose idle timeout has passed.
    pub fn sweep(&mut self, now: ids::UnixMillis) {
        self.bodies.retain(|_, body| now.since(body.last_activity) < UPLOAD_IDLE_MS);
    }

    fn take_body(&mut self, key: ledger::RequestKey) -> Vec<u8> {
        let body = self.bodies.remove(&key).unwrap_or_default();
        body.blocks.into_values().flatten().collect()
    }
}

impl UploadTable {
    /// Whether an upload is in progress.
    pub fn contains(&self, key: ledger::RequestKey) -> bool {
        self.bodies.contains_key(&key)
    }

    /// The number of uploads in progress.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether no upload is in progress.
    pub fn is_empty(&self) -> bool {
        self.bodies.is_empty()
    }
}

impl PartialBody {
    fn is_contiguous(&self, last: u32) -> bool {
        let full = |number: &u32, block: &Vec<u8>| {
            *number == last || block.len() == self.block_size as usize
        };
        self.blocks.len() as u64 == u64::from(last) + 1
            && self.blocks.iter().all(|(number, block)| full(number, block))
    }
}
