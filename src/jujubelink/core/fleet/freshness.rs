//! When the active configuration was last confirmed to be the newest.

use std::time::Duration;

use crate::core::ids::{ConfigDigest, ConfigVersion, Timestamp};

/// Confirmation that no version newer than `version` had been acknowledged at `requested_at`.
///
/// `requested_at` is taken before the request is sent, from a clock that also runs while the
/// machine is suspended. A confirmation relayed by a peer keeps its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FreshnessProof {
    /// Newest version.
    pub version: ConfigVersion,
    /// Digest of its contents; `None` if the one who confirms it knows of no restore of the store. After a
    /// restore, versions are used again for other contents.
    pub digest: Option<ConfigDigest>,
    /// When the version was requested.
    pub requested_at: Timestamp,
}

/// The latest confirmation of the active version.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    proof: Option<FreshnessProof>,
}

impl Freshness {
    /// Applies a confirmation. One for another version than `active_version` is ignored: if it is
    /// older, a newer version is known to exist, and a newer version is not active yet.
    pub fn on_proof(&mut self, proof: FreshnessProof, active_version: ConfigVersion) {
        if proof.version != active_version {
            return;
        }
        let is_newer = self.proof.is_none_or(|current| {
            current.version != active_version || current.requested_at < proof.requested_at
        });
        if is_newer {
            self.proof = Some(proof);
        }
    }

    /// Returns the latest confirmation of `active_version`.
    pub fn proof(&self, active_version: ConfigVersion) -> Option<FreshnessProof> {
        self.proof.filter(|proof| proof.version == active_version)
    }

    /// Returns the age of the latest confirmation of `active_version`, or `None` if there is none.
    pub fn age(&self, active_version: ConfigVersion, now: Timestamp) -> Option<Duration> {
        let proof = self.proof(active_version)?;
        Some(now.saturating_sub(proof.requested_at))
    }
}
