//! Bodies that arrive in blocks, by any balancer and in any order.

use std::collections;

use crate::ids;
use crate::ledger;
use crate::message;

/// How long an upload is kept without a new block, in milliseconds.
pub const UPLOAD_IDLE_MS: u64 = 60_000;

/// How many uploads one agent holds at the same time.
const UPLOAD_LIMIT: usize = 1_024;

/// What becomes of a block.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum UploadOutcome {
    /// It is taken in; more are needed.
    Partial,
    /// The body is whole.
    Whole(Vec<u8>),
    /// The last block is here but earlier ones are missing.
    Incomplete,
    /// The body would be longer than allowed.
    TooLarge,
    /// Too many uploads are in progress.
    Full,
}

#[derive(Clone, Debug, Default)]
struct PartialBody {
    blocks: collections::BTreeMap<u32, Vec<u8>>,
    bytes: usize,
    block_size: u32,
    touched: ids::UnixMillis,
}

/// The uploads in progress at one agent.
#[derive(Clone, Debug, Default)]
pub struct UploadTable {
    bodies: collections::HashMap<ledger::RequestKey, PartialBody>,
}

impl UploadTable {
    /// Takes in a block.
    ///
    /// Blocks that come late or twice are kept once. Where the last one comes while earlier ones
    /// are missing, the caller is told so and may send them, since those received are kept.
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
            _ if self.bodies.len() >= UPLOAD_LIMIT && !self.bodies.contains_key(&key) => {
                return UploadOutcome::Full;
            }
            _ => {}
        }
        let body = self.bodies.entry(key).or_default();
        if body.block_size != block.size {
            *body = PartialBody { block_size: block.size, ..PartialBody::default() };
        }
        body.touched = now;
        body.bytes += payload.len();
        if let Some(earlier) = body.blocks.insert(block.number, payload.to_vec()) {
            body.bytes -= earlier.len();
        }
        match (block.more, body.is_contiguous(block.number)) {
            (true, _) => UploadOutcome::Partial,
            (false, false) => UploadOutcome::Incomplete,
            (false, true) => UploadOutcome::Whole(self.take_whole(key)),
        }
    }

    /// Drops uploads that got no block for long.
    pub fn sweep(&mut self, now: ids::UnixMillis) {
        self.bodies.retain(|_, body| now.since(body.touched) < UPLOAD_IDLE_MS);
    }

    fn take_whole(&mut self, key: ledger::RequestKey) -> Vec<u8> {
        let body = self.bodies.remove(&key).unwrap_or_default();
        body.blocks.into_values().flatten().collect()
    }
}

impl UploadTable {
    /// Whether an upload is in progress.
    pub fn contains(&self, key: ledger::RequestKey) -> bool {
        self.bodies.contains_key(&key)
    }

    /// How many uploads are in progress.
    pub fn len(&self) -> usize {
        self.bodies.len()
    }

    /// Whether none is.
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
