//! Authenticated tickets that bind non-idempotent requests to one agent instance.
//!
//! A ticket names its home, the only instance that may execute requests under it. Balancers route
//! by the ticket without keeping state, and at-most-once execution needs only the local ledger of
//! that instance: no consensus and no write to the platform for each request.
//!
//! The sealed form fits the Echo option of CoAP (RFC 9175), which is limited to [`SEALED_BYTES`].

use std::collections;

use serde::Deserialize;
use serde::Serialize;

use crate::ids;

/// The length of a sealed ticket, which is the maximum length of an Echo option (RFC 9175).
pub const SEALED_BYTES: usize = 40;

/// The lifetime of a ticket, in milliseconds.
pub const TICKET_LIFETIME_MS: u64 = 300_000;

const MAC_BYTES: usize = 15;

/// The contents of a ticket.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTicket {
    /// The only instance that may execute requests under this ticket.
    pub home: ids::InstanceId,
    /// The service that it was issued for.
    pub service: ids::ServiceId,
    /// When it was issued, in seconds since the epoch.
    pub issued_s: u32,
    /// The caller's session, shared by a ticket and its renewals; scopes the tags of requests.
    pub session: u64,
}

impl RequestTicket {
    /// When the ticket expires.
    pub fn expires(&self) -> ids::UnixMillis {
        ids::UnixMillis::from_secs(u64::from(self.issued_s)).plus(TICKET_LIFETIME_MS)
    }
}

/// The authenticated contents, with fixed-size integers so that all tickets have the same length.
#[derive(Deserialize, Serialize)]
struct SealedBody {
    key: u8,
    #[serde(with = "postcard::fixint::le")]
    home: u64,
    #[serde(with = "postcard::fixint::le")]
    service: u32,
    #[serde(with = "postcard::fixint::le")]
    issued_s: u32,
    #[serde(rename = "lineage", with = "postcard::fixint::le")]
    session: u64,
}

impl SealedBody {
    fn new(key: u8, ticket: &RequestTicket) -> SealedBody {
        SealedBody {
            key,
            home: ticket.home.0,
            service: ticket.service.0,
            issued_s: ticket.issued_s,
            session: ticket.session,
        }
    }

    fn ticket(&self) -> RequestTicket {
        RequestTicket {
            home: ids::InstanceId(self.home),
            service: ids::ServiceId(self.service),
            issued_s: self.issued_s,
            session: self.session,
        }
    }
}

/// A key that seals tickets.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SealingKey {
    /// The key id in each ticket, so that tickets sealed with an older key can still be opened.
    pub id: u8,
    /// When processes start to seal with this key.
    ///
    /// A new key becomes active only after it has reached every process, since others could not
    /// open its tickets.
    pub active_from: ids::UnixMillis,
    /// The key of the keyed hash.
    pub secret: [u8; 32],
}

/// Why a sealed ticket was rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum TicketError {
    /// The bytes are not a ticket.
    Malformed,
    /// The key is not in the key ring: rotated out, or not yet received.
    UnknownKey,
    /// The authentication code does not match: forged or corrupted.
    BadSeal,
}

/// The ticket keys, distributed to all processes with the configuration.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct KeyRing {
    keys: collections::BTreeMap<u8, SealingKey>,
}

impl KeyRing {
    /// Adds a key, or replaces the one with the same id.
    pub fn insert(&mut self, key: SealingKey) {
        self.keys.insert(key.id, key);
    }

    /// Adds a new key and removes keys whose last ticket has expired.
    ///
    /// The previously newest key is kept whatever its age, since it seals until the new one is
    /// active.
    pub fn rotate(&mut self, now: ids::UnixMillis, active_from: ids::UnixMillis, secret: [u8; 32]) {
        let newest = self.newest().map(|key| key.id);
        let id = newest.map_or(1, |id| id.wrapping_add(1));
        let horizon = now.0.saturating_sub(2 * TICKET_LIFETIME_MS);
        self.keys.retain(|id, key| Some(*id) == newest || key.active_from.0 > horizon);
        self.insert(SealingKey { id, active_from, secret });
    }
}

impl KeyRing {
    /// Whether the ring has no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    /// The key with the latest activation time.
    pub fn newest(&self) -> Option<&SealingKey> {
        self.keys.values().max_by_key(|key| key.active_from)
    }

    /// Seals a ticket with the newest key that is active at `now`.
    ///
    /// Returns `None` if the ring has no active key.
    pub fn seal(&self, ticket: &RequestTicket, now: ids::UnixMillis) -> Option<Vec<u8>> {
        let key = self
            .keys
            .values()
            .filter(|key| key.active_from <= now)
            .max_by_key(|key| key.active_from)?;
        let mut sealed = postcard::to_allocvec(&SealedBody::new(key.id, ticket)).ok()?;
        let mac = blake3::keyed_hash(&key.secret, &sealed);
        sealed.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
        Some(sealed)
    }

    /// Authenticates and decodes a sealed ticket.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a ticket, the key is unknown, or the authentication code does not
    /// match.
    pub fn open(&self, sealed: &[u8]) -> Result<RequestTicket, TicketError> {
        let split = sealed.len().checked_sub(MAC_BYTES).ok_or(TicketError::Malformed)?;
        let (body, mac) = sealed.split_at(split);
        let sealed: SealedBody = postcard::from_bytes(body).map_err(|_| TicketError::Malformed)?;
        let key = self.keys.get(&sealed.key).ok_or(TicketError::UnknownKey)?;
        let mut expected = [0; MAC_BYTES];
        let mut given = [0; MAC_BYTES];
        expected.copy_from_slice(&blake3::keyed_hash(&key.secret, body).as_bytes()[..MAC_BYTES]);
        given.copy_from_slice(mac);
        match constant_time_eq(&expected, &given) {
            true => Ok(sealed.ticket()),
            false => Err(TicketError::BadSeal),
        }
    }
}

/// Compares in constant time, so that timing does not reveal how many bytes of a forged code match.
fn constant_time_eq(a: &[u8; MAC_BYTES], b: &[u8; MAC_BYTES]) -> bool {
    a.iter().zip(b).fold(0, |acc, (x, y)| acc | (x ^ y)) == 0
}
