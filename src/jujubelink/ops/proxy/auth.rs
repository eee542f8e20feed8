//! Keys of requests.

use std::rc::Rc;

use http::HeaderMap;

use super::handler::Proxy;
use super::key_revocation::RevocationFlag;
use super::refusal::{Refusal, RefusalCode};
use crate::core::config::ConfigSnapshot;
use crate::core::ids::WorkspaceId;
use crate::ops::services::ConfigService;
use crate::util::hash::sha256_hex;

/// Header that may carry the key instead of `authorization`.
const KEY_HEADER: &str = "x-api-key";

/// A caller whose key is in force.
pub(super) struct Caller {
    /// Workspace of the key.
    pub(super) workspace: WorkspaceId,
    /// Tells when the key is withdrawn.
    pub(super) revocation: Rc<RevocationFlag>,
}

/// Authenticates a request.
pub(super) fn authenticate(
    proxy: &Proxy,
    config: &ConfigSnapshot,
    headers: &HeaderMap,
) -> Result<Caller, Refusal> {
    let hash = request_key_hash(headers)
        .ok_or_else(|| Refusal::not_run(RefusalCode::InvalidKey, "no key was presented"))?;
    let is_revoked = config.fleet.withdrawn_keys.contains(hash.as_str());
    if is_revoked || proxy.service::<dyn ConfigService>().is_revoked(&hash) {
        return Err(Refusal::not_run(
            RefusalCode::KeyRevoked,
            "the key was withdrawn",
        ));
    }
    let grant = config
        .grant(&hash)
        .ok_or_else(|| Refusal::not_run(RefusalCode::InvalidKey, "the key is not known"))?;
    Ok(Caller {
        workspace: grant.workspace.clone(),
        revocation: proxy
            .key_revocations
            .register(hash.into(), grant.workspace.clone()),
    })
}

/// SHA-256 hash of the key that a request presents.
///
/// Only hashes are looked up: the time of a lookup depends on the hash, which tells nothing about
/// the key.
fn request_key_hash(headers: &HeaderMap) -> Option<String> {
    let bearer = headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, key)| key.trim());
    let key = bearer.or_else(|| headers.get(KEY_HEADER)?.to_str().ok())?;
    Some(sha256_hex(key.as_bytes()))
}
