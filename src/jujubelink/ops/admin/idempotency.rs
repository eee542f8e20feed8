//! Idempotency of changes: a repeated request returns the reply to the first one.

use std::cell::RefCell;
use std::num::NonZeroUsize;

use http::HeaderMap;
use lru::LruCache;

use super::reply::{ApiError, ApiErrorCode, Reply};
use crate::util::hash::sha256_hex;

/// Header with the idempotency key.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Maximum number of cached replies; the least recently used one is evicted. A repeat after the
/// eviction, or at another instance, is recognized by the nonce in the configuration.
const MAX_CACHED_REPLIES: NonZeroUsize = NonZeroUsize::new(1024).expect("not zero");

/// Permitted length of an idempotency key, in characters.
const KEY_LENGTH_RANGE: std::ops::RangeInclusive<usize> = 8..=128;

/// Identity of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ChangeId {
    /// Hash of caller and idempotency key.
    key_hash: String,
    /// Hash of method, path and body.
    request_hash: String,
}

impl ChangeId {
    pub(super) fn new(
        actor: &str,
        headers: &HeaderMap,
        request: &str,
        body: &[u8],
    ) -> Result<Self, ApiError> {
        let key = headers
            .get(IDEMPOTENCY_HEADER)
            .and_then(|value| value.to_str().ok())
            .filter(|key| KEY_LENGTH_RANGE.contains(&key.len()))
            .ok_or_else(|| {
                ApiError::invalid("header idempotency-key of 8 to 128 characters is needed")
            })?;
        Ok(Self {
            key_hash: sha256_hex(format!("{actor}\n{key}").as_bytes()),
            request_hash: sha256_hex(&[request.as_bytes(), b"\n", body].concat()),
        })
    }

    /// Returns the nonce stored in the configuration with the change; identical for every repeat.
    pub(super) fn nonce(&self) -> String {
        sha256_hex(format!("{}{}", self.key_hash, self.request_hash).as_bytes())[..32].to_owned()
    }
}

/// Progress of a change.
enum ChangeState {
    Running,
    Done(Reply),
}

/// How a requested change must be handled.
pub(super) enum ChangeStart {
    /// The change is new and must be made.
    New,
    /// The change was made before and had this reply.
    Repeat(Reply),
}

/// Changes in progress and replies to completed ones.
pub(super) struct IdempotencyCache {
    /// Request hash and state by key hash.
    changes: RefCell<LruCache<String, (String, ChangeState)>>,
}

impl IdempotencyCache {
    pub(super) fn new() -> Self {
        Self {
            changes: RefCell::new(LruCache::new(MAX_CACHED_REPLIES)),
        }
    }

    /// Starts a change. Refuses it if its idempotency key belongs to another request or if the same
    /// request is still running.
    pub(super) fn begin(&self, id: &ChangeId) -> Result<ChangeStart, ApiError> {
        let mut changes = self.changes.borrow_mut();
        match changes.get(&id.key_hash) {
            None => {}
            Some((request_hash, _)) if *request_hash != id.request_hash => {
                return Err(ApiError::new(
                    ApiErrorCode::Conflict,
                    "the idempotency key was used for another request",
                ));
            }
            Some((_, ChangeState::Running)) => {
                return Err(ApiError::new(
                    ApiErrorCode::Conflict,
                    "the same request is still running; repeat it later",
                ));
            }
            Some((_, ChangeState::Done(reply))) => return Ok(ChangeStart::Repeat(reply.clone())),
        }
        changes.put(
            id.key_hash.clone(),
            (id.request_hash.clone(), ChangeState::Running),
        );
        Ok(ChangeStart::New)
    }

    /// Caches the reply if the change succeeded. After a failure, the request may be repeated with the
    /// same key, because the nonce in the configuration prevents the change from being made twice.
    pub(super) fn finish(&self, id: &ChangeId, reply: &Reply) {
        let mut changes = self.changes.borrow_mut();
        if !reply.status.is_success() {
            changes.pop(&id.key_hash);
            return;
        }
        let mut reply = reply.clone();
        // A secret is returned only once and therefore not cached.
        if let Some(secret) = reply.body.get_mut("secret") {
            secret.take();
        }
        changes.put(
            id.key_hash.clone(),
            (id.request_hash.clone(), ChangeState::Done(reply)),
        );
    }
}
