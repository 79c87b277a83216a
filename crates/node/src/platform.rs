//! A client of the platform's object API, with conditional updates and watches.

use std::future;
use std::net;
use std::pin;
use std::time;

use rosemaryusher_core::ids;
use rosemaryusher_core::store_epoch;
use serde::Deserialize;
use serde::Serialize;

use crate::epoch;
use crate::http;

/// The key prefix of announcements.
pub const MEMBER_PREFIX: &str = "members/";

/// The time over which processes spread their check of their announcements after a restore of the
/// store.
///
/// One read each of 14,000 processes within 8 s stays below the store's limit of 2,000 reads a
/// second. A process that starts meanwhile learns of the others from balancers.
pub const ANNOUNCE_SPREAD_MS: u64 = 8_000;

/// The key of the announcement of the process `name`.
///
/// It starts with eight digits of a hash, so that listing a prefix of them returns a random sample.
pub fn member_key(name: &str) -> String {
    let digits = ids::mix_words(u64::from(ids::ServiceId::of_name(name).0), 1) as u32;
    format!("{MEMBER_PREFIX}{digits:08x}-{name}")
}

/// A future returned by an object store.
pub type StoreFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + 'a>>;

/// An object with its version.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredObject {
    /// The key.
    pub key: String,
    /// The revision, which increases with each write of the object.
    pub version: store_epoch::StoreRevision,
    /// The value, JSON as text.
    pub value: String,
}

/// An object in the store's response to a list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedObject {
    /// The key.
    pub key: String,
    /// The version, which increases with each write of the object within an epoch of the store.
    pub version: u64,
    /// The value, JSON as text.
    pub value: String,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// Unconditional.
    Always,
    /// The object does not exist.
    Absent,
    /// The object has this revision. A revision of an earlier epoch never matches.
    Version(store_epoch::StoreRevision),
}

/// Why a call of the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The store could not be reached or refused the call; nothing was written.
    Unavailable,
    /// No response arrived; a write may have taken effect.
    Unknown,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Conflict => write!(f, "the object was changed by another writer"),
            StoreError::Unavailable => write!(f, "the platform cannot be reached"),
            StoreError::Unknown => {
                write!(f, "no response from the platform; the call may have taken effect")
            }
        }
    }
}

impl std::error::Error for StoreError {}

/// The operations of the platform's object API that are used.
pub trait ObjectStore {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str)
    -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Waits until an object is newer than `version`; `None` if `wait` ends first.
    ///
    /// If the store was restored since that revision, returns the object as it is now at once.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        version: store_epoch::StoreRevision,
        wait: time::Duration,
    ) -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Lists at most `limit` objects whose keys start with `prefix`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Result<Vec<StoredObject>, StoreError>>;

    /// Writes an object and returns its new revision.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: WriteCondition,
    ) -> StoreFuture<'a, Result<store_epoch::StoreRevision, StoreError>>;

    /// Removes an object if it has the given revision.
    fn remove<'a>(
        &'a self,
        key: &'a str,
        version: store_epoch::StoreRevision,
    ) -> StoreFuture<'a, Result<(), StoreError>>;

    /// The epoch in the store's last response; zero if it sends none.
    fn epoch(&self) -> store_epoch::StoreEpoch;
}

/// The response header with the store's epoch.
pub const EPOCH_HEADER: &str = "store-epoch";

/// The object API over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: net::SocketAddr,
    timeout: time::Duration,
    epochs: epoch::EpochFollower,
}

impl HttpStore {
    /// A client of the store at `address`; `timeout` limits each call, and for a watch its wait is added.
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> HttpStore {
        HttpStore { address, timeout, epochs: epoch::EpochFollower::default() }
    }

    fn request(&self, method: hyper::Method, path: String) -> http::ClientRequest {
        metrics::counter!("rosemaryusher_platform_calls_total", "method" => method.to_string())
            .increment(1);
        http::ClientRequest::new(method, self.address, path, self.timeout)
    }

    async fn read(&self, call: http::ClientRequest) -> Result<http::ClientResponse, StoreError> {
        let response = http::call(call).await.map_err(|_| StoreError::Unavailable)?;
        let observed = self.epochs.observe(response.header(EPOCH_HEADER));
        match response.status {
            _ if observed.is_err() => Err(StoreError::Unavailable),
            200 | 304 | 404 => Ok(response),
            _ => Err(StoreError::Unavailable),
        }
    }

    fn decode_object(
        &self,
        key: &str,
        response: http::ClientResponse,
    ) -> Result<Option<StoredObject>, StoreError> {
        if response.status != 200 {
            return Ok(None);
        }
        let number = object_version(&response).ok_or(StoreError::Unavailable)?;
        let version = self.epochs.revision(number);
        let value = String::from_utf8(response.body).map_err(|_| StoreError::Unavailable)?;
        Ok(Some(StoredObject { key: key.to_owned(), version, value }))
    }

    async fn write(&self, call: http::ClientRequest) -> Result<http::ClientResponse, StoreError> {
        let response = http::call(call).await.map_err(|error| match error {
            http::CallError::NotConnected => StoreError::Unavailable,
            http::CallError::Broken => StoreError::Unknown,
        })?;
        let observed = self.epochs.observe(response.header(EPOCH_HEADER));
        match response.status {
            _ if observed.is_err() => Err(StoreError::Unknown),
            200 | 201 | 204 => Ok(response),
            404 | 409 | 412 => Err(StoreError::Conflict),
            _ => Err(StoreError::Unavailable),
        }
    }
}

impl ObjectStore for HttpStore {
    fn get<'a>(
        &'a self,
        key: &'a str,
    ) -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>> {
        Box::pin(async move {
            let call = self.request(hyper::Method::GET, format!("/objects/{key}"));
            self.decode_object(key, self.read(call).await?)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        version: store_epoch::StoreRevision,
        wait: time::Duration,
    ) -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>> {
        Box::pin(async move {
            if !self.epochs.is_current(version) {
                return self.get(key).await;
            }
            let after = version.number;
            let path = format!("/objects/{key}?after={after}&wait_ms={}", wait.as_millis());
            let mut call = self.request(hyper::Method::GET, path);
            call.timeout = wait + self.timeout;
            let found = self.decode_object(key, self.read(call).await?)?;
            match self.epochs.is_current(version) {
                true => Ok(found),
                // Restored meanwhile: the number of the condition may stand for another value now.
                false => self.get(key).await,
            }
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Result<Vec<StoredObject>, StoreError>> {
        Box::pin(async move {
            let path = format!("/objects?prefix={prefix}&limit={limit}");
            let response = self.read(self.request(hyper::Method::GET, path)).await?;
            let listed: Vec<ListedObject> =
                serde_json::from_slice(&response.body).map_err(|_| StoreError::Unavailable)?;
            let objects = listed.into_iter().map(|listed| StoredObject {
                version: self.epochs.revision(listed.version),
                key: listed.key,
                value: listed.value,
            });
            Ok(objects.collect())
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: WriteCondition,
    ) -> StoreFuture<'a, Result<store_epoch::StoreRevision, StoreError>> {
        Box::pin(async move {
            let epoch = self.epoch();
            let mut call = self.request(hyper::Method::PUT, format!("/objects/{key}"));
            call.body = value.into_bytes();
            match condition {
                WriteCondition::Always => {}
                WriteCondition::Absent => call.headers.push(("if-none-match", "*".to_owned())),
                WriteCondition::Version(version) if !self.epochs.is_current(version) => {
                    return Err(StoreError::Conflict);
                }
                WriteCondition::Version(version) => {
                    call.headers.push(("if-match", format!("\"{}\"", version.number)));
                }
            }
            let response = self.write(call).await?;
            let number = object_version(&response).ok_or(StoreError::Unknown)?;
            condition.reject_if_restored(epoch, self.epochs.revision(number))
        })
    }

    fn remove<'a>(
        &'a self,
        key: &'a str,
        version: store_epoch::StoreRevision,
    ) -> StoreFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            if !self.epochs.is_current(version) {
                return Err(StoreError::Conflict);
            }
            let mut call = self.request(hyper::Method::DELETE, format!("/objects/{key}"));
            call.headers.push(("if-match", format!("\"{}\"", version.number)));
            self.write(call).await.map(drop)
        })
    }

    fn epoch(&self) -> store_epoch::StoreEpoch {
        self.epochs.epoch()
    }
}

impl WriteCondition {
    /// Rejects a conditional write if the store was restored between its request and its response.
    ///
    /// # Errors
    ///
    /// [`StoreError::Unknown`] after such a restore: the version in the condition may have been reused
    /// for another value.
    pub fn reject_if_restored(
        self,
        sent_epoch: store_epoch::StoreEpoch,
        written: store_epoch::StoreRevision,
    ) -> Result<store_epoch::StoreRevision, StoreError> {
        match self {
            WriteCondition::Version(_) if written.epoch != sent_epoch => Err(StoreError::Unknown),
            _ => Ok(written),
        }
    }
}

fn object_version(response: &http::ClientResponse) -> Option<u64> {
    response.header(hyper::header::ETAG.as_str())?.parse().ok()
}
