//! An agent's deduplication record of non-idempotent requests.
//!
//! The ledger keeps the state of each request until its ticket has expired, so that a resubmission
//! gets the same answer. Dropping an entry early would let a request run twice, or let it run after
//! its caller was told that it had been refused.

use std::collections;
use std::sync;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;
use crate::message;
use crate::ticket;

/// How long a session is kept after its last ticket has expired, to allow for clock skew.
const EXPIRY_MARGIN_MS: u64 = 5_000;

/// How long a session may be extended by renewed tickets; bounds the entries kept for one caller.
pub const SESSION_LIFETIME_MS: u64 = 4 * ticket::TICKET_LIFETIME_MS;

/// Identifies a request by its session and the caller's id within the session.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RequestKey {
    /// The session of the ticket.
    #[serde(rename = "lineage")]
    pub session: u64,
    /// The caller's id for the request.
    pub tag: u64,
}

/// The state of a recorded request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestState {
    /// Running or waiting for a slot.
    Running,
    /// Executed, with its answer.
    Done(sync::Arc<message::BackendAnswer>),
    /// Not executed, and never will be.
    Refused,
    /// Started, with an unknown outcome.
    Unknown,
}

/// A recorded request.
#[derive(Clone, Debug)]
pub struct LedgerEntry {
    /// The digest of the request, which detects a tag reused for another request.
    pub digest: u128,
    /// The digest of the last block of a blockwise body.
    pub last_block: Option<u128>,
    /// The state.
    pub state: RequestState,
}

/// A recorded request as handed over to a successor.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HandoverEntry {
    /// The request.
    pub key: RequestKey,
    /// When the last ticket of its session was issued, in seconds since the epoch.
    pub issued_s: u32,
    /// The digest of the request, which detects a tag reused for another request.
    pub digest: u128,
    /// The digest of the last block of a blockwise body.
    pub last_block: Option<u128>,
    /// The answer, if known; refused requests are not handed over.
    pub answer: Option<message::BackendAnswer>,
}

/// The capacity of a ledger.
#[derive(Clone, Copy, Debug)]
pub struct LedgerLimits {
    /// The maximum number of requests.
    pub entries: usize,
    /// The maximum size of all answers, in bytes.
    pub answer_bytes: usize,
}

impl Default for LedgerLimits {
    fn default() -> LedgerLimits {
        LedgerLimits { entries: 100_000, answer_bytes: 64 << 20 }
    }
}

#[derive(Clone, Debug)]
struct SessionRecord {
    started: ids::UnixMillis,
    issued_s: u32,
    entries: collections::HashMap<u64, LedgerEntry>,
}

/// The non-idempotent requests recorded by one agent.
#[derive(Clone, Debug, Default)]
pub struct RequestLedger {
    limits: LedgerLimits,
    sessions: collections::HashMap<u64, SessionRecord>,
    expiries: collections::VecDeque<(ids::UnixMillis, u64)>,
    entry_count: usize,
    answer_bytes: usize,
    floor_s: u32,
}

impl RequestLedger {
    /// Creates an empty ledger.
    pub fn new(limits: LedgerLimits) -> RequestLedger {
        RequestLedger { limits, ..RequestLedger::default() }
    }

    /// Records a request that is about to run or wait; false if the ledger is full.
    ///
    /// The request must then be refused and recorded with [`RequestLedger::refuse`].
    pub fn begin(
        &mut self,
        key: RequestKey,
        entry: LedgerEntry,
        issued_s: u32,
        now: ids::UnixMillis,
    ) -> bool {
        let has_room =
            self.entry_count < self.limits.entries && self.answer_bytes < self.limits.answer_bytes;
        if has_room {
            self.insert(key, entry, issued_s, now);
        }
        has_room
    }

    /// Records that a request was refused, until its ticket has expired.
    ///
    /// If the ledger is full, this raises the refusal floor instead: every unrecorded request whose
    /// ticket was issued up to the floor counts as refused. The floor covers this request and all
    /// recorded refusals, which are dropped. Callers whose ticket is below the floor get a new one.
    pub fn refuse(&mut self, key: RequestKey, digest: u128, issued_s: u32, now: ids::UnixMillis) {
        if let Some(entry) = self.entry_mut(key) {
            entry.state = RequestState::Refused;
            return;
        }
        let entry = LedgerEntry { digest, last_block: None, state: RequestState::Refused };
        if !self.begin(key, entry, issued_s, now) {
            self.raise_floor(issued_s, now);
        }
    }

    /// Records the outcome of a running request.
    pub fn settle(&mut self, key: RequestKey, state: RequestState) {
        let added = answer_size(&state);
        if let Some(entry) = self.entry_mut(key) {
            entry.state = state;
            self.answer_bytes += added;
        }
    }

    /// Records that the ticket of a session was renewed, so that its requests are kept for longer.
    pub fn extend_session(&mut self, session: u64, issued_s: u32, now: ids::UnixMillis) {
        let record = self.sessions.entry(session).or_insert_with(|| {
            self.expiries.push_back((expiry_of(issued_s), session));
            SessionRecord { started: now, issued_s, entries: collections::HashMap::new() }
        });
        record.issued_s = record.issued_s.max(issued_s);
    }

    /// Removes sessions whose last ticket has expired.
    pub fn sweep(&mut self, now: ids::UnixMillis) {
        while let Some((expiry, session)) = self.expiries.front().copied() {
            if expiry > now {
                return;
            }
            self.expiries.pop_front();
            let Some(record) = self.sessions.get(&session) else { continue };
            match expiry_of(record.issued_s) {
                expiry if expiry > now => self.expiries.push_back((expiry, session)),
                _ => self.remove_session(session),
            }
        }
    }

    /// Records a request handed over by an agent that has left.
    pub fn add_transferred(&mut self, transferred: HandoverEntry, now: ids::UnixMillis) {
        let state = match transferred.answer {
            Some(answer) => RequestState::Done(sync::Arc::new(answer)),
            None => RequestState::Unknown,
        };
        let added = answer_size(&state);
        let entry =
            LedgerEntry { digest: transferred.digest, last_block: transferred.last_block, state };
        self.insert(transferred.key, entry, transferred.issued_s, now);
        self.answer_bytes += added;
    }

    fn insert(&mut self, key: RequestKey, entry: LedgerEntry, issued_s: u32, now: ids::UnixMillis) {
        self.extend_session(key.session, issued_s, now);
        let Some(record) = self.sessions.get_mut(&key.session) else { return };
        if record.entries.insert(key.tag, entry).is_none() {
            self.entry_count += 1;
        }
    }

    fn raise_floor(&mut self, issued_s: u32, now: ids::UnixMillis) {
        self.floor_s = self.floor_s.max(issued_s).max(now.as_secs() as u32);
        for record in self.sessions.values_mut() {
            let before = record.entries.len();
            record.entries.retain(|_, entry| entry.state != RequestState::Refused);
            self.entry_count -= before - record.entries.len();
        }
    }

    fn remove_session(&mut self, session: u64) {
        let Some(record) = self.sessions.remove(&session) else { return };
        self.entry_count -= record.entries.len();
        self.answer_bytes -=
            record.entries.values().map(|entry| answer_size(&entry.state)).sum::<usize>();
    }

    fn entry_mut(&mut self, key: RequestKey) -> Option<&mut LedgerEntry> {
        self.sessions.get_mut(&key.session)?.entries.get_mut(&key.tag)
    }
}

impl RequestLedger {
    /// The entry of a request.
    pub fn get(&self, key: RequestKey) -> Option<&LedgerEntry> {
        self.sessions.get(&key.session)?.entries.get(&key.tag)
    }

    /// Whether an unrecorded request with a ticket issued at `issued_s` counts as refused.
    pub fn is_below_floor(&self, issued_s: u32) -> bool {
        issued_s <= self.floor_s
    }

    /// Whether the ticket of a session may still be renewed.
    pub fn may_extend(&self, session: u64, now: ids::UnixMillis) -> bool {
        self.sessions
            .get(&session)
            .is_none_or(|record| now.since(record.started) < SESSION_LIFETIME_MS)
    }

    /// The number of recorded requests.
    pub fn len(&self) -> usize {
        self.entry_count
    }

    /// Whether the ledger is empty.
    pub fn is_empty(&self) -> bool {
        self.entry_count == 0
    }

    /// The size of all recorded answers, in bytes.
    pub fn answer_bytes(&self) -> usize {
        self.answer_bytes
    }

    /// The entries to hand over to a successor: all requests that were or may have been executed.
    ///
    /// Requests that are not exported were not executed, since a draining agent starts none.
    pub fn export(&self) -> Vec<HandoverEntry> {
        let mut transferred = Vec::new();
        for (session, record) in &self.sessions {
            for (tag, entry) in &record.entries {
                let answer = match &entry.state {
                    RequestState::Done(answer) => Some((**answer).clone()),
                    RequestState::Unknown | RequestState::Running => None,
                    RequestState::Refused => continue,
                };
                transferred.push(HandoverEntry {
                    key: RequestKey { session: *session, tag: *tag },
                    issued_s: record.issued_s,
                    digest: entry.digest,
                    last_block: entry.last_block,
                    answer,
                });
            }
        }
        transferred
    }
}

fn expiry_of(issued_s: u32) -> ids::UnixMillis {
    let issued = ids::UnixMillis::from_secs(u64::from(issued_s));
    issued.plus(ticket::TICKET_LIFETIME_MS + EXPIRY_MARGIN_MS)
}

fn answer_size(state: &RequestState) -> usize {
    match state {
        RequestState::Done(answer) => answer.body.len() + 64,
        _ => 0,
    }
}
