//! Authentication with keys of the administration API.

use http::{HeaderMap, header};
use subtle::{Choice, ConstantTimeEq};

use crate::ops::settings::{AdminSettings, Role};
use crate::util::hash::sha256_hex;

/// Authenticated caller of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Caller {
    /// Name of the key in the settings.
    pub name: String,
    /// Role of the key.
    pub role: Role,
}

/// Returns the caller whose key is in the headers. Compares all keys, each in constant time, so
/// that the response time reveals nothing about them.
pub(super) fn authenticate(headers: &HeaderMap, settings: &AdminSettings) -> Option<Caller> {
    let presented = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let secret = presented.strip_prefix("Bearer ")?;
    let hash = sha256_hex(secret.as_bytes());
    let mut caller = None;
    for (name, key) in &settings.keys {
        let is_equal: Choice = key.sha256.as_bytes().ct_eq(hash.as_bytes());
        if bool::from(is_equal) {
            caller = Some(Caller {
                name: name.clone(),
                role: key.role,
            });
        }
    }
    caller
}
