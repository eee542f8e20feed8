//! Authentication of client requests by API key.

use std::rc::Rc;

use http::HeaderMap;

use super::handler::Proxy;
use super::key_revocation::RevocationFlag;
use super::refusal::{Refusal, RefusalCode};
use crate::core::config::ConfigSnapshot;
use crate::core::ids::WorkspaceId;
use crate::ops::services::ConfigService;
use crate::util::hash::sha256_hex;

/// Alternative header for the API key, beside `authorization`.
const KEY_HEADER: &str = "x-api-key";

/// An authenticated caller.
pub(super) struct Caller {
    /// Workspace that the key belongs to.
    pub(super) workspace: WorkspaceId,
    /// Set when the key is revoked while the request runs.
    pub(super) revocation: Rc<RevocationFlag>,
}

/// Authenticates a request by its API key.
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

/// Returns the SHA-256 hash of the API key in the request headers.
///
/// Keys are looked up by hash only, so the duration of a lookup reveals nothing about the key
/// itself.
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
