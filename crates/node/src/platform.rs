//! The platform's object API: versions, conditional updates and watches.

use std::future;
use std::net;
use std::pin;
use std::time;

use rosemaryusher_core::ids;
use serde::Deserialize;
use serde::Serialize;

use crate::http;

/// What the keys of announcements start with.
pub const MEMBER_PREFIX: &str = "members/";

/// The key under which the process called `name` announces itself.
///
/// Eight digits of a hash come first, so that a prefix of them draws a few out of many.
pub fn member_key(name: &str) -> String {
    let digits = ids::mix_words(u64::from(ids::ServiceId::of_name(name).0), 1) as u32;
    format!("{MEMBER_PREFIX}{digits:08x}-{name}")
}

/// A future of an object store.
pub type StoreFuture<'a, T> = pin::Pin<Box<dyn future::Future<Output = T> + 'a>>;

/// An object with its version.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredObject {
    /// Its key.
    pub key: String,
    /// Rises with each write of the object.
    pub version: u64,
    /// Its value, JSON as text.
    pub value: String,
}

/// What must hold for a write to take place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteCondition {
    /// Nothing.
    Always,
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Version(u64),
}

/// Why the store did not do what it was asked to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// The condition did not hold; nothing was written.
    Conflict,
    /// The store could not be reached, or refused; nothing was written.
    Unavailable,
    /// No answer came: a write may have taken effect.
    Unknown,
}

impl std::fmt::Display for StoreError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            StoreError::Conflict => write!(f, "the object has changed meanwhile"),
            StoreError::Unavailable => write!(f, "the platform cannot be reached"),
            StoreError::Unknown => write!(f, "the platform's answer was lost"),
        }
    }
}

impl std::error::Error for StoreError {}

/// The platform's object API, as far as it is used.
pub trait ObjectStore {
    /// Reads an object; `None` if it does not exist.
    fn get<'a>(&'a self, key: &'a str)
    -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Waits until an object is newer than `version`; `None` if it is not by the end of the wait.
    fn watch<'a>(
        &'a self,
        key: &'a str,
        version: u64,
        wait: time::Duration,
    ) -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>>;

    /// Lists at most `limit` objects whose keys start with `prefix`.
    fn list<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Result<Vec<StoredObject>, StoreError>>;

    /// Writes an object and returns its new version.
    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: WriteCondition,
    ) -> StoreFuture<'a, Result<u64, StoreError>>;

    /// Removes an object, if it has the given version.
    fn remove<'a>(&'a self, key: &'a str, version: u64) -> StoreFuture<'a, Result<(), StoreError>>;
}

/// The object API over HTTP and JSON.
#[derive(Clone, Debug)]
pub struct HttpStore {
    address: net::SocketAddr,
    timeout: time::Duration,
}

impl HttpStore {
    /// The store at an address; each call but a watch may take `timeout`.
    pub fn new(address: net::SocketAddr, timeout: time::Duration) -> HttpStore {
        HttpStore { address, timeout }
    }

    fn request(&self, method: hyper::Method, path: String) -> http::HttpCall {
        metrics::counter!("rosemaryusher_platform_calls_total", "method" => method.to_string())
            .increment(1);
        http::HttpCall::new(method, self.address, path, self.timeout)
    }

    async fn read(&self, call: http::HttpCall) -> Result<http::HttpAnswer, StoreError> {
        let answer = http::call(call).await.map_err(|_| StoreError::Unavailable)?;
        match answer.status {
            200 | 304 | 404 => Ok(answer),
            _ => Err(StoreError::Unavailable),
        }
    }

    async fn write(&self, call: http::HttpCall) -> Result<http::HttpAnswer, StoreError> {
        let answer = http::call(call).await.map_err(|error| match error {
            http::CallError::NotConnected => StoreError::Unavailable,
            http::CallError::Broken => StoreError::Unknown,
        })?;
        match answer.status {
            200 | 201 | 204 => Ok(answer),
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
            stored(key, self.read(call).await?)
        })
    }

    fn watch<'a>(
        &'a self,
        key: &'a str,
        version: u64,
        wait: time::Duration,
    ) -> StoreFuture<'a, Result<Option<StoredObject>, StoreError>> {
        Box::pin(async move {
            let path = format!("/objects/{key}?after={version}&wait_ms={}", wait.as_millis());
            let mut call = self.request(hyper::Method::GET, path);
            call.timeout = wait + self.timeout;
            stored(key, self.read(call).await?)
        })
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        limit: usize,
    ) -> StoreFuture<'a, Result<Vec<StoredObject>, StoreError>> {
        Box::pin(async move {
            let path = format!("/objects?prefix={prefix}&limit={limit}");
            let answer = self.read(self.request(hyper::Method::GET, path)).await?;
            serde_json::from_slice(&answer.body).map_err(|_| StoreError::Unavailable)
        })
    }

    fn put<'a>(
        &'a self,
        key: &'a str,
        value: String,
        condition: WriteCondition,
    ) -> StoreFuture<'a, Result<u64, StoreError>> {
        Box::pin(async move {
            let mut call = self.request(hyper::Method::PUT, format!("/objects/{key}"));
            call.body = value.into_bytes();
            match condition {
                WriteCondition::Always => {}
                WriteCondition::Absent => call.headers.push(("if-none-match", "*".to_owned())),
                WriteCondition::Version(version) => {
                    call.headers.push(("if-match", format!("\"{version}\"")));
                }
            }
            let answer = self.write(call).await?;
            version_of(&answer).ok_or(StoreError::Unknown)
        })
    }

    fn remove<'a>(&'a self, key: &'a str, version: u64) -> StoreFuture<'a, Result<(), StoreError>> {
        Box::pin(async move {
            let mut call = self.request(hyper::Method::DELETE, format!("/objects/{key}"));
            call.headers.push(("if-match", format!("\"{version}\"")));
            self.write(call).await.map(drop)
        })
    }
}

fn version_of(answer: &http::HttpAnswer) -> Option<u64> {
    answer.etag.as_deref()?.parse().ok()
}

fn stored(key: &str, answer: http::HttpAnswer) -> Result<Option<StoredObject>, StoreError> {
    if answer.status != 200 {
        return Ok(None);
    }
    let version = version_of(&answer).ok_or(StoreError::Unavailable)?;
    let value = String::from_utf8(answer.body).map_err(|_| StoreError::Unavailable)?;
    Ok(Some(StoredObject { key: key.to_owned(), version, value }))
}
