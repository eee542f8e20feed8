//! Answers kept for repeats of a change.

use std::cell::RefCell;
use std::num::NonZeroUsize;

use http::HeaderMap;
use lru::LruCache;

use super::reply::{ApiError, ApiErrorCode, Reply};
use crate::util::hash::sha256_hex;

/// Header of the key.
pub(super) const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Answers kept; the least recently used one is dropped at the bound. A repeat after that, or at
/// another instance, is recognized by the nonce in the configuration.
const MAX_CACHED_REPLIES: NonZeroUsize = NonZeroUsize::new(1024).expect("not zero");

/// Length of a key in characters.
const KEY_CHARS: std::ops::RangeInclusive<usize> = 8..=128;

/// Identity of a change: caller, idempotency key, method, path and body.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ChangeId {
    key_hash: String,
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
            .filter(|key| KEY_CHARS.contains(&key.len()))
            .ok_or_else(|| {
                ApiError::invalid("header idempotency-key of 8 to 128 characters is needed")
            })?;
        Ok(Self {
            key_hash: sha256_hex(format!("{actor}\n{key}").as_bytes()),
            request_hash: sha256_hex(&[request.as_bytes(), b"\n", body].concat()),
        })
    }

    /// Nonce of the change in the configuration; the same for each repeat.
    pub(super) fn nonce(&self) -> String {
        sha256_hex(format!("{}{}", self.key_hash, self.request_hash).as_bytes())[..32].to_owned()
    }
}

enum ChangeState {
    Running,
    Done(Reply),
}

/// What to do with a change.
pub(super) enum ChangeStart {
    /// It is new.
    New,
    /// It was made before, with this answer.
    Repeat(Reply),
}

/// The kept answers.
pub(super) struct IdempotencyCache {
    changes: RefCell<LruCache<String, (String, ChangeState)>>,
}

impl IdempotencyCache {
    pub(super) fn new() -> Self {
        Self {
            changes: RefCell::new(LruCache::new(MAX_CACHED_REPLIES)),
        }
    }

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

    /// Keeps the answer of a change that was made. After a failure the same key may be used to try
    /// again, because the nonce in the configuration prevents a second effect.
    pub(super) fn finish(&self, id: &ChangeId, reply: &Reply) {
        let mut changes = self.changes.borrow_mut();
        if !reply.status.is_success() {
            changes.pop(&id.key_hash);
            return;
        }
        let mut reply = reply.clone();
        // A secret is shown once and not kept.
        if let Some(secret) = reply.body.get_mut("secret") {
            secret.take();
        }
        changes.put(
            id.key_hash.clone(),
            (id.request_hash.clone(), ChangeState::Done(reply)),
        );
    }
}
